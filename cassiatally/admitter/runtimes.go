package admitter

import (
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	// maxSlowdownWeight is the highest weight of one run in the slowdown. All classes
	// share the slowdown, so it may follow faster than the baseline of a class.
	maxSlowdownWeight = 0.2
	// slowdownNoise limits the weight where run times vary: a run whose class has a mean
	// relative deviation d has at most the weight slowdownNoise / d^2. With the full
	// weight, exponential run times (d = 0.74) move the slowdown by a third by chance,
	// and calls which can finish are refused.
	slowdownNoise = 0.02
	// maxSlowdownRise limits the effect of one run on the slowdown: it counts as at most
	// that many times as long as expected. A single run of 300 ms, of a class whose runs
	// took 1 ms before, raised the slowdown to 48, and the calls of all classes were
	// refused as too late.
	maxSlowdownRise = 5
	// baselineRuns is the number of runs of a class that set only its baseline, before
	// further runs also change the slowdown.
	baselineRuns = 10
	// baselineWeight is the lowest weight of one run in the baseline of its class. It is
	// far below maxSlowdownWeight, so that a change of speed goes into the slowdown,
	// which the runs of other classes can correct.
	baselineWeight = 0.02
	// probeWeight is the weight of a run of a class whose calls are dropped. Such runs
	// are rare, and calls of the class are refused until the estimate has followed them.
	probeWeight = 0.5
	// cutWeight is the weight of a run that was cut off. It is above baselineWeight,
	// since each of them costs more than a run that ends.
	cutWeight = 0.05
	// cutFractionWeight is the weight of one run in the fraction of runs that are cut
	// off. Occasionally a run takes several times as long as others. When two such runs
	// in a row counted in full, all calls of a backend server were refused although its
	// runs took half of the time that the calls had.
	cutFractionWeight = 0.3
	// rebaseWeight is the part of the slowdown that each run moves into the baselines of
	// all classes. Only the product of slowdown and baseline is observed, so the two would
	// drift apart otherwise.
	rebaseWeight = 0.0002
	// maxClasses bounds the classes of runs. Calls of others start whatever time they have.
	maxClasses = 256
	// minSlowdown keeps the slowdown above 0 when run times are close to 0.
	minSlowdown = 0.05
)

// runTimes estimates the run time of a class as the product of the class's baseline and
// a slowdown. The slowdown is shared by all classes: when a backend server becomes
// slower or faster, the runs of any class show it, also for classes whose calls are all
// dropped at the time. Kinds of work of one rank may differ a hundredfold in run time.
type runTimes struct {
	slowdown float64
	classes  map[cassiatally.RunClass]*classTimes
	// overall is the typical run time over all classes.
	overall time.Duration
	// ended counts the runs that were not cut off.
	ended int
}

type classTimes struct {
	// baseline is the typical run time at a slowdown of 1, and deviation the mean
	// absolute deviation from it.
	baseline, deviation time.Duration
	// relativeDeviation is the mean relative deviation over a long time.
	relativeDeviation float64
	runs              int
	// cutFraction is the smoothed fraction of runs that were cut off.
	cutFraction float64
}

// recordEnd updates the estimate with a run that was not cut off. Probe is set if calls
// of its class are being dropped.
func (t *runTimes) recordEnd(c cassiatally.RunClass, busy time.Duration, probe bool) {
	t.overall = smooth(t.overall, busy)
	t.ended++
	s := t.class(c)
	if s == nil {
		return
	}
	s.runs++
	s.cutFraction -= cutFractionWeight * s.cutFraction
	if t.slowdown == 0 {
		t.slowdown = 1
	}
	if s.baseline == 0 {
		s.baseline = max(time.Duration(float64(busy)/t.slowdown), 1)
		return
	}
	t.rebase()
	if s.runs > baselineRuns {
		t.updateSlowdown(s.slowdownWeight(), float64(busy)/float64(s.baseline))
	}
	normalised := time.Duration(float64(busy) / t.slowdown)
	weight := max(baselineWeight, 1/float64(s.runs))
	if probe {
		weight = max(weight, probeWeight)
	}
	deviation := max(normalised-s.baseline, s.baseline-normalised)
	s.deviation = smooth(s.deviation, deviation)
	s.relativeDeviation += max(baselineWeight, 1/float64(s.runs)) * (float64(deviation)/float64(s.baseline) - s.relativeDeviation)
	s.baseline = max(s.baseline+time.Duration(weight*float64(normalised-s.baseline)), 1)
}

func (s *classTimes) slowdownWeight() float64 {
	return min(maxSlowdownWeight, slowdownNoise/max(s.relativeDeviation*s.relativeDeviation, slowdownNoise))
}

// updateSlowdown moves the slowdown towards that of one run.
func (t *runTimes) updateSlowdown(weight, slowdown float64) {
	t.slowdown = max(t.slowdown+weight*(min(slowdown, maxSlowdownRise*t.slowdown)-t.slowdown), minSlowdown)
}

func (t *runTimes) rebase() {
	f := 1 + rebaseWeight*(t.slowdown-1)
	t.slowdown /= f
	for _, s := range t.classes {
		s.baseline = time.Duration(float64(s.baseline) * f)
		s.deviation = time.Duration(float64(s.deviation) * f)
	}
}

// recordCut updates the estimate with a run that was cut off after more than the
// baseline of its class. How much longer it would have taken is unknown; it is assumed
// to need as much time again, and at least the typical run time. With the elapsed time
// alone, the estimate would stay below the deadlines at which runs are cut off, and
// calls that cannot finish would still be started.
func (t *runTimes) recordCut(c cassiatally.RunClass, busy time.Duration) {
	s := t.classes[c]
	if s == nil || s.baseline == 0 || busy <= s.baseline {
		return
	}
	s.cutFraction += cutFractionWeight * (1 - s.cutFraction)
	assumed := busy + max(t.typical(c), busy)
	t.updateSlowdown(s.cutFraction*s.slowdownWeight(), max(float64(assumed)/float64(s.baseline), t.slowdown))
	s.baseline += time.Duration(s.cutFraction * cutWeight * max(float64(assumed)/t.slowdown-float64(s.baseline), 0))
	t.overall = smooth(t.overall, max(t.overall, busy))
}

// class returns the times of a class, or nil if there are too many classes.
func (t *runTimes) class(c cassiatally.RunClass) *classTimes {
	s := t.classes[c]
	if s != nil || len(t.classes) >= maxClasses {
		return s
	}
	if t.classes == nil {
		t.classes = make(map[cassiatally.RunClass]*classTimes)
	}
	s = &classTimes{}
	t.classes[c] = s
	return s
}

// typical returns the typical run time of a class. It is 0 while the class has had no
// run: the run times of others are no evidence.
func (t *runTimes) typical(c cassiatally.RunClass) time.Duration {
	if s := t.classes[c]; s != nil {
		return time.Duration(float64(s.baseline) * t.slowdown)
	}
	return 0
}

func (t *runTimes) deviation(c cassiatally.RunClass) time.Duration {
	if s := t.classes[c]; s != nil {
		return time.Duration(float64(s.deviation) * t.slowdown)
	}
	return 0
}

// decay lowers the estimates by a factor.
func (t *runTimes) decay(factor float64) {
	t.overall = time.Duration(float64(t.overall) * factor)
	t.slowdown = max(t.slowdown*factor, minSlowdown)
}

func smooth(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(typicalWeight*float64(sample-old))
}
