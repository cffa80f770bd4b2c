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
	"slices"
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
	Logger      cassiatally.Logger
	// OnQueueWait is called with the time that each started call spent in the queue;
	// it must not block.
	OnQueueWait func(cassiatally.Rank, time.Duration)
	// OnEndpoint is called by the duty when the endpoint or its load has changed,
	// while there are crash reports, and at least once a second; it must not block.
	OnEndpoint func(cassiatally.Endpoint, []cassiatally.CrashReport)
	// OnNotice, if set, is called by the duty when the backend server states something
	// else about itself than before; it must not block.
	OnNotice func(cassiatally.Notice)

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
	// lastTick and lastReport are the times of the last tick and the last report.
	lastTick, lastReport cassiatally.Instant
	running              atomic.Int64
	counts               atomic.Pointer[runner.Counts]
	suspects             atomic.Pointer[suspectCounts]
	// nextSuspectCount is when the suspects are counted next.
	nextSuspectCount cassiatally.Instant
	// reportedEndpoint is the endpoint of the last call of OnEndpoint, and
	// reportedCrashes is set if that call had crash reports. nextReport is when
	// OnEndpoint is called again even without a change.
	reportedEndpoint cassiatally.Endpoint
	reportedCrashes  bool
	nextReport       cassiatally.Instant
}

// suspectCounts has the numbers of requests that are suspected of crashing backend
// servers and of those that are quarantined for it.
type suspectCounts struct{ suspects, quarantined int }

type job struct {
	ctx  context.Context
	call cassiatally.Call
}

type event interface {
	apply(x *Executor, now cassiatally.Instant)
}

type (
	callEvent struct {
		from cassiatally.NodeID
		call cassiatally.Call
	}
	cancelEvent struct{ id cassiatally.CallID }
	queryEvent  struct {
		from  cassiatally.NodeID
		query cassiatally.RunQuery
	}
	resultEvent struct {
		id   cassiatally.CallID
		name cassiatally.RequestName
		res  cassiatally.RunResult
		took time.Duration
	}
	announceEvent struct{ a cassiatally.Announcement }
	withdrawEvent struct{}
	leaveEvent    struct{}
	sharesEvent   struct {
		shares [cassiatally.MaxRanks]cassiatally.Share
	}
	mergeCrashReportsEvent struct{ reports []cassiatally.CrashReport }
	crashReportsEvent      struct {
		from   cassiatally.NodeID
		gossip cassiatally.Gossip
	}
	peersEvent struct {
		peers map[cassiatally.Service][]cassiatally.NodeID
	}
	childEvent struct {
		call  runner.ChildCall
		reply func(cassiatally.Answer)
	}
	abandonEvent     struct{ waiter cassiatally.CallID }
	childAnswerEvent struct {
		id     cassiatally.CallID
		answer cassiatally.Answer
	}
)

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
func (x *Executor) Cancel(id cassiatally.CallID) { x.inbox.Offer(cancelEvent{id: id}, 0) }

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
// while the inbox is full.
func (x *Executor) Leave() { x.inbox.Push(x.ctx, leaveEvent{}) }

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
	}
}

func (x *Executor) reportEndpoint(now cassiatally.Instant) {
	x.lastReport = now
	e := x.Runner.Endpoint()
	counts := x.Runner.Counts()
	x.counts.Store(&counts)
	x.countSuspects(now)
	if e.State != x.loggedState {
		x.loggedState = e.State
		x.Logger.Info("backend server state changed", "service", e.Service, "state", e.State)
	}
	reports := x.Quarantine.Reports(now)
	if len(reports) == 0 && !x.reportedCrashes && !now.Reached(x.nextReport) && sameEndpoint(e, x.reportedEndpoint) {
		return
	}
	x.reportedEndpoint, x.reportedCrashes, x.nextReport = e, len(reports) > 0, now.Add(reportInterval)
	x.OnEndpoint(e, reports)
}

func sameEndpoint(a, b cassiatally.Endpoint) bool {
	return a.Service == b.Service && a.Slots == b.Slots && a.Connections == b.Connections && a.State == b.State &&
		a.Load == b.Load && slices.Equal(a.Levels, b.Levels)
}

// countSuspects counts at most once a second, since it visits every suspect.
func (x *Executor) countSuspects(now cassiatally.Instant) {
	if !now.Reached(x.nextSuspectCount) {
		return
	}
	x.nextSuspectCount = now.Add(suspectCountInterval)
	var m suspectCounts
	m.suspects, m.quarantined = x.Quarantine.Count(now)
	x.suspects.Store(&m)
}

func (e callEvent) apply(x *Executor, now cassiatally.Instant) {
	actions := x.Runner.HandleCall(now, e.from, e.call)
	x.reportNotice(now, string(e.from), e.call.Name)
	x.logRefusal(e, actions)
	x.carryOut(now, actions)
}

// logRefusal logs the calls that are refused when a call arrives: that call itself,
// or a queued one that is dropped in its favour.
func (x *Executor) logRefusal(e callEvent, actions []cassiatally.Action) {
	for _, action := range actions {
		s, ok := action.(cassiatally.Send)
		if !ok {
			continue
		}
		a, ok := s.Message.(cassiatally.Answer)
		if !ok || a.Kind == cassiatally.KindNone {
			continue
		}
		if a.ID != e.call.ID {
			x.Logger.Info("queued call refused for another", "call", a.ID, "kind", a.Kind, "for", e.call.Name)
			continue
		}
		x.Logger.Info("call refused", "request", e.call.Name, "call", a.ID, "from", e.from, "work", e.call.Work, "rank", e.call.Rank,
			"kind", a.Kind, "detail", a.Detail, "left", e.call.Remaining, "queued", a.Endpoint.Queued, "running", a.Endpoint.InFlight, "limit", a.Endpoint.Limit)
	}
}

func (e cancelEvent) apply(x *Executor, now cassiatally.Instant) {
	x.carryOut(now, x.Runner.HandleCancel(now, e.id))
}

func (e queryEvent) apply(x *Executor, now cassiatally.Instant) {
	x.carryOut(now, x.Runner.HandleRunQuery(now, e.from, e.query))
}

func (e resultEvent) apply(x *Executor, now cassiatally.Instant) {
	if cancel, ok := x.cancels[e.id]; ok {
		cancel()
		delete(x.cancels, e.id)
	}
	x.logResult(e)
	x.carryOut(now, x.Runner.Finished(now, e.id, e.res))
	x.reportNotice(now, "answer", e.name)
	if e.res.Kind == cassiatally.ResultBroken {
		x.reportEndpoint(now) // the lost endpoint and the crash reports go to all members immediately
	}
}

// logResult logs a run that did not succeed.
func (x *Executor) logResult(e resultEvent) {
	failed := e.res.Kind != cassiatally.ResultAnswered || e.res.Status >= firstServerError
	if !failed {
		return
	}
	x.Logger.Info("run failed", "request", e.name, "call", e.id, "result", e.res.Kind, "status", e.res.Status, "took", e.took, "detail", e.res.Detail)
}

func (e announceEvent) apply(x *Executor, now cassiatally.Instant) {
	x.target.Store(&cassiatally.BackendTarget{
		Address: e.a.Address, Instance: e.a.Instance, Connections: e.a.Endpoint.Connections,
	})
	x.addWorkers(int(e.a.Endpoint.Slots))
	x.Runner.Begin(now, e.a.Instance, e.a.StartedMs)
	x.carryOut(now, x.Runner.Announce(now, e.a.Endpoint, x.AnnounceTTL))
	x.reportEndpoint(now)
}

// reportNotice reports a change of what the backend server states about itself, and
// which request brought it.
func (x *Executor) reportNotice(now cassiatally.Instant, source string, name cassiatally.RequestName) {
	n := x.Runner.Notice()
	x.reportedNotice.Instance, x.reportedNotice.StartedMs = n.Instance, n.StartedMs
	if n == x.reportedNotice {
		return
	}
	leavingChanged := n.Leaving != x.reportedNotice.Leaving
	x.reportedNotice = n
	x.Logger.Info("backend server notice changed", "instance", n.Instance, "rate_limited", n.RateLimited, "rate_limit", n.RateLimit,
		"leaving", n.Leaving, "invalid_rate_limit", n.InvalidRateLimit, "source", source, "request", name)
	if x.OnNotice != nil {
		x.OnNotice(n)
	}
	if leavingChanged {
		x.reportEndpoint(now) // all members stop sending calls to it
	}
}

// addWorkers starts workers until there is one for each announced slot, or MaxWorkers.
func (x *Executor) addWorkers(slots int) {
	for x.workerCount < min(slots, MaxWorkers) {
		x.workerCount++
		x.workers.Go(x.runWorker)
	}
}

func (e withdrawEvent) apply(x *Executor, now cassiatally.Instant) {
	x.carryOut(now, x.Runner.Withdraw(now))
	x.reportEndpoint(now)
}

func (e leaveEvent) apply(x *Executor, now cassiatally.Instant) {
	x.carryOut(now, x.Runner.Leave(now))
	x.reportEndpoint(now)
}

func (e sharesEvent) apply(x *Executor, _ cassiatally.Instant) { x.Runner.SetShares(e.shares) }

func (e mergeCrashReportsEvent) apply(x *Executor, now cassiatally.Instant) {
	x.Quarantine.Merge(now, e.reports)
}

func (e crashReportsEvent) apply(x *Executor, now cassiatally.Instant) {
	if e.gossip.CrashAck != 0 {
		x.carryOut(now, x.Runner.HandleCrashAck(now, e.from, e.gossip.CrashAck))
		return
	}
	x.carryOut(now, x.Runner.HandleCrashReports(now, e.from, e.gossip))
}

func (e peersEvent) apply(x *Executor, now cassiatally.Instant) {
	x.carryOut(now, x.Runner.SetPeers(now, e.peers))
}

func (e childEvent) apply(x *Executor, now cassiatally.Instant) {
	x.replies[e.call.Waiter] = e.reply
	x.carryOut(now, x.Runner.BeginChild(now, e.call))
}

func (e abandonEvent) apply(x *Executor, now cassiatally.Instant) {
	delete(x.replies, e.waiter)
	x.carryOut(now, x.Runner.AbandonChild(now, e.waiter))
}

func (e childAnswerEvent) apply(x *Executor, now cassiatally.Instant) {
	x.carryOut(now, x.Runner.ChildAnswered(now, e.id, e.answer))
}

func (x *Executor) carryOut(now cassiatally.Instant, actions []cassiatally.Action) {
	x.running.Store(int64(x.Runner.Running()))
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

func (x *Executor) startRun(now cassiatally.Instant, c cassiatally.Call) {
	ctx, cancel := context.WithTimeout(x.ctx, c.Remaining)
	x.cancels[c.ID] = cancel
	if x.jobs.Offer(job{ctx: ctx, call: c}, 0) {
		return
	}
	cancel()
	delete(x.cancels, c.ID)
	x.carryOut(now, x.Runner.Finished(now, c.ID, cassiatally.RunResult{Kind: cassiatally.ResultRefused, Detail: "no worker is free"}))
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

func (x *Executor) runWorker() {
	for {
		j, ok := x.jobs.Pop(x.ctx)
		if !ok {
			return
		}
		began := x.Clock.Now()
		res := x.runAtBackend(j)
		x.inbox.Push(x.ctx, resultEvent{id: j.call.ID, name: j.call.Name, res: res, took: x.Clock.Now().Sub(began)})
	}
}

// runAtBackend sends a call to the backend server. After a panic the call may have been
// sent, so that its outcome is unknown.
func (x *Executor) runAtBackend(j job) (res cassiatally.RunResult) {
	res = cassiatally.RunResult{Kind: cassiatally.ResultLost, Detail: "the answer could not be processed"}
	defer x.duty.Recoverer.Recover()
	return x.Backend.Do(j.ctx, *x.target.Load(), j.call)
}
