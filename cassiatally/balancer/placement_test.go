package balancer_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/balancer"
)

// The pattern of the second deployment: endpoints of one service differ in speed by a
// factor of three, work on a machine takes 2.5 times as long for 15% of the time, drawn
// anew every 0.6 s, and callers move between data centres.
const (
	placementZones, placementNodes, endpointsPerZone = 3, 62, 4
	placementSlots                                   = 16
	placementLimit                                   = 15 // gates leave a slot unused
	placementWork                                    = 60 * time.Millisecond
	noiseFraction, noiseFactor                       = 0.15, 2.5
	noisePeriod                                      = 600 * time.Millisecond
	withinZone, betweenZones                         = 250 * time.Microsecond, 3500 * time.Microsecond
	placementGossip                                  = time.Second
	placementLength                                  = 17 * time.Second
	// placementWarmUp is left out of the figures.
	placementWarmUp  = 2 * time.Second
	callerMovePeriod = 3 * time.Second
)

// placementReplay replays the pattern. Gates have a queue in order of arrival.
type placementReplay struct {
	// load is the fraction of the capacity that the calls need.
	load float64
	// stated is set if endpoints state their slowdown.
	stated bool

	rng       *rand.Rand
	now       cassiatally.Instant
	events    placementEvents
	endpoints []*placedEndpoint
	nodes     []*balancer.Balancer
	seq       int
	took      []time.Duration
	// between counts the calls that went to another data centre. waited counts those that
	// waited for a slot, and herded those of them that arrived while another endpoint of
	// the same data centre had a quarter of its slots free.
	between, waited, herded int
	mostQueued              int
}

type placedEndpoint struct {
	candidate cassiatally.Candidate
	speed     float64
	phase     time.Duration
	noise     []bool
	running   int
	queue     []func()
	typical   float64
	slowdown  cassiatally.Slowdown
	// typicalSlowdown follows slowdown as the runner has it.
	typicalSlowdown cassiatally.Slowdown
	past            []cassiatally.EndpointLoad
}

type placementEvent struct {
	at  cassiatally.Instant
	seq int
	do  func()
}

type placementEvents []placementEvent

func (h placementEvents) Len() int { return len(h) }
func (h placementEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h placementEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *placementEvents) Push(x any)   { *h = append(*h, x.(placementEvent)) }
func (h *placementEvents) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func (p *placementReplay) after(d time.Duration, do func()) {
	p.seq++
	heap.Push(&p.events, placementEvent{p.now.Add(d), p.seq, do})
}

func zoneName(i int) cassiatally.DataCentre { return cassiatally.DataCentre(fmt.Sprint(i)) }

func (p *placementReplay) run(seed uint64) *placementReplay {
	p.rng = rand.New(rand.NewPCG(seed, 1))
	p.now = afterSlowStart
	speeds := 0.0
	for i := range placementZones * endpointsPerZone {
		e := &placedEndpoint{candidate: candidate(i, zoneName(i%placementZones)), phase: time.Duration(p.rng.Int64N(int64(noisePeriod)))}
		e.speed = 0.5 + 1.1*float64((i/placementZones+i)%endpointsPerZone)/(endpointsPerZone-1)
		for range int(placementLength/noisePeriod) + 20 {
			e.noise = append(e.noise, p.rng.Float64() < noiseFraction)
		}
		speeds += e.speed
		p.endpoints = append(p.endpoints, e)
	}
	for i := range placementNodes {
		b := &balancer.Balancer{
			Rand: rand.New(rand.NewPCG(seed, uint64(i)+2)), DataCentre: zoneName(i % placementZones), RelativeMargin: 1.5, SlowStart: -1,
		}
		p.nodes = append(p.nodes, b)
		p.gossip(b)
	}
	p.snapshot()
	meanSlowdown := 1 + noiseFraction*(noiseFactor-1)
	rate := p.load * placementLimit * speeds / meanSlowdown / placementWork.Seconds()
	p.arrive(rate)
	p.after(placementWarmUp, func() { p.took, p.between, p.waited, p.herded, p.mostQueued = nil, 0, 0, 0, 0 })
	for len(p.events) > 0 {
		e := heap.Pop(&p.events).(placementEvent)
		if p.now = e.at; p.now.Sub(afterSlowStart) >= placementLength {
			break
		}
		e.do()
	}
	slices.Sort(p.took)
	return p
}

func (p *placementReplay) arrive(rate float64) {
	p.after(time.Duration(p.rng.ExpFloat64()/rate*float64(time.Second)), func() { p.arrive(rate) })
	zone := p.rng.IntN(placementZones)
	if p.rng.IntN(3) > 0 && p.rng.IntN(2) == 0 {
		// Two thirds of the callers move; half of these are at one data centre.
		zone = int(p.now.Sub(afterSlowStart)/callerMovePeriod) % placementZones
	}
	node := p.nodes[zone+placementZones*p.rng.IntN(placementNodes/placementZones)]
	work := time.Duration((0.5 + 0.5*p.rng.ExpFloat64()) * float64(placementWork))
	id, _ := node.Choose(p.now, service, nil)
	node.Started(p.now, id)
	for _, e := range p.endpoints {
		if e.candidate.Ref.Node == id {
			p.send(node, e, work)
		}
	}
}

func (p *placementReplay) send(node *balancer.Balancer, e *placedEndpoint, work time.Duration) {
	sent, latency := p.now, withinZone
	if e.candidate.DataCentre != node.DataCentre {
		latency = betweenZones
		p.between++
	}
	begin := func() {
		e.running++
		took := e.duration(p.now, work)
		p.after(took, func() {
			e.finish(p.now, took, p.stated)
			load := e.load()
			p.after(latency, func() {
				node.Finished(p.now, e.candidate.Ref.Node, cassiatally.CallResult{Took: p.now.Sub(sent), Load: load})
				p.took = append(p.took, p.now.Sub(sent))
			})
		})
	}
	p.after(latency, func() {
		if e.running < placementLimit {
			begin()
			return
		}
		p.waited++
		if p.hasRoomBeside(e) {
			p.herded++
		}
		e.queue = append(e.queue, begin)
		p.mostQueued = max(p.mostQueued, len(e.queue))
	})
}

func (p *placementReplay) hasRoomBeside(e *placedEndpoint) bool {
	for _, o := range p.endpoints {
		if o.candidate.DataCentre == e.candidate.DataCentre && o.running <= placementLimit*3/4 {
			return true
		}
	}
	return false
}

func (e *placedEndpoint) slowdownAt(now cassiatally.Instant) (s float64, until cassiatally.Instant) {
	since := now.Sub(afterSlowStart) + e.phase
	n := int(since / noisePeriod)
	until = now.Add(noisePeriod*time.Duration(n+1) - since)
	if e.noise[min(n, len(e.noise)-1)] {
		return noiseFactor, until
	}
	return 1, until
}

// duration returns how long work takes from an instant on.
func (e *placedEndpoint) duration(now cassiatally.Instant, work time.Duration) time.Duration {
	left, at := float64(work)/e.speed, now
	s, until := e.slowdownAt(at)
	for done := float64(until.Sub(at)) / s; done < left; done = float64(until.Sub(at)) / s {
		left -= done
		at = until
		s, until = e.slowdownAt(at)
	}
	return at.Sub(now) + time.Duration(left*s)
}

func (e *placedEndpoint) finish(now cassiatally.Instant, took time.Duration, stated bool) {
	e.running--
	if stated {
		s, _ := e.slowdownAt(now)
		e.slowdown = cassiatally.Slowdown(s)
	}
	if e.typical == 0 {
		e.typical, e.typicalSlowdown = float64(took), e.slowdown
	}
	e.typical += 0.1 * (float64(took) - e.typical)
	e.typicalSlowdown += 0.1 * (e.slowdown - e.typicalSlowdown)
	if len(e.queue) > 0 {
		next := e.queue[0]
		e.queue = e.queue[1:]
		next()
	}
}

func (e *placedEndpoint) load() cassiatally.EndpointLoad {
	return cassiatally.EndpointLoad{
		Node: e.candidate.Ref.Node, Limit: placementLimit, InFlight: cassiatally.Concurrency(e.running), Queued: len(e.queue),
		TypicalSelfTime: time.Duration(e.typical), Slowdown: e.slowdown, TypicalSlowdown: e.typicalSlowdown,
	}
}

// snapshot keeps loads for gossip.
func (p *placementReplay) snapshot() {
	for _, e := range p.endpoints {
		e.past = append(e.past, e.load())
	}
	p.after(placementGossip/10, p.snapshot)
}

// gossip delivers a past load of each endpoint, of random age, to a node.
func (p *placementReplay) gossip(b *balancer.Balancer) {
	var all []cassiatally.Candidate
	for _, e := range p.endpoints {
		c := e.candidate
		if at := len(e.past) - 1 - p.rng.IntN(10); at >= 0 {
			c.Load = e.past[at]
		}
		all = append(all, c)
	}
	b.Update(p.now, all)
	p.after(time.Duration((0.5+p.rng.Float64())*float64(placementGossip)), func() { p.gossip(b) })
}

func (p *placementReplay) mean() time.Duration {
	sum := time.Duration(0)
	for _, d := range p.took {
		sum += d
	}
	return sum / time.Duration(len(p.took))
}

func (p *placementReplay) p95() time.Duration {
	return p.took[int(math.Ceil(0.95*float64(len(p.took))))-1]
}

func (p *placementReplay) String() string {
	n := float64(len(p.took))
	return fmt.Sprintf("mean %v, p95 %v, %.3f between data centres, %.4f waited, %.4f herded, longest queue %d",
		p.mean().Round(100*time.Microsecond), p.p95().Round(100*time.Microsecond), float64(p.between)/n, float64(p.waited)/n, float64(p.herded)/n, p.mostQueued)
}

// Guards against calls that are sent to endpoints whose machines are slow at the moment,
// and against more calls that wait for a slot because many nodes chose the same endpoint.
// Replays the pattern with the slowdowns stated and, as the balancer was before, not.
func TestPlacementByCompletionTime(t *testing.T) {
	for _, load := range []float64{0.4, 0.6, 0.75} {
		for seed := range uint64(5) {
			is := is.New(t)
			before := (&placementReplay{load: load}).run(seed)
			now := (&placementReplay{load: load, stated: true}).run(seed)
			t.Logf("load %.2f, seed %d\n  before: %v\n  now:    %v", load, seed, before, now)
			is.True(now.mean() < before.mean())
			is.True(now.p95() < before.p95())
			is.True(now.waited <= before.waited)
			is.True(now.herded <= before.herded)
		}
	}
}
