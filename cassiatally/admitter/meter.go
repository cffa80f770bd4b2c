package admitter

import (
	"math"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	windowTime = 100 * time.Millisecond
	// windowCount windows are averaged, so that a single odd one moves the levels
	// by a quarter at most.
	windowCount = 4
	// longCount windows are averaged as well, and a level falls only if both agree.
	// A small backend server sees too few calls in a few windows to tell overload
	// from chance, and a probe of the limiter is no loss of capacity.
	longCount  = 12
	leastLevel = 0.01
	mostGrowth = 1.5
	// mostShrink bounds the fall of a level in one window for the same reason.
	mostShrink = 0.5
	// leastEnded is the number of ended runs below which the throughput of the
	// windows is too coarse to be used.
	leastEnded = 8
	// leastArrivals is the number of arrivals below which the highest order value
	// says little about the level that the entry applies.
	leastArrivals = 8
	// A rank loses its level when at least leastLate of its calls, and lateFactor times
	// as many as the others, have less time left than a run takes. Work done for them
	// further up is lost. lateLevel lets enough pass to see when that ends, and a level
	// returns from it to 1 in 4 windows.
	leastLate  = 4
	lateFactor = 9
	lateLevel  = 0.2
	// spareCapacity is the part of the capacity that must be left for a rank
	// without arrivals before its level grows.
	spareCapacity = 0.05
	// leastBacklog is the part of the queue's bound that the most urgent rank must
	// hold, on average over the windows, before its level falls. A fall that ends
	// above urgentShortfall may be due to chance and asks for urgentBacklog: with
	// leastBacklog alone, single endpoints had entries refuse 0.5% of the urgent calls
	// although all of them fitted.
	leastBacklog    = 0.4
	urgentBacklog   = 1.5
	urgentShortfall = 0.75
	// keptRest is the part of its own places in the queue that a rank should fill
	// with calls that only its kept share pays for.
	keptRest = 0.5
)

type perRank [cassiatally.MaxRanks]float64

// meter measures arrivals and capacity and computes the levels.
type meter struct {
	levels  [cassiatally.MaxRanks]cassiatally.Level
	limit   cassiatally.Concurrency
	windows [longCount]sample
	next    int
	now     sample

	begun, touched, lastEnded cassiatally.Instant
	inFlight                  int
	// queued has the entries of each rank in the queue.
	queued [cassiatally.MaxRanks]int
	// capacity is in runs per second; 0 means unknown.
	capacity float64
}

// sample is what was seen in one window.
type sample struct {
	seconds  float64
	arrivals perRank
	ended    float64
	// busy is the sum of run time in the window, in seconds.
	busy float64
	// limit is the sum of the concurrency limit over time, in seconds.
	limit float64
	// waiting is the sum of the waiting time of each rank, in seconds.
	waiting perRank
	// below counts the arrivals with an order value up to the level.
	below perRank
	// passed is level times seconds: how much of the demand the count stands for.
	passed perRank
	// highest has the highest order value that arrived.
	highest perRank
	// late counts the calls that came too late for their run time.
	late perRank
}

func (m *meter) begin(now cassiatally.Instant) {
	m.begun, m.touched, m.lastEnded = now, now, now
	for r := range m.levels {
		m.levels[r] = 1
	}
}

func (m *meter) arrived(r cassiatally.Rank, o cassiatally.Order) {
	m.now.arrivals[r]++
	if float64(o) <= float64(m.levels[r]) {
		m.now.below[r]++
	}
	m.now.highest[r] = max(m.now.highest[r], float64(o))
}

func (m *meter) late(r cassiatally.Rank) { m.now.late[r]++ }

// queue records the length of the queue from now on.
func (m *meter) queue(now cassiatally.Instant, q *queue) {
	m.advance(now)
	for r := range m.queued {
		m.queued[r] = q.rankLen(cassiatally.Rank(r))
	}
}

func (m *meter) started(now cassiatally.Instant, n int) {
	m.advance(now)
	if m.inFlight == 0 && n > 0 {
		m.lastEnded = now
	}
	m.inFlight += n
}

func (m *meter) ended(now cassiatally.Instant) {
	m.advance(now)
	m.inFlight = max(m.inFlight-1, 0)
	m.lastEnded = now
	m.now.ended++
}

func (m *meter) advance(now cassiatally.Instant) {
	d := now.Sub(m.touched).Seconds()
	m.now.busy += float64(m.inFlight) * d
	for r, n := range m.queued {
		m.now.waiting[r] += float64(n) * d
	}
	m.touched = now
}

// free returns how many calls could start at once.
func (m *meter) free() int { return max(int(m.limit)-m.inFlight, 0) }

// idle reports whether no run ended in the last windows and none is in flight.
func (m *meter) idle() bool {
	sum := m.sum(windowCount)
	return m.inFlight == 0 && sum.ended == 0
}

// window returns the time over which the last window ran, in seconds.
func (m *meter) window() float64 {
	return m.windows[(m.next+longCount-1)%longCount].seconds
}

// close ends the window if it is long enough, and reports whether it did.
func (m *meter) close(now cassiatally.Instant, limit cassiatally.Concurrency, typical time.Duration) bool {
	m.limit = limit
	d := now.Sub(m.begun)
	if d < windowTime {
		return false
	}
	m.advance(now)
	m.now.seconds = d.Seconds()
	m.now.limit = float64(limit) * m.now.seconds
	for r, l := range m.levels {
		m.now.passed[r] = float64(l) * m.now.seconds
	}
	m.windows[m.next] = m.now
	m.next = (m.next + 1) % longCount
	m.now = sample{}
	m.begun = now
	m.measure(now, typical)
	return true
}

// measure derives the capacity by Little's law: limit divided by the mean run
// time. While the limit is in use this is the throughput itself.
func (m *meter) measure(now cassiatally.Instant, typical time.Duration) {
	sum := m.sum(windowCount)
	run := typical.Seconds()
	if sum.ended >= leastEnded {
		run = sum.busy / sum.ended
	} else if m.inFlight > 0 {
		// A backend server from which nothing returns is slower than it was.
		run = max(run, now.Sub(m.lastEnded).Seconds())
	}
	m.capacity = 0
	if run > 0 {
		m.capacity = float64(m.limit) / run
	}
}

// sum adds up the last n windows.
func (m *meter) sum(n int) (sum sample) {
	for i := range n {
		w := &m.windows[(m.next+longCount-1-i)%longCount]
		sum.seconds += w.seconds
		sum.ended += w.ended
		sum.busy += w.busy
		sum.limit += w.limit
		for r := range w.arrivals {
			sum.arrivals[r] += w.arrivals[r]
			sum.waiting[r] += w.waiting[r]
			sum.below[r] += w.below[r]
			sum.passed[r] += w.passed[r]
			sum.highest[r] = max(sum.highest[r], w.highest[r])
			sum.late[r] += w.late[r]
		}
	}
	return sum
}

// update sets the levels and returns the capacity available to each rank, in
// runs per second. Bound is the number of entries that may queue.
func (m *meter) update(shares perRank, bound int) perRank {
	sum := m.sum(windowCount)
	backlog, waiting := 0.0, 0.0
	short := m.targets(sum, m.capacity, shares)
	long := m.sum(longCount)
	longer := m.targets(long, long.capacity(m.capacity), shares)
	for r, l := range m.levels {
		level := float64(l)
		backlog += float64(m.queued[r]) / float64(bound)
		next := target(r, short.levels[r], longer.levels[r])
		next *= pull(r, backlog, next)
		if shares[r] > 0 {
			own := float64(m.queued[r]) / float64(quota(shares[r], bound))
			next = max(next, target(r, short.kept[r], longer.kept[r])*pullKept(own))
		}
		if sum.arrivals[r] == 0 {
			next = level
			if short.available[r] > spareCapacity*m.capacity {
				next = level * mostGrowth
			}
		}
		if sum.late[r] >= leastLate && sum.late[r] >= lateFactor*sum.arrivals[r] {
			m.levels[r] = cassiatally.Level(max(level*mostShrink, min(level, lateLevel)))
			continue
		}
		least := level
		waiting += sum.waiting[r] / sum.seconds
		if waiting >= backlogToFall(r, next)*float64(bound) {
			least *= mostShrink
		}
		next = min(max(next, least), level*mostGrowth)
		m.levels[r] = cassiatally.Level(min(max(next, leastLevel), 1))
	}
	return short.available
}

// target joins the targets of the short and the long windows. For the most urgent
// rank the higher one counts, so that chance sheds nothing. For the others that
// would let in about twice what fits, since both are noisy where few calls arrive.
func target(r int, short, long float64) float64 {
	if r == 0 {
		return max(short, long)
	}
	return (short + long) / 2
}

// targets is what fits the demand of each rank.
type targets struct {
	// available is the capacity for a rank, in runs per second.
	available perRank
	// levels are those at which the demand just fits the available capacity, kept
	// those at which it just fits the kept share.
	levels, kept perRank
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
			t.kept[r] = shares[r] * capacity / demand
		}
	}
	return t
}

// capacity returns the capacity over the windows of the sum, or otherwise while
// too few runs have ended.
func (s *sample) capacity(otherwise float64) float64 {
	if s.ended < leastEnded || s.busy <= 0 {
		return otherwise
	}
	return s.limit / s.seconds * s.ended / s.busy
}

// demands returns the demand of each rank in calls per second, before any refusal
// at the entry.
func (m *meter) demands() (out perRank) {
	sum := m.sum(longCount)
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

// backlogToFall returns the part of the queue that a rank and the more urgent ones
// must hold, on average over the windows, before the level of the rank falls.
// Arrivals that vary by chance look like overload now and then, but only overload
// of these ranks fills the queue with them. The most urgent rank has more room in
// the queue and is shed last, so more is asked for. Next is the level that it would
// fall to.
func backlogToFall(r int, next float64) float64 {
	const others = 0.1
	switch {
	case r > 0:
		return others
	case next < urgentShortfall:
		return leastBacklog
	}
	return urgentBacklog
}

// pull returns the factor by which a level follows the backlog of the queue. A
// dry queue wastes capacity, and a full one refuses calls that passed the entry.
// The most urgent rank is pulled less unless its level is far below its demand,
// since it must not give way to chance.
func pull(r int, backlog, level float64) float64 {
	const (
		strength, rest, urgentRest = 0.2, 0.1, 0.25
		chanceStrength, chanceRest = 0.04, 0.5
	)
	switch {
	case r > 0:
		return 1 + strength*(rest-backlog)
	case level < urgentShortfall:
		return 1 + strength*(urgentRest-backlog)
	}
	return 1 + chanceStrength*(chanceRest-backlog)
}

// pullKept returns the factor by which the level for the kept share follows the
// backlog of the rank itself, in parts of its own places in the queue. More urgent
// calls in the queue do not delay what the kept share pays for: with the pull of
// the whole queue, a flood of the most urgent work took a sixth of the share of
// rank 1.
func pullKept(own float64) float64 {
	const strength = 0.2
	return 1 + strength*(keptRest-own)
}

// quota returns the number of places in the queue that a kept share has on top of
// the bound.
func quota(share float64, bound int) int {
	if share <= 0 {
		return 0
	}
	return max(int(share*float64(bound)), leastQuota)
}

// demand returns the demand of a rank before any refusal at the entry, in calls
// per second. Entry nodes apply a level some time after it was set, and order
// values are spread evenly. So the calls below the level tell the demand as soon
// as they arrive, while the number of all arrivals tells about an earlier level.
func (s *sample) demand(r int) float64 {
	passed := s.passed[r]
	if n := s.arrivals[r]; n >= leastArrivals {
		// While the entry still applies a lower level, nothing arrives above that.
		passed = min(passed, s.highest[r]*(n+1)/n*s.seconds)
	}
	if s.below[r] == 0 {
		return s.arrivals[r] / s.seconds
	}
	return s.below[r] / max(passed, leastLevel*s.seconds/2)
}

// allocate divides the capacity: kept shares first, then strict precedence. An
// unknown capacity is unlimited.
func allocate(capacity float64, rates, shares perRank) (available perRank) {
	if capacity <= 0 {
		for r := range available {
			available[r] = math.Inf(1)
		}
		return available
	}
	var kept perRank
	left := capacity
	for r := range kept {
		kept[r] = min(shares[r]*capacity, rates[r])
		left -= kept[r]
	}
	for r := range available {
		own := max(left, 0) + kept[r]
		available[r] = max(own, shares[r]*capacity)
		left -= max(min(rates[r], own)-kept[r], 0)
	}
	return available
}

func (m *meter) published() []cassiatally.Level {
	levels := make([]cassiatally.Level, cassiatally.MaxRanks)
	for r := range levels {
		levels[r] = 1
		if m.levels[r] > 0 {
			levels[r] = m.levels[r]
		}
	}
	return levels
}
