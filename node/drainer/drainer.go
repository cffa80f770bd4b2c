// Package drainer takes the steps of a planned stop: at first a node only stops to take
// new work, and the longer work is still in flight, the more of it is given up, each with
// a truthful answer.
//
// # Usage
//
//	d := &drainer.Drainer{Clock: clock, Idle: idle, Steps: []drainer.Step{
//		{After: refuse, Do: refuseNew, Required: true},
//		{After: recall, Do: withdrawWaiting},
//	}}
//	finished := d.Run(ctx)
package drainer

import (
	"context"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// pollInterval is how often Run checks whether the work in flight has ended.
const pollInterval = 20 * time.Millisecond

// Step is an action that is due some time after the start of a stop.
type Step struct {
	After time.Duration
	Do    func()
	// Required steps are taken even when no work is in flight.
	Required bool
}

// Drainer takes the steps of one stop. Its fields are set before Run.
type Drainer struct {
	Clock cassiatally.Clock
	// Steps are in the order in which they are due.
	Steps []Step
	// Idle reports whether no work is in flight.
	Idle func() bool
}

// Run takes the steps as they are due until the required ones are taken and the node is
// idle, or until ctx is done. It reports whether the node is idle.
func (d *Drainer) Run(ctx context.Context) bool {
	began := d.Clock.Now()
	left := d.Steps
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for {
		for len(left) > 0 && d.Clock.Now().Reached(began.Add(left[0].After)) {
			left[0].Do()
			left = left[1:]
		}
		if !anyRequired(left) && d.Idle() {
			return true
		}
		select {
		case <-poll.C:
		case <-ctx.Done():
			return false
		}
	}
}

func anyRequired(steps []Step) bool {
	for _, s := range steps {
		if s.Required {
			return true
		}
	}
	return false
}
