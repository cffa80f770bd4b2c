package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/balancer"
)

const (
	service = cassiatally.Service("avail-svc")
	near    = cassiatally.DataCentre("near")
	far     = cassiatally.DataCentre("far")
	// afterSlowStart is an instant at which the slow start has ended.
	afterSlowStart = cassiatally.Instant(time.Minute)
)

func candidate(n int, dc cassiatally.DataCentre) cassiatally.Candidate {
	id := cassiatally.NodeID(fmt.Sprintf("n%d", n))
	return cassiatally.Candidate{
		Ref: cassiatally.NodeRef{Node: id, Incarnation: 1}, DataCentre: dc, Service: service,
		Connections: 1000, State: cassiatally.EndpointReady,
		Load: cassiatally.EndpointLoad{Node: id, Limit: 10, TypicalSelfTime: 10 * time.Millisecond},
	}
}

func candidates(inNear, inFar int) (all []cassiatally.Candidate) {
	for i := range inNear {
		all = append(all, candidate(i, near))
	}
	for i := range inFar {
		all = append(all, candidate(inNear+i, far))
	}
	return all
}

func newBalancer(seed uint64, all []cassiatally.Candidate) *balancer.Balancer {
	b := &balancer.Balancer{Rand: rand.New(rand.NewPCG(seed, seed)), DataCentre: near}
	b.Update(0, all)
	return b
}

// chooseMany chooses n times without any call in flight, and counts the choices.
func chooseMany(b *balancer.Balancer, now cassiatally.Instant, n int) map[cassiatally.NodeID]int {
	counts := make(map[cassiatally.NodeID]int)
	for range n {
		id, ok := b.Choose(now, service, nil)
		if !ok {
			id = "none"
		}
		counts[id]++
	}
	return counts
}

// Guards against choosing an endpoint that is not ready or is to be avoided.
func TestEligible(t *testing.T) {
	cases := []struct {
		name   string
		change func(*cassiatally.Candidate)
		avoid  []cassiatally.NodeID
		want   cassiatally.NodeID
	}{
		{"ready", func(*cassiatally.Candidate) {}, nil, "n0"},
		{"draining", func(c *cassiatally.Candidate) { c.State = cassiatally.EndpointDraining }, nil, "none"},
		{"no backend server", func(c *cassiatally.Candidate) { c.State = cassiatally.EndpointNone }, nil, "none"},
		{"to be avoided", func(*cassiatally.Candidate) {}, []cassiatally.NodeID{"n0"}, "none"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			all := candidates(1, 0)
			c.change(&all[0])
			b := newBalancer(1, all)
			id, ok := b.Choose(afterSlowStart, service, c.avoid)
			if !ok {
				id = "none"
			}
			is.Equal(id, c.want)
			is.True(b.HasEndpoint(service))
			is.True(!b.HasEndpoint("other"))
		})
	}
}

// Guards against calls to another data centre while the near one has room, and against
// calls that stay in the near data centre although it is overloaded.
func TestNearDataCentreFirst(t *testing.T) {
	cases := []struct {
		name   string
		queued int
		far    bool
	}{
		{"idle", 0, false},
		{"a little slower", 1, false},
		{"far slower than the round trip", 100, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newBalancer(1, candidates(4, 4))
			all := candidates(4, 4)
			for i := range all {
				all[i].Load.InFlight = 1
			}
			for i := range 4 {
				all[i].Load.Queued = c.queued
			}
			b.Update(afterSlowStart, all)
			id, ok := b.Choose(afterSlowStart, service, nil)
			is.True(ok)
			is.Equal(id >= "n4", c.far)
		})
	}
}

// Guards against an old report that keeps calls away from an endpoint forever.
func TestReportsAge(t *testing.T) {
	is := is.New(t)
	b := newBalancer(1, candidates(2, 0))
	all := candidates(2, 0)
	all[0].Load.Queued = 1000
	b.Update(afterSlowStart, all)
	is.Equal(chooseMany(b, afterSlowStart, 100)["n0"], 0)
	later := afterSlowStart.Add(time.Minute)
	b.Update(later, all) // gossip repeats the old report
	is.True(chooseMany(b, later, 100)["n0"] > 0)
}

// Guards against calls that are still sent to an endpoint behind a partition until
// membership suspects it, while another one would serve them, and against a refusal
// when no other one is left.
func TestUnreachedEndpoint(t *testing.T) {
	is := is.New(t)
	b := newBalancer(1, candidates(1, 1))
	b.Started(afterSlowStart, "n0")
	b.Finished(afterSlowStart, "n0", cassiatally.CallResult{Failed: true, Unreachable: true})
	is.Equal(chooseMany(b, afterSlowStart, 20)["n1"], 20)
	b.Started(afterSlowStart, "n1")
	b.Finished(afterSlowStart, "n1", cassiatally.CallResult{Failed: true, Unreachable: true})
	is.Equal(chooseMany(b, afterSlowStart, 20)["none"], 0)
	is.Equal(chooseMany(b, afterSlowStart.Add(2*time.Second), 20)["n0"], 20)
}

// Guards against calls to an endpoint whose node is silent, and against an endpoint that
// gets none although its node is responding again.
func TestSilentNode(t *testing.T) {
	is := is.New(t)
	b := newBalancer(1, candidates(1, 1))
	b.MarkSilent(afterSlowStart, "n0")
	is.Equal(chooseMany(b, afterSlowStart, 20)["n1"], 20)
	b.MarkResponding("n0")
	is.Equal(chooseMany(b, afterSlowStart, 20)["n0"], 20)
}

// Guards against a new endpoint that gets its full part of the calls while it is still
// cold, and against a restart that does not begin a slow start.
func TestSlowStart(t *testing.T) {
	is := is.New(t)
	b := newBalancer(1, candidates(2, 0))
	all := candidates(2, 0)
	all[1].Ref.Incarnation = 2
	b.Update(afterSlowStart, all)
	run := func(now cassiatally.Instant) (n int) {
		const calls = 20
		counts := make(map[cassiatally.NodeID]int)
		for range calls {
			id, _ := b.Choose(now, service, nil)
			b.Started(now, id)
			counts[id]++
		}
		for id, n := range counts {
			for range n {
				b.Finished(now, id, cassiatally.CallResult{Took: 10 * time.Millisecond})
			}
		}
		return counts["n1"]
	}
	is.True(run(afterSlowStart) <= 2)
	is.Equal(run(afterSlowStart.Add(time.Minute)), 10)
}

// Guards against a node that restarts on the host of a warm endpoint, so that the
// endpoint is treated as cold and stays nearly idle while calls queue at the other one.
func TestNoSlowStart(t *testing.T) {
	is := is.New(t)
	const slots = 8
	all := candidates(2, 0)
	for i := range all {
		all[i].Load = cassiatally.EndpointLoad{Node: all[i].Ref.Node, Limit: slots, TypicalSelfTime: 10 * time.Millisecond}
	}
	b := newBalancer(1, all)
	b.SlowStart = -1
	all[1].Ref.Incarnation = 2
	b.Update(afterSlowStart, all)
	counts := make(map[cassiatally.NodeID]int)
	for range slots {
		id, _ := b.Choose(afterSlowStart, service, nil)
		b.Started(afterSlowStart, id)
		counts[id]++
	}
	is.Equal(counts["n1"], slots/2)
}

// Guards against failing endpoints that still get calls, against the exclusion of
// too many, and against exclusions that never end.
func TestOutliers(t *testing.T) {
	const endpoints = 6
	fail := func(b *balancer.Balancer, now cassiatally.Instant, failing int) {
		for range 40 {
			for i := range endpoints {
				id := cassiatally.NodeID(fmt.Sprintf("n%d", i))
				b.Started(now, id)
				b.Finished(now, id, cassiatally.CallResult{Took: time.Millisecond, Failed: i < failing})
			}
		}
	}
	cases := []struct {
		name              string
		failing, excluded int
	}{
		{"none fails", 0, 0},
		{"one fails", 1, 1},
		{"two fail", 2, 2},
		{"three fail, a third is excluded", 3, 2},
		{"all fail, none is an outlier", 6, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newBalancer(1, candidates(endpoints, 0))
			fail(b, afterSlowStart, c.failing)
			is.Equal(endpoints-len(chooseMany(b, afterSlowStart, 1000)), c.excluded)
			is.Equal(len(chooseMany(b, afterSlowStart.Add(time.Minute), 1000)), endpoints)
		})
	}
}

// Guards against calls that exceed this node's share of an endpoint's connections while
// another endpoint has room, and against a refusal of urgent and other calls alike when
// none has.
func TestConnectionBound(t *testing.T) {
	const share = 5 // a quarter of the connections
	is := is.New(t)
	all := candidates(1, 1)
	all[0].Connections, all[1].Connections = 20, 20
	// The far endpoint is much slower, so that it is chosen only because of the bound.
	all[1].Load.TypicalSelfTime = time.Minute
	b := newBalancer(1, all)
	choose := func() cassiatally.NodeID {
		id, ok := b.Choose(afterSlowStart, service, nil)
		is.True(ok)
		b.Started(afterSlowStart, id)
		return id
	}
	for range share {
		is.Equal(choose(), cassiatally.NodeID("n0"))
	}
	b.Update(afterSlowStart, nil) // unlisted and listed again while calls are in flight
	b.Update(afterSlowStart, all)
	for range share {
		is.Equal(choose(), cassiatally.NodeID("n1"))
	}
	is.Equal(choose(), cassiatally.NodeID("n0")) // both are full
	b.Finished(afterSlowStart, "n1", cassiatally.CallResult{})
	is.Equal(choose(), cassiatally.NodeID("n1"))
}

// Guards against calls that accumulate at one endpoint while others are idle. A single
// random choice leaves a difference several times as large.
func TestBalance(t *testing.T) {
	const endpoints, calls, mostAbove = 16, 1600, 5
	is := is.New(t)
	b := newBalancer(1, candidates(endpoints, 0))
	counts := make(map[cassiatally.NodeID]int)
	random := make(map[int]int)
	rng := rand.New(rand.NewPCG(1, 1))
	for range calls {
		id, ok := b.Choose(afterSlowStart, service, nil)
		is.True(ok)
		b.Started(afterSlowStart, id)
		counts[id]++
		random[rng.IntN(endpoints)]++
	}
	is.True(maxCount(counts) <= calls/endpoints+mostAbove)
	is.True(maxCount(random) > calls/endpoints+mostAbove)
}

func maxCount[K comparable](counts map[K]int) (n int) {
	for _, c := range counts {
		n = max(n, c)
	}
	return n
}

// Guards against endpoints of different limits that get equal parts of the calls.
func TestFasterEndpointGetsMore(t *testing.T) {
	is := is.New(t)
	all := candidates(2, 0)
	all[1].Load.Limit = 40
	b := newBalancer(1, all)
	counts := make(map[cassiatally.NodeID]int)
	for range 100 {
		id, _ := b.Choose(afterSlowStart, service, nil)
		b.Started(afterSlowStart, id)
		counts[id]++
	}
	is.Equal(counts["n1"], 80)
}

func BenchmarkChoose(b *testing.B) {
	const endpoints = 16
	l := newBalancer(1, candidates(endpoints/2, endpoints/2))
	b.ReportAllocs()
	for b.Loop() {
		id, _ := l.Choose(afterSlowStart, service, nil)
		l.Started(afterSlowStart, id)
		l.Finished(afterSlowStart, id, cassiatally.CallResult{Took: time.Millisecond})
	}
}

// Guards against calls to another data centre while the near endpoint has room, and
// against calls that wait at the near one while the far one has room.
func TestNearWhileItHasRoom(t *testing.T) {
	for _, c := range []struct {
		inFlight int
		want     cassiatally.NodeID
	}{{0, "n0"}, {6, "n0"}, {9, "n1"}} {
		is := is.New(t)
		b := newBalancer(1, candidates(1, 1))
		for range c.inFlight {
			b.Started(afterSlowStart, "n0")
		}
		is.Equal(chooseMany(b, afterSlowStart, 20)[c.want], 20)
	}
}

// Guards against calls that go to an endpoint behind a partition once a second for as
// long as it lasts, and each time wait until the endpoint proves unreachable.
func TestUnreachedBackoffGrows(t *testing.T) {
	is := is.New(t)
	b := newBalancer(1, candidates(1, 1))
	now, tries := afterSlowStart, 0
	for now.Before(afterSlowStart.Add(20 * time.Second)) {
		now = now.Add(100 * time.Millisecond)
		if id, _ := b.Choose(now, service, nil); id == "n0" {
			tries++
			b.Started(now, "n0")
			b.Finished(now, "n0", cassiatally.CallResult{Failed: true, Unreachable: true})
		}
	}
	is.True(tries >= 4)
	is.True(tries <= 8)
	b.Started(now, "n0")
	b.Finished(now, "n0", cassiatally.CallResult{Took: time.Millisecond})
	later := now.Add(5 * time.Second)
	b.Finished(later, "n0", cassiatally.CallResult{Failed: true, Unreachable: true})
	is.Equal(chooseMany(b, later.Add(1100*time.Millisecond), 20)["n0"], 20) // after a success the backoff is short again
}

// Guards against an endpoint that joins a service of short calls and gets none of them,
// because the default run time makes it look slower than the others.
func TestNewEndpointOfAFastService(t *testing.T) {
	is := is.New(t)
	all := candidates(2, 0)
	all[0].Load.TypicalSelfTime = 200 * time.Microsecond
	all[1].Load = cassiatally.EndpointLoad{}
	b := newBalancer(1, all)
	counts := make(map[cassiatally.NodeID]int)
	for range 20 {
		id, _ := b.Choose(afterSlowStart, service, nil)
		b.Started(afterSlowStart, id)
		counts[id]++
	}
	is.True(counts["n1"] >= 3)
}
