package admitter_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/ratelimiter"
)

// flow is one kind of demand in the model.
type flow struct {
	rank   cassiatally.Rank
	share  cassiatally.Share
	tenant cassiatally.Tenant
	// rate returns the demand in calls per second.
	rate func(at cassiatally.Instant) float64
}

// outcome counts the calls of one flow after the warm-up.
type outcome struct{ offered, inTime, late, refused, refusedAtEntry int }

// model simulates a backend server with slots and an entry that applies the levels of
// the previous window, in fixed steps of virtual time.
type model struct {
	queue cassiatally.Admitter
	// limiter is optional; the limit is the number of slots without it.
	limiter cassiatally.Limiter
	// rate bounds the calls that are started in a second; 0 means no bound.
	rate cassiatally.Rate
	// slots is the number of calls that the backend server runs at a time; it queues
	// the rest internally.
	slots    int
	service  func(rng *rand.Rand, at cassiatally.Instant) time.Duration
	timeout  time.Duration
	flows    []flow
	warmUp   time.Duration
	duration time.Duration
	// lag is the time until the entry applies a level, in addition to a window.
	lag time.Duration
	// ignoreLevels disables refusal at the entry.
	ignoreLevels bool
	// perWindow counts the calls completed in time in each 100 ms; levels has the
	// levels at the end of each.
	perWindow []int
	levels    [][]cassiatally.Level
}

const (
	step   = 100 * time.Microsecond
	window = 100 * time.Millisecond
)

type call struct {
	flow     int
	deadline cassiatally.Instant
}

type run struct {
	end   cassiatally.Instant
	id    cassiatally.CallID
	began cassiatally.Instant
	// inFlight is the concurrency at the start.
	inFlight int
}

// limit returns the concurrency limit in force.
func (m *model) limit() int {
	if m.limiter == nil {
		return m.slots
	}
	return int(m.limiter.Limit())
}

func constant(rate float64) func(cassiatally.Instant) float64 {
	return func(cassiatally.Instant) float64 { return rate }
}

// between returns high from one instant to another, and low at other times.
func between(low, high float64, from, to time.Duration) func(cassiatally.Instant) float64 {
	return func(at cassiatally.Instant) float64 {
		if at.Reached(cassiatally.Instant(from)) && at.Before(cassiatally.Instant(to)) {
			return high
		}
		return low
	}
}

// jittered returns service times of 0.7 to about 2 times their mean.
func jittered(mean time.Duration) func(*rand.Rand, cassiatally.Instant) time.Duration {
	return func(rng *rand.Rand, _ cassiatally.Instant) time.Duration {
		return time.Duration(float64(mean) * (0.7 + 0.3*rng.ExpFloat64()))
	}
}

func (m *model) run(seed uint64) []outcome {
	rng := rand.New(rand.NewPCG(seed, seed))
	results := make([]outcome, len(m.flows))
	calls := make(map[cassiatally.CallID]call)
	next := make([]float64, len(m.flows))
	var running []run
	free := make([]cassiatally.Instant, m.slots)
	var seq uint64
	inForce, good := m.queue.Levels(), 0
	rates := &ratelimiter.Limiter{}
	if m.rate > 0 {
		rates.SetRate(0, m.rate)
		m.queue.LimitRate(m.rate)
	}
	for i, f := range m.flows {
		next[i] = rng.ExpFloat64() / f.rate(0)
	}
	lost := func(dropped []cassiatally.Dropped, now cassiatally.Instant) {
		for _, d := range dropped {
			if now.Reached(cassiatally.Instant(m.warmUp)) {
				results[calls[d.ID].flow].refused++
			}
			delete(calls, d.ID)
		}
	}
	for now := cassiatally.Instant(0); now.Before(cassiatally.Instant(m.duration)); now = now.Add(step) {
		measured := now.Reached(cassiatally.Instant(m.warmUp))
		for len(running) > 0 && now.Reached(running[0].end) {
			r := running[0]
			running = running[1:]
			c := calls[r.id]
			delete(calls, r.id)
			busy := now.Sub(r.began)
			m.queue.Done(now, cassiatally.RunClass{Rank: m.flows[c.flow].rank}, busy)
			if m.limiter != nil {
				m.limiter.Observe(now, cassiatally.RunSample{SelfTime: busy, InFlight: cassiatally.Concurrency(r.inFlight)})
			}
			inTime := !c.deadline.Before(now)
			if inTime {
				good++
			}
			if measured && inTime {
				results[c.flow].inTime++
			} else if measured {
				results[c.flow].late++
			}
		}
		for i, f := range m.flows {
			rate := f.rate(now)
			for next[i] <= now.Sub(0).Seconds() {
				next[i] += rng.ExpFloat64() / rate
				if measured {
					results[i].offered++
				}
				order := cassiatally.Order(rng.Float64())
				if !m.ignoreLevels && float64(order) > float64(inForce[f.rank]) {
					if measured {
						results[i].refusedAtEntry++
					}
					continue
				}
				seq++
				id := cassiatally.CallID{Origin: 1, Seq: seq}
				calls[id] = call{flow: i, deadline: now.Add(m.timeout)}
				lost(m.queue.Offer(now, cassiatally.Entry{
					ID: id, Rank: f.rank, Share: f.share, Tenant: f.tenant, Order: order, Deadline: now.Add(m.timeout),
				}), now)
			}
		}
		start, dropped := m.queue.Next(now, min(max(m.limit()-len(running), 0), rates.Free(now)))
		lost(dropped, now)
		for _, id := range start {
			rates.Take(now)
			first := slices.Index(free, slices.Min(free))
			free[first] = max(free[first], now).Add(m.service(rng, now))
			r := run{end: free[first], id: id, began: now, inFlight: len(running) + 1}
			at, _ := slices.BinarySearchFunc(running, r, func(a, b run) int { return cmp.Compare(a.end, b.end) })
			running = slices.Insert(running, at, r)
		}
		if now.Sub(0)%window == 0 {
			if at := len(m.levels) - 1 - int(m.lag/window); at >= 0 {
				inForce = m.levels[at]
			}
			m.queue.Tick(now, cassiatally.Concurrency(m.limit()))
			m.perWindow = append(m.perWindow, good)
			m.levels = append(m.levels, m.queue.Levels())
			good = 0
		}
	}
	return results
}

// goodput returns the calls per second that completed in time after from.
func (m *model) goodput(from time.Duration) float64 {
	good := 0
	for _, n := range m.perWindow[from/window:] {
		good += n
	}
	return float64(good) / (m.duration - from).Seconds()
}
