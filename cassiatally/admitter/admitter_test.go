package admitter_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/admitter"
	"github.com/cassiatally/cassiatally/cassiatally/fifo"
	"github.com/cassiatally/cassiatally/cassiatally/limiter"
)

// The targets of section 2.3 of the design.
const (
	goodputTarget  = 0.95
	urgentTarget   = 0.999
	shareTarget    = 0.95
	recoveryTarget = 2 * time.Second
)

const (
	seed    = 1
	timeout = time.Second
)

type backend struct {
	name    string
	slots   int
	service time.Duration
}

func (b backend) capacity() float64 { return float64(b.slots) / b.service.Seconds() }

var backends = []backend{
	{"narrow", 15, 10 * time.Millisecond},
	{"narrow and slow", 10, 50 * time.Millisecond},
	{"wide", 110, 20 * time.Millisecond},
	{"slow", 40, 100 * time.Millisecond},
}

// flood offers urgent demand that fits, and more of two other ranks than fits. Factor
// is the total demand in multiples of the capacity.
func (b backend) flood(q cassiatally.Admitter, factor float64) *model {
	const urgent = 0.6
	c := b.capacity()
	return &model{
		queue: q, slots: b.slots, service: jittered(b.service), timeout: timeout,
		warmUp: 2 * time.Second, duration: 22 * time.Second,
		flows: []flow{
			{rank: 0, share: 0.1, rate: constant(urgent * c)},
			{rank: 1, share: 0.2, rate: constant(0.3 * (factor - urgent) * c)},
			{rank: 2, share: 0.05, rate: constant(0.7 * (factor - urgent) * c)},
		},
	}
}

// scores are the results of a flood, to be compared with the targets.
type scores struct {
	// goodput is the fraction of the capacity that was completed in time, and urgent
	// the fraction of rank 0 that was not lost.
	goodput, urgent float64
	// shares has, for each flow, what it completed divided by its reserved share or
	// its demand, whichever is less.
	shares []float64
}

func (b backend) score(m *model, results []outcome) (v scores) {
	whole := b.capacity() * (m.duration - m.warmUp).Seconds()
	for i, r := range results {
		v.goodput += float64(r.inTime) / whole
		entitled := min(float64(m.flows[i].share)*whole, float64(r.offered))
		v.shares = append(v.shares, float64(r.inTime)/entitled)
	}
	// Calls that have not ended when the model stops are not lost.
	lost := results[0].late + results[0].refused + results[0].refusedAtEntry
	v.urgent = 1 - float64(lost)/float64(results[0].offered)
	return v
}

// Guards against goodput that collapses, urgent work that is shed, and ranks that get
// less than their reserved share while demand exceeds capacity.
func TestFlood(t *testing.T) {
	for _, b := range backends {
		for _, factor := range []float64{1.5, 3, 6} {
			t.Run(fmt.Sprintf("%s at %g times capacity", b.name, factor), func(t *testing.T) {
				is := is.New(t)
				m := b.flood(&admitter.Admitter{}, factor)
				v := b.score(m, m.run(seed))
				is.True(v.goodput >= goodputTarget)
				is.True(v.urgent >= urgentTarget)
				is.True(slices.Min(v.shares) >= shareTarget)
			})
		}
	}
}

// Guards against levels that oscillate between their bounds when entry nodes receive
// them late: gossip delivers a level once per second.
func TestFloodWithLateLevels(t *testing.T) {
	for _, b := range backends {
		t.Run(b.name, func(t *testing.T) {
			is := is.New(t)
			m := b.flood(&admitter.Admitter{}, 6)
			m.lag = time.Second
			v := b.score(m, m.run(seed))
			is.True(v.goodput >= goodputTarget)
			is.True(v.urgent >= urgentTarget)
			is.True(slices.Min(v.shares) >= shareTarget)
		})
	}
}

// Guards against an admitter and a limiter that each meet the targets alone but not
// together, at a backend server that announces too many slots.
func TestFloodWithLimiter(t *testing.T) {
	const announced = 3
	for _, b := range backends {
		t.Run(b.name, func(t *testing.T) {
			is := is.New(t)
			l := &limiter.Limiter{}
			l.Resize(0, cassiatally.Concurrency(announced*b.slots))
			m := b.flood(&admitter.Admitter{}, 6)
			m.limiter = l
			v := b.score(m, m.run(seed))
			is.True(v.goodput >= goodputTarget)
			is.True(v.urgent >= urgentTarget)
			is.True(slices.Min(v.shares) >= shareTarget)
		})
	}
}

// Guards against goodput that stays low after a backend server was slow.
func TestSlowDownWithLimiter(t *testing.T) {
	const from, to, slowFactor, base = 5 * time.Second, 10 * time.Second, 5, 0.8
	for _, b := range backends {
		t.Run(b.name, func(t *testing.T) {
			is := is.New(t)
			l := &limiter.Limiter{}
			l.Resize(0, cassiatally.Concurrency(b.slots))
			m := &model{
				queue: &admitter.Admitter{}, limiter: l, slots: b.slots, timeout: timeout, duration: 22 * time.Second,
				service: func(rng *rand.Rand, at cassiatally.Instant) time.Duration {
					factor := between(1, slowFactor, from, to)(at)
					return time.Duration(factor * float64(jittered(b.service)(rng, at)))
				},
				flows: []flow{
					{rank: 0, share: 0.1, rate: constant(0.4 * b.capacity())},
					{rank: 1, share: 0.2, rate: constant(0.4 * b.capacity())},
				},
			}
			m.run(seed)
			is.True(m.goodput(to+recoveryTarget) >= goodputTarget*base*b.capacity())
		})
	}
}

// Shows that TestFlood can fail: a FIFO queue misses the targets on the same floods,
// and without a tight bound it completes nothing in time.
func TestFirstComeQueueMissesTheTargets(t *testing.T) {
	is := is.New(t)
	b := backends[0]
	m := b.flood(&fifo.Queue{Capacity: 150}, 6)
	is.True(b.score(m, m.run(seed)).urgent < urgentTarget)
	m = b.flood(&fifo.Queue{}, 6)
	v := b.score(m, m.run(seed))
	is.True(v.goodput < goodputTarget)
	is.True(slices.Min(v.shares) < shareTarget)
}

// Guards against levels and goodput that stay low after a surge.
func TestRecovers(t *testing.T) {
	const from, to = 3 * time.Second, 6 * time.Second
	const base = 0.8
	for _, b := range backends {
		t.Run(b.name, func(t *testing.T) {
			is := is.New(t)
			c := b.capacity()
			m := &model{
				queue: &admitter.Admitter{}, slots: b.slots, service: jittered(b.service), timeout: timeout, duration: 18 * time.Second,
				flows: []flow{
					{rank: 0, share: 0.1, rate: constant(0.3 * c)},
					{rank: 1, share: 0.1, rate: between(0.3*c, 3*c, from, to)},
					{rank: 2, share: 0.05, rate: between(0.2*c, 3*c, from, to)},
				},
			}
			m.run(seed)
			later := m.levels[(to+recoveryTarget)/window:]
			is.Equal(later[0], fullLevels())
			// Random arrivals may exceed the capacity of a small backend server in a
			// few later windows.
			sum := 0.0
			for _, l := range later {
				sum += float64(slices.Min(l))
			}
			is.True(sum >= goodputTarget*float64(len(later)))
			is.True(m.goodput(to+recoveryTarget) >= goodputTarget*base*c)
		})
	}
}

func fullLevels() []cassiatally.Level {
	levels := make([]cassiatally.Level, cassiatally.MaxRanks)
	for i := range levels {
		levels[i] = 1
	}
	return levels
}

// Guards against refusing most calls of a rank at the entry after a single unusual
// window, in which the backend server pauses or calls arrive in a burst.
func TestSingleUnusualWindow(t *testing.T) {
	const from, to = 3 * time.Second, 3*time.Second + window
	b := backends[2]
	c := b.capacity()
	withPause := func(rng *rand.Rand, at cassiatally.Instant) time.Duration {
		d := jittered(b.service)(rng, at)
		if end := cassiatally.Instant(to); at.Add(d).Reached(cassiatally.Instant(from)) && at.Before(end) {
			return max(d, end.Sub(at))
		}
		return d
	}
	cases := []struct {
		name    string
		rate    func(cassiatally.Instant) float64
		service func(*rand.Rand, cassiatally.Instant) time.Duration
	}{
		{"the backend server pauses", constant(0.7 * c), withPause},
		{"a burst of four times the capacity", between(0.7*c, 4*c, from, to), jittered(b.service)},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			const mostLost = 0.5
			m := &model{
				queue: &admitter.Admitter{}, slots: b.slots, service: x.service, timeout: timeout, duration: 6 * time.Second,
				flows: []flow{{rank: 0, rate: x.rate}},
			}
			m.run(seed)
			for _, l := range m.levels {
				is.True(l[0] >= 1-mostLost)
			}
			is.Equal(m.levels[(to+recoveryTarget)/window], fullLevels())
		})
	}
}

// Guards against a typical run time that stays too high forever after a slow period
// in which every call was dropped as too late, so that no run ended.
func TestMeasuresAgainAfterSlowPeriod(t *testing.T) {
	const from, to = 3 * time.Second, 6 * time.Second
	is := is.New(t)
	b := backends[0]
	m := &model{
		queue: &admitter.Admitter{}, slots: b.slots, timeout: timeout, duration: 12 * time.Second,
		service: func(rng *rand.Rand, at cassiatally.Instant) time.Duration {
			if at.Reached(cassiatally.Instant(from)) && at.Before(cassiatally.Instant(to)) {
				return 2 * timeout
			}
			return jittered(b.service)(rng, at)
		},
		flows: []flow{{rank: 0, rate: constant(0.8 * b.capacity())}},
	}
	m.run(seed)
	// The last slow runs end two timeouts after the slow period.
	restored := to + 2*timeout + recoveryTarget
	is.True(m.goodput(restored) >= goodputTarget*0.8*b.capacity())
}

// Guards against a tenant whose flood takes the capacity of another tenant that
// stays within its fair share.
func TestTenantWithinItsFairShare(t *testing.T) {
	for _, c := range []struct {
		name  string
		queue cassiatally.Admitter
		fair  bool
	}{
		{"admitter", &admitter.Admitter{}, true},
		{"first-come queue", &fifo.Queue{Capacity: 100}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := backends[2]
			m := &model{
				queue: c.queue, slots: b.slots, service: jittered(b.service), timeout: timeout,
				warmUp: 2 * time.Second, duration: 10 * time.Second, ignoreLevels: true,
				flows: []flow{
					{rank: 1, tenant: "modest", rate: constant(0.3 * b.capacity())},
					{rank: 1, tenant: "greedy", rate: constant(3 * b.capacity())},
				},
			}
			r := m.run(seed)
			served := float64(r[0].inTime) / float64(r[0].offered)
			is.Equal(served >= shareTarget, c.fair)
		})
	}
}

func entry(seq uint64, r cassiatally.Rank, o cassiatally.Order) cassiatally.Entry {
	return cassiatally.Entry{ID: cassiatally.CallID{Origin: 1, Seq: seq}, Rank: r, Order: o}
}

func seqs(ids []cassiatally.CallID) (out []uint64) {
	for _, id := range ids {
		out = append(out, id.Seq)
	}
	return out
}

// Guards against calls that start out of order: by rank, then by order value, then by
// arrival.
func TestNextOrder(t *testing.T) {
	cases := []struct {
		name    string
		entries []cassiatally.Entry
		want    []uint64
	}{
		{"urgent rank first", []cassiatally.Entry{entry(1, 2, 0.1), entry(2, 0, 0.9), entry(3, 1, 0.5)}, []uint64{2, 3, 1}},
		{"lowest order value first", []cassiatally.Entry{entry(1, 1, 0.7), entry(2, 1, 0.2), entry(3, 1, 0.4)}, []uint64{2, 3, 1}},
		{"first come at equal values", []cassiatally.Entry{entry(1, 1, 0.5), entry(2, 1, 0.5), entry(3, 1, 0.5)}, []uint64{1, 2, 3}},
		{"ranks beyond the last count as the last", []cassiatally.Entry{entry(1, 200, 0.5), entry(2, 6, 0.5)}, []uint64{2, 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a := &admitter.Admitter{}
			for _, e := range c.entries {
				is.Equal(len(a.Offer(0, e)), 0)
			}
			start, dropped := a.Next(0, 10)
			is.Equal(seqs(start), c.want)
			is.Equal(len(dropped), 0)
			is.Equal(a.Len(), 0)
		})
	}
}

// Guards against a full queue that refuses the newest entry instead of the one that
// would be served last.
func TestFullQueueRefusesTheEntryServedLast(t *testing.T) {
	is := is.New(t)
	a := &admitter.Admitter{MinQueue: 3}
	for _, e := range []cassiatally.Entry{entry(1, 2, 0.2), entry(2, 2, 0.9), entry(3, 1, 0.9)} {
		is.Equal(len(a.Offer(0, e)), 0)
	}
	overloaded := func(seq uint64) []cassiatally.Dropped {
		return []cassiatally.Dropped{{ID: entry(seq, 0, 0).ID, Kind: cassiatally.KindOverloaded}}
	}
	is.Equal(a.Offer(0, entry(4, 2, 0.5)), overloaded(2)) // highest order value of the last rank
	is.Equal(a.Offer(0, entry(5, 2, 0.6)), overloaded(5)) // the entry itself
	is.Equal(a.Offer(0, entry(6, 1, 0.99)), overloaded(4))
	is.Equal(a.Offer(0, entry(7, 1, 0.1)), overloaded(1)) // an urgent entry displaces the last of the others
	is.Equal(a.Offer(0, entry(8, 1, 0.2)), overloaded(6))
	for seq := uint64(9); seq < 18; seq++ {
		dropped := a.Offer(0, entry(seq, 0, 0.5))
		is.Equal(len(dropped) == 1, seq < 12) // the most urgent rank displaces the others, then queues longer
	}
	is.Equal(a.Offer(0, entry(18, 0, 0.4)), overloaded(17)) // but not without bound
}

// Guards against work on calls whose deadline cannot be met.
func TestDeadlines(t *testing.T) {
	const typical = 100 * time.Millisecond
	is := is.New(t)
	a := &admitter.Admitter{}
	now := cassiatally.Instant(time.Second)
	// One slot of 100 ms each gives 10 runs per second.
	a.Offer(now, entry(1, 0, 0))
	a.Next(now, 1)
	now = now.Add(typical)
	a.Done(now, cassiatally.RunClass{}, typical)
	a.Tick(now, 1)
	offer := func(seq uint64, remaining time.Duration) []cassiatally.Dropped {
		e := entry(seq, 0, cassiatally.Order(seq)/10)
		e.Deadline = now.Add(remaining)
		return a.Offer(now, e)
	}
	is.Equal(offer(2, typical/2)[0].Kind, cassiatally.KindExpired)
	is.Equal(len(offer(3, 150*time.Millisecond)), 0)
	is.Equal(len(offer(4, time.Second)), 0)
	is.Equal(offer(5, 250*time.Millisecond)[0].Kind, cassiatally.KindOverloaded) // two are served before it
	now = now.Add(60 * time.Millisecond)
	start, dropped := a.Next(now, 1)
	is.Equal(seqs(start), []uint64{4})
	is.Equal(dropped, []cassiatally.Dropped{{ID: entry(3, 0, 0).ID, Kind: cassiatally.KindExpired}})
}

// Guards against calls with a high order value that wait until they are too late in a
// busy period, although their rank fits the capacity.
func TestNearDeadlineGoesFirst(t *testing.T) {
	is := is.New(t)
	a := &admitter.Admitter{}
	high, low := entry(1, 0, 0.9), entry(2, 0, 0.1)
	high.Deadline = cassiatally.Instant(time.Second)
	low.Deadline = cassiatally.Instant(2 * time.Second)
	a.Offer(0, high)
	a.Offer(0, low)
	start, _ := a.Next(cassiatally.Instant(900*time.Millisecond), 1)
	is.Equal(seqs(start), []uint64{1})
}

// Guards against a cancelled call that is started, and against losing entries when
// others are removed from the middle of the queue.
func TestRemove(t *testing.T) {
	is := is.New(t)
	a := &admitter.Admitter{MinQueue: 100}
	rng := rand.New(rand.NewPCG(seed, seed))
	want := 0
	for i := range uint64(100) {
		e := entry(i, cassiatally.Rank(i%3), cassiatally.Order(rng.Float64()))
		e.Deadline = cassiatally.Instant(time.Hour)
		a.Offer(0, e)
	}
	for i := range uint64(100) {
		if rng.IntN(2) == 0 {
			is.True(a.Remove(entry(i, 0, 0).ID))
			is.True(!a.Remove(entry(i, 0, 0).ID))
			continue
		}
		want++
	}
	is.Equal(a.Len(), want)
	start, _ := a.Next(0, 1000)
	is.Equal(len(start), want)
}

func BenchmarkOfferNext(b *testing.B) {
	for _, size := range []int{16, 4096} {
		b.Run(fmt.Sprintf("%d entries", size), func(b *testing.B) {
			a := &admitter.Admitter{MinQueue: size}
			rng := rand.New(rand.NewPCG(seed, seed))
			now, seq := cassiatally.Instant(0), uint64(0)
			offer := func() {
				seq++
				e := entry(seq, cassiatally.Rank(seq%4), cassiatally.Order(rng.Float64()))
				e.Deadline = now.Add(time.Minute)
				a.Offer(now, e)
			}
			for range size {
				offer()
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(10 * time.Microsecond)
				offer()
				start, _ := a.Next(now, 1)
				a.Done(now, cassiatally.RunClass{}, time.Millisecond)
				if len(start) == 0 {
					b.Fatal("nothing to start")
				}
			}
		})
	}
}
