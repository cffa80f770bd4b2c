package admitter_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/admitter"
	"github.com/cassiatally/cassiatally/cassiatally/balancer"
	"github.com/cassiatally/cassiatally/cassiatally/loadtracker"
)

const (
	bottleneck cassiatally.Service = "narrow"
	wide       cassiatally.Service = "wide"
)

// class is one kind of requests in the model of a fleet.
type class struct {
	name    cassiatally.WorkKind
	rank    cassiatally.Rank
	timeout time.Duration
	// onward requests pass a wide service before they call the bottleneck.
	onward bool
}

// stage is a period with a constant load of each class, in calls per second.
type stage struct {
	duration time.Duration
	rates    []float64
}

// fleet simulates a bottleneck service with several endpoints behind entry nodes, which
// receive levels with answers and, later, by gossip. Requests reach the bottleneck
// service directly or through a wide one. It is a discrete event simulation.
type fleet struct {
	seed      uint64
	endpoints int
	entries   int
	slots     int
	service   time.Duration
	shares    [cassiatally.MaxRanks]cassiatally.Share
	classes   []class
	stages    []stage

	rng    *rand.Rand
	now    cassiatally.Instant
	events eventHeap
	seq    uint64
	nodes  []*entryNode
	hosts  []*host
	calls  map[cassiatally.CallID]*fleetCall
	// ended has the result of each request.
	ended []endedRequest
}

// endedRequest is the result of one request.
type endedRequest struct {
	class   int
	offered cassiatally.Instant
	at      cassiatally.Instant
	result  requestResult
}

type requestResult uint8

const (
	inTime requestResult = iota
	late
	refusedAtEntry
	refusedInQueue
)

const (
	linkTime = time.Millisecond
	wideTime = 20 * time.Millisecond
	// gossipTime and gossipAge are the period of gossip and the maximum age of the
	// reports that it carries.
	gossipTime = time.Second
	gossipAge  = time.Second
	queueTick  = 20 * time.Millisecond
)

type entryNode struct {
	loads   *loadtracker.Tracker
	balance *balancer.Balancer
}

type host struct {
	id      cassiatally.NodeID
	queue   *admitter.Admitter
	running int
	// reports has past reports, for gossip.
	reports []report
}

type report struct {
	at       cassiatally.Instant
	load     cassiatally.ServiceLoad
	endpoint cassiatally.EndpointLoad
}

type fleetCall struct {
	class    int
	order    cassiatally.Order
	offered  cassiatally.Instant
	deadline cassiatally.Instant
	entry    *entryNode
	from     *entryNode
	host     *host
	began    cassiatally.Instant
	sent     cassiatally.Instant
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
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func (f *fleet) after(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.events, event{at: f.now.Add(d), seq: f.seq, do: do})
}

func (f *fleet) run() {
	f.rng = rand.New(rand.NewPCG(f.seed, f.seed))
	f.calls = make(map[cassiatally.CallID]*fleetCall)
	for i := range f.endpoints {
		h := &host{id: cassiatally.NodeID("host" + strconv.Itoa(i)), queue: &admitter.Admitter{}}
		f.hosts = append(f.hosts, h)
		f.after(time.Duration(f.rng.Int64N(int64(queueTick))), func() { f.tick(h) })
	}
	for range f.entries {
		n := &entryNode{loads: &loadtracker.Tracker{}, balance: &balancer.Balancer{Rand: f.rng, DataCentre: "x"}}
		f.nodes = append(f.nodes, n)
		n.balance.Update(0, f.candidates())
		f.after(time.Duration(f.rng.Int64N(int64(gossipTime))), func() { f.gossip(n) })
	}
	for i := range f.classes {
		f.after(f.interarrival(i), func() { f.arrive(i) })
	}
	for len(f.events) > 0 {
		e := heap.Pop(&f.events).(event)
		if e.at.Reached(cassiatally.Instant(f.end())) {
			return
		}
		f.now = e.at
		e.do()
	}
}

func (f *fleet) candidates() (all []cassiatally.Candidate) {
	for _, h := range f.hosts {
		all = append(all, cassiatally.Candidate{
			Ref: cassiatally.NodeRef{Node: h.id}, Service: bottleneck, DataCentre: "x", State: cassiatally.EndpointReady,
		})
	}
	return all
}

// end returns the time at which the last stage ends.
func (f *fleet) end() (d time.Duration) {
	for _, s := range f.stages {
		d += s.duration
	}
	return d
}

// rate returns the current load of a class.
func (f *fleet) rate(i int) float64 {
	elapsed := f.now.Sub(0)
	for _, s := range f.stages {
		if elapsed < s.duration {
			return s.rates[i]
		}
		elapsed -= s.duration
	}
	return 0
}

// interarrival returns the time to the next arrival of a class. The load of the class
// must not be 0 in any stage.
func (f *fleet) interarrival(i int) time.Duration {
	return time.Duration(f.rng.ExpFloat64() / f.rate(i) * float64(time.Second))
}

func (f *fleet) arrive(i int) {
	f.after(f.interarrival(i), func() { f.arrive(i) })
	x := f.classes[i]
	n := f.nodes[f.rng.IntN(len(f.nodes))]
	c := &fleetCall{class: i, order: cassiatally.Order(f.rng.Float64()), offered: f.now, deadline: f.now.Add(x.timeout), entry: n, from: n}
	first := bottleneck
	if x.onward {
		first = wide
	}
	if ok, _ := n.loads.Admit(f.now, first, x.name, x.rank, c.order); !ok {
		f.recordResult(c, refusedAtEntry)
		return
	}
	if x.onward {
		c.from = f.nodes[f.rng.IntN(len(f.nodes))]
		f.after(2*linkTime+wideTime, func() { f.send(c) })
		return
	}
	f.send(c)
}

func (f *fleet) send(c *fleetCall) {
	id, ok := c.from.balance.Choose(f.now, bottleneck, nil)
	if !ok {
		panic("no endpoint")
	}
	c.from.balance.Started(f.now, id)
	c.sent = f.now
	for _, h := range f.hosts {
		if h.id == id {
			c.host = h
		}
	}
	f.after(linkTime, func() { f.offer(c) })
}

func (f *fleet) offer(c *fleetCall) {
	f.seq++
	id := cassiatally.CallID{Origin: 1, Seq: f.seq}
	f.calls[id] = c
	x := f.classes[c.class]
	f.drop(c.host.queue.Offer(f.now, cassiatally.Entry{
		ID: id, Rank: x.rank, Share: f.shares[x.rank], Order: c.order, Deadline: c.deadline, Onward: x.onward,
	}))
	f.startCalls(c.host)
}

func (f *fleet) startCalls(h *host) {
	start, dropped := h.queue.Next(f.now, max(f.slots-h.running, 0))
	for _, id := range start {
		c := f.calls[id]
		h.running++
		c.began = f.now
		f.after(f.service, func() { f.finish(id) })
	}
	f.drop(dropped)
}

func (f *fleet) finish(id cassiatally.CallID) {
	c := f.calls[id]
	delete(f.calls, id)
	c.host.running--
	c.host.queue.Done(f.now, cassiatally.RunClass{Rank: f.classes[c.class].rank}, f.now.Sub(c.began))
	r := inTime
	if c.deadline.Before(f.now.Add(2 * linkTime)) {
		r = late
	}
	f.answer(c, r)
	f.startCalls(c.host)
}

func (f *fleet) drop(dropped []cassiatally.Dropped) {
	for _, d := range dropped {
		c := f.calls[d.ID]
		delete(f.calls, d.ID)
		f.answer(c, refusedInQueue)
	}
}

// answer sends the result and the load report of the endpoint back along the path of
// the call.
func (f *fleet) answer(c *fleetCall, res requestResult) {
	r := f.reportOf(c.host)
	x := f.classes[c.class]
	f.after(linkTime, func() {
		c.from.balance.Finished(f.now, c.host.id, cassiatally.CallResult{Took: f.now.Sub(c.sent), Load: r.endpoint})
		c.from.loads.RecordChain(f.now, bottleneck, "deep", []cassiatally.ServiceLoad{r.load})
		if x.onward {
			f.after(linkTime, func() {
				c.entry.loads.RecordChain(f.now, wide, x.name, []cassiatally.ServiceLoad{r.load})
				f.recordResult(c, res)
			})
			return
		}
		f.recordResult(c, res)
	})
}

func (f *fleet) recordResult(c *fleetCall, res requestResult) {
	f.ended = append(f.ended, endedRequest{class: c.class, offered: c.offered, at: f.now, result: res})
}

func (f *fleet) reportOf(h *host) report {
	return report{
		at:   f.now,
		load: cassiatally.ServiceLoad{Service: bottleneck, Weight: float64(f.slots), Levels: h.queue.Levels()},
		endpoint: cassiatally.EndpointLoad{
			Node: h.id, Limit: cassiatally.Concurrency(f.slots), InFlight: cassiatally.Concurrency(h.running), Queued: h.queue.Len(),
			TypicalSelfTime: f.service,
		},
	}
}

func (f *fleet) tick(h *host) {
	f.after(queueTick, func() { f.tick(h) })
	h.queue.Tick(f.now, cassiatally.Concurrency(f.slots))
	h.reports = append(h.reports, f.reportOf(h))
	f.startCalls(h)
}

// gossip delivers a past report of each endpoint, of random age, to a node.
func (f *fleet) gossip(n *entryNode) {
	f.after(gossipTime, func() { f.gossip(n) })
	for _, h := range f.hosts {
		age := f.rng.IntN(int(gossipAge / queueTick))
		if at := len(h.reports) - 1 - age; at >= 0 {
			n.loads.RecordEndpoint(h.reports[at].at, h.id, h.reports[at].load)
		}
	}
}

// offeredBetween returns the requests of a rank that were offered from one time to
// another.
func (f *fleet) offeredBetween(r cassiatally.Rank, from, to time.Duration) (all []endedRequest) {
	for _, e := range f.ended {
		if f.classes[e.class].rank == r && e.offered.Reached(cassiatally.Instant(from)) && e.offered.Before(cassiatally.Instant(to)) {
			all = append(all, e)
		}
	}
	return all
}

// inTimeFraction returns the fraction of the requests of a rank, offered from one time
// to another, that were completed in time.
func (f *fleet) inTimeFraction(r cassiatally.Rank, from, to time.Duration) float64 {
	n, all := 0, f.offeredBetween(r, from, to)
	for _, e := range all {
		if e.result == inTime {
			n++
		}
	}
	return float64(n) / float64(len(all))
}

// completedPerSecond returns the rate of requests of a rank that were completed in
// time, from one time to another.
func (f *fleet) completedPerSecond(r cassiatally.Rank, from, to time.Duration) float64 {
	n := 0
	for _, e := range f.ended {
		if f.classes[e.class].rank == r && e.result == inTime && e.at.Reached(cassiatally.Instant(from)) && e.at.Before(cassiatally.Instant(to)) {
			n++
		}
	}
	return float64(n) / (to - from).Seconds()
}

// The fleet is that of the barrier deployment at a tenth of its rates.
const (
	fleetRanks    = 4
	fleetCapacity = 300
	fleetSeeds    = 10
	warm          = 3 * time.Second
	loaded        = 5 * time.Second
	// settling is the first part of a stage, which shares and goodput leave out as the
	// bench does.
	settling = time.Second
)

// fleetAt runs a fleet through a warm-up and the stages, whose loads are given in
// multiples of the capacity.
func fleetAt(seed uint64, stages ...stage) *fleet {
	f := &fleet{
		seed: seed, endpoints: 4, entries: 16, slots: 15, service: 200 * time.Millisecond,
		shares: [cassiatally.MaxRanks]cassiatally.Share{0, 0.2, 0.1, 0.05},
		classes: []class{
			{name: "confirm", rank: 0, timeout: 2 * time.Second, onward: true},
			{name: "check", rank: 1, timeout: 800 * time.Millisecond},
			{name: "stock", rank: 1, timeout: 800 * time.Millisecond, onward: true},
			{name: "view", rank: 2, timeout: 1500 * time.Millisecond, onward: true},
			{name: "report", rank: 3, timeout: 2 * time.Second, onward: true},
		},
	}
	for _, s := range slices.Concat([]stage{mixed(warm, 0.3)}, stages) {
		s.rates = slices.Clone(s.rates)
		for i := range s.rates {
			s.rates[i] *= fleetCapacity
		}
		f.stages = append(f.stages, s)
	}
	f.run()
	return f
}

// mixed returns a stage with the default mix of classes.
func mixed(d time.Duration, load float64) stage {
	return stage{d, []float64{0.1 * load, 0.25 * load, 0.25 * load, 0.2 * load, 0.2 * load}}
}

func (f *fleet) goodput(from, to time.Duration) (sum float64) {
	for r := range cassiatally.Rank(fleetRanks) {
		sum += f.completedPerSecond(r, from, to)
	}
	return sum / fleetCapacity
}

// Guards against a flood of the most urgent work that takes the reserved shares of
// other ranks, in two ways: levels at the entry that follow the backlog of the urgent
// rank, and onward calls that use up a reserved share at the expense of calls from
// callers.
func TestFleetKeepsShares(t *testing.T) {
	for seed := range uint64(fleetSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			is := is.New(t)
			f := fleetAt(seed, stage{warm + loaded, []float64{4, 0.4, 0.4, 0.4, 0.4}})
			from, to := warm+settling, warm+loaded
			for r := range cassiatally.Rank(fleetRanks) {
				completed := f.completedPerSecond(r, from, to) / fleetCapacity
				t.Logf("rank %d completes %.3f of the capacity, share %.2f", r, completed, f.shares[r])
				is.True(completed >= shareTarget*float64(f.shares[r]))
			}
			is.True(f.goodput(from, to) >= goodputTarget)
		})
	}
}

// Guards against entries that refuse urgent calls although all of them fit, because one
// of several endpoints got more of them by chance.
func TestFleetCompletesUrgentCalls(t *testing.T) {
	for _, load := range []float64{1.5, 3, 6} {
		t.Run(fmt.Sprintf("%g times capacity", load), func(t *testing.T) {
			is := is.New(t)
			lost, all := 0, 0
			for seed := range uint64(fleetSeeds) {
				f := fleetAt(seed, mixed(loaded, load), mixed(warm, 0.5))
				urgent := f.offeredBetween(0, warm, warm+loaded)
				part := f.inTimeFraction(0, warm, warm+loaded)
				t.Logf("seed %d: urgent in time %.4f of %d, goodput %.3f", seed, part, len(urgent), f.goodput(warm+settling, warm+loaded))
				is.True(f.goodput(warm+settling, warm+loaded) >= goodputTarget)
				all += len(urgent)
				lost += len(urgent) - int(part*float64(len(urgent))+0.5)
			}
			is.True(float64(lost) <= (1-urgentTarget)*float64(all))
		})
	}
}

// Guards against entries that keep refusing after an overload because they receive the
// levels of the recovered endpoints late.
func TestFleetServesAllAfterOverload(t *testing.T) {
	is := is.New(t)
	for r := cassiatally.Rank(1); r < fleetRanks; r++ {
		sum := 0.0
		for seed := range uint64(fleetSeeds) {
			f := fleetAt(seed, mixed(loaded, 6), mixed(warm+loaded, 0.5))
			sum += f.inTimeFraction(r, warm+loaded+recoveryTarget, warm+loaded+recoveryTarget+time.Second)
		}
		t.Logf("rank %d: %.3f completed in the third second after the overload", r, sum/fleetSeeds)
		is.True(sum/fleetSeeds >= goodputTarget)
	}
}
