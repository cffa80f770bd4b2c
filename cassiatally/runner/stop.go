package runner

import "github.com/cassiatally/cassiatally/cassiatally"

// Leave refuses new work because the node itself is shutting down. Runs in flight
// finish.
func (r *Runner) Leave(now cassiatally.Instant) []cassiatally.Action {
	r.leaving = true
	return r.refuseQueued(now, nil)
}

// HandleRecall refuses a call that is still queued, since the node that sent it stops. A
// run in flight goes on: its answer may be in time.
func (r *Runner) HandleRecall(now cassiatally.Instant, id cassiatally.CallID) []cassiatally.Action {
	rec, ok := r.records[id]
	if !ok || rec.phase != phaseQueued {
		return nil
	}
	r.admitter.Remove(id)
	r.countShed(rec.call.Rank, cassiatally.KindDraining)
	refused := notRun(id, cassiatally.KindDraining, "the node that the request entered at stops")
	return r.startQueued(now, r.finishCall(nil, now, rec, refused))
}

// HandleKeep keeps the run of a call from being aborted before its deadline, since the node
// that sent the call stops.
func (r *Runner) HandleKeep(id cassiatally.CallID) {
	if rec, ok := r.records[id]; ok {
		rec.call.Keep = true
	}
}

// Stop aborts the runs that are left, which are answered when their results come, and
// sends the answers that are withheld. Leave has to be called before.
func (r *Runner) Stop(now cassiatally.Instant) []cassiatally.Action {
	var actions []cassiatally.Action
	for id, rec := range r.records {
		if rec.phase == phaseRunning {
			rec.cancelled, rec.abortedByStop = true, true
			actions = append(actions, cassiatally.AbortRun{Call: id})
		}
	}
	for _, c := range r.unacknowledgedCrashes {
		c.withholdUntil = now
	}
	return r.releaseAnswers(actions, now)
}

// Unanswered returns the number of calls that were started and whose answers have not
// been sent.
func (r *Runner) Unanswered() int {
	n := r.running
	for _, c := range r.unacknowledgedCrashes {
		n += len(c.brokenRuns)
	}
	return n
}
