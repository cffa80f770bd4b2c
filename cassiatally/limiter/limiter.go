// Package limiter finds the concurrency limit of one backend server.
//
// A backend server queues internally above its real concurrency, which it may
// not know or may report wrongly. A Limiter therefore finds the point at which
// self time starts to rise. It doubles the limit while self time stays near its
// floor (self time without queueing) and grows it in small steps after that. When
// self time is well above the floor, the Limiter lowers the limit, at most to a
// half, and compares self times: if self time falls along with the limit, the
// excess was queueing and the lower limit stays; if it does not fall, the backend
// server itself has become slower, the floor is raised and the limit restored.
//
// # Usage
//
//	l := &limiter.Limiter{}
//	l.Resize(now, announced.Slots)
//	free := int(l.Limit()) - inFlight
//	l.Observe(now, sample) // at the end of each run
package limiter

import (
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	minLimit = 2.0
	// unknownSlots bounds the limit when no slots are announced.
	unknownSlots = 1024
	// startDivisor divides the announced slots to give the initial limit.
	startDivisor = 10
	// nearFloor is the ratio of self time to floor up to which the limit grows. It
	// leaves a small queue inside the backend server, which keeps its slots busy.
	nearFloor = 1.15
	// aboveFloor is the ratio above which the limit is cut.
	aboveFloor = 1.4
	// belowFloor is the ratio below which the backend server counts as faster.
	belowFloor = 0.7
	// cutTarget is the ratio that a cut aims for.
	cutTarget = 1.1
	// minCutFactor and maxCutFactor bound the factor of one cut. A probe cuts by
	// minCutFactor.
	minCutFactor = 0.5
	maxCutFactor = 0.9
	// testLimitRatio is the highest ratio of the limit to the one before the cut at
	// which the self times are compared.
	testLimitRatio = 0.75
	// After a cut, the limit may still be too high if self time fell as far as the limit.
	// queueingMargin is the part of the limit's fall by which self time may have fallen
	// less.
	queueingMargin = 0.2
	// furtherCutFactor is the factor of a probe that follows another one. A deep cut of
	// a limit that is already right would make a small backend server refuse urgent
	// calls.
	furtherCutFactor = 0.7
	// lowSpread is the spread up to which a cut by furtherCutFactor is enough to
	// distinguish queueing from a slower backend server. A deeper cut leaves more slots
	// idle for several of the long runs. Where run times vary more, furtherCutFactor
	// would mistake queueing for slowness.
	lowSpread = 0.1
	// growthFactor is the factor of a small step.
	growthFactor = 1.1
	// rareUseRuns: a limit counts as rarely reached if fewer than one of this many runs
	// found it in use.
	rareUseRuns = 8
	// failureCutFactor is the factor of a cut after failures.
	failureCutFactor = 0.7
	// cutFailureRate is the fraction of failed runs that leads to a cut. A lower rate of
	// failures that do not depend on load must not push the limit to its minimum.
	cutFailureRate = 0.1
	// maxFailureWeight is the highest weight of one run in the failure rate; with more
	// runs in flight the rate is averaged over as many runs as the limit.
	maxFailureWeight = 0.05
	// minSamples is the number of runs at which a window is evaluated first; it is
	// evaluated again each time the number has doubled.
	minSamples = 8
	// fullSamples is the lowest number of runs in a full window, and maxSamples the
	// number that is always enough.
	fullSamples = 24
	maxSamples  = 512
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
	// maxSpread bounds the spread, so that a window in which the speed changed
	// does not delay later decisions.
	maxSpread = 1.5
	// spreadRuns is the number of runs at which a new window has half the weight in
	// the spread.
	spreadRuns = 64
	// speedUpTimes is the number of typical self times before a probe while the backend
	// server gets faster. After that, runs of the slower state no longer count.
	speedUpTimes = 4
	// firstProbeDelay is how long the limit stays unchanged before its floor is
	// measured for the first time.
	firstProbeDelay = 2 * time.Second
	// floorWeight is the weight of a window whose mean is below the floor.
	floorWeight = 0.25
	// typicalWeight is the weight of one run in the typical self time, an EWMA.
	typicalWeight = 0.05
	// recoveryRuns is the lowest number of runs near the normal floor that show that
	// the backend server has its normal speed again.
	recoveryRuns = 8
	// recoveryGain is the factor by which the rate of these runs must exceed the rate
	// before them. When lower limits merely end queueing, the rate does not change.
	recoveryGain = 1.5
	// defaultRefresh is the time between probes that measure the floor anew while
	// the limit is continuously in use.
	defaultRefresh = 30 * time.Second
)

// Limiter finds a concurrency limit from self times and failures.
type Limiter struct {
	// Refresh is the time after which a floor is measured anew; 0 means 30 s.
	Refresh time.Duration

	started  bool
	maxLimit float64
	limit    float64
	// threshold is the limit up to which growth is by doubling.
	threshold float64

	floor   float64
	typical float64
	// ratio is the ratio of self time to floor in the last full window.
	ratio float64
	// floorRuns is the number of runs that the floor is the mean of.
	floorRuns float64
	// spread is the standard deviation of self time relative to its mean, smoothed over
	// windows, since the spread of a single window is too low whenever its mean is.
	spread float64

	window window
	// beforeCut is the limit and self time before a cut, until the test of the cut is
	// decided; its limit is 0 while no test is under way.
	beforeCut operatingPoint
	// verified is set once a probe has measured the floor. speedingUp is set while the
	// backend server gets faster, until a probe has measured the new floor.
	verified, speedingUp bool
	// floorMeasured is when the floor was last measured.
	floorMeasured cassiatally.Instant
	// concurrency is the smoothed number of runs in flight, with the same weight as
	// typical, so that concurrency / typical is the rate.
	concurrency float64
	// normal is the state before the backend server became slower. It is cleared when
	// the backend server has recovered, or after the refresh interval.
	normal normal
	// fast are the runs that may show the recovery.
	fast fastRuns
	// ignoreBefore excludes runs that began before it, while the backend server was
	// slow.
	ignoreBefore cassiatally.Instant

	// failureRate is the smoothed fraction of failed runs.
	failureRate  float64
	failing      bool
	failureCutAt cassiatally.Instant
}

// operatingPoint is a limit with its threshold and the self time measured at it.
type operatingPoint struct {
	limit, threshold, self float64
	// steady is set when self time was that of a full window. In other cases it may
	// still have been rising when the cut was made.
	steady bool
}

// normal is the limit and floor of the backend server at its normal speed.
type normal struct {
	limit, floor float64
	verified     bool
	savedAt      cassiatally.Instant
}

// fastRuns sums up consecutive runs near the floor of the normal state, without a slow
// one among them.
type fastRuns struct {
	n        int
	since    cassiatally.Instant
	self     float64
	inFlight float64
	// rate is the rate of runs before the first of them.
	rate float64
}

var _ cassiatally.Limiter = (*Limiter)(nil)

// Limit returns the limit.
func (l *Limiter) Limit() cassiatally.Concurrency {
	return cassiatally.Concurrency(max(l.limit, minLimit))
}

// TypicalSelfTime returns the smoothed self time.
func (l *Limiter) TypicalSelfTime() time.Duration { return time.Duration(l.typical) }

// Resize sets the slots that the backend server announces; 0 means unknown.
// Announcements repeat, so unchanged slots must not restart a window.
func (l *Limiter) Resize(now cassiatally.Instant, slots cassiatally.Concurrency) {
	bound := max(float64(slots), minLimit)
	if slots <= 0 {
		bound = unknownSlots
	}
	if l.started && bound == l.maxLimit {
		return
	}
	l.maxLimit = bound
	if !l.started {
		l.started = true
		l.limit = max(float64(slots/startDivisor), minLimit)
		l.threshold = l.maxLimit
		l.floorMeasured = now
		l.ratio = 1
		l.restartWindow(now)
	}
	l.setLimit(now, l.limit)
}

// Observe records the end of a run.
func (l *Limiter) Observe(now cassiatally.Instant, s cassiatally.RunSample) {
	if !l.started {
		l.Resize(now, 0)
	}
	if s.Failed {
		l.observeFailure(now)
		return
	}
	l.failureRate -= l.failureWeight() * l.failureRate
	if l.failureRate < cutFailureRate/2 {
		l.failing = false
	}
	self := float64(s.SelfTime)
	if l.typical == 0 {
		l.typical, l.concurrency = self, float64(s.InFlight)
	}
	if l.recovered(now, s) {
		l.restoreNormal(now)
	}
	l.typical += typicalWeight * (self - l.typical)
	l.concurrency += typicalWeight * (float64(s.InFlight) - l.concurrency)
	if !l.inWindow(now, s) {
		return
	}
	l.window.add(self, float64(s.InFlight), l.limit)
	if l.window.n >= l.window.nextCheck {
		l.window.nextCheck *= 2
		l.evaluateWindow(now)
	}
}

// saveNormal saves the state at which the backend server had its normal speed, unless
// one was saved within the refresh interval.
func (l *Limiter) saveNormal(now cassiatally.Instant) {
	if l.normal.limit > 0 && now.Sub(l.normal.savedAt) < l.refresh() {
		return
	}
	l.normal = normal{limit: l.limit, floor: l.floor, verified: l.verified, savedAt: now}
	l.fast = fastRuns{}
}

// recovered reports whether the backend server has its normal speed again. Tests and
// the windows of a low limit would show it too late: few runs end at a low limit, and
// a recovery during a test is mistaken for the effect of the cut.
func (l *Limiter) recovered(now cassiatally.Instant, s cassiatally.RunSample) bool {
	if l.normal.limit == 0 || l.normal.floor == 0 {
		return false
	}
	if now.Sub(l.normal.savedAt) >= l.refresh() {
		l.normal = normal{}
		return false
	}
	self := float64(s.SelfTime)
	began := now.Add(-s.SelfTime)
	if self > aboveFloor*l.normal.floor {
		// Slow runs that began before the first fast one don't count against it.
		if l.fast.n > 0 && !began.Before(l.fast.since) {
			l.fast = fastRuns{}
		}
		return false
	}
	if l.fast.n == 0 {
		l.fast = fastRuns{since: began, rate: l.concurrency / l.typical}
	}
	l.fast.n++
	l.fast.self += self
	l.fast.inFlight += float64(s.InFlight)
	if l.fast.n < max(recoveryRuns, int(l.limit)/2) {
		return false
	}
	return l.fast.inFlight/max(l.fast.self, l.normal.floor*float64(l.fast.n)) >= recoveryGain*l.fast.rate
}

// restoreNormal restores the normal state.
func (l *Limiter) restoreNormal(now cassiatally.Instant) {
	n := l.normal
	l.ignoreBefore = l.fast.since
	l.typical = l.fast.self / float64(l.fast.n)
	l.normal, l.fast, l.beforeCut = normal{}, fastRuns{}, operatingPoint{}
	l.floor, l.ratio, l.floorMeasured = n.floor, 1, now
	// At the announced slots, self time near the floor verifies the floor as a probe
	// would, and a probe soon after the recovery would halve the limit at full load.
	near := l.typical <= nearFloor*n.floor
	l.verified, l.speedingUp = n.verified || near && n.limit >= l.maxLimit, false
	l.failureRate, l.failing = 0, false
	l.threshold = max(l.threshold, n.limit)
	l.setLimit(now, max(n.limit, l.limit))
}

// observeFailure counts a failed run, and cuts the limit when failures are frequent, at
// most once per typical self time, because the runs of one burst fail together.
func (l *Limiter) observeFailure(now cassiatally.Instant) {
	l.failureRate += l.failureWeight() * (1 - l.failureRate)
	if l.failureRate < cutFailureRate {
		return
	}
	if l.failureCutAt != 0 && now.Sub(l.failureCutAt) < l.TypicalSelfTime() {
		return
	}
	l.failureCutAt = now
	l.saveNormal(now)
	l.beforeCut = operatingPoint{}
	l.setLimit(now, l.limit*failureCutFactor)
	if !l.failing {
		// After the failures, the limit doubles up to where the first cut left it.
		l.failing = true
		l.threshold = l.limit
	}
}

func (l *Limiter) failureWeight() float64 { return min(maxFailureWeight, 1/l.limit) }

// setLimit sets the limit within its bounds and starts a new window.
func (l *Limiter) setLimit(now cassiatally.Instant, limit float64) {
	l.limit = min(max(limit, minLimit), l.maxLimit)
	l.restartWindow(now)
}
