package callerconn_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/node/callerconn"
)

// Guards against clients that pipeline requests and read none of the short answers. Their
// connections could not be closed for others, so that no new client was served.
func TestReadersOfShortAnswersAreClosed(t *testing.T) {
	const conns = 2
	body := make([]byte, 4*kib)
	s := run(t, &callerconn.Server{MaxConns: conns, Serve: func(context.Context, callerconn.Request) callerconn.Response {
		return callerconn.Response{Status: http.StatusOK, Body: body}
	}})
	requests := strings.Repeat(get, 100)
	for range conns {
		conn := dial(t, s, get)
		_ = conn.(*net.TCPConn).SetReadBuffer(4 * kib)
		var err error
		for err == nil { // until the server reads no more
			_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
			_, err = io.WriteString(conn, requests)
		}
	}
	is.New(t).Equal(status(t, dial(t, s, get)), 200)
}

// Guards against an empty line after a body that counts as the begin of a request: the
// connection was then closed after the time for a head, while its client kept it for reuse.
func TestEmptyLineIsNoRequest(t *testing.T) {
	is := is.New(t)
	s := run(t, &callerconn.Server{Serve: ok, HeaderTimeout: 50 * time.Millisecond})
	conn := dial(t, s, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nb\r\n")
	is.Equal(status(t, conn), 200)
	time.Sleep(300 * time.Millisecond)
	_, err := io.WriteString(conn, "\r\n"+get) // after the one before
	is.NoErr(err)
	is.Equal(status(t, conn), 200)
	_, err = io.WriteString(conn, strings.Repeat("\r\n", 4))
	is.NoErr(err)
	is.Equal(status(t, conn), 400) // more empty lines than allowed
}
