// Package executor is the duty that owns the calls at the local backend server.
// Its workers each make one HTTP call to the backend server at a time.
//
// # Usage
//
//	x := &executor.Executor{Runner: r, Clock: clock, Transport: links, Requests: d}
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
	"github.com/cassiatally/cassiatally/cassiatally/ring"
	"github.com/cassiatally/cassiatally/cassiatally/runner"
)

const (
	inboxSize = 4096
	// resultReserve keeps places for results, which complete work, when calls fill
	// the ring.
	resultReserve = 1024
	// tickEvery updates levels and reports; queueTick applies while calls are
	// queued, so that they are dropped soon after they have become hopeless. A
	// node at rest would spend most of its processor time on ticks otherwise.
	tickEvery = 100 * time.Millisecond
	queueTick = 20 * time.Millisecond
	markEvery = time.Second
	// tellEvery repeats a report that found no room at the receiver.
	tellEvery = time.Second
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
	// AnnounceTTL is how long an announcement of the backend server holds; 0 means
	// 3 s.
	AnnounceTTL time.Duration
	Logger      cassiatally.Logger
	// Waits is called with the time that each started call spent in the queue; it
	// must not block.
	Waits func(cassiatally.Rank, time.Duration)
	// Changed is called by the duty when the endpoint or its load changed, while
	// there are crash reports, and once a second in any case; it must not block.
	Changed func(cassiatally.Endpoint, []cassiatally.CrashReport)

	inbox   *ring.Ring[event]
	duty    looper.Looper[event]
	work    *ring.Ring[job]
	workers sync.WaitGroup
	started int
	target  atomic.Pointer[cassiatally.BackendTarget]
	waits   map[cassiatally.CallID]func(cassiatally.Answer)
	cancels map[cassiatally.CallID]context.CancelFunc
	ctx     context.Context
	cancel  context.CancelFunc
	state   cassiatally.EndpointState
	// ticked and reported are when the last tick and the last report were.
	ticked, reported cassiatally.Instant
	running          atomic.Int64
	counts           atomic.Pointer[runner.Counts]
	marked           atomic.Pointer[marked]
	// markNext is when the suspects are counted next.
	markNext cassiatally.Instant
	// told, toldCrashes and tellNext are what Changed was last called with, and when
	// it is called next in any case.
	told        cassiatally.Endpoint
	toldCrashes bool
	tellNext    cassiatally.Instant
}

// marked counts the requests that crashed the backend server or may have.
type marked struct{ suspects, quarantined int }

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
	crashesEvent   struct{ reports []cassiatally.CrashReport }
	crashNewsEvent struct {
		from cassiatally.NodeID
		news cassiatally.Gossip
	}
	peersEvent struct {
		peers map[cassiatally.Service][]cassiatally.NodeID
	}
	childEvent struct {
		call  runner.ChildCall
		reply func(cassiatally.Answer)
	}
	childGoneEvent   struct{ waiter cassiatally.CallID }
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
	x.work = ring.New[job](MaxWorkers, ring.RefuseNewest)
	x.waits = make(map[cassiatally.CallID]func(cassiatally.Answer))
	x.cancels = make(map[cassiatally.CallID]context.CancelFunc)
	x.counts.Store(&runner.Counts{})
	x.marked.Store(&marked{})
	x.duty = looper.Looper[event]{
		Clock:    x.Clock,
		Inbox:    x.inbox,
		Handle:   func(now cassiatally.Instant, e event) { e.apply(x, now) },
		Tick:     x.tick,
		Interval: tickEvery,
		NextWake: func() (cassiatally.Instant, bool) {
			return x.ticked.Add(queueTick), x.Runner.Queued() > 0
		},
	}
	x.duty.Run()
}

// Refused returns how many messages found no room in the inbox.
func (x *Executor) Refused() uint64 {
	refused, _ := x.inbox.LossCounts()
	return refused
}

// Close stops the workers and the duty and waits for them.
func (x *Executor) Close() {
	x.cancel()
	x.work.Close()
	x.workers.Wait()
	x.duty.Close()
}

// Running returns the runs in flight.
func (x *Executor) Running() int { return int(x.running.Load()) }

// Counts returns the totals of the runner as of the last tick.
func (x *Executor) Counts() runner.Counts { return *x.counts.Load() }

// Suspects returns how many requests are suspected of crashing backend servers and
// how many are quarantined, as of the last second.
func (x *Executor) Suspects() (suspects, quarantined int) {
	m := x.marked.Load()
	return m.suspects, m.quarantined
}

// Call hands over a call from a node. It returns false when the ring is full.
func (x *Executor) Call(from cassiatally.NodeID, c cassiatally.Call) bool {
	return x.inbox.Offer(callEvent{from: from, call: c}, resultReserve)
}

// Cancel hands over a cancellation.
func (x *Executor) Cancel(id cassiatally.CallID) { x.inbox.Offer(cancelEvent{id: id}, 0) }

// Query hands over a question about a call.
func (x *Executor) Query(from cassiatally.NodeID, q cassiatally.RunQuery) {
	x.inbox.Offer(queryEvent{from: from, query: q}, 0)
}

// Announce hands over what the backend server says about itself.
func (x *Executor) Announce(a cassiatally.Announcement) bool {
	return x.inbox.Offer(announceEvent{a: a}, 0)
}

// Withdraw tells that the backend server has left.
func (x *Executor) Withdraw() { x.inbox.Offer(withdrawEvent{}, 0) }

// Leave refuses new work because the node is told to stop.
func (x *Executor) Leave() { x.inbox.Push(x.ctx, leaveEvent{}) }

// SetShares hands over the kept shares of the sheet in force.
func (x *Executor) SetShares(shares [cassiatally.MaxRanks]cassiatally.Share) {
	x.inbox.Offer(sharesEvent{shares: shares}, 0)
}

// Crashes hands over crash reports of other nodes.
func (x *Executor) Crashes(reports []cassiatally.CrashReport) {
	x.inbox.Offer(crashesEvent{reports: reports}, 0)
}

// CrashNews hands over a crash that another node tells, or an acknowledgement.
// Without room it is lost, and the other node tells the crash again.
func (x *Executor) CrashNews(from cassiatally.NodeID, news cassiatally.Gossip) {
	x.inbox.Offer(crashNewsEvent{from: from, news: news}, 0)
}

// SetPeers hands over the other nodes beside the endpoints of each service.
func (x *Executor) SetPeers(peers map[cassiatally.Service][]cassiatally.NodeID) {
	x.inbox.Offer(peersEvent{peers: peers}, 0)
}

// Child hands over an onward call of the backend server.
func (x *Executor) Child(c runner.ChildCall, reply func(cassiatally.Answer)) bool {
	return x.inbox.Offer(childEvent{call: c, reply: reply}, resultReserve)
}

// ChildGone tells that the backend server does not wait for an onward call any more.
func (x *Executor) ChildGone(waiter cassiatally.CallID) {
	x.inbox.Offer(childGoneEvent{waiter: waiter}, 0)
}

func (x *Executor) tick(now cassiatally.Instant) {
	x.ticked = now
	x.carryOut(now, x.Runner.Tick(now))
	if now.Sub(x.reported) >= tickEvery {
		x.report(now)
	}
}

func (x *Executor) report(now cassiatally.Instant) {
	x.reported = now
	e := x.Runner.Endpoint()
	counts := x.Runner.Counts()
	x.counts.Store(&counts)
	x.countMarked(now)
	if e.State != x.state {
		x.state = e.State
		x.Logger.Info("backend server state changed", "service", e.Service, "state", e.State)
	}
	reports := x.Quarantine.Reports(now)
	if len(reports) == 0 && !x.toldCrashes && !now.Reached(x.tellNext) && sameEndpoint(e, x.told) {
		return
	}
	x.told, x.toldCrashes, x.tellNext = e, len(reports) > 0, now.Add(tellEvery)
	x.Changed(e, reports)
}

func sameEndpoint(a, b cassiatally.Endpoint) bool {
	return a.Service == b.Service && a.Slots == b.Slots && a.Connections == b.Connections && a.State == b.State &&
		a.Load == b.Load && slices.Equal(a.Levels, b.Levels)
}

// countMarked counts once a second, since it looks at every suspect.
func (x *Executor) countMarked(now cassiatally.Instant) {
	if !now.Reached(x.markNext) {
		return
	}
	x.markNext = now.Add(markEvery)
	var m marked
	m.suspects, m.quarantined = x.Quarantine.Count(now)
	x.marked.Store(&m)
}

func (e callEvent) apply(x *Executor, now cassiatally.Instant) {
	actions := x.Runner.HandleCall(now, e.from, e.call)
	x.logRefusal(e, actions)
	x.carryOut(now, actions)
}

// logRefusal writes a line when a call is answered without being queued.
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
	if e.res.Kind == cassiatally.ResultBroken {
		x.report(now) // the loss of the endpoint and the crash go to all members
	}
}

// logResult writes a line for a run that ended without a success.
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
	x.carryOut(now, x.Runner.Announce(now, e.a.Endpoint, x.AnnounceTTL))
	x.report(now)
}

// addWorkers starts workers up to the slots that the backend server announces.
func (x *Executor) addWorkers(slots int) {
	for x.started < min(slots, MaxWorkers) {
		x.started++
		x.workers.Go(x.serve)
	}
}

func (e withdrawEvent) apply(x *Executor, now cassiatally.Instant) {
	x.carryOut(now, x.Runner.Withdraw(now))
	x.report(now)
}

func (e leaveEvent) apply(x *Executor, now cassiatally.Instant) {
	x.carryOut(now, x.Runner.Leave(now))
	x.report(now)
}

func (e sharesEvent) apply(x *Executor, _ cassiatally.Instant) { x.Runner.SetShares(e.shares) }

func (e crashesEvent) apply(x *Executor, now cassiatally.Instant) {
	x.Quarantine.Merge(now, e.reports)
}

func (e crashNewsEvent) apply(x *Executor, now cassiatally.Instant) {
	if e.news.CrashAck != 0 {
		x.carryOut(now, x.Runner.HandleCrashAck(now, e.from, e.news.CrashAck))
		return
	}
	x.carryOut(now, x.Runner.HandleCrashReports(now, e.from, e.news))
}

func (e peersEvent) apply(x *Executor, now cassiatally.Instant) {
	x.carryOut(now, x.Runner.SetPeers(now, e.peers))
}

func (e childEvent) apply(x *Executor, now cassiatally.Instant) {
	x.waits[e.call.Waiter] = e.reply
	x.carryOut(now, x.Runner.BeginChild(now, e.call))
}

func (e childGoneEvent) apply(x *Executor, now cassiatally.Instant) {
	delete(x.waits, e.waiter)
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
			x.Waits(a.Call.Rank, a.QueueWait)
			x.start(now, a.Call)
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
	reply, ok := x.waits[d.Call]
	delete(x.waits, d.Call)
	if ok {
		reply(d.Answer)
	}
}

func (x *Executor) start(now cassiatally.Instant, c cassiatally.Call) {
	ctx, cancel := context.WithTimeout(x.ctx, c.Remaining)
	x.cancels[c.ID] = cancel
	if x.work.Offer(job{ctx: ctx, call: c}, 0) {
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

func (x *Executor) serve() {
	for {
		j, ok := x.work.Pop(x.ctx)
		if !ok {
			return
		}
		began := x.Clock.Now()
		res := x.Backend.Do(j.ctx, *x.target.Load(), j.call)
		x.inbox.Push(x.ctx, resultEvent{id: j.call.ID, name: j.call.Name, res: res, took: x.Clock.Now().Sub(began)})
	}
}
