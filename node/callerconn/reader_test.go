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
