// Package backendserver serves the backend server of this host over HTTP: it accepts its
// announcements and its onward calls. docs/http.md describes them.
//
// # Usage
//
//	s := &backendserver.Server{Listen: "127.0.0.1:8081", Executor: x, Policies: policies, ...}
//	if err := s.Run(); err != nil { ... }
//	defer s.Close()
package backendserver

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/headers"
	"github.com/cassiatally/cassiatally/cassiatally/runner"
	"github.com/cassiatally/cassiatally/node/executor"
	"github.com/cassiatally/cassiatally/node/httpserver"
	"github.com/cassiatally/cassiatally/node/requestreader"
	"github.com/cassiatally/cassiatally/node/responder"
	"github.com/cassiatally/cassiatally/node/waiter"
)

const (
	maxAnnouncementBytes = 4 << 10
	maxSlots             = 1 << 16
	// shutdownGrace exceeds the 5 s for which net/http waits on a connection that
	// never sent a request.
	shutdownGrace = 10 * time.Second
	// replyGrace is how long the server waits for an answer after the timeout of a call.
	replyGrace = 500 * time.Millisecond
)

// Server serves the backend server of this host. Its fields are set before Run.
type Server struct {
	Listen     cassiatally.Address
	DataCentre cassiatally.DataCentre
	Reader     requestreader.Reader
	Clock      cassiatally.Clock
	Executor   *executor.Executor
	Policies   func() (cassiatally.Policies, bool)
	NextID     func() cassiatally.CallID

	http httpserver.Server
}

// Run starts to serve.
func (s *Server) Run() error {
	s.http = httpserver.Server{Listen: s.Listen, Clients: "the backend server", Grace: shutdownGrace}
	return s.http.Run(func(e *echo.Echo) {
		e.PUT("/v1/announce", s.announce)
		e.DELETE("/v1/announce", s.withdraw)
		e.POST("/v1/call/:service/:kind", s.call)
	})
}

// Addr returns the address on which the backend server is served.
func (s *Server) Addr() cassiatally.Address { return s.http.Addr() }

// Close refuses new calls and waits for those in flight.
func (s *Server) Close() { s.http.Close() }

type announcement struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	State       string `json:"state"`
}

func (s *Server) announce(c echo.Context) error {
	var a announcement
	dec := json.NewDecoder(http.MaxBytesReader(c.Response(), c.Request().Body, maxAnnouncementBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&a); err != nil {
		return responder.Responder{}.WriteError(c, cassiatally.NewError(cassiatally.KindBadRequest, "the announcement is not valid JSON: %v", err))
	}
	checked, failure := a.validate()
	if failure != nil {
		return responder.Responder{}.WriteError(c, failure)
	}
	if !s.Executor.Announce(checked) {
		return responder.Responder{}.WriteError(c, cassiatally.NewError(cassiatally.KindOverloaded, "the node is overloaded; announce again"))
	}
	return c.NoContent(http.StatusNoContent)
}

func (a announcement) validate() (cassiatally.Announcement, *cassiatally.Error) {
	state, ok := states[a.State]
	switch {
	case a.Service == "":
		return cassiatally.Announcement{}, cassiatally.NewError(cassiatally.KindBadRequest, "service is missing")
	case !cassiatally.Address(a.Address).Valid():
		return cassiatally.Announcement{}, cassiatally.NewError(cassiatally.KindBadRequest, "address %q is not IP:port", a.Address)
	case !ok:
		return cassiatally.Announcement{}, cassiatally.NewError(cassiatally.KindBadRequest, "state %q is neither ready nor draining", a.State)
	case a.Slots < 0 || a.Slots > maxSlots || a.Connections < 0 || a.Connections > maxSlots:
		return cassiatally.Announcement{}, cassiatally.NewError(cassiatally.KindBadRequest, "slots and connections must be from 0 to %d", maxSlots)
	}
	return cassiatally.Announcement{
		Address: cassiatally.Address(a.Address),
		Endpoint: cassiatally.Endpoint{
			Service:     cassiatally.Service(a.Service),
			Slots:       cassiatally.Concurrency(a.Slots),
			Connections: cassiatally.Concurrency(a.Connections),
			State:       state,
		},
	}, nil
}

var states = map[string]cassiatally.EndpointState{
	"ready":    cassiatally.EndpointReady,
	"draining": cassiatally.EndpointDraining,
}

func (s *Server) withdraw(c echo.Context) error {
	s.Executor.Withdraw()
	return c.NoContent(http.StatusNoContent)
}

func (s *Server) call(c echo.Context) error {
	parts, failure := s.Reader.Read(c)
	if failure != nil {
		return responder.Responder{}.WriteError(c, failure)
	}
	child, failure := s.childCall(c, parts)
	if failure != nil {
		return responder.Responder{}.WriteError(c, failure)
	}
	w := waiter.New()
	if !s.Executor.BeginChild(child, w.Deliver) {
		return responder.Responder{}.WriteError(c, cassiatally.NewError(cassiatally.KindOverloaded, "the node is overloaded"))
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), parts.Timeout+replyGrace)
	defer cancel()
	a, ok := w.Wait(ctx)
	if !ok {
		a = cassiatally.Answer{Kind: cassiatally.KindCancelled, Detail: "the backend server left"}
	}
	return responder.Responder{}.Write(c, a)
}

func (s *Server) childCall(c echo.Context, parts requestreader.Parts) (runner.ChildCall, *cassiatally.Error) {
	h := c.Request().Header
	parent, err := cassiatally.ParseCallID(h.Get(headers.Run))
	if err != nil {
		return runner.ChildCall{}, cassiatally.NewError(cassiatally.KindUnknownParent, "%s is missing or malformed; pass on the token of the run", headers.Run)
	}
	policies, ok := s.Policies()
	if !ok {
		return runner.ChildCall{}, cassiatally.NewError(cassiatally.KindNoBackend, "no sheet is in force yet")
	}
	policy, err := policies.Lookup(parts.Service, parts.Work, s.DataCentre, s.Clock.Wall())
	if err != nil {
		var e *cassiatally.Error
		if errors.As(err, &e) {
			return runner.ChildCall{}, e
		}
		return runner.ChildCall{}, cassiatally.NewError(cassiatally.KindInternal, "%v", err)
	}
	key := parts.Key
	if policy.Idempotent {
		key = ""
	} else if key != "" {
		if _, err := cassiatally.ParseKey(key); err != nil {
			return runner.ChildCall{}, cassiatally.NewError(cassiatally.KindKeyInvalid, "%v", err)
		}
	}
	return runner.ChildCall{
		Waiter:     s.NextID(),
		Parent:     parent,
		Service:    parts.Service,
		Work:       parts.Work,
		Name:       h.Get(headers.Call),
		Key:        key,
		Idempotent: policy.Idempotent,
		Remaining:  parts.Timeout,
		Attempt:    parts.Attempt,
		Body:       parts.Body,
	}, nil
}
