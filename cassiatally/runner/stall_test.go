package runner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/runner"
)

const stallRun = 200 * time.Millisecond

// stalled returns a runner whose runs took stallRun, and then start and do not
// end. Runs of calls with the ids from 100 on are in flight.
func stalled(n int, change func(i int, c *cassiatally.Call)) *harness {
	h := newHarness(20)
	now := start.Add(-stallRun)
	c := call(1, "a")
	h.HandleCall(now, entry, c)
	h.Finished(start, c.ID, cassiatally.RunResult{Kind: cassiatally.ResultAnswered, Status: 200})
	for i := range n {
		c := call(uint64(100+i), fmt.Sprint(i))
		c.Idempotent, c.Remaining = true, 4*stallRun
		change(i, &c)
		h.HandleCall(start, entry, c)
	}
	return h
}

func aborted(actions []cassiatally.Action) (ids []cassiatally.CallID) {
	for _, a := range actions {
		if abort, ok := a.(cassiatally.AbortRun); ok {
			ids = append(ids, abort.Call)
		}
	}
	return ids
}

// Guards against runs that occupy a stalled backend server up to a deadline which
// they cannot meet, and against the end of runs that may still meet it.
func TestStalledRunsAreBrokenOff(t *testing.T) {
	keep := func(int, *cassiatally.Call) {}
	cases := []struct {
		name   string
		runs   int
		change func(i int, c *cassiatally.Call)
		after  time.Duration
		want   int
	}{
		{"little time left", 10, keep, 3*stallRun + time.Millisecond, 10},
		{"time left", 10, keep, 5 * stallRun / 2, 0},
		{"few runs may take long by chance", 5, keep, 3*stallRun + time.Millisecond, 0},
		{"runs that must not be broken off", 10, func(i int, c *cassiatally.Call) { c.Idempotent = i > 0 }, 3*stallRun + time.Millisecond, 9},
		{"some have more time", 10, func(i int, c *cassiatally.Call) {
			if i < 4 {
				c.Remaining = 10 * stallRun
			}
		}, 3*stallRun + time.Millisecond, 6},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := stalled(c.runs, c.change)
			is.Equal(len(aborted(h.Tick(start.Add(c.after)))), c.want)
			is.Equal(len(aborted(h.Tick(start.Add(c.after)))), 0) // once only
		})
	}
}

// Guards against runs that are broken off while others end or make onward calls.
func TestProgressKeepsRuns(t *testing.T) {
	for _, c := range []struct {
		name     string
		progress func(h *harness, now cassiatally.Instant)
	}{
		{"a run ends", func(h *harness, now cassiatally.Instant) {
			h.Finished(now, call(100, "").ID, cassiatally.RunResult{Kind: cassiatally.ResultAnswered, Status: 200})
		}},
		{"a run makes an onward call", func(h *harness, now cassiatally.Instant) {
			h.BeginChild(now, runner.ChildCall{Parent: call(100, "").ID, Service: "avail-svc", Work: "check", Idempotent: true})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := stalled(10, func(int, *cassiatally.Call) {})
			c.progress(h, start.Add(2*stallRun))
			is.Equal(len(aborted(h.Tick(start.Add(3*stallRun+time.Millisecond)))), 0)
		})
	}
}

// Guards against a caller that is told something else than that the time did not
// suffice, when its run was broken off.
func TestBrokenOffRunIsExpired(t *testing.T) {
	is := is.New(t)
	h := stalled(10, func(int, *cassiatally.Call) {})
	now := start.Add(3*stallRun + time.Millisecond)
	ids := aborted(h.Tick(now))
	is.Equal(len(ids), 10)
	got := answers(h.Finished(now, ids[0], cassiatally.RunResult{Kind: cassiatally.ResultAborted}))
	is.Equal(got[0].Kind, cassiatally.KindExpired)
	is.Equal(got[0].Outcome, cassiatally.OutcomeUnknown)
}
