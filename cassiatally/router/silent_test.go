package router_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// cancelled returns the cancellations among the actions by their receivers.
func cancelled(actions []cassiatally.Action) map[cassiatally.NodeID]cassiatally.Cancel {
	out := make(map[cassiatally.NodeID]cassiatally.Cancel)
	for _, a := range actions {
		if s, ok := a.(cassiatally.Send); ok {
			if c, ok := s.Message.(cassiatally.Cancel); ok {
				out[s.To] = c
			}
		}
	}
	return out
}

// silentHarness has a request that was sent to the node silent, whose link then became
// silent, and also to the node other.
type silentHarness struct {
	*harness
	silent, other cassiatally.NodeID
	first, second cassiatally.Call
}

func newSilentHarness(t *testing.T) *silentHarness {
	t.Helper()
	h := &silentHarness{harness: newHarness([]cassiatally.NodeID{"a", "b"}, stubBudget{}, stubLoads{})}
	h.silent, h.first = sent(t, h.Submit(start, request(true)))
	h.other, h.second = sent(t, h.LinkSilent(start, cassiatally.NodeRef{Node: h.silent, Incarnation: 4}))
	return h
}

// answerSilent and answerOther pass in the answers to the two attempts.
func (h *silentHarness) answerSilent(a cassiatally.Answer) []cassiatally.Action {
	a.ID = h.first.ID
	return h.HandleAnswer(start, h.silent, a)
}

func (h *silentHarness) answerOther(a cassiatally.Answer) []cassiatally.Action {
	a.ID = h.second.ID
	return h.HandleAnswer(start, h.other, a)
}

var (
	ranAnswer     = cassiatally.Answer{Outcome: cassiatally.OutcomeRan, Status: 200}
	failedAnswer  = cassiatally.Answer{Outcome: cassiatally.OutcomeRan, Kind: cassiatally.KindBackendFailed, Status: 500}
	refusedAnswer = cassiatally.Answer{Outcome: cassiatally.OutcomeNotRun, Kind: cassiatally.KindExpired}
)

// Guards against a request that is given up with an answer of this node, while an endpoint
// is at work on it, because one heartbeat of a healthy node was late and another endpoint
// had no room. After a SIGTERM of this node, that loses the request.
func TestSilentEndpointIsStillAwaited(t *testing.T) {
	t.Run("refused elsewhere", func(t *testing.T) {
		is := is.New(t)
		h := newSilentHarness(t)
		is.Equal(len(h.answerOther(refusedAnswer)), 0)
		is.Equal(delivered(t, h.answerSilent(ranAnswer)).Status, 200)
		is.Equal(h.InFlight(), 0)
	})
	t.Run("answers first", func(t *testing.T) {
		is := is.New(t)
		h := newSilentHarness(t)
		actions := h.answerSilent(ranAnswer)
		is.Equal(delivered(t, actions).Status, 200)
		is.Equal(cancelled(actions), map[cassiatally.NodeID]cassiatally.Cancel{h.other: {ID: h.second.ID}})
		is.Equal(len(h.answerOther(ranAnswer)), 0) // too late
	})
	t.Run("another request's answer", func(t *testing.T) {
		is := is.New(t)
		h := newSilentHarness(t)
		foreign := ranAnswer
		foreign.Request = h.first.Tag() + 1
		is.Equal(len(h.answerSilent(foreign)), 0)
		is.Equal(delivered(t, h.answerSilent(ranAnswer)).Status, 200)
	})
	t.Run("fails first", func(t *testing.T) {
		is := is.New(t)
		h := newSilentHarness(t)
		is.Equal(len(h.answerSilent(failedAnswer)), 0)
		is.Equal(delivered(t, h.answerOther(ranAnswer)).Status, 200)
	})
	t.Run("fails and is refused elsewhere", func(t *testing.T) {
		is := is.New(t)
		h := newSilentHarness(t)
		is.Equal(len(h.answerSilent(failedAnswer)), 0)
		is.Equal(delivered(t, h.answerOther(refusedAnswer)).Status, 500) // the endpoint's answer
	})
}

// Guards against a request that waits for an endpoint which cannot answer any more, and
// against an answer that promises that it has not run.
func TestSilentEndpointIsLost(t *testing.T) {
	for name, lose := range map[string]func(h *silentHarness) []cassiatally.Action{
		"its link ends": func(h *silentHarness) []cassiatally.Action {
			return h.LinkLost(start, cassiatally.NodeRef{Node: h.silent, Incarnation: 4})
		},
		"the call was never written": func(h *silentHarness) []cassiatally.Action {
			return h.SendFailed(start, h.silent, h.first)
		},
		"the deadline passes": func(h *silentHarness) []cassiatally.Action {
			return h.Tick(start.Add(2 * time.Second))
		},
		"this node stops": func(h *silentHarness) []cassiatally.Action {
			h.Recall(start)
			return h.Stop(start)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newSilentHarness(t)
			is.Equal(len(h.answerOther(refusedAnswer)), 0)
			is.Equal(delivered(t, lose(h)).Outcome, cassiatally.OutcomeUnknown)
			is.Equal(h.InFlight(), 0)
			is.Equal(len(h.answerSilent(ranAnswer)), 0) // too late
		})
		t.Run(name+", another endpoint is at work", func(t *testing.T) {
			if name == "the deadline passes" || name == "this node stops" {
				return // they end the other attempt too
			}
			is := is.New(t)
			h := newSilentHarness(t)
			is.Equal(len(lose(h)), 0)
			is.Equal(delivered(t, h.answerOther(ranAnswer)).Status, 200)
		})
	}
}

// Guards against a run that goes on at a silent endpoint after its request has ended, or
// that is started there after this node has withdrawn the request.
func TestAllAttemptsAreCancelled(t *testing.T) {
	for name, c := range map[string]struct {
		end        func(h *silentHarness) []cassiatally.Action
		queuedOnly bool
	}{
		"the caller leaves":   {end: func(h *silentHarness) []cassiatally.Action { return h.Cancel(start, request(true).ID) }},
		"the deadline passes": {end: func(h *silentHarness) []cassiatally.Action { return h.Tick(start.Add(2 * time.Second)) }},
		"this node stops":     {end: func(h *silentHarness) []cassiatally.Action { return h.Stop(start) }},
		"this node recalls":   {end: func(h *silentHarness) []cassiatally.Action { return h.Recall(start) }, queuedOnly: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newSilentHarness(t)
			is.Equal(cancelled(c.end(h)), map[cassiatally.NodeID]cassiatally.Cancel{
				h.silent: {ID: h.first.ID, QueuedOnly: c.queuedOnly}, h.other: {ID: h.second.ID, QueuedOnly: c.queuedOnly},
			})
		})
	}
}
