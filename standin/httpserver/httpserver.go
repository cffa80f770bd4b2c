// Package httpserver runs an HTTP server on one address, prints the address once it
// accepts connections, and stops gracefully.
//
// # Usage
//
//	e := httpserver.NewEcho()
//	e.GET("/v1/status", handle)
//	s := &httpserver.Server{Listen: "127.0.0.1:0", Handler: e, Stdout: os.Stdout}
//	if err := s.Start(ctx); err != nil {
//		return err
//	}
//	<-ctx.Done()
//	return s.Close(ctx)
package httpserver

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// bodyLimit is cassiatally.MaxBodyBytes in the format of the echo middleware.
const bodyLimit = "1M"

// closeGrace bounds the wait of Close for requests in flight. It exceeds the 5 s
// for which net/http waits for a connection that never sent a request.
const closeGrace = 10 * time.Second

// Server is one HTTP server.
type Server struct {
	// Listen is the address to listen on; port 0 selects a free port.
	Listen  string
	Handler http.Handler
	// Stdout receives a line with the address; nil prints none.
	Stdout io.Writer
	// ConnState, if set, is called for each change of the state of a connection.
	ConnState func(net.Conn, http.ConnState)

	listener net.Listener
	server   *http.Server
	cancel   context.CancelFunc
	serveErr chan error
	fresh    freshConns
}

// NewEcho returns a router that limits the size of request bodies.
func NewEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.Use(middleware.BodyLimit(bodyLimit))
	return e
}

// DecodeJSON decodes the body of a request regardless of its content type. It
// rejects fields that v does not have, so that a misspelt field is not silently
// ignored.
func DecodeJSON(c echo.Context, v any) error {
	d := json.NewDecoder(c.Request().Body)
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "the body is not the JSON that is expected: "+err.Error())
	}
	return nil
}

// Bind opens the listener, so that the address is known before the server starts.
func (s *Server) Bind(ctx context.Context) error {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", s.Listen)
	if err != nil {
		return errors.Wrapf(err, "listening on %s", s.Listen)
	}
	s.listener = l
	return nil
}

// Start prints the address and serves until Close, even when ctx ends. It calls
// Bind unless the listener is already open.
func (s *Server) Start(ctx context.Context) error {
	if s.listener == nil {
		if err := s.Bind(ctx); err != nil {
			return err
		}
	}
	l := s.listener
	base, cancel := context.WithCancel(context.WithoutCancel(ctx))
	s.cancel = cancel
	s.serveErr = make(chan error, 1)
	s.server = &http.Server{
		Handler:           s.Handler,
		BaseContext:       func(net.Listener) context.Context { return base },
		ConnState:         s.connState,
		ReadHeaderTimeout: 10 * time.Second,
	}
	s.server.RegisterOnShutdown(s.fresh.closeAll)
	go func() { s.serveErr <- s.server.Serve(l) }()
	if s.Stdout != nil {
		fmt.Fprintf(s.Stdout, "listening address=%s\n", s.Address())
	}
	return nil
}

func (s *Server) connState(c net.Conn, state http.ConnState) {
	s.fresh.track(c, state)
	if s.ConnState != nil {
		s.ConnState(c, state)
	}
}

// Address returns the address of the listener.
func (s *Server) Address() cassiatally.Address {
	return cassiatally.Address(s.listener.Addr().String())
}

// Close refuses new connections, cancels the contexts of requests in flight, and
// waits up to closeGrace for all handlers. It also works after ctx has ended.
func (s *Server) Close(ctx context.Context) error {
	s.cancel()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeGrace)
	defer cancel()
	err := s.server.Shutdown(ctx)
	if err != nil {
		err = errors.CombineErrors(err, s.server.Close())
	}
	if served := <-s.serveErr; !errors.Is(served, http.ErrServerClosed) {
		err = errors.CombineErrors(err, served)
	}
	return errors.Wrap(err, "closing the server")
}
