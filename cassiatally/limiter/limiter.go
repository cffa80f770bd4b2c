// Package limiter finds the concurrency limit of one backend server.
//
// A backend server queues internally above its real concurrency, which it may
// not know or may report wrongly. A Limiter therefore finds the point at which
// self time starts to rise. It doubles the limit while self time stays near its
// floor and grows it in small steps after that. When self time is well above the
// floor, the Limiter lowers the limit, down to a half, and compares: if self time
// falls along with the limit, the excess was queueing and the lower limit stays;
// if it does not fall, the backend server itself has become slower, the floor is
// raised and the limit restored.
//
// # Usage
//
//	l := &limiter.Limiter{}
//	l.Resize(now, announced.Slots)
//	free := int(l.Limit()) - inFlight
//	l.Observe(now, sample) // at the end of each run
package limiter

import (
	"math"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	leastLimit = 2.0
	// unknownSlots bounds the limit when no slots are announced.
	unknownSlots = 1024
	// startFraction is the part of the announced slots at which the limit starts.
	startFraction = 10
	// nearFloor is the ratio of self time to floor up to which the limit grows. It
	// leaves a small queue inside the backend server, which keeps its slots busy.
	nearFloor = 1.15
	// aboveFloor is the ratio above which the limit is cut.
	aboveFloor = 1.4
	// fasterFloor is the ratio below which the backend server has become faster.
	fasterFloor = 0.7
	// cutTarget is the ratio that a cut aims for.
	cutTarget = 1.1
	// deepestCut and mildestCut bound the factor of one cut. The deepest one is
	// also that of a probe.
	deepestCut = 0.5
	mildestCut = 0.9
	// testCut is the part of the earlier limit at which self times are compared.
	testCut = 0.75
	// queueingMargin: self time that falls as far as the limit, but for this part
	// of the difference, means that the limit may still be too high.
	queueingMargin = 0.2
	// furtherCut is the factor of a probe that follows another one. A deep cut on a
	// limit that was right already would cost a small backend server urgent calls.
	furtherCut = 0.7
	// littleSpread is the spread up to which a cut by furtherCut tells queueing from a
	// slower backend server. A deeper one leaves more slots idle for several of its
	// long runs. Where run times vary more, it mistakes queueing for slowness.
	littleSpread = 0.1
	// growth is the factor of a small step.
	growth = 1.1
	// rarely is the number of runs of which at most one may find a limit in use
	// that is rarely reached.
	rarely = 8
	// failureCut is the factor of a cut after failures.
	failureCut = 0.7
	// failureRate is the part of failed runs that leads to a cut. A lower rate of
	// failures that do not depend on load must not push the limit to its minimum.
	failureRate = 0.1
	// failureWeight is the most weight of one run in the failure rate; with more
	// runs in flight the rate is taken over as many runs as the limit.
	failureWeight = 0.05
	// leastSamples is the number of runs at which a window is looked at first; it
	// is looked at again each time the number has doubled.
	leastSamples = 8
	// fullSamples is the least number of runs in a full window, and mostSamples
	// the number that is always enough.
	fullSamples = 24
	mostSamples = 512
	// precision is the relative standard error at which a window is full. Run
	// times that vary little need few runs.
	precision = 0.06
	// confidence is the number of standard errors by which a mean must differ for
	// a decision before the window is full.
	confidence = 3.0
	// testConfidence is lower, because a test costs throughput while it lasts.
	testConfidence = 2.5
	// testRuns is the number of runs at which a test is decided in any case.
	testRuns = 64
	// mostSpread bounds the spread, so that a window in which the speed changed
	// does not delay later decisions.
	mostSpread = 1.5
	// spreadRuns is the number of runs after which a new window has half the
	// weight in the spread.
	spreadRuns = 64
	// fallingTimes is the number of typical self times after which runs of the
	// earlier, slower state no longer count.
	fallingTimes = 4
	// settleTime is the time for which the limit holds before its floor is
	// measured for the first time.
	settleTime = 2 * time.Second
	// floorWeight is the weight of a window below the floor.
	floorWeight   = 0.25
	typicalWeight = 0.05
	// returnRuns is the least number of runs near the earlier floor that tell that
	// the backend server has returned to its earlier speed.
	returnRuns = 8
	// returnGain is the factor by which the rate of these runs must exceed the rate
	// before. When lower limits merely end queueing, the rate stays as it was.
	returnGain = 1.5
	// defaultRefresh is the time between probes that measure the floor anew while
	// the limit is in use without a break.
	defaultRefresh = 30 * time.Second
)

// Limiter finds a concurrency limit from self times and failures.
type Limiter struct {
	// Refresh is the time after which a floor is measured anew; 0 means 30 s.
	Refresh time.Duration

	started bool
	bound   float64
	limit   float64
	// threshold is the limit up to which growth is by doubling.
	threshold float64

	floor   float64
	typical float64
	// ratio is the ratio of self time to floor in the last full window.
	ratio float64
	// floorRuns is the number of runs that the floor is the mean of.
	floorRuns float64
	// spread is the standard deviation of self time relative to its mean. The
	// spread of a single window is too low whenever its mean is too low.
	spread float64

	window window
	// earlier is the limit and self time before a cut, until the effect of the
	// cut has been judged.
	earlier state
	// verified is set once a probe has measured the floor. falling is set while
	// the backend server gets faster, until a probe shows where that ends.
	verified, falling bool
	refreshed         cassiatally.Instant
	// concurrency is the smoothed number of runs in flight, with the weight of
	// typical, so that concurrency / typical is the rate.
	concurrency float64
	// normal is the state before the backend server became slower, until it returns
	// to it or is forgotten.
	normal normal
	// fast are the runs that may tell that it has returned.
	fast fast
	// fresh is the instant before which runs began that belong to the slow time.
	fresh cassiatally.Instant

	failures float64
	failing  bool
	cutAt    cassiatally.Instant
}

// state is a limit with its threshold and the self time that belongs to it.
type state struct {
	limit, threshold, self float64
	// steady is set when self time was that of a full window. The self time at
	// which a cut begins may still have been rising.
	steady bool
}

// normal is a limit and the floor that belongs to it.
type normal struct {
	limit, floor float64
	verified     bool
	left         cassiatally.Instant
}

// fast gathers runs near the floor of the normal state that began one after
// another, without a slow one among them.
type fast struct {
	n        int
	since    cassiatally.Instant
	self     float64
	inFlight float64
	// rate is the rate before the first of them.
	rate float64
}

// window gathers the runs that ended from a time on.
type window struct {
	since  cassiatally.Instant
	n      int
	look   int
	sum    float64
	square float64
	// inUse counts runs that found the limit in use, halfUsed those that found
	// at least half of it in use.
	inUse, halfUsed int
}

var _ cassiatally.Limiter = (*Limiter)(nil)

// Limit returns the limit.
func (l *Limiter) Limit() cassiatally.Concurrency {
	return cassiatally.Concurrency(max(l.limit, leastLimit))
}

// Typical returns the smoothed self time.
func (l *Limiter) TypicalSelfTime() time.Duration { return time.Duration(l.typical) }

// Resize sets the slots that the backend server announces; 0 means unknown.
// Announcements repeat, so slots that did not change must not disturb a window.
func (l *Limiter) Resize(now cassiatally.Instant, slots cassiatally.Concurrency) {
	bound := max(float64(slots), leastLimit)
	if slots <= 0 {
		bound = unknownSlots
	}
	if l.started && bound == l.bound {
		return
	}
	l.bound = bound
	if !l.started {
		l.started = true
		l.limit = max(float64(slots/startFraction), leastLimit)
		l.threshold = l.bound
		l.refreshed = now
		l.ratio = 1
		l.restart(now)
	}
	l.set(now, l.limit)
}

// Observe records the end of a run.
func (l *Limiter) Observe(now cassiatally.Instant, s cassiatally.RunSample) {
	if !l.started {
		l.Resize(now, 0)
	}
	if s.Failed {
		l.failed(now)
		return
	}
	l.failures -= l.failureWeight() * l.failures
	if l.failures < failureRate/2 {
		l.failing = false
	}
	self := float64(s.SelfTime)
	if l.typical == 0 {
		l.typical, l.concurrency = self, float64(s.InFlight)
	}
	if l.returned(now, s) {
		l.goBack(now)
	}
	l.typical += typicalWeight * (self - l.typical)
	l.concurrency += typicalWeight * (float64(s.InFlight) - l.concurrency)
	if !l.counts(now, s) {
		return
	}
	l.window.add(self, float64(s.InFlight), l.limit)
	if l.window.n >= l.window.look {
		l.window.look *= 2
		l.evaluate(now)
	}
}

// counts reports whether the run tells about the present limit. The first ends
// after a change are of runs that started before it, and mostly of short runs.
// Runs that started above the limit belong to the time before a cut.
func (l *Limiter) counts(now cassiatally.Instant, s cassiatally.RunSample) bool {
	return now.Reached(l.window.since) && s.InFlight <= l.Limit() && !now.Add(-s.SelfTime).Before(l.fresh)
}

// leave remembers the state in which the backend server had its normal speed.
func (l *Limiter) leave(now cassiatally.Instant) {
	if l.normal.limit > 0 && now.Sub(l.normal.left) < l.refresh() {
		return
	}
	l.normal = normal{limit: l.limit, floor: l.floor, verified: l.verified, left: now}
	l.fast = fast{}
}

// returned reports whether the backend server has its normal speed again. A test
// or the windows of a low limit would tell so too late: a few slots end few runs,
// and a test that a recovery falls into takes it for the effect of the cut.
func (l *Limiter) returned(now cassiatally.Instant, s cassiatally.RunSample) bool {
	if l.normal.limit == 0 || l.normal.floor == 0 {
		return false
	}
	if now.Sub(l.normal.left) >= l.refresh() {
		l.normal = normal{}
		return false
	}
	self := float64(s.SelfTime)
	began := now.Add(-s.SelfTime)
	if self > aboveFloor*l.normal.floor {
		// Runs that began before the first fast one say nothing about the time since.
		if l.fast.n > 0 && !began.Before(l.fast.since) {
			l.fast = fast{}
		}
		return false
	}
	if l.fast.n == 0 {
		l.fast = fast{since: began, rate: l.concurrency / l.typical}
	}
	l.fast.n++
	l.fast.self += self
	l.fast.inFlight += float64(s.InFlight)
	if l.fast.n < max(returnRuns, int(l.limit)/2) {
		return false
	}
	return l.fast.inFlight/max(l.fast.self, l.normal.floor*float64(l.fast.n)) >= returnGain*l.fast.rate
}

// goBack takes up the normal state.
func (l *Limiter) goBack(now cassiatally.Instant) {
	n := l.normal
	l.fresh = l.fast.since
	l.typical = l.fast.self / float64(l.fast.n)
	l.normal, l.fast, l.earlier = normal{}, fast{}, state{}
	l.floor, l.ratio, l.refreshed = n.floor, 1, now
	// At the announced slots, self time near the floor shows all that a probe would,
	// and a probe soon after the return would halve the limit while the load is back.
	near := l.typical <= nearFloor*n.floor
	l.verified, l.falling = n.verified || near && n.limit >= l.bound, false
	l.failures, l.failing = 0, false
	l.threshold = max(l.threshold, n.limit)
	l.set(now, max(n.limit, l.limit))
}

func (w *window) add(self, inFlight, limit float64) {
	w.n++
	w.sum += self
	w.square += self * self
	if inFlight >= math.Floor(limit)-1 {
		w.inUse++
	}
	if inFlight >= math.Floor(limit/2) {
		w.halfUsed++
	}
}

// mean returns the mean self time.
func (w *window) mean() float64 { return w.sum / float64(w.n) }

// spread returns the standard deviation relative to the mean.
func (w *window) spread() float64 {
	mean := w.mean()
	if mean <= 0 {
		return 0
	}
	return math.Sqrt(max(w.square/float64(w.n)-mean*mean, 0)) / mean
}

// restart begins a window once the runs of the earlier limit have ended.
func (l *Limiter) restart(now cassiatally.Instant) {
	l.learnSpread()
	l.window = window{since: now.Add(l.TypicalSelfTime()), look: leastSamples}
}

// evaluate looks at the window and decides on the limit if it can.
func (l *Limiter) evaluate(now cassiatally.Instant) {
	mean := l.window.mean()
	deviation := l.deviation()
	precise := deviation <= precision || l.window.n >= mostSamples
	inUse := 2*l.window.inUse >= l.window.n
	// A limit that is rarely reached may grow while half of it is used, as RFC 7661
	// has it for a congestion window. At low load endpoints that keep a lower limit
	// get fewer calls than their peers, and would never use all of it.
	mayGrow := inUse || 2*l.window.halfUsed >= l.window.n && rarely*l.window.inUse < l.window.n
	if l.floor == 0 {
		l.floor = mean
	}
	switch {
	case l.testing():
		l.judge(now, mean, deviation, precise)
	case mean > aboveFloor*l.floor*(1+confidence*l.combined(deviation)):
		l.cut(now, mean)
	case mean < fasterFloor*l.floor*(1-confidence*l.combined(deviation)):
		// Queueing at an unchanged limit multiplies self time as it did before.
		l.setFloor(mean / l.ratio)
		l.verified, l.falling, l.refreshed = false, true, now
		l.restart(now)
	case l.doubles(inUse, mean*(1-deviation)):
		l.refine(mean)
		l.grow(now)
	case precise, l.window.n >= l.enough() && mean <= nearFloor*l.floor:
		l.adjust(now, mean, inUse, mayGrow)
	}
}

// enough returns the number of runs in a full window.
func (l *Limiter) enough() int {
	return int(min(max(2*l.limit, fullSamples), mostSamples))
}

// deviation returns the relative standard error of the window's mean.
func (l *Limiter) deviation() float64 {
	spread := max(l.spread, l.window.spread())
	return min(spread, mostSpread) / math.Sqrt(float64(l.window.n))
}

// combined adds the relative standard error of the floor.
func (l *Limiter) combined(deviation float64) float64 {
	floor := l.spread / math.Sqrt(max(l.floorRuns, 1))
	return math.Hypot(deviation, floor)
}

// learnSpread ends the window's part in the spread.
func (l *Limiter) learnSpread() {
	if l.window.n < leastSamples {
		return
	}
	n := float64(l.window.n)
	l.spread += n / (n + spreadRuns) * (min(l.window.spread(), mostSpread) - l.spread)
}

func (l *Limiter) setFloor(mean float64) {
	l.floor = mean
	l.floorRuns = float64(l.window.n)
}

// refine adds the window to the floor while the floor is the mean of too few
// runs to be precise. After that, only lower windows move it: a floor that rose
// with queueing would let the limit run away.
func (l *Limiter) refine(mean float64) {
	n := float64(l.window.n)
	if l.spread > precision*math.Sqrt(l.floorRuns) && l.floorRuns < mostSamples {
		l.floorRuns += n
		l.floor += n / l.floorRuns * (mean - l.floor)
		return
	}
	weight := floorWeight * min(precision/max(l.deviation(), precision), 1)
	l.floor += weight * weight / floorWeight * min(mean-l.floor, 0)
}

// doubles reports whether the limit is to be doubled. While it is below the
// threshold, a mean that may be near the floor is enough, since a limit that is
// too high is found soon.
func (l *Limiter) doubles(inUse bool, least float64) bool {
	return inUse && !l.falling && l.limit < l.threshold && 2*l.window.n >= int(l.limit) && least <= nearFloor*l.floor
}

// adjust ends a full window.
func (l *Limiter) adjust(now cassiatally.Instant, mean float64, inUse, mayGrow bool) {
	if !inUse {
		// Self time without queueing is a fresh floor; no probe is needed.
		l.refreshed = now
	}
	l.ratio = min(max(mean/l.floor, 1), aboveFloor)
	near := mean <= nearFloor*l.floor
	switch {
	case mean > aboveFloor*l.floor:
		l.cut(now, mean)
	case l.probeDue(now, near):
		l.probe(now, mean)
	case mayGrow && near && !l.falling && l.limit < l.bound:
		l.refine(mean)
		l.grow(now)
	default:
		l.earlier = state{}
		l.refine(mean)
		l.restart(now)
	}
}

// probeDue reports whether the floor has to be measured anew. A limit that holds
// on a wrong floor would neither grow nor fall.
func (l *Limiter) probeDue(now cassiatally.Instant, near bool) bool {
	age := now.Sub(l.refreshed)
	if l.falling {
		return age >= fallingTimes*l.TypicalSelfTime()
	}
	return age >= l.refresh() || (!near && !l.verified && age >= settleTime)
}

func (l *Limiter) refresh() time.Duration {
	if l.Refresh > 0 {
		return l.Refresh
	}
	return defaultRefresh
}

func (l *Limiter) grow(now cassiatally.Instant) {
	l.earlier = state{}
	if l.limit < l.threshold {
		l.set(now, min(2*l.limit, l.threshold))
		return
	}
	l.set(now, max(l.limit*growth, l.limit+1))
}

// cut lowers the limit to where self time is expected to be near its floor.
func (l *Limiter) cut(now cassiatally.Instant, mean float64) {
	l.leave(now)
	least := deepestCut
	if l.spread <= littleSpread {
		least = furtherCut
	}
	l.lower(now, mean, max(cutTarget*l.floor/mean, least), false)
}

// probe halves the limit to measure the floor.
func (l *Limiter) probe(now cassiatally.Instant, mean float64) {
	l.lower(now, mean, deepestCut, true)
}

func (l *Limiter) lower(now cassiatally.Instant, mean, factor float64, steady bool) {
	if l.limit <= leastLimit {
		// There is nothing left to cut, so the change must be genuine.
		l.settle(now, mean, l.limit)
		return
	}
	if l.earlier.limit == 0 {
		l.earlier = state{limit: l.limit, threshold: l.threshold, self: mean, steady: steady}
	}
	l.set(now, l.limit*min(max(factor, deepestCut), mildestCut))
	l.threshold = l.limit
	// The earlier runs drain first; after that, the short ones of the new runs
	// would be seen before the long ones.
	l.window.since = now.Add(2 * time.Duration(max(l.typical, mean)))
}

// testing reports whether the limit is far enough below the earlier one to tell
// queueing from a slower backend server.
func (l *Limiter) testing() bool { return l.limit <= testCut*l.earlier.limit }

// judge compares self time with that at the earlier limit. In a backend server
// that queues, self time falls along with the limit; in one that has become
// slower it stays.
func (l *Limiter) judge(now cassiatally.Instant, mean, deviation float64, precise bool) {
	observed := mean / l.earlier.self
	expected := l.limit / l.earlier.limit
	middle := (1 + expected) / 2
	if !precise && l.window.n < testRuns && math.Abs(observed-middle) <= testConfidence*deviation*middle {
		return
	}
	switch {
	case observed > middle:
		l.threshold = l.earlier.threshold
		l.settle(now, mean, l.earlier.limit)
	case observed < expected+queueingMargin*(1-expected) && (!l.verified || mean > nearFloor*l.floor):
		l.earlier = state{}
		l.lower(now, mean, furtherCut, true)
	default:
		// Limit and self time before the cut give the concurrency by Little's law.
		l.settle(now, mean, l.earlier.limit*observed)
	}
}

// settle takes self time at the present limit as the floor, and goes on with
// another limit.
func (l *Limiter) settle(now cassiatally.Instant, mean, limit float64) {
	l.verified, l.falling = l.verified || l.earlier.steady, false
	l.earlier = state{}
	l.setFloor(mean)
	l.refreshed = now
	l.threshold = max(l.threshold, limit)
	l.set(now, limit)
}

// failed counts a failed run, and cuts the limit when failures are frequent, at
// most once per typical self time, because runs of one burst fail together.
func (l *Limiter) failed(now cassiatally.Instant) {
	l.failures += l.failureWeight() * (1 - l.failures)
	if l.failures < failureRate {
		return
	}
	if l.cutAt != 0 && now.Sub(l.cutAt) < l.TypicalSelfTime() {
		return
	}
	l.cutAt = now
	l.leave(now)
	l.earlier = state{}
	l.set(now, l.limit*failureCut)
	if !l.failing {
		// Growth after the failures is by doubling up to the first cut.
		l.failing = true
		l.threshold = l.limit
	}
}

func (l *Limiter) failureWeight() float64 { return min(failureWeight, 1/l.limit) }

// set changes the limit within its bounds and starts a new window.
func (l *Limiter) set(now cassiatally.Instant, limit float64) {
	l.limit = min(max(limit, leastLimit), l.bound)
	l.restart(now)
}
