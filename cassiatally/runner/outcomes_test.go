package runner_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// runCalls runs calls from first to last, one after the other.
func runCalls(t *testing.T, h *harness, now cassiatally.Instant, first, last uint64, idempotent bool) {
	t.Helper()
	for seq := first; seq <= last; seq++ {
		c := call(seq, "a")
		c.Idempotent = idempotent
		c.Remaining = 6 * time.Second
		if len(started(h.HandleCall(now, entry, c))) != 1 {
			t.Fatalf("call %d was not started", seq)
		}
		h.Finished(now, c.ID, done)
	}
}

func queried(h *harness, now cassiatally.Instant, seq uint64) cassiatally.Answer {
	return answers(h.HandleRunQuery(now, entry, cassiatally.RunQuery{ID: call(seq, "").ID, Target: 1}))[0]
}

// Guards against the outcome of a run that is dropped before its deadline because many
// others have ended, and that is then stated as not run (review/1).
func TestOutcomeOutlivesOtherCalls(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		is := is.New(t)
		h := newHarness(2)
		runCalls(t, h, start, 1, 1, false)
		runCalls(t, h, start, 2, 6000, idempotent)
		h.Tick(start.Add(5 * time.Second))
		is.Equal(queried(h, start.Add(5*time.Second), 1).Outcome, cassiatally.OutcomeRan)
	}
}

// Guards against a call whose outcome was dropped after its deadline being stated as not
// run, or run again.
func TestForgottenOutcomeIsUnknown(t *testing.T) {
	is := is.New(t)
	h := newHarness(2)
	runCalls(t, h, start, 5, 5, false)
	later := start.Add(time.Minute)
	h.Announce(later, cassiatally.Endpoint{Service: "depot-svc", Slots: 10, State: cassiatally.EndpointReady}, 3*time.Second)
	h.Tick(later)
	is.Equal(queried(h, later, 5).Outcome, cassiatally.OutcomeUnknown)
	is.Equal(queried(h, later, 4).Outcome, cassiatally.OutcomeUnknown) // may be one of the dropped outcomes
	is.Equal(queried(h, later, 6).Outcome, cassiatally.OutcomeNotRun)
	actions := h.HandleCall(later, entry, call(5, "a"))
	is.Equal(len(started(actions)), 0)
	is.Equal(answers(actions)[0].Outcome, cassiatally.OutcomeUnknown)
}

// Guards against outcomes that are dropped, or kept without a bound, when there are too
// many: calls whose outcome could not be kept have to be refused before they run.
func TestCallsAreRefusedWithoutRoomForTheirOutcome(t *testing.T) {
	is := is.New(t)
	h := newHarness(2)
	var refused cassiatally.Answer
	seq := uint64(0)
	for refused.Kind == cassiatally.KindNone && seq < 100000 {
		seq++
		c := call(seq, "a")
		c.Remaining = 6 * time.Second
		actions := h.HandleCall(start, entry, c)
		if len(started(actions)) == 0 {
			refused = answers(actions)[0]
			break
		}
		h.Finished(start, c.ID, done)
	}
	is.Equal(refused.Outcome, cassiatally.OutcomeNotRun)
	is.Equal(refused.Kind, cassiatally.KindOverloaded)
	is.Equal(queried(h, start, 1).Outcome, cassiatally.OutcomeRan)
	is.Equal(queried(h, start, seq+1).Outcome, cassiatally.OutcomeUnknown) // no room to void it
	runCalls(t, h, start, seq+2, seq+2, true)
	later := start.Add(8 * time.Second)
	h.Announce(later, cassiatally.Endpoint{Service: "depot-svc", Slots: 10, State: cassiatally.EndpointReady}, 3*time.Second)
	h.Tick(later)
	runCalls(t, h, later, seq+3, seq+3, false)
}
