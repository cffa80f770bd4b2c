package admitter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/admitter"
)

const (
	normalRun = 200 * time.Millisecond
	slowRun   = 5 * normalRun
	// shortTime is less than a slow run takes, longTime more.
	shortTime = 800 * time.Millisecond
	longTime  = 2 * time.Second
	slots     = 10
)

// server is an admitter that starts one call at a time, with a clock that moves by the
// run time that the test sets for each call.
type server struct {
	admitter.Admitter

	now cassiatally.Instant
	seq uint64
}

// offer offers a call with that much time remaining and reports whether it is started.
func (s *server) offer(r cassiatally.Rank, remaining time.Duration) bool {
	s.seq++
	e := entry(s.seq, r, 0.01)
	e.Deadline = s.now.Add(remaining)
	if len(s.Offer(s.now, e)) > 0 {
		return false
	}
	start, _ := s.Next(s.now, 1)
	return len(start) == 1
}

// run offers a call whose run takes that long, or is cut off at its deadline if that is
// earlier. It reports whether the call is started.
func (s *server) run(r cassiatally.Rank, remaining, took time.Duration) bool {
	if !s.offer(r, remaining) {
		return false
	}
	s.now = s.now.Add(min(took, remaining))
	if took > remaining {
		s.CutOff(s.now, cassiatally.RunClass{Rank: r}, remaining)
	} else {
		s.Done(s.now, cassiatally.RunClass{Rank: r}, took)
	}
	s.Tick(s.now, slots)
	return true
}

func (s *server) tick() {
	s.now = s.now.Add(window)
	s.Tick(s.now, slots)
}

// runAtNormalSpeed runs calls of two ranks at the normal speed.
func (s *server) runAtNormalSpeed() {
	s.now = cassiatally.Instant(time.Hour)
	for range 100 {
		s.run(0, longTime, normalRun)
		s.run(1, shortTime, normalRun)
	}
}

// Guards against calls that are still started although each of them is cut off at
// its deadline: the elapsed time of a cut run never exceeds the time it was given, and
// neither does a mean of such times.
func TestRepeatedCutsStopFurtherStarts(t *testing.T) {
	is := is.New(t)
	s := &server{}
	s.runAtNormalSpeed()
	const maxStarts = 8
	n := 0
	for n <= maxStarts && s.run(1, shortTime, slowRun) {
		n++
	}
	is.True(n > 1) // a single long run may be chance
	is.True(n <= maxStarts)
	is.True(s.offer(0, longTime)) // a call with enough time is served
}

// Guards against a rank that stays refused after a slow-down: its calls are all
// dropped, so only runs of another rank show that the slow-down is over.
func TestRunsOfOneRankUpdateTheSpeedOfAll(t *testing.T) {
	is := is.New(t)
	s := &server{}
	s.runAtNormalSpeed()
	for range 6 {
		s.run(1, shortTime, slowRun)
		s.run(0, longTime, slowRun)
	}
	is.True(!s.offer(1, shortTime))
	const maxRuns = 10
	n := 0
	for n <= maxRuns && !s.offer(1, shortTime) {
		s.run(0, longTime, normalRun)
		n++
	}
	is.True(n <= maxRuns)
}

// Guards against a rank that stays refused after only its own runs took longer for a
// time, while those of another rank took as long as before.
func TestProbesDetectThatARankIsFastAgain(t *testing.T) {
	is := is.New(t)
	s := &server{}
	s.runAtNormalSpeed()
	for range 200 {
		s.run(0, longTime, normalRun)
		s.run(1, shortTime, slowRun)
	}
	is.True(!s.run(1, shortTime, normalRun))
	const mostWindows = 100
	windows, started := 0, 0
	for windows < mostWindows && started < 10 {
		s.run(0, longTime, normalRun)
		if s.run(1, shortTime, normalRun) {
			started++
		}
		s.tick()
		windows++
	}
	is.True(windows < mostWindows)
}

// Guards against probes that take more than their fraction of the slots' time while a
// rank stays slow.
func TestProbesAreFew(t *testing.T) {
	is := is.New(t)
	const windows = 300
	s := &server{}
	s.runAtNormalSpeed()
	for range 200 {
		s.run(0, longTime, normalRun)
		s.run(1, shortTime, slowRun)
	}
	began, started := s.now, 0
	for range windows {
		s.run(0, longTime, normalRun)
		if s.run(1, shortTime, slowRun) {
			started++
		}
		s.tick()
	}
	const part = 0.01
	is.True(started > 0)
	is.True(float64(started)*shortTime.Seconds() <= part*slots*s.now.Sub(began).Seconds())
}

// Guards against an estimated run time that decays in each window in which no run ends,
// while slow runs are in flight.
func TestNoDecayWhileRunsAreInFlight(t *testing.T) {
	is := is.New(t)
	s := &server{}
	s.runAtNormalSpeed()
	for range 20 {
		s.run(0, longTime, slowRun)
	}
	is.True(s.offer(0, longTime))
	for range 20 {
		is.True(!s.offer(1, shortTime))
		s.tick()
	}
}

// Guards against admitting calls at the entry that have too little time: upstream
// services would do their work before the call is refused.
func TestRankWithoutTimeLosesItsLevel(t *testing.T) {
	is := is.New(t)
	const maxWindows = 10
	s := &server{}
	s.runAtNormalSpeed()
	for range 20 {
		s.run(0, longTime, slowRun)
	}
	s.offer(0, longTime)
	windows := func(r cassiatally.Rank, remaining time.Duration, done func(cassiatally.Level) bool) int {
		n := 0
		for n <= maxWindows && !done(s.Levels()[1]) {
			for range 3 {
				if s.offer(r, remaining) {
					s.Done(s.now, cassiatally.RunClass{Rank: r}, normalRun)
				}
			}
			s.tick()
			n++
		}
		return n
	}
	is.True(windows(1, shortTime, func(l cassiatally.Level) bool { return l < 0.3 }) <= maxWindows)
	is.Equal(s.Levels()[0], cassiatally.Level(1))
	for range 20 {
		s.run(0, longTime, normalRun)
	}
	is.True(windows(1, shortTime, func(l cassiatally.Level) bool { return l == 1 }) <= maxWindows)
}

// Guards against starting calls at a stalled backend server that have less time
// than the stall suggests, and against detecting a stall while runs end or while few
// are in flight.
func TestStalledServerTakesCallsWithTimeOnly(t *testing.T) {
	const passed = 3 * normalRun
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
			s.runAtNormalSpeed()
			for range c.runs {
				is.True(s.offer(0, longTime))
			}
			s.now = s.now.Add(passed)
			if c.ends {
				s.Done(s.now, cassiatally.RunClass{}, normalRun)
			}
			is.Equal(s.offer(0, 2*passed-window), c.started)
			is.True(s.offer(0, 2*passed+window))
		})
	}
}

// Guards against refusing all calls as too late after one run of another rank took far
// longer than the earlier runs of that rank, as happens when a rank has several kinds
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

// Guards against refusing calls as too late after two runs in a row took several times
// as long as the others and were cut off.
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

// Guards against short calls that are refused as too late at an endpoint with free slots,
// because long ones of the same rank determine the estimate. Replays the seconds after a
// restart of an endpoint of dispatch-svc: half of its calls take 1,060 ms and have 3 s,
// the others take 250 ms and have 500 ms. With one class for both, such calls were
// refused at endpoints with 9 of 45 slots in use.
func TestShortWorkBesideLongWork(t *testing.T) {
	const long, short = 1060 * time.Millisecond, 250 * time.Millisecond
	replay := func(longWork, shortWork cassiatally.WorkKind) (refused int) {
		s := &server{now: cassiatally.Instant(time.Hour)}
		offer := func(work cassiatally.WorkKind, remaining, took time.Duration) bool {
			s.seq++
			e := entry(s.seq, 1, 0.01)
			e.Work, e.Deadline = work, s.now.Add(remaining)
			if len(s.Offer(s.now, e)) > 0 {
				return false
			}
			s.Next(s.now, 1)
			s.now = s.now.Add(window)
			s.Done(s.now, cassiatally.RunClass{Rank: 1, Work: work}, took)
			s.Tick(s.now, slots)
			return true
		}
		for range 20 {
			offer(longWork, 3*time.Second, long)
			if !offer(shortWork, 500*time.Millisecond, short) {
				refused++
			}
		}
		return refused
	}
	is := is.New(t)
	is.True(replay("", "") > 10)
	is.Equal(replay("sched-view", "route-feed"), 0)
}

// Guards against calls that are refused at an endpoint with free slots after a restart of
// its node: the short runs end first, so that the long ones look stalled. Replays the
// first 300 ms of an endpoint whose runs take 15 ms or 1,060 ms.
func TestFirstLongRunsAreNoStall(t *testing.T) {
	is := is.New(t)
	s := &server{now: cassiatally.Instant(time.Hour)}
	long := func(remaining time.Duration) bool {
		s.seq++
		e := entry(s.seq, 1, 0.01)
		e.Work, e.Deadline = "sched-view", s.now.Add(remaining)
		refused := len(s.Offer(s.now, e))
		s.Next(s.now, slots)
		return refused == 0
	}
	for range 10 {
		is.True(long(3 * time.Second))
		s.run(0, time.Second, 15*time.Millisecond)
	}
	for range 3 {
		s.tick()
	}
	is.True(long(500 * time.Millisecond))
}
