package limiter

import (
	"math"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// window sums up the runs that ended from since on. It is evaluated at nextCheck runs.
type window struct {
	since      cassiatally.Instant
	n          int
	nextCheck  int
	sum        float64
	sumSquares float64
	// inUse counts the runs that started with the whole limit in use, but for one slot;
	// halfUsed counts those that started with at least half of it in use.
	inUse, halfUsed int
}

// inWindow reports whether the run counts for the current limit. The first runs to
// end after a change started before it, and are mostly short ones. Runs that started
// above the limit started before a cut.
func (l *Limiter) inWindow(now cassiatally.Instant, s cassiatally.RunSample) bool {
	return now.Reached(l.window.since) && s.InFlight <= l.Limit() && !now.Add(-s.SelfTime).Before(l.ignoreBefore)
}

func (w *window) add(self, inFlight, limit float64) {
	w.n++
	w.sum += self
	w.sumSquares += self * self
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
	return math.Sqrt(max(w.sumSquares/float64(w.n)-mean*mean, 0)) / mean
}

// restartWindow starts a new window, which begins one typical self time later, when
// most runs of the previous limit have ended.
func (l *Limiter) restartWindow(now cassiatally.Instant) {
	l.updateSpread()
	l.window = window{since: now.Add(l.TypicalSelfTime()), nextCheck: minSamples}
}

// evaluateWindow changes the limit if the window has enough runs for a decision.
func (l *Limiter) evaluateWindow(now cassiatally.Instant) {
	mean := l.window.mean()
	stdError := l.standardError()
	precise := stdError <= precision || l.window.n >= maxSamples
	inUse := 2*l.window.inUse >= l.window.n
	// A limit that is rarely reached may grow while half of it is used, as a congestion
	// window does in RFC 7661. At low load, endpoints with a lower limit get fewer calls
	// than their peers, and would never use all of it.
	mayGrow := inUse || 2*l.window.halfUsed >= l.window.n && rareUseRuns*l.window.inUse < l.window.n
	if l.floor == 0 {
		l.floor = mean
	}
	switch {
	case l.testing():
		l.decideTest(now, mean, stdError, precise)
	case mean > aboveFloor*l.floor*(1+confidence*l.combinedError(stdError)):
		l.cutLimit(now, mean)
	case mean < belowFloor*l.floor*(1-confidence*l.combinedError(stdError)):
		// At an unchanged limit, queueing multiplies self time by the same ratio as
		// before.
		l.setFloor(mean / l.ratio)
		l.verified, l.speedingUp, l.floorMeasured = false, true, now
		l.restartWindow(now)
	case l.shouldDouble(inUse, mean*(1-stdError)):
		l.refineFloor(mean)
		l.growLimit(now)
	case precise, l.window.n >= l.fullWindow() && mean <= nearFloor*l.floor:
		l.endWindow(now, mean, inUse, mayGrow)
	}
}

// fullWindow returns the number of runs in a full window.
func (l *Limiter) fullWindow() int {
	return int(min(max(2*l.limit, fullSamples), maxSamples))
}

// standardError returns the relative standard error of the window's mean.
func (l *Limiter) standardError() float64 {
	spread := max(l.spread, l.window.spread())
	return min(spread, maxSpread) / math.Sqrt(float64(l.window.n))
}

// combinedError adds the relative standard error of the floor to that of the window.
func (l *Limiter) combinedError(windowError float64) float64 {
	floorError := l.spread / math.Sqrt(max(l.floorRuns, 1))
	return math.Hypot(windowError, floorError)
}

// updateSpread updates the spread with that of the window.
func (l *Limiter) updateSpread() {
	if l.window.n < minSamples {
		return
	}
	n := float64(l.window.n)
	l.spread += n / (n + spreadRuns) * (min(l.window.spread(), maxSpread) - l.spread)
}

// endWindow adjusts the limit at the end of a full window.
func (l *Limiter) endWindow(now cassiatally.Instant, mean float64, inUse, mayGrow bool) {
	if !inUse {
		// While the limit is mostly not in use there is no queueing, so the window
		// measures the floor and no probe is needed.
		l.floorMeasured = now
	}
	l.ratio = min(max(mean/l.floor, 1), aboveFloor)
	near := mean <= nearFloor*l.floor
	switch {
	case mean > aboveFloor*l.floor:
		l.cutLimit(now, mean)
	case l.probeDue(now, near):
		l.probe(now, mean)
	case mayGrow && near && !l.speedingUp && l.limit < l.maxLimit:
		l.refineFloor(mean)
		l.growLimit(now)
	default:
		l.beforeCut = operatingPoint{}
		l.refineFloor(mean)
		l.restartWindow(now)
	}
}
