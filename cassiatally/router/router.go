// Package router routes the requests of a node: it chooses the endpoint that runs a
// request, decides whether a refused or lost call is retried, and determines the
// answer to the caller.
//
// A Router is a state machine without goroutines or timers. The dispatcher duty
// owns it and carries out the actions that it returns.
//
// # Usage
//
//	r := router.New(router.Config{Self: self, Balancer: b, Budget: rb, Loads: lt, Shards: shards, NextID: next})
//	for _, a := range r.Submit(now, request) {
//		switch a := a.(type) {
//		case cassiatally.Send:    // pass the message to the node
//		case cassiatally.Deliver: // answer whoever submitted the request
//		}
//	}
//	r.HandleAnswer(now, from, answer)
//	r.LinkLost(now, peer)
//	r.Tick(now) // at NextWake or later
package router

import (
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/faultswitch"
)

const (
	// answerGrace is how long after the deadline an answer may still arrive. The node
	// that has the call reports its outcome within this time.
	answerGrace = 50 * time.Millisecond
	// claimRetryInterval is the time before a claim is sent to the holder again.
	claimRetryInterval = 100 * time.Millisecond
	// queryInterval is the time before the outcome of a call whose link was lost is
	// queried again.
	queryInterval = 200 * time.Millisecond
	// maxGrants bounds the retries of a request that the nodes beside endpoints grant. At
	// endpoints that refuse half of what they get, one call in 250 needs more.
	maxGrants = 7
	// refusingRate is the mean failure rate of the endpoints of a service from which on
	// refused calls are sent once more only when that is granted: another endpoint would
	// refuse as many.
	refusingRate = 0.25
	// maxRedirects bounds the redirects of a call away from endpoints that are draining
	// or unreachable. Such a call was not run and spends no retry.
	maxRedirects = 3
	// deferralInterval is the time before a call is sent again to its only remaining
	// endpoint, which was unreachable; maxDeferrals bounds the deferrals. A node that is
	// reachable again is connected within them.
	deferralInterval = 50 * time.Millisecond
	maxDeferrals     = 4
	// The answer to a refused caller requests a retry within retryAfterFraction of the
	// time to its deadline, and no earlier than minRetryAfterFraction of that. Retries are
	// spread over the interval, so that refused callers do not return all at once.
	retryAfterFraction    = 1.0 / 3
	minRetryAfterFraction = 0.3
)

// Config holds the identity, policies and sources that a router works with.
type Config struct {
	Self     cassiatally.NodeRef
	Balancer cassiatally.Balancer
	Budget   cassiatally.RetryBudget
	Loads    cassiatally.LoadTracker
	Shards   func() cassiatally.ShardView
	NextID   func() cassiatally.CallID
	// LoadRedirects bounds the redirects of a call, without a retry, away from endpoints
	// that refused it under load.
	LoadRedirects int
	// Granted is set if the nodes beside endpoints grant retries of refused calls.
	Granted bool
	// Discovery is the time after the first request in which an unknown service may
	// become known, so that its requests wait for a moment; 0 means that none waits.
	Discovery time.Duration
}

// Counts are totals since the start of the router, for operators.
type Counts struct {
	RefusedAtEntry    uint64
	Retries           uint64
	Granted           uint64
	Redirects         uint64
	RetriesDenied     uint64
	LateAnswers       uint64
	IncompleteAnswers uint64
	ForeignAnswers    uint64
	OutcomeQueries    uint64
}

// Router owns the requests that this node has submitted and not yet answered.
type Router struct {
	cfg      Config
	pending  map[cassiatally.CallID]*pending
	attempts map[cassiatally.CallID]*pending
	wakes    wakeHeap
	counts   Counts
	// notices has what the backend server beside a node has stated in its last answer.
	notices map[cassiatally.NodeID]*cassiatally.Notice
	// incarnations has the incarnation of each node at the other end of the last link that
	// was opened.
	incarnations map[cassiatally.NodeID]cassiatally.Incarnation
	// firstRequestAt is when the first request was submitted.
	firstRequestAt cassiatally.Instant
	// leaving is set once Leave was called: the runs of calls are kept until their deadlines.
	leaving bool
	// recalled is set once Recall was called: nothing is sent to an endpoint any more.
	recalled bool
}

// pending is a request without a final answer and its current attempt.
type pending struct {
	req     cassiatally.Request
	attempt cassiatally.CallID
	tag     cassiatally.RequestTag
	target  cassiatally.NodeID
	// sentTo is the incarnation that the attempt was sent to; 0 if it is not certain.
	sentTo   cassiatally.Incarnation
	isClaim  bool
	querying bool
	waiting  bool
	// mayHaveRun is set when an earlier attempt may have been run, so that a refusal of
	// a later one does not prove that the request was not run.
	mayHaveRun bool
	// endpointLost is set when an attempt failed because its endpoint was lost.
	endpointLost     bool
	done             bool
	sentAt           cassiatally.Instant
	retriesDelegated cassiatally.RetryCount
	retriesLeft      cassiatally.RetryCount
	retriesSpent     cassiatally.RetryCount
	redirects        int
	// deferrals counts the waits while the only remaining endpoint was dialled.
	deferrals int
	// sends counts the endpoints that received the request and may have run it.
	sends int
	// sendKind is that of the current attempt, and grants counts those that were granted.
	sendKind cassiatally.SendKind
	grants   int
	avoid    []cassiatally.NodeID
	// silent has the attempts that are still awaited although the request was sent to
	// another endpoint, and failure the best failed answer so far while there are any.
	silent  []silentAttempt
	failure *cassiatally.Answer
}

// New returns a router without pending requests.
func New(cfg Config) *Router {
	return &Router{
		cfg:      cfg,
		pending:  make(map[cassiatally.CallID]*pending),
		attempts: make(map[cassiatally.CallID]*pending),
		notices:  make(map[cassiatally.NodeID]*cassiatally.Notice),

		incarnations: make(map[cassiatally.NodeID]cassiatally.Incarnation),
	}
}

// Counts returns the totals so far.
func (r *Router) Counts() Counts { return r.counts }

// InFlight returns the number of requests without a final answer.
func (r *Router) InFlight() int { return len(r.pending) }

// Submit routes a request: a caller's, an onward call of a backend server, or the
// run of a claimed key.
func (r *Router) Submit(now cassiatally.Instant, req cassiatally.Request) []cassiatally.Action {
	p := &pending{req: req, retriesLeft: req.Retries, isClaim: req.Key != "" && !faultswitch.Off(faultswitch.Claims)}
	if now.Reached(req.Deadline) {
		return r.deliverAction(p, p.pastDeadlineAnswer())
	}
	if r.recalled {
		return r.deliverAction(p, p.stopAnswer())
	}
	if a, refused := r.refuseAtEntry(now, p); refused {
		return r.deliverAction(p, a)
	}
	if r.firstRequestAt == 0 {
		r.firstRequestAt = now
	}
	r.pending[req.ID] = p
	r.cfg.Budget.Requested(now, p.servicePair(), req.Repeated)
	r.scheduleWake(p, req.Deadline.Add(answerGrace))
	if p.isClaim {
		return r.sendClaim(now, p)
	}
	return r.sendRun(now, p)
}

// pastDeadlineAnswer is the answer to a request that arrives after its deadline.
// Earlier copies of a re-sent claim may have run.
func (p *pending) pastDeadlineAnswer() cassiatally.Answer {
	const detail = "the deadline has passed"
	if p.isClaim && p.req.Attempt != 1 {
		return unknownOutcome(cassiatally.KindExpired, detail)
	}
	return refusal(cassiatally.KindExpired, detail)
}

// refuseAtEntry refuses a root request whose call chain lacks the capacity to finish
// it. A re-sent claim is never refused here, since only the holder has the records of
// earlier copies.
func (r *Router) refuseAtEntry(now cassiatally.Instant, p *pending) (cassiatally.Answer, bool) {
	if p.req.Parent != "" || p.req.Claimed || (p.isClaim && p.req.Attempt != 1) {
		return cassiatally.Answer{}, false
	}
	p.req.Order = r.cfg.Loads.FairOrder(now, p.req.Service, p.req.Work, p.req.Policy.Rank, p.req.Tenant, p.req.Order)
	ok, short := r.cfg.Loads.Admit(now, p.req.Service, p.req.Work, p.req.Policy.Rank, p.req.Order)
	if ok {
		return cassiatally.Answer{}, false
	}
	r.counts.RefusedAtEntry++
	a := refusal(cassiatally.KindOverloaded, "capacity of "+string(short)+" is short; send again later")
	a.RetryAfter = p.retryAfter(now)
	return a, true
}

func (r *Router) sendRun(now cassiatally.Instant, p *pending) []cassiatally.Action {
	n, ok := r.cfg.Balancer.Choose(now, p.req.Service, p.avoid)
	if !ok && len(p.avoid) > 0 {
		n, ok = r.cfg.Balancer.Choose(now, p.req.Service, nil)
	}
	if !ok && r.mayBeDiscovered(now, p) {
		return r.deferRun(now, p)
	}
	if !ok {
		return r.fail(now, p, r.noEndpointAnswer(p))
	}
	r.cfg.Balancer.Started(now, n)
	return r.send(now, p, n, cassiatally.StageRun)
}

// mayBeDiscovered reports whether the endpoints of the service may become known while the
// request waits. A node that has just started takes the calls of runs in flight at its
// endpoint before its member table is complete.
func (r *Router) mayBeDiscovered(now cassiatally.Instant, p *pending) bool {
	return !r.cfg.Balancer.HasEndpoint(p.req.Service) && now.Sub(r.firstRequestAt) < r.cfg.Discovery && p.deferrals < maxDeferrals
}

func (r *Router) noEndpointAnswer(p *pending) cassiatally.Answer {
	if r.cfg.Balancer.HasEndpoint(p.req.Service) {
		return refusal(cassiatally.KindNoBackend, "no backend server of "+string(p.req.Service)+" takes work; send again later")
	}
	return refusal(cassiatally.KindUnknownService, "no backend server of "+string(p.req.Service)+" has announced itself")
}

func (r *Router) sendClaim(now cassiatally.Instant, p *pending) []cassiatally.Action {
	holder, ok := r.holderOf(p.req.Key)
	if !ok {
		return r.deferClaim(now, p)
	}
	return r.send(now, p, holder, cassiatally.StageClaim)
}

func (r *Router) holderOf(k cassiatally.Key) (cassiatally.NodeID, bool) {
	parts, err := cassiatally.ParseKey(k)
	if err != nil {
		return "", false
	}
	holder, _, ok := r.cfg.Shards().HolderOf(parts.Shard)
	return holder.Node, ok
}

// deferClaim schedules the next attempt to reach the holder of the key's shard. A
// claim may be sent to any number of holders, since a key is run once.
func (r *Router) deferClaim(now cassiatally.Instant, p *pending) []cassiatally.Action {
	p.waiting = true
	r.scheduleWake(p, now.Add(claimRetryInterval))
	return nil
}

func (r *Router) send(now cassiatally.Instant, p *pending, to cassiatally.NodeID, stage cassiatally.Stage) []cassiatally.Action {
	if p.attempt != (cassiatally.CallID{}) {
		delete(r.attempts, p.attempt)
	}
	p.attempt = r.cfg.NextID()
	p.target = to
	p.sentTo = r.incarnations[to]
	p.sentAt = now
	p.waiting = false
	p.querying = false
	// Half of the retries, rounded down, are delegated to the call; this layer keeps
	// the rest. Delegated retries count as spent until the answer returns them, so that
	// the total is bounded also when answers are lost.
	p.retriesDelegated = p.retriesLeft / 2
	if p.isClaim {
		p.retriesDelegated = p.retriesLeft
	}
	p.retriesLeft -= p.retriesDelegated
	r.attempts[p.attempt] = p
	call := r.newCall(now, p, stage)
	p.tag = call.Tag()
	return []cassiatally.Action{cassiatally.Send{To: to, Message: call}}
}

func (r *Router) newCall(now cassiatally.Instant, p *pending, stage cassiatally.Stage) cassiatally.Call {
	return cassiatally.Call{
		ID:         p.attempt,
		Stage:      stage,
		Root:       p.req.Root,
		Service:    p.req.Service,
		Work:       p.req.Work,
		Tenant:     p.req.Tenant,
		Rank:       p.req.Policy.Rank,
		Order:      p.req.Order,
		Idempotent: p.req.Policy.Idempotent,
		Key:        p.req.Key,
		Remaining:  p.req.Deadline.Sub(now),
		Retries:    p.retriesDelegated,
		Depth:      p.req.Depth,
		Attempt:    p.req.Attempt,
		Head:       p.req.Head,
		Caller:     p.req.Caller,
		Name:       p.req.Name,
		Repeated:   p.req.Repeated || p.mayHaveRun,
		Send:       p.sendKind,
		Progress:   p.req.Progress,
		Keep:       r.leaving,
		Notice:     r.notices[p.target],
		Body:       p.req.Body,
		Digest:     cassiatally.DigestOf(p.req.Body),
	}
}

// Cancel drops a request whose submitter no longer waits for the answer, and cancels
// its attempts.
func (r *Router) Cancel(now cassiatally.Instant, id cassiatally.CallID) []cassiatally.Action {
	p, ok := r.pending[id]
	if !ok {
		return nil
	}
	actions := p.cancelAttempts(cassiatally.Cancel{})
	r.finishAttempt(now, p, cassiatally.CallResult{Took: now.Sub(p.sentAt)})
	r.remove(p)
	return actions
}

// cancelAttempts returns a cancellation, with the id of each, for all attempts that an
// endpoint may have.
func (p *pending) cancelAttempts(c cassiatally.Cancel) []cassiatally.Action {
	var actions []cassiatally.Action
	if p.target != "" {
		c.ID = p.attempt
		actions = append(actions, cassiatally.Send{To: p.target, Message: c})
	}
	for _, s := range p.silent {
		c.ID = s.id
		actions = append(actions, cassiatally.Send{To: s.target, Message: c})
	}
	return actions
}

func (r *Router) finishAttempt(now cassiatally.Instant, p *pending, res cassiatally.CallResult) {
	if p.target != "" && !p.isClaim {
		r.cfg.Balancer.Finished(now, p.target, res)
	}
	delete(r.attempts, p.attempt)
	p.target = ""
}

func (r *Router) remove(p *pending) {
	p.done = true
	delete(r.pending, p.req.ID)
	delete(r.attempts, p.attempt)
	for _, s := range p.silent {
		delete(r.attempts, s.id)
	}
}

func (r *Router) deliver(now cassiatally.Instant, p *pending, a cassiatally.Answer) []cassiatally.Action {
	r.remove(p)
	if p.mayHaveRun && a.Outcome == cassiatally.OutcomeNotRun {
		a.Outcome = cassiatally.OutcomeUnknown
	}
	if a.Outcome == cassiatally.OutcomeNotRun && a.RetryAfter == 0 {
		a.RetryAfter = p.retryAfter(now)
	}
	return r.deliverAction(p, a)
}

// retryAfter returns the time after which the caller of a refused request should
// send it again.
func (p *pending) retryAfter(now cassiatally.Instant) time.Duration {
	maxWait := float64(p.req.Deadline.Sub(now)) * retryAfterFraction
	return time.Duration(max(maxWait, 0) * (minRetryAfterFraction + (1-minRetryAfterFraction)*float64(p.req.Order)))
}

func (r *Router) deliverAction(p *pending, a cassiatally.Answer) []cassiatally.Action {
	a.ID = p.req.ID
	a.RetriesSpent = p.retriesSpent
	return []cassiatally.Action{cassiatally.Deliver{Call: p.req.ID, Answer: a}}
}

func refusal(kind cassiatally.ErrorKind, detail string) cassiatally.Answer {
	return cassiatally.Answer{Outcome: cassiatally.OutcomeNotRun, Kind: kind, Detail: detail}
}

func unknownOutcome(kind cassiatally.ErrorKind, detail string) cassiatally.Answer {
	return cassiatally.Answer{Outcome: cassiatally.OutcomeUnknown, Kind: kind, Detail: detail}
}
