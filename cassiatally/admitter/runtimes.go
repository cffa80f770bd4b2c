package admitter

import (
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	// paceWeight is the most weight of one run in the pace. All ranks share it, so it
	// may follow faster than the run time of a rank does.
	paceWeight = 0.2
	// paceNoise bounds the weight where run times vary: a run whose rank has a mean
	// relative deviation d has at most the weight paceNoise / d^2. With the full
	// weight, exponential run times (d = 0.74) move the pace by a third by chance, so
	// that calls which can finish are refused.
	paceNoise = 0.02
	// mostPaceRise bounds what one run tells about the pace: it counts as at most that
	// many times as long as expected. Kinds of work of one rank may differ a
	// hundredfold; a single run of 300 ms, of a rank whose runs took 1 ms before, had the
	// pace rise to 48 and the calls of all ranks refused as too late.
	mostPaceRise = 5
	// learnRuns is the number of runs of a rank that set its usual run time before
	// they tell about the pace.
	learnRuns = 10
	// usualWeight is the least weight of one run in the run time of its rank at the
	// usual pace. It is far below paceWeight, so that a change of the speed ends up in
	// the pace, which the runs of other ranks can take back.
	usualWeight = 0.02
	// probeWeight is that of a run of a rank whose calls are dropped. Such runs are
	// rare, and calls of the rank are refused until they have told what they tell.
	probeWeight = 0.5
	// cutWeight is the weight of a run that was cut off. It is higher, since each of
	// them costs more than a run that ends.
	cutWeight = 0.05
	// cutShareWeight is the weight of one run in the part of the runs that are cut off.
	// Now and then a run takes several times as long as others. Two such runs in a row,
	// counted in full, had all calls of a backend server refused whose runs took half
	// of the time that they had.
	cutShareWeight = 0.3
	// anchorWeight is the part of the pace that each run hands over to the run times
	// of all ranks. Only their product is observed, so both would drift apart
	// otherwise.
	anchorWeight = 0.0002
	// leastPace bounds the pace from below, so that run times close to 0 do not
	// make it vanish.
	leastPace = 0.05
)

// runTimes estimates how long runs of a rank take, as the run time of the rank at
// the usual pace times the pace. The pace is shared by all ranks: when a backend
// server has become slower, or fast again, the runs of any rank tell so, also for
// the ranks whose calls are all dropped meanwhile.
type runTimes struct {
	pace  float64
	ranks [cassiatally.MaxRanks]rankTimes
	// all is the typical run time over all ranks.
	all time.Duration
}

type rankTimes struct {
	// typical and spread are those at the usual pace; spread is the mean absolute
	// deviation.
	typical, spread time.Duration
	// noise is the mean relative deviation over a long time.
	noise float64
	runs  int
	// cutShare is the part of the latest runs that were cut off.
	cutShare float64
}

// ended learns from a run that ended by itself. Probe tells that calls of its rank
// are dropped.
func (t *runTimes) ended(r cassiatally.Rank, busy time.Duration, probe bool) {
	t.all = smooth(t.all, busy)
	s := &t.ranks[r]
	s.runs++
	s.cutShare -= cutShareWeight * s.cutShare
	if t.pace == 0 {
		t.pace = 1
	}
	if s.typical == 0 {
		s.typical = max(time.Duration(float64(busy)/t.pace), 1)
		return
	}
	t.anchor()
	if s.runs > learnRuns {
		t.follow(s.paceWeight(), float64(busy)/float64(s.typical))
	}
	usual := time.Duration(float64(busy) / t.pace)
	weight := max(usualWeight, 1/float64(s.runs))
	if probe {
		weight = max(weight, probeWeight)
	}
	deviation := max(usual-s.typical, s.typical-usual)
	s.spread = smooth(s.spread, deviation)
	s.noise += max(usualWeight, 1/float64(s.runs)) * (float64(deviation)/float64(s.typical) - s.noise)
	s.typical = max(s.typical+time.Duration(weight*float64(usual-s.typical)), 1)
}

func (s *rankTimes) paceWeight() float64 {
	return min(paceWeight, paceNoise/max(s.noise*s.noise, paceNoise))
}

// follow moves the pace towards that of one run.
func (t *runTimes) follow(weight, pace float64) {
	t.pace = max(t.pace+weight*(min(pace, mostPaceRise*t.pace)-t.pace), leastPace)
}

func (t *runTimes) anchor() {
	f := 1 + anchorWeight*(t.pace-1)
	t.pace /= f
	for r := range t.ranks {
		s := &t.ranks[r]
		s.typical = time.Duration(float64(s.typical) * f)
		s.spread = time.Duration(float64(s.spread) * f)
	}
}

// cut learns from a run that was broken off late. How much longer it would have
// taken is unknown; it is taken to need as much again, and at least the typical run
// time. Its time alone would keep the estimate below the deadlines at which runs
// are broken off, and calls that cannot finish would be started without end.
func (t *runTimes) cut(r cassiatally.Rank, busy time.Duration) {
	s := &t.ranks[r]
	if s.typical == 0 || busy <= s.typical {
		return
	}
	s.cutShare += cutShareWeight * (1 - s.cutShare)
	least := busy + max(t.typical(r), busy)
	t.follow(s.cutShare*s.paceWeight(), max(float64(least)/float64(s.typical), t.pace))
	s.typical += time.Duration(s.cutShare * cutWeight * max(float64(least)/t.pace-float64(s.typical), 0))
	t.all = smooth(t.all, max(t.all, busy))
}

// typical returns the typical run time of a rank, or that of all ranks while the
// rank has had no run.
func (t *runTimes) typical(r cassiatally.Rank) time.Duration {
	if s := t.ranks[r].typical; s > 0 {
		return time.Duration(float64(s) * t.pace)
	}
	return t.all
}

func (t *runTimes) spread(r cassiatally.Rank) time.Duration {
	return time.Duration(float64(t.ranks[r].spread) * t.pace)
}

// decay lowers the estimates by a factor.
func (t *runTimes) decay(factor float64) {
	t.all = time.Duration(float64(t.all) * factor)
	t.pace = max(t.pace*factor, leastPace)
}

func smooth(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(typicalWeight*float64(sample-old))
}
