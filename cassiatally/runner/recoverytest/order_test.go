package recoverytest_test

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/admitter"
	"github.com/cassiatally/cassiatally/cassiatally/fixedlimiter"
	"github.com/cassiatally/cassiatally/cassiatally/router"
	"github.com/cassiatally/cassiatally/cassiatally/windowbudgeter"
)

// The worst load of the first deployment: two ranks and three tenants on one route whose
// chain of four calls passes a bottleneck service that fails 55% of its requests, and one
// tenant sends five times its usual load.
const (
	orderTimeout = 2 * time.Second
	orderWarm    = 3 * time.Second
	orderLength  = 12 * time.Second
	// bottleneckCapacity is in runs per second.
	bottleneckCapacity = 4 * 9 * 20
	orderFailing       = 0.55
	orderSeeds         = 3
	// orderTarget is the share of its usual service that a tenant keeps in a flood of
	// another, and lightTarget what is completed of requests that fit.
	orderTarget, lightTarget = 0.95, 0.999
)

// The settings of a node beside an endpoint of the users' platform.
const (
	platformAttempts   = 2
	platformRetries    = 0.2
	platformWindow     = 10 * time.Second
	platformProportion = 0.85
	platformSlots      = 0.95
)

// assembleGate assembles a node as it is beside an endpoint of the users' platform.
func (h *host) assembleGate(queue *admitter.Admitter, cfg *router.Config) {
	h.tracker.FairTenants = true
	queue.Proportion = platformProportion
	h.limiter = &fixedlimiter.Limiter{UseSlots: true, Fraction: platformSlots}
	cfg.Budget = &windowbudgeter.Budgeter{Ratio: platformRetries, Slack: 1, Window: platformWindow}
	cfg.LoadRedirects, cfg.Granted = 1, true
}

// lightWork is the kind of work whose runs make no onward call.
const lightWork = cassiatally.WorkKind("light")

type tenantLoad struct {
	name cassiatally.Tenant
	rank cassiatally.Rank
	work cassiatally.WorkKind
	// rate is the load in parts of the bottleneck's capacity.
	rate float64

	sent, inTime, refused, failed, late int
	// wasted counts the runs at the bottleneck for requests without an answer in time.
	wasted, runs int
}

func (l *tenantLoad) String() string {
	return fmt.Sprintf("%-7s sent %5d, in time %.3f, refused %.3f, failed %.3f, late %.3f, runs %d, wasted %d",
		l.name, l.sent, l.part(l.inTime), l.part(l.refused), l.part(l.failed), l.part(l.late), l.runs, l.wasted)
}

func (l *tenantLoad) part(n int) float64 { return float64(n) / float64(max(l.sent, 1)) }

// orderReplay replays the load. Callers send a refused request again after the stated
// time if that is at most a third of what they have left.
func orderReplay(seed uint64, loads []*tenantLoad) {
	const wide, narrow = 90, 10
	f := newFleet(seed, []serviceSpec{
		{name: "front-svc", slots: wide, serviceTime: 5 * time.Millisecond, calls: "mid-svc"},
		{name: "mid-svc", slots: wide, serviceTime: 5 * time.Millisecond, calls: bottleneck},
		{name: bottleneck, slots: narrow, serviceTime: 50 * time.Millisecond, calls: "deep-svc", failing: orderFailing},
		{name: "deep-svc", slots: wide, serviceTime: 5 * time.Millisecond},
	}, [cassiatally.MaxRanks]cassiatally.Share{}, true)
	f.slowdown = func(cassiatally.Instant) float64 { return 1 }
	began := f.now
	for _, l := range loads {
		f.arrivals(l, began.Add(orderWarm), began.Add(orderLength))
	}
	f.run(began.Add(orderLength + orderTimeout))
}

func (f *fleet) arrivals(l *tenantLoad, counted, until cassiatally.Instant) {
	f.after(time.Duration(f.rand.ExpFloat64()/(l.rate*bottleneckCapacity)*float64(time.Second)), func() {
		if f.now.Reached(until) {
			return
		}
		f.requests = append(f.requests, &request{arrived: f.now, lost: make(map[time.Duration]time.Duration)})
		t := &tenantLoad{}
		if f.now.Reached(counted) {
			t = l
		}
		t.sent++
		f.sendOf(l, t, len(f.requests)-1)
		f.arrivals(l, counted, until)
	})
}

// sendOf sends a copy of a request and counts its end in t.
func (f *fleet) sendOf(l, t *tenantLoad, index int) {
	r := f.requests[index]
	deadline := r.arrived.Add(orderTimeout)
	h := f.nodes[f.rand.IntN(len(f.nodes))]
	r.copies++
	var root cassiatally.RootID
	binary.BigEndian.PutUint64(root[:], uint64(index))
	binary.BigEndian.PutUint64(root[8:], uint64(r.copies))
	id := h.nextID()
	done := false
	end := func(count *int) {
		if done {
			return
		}
		done = true
		*count++
		t.runs += r.runs
		if count != &t.inTime {
			t.wasted += r.runs
		}
	}
	f.after(deadline.Sub(f.now), func() { end(&t.late) })
	h.replies[id] = func(a cassiatally.Answer) {
		f.after(callerDelay, func() {
			left := deadline.Sub(f.now)
			switch {
			case done:
			case a.Kind == cassiatally.KindNone:
				end(&t.inTime)
			case a.Outcome == cassiatally.OutcomeNotRun && a.RetryAfter > 0 && a.RetryAfter <= left/3:
				done = true
				f.after(a.RetryAfter, func() { f.sendOf(l, t, index) })
			case a.Outcome == cassiatally.OutcomeNotRun:
				end(&t.refused)
			default:
				end(&t.failed)
			}
		})
	}
	h.carryOut(h.router.Submit(f.now, cassiatally.Request{
		ID: id, Root: root, Service: "front-svc", Work: l.work, Tenant: l.name,
		Policy: cassiatally.Policy{Rank: l.rank, Idempotent: true}, Order: root.Order(),
		Deadline: deadline, Retries: 32, Sends: platformAttempts, Attempt: 1,
	}))
}

// usualLoads are the loads of the tenants at their usual rates, which fit the capacity
// left by the failures only in part.
func usualLoads() map[cassiatally.Tenant]*tenantLoad {
	return map[cassiatally.Tenant]*tenantLoad{
		"gold":   {name: "gold", rank: 0, work: "check", rate: 0.2},
		"silver": {name: "silver", rank: 1, work: "check", rate: 0.25},
		"bulk":   {name: "bulk", rank: 1, work: "check", rate: 0.25},
		"light":  {name: "light", rank: 1, work: lightWork, rate: 0.2},
	}
}

// orderTotals replays the load with several seeds while one tenant sends five times its
// usual load.
func orderTotals(t *testing.T, flood cassiatally.Tenant) map[cassiatally.Tenant]*tenantLoad {
	totals := usualLoads()
	for seed := range uint64(orderSeeds) {
		loads := usualLoads()
		if l := loads[flood]; l != nil {
			l.rate *= 5
		}
		orderReplay(seed, []*tenantLoad{loads["gold"], loads["silver"], loads["bulk"], loads["light"]})
		for n, l := range loads {
			totals[n].add(l)
		}
	}
	for _, n := range []cassiatally.Tenant{"gold", "silver", "bulk", "light"} {
		t.Logf("flood of %q: %v", flood, totals[n])
	}
	return totals
}

func (l *tenantLoad) add(o *tenantLoad) {
	l.sent += o.sent
	l.inTime += o.inTime
	l.refused += o.refused
	l.failed += o.failed
	l.late += o.late
	l.wasted += o.wasted
	l.runs += o.runs
}

// Guards against urgent tenants that are refused for the flood of a less urgent one, against
// a tenant at its usual load that is refused for one far above its fair share, against the
// loss of requests that do not use the bottleneck, and against a tenant that is starved.
func TestOrderUnderOverload(t *testing.T) {
	is := is.New(t)
	usual := orderTotals(t, "")
	bulk := orderTotals(t, "bulk")
	gold := orderTotals(t, "gold")
	is.True(bulk["gold"].part(bulk["gold"].inTime) >= orderTarget*usual["gold"].part(usual["gold"].inTime))
	is.True(bulk["silver"].part(bulk["silver"].inTime) >= orderTarget*usual["silver"].part(usual["silver"].inTime))
	for _, loads := range []map[cassiatally.Tenant]*tenantLoad{usual, bulk, gold} {
		is.True(loads["light"].part(loads["light"].inTime) >= lightTarget)
		mean := float64(loads["gold"].inTime+loads["silver"].inTime+loads["bulk"].inTime) / 3
		for _, n := range []cassiatally.Tenant{"gold", "silver", "bulk"} {
			is.True(float64(loads[n].inTime) >= mean/4)
		}
	}
}
