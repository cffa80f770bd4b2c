package runner

import (
	"cmp"
	"slices"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	// stallFactor is the number of typical self times without any progress after
	// which a backend server counts as stalled.
	stallFactor = 2
	// stallRuns is the least number of runs that must be under way then. Even when
	// run times are spread exponentially, that many show no progress for so long
	// with a chance of e^-16.
	stallRuns = 8
	// leftPart: a run is broken off when the time left is below this part (a third)
	// of its age. With half the age, runs of 1 s with 1.5 s time were broken off
	// shortly before their end.
	leftPart = 3
)

// progress records that a run has ended or made its first onward call.
func (r *Runner) progress(now cassiatally.Instant) { r.progressed = now }

// breakOff stops idempotent runs of a stalled backend server that have little time
// left for the time that they have taken. All that is known about a run which takes
// longer than any before is that time; it is taken to be three times as likely to
// need more than a third of it again as not. All work on a run that is cut off is
// lost, and its slot serves a call that has the time.
func (r *Runner) breakOff(actions []cassiatally.Action, now cassiatally.Instant) []cassiatally.Action {
	stall := stallFactor * r.limiter.TypicalSelfTime()
	if stall == 0 || r.running < stallRuns || now.Sub(r.progressed) < stall {
		return actions
	}
	under := r.underWay()
	if len(under) < stallRuns {
		return actions
	}
	for _, rec := range under {
		age := now.Sub(rec.started)
		if rec.call.Idempotent && !rec.cancelled && age >= stall && rec.deadline.Sub(now) < age/leftPart {
			rec.cancelled, rec.brokenOff = true, true
			actions = append(actions, cassiatally.AbortRun{Call: rec.call.ID})
		}
	}
	return actions
}

// underWay returns the runs that have made no onward call, the oldest first. The
// time of the others is not their own.
func (r *Runner) underWay() []*record {
	var under []*record
	for _, rec := range r.records {
		if rec.phase == phaseRunning && len(rec.children.known) == 0 {
			under = append(under, rec)
		}
	}
	slices.SortFunc(under, func(a, b *record) int {
		return cmp.Or(cmp.Compare(a.started, b.started), cmp.Compare(a.call.ID.Origin, b.call.ID.Origin), cmp.Compare(a.call.ID.Seq, b.call.ID.Seq))
	})
	return under
}
