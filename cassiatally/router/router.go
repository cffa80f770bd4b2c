// Package router decides over the calls that a node sends on: which endpoint runs
// a request, whether a refused or lost call is tried again, and what the caller is
// told.
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
	"container/heap"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/faultswitch"
)

const (
	// answerGrace is how long an answer may still be on its way after the deadline.
	// Within it the node that has the call says what became of it.
	answerGrace = 50 * time.Millisecond
	// claimRetryPause is the pause before a claim is sent to the holder again.
	claimRetryPause = 100 * time.Millisecond
	// queryPause is the pause before a lost run is asked about again.
	queryPause = 200 * time.Millisecond
	// maxRedirects bounds how often a call moves on from endpoints that are leaving
	// or out of reach. Such a call ran nothing and spends no retry.
	maxRedirects = 3
	// holdPause is the pause before a call goes again to the only endpoint left, which
	// could not be reached, and maxHolds bounds the pauses. A node that answers again is
	// dialled within them.
	holdPause = 50 * time.Millisecond
	maxHolds  = 4
	// comeBackPart is the part of the time left within which callers come back after a
	// refusal, and leastComeBack the part of that before which none does. Callers come
	// back spread over that time, so that they don't meet again.
	comeBackPart  = 1.0 / 3
	leastComeBack = 0.3
)

// Config holds what a router works with.
type Config struct {
	Self     cassiatally.NodeRef
	Balancer cassiatally.Balancer
	Budget   cassiatally.RetryBudget
	Loads    cassiatally.LoadTracker
	Shards   func() cassiatally.ShardView
	NextID   func() cassiatally.CallID
	// LoadRedirects bounds how often a call moves on, without a retry, from endpoints
	// that have no room for it.
	LoadRedirects int
}

// Counts are the totals that operators watch.
type Counts struct {
	RefusedAtEntry uint64
	Retries        uint64
	Redirects      uint64
	RetriesDenied  uint64
	LateAnswers    uint64
	Incomplete     uint64
	Foreign        uint64
	Queries        uint64
}

// Router owns the calls that this node sends on.
type Router struct {
	cfg      Config
	pending  map[cassiatally.CallID]*pending
	attempts map[cassiatally.CallID]*pending
	wakes    wakeHeap
	counts   Counts
}

type pending struct {
	req      cassiatally.Request
	attempt  cassiatally.CallID
	tag      cassiatally.RequestTag
	target   cassiatally.NodeID
	lostAt   cassiatally.Incarnation
	claim    bool
	querying bool
	waiting  bool
	// mayHaveRun tells that an earlier attempt may have been run, so that a refusal
	// of a later one does not prove that the request was not.
	mayHaveRun bool
	// lost tells that an attempt failed because its endpoint was lost.
	lost      bool
	done      bool
	sentAt    cassiatally.Instant
	given     cassiatally.RetryCount
	left      cassiatally.RetryCount
	spent     cassiatally.RetryCount
	redirects int
	// holds counts the pauses in which the only endpoint left was dialled.
	holds int
	// sends counts the endpoints that the request was sent to and that may have run
	// it.
	sends int
	avoid []cassiatally.NodeID
}

// New returns a router without calls.
func New(cfg Config) *Router {
	return &Router{
		cfg:      cfg,
		pending:  make(map[cassiatally.CallID]*pending),
		attempts: make(map[cassiatally.CallID]*pending),
	}
}

// Counts returns the totals so far.
func (r *Router) Counts() Counts { return r.counts }

// InFlight returns the number of calls that wait for an answer.
func (r *Router) InFlight() int { return len(r.pending) }

// Submit takes a request of a caller, of a backend server, or of a claimed key.
func (r *Router) Submit(now cassiatally.Instant, req cassiatally.Request) []cassiatally.Action {
	p := &pending{req: req, left: req.Retries, claim: req.Key != "" && !faultswitch.Off(faultswitch.Claims)}
	if now.Reached(req.Deadline) {
		return r.deliverUnsent(p, p.tooLate())
	}
	if a, refused := r.refuseAtEntry(now, p); refused {
		return r.deliverUnsent(p, a)
	}
	r.pending[req.ID] = p
	r.cfg.Budget.Requested(now, p.pair(), req.Repeated)
	r.scheduleWake(p, req.Deadline.Add(answerGrace))
	if p.claim {
		return r.sendClaim(now, p)
	}
	return r.sendRun(now, p)
}

// tooLate is the answer to a request that arrives after its deadline. Earlier
// copies of a re-sent claim may have run.
func (p *pending) tooLate() cassiatally.Answer {
	const detail = "the deadline has passed"
	if p.claim && p.req.Attempt != 1 {
		return unresolved(cassiatally.KindExpired, detail)
	}
	return refusal(cassiatally.KindExpired, detail)
}

// refuseAtEntry refuses a root request that its call chain cannot finish. A
// re-sent claim is passed on, since only the holder knows about earlier copies.
func (r *Router) refuseAtEntry(now cassiatally.Instant, p *pending) (cassiatally.Answer, bool) {
	if p.req.Parent != "" || (p.claim && p.req.Attempt != 1) {
		return cassiatally.Answer{}, false
	}
	ok, short := r.cfg.Loads.Admit(now, p.req.Service, p.req.Work, p.req.Policy.Rank, p.req.Order)
	if ok {
		return cassiatally.Answer{}, false
	}
	r.counts.RefusedAtEntry++
	a := refusal(cassiatally.KindOverloaded, "capacity of "+string(short)+" is short; send again later")
	a.RetryAfter = p.comeBack(now)
	return a, true
}

func (r *Router) sendRun(now cassiatally.Instant, p *pending) []cassiatally.Action {
	n, ok := r.cfg.Balancer.Choose(now, p.req.Service, p.avoid)
	if !ok && len(p.avoid) > 0 {
		n, ok = r.cfg.Balancer.Choose(now, p.req.Service, nil)
	}
	if !ok {
		return r.deliver(now, p, r.noEndpoint(p))
	}
	r.cfg.Balancer.Started(now, n)
	return r.send(now, p, n, cassiatally.StageRun)
}

func (r *Router) noEndpoint(p *pending) cassiatally.Answer {
	if r.cfg.Balancer.Known(p.req.Service) {
		return refusal(cassiatally.KindNoBackend, "no backend server of "+string(p.req.Service)+" takes work; send again later")
	}
	return refusal(cassiatally.KindUnknownService, "no backend server of "+string(p.req.Service)+" has announced itself")
}

func (r *Router) sendClaim(now cassiatally.Instant, p *pending) []cassiatally.Action {
	holder, ok := r.holderOf(p.req.Key)
	if !ok {
		return r.holdClaim(now, p)
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

// holdClaim waits for a holder of the key's shard. A claim may be sent to any
// number of holders, since a key is run once.
func (r *Router) holdClaim(now cassiatally.Instant, p *pending) []cassiatally.Action {
	p.waiting = true
	r.scheduleWake(p, now.Add(claimRetryPause))
	return nil
}

func (r *Router) send(now cassiatally.Instant, p *pending, to cassiatally.NodeID, stage cassiatally.Stage) []cassiatally.Action {
	if p.attempt != (cassiatally.CallID{}) {
		delete(r.attempts, p.attempt)
	}
	p.attempt = r.cfg.NextID()
	p.target = to
	p.sentAt = now
	p.waiting = false
	p.querying = false
	// Half of the retries, rounded down, stay with this layer. What was given away
	// counts as spent until the answer returns it, so that the total is bounded
	// also when answers are lost.
	p.given = p.left / 2
	if p.claim {
		p.given = p.left
	}
	p.left -= p.given
	r.attempts[p.attempt] = p
	call := r.call(now, p, stage)
	p.tag = call.Tag()
	return []cassiatally.Action{cassiatally.Send{To: to, Message: call}}
}

func (r *Router) call(now cassiatally.Instant, p *pending, stage cassiatally.Stage) cassiatally.Call {
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
		Retries:    p.given,
		Depth:      p.req.Depth,
		Attempt:    p.req.Attempt,
		Head:       p.req.Head,
		Caller:     p.req.Caller,
		Name:       p.req.Name,
		Repeated:   p.req.Repeated || p.mayHaveRun,
		Body:       p.req.Body,
		Digest:     cassiatally.DigestOf(p.req.Body),
	}
}

// Cancel drops a request for which nobody waits any more.
func (r *Router) Cancel(now cassiatally.Instant, id cassiatally.CallID) []cassiatally.Action {
	p, ok := r.pending[id]
	if !ok {
		return nil
	}
	target, attempt := p.target, p.attempt
	r.finishAttempt(now, p, cassiatally.CallResult{Took: now.Sub(p.sentAt)})
	r.remove(p)
	if target == "" {
		return nil
	}
	return []cassiatally.Action{cassiatally.Send{To: target, Message: cassiatally.Cancel{ID: attempt}}}
}

// Tick handles the calls whose wake time has come.
func (r *Router) Tick(now cassiatally.Instant) []cassiatally.Action {
	var actions []cassiatally.Action
	for len(r.wakes) > 0 && now.Reached(r.wakes[0].at) {
		w := heap.Pop(&r.wakes).(wake)
		if w.p.done {
			continue
		}
		actions = append(actions, r.wakeUp(now, w.p)...)
	}
	return actions
}

// NextWake returns when Tick has to be called next.
func (r *Router) NextWake() (cassiatally.Instant, bool) {
	if len(r.wakes) == 0 {
		return 0, false
	}
	return r.wakes[0].at, true
}

func (r *Router) wakeUp(now cassiatally.Instant, p *pending) []cassiatally.Action {
	if now.Reached(p.req.Deadline.Add(answerGrace)) {
		return r.expire(now, p)
	}
	switch {
	case p.waiting && p.claim:
		return r.sendClaim(now, p)
	case p.waiting:
		return r.sendRun(now, p)
	case p.querying:
		return r.query(now, p)
	default:
		return nil
	}
}

func (r *Router) expire(now cassiatally.Instant, p *pending) []cassiatally.Action {
	answer := p.expiry()
	var actions []cassiatally.Action
	if p.target != "" {
		actions = append(actions, cassiatally.Send{To: p.target, Message: cassiatally.Cancel{ID: p.attempt}})
	}
	r.finishAttempt(now, p, cassiatally.CallResult{Took: now.Sub(p.sentAt), Failed: true})
	return append(actions, r.deliver(now, p, answer)...)
}

// expiry is the answer when the deadline passes without one.
func (p *pending) expiry() cassiatally.Answer {
	switch {
	case p.target == "" && p.claim && p.req.Attempt != 1 && !faultswitch.Off(faultswitch.ClaimUnresolved):
		return unresolved(cassiatally.KindUnavailable, "no holder of the key's shard is in reach; look the key up later")
	case p.target == "" && p.claim:
		return refusal(cassiatally.KindUnavailable, "no holder of the key's shard is in reach; send again later")
	case p.target == "":
		return refusal(cassiatally.KindUnreachable, "no node of a backend server could be reached")
	case p.claim || !p.req.Policy.Idempotent:
		return unresolved(cassiatally.KindOutcomeUnknown, "the deadline passed before an answer came; look the key up")
	default:
		return unresolved(cassiatally.KindExpired, "the deadline passed before an answer came")
	}
}

func (r *Router) finishAttempt(now cassiatally.Instant, p *pending, res cassiatally.CallResult) {
	if p.target != "" && !p.claim {
		r.cfg.Balancer.Finished(now, p.target, res)
	}
	delete(r.attempts, p.attempt)
	p.target = ""
}

func (r *Router) remove(p *pending) {
	p.done = true
	delete(r.pending, p.req.ID)
	delete(r.attempts, p.attempt)
}

func (r *Router) deliver(now cassiatally.Instant, p *pending, a cassiatally.Answer) []cassiatally.Action {
	r.remove(p)
	if p.mayHaveRun && a.Outcome == cassiatally.OutcomeNotRun {
		a.Outcome = cassiatally.OutcomeUnknown
	}
	if a.Outcome == cassiatally.OutcomeNotRun && a.RetryAfter == 0 {
		a.RetryAfter = p.comeBack(now)
	}
	return r.deliverUnsent(p, a)
}

// comeBack returns when the caller of a refused request should send it again.
func (p *pending) comeBack(now cassiatally.Instant) time.Duration {
	most := float64(p.req.Deadline.Sub(now)) * comeBackPart
	return time.Duration(max(most, 0) * (leastComeBack + (1-leastComeBack)*float64(p.req.Order)))
}

func (r *Router) deliverUnsent(p *pending, a cassiatally.Answer) []cassiatally.Action {
	a.ID = p.req.ID
	a.RetriesSpent = p.spent
	return []cassiatally.Action{cassiatally.Deliver{Call: p.req.ID, Answer: a}}
}

func (r *Router) scheduleWake(p *pending, at cassiatally.Instant) {
	heap.Push(&r.wakes, wake{at: at, p: p})
}

func refusal(kind cassiatally.ErrorKind, detail string) cassiatally.Answer {
	return cassiatally.Answer{Outcome: cassiatally.OutcomeNotRun, Kind: kind, Detail: detail}
}

func unresolved(kind cassiatally.ErrorKind, detail string) cassiatally.Answer {
	return cassiatally.Answer{Outcome: cassiatally.OutcomeUnknown, Kind: kind, Detail: detail}
}

type wake struct {
	at cassiatally.Instant
	p  *pending
}

type wakeHeap []wake

func (h wakeHeap) Len() int           { return len(h) }
func (h wakeHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h wakeHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *wakeHeap) Push(x any)        { *h = append(*h, x.(wake)) }
func (h *wakeHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = wake{}
	*h = old[:len(old)-1]
	return last
}
