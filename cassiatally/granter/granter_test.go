package granter_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/granter"
	"github.com/cassiatally/cassiatally/cassiatally/windowbudgeter"
)

const (
	ratio = 0.16
	// allowedRatio and allowedSlack bound the retries in a window over the whole fleet.
	allowedRatio = 0.2
	allowedSlack = 124
	window       = 10 * time.Second
	start        = cassiatally.Instant(time.Hour)
)

func call(r cassiatally.Rank, d cassiatally.Depth, progress uint8) cassiatally.Call {
	return cassiatally.Call{Rank: r, Depth: d, Progress: progress}
}

// grants returns how many of n refused calls get a retry.
func grants(g *granter.Granter, n int, c cassiatally.Call) int {
	granted := 0
	for range n {
		if g.Grant(start, c) {
			granted++
		}
	}
	return granted
}

// Guards against retries beyond the bound, those that other nodes decided upon included,
// and against a granted retry that is counted twice.
func TestGrantsAreBounded(t *testing.T) {
	cases := []struct {
		name    string
		arrived cassiatally.Call
		granted int
	}{
		{"calls only", call(0, 0, 0), 17},
		{"with retries of other nodes", cassiatally.Call{Send: cassiatally.SendRetry}, 7},
		{"with calls of repeated runs", cassiatally.Call{Repeated: true}, 7},
		{"with granted retries", cassiatally.Call{Send: cassiatally.SendGranted}, 17},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g := &granter.Granter{Ratio: ratio, Window: window}
			for range 100 {
				g.Arrived(start, call(0, 0, 0))
			}
			if c.arrived.Send != cassiatally.SendFirst || c.arrived.Repeated {
				for range 10 {
					g.Arrived(start, c.arrived)
				}
			}
			is.Equal(grants(g, 100, call(0, 0, 0)), c.granted)
			is.True(!g.Grant(start.Add(window/2), call(0, 0, 0)))
			is.True(g.Grant(start.Add(2*window), call(0, 0, 0))) // the slack
		})
	}
}

// Guards against calls of long chains that take the retries of the most urgent rank, or
// those of chains that are nearly complete.
func TestOrderOfGrants(t *testing.T) {
	cases := []struct {
		name           string
		urgentCalls    bool
		urgentRefusals int
		refused        cassiatally.Call
		granted        int
	}{
		{"the most urgent rank", true, 0, call(0, 0, 0), 33},
		{"less urgent", true, 0, call(1, 0, 0), 16},
		{"less urgent while nothing urgent comes", false, 0, call(1, 0, 0), 33},
		{"less urgent beside many urgent refusals", true, 25, call(1, 0, 0), 8},
		{"first call of a run", true, 0, call(1, 2, 0), 4},
		{"last call of a run", true, 0, call(1, 2, 3), 16},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g := &granter.Granter{Ratio: ratio, Window: window}
			for i := range 200 {
				rank := cassiatally.Rank(1)
				if c.urgentCalls && i%2 == 0 {
					rank = 0
				}
				g.Arrived(start, call(rank, 0, 0))
			}
			grants(g, c.urgentRefusals, call(0, 0, 0))
			is.Equal(grants(g, 100, c.refused), c.granted)
		})
	}
}

// shedReplay is a load at which all endpoints of a service refuse a part of what they
// get: urgent requests that enter at all nodes, and chains whose last service makes four
// calls one after the other.
type shedReplay struct {
	rng                                 *rand.Rand
	entryNodes, chainNodes, endpoints   int
	refusedFraction                     float64
	urgentPerSecond, chainsPerSecond    int
	budgets                             []windowbudgeter.Budgeter
	granters                            []granter.Granter
	requests, retries                   []int // by 100 ms
	urgent, urgentServed, chains, whole int
}

func newShedReplay(granted bool) *shedReplay {
	r := &shedReplay{
		rng: rand.New(rand.NewPCG(1, 1)), entryNodes: 95, chainNodes: 33, endpoints: 6, refusedFraction: 0.55,
		urgentPerSecond: 190, chainsPerSecond: 650,
	}
	r.budgets = make([]windowbudgeter.Budgeter, r.entryNodes)
	for i := range r.budgets {
		r.budgets[i] = windowbudgeter.Budgeter{Ratio: ratio, Slack: 1, Window: window}
	}
	if granted {
		r.granters = make([]granter.Granter, r.endpoints)
		for i := range r.granters {
			r.granters[i] = granter.Granter{Ratio: ratio, Window: window}
		}
	}
	return r
}

// play replays 8.5 s of the load, counted from 2 s after its begin.
func (r *shedReplay) play() {
	const length, warmUp = 10_500, 2000 // ms
	r.requests, r.retries = make([]int, length/100), make([]int, length/100)
	for ms := range length {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		counted := ms >= warmUp
		for range r.arrivals(r.urgentPerSecond) {
			served := r.send(now, ms, r.rng.IntN(r.entryNodes), call(0, 0, 0))
			if counted {
				r.urgent++
				r.urgentServed += toInt(served)
			}
		}
		for range r.arrivals(r.chainsPerSecond) {
			node := r.rng.IntN(r.chainNodes)
			progress := uint8(0)
			for progress < 4 && r.send(now, ms, node, call(1, 3, progress)) {
				progress++
			}
			if counted {
				r.chains++
				r.whole += toInt(progress == 4)
			}
		}
	}
}

// arrivals draws the arrivals in a millisecond.
func (r *shedReplay) arrivals(perSecond int) int { return toInt(r.rng.IntN(1000) < perSecond) }

func toInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// send sends a call until it is served or no retry is allowed.
func (r *shedReplay) send(now cassiatally.Instant, ms, node int, c cassiatally.Call) bool {
	pair := cassiatally.ServicePair{To: "avail-svc"}
	r.requests[ms/100]++
	r.budgets[node].Requested(now, pair, false)
	for {
		at := r.rng.IntN(r.endpoints)
		if r.granters != nil {
			r.granters[at].Arrived(now, c)
		}
		if r.rng.Float64() >= r.refusedFraction {
			return true
		}
		switch {
		case r.granters == nil && r.budgets[node].TakeRetry(now, pair, c.Rank, 1):
			c.Send = cassiatally.SendRetry
		case r.granters != nil && r.granters[at].Grant(now, c):
			c.Send = cassiatally.SendGranted
		default:
			return false
		}
		r.retries[ms/100]++
	}
}

// withinBound reports whether the retries kept the bound in every window of 10 s.
func (r *shedReplay) withinBound() bool {
	const slots = 100
	for end := slots; end <= len(r.requests); end++ {
		requests, retries := 0, 0
		for i := end - slots; i < end; i++ {
			requests += r.requests[i]
			retries += r.retries[i]
		}
		if float64(retries) > allowedRatio*float64(requests)+allowedSlack {
			return false
		}
	}
	return true
}

// Guards against urgent requests that fail while the retries of the fleet are spent on
// chains that fail all the same. Replays 8.5 s in which all endpoints of the narrow
// service refuse 55% of what they get.
func TestAllEndpointsRefuseHalf(t *testing.T) {
	is := is.New(t)
	before, after := newShedReplay(false), newShedReplay(true)
	for _, r := range []*shedReplay{before, after} {
		r.play()
		is.True(r.withinBound())
	}
	fraction := func(n, of int) float64 { return float64(n) / float64(of) }
	t.Logf("urgent served %.3f, by the budgets of the senders %.3f; chains whole %.3f and %.3f",
		fraction(after.urgentServed, after.urgent), fraction(before.urgentServed, before.urgent),
		fraction(after.whole, after.chains), fraction(before.whole, before.chains))
	is.True(fraction(after.urgentServed, after.urgent) > 0.9)
	is.True(fraction(after.urgentServed, after.urgent) > fraction(before.urgentServed, before.urgent))
	is.True(fraction(after.whole, after.chains) >= 0.9*fraction(before.whole, before.chains))
}
