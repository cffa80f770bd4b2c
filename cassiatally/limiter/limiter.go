// Package limiter finds the concurrency limit of one backend server.
//
// A backend server queues internally above its real concurrency, which it may
// not know or may report wrongly. A Limiter therefore finds the point at which
// self time starts to rise. It doubles the limit while self time stays near its
// floor and grows it in small steps after that. When self time is well above the
// floor, the Limiter halves the limit and compares: if self time falls along
// with the limit, the excess was queueing and the lower limit stays; if it does
// not fall, the backend server itself has become slower, the floor is raised and
// the limit restored.
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
	// aboveFloor is the ratio above which the limit is tested with a probe.
	aboveFloor = 1.4
	// fasterFloor is the ratio below which the backend server has become faster.
	fasterFloor = 0.7
	// probeCut is the factor of the limit during a probe.
	probeCut = 0.5
	// genuineRatio: self time that stays above this part of its earlier value
	// while the limit is halved does not come from queueing.
	genuineRatio = 0.75
	// queueingRatio: self time that falls below this part means that the lower
	// limit is still above the real concurrency.
	queueingRatio = 0.6
	// growth is the factor of a small step.
	growth = 1.1
	// failureCut is the factor of a cut after failures.
	failureCut = 0.7
	// failureRate is the part of failed runs that leads to a cut. A lower rate of
	// failures that do not depend on load must not push the limit to its minimum.
	failureRate = 0.1
	// failureWeight is the weight of one run in the failure rate.
	failureWeight = 0.05
	// leastSamples is the least number of runs in a window.
	leastSamples = 12
	// mostSamples bounds the runs in a window.
	mostSamples = 100
	// confidence is the number of standard errors by which a mean must differ
	// before a probe starts.
	confidence = 2.0
	// floorWeight is the weight of a window below the floor.
	floorWeight   = 0.25
	typicalWeight = 0.1
	// defaultRefresh is the time between probes that measure the floor anew while
	// the limit is in use without a break.
	defaultRefresh = 10 * time.Second
)

// Limiter finds a concurrency limit from self times and failures.
type Limiter struct {
	// Refresh is the time after which a floor is measured anew; 0 means 10 s.
	Refresh time.Duration

	started bool
	bound   float64
	limit   float64
	// threshold is the limit up to which growth is by doubling.
	threshold float64

	floor   float64
	typical float64

	window  window
	probing bool
	// beforeLimit and beforeSelf are the limit and self time before the probe.
	beforeLimit, beforeSelf float64
	refreshed               cassiatally.Instant

	failures float64
	failing  bool
	cutAt    cassiatally.Instant
}

// window gathers the runs that started after the limit last changed.
type window struct {
	since  cassiatally.Instant
	n      int
	sum    float64
	square float64
	inUse  int
}

var _ cassiatally.Limiter = (*Limiter)(nil)

// Limit returns the limit.
func (l *Limiter) Limit() cassiatally.Concurrency {
	return cassiatally.Concurrency(max(l.limit, leastLimit))
}

// Typical returns the smoothed self time.
func (l *Limiter) Typical() time.Duration { return time.Duration(l.typical) }

// Resize sets the slots that the backend server announces; 0 means unknown.
func (l *Limiter) Resize(now cassiatally.Instant, slots cassiatally.Concurrency) {
	l.bound = max(float64(slots), leastLimit)
	if slots <= 0 {
		l.bound = unknownSlots
	}
	if !l.started {
		l.started = true
		l.limit = max(float64(slots/startFraction), leastLimit)
		l.threshold = l.bound
		l.refreshed = now
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
	l.failures -= failureWeight * l.failures
	if l.failures < failureRate/2 {
		l.failing = false
	}
	self := float64(s.Self)
	if l.typical == 0 {
		l.typical = self
	}
	l.typical += typicalWeight * (self - l.typical)
	if !l.counts(now, s) {
		return
	}
	l.window.add(self, float64(s.InFlight) >= math.Floor(l.limit)-1)
	if l.window.n >= l.samples() {
		l.evaluate(now)
	}
}

// counts reports whether the run tells about the present limit. A run that
// started before the last change, or while earlier runs above the present limit
// were still in flight, tells about the earlier one.
func (l *Limiter) counts(now cassiatally.Instant, s cassiatally.RunSample) bool {
	startedAfter := now.Sub(l.window.since) >= s.Self
	return startedAfter && s.InFlight <= l.Limit()
}

func (l *Limiter) samples() int {
	return int(min(max(l.limit/2, leastSamples), mostSamples))
}

func (w *window) add(self float64, inUse bool) {
	w.n++
	w.sum += self
	w.square += self * self
	if inUse {
		w.inUse++
	}
}

// estimate returns the mean self time and its standard error.
func (w *window) estimate() (mean, deviation float64) {
	n := float64(w.n)
	mean = w.sum / n
	variance := max(w.square/n-mean*mean, 0)
	return mean, math.Sqrt(variance / n)
}

func (l *Limiter) restart(now cassiatally.Instant) {
	l.window = window{since: now}
}

// evaluate ends a window and decides on the limit.
func (l *Limiter) evaluate(now cassiatally.Instant) {
	mean, deviation := l.window.estimate()
	inUse := 2*l.window.inUse >= l.window.n
	l.restart(now)
	if l.probing {
		l.endProbe(now, mean)
		return
	}
	if l.floor == 0 {
		l.floor = mean
	}
	refresh := l.Refresh
	if refresh <= 0 {
		refresh = defaultRefresh
	}
	if !inUse {
		// Self time without queueing is a fresh floor; no probe is needed.
		l.refreshed = now
	}
	switch {
	case mean-confidence*deviation > aboveFloor*l.floor:
		l.probe(now, mean)
	case mean+confidence*deviation < fasterFloor*l.floor:
		l.floor = mean
		l.probe(now, mean)
	case inUse && now.Sub(l.refreshed) >= refresh:
		l.probe(now, mean)
	default:
		l.floor += floorWeight * min(mean-l.floor, 0)
		if inUse && mean <= nearFloor*l.floor {
			l.grow(now)
		}
	}
}

func (l *Limiter) grow(now cassiatally.Instant) {
	if l.limit < l.threshold {
		l.set(now, min(2*l.limit, l.threshold))
		return
	}
	l.set(now, max(l.limit*growth, l.limit+1))
}

// probe halves the limit to find out whether self time falls with it.
func (l *Limiter) probe(now cassiatally.Instant, mean float64) {
	l.beforeLimit, l.beforeSelf = l.limit, mean
	l.refreshed = now
	if l.limit <= leastLimit {
		// There is nothing left to cut, so the change must be genuine.
		l.settle(now, mean)
		return
	}
	l.probing = true
	l.set(now, l.limit*probeCut)
}

func (l *Limiter) endProbe(now cassiatally.Instant, mean float64) {
	l.probing = false
	ratio := mean / l.beforeSelf
	switch {
	case ratio >= genuineRatio:
		l.limit = l.beforeLimit
		l.settle(now, mean)
	case ratio < queueingRatio:
		l.threshold = l.limit
		l.probe(now, mean)
	default:
		l.threshold = l.limit
		l.settle(now, mean)
	}
}

// settle takes self time at the present limit as the floor.
func (l *Limiter) settle(now cassiatally.Instant, mean float64) {
	l.floor = mean
	l.set(now, l.limit)
}

// failed counts a failed run, and cuts the limit when failures are frequent, at
// most once per typical self time, because runs of one burst fail together.
func (l *Limiter) failed(now cassiatally.Instant) {
	l.failures += failureWeight * (1 - l.failures)
	if l.failures < failureRate {
		return
	}
	if l.cutAt != 0 && now.Sub(l.cutAt) < l.Typical() {
		return
	}
	l.cutAt = now
	l.probing = false
	l.set(now, l.limit*failureCut)
	if !l.failing {
		// Growth after the failures is by doubling up to the first cut.
		l.failing = true
		l.threshold = l.limit
	}
}

// set changes the limit within its bounds and starts a new window.
func (l *Limiter) set(now cassiatally.Instant, limit float64) {
	l.limit = min(max(limit, leastLimit), l.bound)
	l.restart(now)
}
