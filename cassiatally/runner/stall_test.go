package runner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/runner"
)

const stallRunTime = 200 * time.Millisecond

// newStalledHarness returns a runner whose first run took stallRunTime, followed
// by n runs that start and do not end. Their calls have the ids from 100 on.
func newStalledHarness(n int, change func(i int, c *cassiatally.Call)) *harness {
	h := newHarness(20)
	now := start.Add(-stallRunTime)
	c := call(1, "a")
	h.HandleCall(now, entry, c)
	h.Finished(start, c.ID, cassiatally.RunResult{Kind: cassiatally.ResultAnswered, Status: 200})
	for i := range n {
		c := call(uint64(100+i), fmt.Sprint(i))
		c.Idempotent, c.Remaining = true, 4*stallRunTime
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

// Guards against runs that occupy a stalled backend server up to a deadline that
// they cannot meet, and against aborting runs that may still meet it.
func TestStalledRunsAreAborted(t *testing.T) {
	unchanged := func(int, *cassiatally.Call) {}
	cases := []struct {
		name   string
		runs   int
		change func(i int, c *cassiatally.Call)
		after  time.Duration
		want   int
	}{
		{"little time remains", 10, unchanged, 3*stallRunTime + time.Millisecond, 10},
		{"enough time remains", 10, unchanged, 5 * stallRunTime / 2, 0},
		{"few runs may take long by chance", 5, unchanged, 3*stallRunTime + time.Millisecond, 0},
		{"non-idempotent run", 10, func(i int, c *cassiatally.Call) { c.Idempotent = i > 0 }, 3*stallRunTime + time.Millisecond, 9},
		{"the sender of some stops", 10, func(i int, c *cassiatally.Call) { c.Keep = i < 3 }, 3*stallRunTime + time.Millisecond, 7},
		{"some have more time", 10, func(i int, c *cassiatally.Call) {
			if i < 4 {
				c.Remaining = 10 * stallRunTime
			}
		}, 3*stallRunTime + time.Millisecond, 6},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newStalledHarness(c.runs, c.change)
			is.Equal(len(aborted(h.Tick(start.Add(c.after)))), c.want)
			is.Equal(len(aborted(h.Tick(start.Add(c.after)))), 0) // once only
		})
	}
}

// Guards against a run that is aborted although its node has begun to stop after it sent
// the call: the caller would lose a request on which the backend server works.
func TestRunsOfAStoppingSenderAreKept(t *testing.T) {
	is := is.New(t)
	const runs, kept = 10, 4
	h := newStalledHarness(runs, func(int, *cassiatally.Call) {})
	for i := range kept {
		h.HandleKeep(call(uint64(100+i), "").ID)
	}
	ids := aborted(h.Tick(start.Add(3*stallRunTime + time.Millisecond)))
	is.Equal(len(ids), runs-kept)
	for _, id := range ids {
		is.True(id.Seq >= 100+kept)
	}
	is.Equal(aborted(h.HandleCancel(start, call(100, "").ID)), []cassiatally.CallID{call(100, "").ID}) // its caller may leave
}

// Guards against runs that are aborted although others end or make onward calls.
func TestProgressPreventsAborts(t *testing.T) {
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
			h := newStalledHarness(10, func(int, *cassiatally.Call) {})
			c.progress(h, start.Add(2*stallRunTime))
			is.Equal(len(aborted(h.Tick(start.Add(3*stallRunTime+time.Millisecond)))), 0)
		})
	}
}

// Guards against an answer other than expired to the caller of a run that was
// aborted because it was unlikely to meet its deadline.
func TestAbortedStalledRunIsExpired(t *testing.T) {
	is := is.New(t)
	h := newStalledHarness(10, func(int, *cassiatally.Call) {})
	now := start.Add(3*stallRunTime + time.Millisecond)
	ids := aborted(h.Tick(now))
	is.Equal(len(ids), 10)
	got := answers(h.Finished(now, ids[0], cassiatally.RunResult{Kind: cassiatally.ResultAborted}))
	is.Equal(got[0].Kind, cassiatally.KindExpired)
	is.Equal(got[0].Outcome, cassiatally.OutcomeUnknown)
}
