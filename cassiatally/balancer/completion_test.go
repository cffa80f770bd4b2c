package balancer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/balancer"
)

// Guards against calls to a machine that is slow at the moment, against an endpoint that
// is avoided because its figure is high, though its run time was measured at that figure,
// and against a figure that counts for good.
func TestSlowMachine(t *testing.T) {
	cases := []struct {
		name              string
		slowdown, typical cassiatally.Slowdown
		after             time.Duration
		least, most       int
	}{
		{"slow at the moment", 2.5, 1, 0, 0, 0},
		{"as slow as usual", 2.5, 2.5, 0, 400, 600},
		{"faster than usual", 1, 2.5, 0, 1000, 1000},
		{"no run measured", 2.5, 0, 0, 0, 0},
		{"unknown", 0, 0, 0, 400, 600},
		{"old figure", 2.5, 1, time.Minute, 400, 600},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			all := candidates(2, 0)
			all[1].Load.Slowdown, all[1].Load.TypicalSlowdown = 1, 1
			b := newBalancer(1, all)
			all[0].Load.Slowdown, all[0].Load.TypicalSlowdown = c.slowdown, c.typical
			b.Update(afterSlowStart, all)
			n := chooseMany(b, afterSlowStart.Add(c.after), 1000)["n0"]
			is.True(n >= c.least)
			is.True(n <= c.most)
		})
	}
}

// Guards against calls to another data centre that take longer on the way than they would
// have waited in the near one.
func TestLatencyToAnotherDataCentre(t *testing.T) {
	for _, c := range []struct {
		name     string
		stated   cassiatally.Slowdown
		farTook  time.Duration
		farFirst bool
	}{
		{"near by", 1, 3 * time.Millisecond, true},
		{"far away", 1, 9 * time.Millisecond, false},
		{"no slowdown stated", 0, 9 * time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			all := candidates(1, 1)
			for i := range all {
				all[i].Load.TypicalSelfTime = time.Millisecond
				all[i].Load.Slowdown, all[i].Load.TypicalSlowdown = c.stated, c.stated
			}
			b := newBalancer(1, all)
			took := []time.Duration{2 * time.Millisecond, c.farTook}
			for i := range all {
				b.Started(afterSlowStart, all[i].Ref.Node)
				b.Finished(afterSlowStart, all[i].Ref.Node, cassiatally.CallResult{Took: took[i], Load: all[i].Load})
			}
			// The near endpoint is expected to take about 6 ms, the far one 1 ms.
			for range 15 {
				b.Started(afterSlowStart, "n0")
			}
			is.Equal(chooseMany(b, afterSlowStart, 20)["n1"] == 20, c.farFirst)
		})
	}
}

// Guards against an endpoint that gets more calls than it has slots because all nodes read
// the same figures at the same time, and it is the only fast one.
func TestNodesWithTheSameFigures(t *testing.T) {
	const nodes, zones = 62, 3
	for seed := range uint64(10) {
		is := is.New(t)
		counts := make(map[cassiatally.NodeID]int)
		var all []cassiatally.Candidate
		for i := range zones * endpointsPerZone {
			c := candidate(i, zoneName(i%zones))
			c.Load.Limit, c.Load.Slowdown, c.Load.TypicalSlowdown = placementLimit, 2.5, 1
			if i < zones {
				c.Load.Slowdown = 1
			}
			all = append(all, c)
		}
		for i := range nodes {
			b := &balancer.Balancer{Rand: rand.New(rand.NewPCG(seed, uint64(i))), DataCentre: zoneName(i % zones), RelativeMargin: 1.5, SlowStart: -1}
			b.Update(afterSlowStart, all)
			id, _ := b.Choose(afterSlowStart, service, nil)
			counts[id]++
		}
		is.True(maxCount(counts) <= placementLimit)
	}
}
