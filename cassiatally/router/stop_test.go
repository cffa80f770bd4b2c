package router_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// Guards against requests that a stopping node leaves without an answer, sends to another
// endpoint after it withdrew them, or answers as not run although they may have run.
func TestRecall(t *testing.T) {
	notRun := cassiatally.Answer{Outcome: cassiatally.OutcomeNotRun, Kind: cassiatally.KindDraining}
	lost := cassiatally.Answer{Outcome: cassiatally.OutcomeUnknown, Kind: cassiatally.KindOutcomeUnknown}
	ran := cassiatally.Answer{Outcome: cassiatally.OutcomeRan, Status: 200}
	for _, c := range []struct {
		name       string
		idempotent bool
		answer     cassiatally.Answer
		outcome    cassiatally.Outcome
	}{
		{"withdrawn", false, notRun, cassiatally.OutcomeNotRun},
		{"run in time", false, ran, cassiatally.OutcomeRan},
		{"idempotent run that broke off", true, lost, cassiatally.OutcomeUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness([]cassiatally.NodeID{"b", "c"}, stubBudget{}, stubLoads{})
			to, call := sent(t, h.Submit(start, request(c.idempotent)))
			is.Equal(h.Recall(start), []cassiatally.Action{
				cassiatally.Send{To: to, Message: cassiatally.Cancel{ID: call.ID, QueuedOnly: true}},
			})
			a := c.answer
			a.ID, a.Endpoint.Node = call.ID, to
			actions := h.HandleAnswer(start, to, a)
			is.Equal(len(actions), 1) // no further call
			is.Equal(delivered(t, actions).Outcome, c.outcome)
		})
	}

	t.Run("certainly not sent", func(t *testing.T) {
		is := is.New(t)
		h := newHarness([]cassiatally.NodeID{"b", "c"}, stubBudget{}, stubLoads{})
		to, call := sent(t, h.Submit(start, request(false)))
		h.Recall(start)
		actions := h.SendFailed(start, to, call)
		is.Equal(len(actions), 1)
		is.Equal(delivered(t, actions).Outcome, cassiatally.OutcomeNotRun)
	})

	t.Run("waits at this node", func(t *testing.T) {
		is := is.New(t)
		h := newHarness([]cassiatally.NodeID{"b"}, stubBudget{}, stubLoads{})
		to, call := sent(t, h.Submit(start, request(false)))
		is.Equal(len(h.SendFailed(start, to, call)), 0) // waits for the only endpoint
		got := delivered(t, h.Recall(start))
		is.Equal(got.Outcome, cassiatally.OutcomeNotRun)
		is.True(got.RetryAfter > 0)
	})

	t.Run("arrives afterwards", func(t *testing.T) {
		is := is.New(t)
		h := newHarness([]cassiatally.NodeID{"b"}, stubBudget{}, stubLoads{})
		h.Recall(start)
		got := delivered(t, h.Submit(start, request(false)))
		is.Equal(got.Kind, cassiatally.KindDraining)
		is.Equal(got.Outcome, cassiatally.OutcomeNotRun)
	})
}

// Guards against runs that other nodes abort as stalled after this node has begun to stop.
func TestLeave(t *testing.T) {
	is := is.New(t)
	h := newHarness([]cassiatally.NodeID{"b", "c"}, stubBudget{}, stubLoads{})
	to, call := sent(t, h.Submit(start, request(true)))
	is.True(!call.Keep)
	is.Equal(h.Leave(), []cassiatally.Action{
		cassiatally.Send{To: to, Message: cassiatally.Cancel{ID: call.ID, QueuedOnly: true, Keep: true}},
	})
	later := request(true)
	later.ID.Seq++
	_, call = sent(t, h.Submit(start, later))
	is.True(call.Keep)
}

// Guards against a request that a stopping node leaves without an answer, or answers as
// not run although an endpoint may be running it.
func TestStop(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		is := is.New(t)
		h := newHarness([]cassiatally.NodeID{"b", "c"}, stubBudget{}, stubLoads{})
		to, call := sent(t, h.Submit(start, request(idempotent)))
		h.Recall(start)
		actions := h.Stop(start)
		is.Equal(delivered(t, actions).Outcome, cassiatally.OutcomeUnknown)
		is.Equal(actions[0], cassiatally.Action(cassiatally.Send{To: to, Message: cassiatally.Cancel{ID: call.ID}}))
		is.Equal(h.InFlight(), 0)
	}

	t.Run("claim without a holder", func(t *testing.T) {
		is := is.New(t)
		h := newHarness(nil, stubBudget{}, stubLoads{})
		req := request(false)
		req.Key, req.Attempt = "north.3.1.00000000000000ff", 2
		is.Equal(len(h.Submit(start, req)), 0)
		is.Equal(len(h.Recall(start)), 0)
		is.Equal(delivered(t, h.Stop(start)).Outcome, cassiatally.OutcomeUnknown) // an earlier copy may have run
	})
}
