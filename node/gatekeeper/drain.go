package gatekeeper

import (
	"context"
	"time"

	"github.com/cassiatally/cassiatally/node/drainer"
)

const (
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

// Drain announces to other nodes that this one is leaving, refuses new runs, and takes
// the steps of the plan until the work in flight has ended, which the last step sees to,
// or ctx is done. It does not return before new requests are refused, so that none is in
// flight when it returns before the end of ctx.
func (g *Gatekeeper) Drain(ctx context.Context, p DrainPlan) {
	g.leaving.Store(true)
	g.quotas.Leave()
	g.members.Leave()
	g.executor.Leave()
	g.forwarder.EndBy(g.Clock.Now().Add(p.AnswerAfter - answerMargin))
	d := &drainer.Drainer{Clock: g.Clock, Idle: g.idle, Steps: []drainer.Step{
		{Do: g.dispatcher.Leave, Required: true},
		{After: min(p.RefuseAfter, p.RecallAfter), Do: g.forwarder.Refuse, Required: true},
		{After: p.RecallAfter, Do: g.recall},
		{After: p.AnswerAfter, Do: g.dispatcher.Stop},
		{After: p.AnswerAfter + abortDelay, Do: g.executor.Stop},
	}}
	if !d.Run(ctx) {
		g.logs.Warn("drain not finished", "runs_in_flight", g.executor.Unanswered(), "requests", g.forwarder.InFlight(), "unsent_answers", g.links.UnsentAnswers())
	}
}

// recall withdraws the requests that no endpoint has started.
func (g *Gatekeeper) recall() {
	g.logs.Info("waiting requests withdrawn", "runs_in_flight", g.executor.Unanswered(), "requests", g.forwarder.InFlight())
	g.dispatcher.Recall()
}

// idle reports whether callers and other nodes have all their answers. Another node may
// read them slowly.
func (g *Gatekeeper) idle() bool {
	return g.executor.Drained() && g.forwarder.InFlight() == 0 && g.links.UnsentAnswers() == 0
}
