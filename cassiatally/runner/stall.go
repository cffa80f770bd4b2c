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
	// minStalledRuns is the minimum number of runs that must be in flight for that.
	// Even when run times are exponentially distributed, the probability that this
	// many make no progress for so long is e^-16.
	minStalledRuns = 8
	// ageDivisor sets the remaining time below which a run is aborted, as a part (a
	// third) of its age. With half the age, runs that take 1 s and have 1.5 s were
	// aborted shortly before their end.
	ageDivisor = 3
)

// recordProgress records that a run has ended or made an onward call, or that the
// first run has started.
func (r *Runner) recordProgress(now cassiatally.Instant) { r.lastProgress = now }

// abortStalledRuns aborts idempotent runs of a stalled backend server whose
// remaining time is short compared with their age. For a run that takes longer than
// any before, its age is the only evidence: it is assumed to be three times as
// likely to need more than a third of its age again as less. A run that is cut off
// at its deadline wastes all its work, while its slot could serve a call that has
// enough time. Runs for nodes that stop are kept, since their callers cannot come back to
// the same node.
func (r *Runner) abortStalledRuns(actions []cassiatally.Action, now cassiatally.Instant) []cassiatally.Action {
	stall := stallFactor * r.limiter.TypicalSelfTime()
	if stall == 0 || r.running < minStalledRuns || now.Sub(r.lastProgress) < stall {
		return actions
	}
	runs := r.runsWithoutChildren()
	if len(runs) < minStalledRuns {
		return actions
	}
	for _, rec := range runs {
		age := now.Sub(rec.started)
		if rec.call.Idempotent && !rec.call.Keep && !rec.cancelled && age >= stall && rec.deadline.Sub(now) < age/ageDivisor {
			rec.cancelled, rec.abortedAsStalled = true, true
			actions = append(actions, cassiatally.AbortRun{Call: rec.call.ID})
		}
	}
	return actions
}

// runsWithoutChildren returns the runs that have made no onward call, the oldest
// first. The age of the others includes time spent in other services.
func (r *Runner) runsWithoutChildren() []*record {
	var runs []*record
	for _, rec := range r.records {
		if rec.phase == phaseRunning && len(rec.children.calls) == 0 {
			runs = append(runs, rec)
		}
	}
	slices.SortFunc(runs, func(a, b *record) int {
		return cmp.Or(cmp.Compare(a.started, b.started), cmp.Compare(a.call.ID.Origin, b.call.ID.Origin), cmp.Compare(a.call.ID.Seq, b.call.ID.Seq))
	})
	return runs
}
