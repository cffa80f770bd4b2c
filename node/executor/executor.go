// Package executor is the duty that runs calls at the local backend server. Each of
// its workers makes one HTTP call to the backend server at a time.
//
// # Usage
//
//	x := &executor.Executor{Runner: r, Clock: clock, Transport: links, Requests: d, ...}
//	x.Run()
//	defer x.Close()
//	x.Call("node-2", call)
package executor

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/looper"
	"github.com/cassiatally/cassiatally/cassiatally/recoverer"
	"github.com/cassiatally/cassiatally/cassiatally/ring"
	"github.com/cassiatally/cassiatally/cassiatally/runner"
)

const (
	inboxSize = 4096
	// resultReserve is the inbox space that calls leave free for results, since
	// results complete work.
	resultReserve = 1024
	// tickInterval is the time between updates of levels and reports.
	// queueTickInterval applies while calls are queued, so that they are dropped soon
	// after they have become unservable. An idle node that always used the shorter
	// interval would spend most of its processor time on ticks.
	tickInterval         = 100 * time.Millisecond
	queueTickInterval    = 20 * time.Millisecond
	suspectCountInterval = time.Second
	// reportInterval is the time after which a report is repeated, since the receiver
	// drops reports while its inbox is full.
	reportInterval = time.Second
	// MaxWorkers bounds the calls to one backend server.
	MaxWorkers         = 1024
	defaultAnnounceTTL = 3 * time.Second
	firstServerError   = 500
)

// Executor is the duty. Its fields are set before Run.
type Executor struct {
	Runner     *runner.Runner
	Quarantine cassiatally.Quarantine
	Clock      cassiatally.Clock
	Transport  cassiatally.Transport
	Requests   cassiatally.Requests
	Backend    cassiatally.BackendClient
	// AnnounceTTL is the time after which an announcement of the backend server
	// expires; 0 means 3 s.
	AnnounceTTL time.Duration
	// AnswerGrace is how long after the deadline of a run its answer may still arrive.
	AnswerGrace time.Duration
	Logger      cassiatally.Logger
	// UnsentAnswerBytes, if set, returns the size of the answers that wait to be written to
	// other nodes.
	UnsentAnswerBytes func() int64
	// OnQueueWait is called with the time that each started call spent in the queue;
	// it must not block.
	OnQueueWait func(cassiatally.Rank, time.Duration)
	// OnEndpoint is called by the duty when the endpoint or its load has changed,
	// while there are crash reports, and at least once a second; it must not block.
	OnEndpoint func(cassiatally.Endpoint, []cassiatally.CrashReport)
	// OnNotice, if set, is called by the duty when the backend server states something
	// else about itself than before; it must not block.
	OnNotice func(cassiatally.Notice)
	// OnMachineLoad, if set, is called by the duty at most every 100 ms when the state of a
	// backend server that shares its machine has changed; it must not block.
	OnMachineLoad func(runner.MachineLoad)

	inbox       *ring.Ring[event]
	duty        looper.Looper[event]
	jobs        *ring.Ring[job]
	workers     sync.WaitGroup
	workerCount int
	target      atomic.Pointer[cassiatally.BackendTarget]
	replies     map[cassiatally.CallID]func(cassiatally.Answer)
	cancels     map[cassiatally.CallID]context.CancelFunc
	ctx         context.Context
	cancel      context.CancelFunc
	loggedState cassiatally.EndpointState
	// reportedNotice is the notice of the last call of OnNotice.
	reportedNotice cassiatally.Notice
	// reportedMachineLoad is the state of the last call of OnMachineLoad.
	reportedMachineLoad runner.MachineLoad
	// lastTick and lastReport are the times of the last tick and the last report.
	lastTick, lastReport cassiatally.Instant
	running, unanswered  atomic.Int64
	counts               atomic.Pointer[runner.Counts]
	suspects             atomic.Pointer[suspectCounts]
	// leaving is set when the leave event and all calls accepted before it are handled.
	leaving atomic.Bool
	// nextSuspectCount is when the suspects are counted next.
	nextSuspectCount cassiatally.Instant
	// reportedEndpoint is the endpoint of the last call of OnEndpoint, and
	// reportedCrashes is set if that call had crash reports. nextReport is when
	// OnEndpoint is called again even without a change.
	reportedEndpoint cassiatally.Endpoint
	reportedCrashes  bool
	nextReport       cassiatally.Instant
}

// Run starts the duty.
func (x *Executor) Run() {
	if x.AnnounceTTL == 0 {
		x.AnnounceTTL = defaultAnnounceTTL
	}
	x.ctx, x.cancel = context.WithCancel(context.Background())
	x.inbox = ring.New[event](inboxSize, ring.Wait)
	x.jobs = ring.New[job](MaxWorkers, ring.RefuseNewest)
	x.replies = make(map[cassiatally.CallID]func(cassiatally.Answer))
	x.cancels = make(map[cassiatally.CallID]context.CancelFunc)
	x.counts.Store(&runner.Counts{})
	x.suspects.Store(&suspectCounts{})
	x.duty = looper.Looper[event]{
		Clock:     x.Clock,
		Recoverer: &recoverer.Recoverer{Logger: x.Logger, Duty: "executor"},
		Inbox:     x.inbox,
		Handle:    func(now cassiatally.Instant, e event) { e.apply(x, now) },
		Tick:      x.tick,
		Interval:  tickInterval,
		NextWake: func() (cassiatally.Instant, bool) {
			return x.lastTick.Add(queueTickInterval), x.Runner.Queued() > 0
		},
	}
	x.duty.Run()
}

// Refused returns the number of messages that were dropped because the inbox was
// full.
func (x *Executor) Refused() uint64 {
	refused, _ := x.inbox.LossCounts()
	return refused
}

// Close stops the workers and the duty and waits for them.
func (x *Executor) Close() {
	x.cancel()
	x.jobs.Close()
	x.workers.Wait()
	x.duty.Close()
}

// Running returns the number of runs in flight.
func (x *Executor) Running() int { return int(x.running.Load()) }

// Unanswered returns the number of calls that were started and whose answers have not
// been sent, as of the last event that was handled.
func (x *Executor) Unanswered() int { return int(x.unanswered.Load()) }

// Drained reports whether the leave event is handled and all calls that were started are
// answered. Without the first condition, a call that the duty is just starting would not
// be counted yet, and the node could stop during its run.
func (x *Executor) Drained() bool { return x.leaving.Load() && x.Unanswered() == 0 }

// Counts returns the totals of the runner as of the last tick.
func (x *Executor) Counts() runner.Counts { return *x.counts.Load() }

// Suspects returns how many requests are suspected of crashing backend servers and
// how many are quarantined, as of the last second.
func (x *Executor) Suspects() (suspects, quarantined int) {
	m := x.suspects.Load()
	return m.suspects, m.quarantined
}

// Call queues a call from a node. It returns false when the inbox is full.
func (x *Executor) Call(from cassiatally.NodeID, c cassiatally.Call) bool {
	return x.inbox.Offer(callEvent{from: from, call: c}, resultReserve)
}

// Cancel queues the cancellation of a call.
func (x *Executor) Cancel(c cassiatally.Cancel) { x.inbox.Offer(cancelEvent{cancel: c}, 0) }

// Query queues a query of a node for the outcome of a call.
func (x *Executor) Query(from cassiatally.NodeID, q cassiatally.RunQuery) {
	x.inbox.Offer(queryEvent{from: from, query: q}, 0)
}

// Announce queues an announcement of the backend server. It returns false when the
// inbox is full.
func (x *Executor) Announce(a cassiatally.Announcement) bool {
	return x.inbox.Offer(announceEvent{a: a}, 0)
}

// Withdraw queues the end of the announcement in force: the backend server has left.
func (x *Executor) Withdraw() { x.inbox.Offer(withdrawEvent{}, 0) }

// Leave queues the shutdown of the node, after which new work is refused. It blocks
// while the inbox is full. Drained reports when it is handled and no run is left.
func (x *Executor) Leave() { x.inbox.Push(x.ctx, leaveEvent{}) }

// Stop queues the end of the runs that are left, whose outcome becomes unknown. It blocks
// while the inbox is full.
func (x *Executor) Stop() { x.inbox.Push(x.ctx, stopEvent{}) }

// SetShares sets the reserved share of each rank, from the sheet in force.
func (x *Executor) SetShares(shares [cassiatally.MaxRanks]cassiatally.Share) {
	x.inbox.Offer(sharesEvent{shares: shares}, 0)
}

// MergeCrashReports queues crash reports that arrived with the gossip about members.
func (x *Executor) MergeCrashReports(reports []cassiatally.CrashReport) {
	x.inbox.Offer(mergeCrashReportsEvent{reports: reports}, 0)
}

// HandleCrashReports queues crash reports that another node sent directly, or its
// acknowledgement of such reports. They are dropped when the inbox is full; the other
// node sends unacknowledged reports again.
func (x *Executor) HandleCrashReports(from cassiatally.NodeID, g cassiatally.Gossip) {
	x.inbox.Offer(crashReportsEvent{from: from, gossip: g}, 0)
}

// SetPeers sets the nodes of the endpoints of each service, except this one.
func (x *Executor) SetPeers(peers map[cassiatally.Service][]cassiatally.NodeID) {
	x.inbox.Offer(peersEvent{peers: peers}, 0)
}

// BeginChild queues an onward call of the backend server. It returns false when the
// inbox is full; reply is then not called.
func (x *Executor) BeginChild(c runner.ChildCall, reply func(cassiatally.Answer)) bool {
	return x.inbox.Offer(childEvent{call: c, reply: reply}, resultReserve)
}

// AbandonChild withdraws an onward call for which the backend server does not wait
// any more.
func (x *Executor) AbandonChild(waiter cassiatally.CallID) {
	x.inbox.Offer(abandonEvent{waiter: waiter}, 0)
}

func (x *Executor) tick(now cassiatally.Instant) {
	x.lastTick = now
	x.carryOut(now, x.Runner.Tick(now))
	if now.Sub(x.lastReport) >= tickInterval {
		x.reportEndpoint(now)
		x.reportMachineLoad()
	}
}

func (x *Executor) carryOut(now cassiatally.Instant, actions []cassiatally.Action) {
	x.running.Store(int64(x.Runner.Running()))
	defer func() { x.unanswered.Store(int64(x.Runner.Unanswered())) }()
	for _, a := range actions {
		switch a := a.(type) {
		case cassiatally.Send:
			if err := x.Transport.Send(a.To, a.Message); err != nil {
				x.Logger.Debug("answer not sent", "to", a.To, "error", err)
			}
		case cassiatally.StartRun:
			x.OnQueueWait(a.Call.Rank, a.QueueWait)
			x.startRun(now, a.Call)
		case cassiatally.AbortRun:
			if cancel, ok := x.cancels[a.Call]; ok {
				cancel()
			}
		case cassiatally.Submit:
			x.submit(now, a.Request)
		case cassiatally.Withdraw:
			x.Requests.Withdraw(a.Call)
		case cassiatally.Deliver:
			x.deliver(a)
		default:
		}
	}
}

func (x *Executor) deliver(d cassiatally.Deliver) {
	reply, ok := x.replies[d.Call]
	delete(x.replies, d.Call)
	if ok {
		reply(d.Answer)
	}
}

func (x *Executor) submit(now cassiatally.Instant, req cassiatally.Request) {
	id := req.ID
	ok := x.Requests.Submit(req, func(a cassiatally.Answer) {
		x.inbox.Push(x.ctx, childAnswerEvent{id: id, answer: a})
	})
	if !ok {
		x.carryOut(now, x.Runner.ChildAnswered(now, id, cassiatally.Answer{
			ID: id, Outcome: cassiatally.OutcomeNotRun, Kind: cassiatally.KindOverloaded, Detail: "the node is overloaded",
		}))
	}
}
