package supervisor

import (
	"context"
	"time"

	"github.com/cassiatally/cassiatally/node/drainer"
)

const (
	// Requests that no backend server has started are withdrawn after recallPart of the
	// drain, and all that are left are answered after answerPart, in twelfths.
	drainParts = 12
	recallPart = 10
	answerPart = 11
	// abortDelay is the time that a backend server has to answer its own call after its
	// onward calls were answered.
	abortDelay = 100 * time.Millisecond
)

// Drain announces to other nodes that this one is leaving, refuses new work, and waits
// until the runs in flight have ended, callers have their answers and the shards are
// handed over. What is left of the runs near the end of timeout is answered before it.
func (s *Supervisor) Drain(timeout time.Duration) {
	s.leaving.Store(true)
	s.members.Leave()
	s.executor.Leave()
	s.claims.Drain()
	part := timeout / drainParts
	d := &drainer.Drainer{Clock: s.Clock, Idle: s.drained, Steps: []drainer.Step{
		{Do: s.dispatcher.Leave, Required: true},
		{After: recallPart * part, Do: s.dispatcher.Recall},
		{After: answerPart * part, Do: s.dispatcher.Stop},
		{After: answerPart*part + min(abortDelay, part/2), Do: s.executor.Stop},
	}}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if !d.Run(ctx) {
		s.Logger.Warn("drain not finished", "runs_in_flight", s.executor.Unanswered(), "callers_waiting", s.callers.InFlight(),
			"unsent_answers", s.links.UnsentAnswers(), "shards_handed_over", s.claims.Drained())
	}
}

func (s *Supervisor) drained() bool {
	return s.executor.Drained() && s.callers.InFlight() == 0 && s.links.UnsentAnswers() == 0 && s.claims.Drained()
}
