// Package forwarder routes the requests of front ends: it matches the route, submits
// the request to the dispatcher and waits for the answer.
//
// # Usage
//
//	f := &forwarder.Forwarder{Routes: routes.Routes, Requests: dispatcher, Clock: clock, ...}
//	answer := f.Forward(ctx, inbound)
package forwarder

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/matcher"
	"github.com/cassiatally/cassiatally/cassiatally/runner"
	"github.com/cassiatally/cassiatally/node/waiter"
)

const (
	// replyGrace is the time after the deadline of a request in which the answer of the
	// dispatcher is still accepted.
	replyGrace = 200 * time.Millisecond
	// chainRetries bounds the retries of all calls of a chain. Each layer passes half of
	// its retries to the layer below, so that a chain of four calls has one retry left
	// for each of its last calls. The retry budget of the fleet is far tighter.
	chainRetries cassiatally.RetryCount = 32
	// defaultTimeout applies to requests without a deadline on routes without a timeout.
	defaultTimeout = 30 * time.Second
	// refusalRetryAfter is the Retry-After time that callers get when a request is refused
	// because the node has no routes yet or is overloaded.
	refusalRetryAfter = 500 * time.Millisecond
)

const stoppingDetail = "the node stops; send again to another one"

// Runs accepts the onward calls of the runs at the backend server of this host. The
// executor implements it.
type Runs interface {
	BeginChild(c runner.ChildCall, reply func(cassiatally.Answer)) bool
	AbandonChild(waiter cassiatally.CallID)
}

// Forwarder forwards requests. Its fields are set before the first Forward.
type Forwarder struct {
	Routes   func() (*matcher.Matcher, bool)
	Requests cassiatally.Requests
	Runs     Runs
	Clock    cassiatally.Clock
	Observer cassiatally.Observer
	Logger   cassiatally.Logger
	NextID   func() cassiatally.CallID
	// Quotas bounds the requests of tenants; nil when there are no quotas.
	Quotas cassiatally.Quotas
	// LocalService returns the service of the backend server of this host.
	LocalService func() cassiatally.Service

	inFlight atomic.Int64
	refusing atomic.Bool
	// latest is the cassiatally.Instant set by EndBy; 0 for none.
	latest atomic.Int64
}

// Refuse makes the forwarder refuse new requests. Onward calls of runs in flight on this
// host are still served.
func (f *Forwarder) Refuse() { f.refusing.Store(true) }

// EndBy bounds the deadlines of requests that arrive from now on, onward calls among them,
// because the node stops at that time. The node beside an endpoint refuses a call that
// cannot end by its deadline, and an endpoint that begins one knows when to end it.
func (f *Forwarder) EndBy(at cassiatally.Instant) { f.latest.Store(int64(at)) }

// InFlight returns the number of requests that wait for an answer.
func (f *Forwarder) InFlight() int { return int(f.inFlight.Load()) }

// Forward returns the answer to a request, or one of KindCancelled when ctx ends
// first.
func (f *Forwarder) Forward(ctx context.Context, in cassiatally.Inbound) cassiatally.Answer {
	arrived := f.Clock.Now()
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	routes, ok := f.Routes()
	if !ok {
		return refuse(cassiatally.KindNoBackend, "no route table is in force yet", refusalRetryAfter)
	}
	path, _, _ := strings.Cut(in.Head.Target, "?")
	route, ok := routes.Match(in.Host, path)
	if !ok {
		f.Logger.Info("request without a route", "request", in.Name, "host", in.Host, "path", path, "version", routes.Table().Version)
		return refuse(cassiatally.KindUnknownKind, "no route matches", 0)
	}
	tenant, kind := authenticate(routes, route, in)
	if kind != cassiatally.KindNone {
		f.Logger.Info("request not authenticated", "request", in.Name, "route", route.Name, "has_key", in.Key != nil, "version", routes.Table().Version)
		return refuse(kind, "no tenant has this key", 0)
	}
	switch {
	case !routes.HasTenants():
		in.Head.Fields = append(in.Head.Fields, in.Identity...)
	case tenant != nil:
		// Onward calls carry no key, so this is a client's request. It must not join the
		// run of another tenant by the form of its id.
		in.Parent = ""
	}
	if d := f.takeQuota(ctx, tenant, timeoutOf(in, route)); !d.Granted {
		f.Logger.Info("request refused by quota", "request", in.Name, "route", route.Name, "tenant", tenant.Name, "kind", d.Kind, "retry_after", d.RetryAfter)
		return refuse(d.Kind, quotaDetail(d.Kind), d.RetryAfter)
	}
	req := f.newRequest(in, route, routes.Table().Version, arrived)
	setTenant(&req, tenant)
	if latest := cassiatally.Instant(f.latest.Load()); latest != 0 && latest.Before(req.Deadline) {
		req.Deadline = latest
	}
	// The tenant of an onward call is known to the run that makes it only.
	serveOrphans := !routes.HasTenants()
	a := f.awaitAnswer(ctx, in, req, arrived, serveOrphans)
	took := f.Clock.Now().Sub(arrived)
	f.Observer.Request(req.Policy, req.Tenant, a, took)
	f.logAnswer(in, req, a, arrived, took)
	return a
}

// authenticate returns the tenant of a request, nil when it needs none. Onward calls of
// runs carry no key; they get the tenant of the run that makes them.
func authenticate(routes *matcher.Matcher, route *cassiatally.Route, in cassiatally.Inbound) (*cassiatally.TenantSpec, cassiatally.ErrorKind) {
	switch {
	case !routes.HasTenants(), in.Key == nil && (route.AllowAnonymous || in.Parent != ""):
		return nil, cassiatally.KindNone
	case in.Key == nil:
		return nil, cassiatally.KindUnauthenticated
	}
	t, ok := routes.Tenant(*in.Key)
	if !ok {
		return nil, cassiatally.KindUnauthenticated
	}
	return t, cassiatally.KindNone
}

// takeQuota charges a request to the quota of its tenant, and waits for that no longer than
// timeout. Requests that are refused because the node stops are not charged.
func (f *Forwarder) takeQuota(ctx context.Context, t *cassiatally.TenantSpec, timeout time.Duration) cassiatally.QuotaDecision {
	if t == nil || t.Rate == 0 || f.Quotas == nil || f.refusing.Load() {
		return cassiatally.QuotaDecision{Granted: true}
	}
	waitCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	d := f.Quotas.Take(waitCtx, t)
	if d.Kind == cassiatally.KindCancelled && ctx.Err() == nil {
		d.Kind = cassiatally.KindExpired
	}
	return d
}

// quotaDetail describes why a request got no token of its tenant's quota.
func quotaDetail(k cassiatally.ErrorKind) string {
	if k == cassiatally.KindQuotaExceeded {
		return "the quota of the tenant is used up"
	}
	return "the quota of the tenant is not known to have room"
}

// setTenant gives a request its tenant, whose rank replaces that of the route.
func setTenant(req *cassiatally.Request, t *cassiatally.TenantSpec) {
	if t == nil {
		return
	}
	req.Tenant = t.Name
	if t.Ranked {
		req.Policy.Rank = t.Rank
	}
}

func refuse(kind cassiatally.ErrorKind, detail string, retryAfter time.Duration) cassiatally.Answer {
	return cassiatally.Answer{Outcome: cassiatally.OutcomeNotRun, Kind: kind, Detail: detail, RetryAfter: retryAfter}
}

func (f *Forwarder) newRequest(in cassiatally.Inbound, route *cassiatally.Route, v cassiatally.Version, arrived cassiatally.Instant) cassiatally.Request {
	root := rootOf(in)
	req := cassiatally.Request{
		ID:      f.NextID(),
		Root:    root,
		Service: route.Services[0].Service,
		Route:   route,
		Work:    route.Name,
		Policy: cassiatally.Policy{
			Rank: route.Rank, Target: route.Target, Idempotent: route.Idempotent, Version: v,
		},
		Order:    root.Order(),
		Deadline: arrived.Add(timeoutOf(in, route)),
		Retries:  chainRetries,
		Sends:    route.Attempts,
		Attempt:  1,
		Head:     in.Head,
		Caller:   f.LocalService(),
		Name:     in.Name,
		Body:     in.Body,
	}
	if in.Parent != "" {
		req.Parent = req.Caller
		req.Depth = 1
	}
	return req
}

// rootOf returns the root id of a request, which all calls of a chain share.
func rootOf(in cassiatally.Inbound) cassiatally.RootID {
	name := in.Root
	if name == "" {
		name = in.Name
	}
	return cassiatally.RootOfKey(cassiatally.Key(name))
}

func timeoutOf(in cassiatally.Inbound, route *cassiatally.Route) time.Duration {
	timeout := defaultTimeout
	if route.Timeout > 0 {
		timeout = route.Timeout
	}
	if in.Remaining > 0 {
		timeout = min(timeout, in.Remaining)
	}
	return timeout
}

// awaitAnswer submits a request and waits for its answer. An onward call of a run in
// flight on this host shares the deadline and the retries of that run. Onward calls whose
// run is not known are refused unless serveOrphans is set.
func (f *Forwarder) awaitAnswer(ctx context.Context, in cassiatally.Inbound, req cassiatally.Request, arrived cassiatally.Instant, serveOrphans bool) cassiatally.Answer {
	if arrived.Reached(req.Deadline) {
		return refuse(cassiatally.KindDraining, stoppingDetail, refusalRetryAfter)
	}
	if in.Parent != "" {
		a, parentFound := f.awaitChild(ctx, in, req, arrived)
		if parentFound {
			return a
		}
		if !serveOrphans {
			return refuse(cassiatally.KindUnavailable, "the run that makes the call is not known", refusalRetryAfter)
		}
	}
	if f.refusing.Load() {
		return refuse(cassiatally.KindDraining, stoppingDetail, refusalRetryAfter)
	}
	return f.awaitRequest(ctx, req, arrived)
}

// awaitChild submits an onward call under its parent run and waits for the answer. It
// returns false when the parent does not run here, as after a restart of this node.
func (f *Forwarder) awaitChild(ctx context.Context, in cassiatally.Inbound, req cassiatally.Request, arrived cassiatally.Instant) (cassiatally.Answer, bool) {
	w := waiter.New()
	child := runner.ChildCall{
		Waiter: req.ID, ParentName: in.Parent, Onward: &req, Service: req.Service, Work: req.Work, Name: string(req.Name),
		Idempotent: req.Policy.Idempotent, Remaining: req.Deadline.Sub(arrived), Attempt: 1,
	}
	if !f.Runs.BeginChild(child, w.Deliver) {
		return refuse(cassiatally.KindOverloaded, "the node has too many requests in flight", refusalRetryAfter), true
	}
	ctx, cancel := context.WithTimeout(ctx, req.Deadline.Sub(arrived)+replyGrace)
	defer cancel()
	a, ok := w.Wait(ctx)
	if !ok {
		f.Runs.AbandonChild(req.ID)
		return cancelledAnswer(), true
	}
	return a, a.Kind != cassiatally.KindUnknownParent
}

func cancelledAnswer() cassiatally.Answer {
	return cassiatally.Answer{Outcome: cassiatally.OutcomeUnknown, Kind: cassiatally.KindCancelled, Detail: "the caller left"}
}

func (f *Forwarder) awaitRequest(ctx context.Context, req cassiatally.Request, arrived cassiatally.Instant) cassiatally.Answer {
	w := waiter.New()
	if !f.Requests.Submit(req, w.Deliver) {
		return refuse(cassiatally.KindOverloaded, "the node has too many requests in flight", refusalRetryAfter)
	}
	ctx, cancel := context.WithTimeout(ctx, req.Deadline.Sub(arrived)+replyGrace)
	defer cancel()
	a, ok := w.Wait(ctx)
	if ok {
		return a
	}
	f.Requests.Withdraw(req.ID)
	return cancelledAnswer()
}

func (f *Forwarder) logAnswer(in cassiatally.Inbound, req cassiatally.Request, a cassiatally.Answer, arrived cassiatally.Instant, took time.Duration) {
	fields := []any{
		"request", req.Name, "route", req.Work, "version", req.Policy.Version, "rank", req.Policy.Rank, "onward", req.Depth > 0,
		"kind", a.Kind, "outcome", a.Outcome, "status", a.Status, "endpoint", a.Endpoint.Node, "retries", a.RetriesSpent, "took", took, "detail", a.Detail,
		"caller_timeout", in.Remaining, "timeout", req.Deadline.Sub(arrived),
	}
	switch {
	case a.Kind == cassiatally.KindNone:
		f.Logger.Info("request answered", fields...)
	case a.Outcome == cassiatally.OutcomeNotRun:
		f.Logger.Info("request refused", fields...)
	default:
		f.Logger.Info("request failed", fields...)
	}
}
