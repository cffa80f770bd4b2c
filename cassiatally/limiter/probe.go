package limiter

import (
	"math"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

func (l *Limiter) setFloor(mean float64) {
	l.floor = mean
	l.floorRuns = float64(l.window.n)
}

// refineFloor adds the window to the floor while the floor is the mean of too few
// runs to be precise. After that, only lower windows move it: if the floor rose with
// queueing, the limit would grow without bound.
func (l *Limiter) refineFloor(mean float64) {
	n := float64(l.window.n)
	if l.spread > precision*math.Sqrt(l.floorRuns) && l.floorRuns < maxSamples {
		l.floorRuns += n
		l.floor += n / l.floorRuns * (mean - l.floor)
		return
	}
	weight := floorWeight * min(precision/max(l.standardError(), precision), 1)
	l.floor += weight * weight / floorWeight * min(mean-l.floor, 0)
}

// shouldDouble reports whether the limit is to be doubled. Below the threshold, a
// mean that is near the floor within its standard error is enough, since a limit that
// is too high is detected soon.
func (l *Limiter) shouldDouble(inUse bool, lowMean float64) bool {
	return inUse && !l.speedingUp && l.limit < l.threshold && 2*l.window.n >= int(l.limit) && lowMean <= nearFloor*l.floor
}

// probeDue reports whether the floor has to be measured anew. With a wrong floor, the
// limit would neither grow nor fall.
func (l *Limiter) probeDue(now cassiatally.Instant, near bool) bool {
	age := now.Sub(l.floorMeasured)
	if l.speedingUp {
		return age >= speedUpTimes*l.TypicalSelfTime()
	}
	return age >= l.refresh() || (!near && !l.verified && age >= firstProbeDelay)
}

func (l *Limiter) refresh() time.Duration {
	if l.Refresh > 0 {
		return l.Refresh
	}
	return defaultRefresh
}

func (l *Limiter) growLimit(now cassiatally.Instant) {
	l.beforeCut = operatingPoint{}
	if l.limit < l.threshold {
		l.setLimit(now, min(2*l.limit, l.threshold))
		return
	}
	l.setLimit(now, max(l.limit*growthFactor, l.limit+1))
}

// cutLimit lowers the limit to where self time is expected to be near its floor.
func (l *Limiter) cutLimit(now cassiatally.Instant, mean float64) {
	l.saveNormal(now)
	minFactor := minCutFactor
	if l.spread <= lowSpread {
		minFactor = furtherCutFactor
	}
	l.lowerLimit(now, mean, max(cutTarget*l.floor/mean, minFactor), false)
}

// probe halves the limit for a test that measures the floor.
func (l *Limiter) probe(now cassiatally.Instant, mean float64) {
	l.lowerLimit(now, mean, minCutFactor, true)
}

func (l *Limiter) lowerLimit(now cassiatally.Instant, mean, factor float64, steady bool) {
	if l.limit <= minLimit {
		// The limit is at its minimum, so queueing can't explain the self time.
		l.acceptFloor(now, mean, l.limit)
		return
	}
	if l.beforeCut.limit == 0 {
		l.beforeCut = operatingPoint{limit: l.limit, threshold: l.threshold, self: mean, steady: steady}
	}
	l.setLimit(now, l.limit*min(max(factor, minCutFactor), maxCutFactor))
	l.threshold = l.limit
	// Runs of the limit before the cut end first; after that, the short ones of the new
	// runs would be counted before the long ones.
	l.window.since = now.Add(2 * time.Duration(max(l.typical, mean)))
}

// testing reports whether the limit is far enough below the one before the cut to
// distinguish queueing from a slower backend server.
func (l *Limiter) testing() bool { return l.limit <= testLimitRatio*l.beforeCut.limit }

// decideTest compares self time with that before the cut. In a backend server that
// queues, self time falls along with the limit; in one that has become slower it does
// not fall.
func (l *Limiter) decideTest(now cassiatally.Instant, mean, stdError float64, precise bool) {
	observed := mean / l.beforeCut.self
	expected := l.limit / l.beforeCut.limit
	middle := (1 + expected) / 2
	if !precise && l.window.n < testRuns && math.Abs(observed-middle) <= testConfidence*stdError*middle {
		return
	}
	switch {
	case observed > middle:
		l.threshold = l.beforeCut.threshold
		l.acceptFloor(now, mean, l.beforeCut.limit)
	case observed < expected+queueingMargin*(1-expected) && (!l.verified || mean > nearFloor*l.floor):
		l.beforeCut = operatingPoint{}
		l.lowerLimit(now, mean, furtherCutFactor, true)
	default:
		// By Little's law, the limit before the cut, scaled by the fall of self time,
		// is the concurrency without queueing.
		l.acceptFloor(now, mean, l.beforeCut.limit*observed)
	}
}

// acceptFloor takes self time at the current limit as the floor, ends the test, and sets
// the limit to continue with.
func (l *Limiter) acceptFloor(now cassiatally.Instant, mean, limit float64) {
	l.verified, l.speedingUp = l.verified || l.beforeCut.steady, false
	l.beforeCut = operatingPoint{}
	l.setFloor(mean)
	l.floorMeasured = now
	l.threshold = max(l.threshold, limit)
	l.setLimit(now, limit)
}
