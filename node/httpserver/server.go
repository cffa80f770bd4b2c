// Package httpserver runs an HTTP server on one address of a node.
//
// # Usage
//
//	s := &httpserver.Server{Listen: "127.0.0.1:8080", Clients: "callers", Grace: 10 * time.Second}
//	if err := s.Run(func(e *echo.Echo) { e.GET("/v1/health", health) }); err != nil { ... }
//	defer s.Close()
package httpserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/node/responder"
)

const (
	readHeaderTimeout = 5 * time.Second
	// maxHeaderBytes is far above the size of the headers that nodes read.
	maxHeaderBytes = 16 << 10
)

// Server serves HTTP on one address. Its fields are set before Run.
type Server struct {
	Listen cassiatally.Address
	// Clients describes the clients in error messages, such as "callers".
	Clients string
	// Grace is how long Close waits for requests in flight.
	Grace time.Duration

	listener net.Listener
	server   *http.Server
	running  sync.WaitGroup
}

// Run registers the routes and starts to serve.
func (s *Server) Run(routes func(e *echo.Echo)) error {
	lc := net.ListenConfig{}
	listener, err := lc.Listen(context.Background(), "tcp", string(s.Listen))
	if err != nil {
		return errors.Wrapf(err, "listen for %s on %s", s.Clients, s.Listen)
	}
	s.listener = listener
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = responder.ErrorHandler
	routes(e)
	s.server = &http.Server{Handler: e, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes}
	s.running.Go(func() { _ = s.server.Serve(listener) })
	return nil
}

// Addr returns the address on which clients are served.
func (s *Server) Addr() cassiatally.Address {
	return cassiatally.Address(s.listener.Addr().String())
}

// Close refuses new requests and waits for those in flight.
func (s *Server) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), s.Grace)
	defer cancel()
	if s.server.Shutdown(ctx) != nil {
		_ = s.server.Close()
	}
	s.running.Wait()
}
