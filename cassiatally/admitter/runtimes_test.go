package admitter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/admitter"
)

const (
	usualRun = 200 * time.Millisecond
	slowRun  = 5 * usualRun
	// shortTime is less than a slow run takes, longTime more.
	shortTime = 800 * time.Millisecond
	longTime  = 2 * time.Second
	slots     = 10
)

// server starts calls one at a time and ends them at once, so that a test decides
// how long each took.
type server struct {
	admitter.Admitter

	now cassiatally.Instant
	seq uint64
}

// offer offers a call and reports whether it is started.
func (s *server) offer(r cassiatally.Rank, left time.Duration) bool {
	s.seq++
	e := entry(s.seq, r, 0.01)
	e.Deadline = s.now.Add(left)
	if len(s.Offer(s.now, e)) > 0 {
		return false
	}
	start, _ := s.Next(s.now, 1)
	return len(start) == 1
}

// run offers a call whose run takes as long as stated and is cut off at its
// deadline. It reports whether the call is started.
func (s *server) run(r cassiatally.Rank, left, took time.Duration) bool {
	if !s.offer(r, left) {
		return false
	}
	s.now = s.now.Add(min(took, left))
	if took > left {
		s.CutOff(s.now, r, left)
	} else {
		s.Done(s.now, r, took)
	}
	s.Tick(s.now, slots)
	return true
}

func (s *server) tick() {
	s.now = s.now.Add(window)
	s.Tick(s.now, slots)
}

// usual has some runs of two ranks at the usual speed.
func (s *server) usual() {
	s.now = cassiatally.Instant(time.Hour)
	for range 100 {
		s.run(0, longTime, usualRun)
		s.run(1, shortTime, usualRun)
	}
}

// Guards against calls that are started without end although each of them is cut
// off at its deadline: the time of a run that was cut off is below its deadline,
// and so is a mean of such times.
func TestRunsThatAreCutOffEndTheStarts(t *testing.T) {
	is := is.New(t)
	s := &server{}
	s.usual()
	const most = 8
	n := 0
	for n <= most && s.run(1, shortTime, slowRun) {
		n++
	}
	is.True(n > 1) // a single long run is chance
	is.True(n <= most)
	is.True(s.offer(0, longTime)) // a call with the time is served
}

// Guards against a rank that stays refused after a slow-down: its calls are all
// dropped, so only runs of another rank can tell that it is over.
func TestOneRankTellsTheSpeedForAll(t *testing.T) {
	is := is.New(t)
	s := &server{}
	s.usual()
	for range 6 {
		s.run(1, shortTime, slowRun)
		s.run(0, longTime, slowRun)
	}
	is.True(!s.offer(1, shortTime))
	const most = 10
	n := 0
	for n <= most && !s.offer(1, shortTime) {
		s.run(0, longTime, usualRun)
		n++
	}
	is.True(n <= most)
}

// Guards against a rank that stays refused when its own runs alone took longer
// for a time, while those of another rank took as long as ever.
func TestProbesLearnThatARankIsFastAgain(t *testing.T) {
	is := is.New(t)
	s := &server{}
	s.usual()
	for range 200 {
		s.run(0, longTime, usualRun)
		s.run(1, shortTime, slowRun)
	}
	is.True(!s.run(1, shortTime, usualRun))
	const mostWindows = 100
	windows, started := 0, 0
	for windows < mostWindows && started < 10 {
		s.run(0, longTime, usualRun)
		if s.run(1, shortTime, usualRun) {
			started++
		}
		s.tick()
		windows++
	}
	is.True(windows < mostWindows)
}

// Guards against probes that take more than their part of the slots while a rank
// stays slow.
func TestProbesAreFew(t *testing.T) {
	is := is.New(t)
	const windows = 300
	s := &server{}
	s.usual()
	for range 200 {
		s.run(0, longTime, usualRun)
		s.run(1, shortTime, slowRun)
	}
	began, started := s.now, 0
	for range windows {
		s.run(0, longTime, usualRun)
		if s.run(1, shortTime, slowRun) {
			started++
		}
		s.tick()
	}
	const part = 0.01
	is.True(started > 0)
	is.True(float64(started)*shortTime.Seconds() <= part*slots*s.now.Sub(began).Seconds())
}

// Guards against a run time that is taken to be shorter after each window in
// which no run ends, while slow runs are in flight.
func TestNoGuessWhileRunsAreInFlight(t *testing.T) {
	is := is.New(t)
	s := &server{}
	s.usual()
	for range 20 {
		s.run(0, longTime, slowRun)
	}
	is.True(s.offer(0, longTime))
	for range 20 {
		is.True(!s.offer(1, shortTime))
		s.tick()
	}
}

// Guards against work for calls that have too little time: services further up
// would do their part of it before the call is refused.
func TestRankWithoutTimeLosesItsLevel(t *testing.T) {
	is := is.New(t)
	const most = 10
	s := &server{}
	s.usual()
	for range 20 {
		s.run(0, longTime, slowRun)
	}
	s.offer(0, longTime)
	windows := func(r cassiatally.Rank, left time.Duration, done func(cassiatally.Level) bool) int {
		n := 0
		for n <= most && !done(s.Levels()[1]) {
			for range 3 {
				if s.offer(r, left) {
					s.Done(s.now, r, usualRun)
				}
			}
			s.tick()
			n++
		}
		return n
	}
	is.True(windows(1, shortTime, func(l cassiatally.Level) bool { return l < 0.3 }) <= most)
	is.Equal(s.Levels()[0], cassiatally.Level(1))
	for range 20 {
		s.run(0, longTime, usualRun)
	}
	is.True(windows(1, shortTime, func(l cassiatally.Level) bool { return l == 1 }) <= most)
}

// Guards against calls that join a stalled backend server although they have less
// time than those that wait there already have taken, and against a stall that is
// seen while runs end or while few are in flight.
func TestStalledServerTakesCallsWithTimeOnly(t *testing.T) {
	const passed = 3 * usualRun
	cases := []struct {
		name    string
		runs    int
		ends    bool
		started bool
	}{
		{"stalled", 9, false, false},
		{"a run ends", 9, true, true},
		{"few runs", 5, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := &server{}
			s.usual()
			for range c.runs {
				is.True(s.offer(0, longTime))
			}
			s.now = s.now.Add(passed)
			if c.ends {
				s.Done(s.now, 0, usualRun)
			}
			is.Equal(s.offer(0, 2*passed-window), c.started)
			is.True(s.offer(0, 2*passed+window))
		})
	}
}

// Guards against calls that are all refused as too late after one run of another rank
// took far longer than the runs of that rank before, since that rank has several kinds
// of work.
func TestOneLongRunOfAnotherRank(t *testing.T) {
	is := is.New(t)
	s := &server{}
	const timeout, short, long = 1200 * time.Millisecond, time.Millisecond, 300 * time.Millisecond
	for range 50 {
		is.True(s.run(0, timeout, short))
		is.True(s.run(1, timeout, long))
	}
	is.True(s.run(0, timeout, long))
	is.True(s.offer(1, timeout))
}

// Guards against calls that are refused as too late after two runs in a row that took
// several times as long as the others and were cut off.
func TestTwoRunsCutOff(t *testing.T) {
	is := is.New(t)
	s := &server{}
	const timeout, usual, tail = 1200 * time.Millisecond, 400 * time.Millisecond, 2 * time.Second
	for range 50 {
		is.True(s.run(1, timeout, usual))
	}
	for range 2 {
		is.True(s.run(1, timeout, tail))
	}
	is.True(s.offer(1, timeout))
}
