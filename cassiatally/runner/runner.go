// Package runner decides over the calls at one backend server: which are queued,
// started, refused and answered, which onward calls belong to which run, and what
// became of a call whose link was lost.
//
// A Runner is a state machine without goroutines or timers. The executor duty
// owns it, carries out the actions that it returns, and reports what the backend
// server answered.
//
// # Usage
//
//	r := runner.New(self, admitter, limiter, quarantine, nextID)
//	r.Announce(now, endpoint)
//	for _, a := range r.HandleCall(now, from, call) {
//		switch a := a.(type) {
//		case cassiatally.StartRun: // call the backend server, then r.Finished
//		case cassiatally.AbortRun: // cancel that call
//		case cassiatally.Send:     // pass the message to the node
//		case cassiatally.Submit:   // have the router route an onward call
//		case cassiatally.Deliver:  // answer an onward call
//		}
//	}
//	r.Tick(now) // at least every 100 ms
package runner

import (
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	// keepFinished is how long the answer of a finished call is kept for a sender
	// whose link was lost. It exceeds the time in which a dead link is noticed.
	keepFinished = 10 * time.Second
	// maxFinished bounds the finished and voided calls that are kept.
	maxFinished = 4096
	// maxHeld bounds the suspects that wait for another one to end.
	maxHeld = 64
)

const quarantinedDetail = "this request crashed backend servers; do not send it again"

type phase uint8

const (
	phaseQueued phase = iota
	phaseRunning
	phaseFinished
	phaseVoid
)

type record struct {
	call        cassiatally.Call
	from        cassiatally.NodeID
	phase       phase
	fingerprint cassiatally.Fingerprint
	deadline    cassiatally.Instant
	queued      cassiatally.Instant
	started     cassiatally.Instant
	ended       cassiatally.Instant
	concurrency cassiatally.Concurrency
	cancelled   bool
	// lastCrash is the last crash before the run started.
	lastCrash cassiatally.CrashNumber
	// brokenOff is set when the run was stopped since its deadline seemed out of
	// reach.
	brokenOff bool
	// held is set while the call waits outside the queue for another suspect.
	held bool
	// withheld is set while the answer waits until other nodes know of the crash.
	withheld bool
	// cutOff is set when the run ended at its deadline or was cancelled.
	cutOff   bool
	answer   cassiatally.Answer
	children children
}

// Runner owns the calls at one backend server.
type Runner struct {
	self       cassiatally.NodeRef
	admitter   cassiatally.Admitter
	limiter    cassiatally.Limiter
	quarantine cassiatally.Quarantine
	nextID     func() cassiatally.CallID

	endpoint  cassiatally.Endpoint
	lapses    cassiatally.Instant
	shares    [cassiatally.MaxRanks]cassiatally.Share
	records   map[cassiatally.CallID]*record
	childRuns map[cassiatally.CallID]childRef
	// named has the runs in flight by their callers' ids.
	named    map[cassiatally.RequestName]cassiatally.CallID
	finished []cassiatally.CallID
	held     []cassiatally.CallID
	running  int
	peers    map[cassiatally.Service][]cassiatally.NodeID
	// untold has the crashes that not all peers have acknowledged.
	untold    []*crash
	crashedAt cassiatally.Instant
	// progressed is when a run last ended or made an onward call, or when the first
	// of those in flight began.
	progressed cassiatally.Instant
	leaving    bool
	late       uint64
	crashes    cassiatally.CrashNumber
	sheds      map[shedKey]uint64
	waited     [cassiatally.MaxRanks]Waited
}

// New returns a runner without a backend server. nextID draws ids for onward
// calls.
func New(self cassiatally.NodeRef, a cassiatally.Admitter, l cassiatally.Limiter, q cassiatally.Quarantine, nextID func() cassiatally.CallID) *Runner {
	return &Runner{
		self:       self,
		admitter:   a,
		limiter:    l,
		quarantine: q,
		nextID:     nextID,
		records:    make(map[cassiatally.CallID]*record),
		childRuns:  make(map[cassiatally.CallID]childRef),
		sheds:      make(map[shedKey]uint64),
		named:      make(map[cassiatally.RequestName]cassiatally.CallID),
	}
}

// SetShares sets the kept share of each rank, from the sheet in force.
func (r *Runner) SetShares(shares [cassiatally.MaxRanks]cassiatally.Share) { r.shares = shares }

// Announce records what the backend server says about itself. It lapses after
// ttl without renewal.
func (r *Runner) Announce(now cassiatally.Instant, e cassiatally.Endpoint, ttl time.Duration) []cassiatally.Action {
	if e.Slots != r.endpoint.Slots || r.endpoint.State == cassiatally.EndpointNone {
		r.limiter.Resize(now, e.Slots)
	}
	r.endpoint = e
	r.lapses = now.Add(ttl)
	if e.State == cassiatally.EndpointDraining {
		// Those who wait here would be started after the backend server was told that
		// nothing more comes.
		return r.refuseQueued(now, nil)
	}
	return r.pump(now, nil)
}

// Withdraw records that the backend server has left.
func (r *Runner) Withdraw(now cassiatally.Instant) []cassiatally.Action {
	r.endpoint.State = cassiatally.EndpointNone
	return r.refuseQueued(now, nil)
}

// Leave stops new work because the node itself is told to stop. Runs in flight
// finish.
func (r *Runner) Leave(now cassiatally.Instant) []cassiatally.Action {
	r.leaving = true
	return r.refuseQueued(now, nil)
}

// Endpoint returns what to announce to other nodes.
func (r *Runner) Endpoint() cassiatally.Endpoint {
	e := r.endpoint
	if r.leaving && e.State == cassiatally.EndpointReady {
		e.State = cassiatally.EndpointDraining
	}
	e.Load = r.load()
	e.Levels = r.admitter.Levels()
	return e
}

// Idle reports whether no run is in flight.
func (r *Runner) Idle() bool { return r.running == 0 }

// Queued returns the calls in the queue.
func (r *Runner) Queued() int { return r.admitter.Len() }

// Running returns the runs in flight.
func (r *Runner) Running() int { return r.running }

func (r *Runner) load() cassiatally.EndpointLoad {
	return cassiatally.EndpointLoad{
		Node:            r.self.Node,
		Limit:           r.limiter.Limit(),
		InFlight:        cassiatally.Concurrency(r.running),
		Queued:          r.admitter.Len(),
		TypicalSelfTime: r.limiter.TypicalSelfTime(),
	}
}

// HandleCall takes a call from a node.
func (r *Runner) HandleCall(now cassiatally.Instant, from cassiatally.NodeID, c cassiatally.Call) []cassiatally.Action {
	if known, ok := r.records[c.ID]; ok {
		return r.repeatCall(known, from)
	}
	if kind, detail := r.refusal(now, c); kind != cassiatally.KindNone {
		r.countShed(c.Rank, kind)
		return r.refuse(nil, from, c, kind, detail)
	}
	rec := &record{
		call:        c,
		from:        from,
		fingerprint: c.Fingerprint(),
		deadline:    now.Add(c.Remaining),
		queued:      now,
	}
	rec.children.left = c.Retries
	rec.held = r.mustWait(now, rec, phaseQueued)
	r.records[c.ID] = rec
	if rec.held {
		r.held = append(r.held, c.ID)
		return nil
	}
	return r.pump(now, r.offer(nil, now, rec))
}

// offer puts a call into the queue.
func (r *Runner) offer(actions []cassiatally.Action, now cassiatally.Instant, rec *record) []cassiatally.Action {
	c := rec.call
	dropped := r.admitter.Offer(now, cassiatally.Entry{
		ID:       c.ID,
		Rank:     c.Rank,
		Share:    r.shares[min(c.Rank, cassiatally.MaxRanks-1)],
		Tenant:   c.Tenant,
		Order:    c.Order,
		Deadline: rec.deadline,
		Onward:   c.Depth > 0,
	})
	return r.drop(actions, dropped)
}

// releaseHeld queues the next suspect once no other one is queued or running. A
// refusal instead would use up the retries of innocent requests that were in
// flight in a crash.
func (r *Runner) releaseHeld(actions []cassiatally.Action, now cassiatally.Instant) []cassiatally.Action {
	for len(r.held) > 0 {
		rec, ok := r.records[r.held[0]]
		switch {
		case !ok || rec.phase != phaseQueued:
		case r.quarantine.Blocked(now, rec.fingerprint):
			actions = r.conclude(actions, now, rec, notRun(rec.call.ID, cassiatally.KindQuarantined, quarantinedDetail))
		case now.Reached(rec.deadline):
			actions = r.conclude(actions, now, rec, notRun(rec.call.ID, cassiatally.KindExpired, "the deadline passed behind a request that may crash the backend server"))
		case r.suspectBeside(now, rec, phaseQueued):
			return actions
		default:
			rec.held = false
			actions = r.offer(actions, now, rec)
		}
		r.held = r.held[1:]
	}
	return actions
}

func (r *Runner) refusal(now cassiatally.Instant, c cassiatally.Call) (cassiatally.ErrorKind, string) {
	switch {
	case r.leaving || r.endpoint.State != cassiatally.EndpointReady:
		return cassiatally.KindDraining, "the backend server takes no new work"
	case c.Service != r.endpoint.Service:
		return cassiatally.KindDraining, "the backend server of this host serves " + string(r.endpoint.Service)
	case c.Remaining <= 0:
		return cassiatally.KindExpired, "the deadline passed on the way"
	}
	f := c.Fingerprint()
	switch {
	case r.quarantine.Blocked(now, f):
		return cassiatally.KindQuarantined, quarantinedDetail
	case r.quarantine.Suspect(now, f) && len(r.held) >= maxHeld:
		return cassiatally.KindOverloaded, "too many requests that may crash the backend server wait"
	}
	return cassiatally.KindNone, ""
}

func (r *Runner) repeatCall(rec *record, from cassiatally.NodeID) []cassiatally.Action {
	rec.from = from
	switch {
	case rec.withheld:
		return nil
	case rec.phase == phaseFinished, rec.phase == phaseVoid:
		return []cassiatally.Action{cassiatally.Send{To: from, Message: rec.answer}}
	default:
		return nil
	}
}

// HandleCancel stops a call for which nobody waits any more.
func (r *Runner) HandleCancel(now cassiatally.Instant, id cassiatally.CallID) []cassiatally.Action {
	rec, ok := r.records[id]
	if !ok {
		return nil
	}
	switch rec.phase {
	case phaseQueued:
		r.admitter.Remove(id)
		return r.pump(now, r.conclude(nil, now, rec, notRun(id, cassiatally.KindCancelled, "the caller left")))
	case phaseRunning:
		// A non-idempotent run is left to finish: to break it off would only turn a
		// known outcome into an unknown one.
		if rec.call.Idempotent && !rec.cancelled {
			rec.cancelled = true
			return []cassiatally.Action{cassiatally.AbortRun{Call: id}}
		}
	default:
	}
	return nil
}

// HandleRunQuery tells a node what became of a call whose link was lost. A call
// that was not seen is voided.
func (r *Runner) HandleRunQuery(now cassiatally.Instant, from cassiatally.NodeID, q cassiatally.RunQuery) []cassiatally.Action {
	if q.Target != r.self.Incarnation {
		a := cassiatally.Answer{ID: q.ID, Request: q.Request, Outcome: cassiatally.OutcomeUnknown, Kind: cassiatally.KindOutcomeUnknown, Detail: "the node was restarted after the call was sent"}
		return []cassiatally.Action{cassiatally.Send{To: from, Message: a}}
	}
	if rec, ok := r.records[q.ID]; ok {
		return r.repeatCall(rec, from)
	}
	rec := &record{call: cassiatally.Call{ID: q.ID}, from: from, phase: phaseVoid, ended: now}
	rec.answer = notRun(q.ID, cassiatally.KindUnreachable, "the call never arrived")
	rec.answer.Request = q.Request
	r.records[q.ID] = rec
	r.keep(q.ID)
	return []cassiatally.Action{cassiatally.Send{To: from, Message: rec.answer}}
}

// Tick renews the limits, drops what has expired and starts what can run.
func (r *Runner) Tick(now cassiatally.Instant) []cassiatally.Action {
	var actions []cassiatally.Action
	if r.endpoint.State != cassiatally.EndpointNone && now.Reached(r.lapses) {
		actions = r.Withdraw(now)
	}
	r.forget(now)
	r.admitter.Tick(now, r.limiter.Limit())
	actions = r.tellAgain(actions, now)
	return r.pump(now, r.breakOff(r.releaseHeld(actions, now), now))
}

func (r *Runner) forget(now cassiatally.Instant) {
	for len(r.finished) > 0 {
		rec := r.records[r.finished[0]]
		if rec != nil && now.Sub(rec.ended) < keepFinished && len(r.finished) <= maxFinished {
			return
		}
		delete(r.records, r.finished[0])
		r.finished = r.finished[1:]
	}
}

func (r *Runner) keep(id cassiatally.CallID) { r.finished = append(r.finished, id) }

func (r *Runner) pump(now cassiatally.Instant, actions []cassiatally.Action) []cassiatally.Action {
	if r.endpoint.State == cassiatally.EndpointNone {
		return actions
	}
	for {
		free := max(int(r.limiter.Limit())-r.running, 0)
		before := r.running
		start, dropped := r.admitter.Next(now, free)
		for _, id := range start {
			actions = r.start(actions, now, id)
		}
		actions = r.drop(actions, dropped)
		if r.running-before == len(start) {
			return actions
		}
	}
}

// start starts a queued call, unless a crash elsewhere that became known while it
// was queued speaks against it.
func (r *Runner) start(actions []cassiatally.Action, now cassiatally.Instant, id cassiatally.CallID) []cassiatally.Action {
	rec, ok := r.records[id]
	if !ok || rec.phase != phaseQueued {
		return actions
	}
	switch {
	case r.quarantine.Blocked(now, rec.fingerprint):
		r.countShed(rec.call.Rank, cassiatally.KindQuarantined)
		return r.conclude(actions, now, rec, notRun(id, cassiatally.KindQuarantined, quarantinedDetail))
	case r.mustWait(now, rec, phaseRunning):
		rec.held = true
		r.held = append(r.held, id)
		return actions
	}
	rec.phase = phaseRunning
	rec.started = now
	if rec.call.Name != "" {
		r.named[rec.call.Name] = id
	}
	rec.lastCrash = r.crashes
	r.countStart(now, rec)
	if r.running == 0 {
		r.progress(now)
	}
	r.running++
	rec.concurrency = cassiatally.Concurrency(r.running)
	call := rec.call
	call.Remaining = rec.deadline.Sub(now)
	return append(actions, cassiatally.StartRun{Call: call, Waited: now.Sub(rec.queued)})
}

func (r *Runner) drop(actions []cassiatally.Action, dropped []cassiatally.Dropped) []cassiatally.Action {
	for _, d := range dropped {
		rec, ok := r.records[d.ID]
		if !ok || rec.phase != phaseQueued {
			continue
		}
		delete(r.records, d.ID)
		r.countShed(rec.call.Rank, d.Kind)
		actions = r.refuse(actions, rec.from, rec.call, d.Kind, "refused before the backend server")
	}
	return actions
}

func (r *Runner) refuse(actions []cassiatally.Action, to cassiatally.NodeID, c cassiatally.Call, kind cassiatally.ErrorKind, detail string) []cassiatally.Action {
	a := notRun(c.ID, kind, detail)
	a.Request = c.Tag()
	a.Endpoint = r.load()
	a.Loads = r.ownLevels()
	return append(actions, cassiatally.Send{To: to, Message: a})
}

func (r *Runner) refuseQueued(now cassiatally.Instant, actions []cassiatally.Action) []cassiatally.Action {
	for id, rec := range r.records {
		if rec.phase != phaseQueued {
			continue
		}
		r.admitter.Remove(id)
		r.countShed(rec.call.Rank, cassiatally.KindDraining)
		actions = r.conclude(actions, now, rec, notRun(id, cassiatally.KindDraining, "the backend server takes no new work"))
	}
	return actions
}

func (r *Runner) ownLevels() []cassiatally.ServiceLoad {
	if r.endpoint.Service == "" {
		return nil
	}
	return []cassiatally.ServiceLoad{{
		Service: r.endpoint.Service,
		Weight:  float64(r.limiter.Limit()),
		Levels:  trimFullLevels(r.admitter.Levels()),
	}}
}

// trimFullLevels leaves out the levels of 1 at the end, which are those of most services
// most of the time. Ranks that are left out have level 1.
func trimFullLevels(levels []cassiatally.Level) []cassiatally.Level {
	for len(levels) > 0 && levels[len(levels)-1] >= 1 {
		levels = levels[:len(levels)-1]
	}
	return levels
}

// conclude answers a call and keeps the answer for a sender whose link was lost.
func (r *Runner) conclude(actions []cassiatally.Action, now cassiatally.Instant, rec *record, a cassiatally.Answer) []cassiatally.Action {
	r.settle(now, rec, a)
	return append(actions, cassiatally.Send{To: rec.from, Message: rec.answer})
}

func (r *Runner) settle(now cassiatally.Instant, rec *record, a cassiatally.Answer) {
	a.ID = rec.call.ID
	a.Request = rec.call.Tag()
	a.Endpoint = r.load()
	a.Loads = mergeLoads(r.ownLevels(), rec.children.loads)
	a.RetriesSpent = rec.children.spent
	rec.phase = phaseFinished
	rec.ended = now
	if r.named[rec.call.Name] == rec.call.ID {
		delete(r.named, rec.call.Name)
	}
	rec.answer = a
	rec.call.Body = nil
	rec.children.known, rec.children.made = nil, nil
	r.keep(rec.call.ID)
}

func notRun(id cassiatally.CallID, kind cassiatally.ErrorKind, detail string) cassiatally.Answer {
	return cassiatally.Answer{ID: id, Outcome: cassiatally.OutcomeNotRun, Kind: kind, Detail: detail}
}
