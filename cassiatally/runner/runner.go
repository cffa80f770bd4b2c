// Package runner manages the calls at one backend server: it decides which are
// queued, started, refused and answered, assigns onward calls to the runs that
// make them, and answers queries for the outcome of a call whose link was lost.
//
// A Runner is a state machine without goroutines or timers. The executor duty
// owns it, carries out the actions that it returns, and passes in the results of
// the backend server.
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
	"github.com/cassiatally/cassiatally/cassiatally/failuremeter"
	"github.com/cassiatally/cassiatally/cassiatally/noticetracker"
	"github.com/cassiatally/cassiatally/cassiatally/outcomekeeper"
	"github.com/cassiatally/cassiatally/cassiatally/ratelimiter"
)

// maxHeldSuspects bounds the suspects that wait for another one to end.
const maxHeldSuspects = 64

const quarantinedDetail = "this request crashed backend servers; do not send it again"

type phase uint8

const (
	phaseQueued phase = iota
	phaseRunning
	// phaseFinished is the phase of a call whose answer is withheld. Other finished calls
	// have no record.
	phaseFinished
)

type record struct {
	call        cassiatally.Call
	from        cassiatally.NodeID
	phase       phase
	fingerprint cassiatally.Fingerprint
	deadline    cassiatally.Instant
	queued      cassiatally.Instant
	started     cassiatally.Instant
	concurrency cassiatally.Concurrency
	cancelled   bool
	// lastCrash is the number of the last crash before the run started.
	lastCrash cassiatally.CrashNumber
	// serverStart is the start of the backend server that was in place when the run
	// started.
	serverStart noticetracker.Start
	// abortedAsStalled is set when the run was aborted because it was unlikely to
	// meet its deadline.
	abortedAsStalled bool
	// abortedByStop is set when the run was aborted because this node stops.
	abortedByStop bool
	// held is set while the call waits outside the queue for another suspect to end.
	held bool
	// answerWithheld is set until the peers have acknowledged the crash that broke
	// off the run.
	answerWithheld bool
	// mustRemember is set when the sender may query the outcome of the call.
	mustRemember bool
	// cutOff is set when the run ended at its deadline or was cancelled.
	cutOff   bool
	answer   cassiatally.Answer
	children children
}

// Runner holds the state of the calls at one backend server. Its fields are set before
// its first use.
type Runner struct {
	// Granter, if set, decides which of the calls that the backend server refused may be
	// sent once more.
	Granter cassiatally.RetryGranter
	// Outcomes keeps the outcomes of the finished calls whose senders may query them. New
	// sets it.
	Outcomes *outcomekeeper.Keeper

	self       cassiatally.NodeRef
	admitter   cassiatally.Admitter
	limiter    cassiatally.Limiter
	quarantine cassiatally.Quarantine
	nextID     func() cassiatally.CallID

	endpoint            cassiatally.Endpoint
	announcementExpires cassiatally.Instant
	shares              [cassiatally.MaxRanks]cassiatally.Share
	records             map[cassiatally.CallID]*record
	childRefs           map[cassiatally.CallID]childRef
	// runsByName maps the ids that callers gave to their requests to the runs in
	// flight.
	runsByName map[cassiatally.RequestName]cassiatally.CallID
	// unremembered counts the records of calls whose outcome will have to be kept.
	unremembered int
	// unsentAnswerBytes is the size of the answers that wait to be written.
	unsentAnswerBytes int64
	// cutOffs has the runs that were cut off in the last crashWindow.
	cutOffs      []cutOffRun
	heldSuspects []cassiatally.CallID
	running      int
	peers        map[cassiatally.Service][]cassiatally.NodeID
	// unacknowledgedCrashes holds the crashes that not all peers have acknowledged.
	unacknowledgedCrashes []*crash
	failures              failuremeter.Meter
	// failureRate is that of failures as of the last tick or end of a run.
	failureRate cassiatally.FailureRate
	lastCrashAt cassiatally.Instant
	// lastProgress is when a run last ended or made an onward call, or when the
	// first of those in flight started.
	lastProgress cassiatally.Instant
	leaving      bool
	lateResults  uint64
	crashes      cassiatally.CrashNumber
	sheds        map[shedKey]uint64
	notices      noticetracker.Tracker
	rates        ratelimiter.Limiter
	slowdowns    slowdowns
	detached     detached
	queueWait    [cassiatally.MaxRanks]QueueWait
}

// New returns a runner without a backend server. nextID generates the ids of
// onward calls.
func New(self cassiatally.NodeRef, a cassiatally.Admitter, l cassiatally.Limiter, q cassiatally.Quarantine, nextID func() cassiatally.CallID) *Runner {
	return &Runner{
		Outcomes:   &outcomekeeper.Keeper{},
		self:       self,
		admitter:   a,
		limiter:    l,
		quarantine: q,
		nextID:     nextID,
		records:    make(map[cassiatally.CallID]*record),
		childRefs:  make(map[cassiatally.CallID]childRef),
		sheds:      make(map[shedKey]uint64),
		runsByName: make(map[cassiatally.RequestName]cassiatally.CallID),
	}
}

// SetShares sets the reserved share of each rank, from the sheet in force.
func (r *Runner) SetShares(shares [cassiatally.MaxRanks]cassiatally.Share) { r.shares = shares }

// Announce records the announcement of the backend server, which expires after
// ttl unless it is renewed.
func (r *Runner) Announce(now cassiatally.Instant, e cassiatally.Endpoint, ttl time.Duration) []cassiatally.Action {
	if e.Slots != r.endpoint.Slots || r.endpoint.State == cassiatally.EndpointNone {
		r.limiter.Resize(now, e.Slots)
	}
	e.State = r.stateBy(e.State)
	r.endpoint = e
	r.announcementExpires = now.Add(ttl)
	if e.State == cassiatally.EndpointDraining {
		// Queued calls would be started after the backend server was promised no
		// further work.
		return r.refuseQueued(now, nil)
	}
	return r.startQueued(now, nil)
}

// Withdraw records that the backend server has left.
func (r *Runner) Withdraw(now cassiatally.Instant) []cassiatally.Action {
	r.endpoint.State = cassiatally.EndpointNone
	return r.refuseQueued(now, nil)
}

// Endpoint returns the endpoint to announce to other nodes.
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

// Queued returns the number of calls in the queue.
func (r *Runner) Queued() int { return r.admitter.Len() }

// Running returns the number of runs in flight.
func (r *Runner) Running() int { return r.running }

func (r *Runner) load() cassiatally.EndpointLoad {
	l := cassiatally.EndpointLoad{
		Node:            r.self.Node,
		Limit:           r.concurrency(),
		InFlight:        cassiatally.Concurrency(r.occupied()),
		Queued:          r.admitter.Len(),
		TypicalSelfTime: r.limiter.TypicalSelfTime(),
		FailureRate:     r.failureRate,
	}
	r.slowdowns.addTo(&l)
	return l
}

// HandleCall queues or refuses a call from a node. A call that has arrived before
// is not run again.
func (r *Runner) HandleCall(now cassiatally.Instant, from cassiatally.NodeID, c cassiatally.Call) []cassiatally.Action {
	if rec, ok := r.records[c.ID]; ok {
		rec.from = from // the answer follows
		return nil
	}
	if a, ok := r.knownOutcome(c); ok {
		return []cassiatally.Action{cassiatally.Send{To: from, Message: a}}
	}
	actions := r.adoptNotice(now, c.Notice)
	if kind, detail := r.refusal(now, from, c); kind != cassiatally.KindNone {
		r.countShed(c.Rank, kind)
		return r.refuse(actions, from, c, kind, detail)
	}
	rec := &record{
		call:        c,
		from:        from,
		fingerprint: c.Fingerprint(),
		deadline:    now.Add(c.Remaining),
		queued:      now,
		// Senders repeat idempotent calls instead of querying them, and this node has no
		// link to itself that could be lost.
		mustRemember: !c.Idempotent && from != r.self.Node,
	}
	rec.children.retriesLeft = c.Retries
	rec.held = r.mustWait(now, rec, phaseQueued)
	r.addRecord(rec)
	if rec.held {
		r.heldSuspects = append(r.heldSuspects, c.ID)
		return actions
	}
	return r.startQueued(now, r.enqueue(actions, now, rec))
}

// enqueue offers a call to the admitter and refuses the calls that it drops.
func (r *Runner) enqueue(actions []cassiatally.Action, now cassiatally.Instant, rec *record) []cassiatally.Action {
	c := rec.call
	dropped := r.admitter.Offer(now, cassiatally.Entry{
		ID:       c.ID,
		Rank:     c.Rank,
		Work:     c.Work,
		Share:    r.shares[min(c.Rank, cassiatally.MaxRanks-1)],
		Tenant:   c.Tenant,
		Order:    c.Order,
		Deadline: rec.deadline,
		Onward:   c.Depth > 0,
	})
	return r.refuseDropped(actions, dropped)
}

// queueHeldSuspects queues the next suspect once no other one is queued or
// running. A refusal instead would use up the retries of unrelated requests that
// were in flight in a crash.
func (r *Runner) queueHeldSuspects(actions []cassiatally.Action, now cassiatally.Instant) []cassiatally.Action {
	for len(r.heldSuspects) > 0 {
		rec, ok := r.records[r.heldSuspects[0]]
		switch {
		case !ok || rec.phase != phaseQueued:
		case r.quarantine.Blocked(now, rec.fingerprint):
			actions = r.finishCall(actions, now, rec, notRun(rec.call.ID, cassiatally.KindQuarantined, quarantinedDetail))
		case now.Reached(rec.deadline):
			actions = r.finishCall(actions, now, rec, notRun(rec.call.ID, cassiatally.KindExpired, "the deadline passed behind a request that may crash the backend server"))
		case r.hasOtherSuspect(now, rec, phaseQueued):
			return actions
		default:
			rec.held = false
			actions = r.enqueue(actions, now, rec)
		}
		r.heldSuspects = r.heldSuspects[1:]
	}
	return actions
}

func (r *Runner) refusal(now cassiatally.Instant, from cassiatally.NodeID, c cassiatally.Call) (cassiatally.ErrorKind, string) {
	switch {
	case r.leaving || r.endpoint.State != cassiatally.EndpointReady:
		return cassiatally.KindDraining, "the backend server takes no new work"
	case c.Service != r.endpoint.Service:
		return cassiatally.KindDraining, "the backend server of this host serves " + string(r.endpoint.Service)
	case c.Remaining <= 0:
		return cassiatally.KindExpired, "the deadline passed on the way"
	case from != r.self.Node && r.unsentAnswerBytes >= r.Outcomes.ByteLimit():
		return cassiatally.KindOverloaded, "too many bytes of answers wait to be written"
	case !c.Idempotent && from != r.self.Node && !r.Outcomes.HasRoom(r.unremembered):
		return cassiatally.KindOverloaded, "the node has no room for the outcome of the call"
	}
	f := c.Fingerprint()
	switch {
	case r.quarantine.Blocked(now, f):
		return cassiatally.KindQuarantined, quarantinedDetail
	case r.quarantine.Suspect(now, f) && len(r.heldSuspects) >= maxHeldSuspects:
		return cassiatally.KindOverloaded, "too many requests that may crash the backend server wait"
	}
	return cassiatally.KindNone, ""
}

// HandleCancel removes a call from the queue, or aborts its run when it is
// idempotent, since nobody waits for its answer any more.
func (r *Runner) HandleCancel(now cassiatally.Instant, id cassiatally.CallID) []cassiatally.Action {
	rec, ok := r.records[id]
	if !ok {
		return nil
	}
	switch rec.phase {
	case phaseQueued:
		r.admitter.Remove(id)
		return r.startQueued(now, r.finishCall(nil, now, rec, notRun(id, cassiatally.KindCancelled, "the caller left")))
	case phaseRunning:
		// A non-idempotent run is left to finish: to abort it would only turn a known
		// outcome into an unknown one.
		if rec.call.Idempotent && !rec.cancelled {
			rec.cancelled = true
			return []cassiatally.Action{cassiatally.AbortRun{Call: id}}
		}
	default:
	}
	return nil
}

// Tick withdraws an endpoint whose announcement has expired, drops outcomes whose deadline
// has passed, passes the concurrency limit to the admitter, resends crash reports, aborts
// stalled runs and starts queued calls.
func (r *Runner) Tick(now cassiatally.Instant) []cassiatally.Action {
	var actions []cassiatally.Action
	if r.endpoint.State != cassiatally.EndpointNone && now.Reached(r.announcementExpires) {
		actions = r.Withdraw(now)
	}
	r.Outcomes.Expire(now)
	r.slowdowns.expire(now)
	r.failureRate = r.failures.Rate(now)
	r.admitter.Tick(now, r.limiter.Limit())
	actions = r.resendCrashReports(actions, now)
	return r.startQueued(now, r.abortStalledRuns(r.queueHeldSuspects(actions, now), now))
}

func (r *Runner) startQueued(now cassiatally.Instant, actions []cassiatally.Action) []cassiatally.Action {
	if r.endpoint.State == cassiatally.EndpointNone {
		return actions
	}
	r.detached.expire(now)
	for {
		free := min(max(int(r.limiter.Limit())-r.occupied(), 0), r.rates.Free(now))
		before := r.running
		start, dropped := r.admitter.Next(now, free)
		for _, id := range start {
			actions = r.startCall(actions, now, id)
		}
		actions = r.refuseDropped(actions, dropped)
		if r.running-before == len(start) {
			return actions
		}
	}
}

// startCall starts a queued call. A crash report that arrived while it was queued may
// have quarantined it, or made it a suspect that has to wait.
func (r *Runner) startCall(actions []cassiatally.Action, now cassiatally.Instant, id cassiatally.CallID) []cassiatally.Action {
	rec, ok := r.records[id]
	if !ok || rec.phase != phaseQueued {
		return actions
	}
	switch {
	case r.quarantine.Blocked(now, rec.fingerprint):
		r.countShed(rec.call.Rank, cassiatally.KindQuarantined)
		return r.finishCall(actions, now, rec, notRun(id, cassiatally.KindQuarantined, quarantinedDetail))
	case r.mustWait(now, rec, phaseRunning):
		rec.held = true
		r.heldSuspects = append(r.heldSuspects, id)
		return actions
	}
	rec.phase = phaseRunning
	rec.started = now
	if rec.call.Name != "" {
		r.runsByName[rec.call.Name] = id
	}
	rec.lastCrash = r.crashes
	rec.serverStart = r.notices.Start()
	r.countQueueWait(now, rec)
	if r.running == 0 {
		r.recordProgress(now)
	}
	r.running++
	r.rates.Take(now)
	if r.Granter != nil {
		r.Granter.Arrived(now, rec.call)
	}
	rec.concurrency = cassiatally.Concurrency(r.running)
	call := rec.call
	call.Remaining = rec.deadline.Sub(now)
	return append(actions, cassiatally.StartRun{Call: call, QueueWait: now.Sub(rec.queued)})
}
