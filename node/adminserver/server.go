// Package adminserver serves the status and the metrics of a node to operators.
// docs/http.md describes the status.
//
// # Usage
//
//	s := &adminserver.Server{Listen: "127.0.0.1:7403", Status: status, Metrics: rep.Handler()}
//	if err := s.Run(); err != nil { ... }
//	defer s.Close()
package adminserver

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
	shutdownGrace     = 2 * time.Second
)

// Server serves operators. Its fields are set before Run.
type Server struct {
	Listen  cassiatally.Address
	Status  func() Status
	Metrics http.Handler

	listener net.Listener
	server   *http.Server
	running  sync.WaitGroup
}

// Run starts to serve.
func (s *Server) Run() error {
	lc := net.ListenConfig{}
	listener, err := lc.Listen(context.Background(), "tcp", string(s.Listen))
	if err != nil {
		return errors.Wrapf(err, "listen for operators on %s", s.Listen)
	}
	s.listener = listener
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = responder.ErrorHandler
	e.GET("/v1/status", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Status()) })
	e.GET("/v1/health", func(c echo.Context) error { return c.NoContent(http.StatusNoContent) })
	e.GET("/metrics", echo.WrapHandler(s.Metrics))
	s.server = &http.Server{Handler: e, ReadHeaderTimeout: readHeaderTimeout}
	s.running.Go(func() { _ = s.server.Serve(listener) })
	return nil
}

// Addr returns the address on which operators are served.
func (s *Server) Addr() cassiatally.Address {
	return cassiatally.Address(s.listener.Addr().String())
}

// Close stops to serve.
func (s *Server) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownGrace)
	defer cancel()
	if s.server.Shutdown(ctx) != nil {
		_ = s.server.Close()
	}
	s.running.Wait()
}
