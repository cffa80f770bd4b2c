package httpserver_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/standin/httpserver"
)

// Guards against a Close that times out since a client has opened a connection
// without sending a request.
func TestCloseWithFreshConnection(t *testing.T) {
	is := is.New(t)
	accepted := make(chan struct{}, 1)
	s := &httpserver.Server{
		Listen: "127.0.0.1:0", Handler: httpserver.NewEcho(),
		ConnState: func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				accepted <- struct{}{}
			}
		},
	}
	is.NoErr(s.Start(t.Context()))
	c, err := net.Dial("tcp", string(s.Address()))
	is.NoErr(err)
	defer c.Close()
	<-accepted
	is.NoErr(s.Close(t.Context()))
	_ = c.SetReadDeadline(time.Now().Add(30 * time.Second))
	_, err = c.Read(make([]byte, 1))
	is.True(err != nil)
}
