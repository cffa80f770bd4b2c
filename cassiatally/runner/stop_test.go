package runner_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// Guards against a call that runs, or whose outcome stays open, although the stopping
// node that sent it withdrew it while it was queued, and against a run that is aborted by
// that.
func TestRecall(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	lookup := call(1, "a")
	lookup.Idempotent = true
	h.HandleCall(start, entry, lookup)
	h.HandleCall(start, entry, call(2, "b"))
	h.HandleCall(start, entry, call(3, "c"))
	is.Equal(len(h.HandleRecall(start, lookup.ID)), 0) // a run in flight goes on

	got := answers(h.HandleRecall(start, call(2, "").ID))
	is.Equal(len(got), 1)
	is.Equal(got[0].ID, call(2, "").ID)
	is.Equal(got[0].Outcome, cassiatally.OutcomeNotRun)
	is.Equal(got[0].Kind, cassiatally.KindDraining)
	is.Equal(len(h.HandleRecall(start, call(2, "").ID)), 0)
	is.Equal(len(h.HandleRecall(start, call(9, "").ID)), 0) // never arrived

	is.Equal(started(h.Finished(start, lookup.ID, done)), []cassiatally.CallID{call(3, "").ID})
	is.Equal(len(started(h.HandleCall(start, entry, call(2, "b")))), 0) // a late copy does not run
}

// Guards against runs that the stopping node beside their backend server leaves without
// an answer, or answers as not run, and against answers that it withholds for good.
func TestStop(t *testing.T) {
	is := is.New(t)
	h := newHarness(4)
	h.SetPeers(start, map[cassiatally.Service][]cassiatally.NodeID{"depot-svc": {"b"}})
	h.HandleCall(start, entry, call(1, "crashes"))
	is.Equal(len(answers(h.Finished(start, call(1, "").ID, broken))), 0) // withheld
	h.Announce(start, ready, 3*time.Second)
	h.HandleCall(start, entry, call(2, "held"))
	h.HandleCall(start, entry, call(3, "ends in time"))
	h.Leave(start)
	is.Equal(h.Unanswered(), 3)

	actions := h.Stop(start)
	is.Equal(len(aborted(actions)), 2)
	got := answers(actions)
	is.Equal(len(got), 1)
	is.Equal(got[0].ID, call(1, "").ID)
	is.Equal(got[0].Outcome, cassiatally.OutcomeUnknown)
	is.Equal(h.Unanswered(), 2)

	got = answers(h.Finished(start, call(2, "").ID, cassiatally.RunResult{Kind: cassiatally.ResultAborted}))
	is.Equal(got[0].Outcome, cassiatally.OutcomeUnknown)
	is.Equal(got[0].Kind, cassiatally.KindOutcomeUnknown) // an idempotent call may be sent to another endpoint
	got = answers(h.Finished(start, call(3, "").ID, done))
	is.Equal(got[0].Outcome, cassiatally.OutcomeRan)
	is.Equal(h.Unanswered(), 0)
}
