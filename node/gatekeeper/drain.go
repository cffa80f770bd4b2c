package gatekeeper

import (
	"context"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	// drainPoll is how often Drain checks whether the work in flight has ended.
	drainPoll = 20 * time.Millisecond
	// abortDelay is the time that a backend server has to answer its own call after its
	// onward calls were answered.
	abortDelay = 100 * time.Millisecond
	// answerMargin is how long before AnswerAfter the requests that arrive during a drain
	// have to end, so that their answers come back in time.
	answerMargin = 100 * time.Millisecond
)

// DrainPlan has the steps of a drain, as times since its start.
type DrainPlan struct {
	// RefuseAfter is the time that callers need to notice that the node is not ready. From
	// then on new requests are refused.
	RefuseAfter time.Duration
	// RecallAfter is when the requests that no endpoint has started are withdrawn and
	// answered as not run.
	RecallAfter time.Duration
	// AnswerAfter is when all requests that are left are answered, although their outcome
	// is unknown.
	AnswerAfter time.Duration
}

// drainStep is an action that is due at a time.
type drainStep struct {
	at cassiatally.Instant
	do func()
}

// Drain announces to other nodes that this one is leaving, refuses new runs, and takes
// the steps of the plan until the work in flight has ended, which the last step sees to,
// or ctx is done. It does not return before new requests are refused, so that none is in
// flight when it returns before the end of ctx.
func (g *Gatekeeper) Drain(ctx context.Context, p DrainPlan) {
	g.leaving.Store(true)
	g.members.Leave()
	g.executor.Leave()
	began := g.Clock.Now()
	g.forwarder.EndBy(began.Add(p.AnswerAfter - answerMargin))
	steps := []drainStep{
		{began.Add(min(p.RefuseAfter, p.RecallAfter)), g.forwarder.Refuse},
		{began.Add(p.RecallAfter), g.recall},
		{began.Add(p.AnswerAfter), g.dispatcher.Stop},
		{began.Add(p.AnswerAfter + abortDelay), g.executor.Stop},
	}
	refused := len(steps) - 1
	poll := time.NewTicker(drainPoll)
	defer poll.Stop()
	for {
		for len(steps) > 0 && g.Clock.Now().Reached(steps[0].at) {
			steps[0].do()
			steps = steps[1:]
		}
		if len(steps) <= refused && g.idle() {
			return
		}
		select {
		case <-poll.C:
		case <-ctx.Done():
			g.logs.Warn("drain not finished", "runs_in_flight", g.executor.Unanswered(), "requests", g.forwarder.InFlight())
			return
		}
	}
}

// recall withdraws the requests that no endpoint has started.
func (g *Gatekeeper) recall() {
	g.logs.Info("waiting requests withdrawn", "runs_in_flight", g.executor.Running(), "requests", g.forwarder.InFlight())
	g.dispatcher.Recall()
}

func (g *Gatekeeper) idle() bool { return g.executor.Unanswered() == 0 && g.forwarder.InFlight() == 0 }
