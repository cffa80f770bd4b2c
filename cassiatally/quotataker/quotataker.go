// Package quotataker decides, at the node where requests enter, which requests are within
// the quotas of their tenants. It asks the owner of a tenant's quota for tokens, and does
// no I/O itself.
//
// A node knows the candidates of its own data centre. A candidate that is not the owner
// names it. Tokens expire, by the clock of the asking node, a fixed time after they were
// asked for, so that neither delays nor a pause make them valid for longer.
//
// # Usage
//
//	t := quotataker.New(self, start, rand)
//	t.SetMembers(members.Local, members.Nodes)
//	out := t.Take(now, id, spec)       // out.Decisions may have the decision for id
//	out = t.HandleGrant(now, from, g)
//	out = t.Tick(now)                  // at t.NextWake()
//
// The caller sends out.Asks and passes on out.Decisions. A Taker is used by one goroutine.
package quotataker

import (
	"slices"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/quotaowner"
)

const (
	// leaseTime is how long after a request for tokens was sent they can be used. The
	// bound on a window of 5 s leaves room for it.
	leaseTime = 250 * time.Millisecond
	// maxWait is how long a request waits for a token.
	maxWait = 150 * time.Millisecond
	// answerTime is how long an answer is waited for before the request for tokens is
	// sent again, and maxUnanswered the number of such requests after which the candidate
	// is unreachable for unreachableFor.
	answerTime     = 50 * time.Millisecond
	maxUnanswered  = 2
	unreachableFor = time.Second
	// declineBackoff is the time before a candidate is asked again that grants nothing
	// and names no other one. Owners change within a round trip when both are live.
	declineBackoff = 30 * time.Millisecond
	minAskInterval = 10 * time.Millisecond
	// maxEmptyInterval leaves a request that has waited for it time for an answer.
	maxEmptyInterval = 100 * time.Millisecond
	// contendedAfter is the Retry-After time from which on requests do not wait for the
	// next token: others have asked for several times the tokens that come while they wait.
	contendedAfter = 5 * maxWait
	// maxAskInterval bounds the time for which an owner's answer is relied on.
	maxAskInterval = time.Second
	maxRedirects   = 4
	// maxWaiting bounds the waiting requests of a tenant.
	maxWaiting = 1024
	// unavailableRetryAfter is the Retry-After time when no owner grants.
	unavailableRetryAfter = 500 * time.Millisecond
	// idleTime is how long the state of a tenant without requests is kept.
	idleTime = 60 * time.Second
)

// WaitID identifies a waiting request.
type WaitID uint64

// Ask is a request for tokens to send.
type Ask struct {
	To      cassiatally.QuotaCandidate
	Request cassiatally.QuotaRequest
}

// Decision is the decision for a request that called Take.
type Decision struct {
	ID       WaitID
	Decision cassiatally.QuotaDecision
	// Floor is set when the request was admitted by the fallback allowance of this node.
	Floor bool
}

// Output is what the caller of a method has to do.
type Output struct {
	Asks      []Ask
	Decisions []Decision
}

// Taker is the state of an asking node. New makes one.
type Taker struct {
	self    cassiatally.NodeID
	rand    cassiatally.Rand
	tenants map[cassiatally.Tenant]*tenant
	// order has the tenants in the order of their first request, so that equal inputs
	// give equal outputs.
	order       []cassiatally.Tenant
	candidates  []cassiatally.QuotaCandidate
	nodes       []cassiatally.NodeID
	unreachable map[cassiatally.NodeID]cassiatally.Instant
	floor       floor
	seq         uint64
	out         Output
}

// tenant is the state of a tenant with a limit.
type tenant struct {
	spec    *cassiatally.TenantSpec
	leases  []lease
	waiters []waiter
	asked   []asked
	// target is the candidate that was named as the owner; empty for the first one in
	// order.
	target     cassiatally.QuotaCandidate
	redirects  int
	unanswered int
	// nextAsk is the earliest time of the next request for tokens. The tenant is over
	// its quota until then if short is set.
	nextAsk    cassiatally.Instant
	short      bool
	interval   time.Duration
	retryAfter time.Duration
	noOwner    bool
	demand     demand
	floorAt    []cassiatally.Instant
	usedAt     cassiatally.Instant
}

type lease struct {
	n       int
	expires cassiatally.Instant
}

type waiter struct {
	id    WaitID
	until cassiatally.Instant
}

// asked is a request for tokens whose grant may still come.
type asked struct {
	seq  uint64
	to   cassiatally.NodeID
	at   cassiatally.Instant
	open bool
}

// New returns the state of a node that starts now.
func New(self cassiatally.NodeID, now cassiatally.Instant, rand cassiatally.Rand) *Taker {
	return &Taker{
		self: self, rand: rand, tenants: make(map[cassiatally.Tenant]*tenant),
		unreachable: make(map[cassiatally.NodeID]cassiatally.Instant), floor: floor{from: now.Add(cassiatally.QuotaWindow)},
	}
}

// SetMembers replaces the candidates and the live members of the own data centre.
func (t *Taker) SetMembers(candidates []cassiatally.QuotaCandidate, nodes []cassiatally.NodeID) {
	t.candidates, t.nodes = candidates, nodes
}

// Take decides on a request, at once or in a later output.
func (t *Taker) Take(now cassiatally.Instant, id WaitID, spec *cassiatally.TenantSpec) Output {
	s := t.tenants[spec.Name]
	if s == nil {
		s = &tenant{}
		t.tenants[spec.Name] = s
		t.order = append(t.order, spec.Name)
	}
	s.spec, s.usedAt = spec, now
	s.demand.record(now)
	switch {
	case s.short && now.Before(s.nextAsk) && s.expectedWait(now, len(s.waiters)) > maxWait:
		t.refuse(s, id)
	case len(s.waiters) >= maxWaiting:
		t.decide(id, cassiatally.QuotaDecision{Kind: cassiatally.KindOverloaded, RetryAfter: unavailableRetryAfter}, false)
	default:
		s.waiters = append(s.waiters, waiter{id: id, until: now.Add(maxWait)})
		t.pump(now, s)
	}
	return t.take()
}

// Abandon forgets a waiting request.
func (t *Taker) Abandon(name cassiatally.Tenant, id WaitID) {
	if s := t.tenants[name]; s != nil {
		s.waiters = slices.DeleteFunc(s.waiters, func(w waiter) bool { return w.id == id })
	}
}

// LinkLost records that the link to a node was lost. What it was asked is not answered.
func (t *Taker) LinkLost(now cassiatally.Instant, n cassiatally.NodeID) Output {
	for _, name := range t.order {
		s := t.tenants[name]
		i := slices.IndexFunc(s.asked, func(a asked) bool { return a.open && a.to == n })
		if i >= 0 {
			t.giveUp(now, s, n)
			t.pump(now, s)
		}
	}
	return t.take()
}

// HandleGrant uses the answer of a candidate.
func (t *Taker) HandleGrant(now cassiatally.Instant, from cassiatally.NodeID, g cassiatally.QuotaGrant) Output {
	t.floor.learn(now, g.Fleet)
	s := t.tenants[g.Tenant]
	if s == nil {
		return t.take()
	}
	i := slices.IndexFunc(s.asked, func(a asked) bool { return a.seq == g.Seq && a.to == from })
	if i < 0 {
		return t.take()
	}
	a := s.asked[i]
	// A late answer still carries tokens, but says nothing of the present.
	late := !a.open
	for j := range s.asked {
		s.asked[j].open = s.asked[j].open && late
	}
	s.asked = slices.Delete(s.asked, i, i+1)
	delete(t.unreachable, from)
	s.unanswered = 0
	switch {
	case g.Declined && !late:
		t.declined(now, s, from, g)
	case !g.Declined:
		s.noOwner, s.redirects = false, 0
		if g.Granted > 0 {
			s.leases = append(s.leases, lease{n: g.Granted, expires: a.at.Add(leaseTime)})
		}
		s.short = g.Next > 0
		if s.short {
			s.backOff(g.Granted)
			s.nextAsk, s.retryAfter = now.Add(min(max(g.Next, s.interval), maxAskInterval)), g.RetryAfter
		}
		t.serve(now, s)
		t.refuseUnservable(now, s)
		// Whatever the answer says, the next one does not come at the same instant.
		s.nextAsk = max(s.nextAsk, now.Add(minAskInterval))
	}
	t.pump(now, s)
	return t.take()
}

// backOff sets the least time until the owner is asked again. It doubles with each answer
// without a token: other nodes take each one that comes, and a tenant at eight times its
// quota would cost ten messages a request.
func (s *tenant) backOff(granted int) {
	if granted > 0 {
		s.interval = 0
	}
	s.interval = min(max(2*s.interval, minAskInterval), maxEmptyInterval)
}

// declined follows the candidate's statement of who the owner is.
func (t *Taker) declined(now cassiatally.Instant, s *tenant, from cassiatally.NodeID, g cassiatally.QuotaGrant) {
	named := g.Better
	s.redirects++
	if named.Node != "" && named.Node != from && !t.isUnreachable(now, named.Node) && s.redirects <= maxRedirects {
		s.target = named
		return
	}
	s.target = cassiatally.QuotaCandidate{}
	s.redirects = 0
	s.nextAsk, s.short, s.noOwner = now.Add(declineBackoff), false, true
	t.useFloor(now, s)
}

// Tick handles what is due.
func (t *Taker) Tick(now cassiatally.Instant) Output {
	for _, name := range t.order {
		s := t.tenants[name]
		for i := range s.asked {
			if a := &s.asked[i]; a.open && now.Reached(a.at.Add(answerTime)) {
				a.open = false
				s.unanswered++
				if s.unanswered >= maxUnanswered {
					t.giveUp(now, s, a.to)
				}
			}
		}
		s.asked = slices.DeleteFunc(s.asked, func(a asked) bool { return now.Reached(a.at.Add(leaseTime)) })
		t.pump(now, s)
		t.expire(now, s)
		if len(s.waiters) == 0 && now.Sub(s.usedAt) > idleTime {
			delete(t.tenants, name)
		}
	}
	t.order = slices.DeleteFunc(t.order, func(n cassiatally.Tenant) bool { return t.tenants[n] == nil })
	for n, until := range t.unreachable {
		if now.Reached(until) {
			delete(t.unreachable, n)
		}
	}
	return t.take()
}

// NextWake returns when Tick is due, or false when nothing waits.
func (t *Taker) NextWake() (cassiatally.Instant, bool) {
	var at cassiatally.Instant
	found := false
	due := func(i cassiatally.Instant) {
		if !found || i.Before(at) {
			at, found = i, true
		}
	}
	for _, s := range t.tenants {
		if len(s.waiters) == 0 {
			continue
		}
		due(s.waiters[0].until)
		open := false
		for _, a := range s.asked {
			if a.open {
				open = true
				due(a.at.Add(answerTime))
			}
		}
		if !open {
			due(s.nextAsk)
		}
	}
	return at, found
}

// giveUp takes a candidate for unreachable. Its earlier answers no longer say that the
// tenant is over its quota.
func (t *Taker) giveUp(now cassiatally.Instant, s *tenant, n cassiatally.NodeID) {
	t.unreachable[n] = now.Add(unreachableFor)
	s.unanswered, s.short = 0, false
	s.target = cassiatally.QuotaCandidate{}
	for i := range s.asked {
		s.asked[i].open = s.asked[i].open && s.asked[i].to != n
	}
}

func (t *Taker) isUnreachable(now cassiatally.Instant, n cassiatally.NodeID) bool {
	until, ok := t.unreachable[n]
	return ok && now.Before(until)
}

// targetOf returns the candidate to ask.
func (t *Taker) targetOf(now cassiatally.Instant, s *tenant) (cassiatally.QuotaCandidate, bool) {
	if s.target.Node != "" && !t.isUnreachable(now, s.target.Node) {
		return s.target, true
	}
	for _, c := range quotaowner.Order(s.spec.Name, t.candidates) {
		if !t.isUnreachable(now, c.Node) {
			return c, true
		}
	}
	return cassiatally.QuotaCandidate{}, false
}

// pump serves the waiting requests, and asks for tokens when some are missing.
func (t *Taker) pump(now cassiatally.Instant, s *tenant) {
	t.serve(now, s)
	if len(s.waiters) == 0 || now.Before(s.nextAsk) || slices.ContainsFunc(s.asked, func(a asked) bool { return a.open }) {
		return
	}
	to, ok := t.targetOf(now, s)
	if !ok {
		s.nextAsk, s.noOwner = now.Add(declineBackoff), true
		t.useFloor(now, s)
		return
	}
	t.seq++
	s.asked = append(s.asked, asked{seq: t.seq, to: to.Node, at: now, open: true})
	want := max(len(s.waiters), s.demand.expected(now, leaseTime))
	t.out.Asks = append(t.out.Asks, Ask{To: to, Request: cassiatally.QuotaRequest{Seq: t.seq, Tenant: s.spec.Name, Want: want}})
}

func (t *Taker) take() Output {
	out := t.out
	t.out = Output{}
	return out
}
