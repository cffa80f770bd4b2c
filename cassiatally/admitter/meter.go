package admitter

import (
	"math"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	windowDuration = 100 * time.Millisecond
	// shortWindows is the number of windows in the short average. A single unusual
	// window moves the levels by a quarter at most.
	shortWindows = 4
	// longWindows is the number of windows in the long average; a level falls only if
	// both averages agree. A small backend server gets too few calls in a few windows
	// to distinguish overload from chance, and a probe of the limiter is no loss of
	// capacity.
	longWindows = 12
	minLevel    = 0.01
	// maxGrowth is the highest and maxShrink the lowest factor of a level in one window,
	// so that a single unusual window has a bounded effect.
	maxGrowth = 1.5
	maxShrink = 0.5
	// minEnded is the number of ended runs below which the throughput of the windows
	// is too coarse to be used.
	minEnded = 8
	// minArrivals is the number of arrivals below which the highest order value is a
	// poor estimate of the level that the entry applies.
	minArrivals = 8
	// The level of a rank falls to lateLevel when at least minLate of its calls, and
	// lateFactor times as many as the others, have less time than a run takes.
	// The work of upstream services for such calls is lost. lateLevel lets enough calls
	// pass to detect when that ends, and a level returns from it to 1 in 4 windows.
	minLate    = 4
	lateFactor = 9
	lateLevel  = 0.2
	// spareCapacity is the fraction of the capacity that must be available to a rank
	// without arrivals before its level grows.
	spareCapacity = 0.05
	// minBacklog is the fraction of the queue's bound that the most urgent rank must
	// hold, on average over the windows, before its level falls. A fall to a level
	// above urgentShortfall may be due to chance and requires urgentBacklog: with
	// minBacklog alone, single endpoints made entries refuse 0.5% of the urgent calls
	// although all of them fitted.
	minBacklog      = 0.4
	urgentBacklog   = 1.5
	urgentShortfall = 0.75
	// reservedBacklogTarget is the fraction of its own places in the queue that a rank
	// should fill with calls that only its reserved share pays for.
	reservedBacklogTarget = 0.5
)

type perRank [cassiatally.MaxRanks]float64

// meter measures arrivals and capacity and computes the levels.
type meter struct {
	levels [cassiatally.MaxRanks]cassiatally.Level
	limit  cassiatally.Concurrency
	// maxRate bounds the capacity, in runs per second; 0 means no bound.
	maxRate    float64
	windows    [longWindows]sample
	nextWindow int
	current    sample

	windowStart, lastAdvanced, lastEnded cassiatally.Instant
	inFlight                             int
	// queued is the number of entries of each rank in the queue.
	queued [cassiatally.MaxRanks]int
	// capacity is in runs per second; 0 means unknown.
	capacity float64
}

// sample holds the measurements of one window, or their sums over several.
type sample struct {
	seconds  float64
	arrivals perRank
	ended    float64
	// busySeconds is the time-weighted sum of the runs in flight.
	busySeconds float64
	// limitSeconds is the time-weighted sum of the concurrency limit.
	limitSeconds float64
	// waitingSeconds is the time-weighted sum of the entries in the queue.
	waitingSeconds perRank
	// belowLevel counts the arrivals with an order value up to the level.
	belowLevel perRank
	// levelSeconds is the time-weighted sum of the level: the part of the demand that
	// belowLevel counts, times the seconds.
	levelSeconds perRank
	// highestOrder is the highest order value that arrived.
	highestOrder perRank
	// lateArrivals counts the calls that arrived with less time than a run needs.
	lateArrivals perRank
}

func (m *meter) begin(now cassiatally.Instant) {
	m.windowStart, m.lastAdvanced, m.lastEnded = now, now, now
	for r := range m.levels {
		m.levels[r] = 1
	}
}

func (m *meter) recordArrival(r cassiatally.Rank, o cassiatally.Order) {
	m.current.arrivals[r]++
	if float64(o) <= float64(m.levels[r]) {
		m.current.belowLevel[r]++
	}
	m.current.highestOrder[r] = max(m.current.highestOrder[r], float64(o))
}

func (m *meter) recordLateArrival(r cassiatally.Rank) { m.current.lateArrivals[r]++ }

// recordQueue records the length of the queue from now on.
func (m *meter) recordQueue(now cassiatally.Instant, q *queue) {
	m.advance(now)
	for r := range m.queued {
		m.queued[r] = q.rankLen(cassiatally.Rank(r))
	}
}

func (m *meter) recordStarts(now cassiatally.Instant, n int) {
	m.advance(now)
	if m.inFlight == 0 && n > 0 {
		m.lastEnded = now
	}
	m.inFlight += n
}

func (m *meter) recordEnd(now cassiatally.Instant) {
	m.advance(now)
	m.inFlight = max(m.inFlight-1, 0)
	m.lastEnded = now
	m.current.ended++
}

func (m *meter) advance(now cassiatally.Instant) {
	d := now.Sub(m.lastAdvanced).Seconds()
	m.current.busySeconds += float64(m.inFlight) * d
	for r, n := range m.queued {
		m.current.waitingSeconds[r] += float64(n) * d
	}
	m.lastAdvanced = now
}

// free returns the number of entries that can start at once: the free slots under the
// limit. Under a bound on the rate, entries wait although slots are free.
func (m *meter) free() int {
	if m.maxRate > 0 {
		return 0
	}
	return max(int(m.limit)-m.inFlight, 0)
}

// bounded returns a capacity within maxRate.
func (m *meter) bounded(capacity float64) float64 {
	if m.maxRate > 0 && (capacity <= 0 || capacity > m.maxRate) {
		return m.maxRate
	}
	return capacity
}

// idle reports whether no run ended in the last shortWindows windows and none is in
// flight.
func (m *meter) idle() bool {
	sum := m.sum(shortWindows)
	return m.inFlight == 0 && sum.ended == 0
}

// lastWindowSeconds returns the length of the last closed window.
func (m *meter) lastWindowSeconds() float64 {
	return m.windows[(m.nextWindow+longWindows-1)%longWindows].seconds
}

// closeWindow ends the window if it is long enough, and reports whether it did.
func (m *meter) closeWindow(now cassiatally.Instant, limit cassiatally.Concurrency, typical time.Duration) bool {
	m.limit = limit
	d := now.Sub(m.windowStart)
	if d < windowDuration {
		return false
	}
	m.advance(now)
	m.current.seconds = d.Seconds()
	m.current.limitSeconds = float64(limit) * m.current.seconds
	for r, l := range m.levels {
		m.current.levelSeconds[r] = float64(l) * m.current.seconds
	}
	m.windows[m.nextWindow] = m.current
	m.nextWindow = (m.nextWindow + 1) % longWindows
	m.current = sample{}
	m.windowStart = now
	m.estimateCapacity(now, typical)
	return true
}

// estimateCapacity sets the capacity by Little's law: limit divided by the mean run
// time. While the whole limit is in use this is the throughput itself.
func (m *meter) estimateCapacity(now cassiatally.Instant, typical time.Duration) {
	sum := m.sum(shortWindows)
	run := typical.Seconds()
	if sum.ended >= minEnded {
		run = sum.busySeconds / sum.ended
	} else if m.inFlight > 0 {
		// Too few runs ended, so the time since the last end bounds the run time from
		// below.
		run = max(run, now.Sub(m.lastEnded).Seconds())
	}
	m.capacity = 0
	if run > 0 {
		m.capacity = float64(m.limit) / run
	}
	m.capacity = m.bounded(m.capacity)
}

// sum adds up the last n windows; highestOrder is their maximum.
func (m *meter) sum(n int) (sum sample) {
	for i := range n {
		w := &m.windows[(m.nextWindow+longWindows-1-i)%longWindows]
		sum.seconds += w.seconds
		sum.ended += w.ended
		sum.busySeconds += w.busySeconds
		sum.limitSeconds += w.limitSeconds
		for r := range w.arrivals {
			sum.arrivals[r] += w.arrivals[r]
			sum.waitingSeconds[r] += w.waitingSeconds[r]
			sum.belowLevel[r] += w.belowLevel[r]
			sum.levelSeconds[r] += w.levelSeconds[r]
			sum.highestOrder[r] = max(sum.highestOrder[r], w.highestOrder[r])
			sum.lateArrivals[r] += w.lateArrivals[r]
		}
	}
	return sum
}

// updateLevels sets the levels and returns the capacity available to each rank, in
// runs per second. Bound is the number of entries that may queue.
func (m *meter) updateLevels(shares perRank, bound int) perRank {
	sum := m.sum(shortWindows)
	backlog, waiting := 0.0, 0.0
	short := m.targets(sum, m.capacity, shares)
	long := m.sum(longWindows)
	longer := m.targets(long, m.bounded(long.capacity(m.capacity)), shares)
	for r, l := range m.levels {
		level := float64(l)
		backlog += float64(m.queued[r]) / float64(bound)
		next := combineTargets(r, short.levels[r], longer.levels[r])
		next *= backlogFactor(r, backlog, next)
		if shares[r] > 0 {
			reservedBacklog := float64(m.queued[r]) / float64(quota(shares[r], bound))
			next = max(next, combineTargets(r, short.reserved[r], longer.reserved[r])*reservedBacklogFactor(reservedBacklog))
		}
		if sum.arrivals[r] == 0 {
			next = level
			if short.available[r] > spareCapacity*m.capacity {
				next = level * maxGrowth
			}
		}
		if sum.lateArrivals[r] >= minLate && sum.lateArrivals[r] >= lateFactor*sum.arrivals[r] {
			m.levels[r] = cassiatally.Level(max(level*maxShrink, min(level, lateLevel)))
			continue
		}
		minNext := level
		waiting += sum.waitingSeconds[r] / sum.seconds
		if waiting >= backlogToLower(r, next)*float64(bound) {
			minNext *= maxShrink
		}
		next = min(max(next, minNext), level*maxGrowth)
		m.levels[r] = cassiatally.Level(min(max(next, minLevel), 1))
	}
	return short.available
}

// combineTargets combines the targets of the short and the long average. For the most
// urgent rank it returns the higher one, so that chance alone sheds no call. For the
// other ranks the higher one would admit about twice what fits, since both are noisy
// where few calls arrive; they get the mean.
func combineTargets(r int, short, long float64) float64 {
	if r == 0 {
		return max(short, long)
	}
	return (short + long) / 2
}

// targets holds the available capacity of each rank and the levels that fit its
// demand into it.
type targets struct {
	// available is the capacity for a rank, in runs per second.
	available perRank
	// levels are those at which the demand just fits the available capacity, and
	// reserved are those at which it just fits the reserved share.
	levels, reserved perRank
}

func (m *meter) targets(sum sample, capacity float64, shares perRank) (t targets) {
	rates := sum.arrivals
	for r := range rates {
		rates[r] /= sum.seconds
	}
	t.available = allocate(capacity, rates, shares)
	for r := range rates {
		if rates[r] > 0 {
			demand := sum.demand(r)
			t.levels[r] = t.available[r] / demand
			t.reserved[r] = shares[r] * capacity / demand
		}
	}
	return t
}

// capacity returns the capacity over the windows of the sum, or the fallback while
// too few runs have ended.
func (s *sample) capacity(fallback float64) float64 {
	if s.ended < minEnded || s.busySeconds <= 0 {
		return fallback
	}
	return s.limitSeconds / s.seconds * s.ended / s.busySeconds
}

// demands returns the demand of each rank in calls per second, before any refusal
// at the entry.
func (m *meter) demands() (out perRank) {
	sum := m.sum(longWindows)
	if sum.seconds <= 0 {
		return out
	}
	for r := range out {
		if sum.arrivals[r] > 0 {
			out[r] = sum.demand(r)
		}
	}
	return out
}

// backlogToLower returns the fraction of the queue's bound that a rank and the more
// urgent ones must hold, on average over the windows, before the level of the rank
// falls. Arrivals that vary by chance sometimes look like overload, but only overload
// of these ranks fills the queue with their calls. The most urgent rank has more room
// in the queue and is shed last, so it needs a larger backlog. Next is the level that
// the rank would fall to.
func backlogToLower(r int, next float64) float64 {
	const others = 0.1
	switch {
	case r > 0:
		return others
	case next < urgentShortfall:
		return minBacklog
	}
	return urgentBacklog
}

// backlogFactor returns the factor that moves a level so that the backlog of the queue
// approaches its target. An empty queue wastes capacity, and a full one refuses calls
// that passed the entry. For the most urgent rank the correction is smaller unless its
// level is far below its demand, so that chance alone does not lower the level.
func backlogFactor(r int, backlog, level float64) float64 {
	const (
		gain, target, urgentTarget = 0.2, 0.1, 0.25
		chanceGain, chanceTarget   = 0.04, 0.5
	)
	switch {
	case r > 0:
		return 1 + gain*(target-backlog)
	case level < urgentShortfall:
		return 1 + gain*(urgentTarget-backlog)
	}
	return 1 + chanceGain*(chanceTarget-backlog)
}

// reservedBacklogFactor does the same for the level of the reserved share, with the
// backlog of the rank itself as a fraction of its own places in the queue. More urgent
// calls in the queue do not delay what the reserved share pays for: with the factor of
// the whole queue, a flood of the most urgent work took a sixth of the share of rank 1.
func reservedBacklogFactor(backlog float64) float64 {
	const gain = 0.2
	return 1 + gain*(reservedBacklogTarget-backlog)
}

// quota returns the number of places in the queue that a reserved share has in
// addition to the bound.
func quota(share float64, bound int) int {
	if share <= 0 {
		return 0
	}
	return max(int(share*float64(bound)), minQuota)
}

// demand returns the demand of a rank before any refusal at the entry, in calls
// per second. Entry nodes apply a level some time after it was set, and order
// values are uniformly distributed. So the calls up to the level give the present
// demand, while the number of all arrivals depends on an earlier level.
func (s *sample) demand(r int) float64 {
	passed := s.levelSeconds[r]
	if n := s.arrivals[r]; n >= minArrivals {
		// While the entry still applies a lower level, no call above that one arrives.
		passed = min(passed, s.highestOrder[r]*(n+1)/n*s.seconds)
	}
	if s.belowLevel[r] == 0 {
		return s.arrivals[r] / s.seconds
	}
	return s.belowLevel[r] / max(passed, minLevel*s.seconds/2)
}

// allocate divides the capacity: first by reserved shares, then in strict order of
// urgency. An unknown capacity counts as unlimited.
func allocate(capacity float64, rates, shares perRank) (available perRank) {
	if capacity <= 0 {
		for r := range available {
			available[r] = math.Inf(1)
		}
		return available
	}
	var reserved perRank
	remaining := capacity
	for r := range reserved {
		reserved[r] = min(shares[r]*capacity, rates[r])
		remaining -= reserved[r]
	}
	for r := range available {
		usable := max(remaining, 0) + reserved[r]
		available[r] = max(usable, shares[r]*capacity)
		remaining -= max(min(rates[r], usable)-reserved[r], 0)
	}
	return available
}

func (m *meter) publishedLevels() []cassiatally.Level {
	levels := make([]cassiatally.Level, cassiatally.MaxRanks)
	for r := range levels {
		levels[r] = 1
		if m.levels[r] > 0 {
			levels[r] = m.levels[r]
		}
	}
	return levels
}
