// Package callerserver serves callers over HTTP: calls, and idempotency keys. docs/http.md
// describes the requests and answers.
//
// # Usage
//
//	s := &callerserver.Server{Listen: "127.0.0.1:8080", Requests: d, Policies: policies, ...}
//	if err := s.Run(); err != nil { ... }
//	defer s.Close()
package callerserver

import (
	"context"
	"crypto/rand"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/headers"
	"github.com/cassiatally/cassiatally/node/httpserver"
	"github.com/cassiatally/cassiatally/node/requestreader"
	"github.com/cassiatally/cassiatally/node/responder"
	"github.com/cassiatally/cassiatally/node/waiter"
)

const (
	// shutdownGrace exceeds the 5 s for which net/http waits on a connection that
	// never sent a request.
	shutdownGrace = 10 * time.Second
	// replyGrace is how long the server waits for an answer after the deadline of a
	// request. The router answers by the deadline, so it matters only when a reply is
	// lost.
	replyGrace = 500 * time.Millisecond
	// firstAttempt is the attempt number of a request that was not sent before with the
	// same key.
	firstAttempt = "1"
)

// Server serves callers. Its fields are set before Run.
type Server struct {
	Listen      cassiatally.Address
	DataCentre  cassiatally.DataCentre
	Reader      requestreader.Reader
	Clock       cassiatally.Clock
	Requests    cassiatally.Requests
	Keys        cassiatally.Keys
	Observer    cassiatally.Observer
	Policies    func() (cassiatally.Policies, bool)
	NextID      func() cassiatally.CallID
	Retries     cassiatally.RetryCount
	MaxInFlight int

	http     httpserver.Server
	inFlight atomic.Int64
}

// Run starts to serve.
func (s *Server) Run() error {
	s.http = httpserver.Server{Listen: s.Listen, Clients: "callers", Grace: shutdownGrace}
	return s.http.Run(func(e *echo.Echo) {
		e.POST("/v1/call/:service/:kind", s.call)
		e.POST("/v1/keys", s.mint)
		e.GET("/v1/keys/:key", s.lookup)
	})
}

// Addr returns the address on which callers are served.
func (s *Server) Addr() cassiatally.Address { return s.http.Addr() }

// InFlight returns the number of requests that wait for an answer.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Close refuses new requests and waits for those in flight.
func (s *Server) Close() { s.http.Close() }

func (s *Server) call(c echo.Context) error {
	arrived := s.Clock.Now()
	if s.inFlight.Add(1) > int64(s.MaxInFlight) {
		s.inFlight.Add(-1)
		return refuse(c, cassiatally.NewError(cassiatally.KindOverloaded, "the node has too many requests in flight; send again later"))
	}
	defer s.inFlight.Add(-1)
	parts, failure := s.Reader.Read(c)
	if failure != nil {
		return refuse(c, failure)
	}
	policy, failure := s.lookupPolicy(parts)
	if failure != nil {
		return refuse(c, failure)
	}
	req, failure := s.newRequest(parts, policy, arrived)
	if failure != nil {
		return refuse(c, failure)
	}
	a := s.await(c.Request().Context(), req, parts.Timeout)
	s.Observer.Request(policy, parts.Tenant, a, s.Clock.Now().Sub(arrived))
	return responder.Responder{Root: req.Root}.Write(c, a)
}

// refuse answers a request that this node does not forward. Earlier requests with the
// same key may have run, so the outcome is not_run only for a first attempt.
func refuse(c echo.Context, failure *cassiatally.Error) error {
	a := cassiatally.Answer{Outcome: failure.Outcome, Kind: failure.Kind, Detail: failure.Detail}
	h := c.Request().Header
	if _, err := cassiatally.ParseKey(cassiatally.Key(h.Get(headers.Key))); err == nil && h.Get(headers.Attempt) != firstAttempt {
		a.Outcome = cassiatally.OutcomeUnknown
	}
	return responder.Responder{}.Write(c, a)
}

func (s *Server) lookupPolicy(parts requestreader.Parts) (cassiatally.Policy, *cassiatally.Error) {
	policies, ok := s.Policies()
	if !ok {
		return cassiatally.Policy{}, cassiatally.NewError(cassiatally.KindNoBackend, "no sheet is in force yet; publish one")
	}
	policy, err := policies.Lookup(parts.Service, parts.Work, s.DataCentre, s.Clock.Wall())
	if err == nil {
		return policy, nil
	}
	var e *cassiatally.Error
	if errors.As(err, &e) {
		return cassiatally.Policy{}, e
	}
	return cassiatally.Policy{}, cassiatally.NewError(cassiatally.KindInternal, "%v", err)
}

func (s *Server) newRequest(parts requestreader.Parts, policy cassiatally.Policy, arrived cassiatally.Instant) (cassiatally.Request, *cassiatally.Error) {
	root, failure := rootOf(parts, policy)
	if failure != nil {
		return cassiatally.Request{}, failure
	}
	key := parts.Key
	if policy.Idempotent {
		key = ""
	}
	return cassiatally.Request{
		ID:       s.NextID(),
		Root:     root,
		Service:  parts.Service,
		Work:     parts.Work,
		Tenant:   parts.Tenant,
		Policy:   policy,
		Order:    root.Order(),
		Key:      key,
		Deadline: arrived.Add(parts.Timeout),
		Retries:  s.Retries,
		Attempt:  parts.Attempt,
		Body:     parts.Body,
	}, nil
}

func rootOf(parts requestreader.Parts, policy cassiatally.Policy) (cassiatally.RootID, *cassiatally.Error) {
	if policy.Idempotent {
		var root cassiatally.RootID
		_, _ = rand.Read(root[:]) // crypto/rand.Read never fails
		return root, nil
	}
	if parts.Key == "" {
		return cassiatally.RootID{}, cassiatally.NewError(cassiatally.KindKeyRequired, "%s/%s is not idempotent; mint a key with POST /v1/keys and send it as Idempotency-Key", parts.Service, parts.Work)
	}
	if _, err := cassiatally.ParseKey(parts.Key); err != nil {
		return cassiatally.RootID{}, cassiatally.NewError(cassiatally.KindKeyInvalid, "%v; mint a key with POST /v1/keys", err)
	}
	return cassiatally.RootOfKey(parts.Key), nil
}

func (s *Server) await(ctx context.Context, req cassiatally.Request, timeout time.Duration) cassiatally.Answer {
	w := waiter.New()
	if !s.Requests.Submit(req, w.Deliver) {
		return overloadedAnswer(req)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+replyGrace)
	defer cancel()
	a, ok := w.Wait(ctx)
	if ok {
		return a
	}
	s.Requests.Withdraw(req.ID)
	return cassiatally.Answer{Outcome: cassiatally.OutcomeUnknown, Kind: cassiatally.KindCancelled, Detail: "the caller left"}
}

// overloadedAnswer is the answer when the dispatcher accepts no more requests. Earlier
// requests with the same key may have run, so the outcome is not_run only for a first
// attempt.
func overloadedAnswer(req cassiatally.Request) cassiatally.Answer {
	a := cassiatally.Answer{Outcome: cassiatally.OutcomeNotRun, Kind: cassiatally.KindOverloaded, Detail: "the node is overloaded; send again later", RetryAfter: time.Second}
	if req.Key != "" && req.Attempt != 1 {
		a.Outcome = cassiatally.OutcomeUnknown
	}
	return a
}

type keyBody struct {
	Key string `json:"key"`
}

func (s *Server) mint(c echo.Context) error {
	k, err := s.Keys.Mint(c.Request().Context())
	if err != nil {
		return responder.Responder{}.WriteError(c, asError(err))
	}
	return c.JSON(http.StatusCreated, keyBody{Key: string(k)})
}

func (s *Server) lookup(c echo.Context) error {
	k := cassiatally.Key(c.Param("key"))
	if _, err := cassiatally.ParseKey(k); err != nil {
		return responder.Responder{}.WriteError(c, cassiatally.NewError(cassiatally.KindKeyInvalid, "%v", err))
	}
	return responder.Responder{Root: cassiatally.RootOfKey(k)}.Write(c, s.Keys.Lookup(c.Request().Context(), k))
}

func asError(err error) *cassiatally.Error {
	var e *cassiatally.Error
	if errors.As(err, &e) {
		return e
	}
	return cassiatally.NewError(cassiatally.KindInternal, "%v", err)
}
