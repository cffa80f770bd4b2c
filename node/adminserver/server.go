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
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/node/httpserver"
)

const (
	shutdownGrace = 2 * time.Second
)

// Server serves operators. Its fields are set before Run.
type Server struct {
	Listen  cassiatally.Address
	Status  func() Status
	Metrics http.Handler

	http httpserver.Server
}

// Run starts to serve.
func (s *Server) Run() error {
	s.http = httpserver.Server{Listen: s.Listen, Clients: "operators", Grace: shutdownGrace}
	return s.http.Run(func(e *echo.Echo) {
		e.GET("/v1/status", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Status()) })
		e.GET("/v1/health", func(c echo.Context) error { return c.NoContent(http.StatusNoContent) })
		e.GET("/metrics", echo.WrapHandler(s.Metrics))
	})
}

// Addr returns the address on which operators are served.
func (s *Server) Addr() cassiatally.Address { return s.http.Addr() }

// Close stops the server and waits for requests in flight.
func (s *Server) Close() { s.http.Close() }
