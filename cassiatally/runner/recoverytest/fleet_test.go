package recoverytest_test

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/admitter"
	"github.com/cassiatally/cassiatally/cassiatally/balancer"
	"github.com/cassiatally/cassiatally/cassiatally/budgeter"
	"github.com/cassiatally/cassiatally/cassiatally/granter"
	"github.com/cassiatally/cassiatally/cassiatally/limiter"
	"github.com/cassiatally/cassiatally/cassiatally/loadtracker"
	"github.com/cassiatally/cassiatally/cassiatally/quarantiner"
	"github.com/cassiatally/cassiatally/cassiatally/router"
	"github.com/cassiatally/cassiatally/cassiatally/runner"
)

const (
	linkDelay           = time.Millisecond
	callerDelay         = time.Millisecond
	tickInterval        = 20 * time.Millisecond
	gossipInterval      = time.Second
	announceTTL         = 3 * time.Second
	endpointsPerService = 4
	retries             = 2
	resends             = 2
	bottleneck          = cassiatally.Service("avail-svc")
)

// class is a kind of request and its share of the load. Its callers send it again
// after the timeout, as those of the benchmark do.
type class struct {
	name          string
	service       cassiatally.Service
	work          cassiatally.WorkKind
	rank          cassiatally.Rank
	timeout       time.Duration
	share         float64
	nonIdempotent bool
}

// serviceSpec describes a service and the service that its runs call.
type serviceSpec struct {
	name        cassiatally.Service
	slots       cassiatally.Concurrency
	serviceTime time.Duration
	calls       cassiatally.Service
	// failing is the fraction of the runs that end with a failure, after their whole time.
	failing float64
}

// fleet connects routers, runners and the packages that they use, in virtual time.
type fleet struct {
	rand     *rand.Rand
	now      cassiatally.Instant
	events   eventHeap
	seq      uint64
	nodes    []*host
	byName   map[cassiatally.NodeID]*host
	slowdown func(at cassiatally.Instant) float64
	requests []*request
	// gated is set if nodes are assembled as beside the endpoints of the users' platform.
	gated bool
}

// host is a node with its backend server.
type host struct {
	fleet    *fleet
	ref      cassiatally.NodeRef
	dc       cassiatally.DataCentre
	spec     serviceSpec
	runner   *runner.Runner
	router   *router.Router
	balancer *balancer.Balancer
	tracker  *loadtracker.Tracker
	limiter  cassiatally.Limiter
	seq      uint64
	replies  map[cassiatally.CallID]func(cassiatally.Answer)
	children map[cassiatally.CallID]func(cassiatally.Answer)
	runs     map[cassiatally.CallID]*execution
	// completed counts the ended runs of the backend server, and cutOff those of the
	// bottleneck service that were aborted or timed out.
	completed, cutOff int
}

// execution is a run at a backend server.
type execution struct {
	call    cassiatally.Call
	started cassiatally.Instant
	ended   bool
}

// request is a request of a caller with all its copies.
type request struct {
	class   class
	arrived cassiatally.Instant
	copies  int
	inTime  bool
	// work is the backend server time that the request has used.
	work  time.Duration
	kinds []cassiatally.ErrorKind
	runs  int
	// lost is the part of work in runs that were cut off, by the start of the run.
	lost map[time.Duration]time.Duration
}

type event struct {
	at  cassiatally.Instant
	seq uint64
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (f *fleet) after(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.events, event{at: f.now.Add(d), seq: f.seq, do: do})
}

func newFleet(seed uint64, services []serviceSpec, shares [cassiatally.MaxRanks]cassiatally.Share, gated bool) *fleet {
	f := &fleet{
		rand: rand.New(rand.NewPCG(seed, seed)), now: cassiatally.Instant(time.Hour),
		byName: make(map[cassiatally.NodeID]*host), gated: gated,
	}
	for _, s := range services {
		for i := range endpointsPerService {
			f.addHost(s, i, shares)
		}
	}
	f.gossip()
	for _, h := range f.nodes {
		h.every(tickInterval, h.tick)
		h.every(time.Second, func() { h.carryOut(h.runner.Announce(f.now, h.announced(), announceTTL)) })
	}
	f.every(gossipInterval, f.gossip)
	return f
}

func (f *fleet) addHost(s serviceSpec, i int, shares [cassiatally.MaxRanks]cassiatally.Share) {
	h := &host{
		fleet: f, spec: s, dc: cassiatally.DataCentre(fmt.Sprint("dc-", i)),
		ref:      cassiatally.NodeRef{Node: cassiatally.NodeID(fmt.Sprintf("%s-%d", s.name, i)), Incarnation: cassiatally.Incarnation(len(f.nodes) + 1)},
		replies:  make(map[cassiatally.CallID]func(cassiatally.Answer)),
		children: make(map[cassiatally.CallID]func(cassiatally.Answer)),
		runs:     make(map[cassiatally.CallID]*execution),
		tracker:  &loadtracker.Tracker{}, limiter: &limiter.Limiter{},
	}
	queue := &admitter.Admitter{}
	cfg := router.Config{Self: h.ref, Budget: &budgeter.Budgeter{}, Loads: h.tracker, NextID: h.nextID}
	if f.gated {
		h.assembleGate(queue, &cfg)
	}
	h.runner = runner.New(h.ref, queue, h.limiter, quarantiner.New(h.ref), h.nextID)
	h.runner.SetShares(shares)
	if f.gated {
		h.runner.Granter = &granter.Granter{Ratio: platformRetries, Window: platformWindow}
	}
	h.balancer = &balancer.Balancer{Rand: rand.New(rand.NewPCG(uint64(h.ref.Incarnation), 1)), DataCentre: h.dc}
	cfg.Balancer = h.balancer
	h.router = router.New(cfg)
	h.carryOut(h.runner.Announce(f.now, h.announced(), announceTTL))
	f.nodes = append(f.nodes, h)
	f.byName[h.ref.Node] = h
}

func (f *fleet) every(d time.Duration, do func()) {
	f.after(d, func() { do(); f.every(d, do) })
}

func (h *host) every(d time.Duration, do func()) {
	h.fleet.after(time.Duration(h.fleet.rand.Int64N(int64(d))), func() { do(); h.fleet.every(d, do) })
}

func (h *host) nextID() cassiatally.CallID {
	h.seq++
	return cassiatally.CallID{Origin: cassiatally.CallOriginOf(h.ref), Seq: h.seq}
}

func (h *host) announced() cassiatally.Endpoint {
	return cassiatally.Endpoint{Service: h.spec.name, Slots: h.spec.slots, Connections: 100 * h.spec.slots, State: cassiatally.EndpointReady}
}

func (h *host) tick() {
	h.carryOut(h.runner.Tick(h.fleet.now))
	h.carryOut(h.router.Tick(h.fleet.now))
}

// gossip passes the loads of all endpoints to all nodes after half a period.
func (f *fleet) gossip() {
	at := f.now
	var all []cassiatally.Candidate
	levels := make(map[cassiatally.NodeID]cassiatally.ServiceLoad)
	for _, h := range f.nodes {
		e := h.runner.Endpoint()
		all = append(all, cassiatally.Candidate{
			Ref: h.ref, DataCentre: h.dc, Service: e.Service, Connections: e.Connections, State: e.State, Load: e.Load,
		})
		levels[h.ref.Node] = cassiatally.ServiceLoad{Service: e.Service, Weight: float64(e.Load.Limit), Levels: e.Levels}
	}
	f.after(gossipInterval/2, func() {
		for _, h := range f.nodes {
			h.balancer.Update(f.now, all)
			for _, other := range f.nodes {
				h.tracker.RecordEndpoint(at, other.ref.Node, levels[other.ref.Node])
			}
		}
	})
}

func (h *host) carryOut(actions []cassiatally.Action) {
	f := h.fleet
	for _, a := range actions {
		switch a := a.(type) {
		case cassiatally.Send:
			to := f.byName[a.To]
			delay := linkDelay
			if to == h {
				delay = 0
			}
			f.after(delay, func() { to.receive(h.ref.Node, a.Message) })
		case cassiatally.Deliver:
			h.reply(a.Call, a.Answer)
		case cassiatally.StartRun:
			h.startRun(a.Call)
		case cassiatally.AbortRun:
			if x := h.runs[a.Call]; x != nil {
				f.after(0, func() { h.endRun(x, cassiatally.RunResult{Kind: cassiatally.ResultAborted}) })
			}
		case cassiatally.Submit:
			h.replies[a.Request.ID] = func(answer cassiatally.Answer) {
				h.carryOut(h.runner.ChildAnswered(f.now, a.Request.ID, answer))
			}
			if f.gated {
				a.Request.Sends = platformAttempts
			}
			h.carryOut(h.router.Submit(f.now, a.Request))
		case cassiatally.Withdraw:
			delete(h.replies, a.Call)
			h.carryOut(h.router.Cancel(f.now, a.Call))
		}
	}
}

func (h *host) reply(id cassiatally.CallID, a cassiatally.Answer) {
	if reply := h.replies[id]; reply != nil {
		delete(h.replies, id)
		reply(a)
	}
}

func (h *host) receive(from cassiatally.NodeID, m cassiatally.Message) {
	now := h.fleet.now
	switch m := m.(type) {
	case cassiatally.Call:
		h.carryOut(h.runner.HandleCall(now, from, m))
	case cassiatally.Cancel:
		h.carryOut(h.runner.HandleCancel(now, m.ID))
	case cassiatally.Answer:
		h.carryOut(h.router.HandleAnswer(now, from, m))
	}
}

// startRun runs a call for its service time, and then makes its onward call.
func (h *host) startRun(c cassiatally.Call) {
	f := h.fleet
	x := &execution{call: c, started: f.now}
	h.runs[c.ID] = x
	took := h.spec.serviceTime
	if h.spec.name == bottleneck {
		took = time.Duration(float64(took) * f.slowdown(f.now))
	}
	f.after(c.Remaining, func() { h.endRun(x, cassiatally.RunResult{Kind: cassiatally.ResultTimedOut}) })
	f.after(took, func() {
		if x.ended {
			return
		}
		if h.spec.failing > 0 && f.rand.Float64() < h.spec.failing {
			h.endRun(x, cassiatally.RunResult{Kind: cassiatally.ResultAnswered, Status: 500})
			return
		}
		if h.spec.calls == "" || c.Work == lightWork {
			h.endRun(x, cassiatally.RunResult{Kind: cassiatally.ResultAnswered, Status: 200})
			return
		}
		waiter := h.nextID()
		h.replies[waiter] = func(a cassiatally.Answer) {
			status := 200
			if a.Kind != cassiatally.KindNone {
				status = 502
			}
			f.after(0, func() { h.endRun(x, cassiatally.RunResult{Kind: cassiatally.ResultAnswered, Status: status}) })
		}
		h.carryOut(h.runner.BeginChild(f.now, runner.ChildCall{
			Waiter: waiter, Parent: c.ID, Service: h.spec.calls, Work: "check", Name: "1", Idempotent: true,
		}))
	})
}

func (h *host) endRun(x *execution, res cassiatally.RunResult) {
	if x.ended {
		return
	}
	f := h.fleet
	x.ended = true
	delete(h.runs, x.call.ID)
	took := f.now.Sub(x.started)
	if h.spec.name != bottleneck {
		took = min(took, h.spec.serviceTime)
	}
	h.completed++
	r := f.requests[binary.BigEndian.Uint64(x.call.Root[:])]
	r.work += took
	if h.spec.name == bottleneck {
		r.runs++
		if res.Kind != cassiatally.ResultAnswered {
			h.cutOff++
			r.lost[x.started.Sub(0)] += took
		}
	}
	h.carryOut(h.runner.Finished(f.now, x.call.ID, res))
}

// generateLoad sends requests of a class at a mean rate per second until an instant.
func (f *fleet) generateLoad(c class, rate float64, until cassiatally.Instant) {
	f.after(time.Duration(f.rand.ExpFloat64()/rate*float64(time.Second)), func() {
		if f.now.Reached(until) {
			return
		}
		r := &request{class: c, arrived: f.now, lost: make(map[time.Duration]time.Duration)}
		f.requests = append(f.requests, r)
		f.send(r, len(f.requests)-1)
		f.generateLoad(c, rate, until)
	})
}

// send sends a copy of a request. A caller that gets no answer before its timeout
// cancels it and sends the next copy.
func (f *fleet) send(r *request, index int) {
	h := f.nodes[(index+r.copies)%len(f.nodes)]
	r.copies++
	var root cassiatally.RootID
	binary.BigEndian.PutUint64(root[:], uint64(index))
	binary.BigEndian.PutUint64(root[8:], uint64(r.copies))
	answered := false
	id := h.nextID()
	f.after(callerDelay, func() {
		h.replies[id] = func(a cassiatally.Answer) {
			f.after(callerDelay, func() {
				if answered {
					return
				}
				answered = true
				r.kinds = append(r.kinds, a.Kind)
				r.inTime = a.Kind == cassiatally.KindNone && f.now.Sub(r.arrived) <= r.class.timeout
			})
		}
		h.carryOut(h.router.Submit(f.now, cassiatally.Request{
			ID: id, Root: root, Service: r.class.service, Work: r.class.work, Tenant: "north",
			Policy: cassiatally.Policy{Rank: r.class.rank, Idempotent: !r.class.nonIdempotent}, Order: root.Order(),
			Deadline: f.now.Add(r.class.timeout - 2*callerDelay), Retries: retries, Attempt: 1,
		}))
	})
	f.after(r.class.timeout, func() {
		if answered {
			return
		}
		answered = true
		delete(h.replies, id)
		h.carryOut(h.router.Cancel(f.now, id))
		if r.copies <= resends {
			f.send(r, index)
		}
	})
}

// run advances virtual time.
func (f *fleet) run(until cassiatally.Instant) {
	for len(f.events) > 0 && f.events[0].at.Before(until) {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
	f.now = until
}
