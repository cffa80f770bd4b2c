package runner

import (
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	firstServerError    = 500
	internalServerError = 500
	gatewayTimeout      = 504
	// deadlineMargin is how early before its deadline a backend server may give up a
	// run: the time left is told in whole milliseconds, and the answer travels.
	deadlineMargin = 20 * time.Millisecond
)

// Finished takes the result of a run.
func (r *Runner) Finished(now cassiatally.Instant, id cassiatally.CallID, res cassiatally.RunResult) []cassiatally.Action {
	rec, ok := r.records[id]
	if !ok || rec.phase != phaseRunning {
		r.late++
		return nil
	}
	if rec.brokenOff && res.Kind == cassiatally.ResultAborted {
		res.Kind = cassiatally.ResultTimedOut
	}
	actions := r.abandonChildren(rec)
	r.running--
	if !cutOff(res) {
		r.progress(now)
	}
	r.observe(now, rec, res)
	a := r.answerTo(rec, res)
	if a.Outcome == cassiatally.OutcomeNotRun {
		r.countShed(rec.call.Rank, a.Kind)
	}
	if res.Kind == cassiatally.ResultBroken {
		actions = r.concludeBroken(actions, now, rec, a)
	} else {
		actions = r.conclude(actions, now, rec, a)
	}
	if r.endpoint.State == cassiatally.EndpointNone {
		// They would wait until the backend server announces itself again or until its
		// announcement lapses, while others can run them.
		actions = r.refuseQueued(now, actions)
	}
	return r.pump(now, r.releaseHeld(actions, now))
}

func (r *Runner) observe(now cassiatally.Instant, rec *record, res cassiatally.RunResult) {
	self := rec.children.selfTime(rec.started, now)
	failed := res.Kind != cassiatally.ResultAnswered && res.Kind != cassiatally.ResultTimedOut
	if r.tells(res, self) {
		r.limiter.Observe(now, cassiatally.RunSample{SelfTime: self, InFlight: rec.concurrency, Failed: failed})
	}
	if cutOff(res) || rec.gaveUp(now, res) {
		// A run that was cut off while it waited for an onward call does not tell that
		// this backend server is slow. Counted in full, a few of them had all calls
		// refused as too late, and then no run was left to show that it was fast.
		r.admitter.CutOff(now, rec.call.Rank, self)
	} else {
		r.admitter.Done(now, rec.call.Rank, now.Sub(rec.started))
	}
	switch res.Kind {
	case cassiatally.ResultTimedOut, cassiatally.ResultAborted:
		rec.cutOff = true
	case cassiatally.ResultAnswered:
		r.quarantine.Completed(now, rec.fingerprint)
	case cassiatally.ResultUnreached, cassiatally.ResultReplaced:
		r.endpoint.State = cassiatally.EndpointNone
	default:
	}
}

// cutOff reports whether a run would have taken longer than it did.
func cutOff(res cassiatally.RunResult) bool {
	return res.Kind == cassiatally.ResultTimedOut || res.Kind == cassiatally.ResultAborted
}

// gaveUp reports whether the backend server answered that the deadline has passed.
func (rec *record) gaveUp(now cassiatally.Instant, res cassiatally.RunResult) bool {
	return res.Kind == cassiatally.ResultAnswered && res.Status == gatewayTimeout && now.Reached(rec.deadline.Add(-deadlineMargin))
}

// tells reports whether the end of a run says anything about the backend server. A
// run that was cut off early says nothing. One that was cut off late took long,
// which the limiter tells from queueing by its own test; as a failure it would cut
// the limit of a backend server that has only become slower.
func (r *Runner) tells(res cassiatally.RunResult, self time.Duration) bool {
	switch res.Kind {
	case cassiatally.ResultAborted:
		return false
	case cassiatally.ResultTimedOut:
		return self >= r.limiter.TypicalSelfTime()
	default:
		return true
	}
}

func (r *Runner) answerTo(rec *record, res cassiatally.RunResult) cassiatally.Answer {
	id := rec.call.ID
	switch res.Kind {
	case cassiatally.ResultAnswered:
		return ranAnswer(id, res, rec.children.failed)
	case cassiatally.ResultRefused:
		return notRun(id, cassiatally.KindBackendRefused, "the backend server refused the request")
	case cassiatally.ResultUnreached:
		return notRun(id, cassiatally.KindUnreachable, "the backend server cannot be reached: "+res.Detail)
	case cassiatally.ResultReplaced:
		return notRun(id, cassiatally.KindDraining, "another instance has the address of the backend server")
	case cassiatally.ResultTimedOut:
		return unknown(id, cassiatally.KindExpired, "the deadline passed while the request ran, or was out of reach")
	case cassiatally.ResultAborted:
		return unknown(id, cassiatally.KindCancelled, "the run was cancelled")
	default:
		return unknown(id, cassiatally.KindOutcomeUnknown, "the backend server broke off: "+res.Detail)
	}
}

func ranAnswer(id cassiatally.CallID, res cassiatally.RunResult, childFailed bool) cassiatally.Answer {
	a := cassiatally.Answer{
		ID:          id,
		Outcome:     cassiatally.OutcomeRan,
		Status:      res.Status,
		ContentType: res.ContentType,
		Fields:      res.Fields,
		Body:        res.Body,
		Digest:      cassiatally.DigestOf(res.Body),
	}
	if res.Status >= firstServerError {
		a.Kind = cassiatally.KindBackendFailed
		a.Detail = "the backend server reported a failure"
		a.OwnFailure = !childFailed && res.Status == internalServerError
	}
	return a
}

func unknown(id cassiatally.CallID, kind cassiatally.ErrorKind, detail string) cassiatally.Answer {
	return cassiatally.Answer{ID: id, Outcome: cassiatally.OutcomeUnknown, Kind: kind, Detail: detail}
}
