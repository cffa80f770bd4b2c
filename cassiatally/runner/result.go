package runner

import (
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	firstServerError    = 500
	internalServerError = 500
	gatewayTimeout      = 504
	// deadlineMargin is how long before its deadline a backend server may abandon a
	// run: the remaining time is sent in whole milliseconds, and the answer takes
	// time to arrive.
	deadlineMargin = 20 * time.Millisecond
	// droppedRunFactor is the number of typical self times after which a run without an
	// answer counts as dropped by the backend server. The longest of a hundred runs
	// takes five times as long as others.
	droppedRunFactor = 6
	// minGrantLevel is the level of a rank below which its capacity is short.
	minGrantLevel = 0.9
)

// Finished records the result of a run and answers its call.
func (r *Runner) Finished(now cassiatally.Instant, id cassiatally.CallID, res cassiatally.RunResult) []cassiatally.Action {
	rec, ok := r.records[id]
	if !ok || rec.phase != phaseRunning {
		r.lateResults++
		return nil
	}
	if rec.abortedAsStalled && res.Kind == cassiatally.ResultAborted {
		res.Kind = cassiatally.ResultTimedOut
	}
	actions := r.abandonChildren(rec)
	r.running--
	r.detachCancelled(rec, res)
	r.observeNotice(now, rec, res.Notice)
	if !cutOff(res) {
		r.recordProgress(now)
	}
	r.recordResult(now, rec, res)
	a := r.answerFor(rec, res)
	r.recordFailure(now, rec, res)
	a.RetryGranted = res.Kind == cassiatally.ResultRefused && r.grantsRetry(now, rec.call)
	if a.Outcome == cassiatally.OutcomeNotRun {
		r.countShed(rec.call.Rank, a.Kind)
	}
	if res.Kind == cassiatally.ResultBroken {
		actions = r.finishBrokenRun(actions, now, rec, a)
	} else {
		actions = r.finishCall(actions, now, rec, a)
	}
	if r.endpoint.State != cassiatally.EndpointReady {
		// Queued calls would wait until the backend server announces itself again or
		// its announcement expires, while other backend servers can run them. One that is
		// leaving must not get them.
		actions = r.refuseQueued(now, actions)
	}
	return r.startQueued(now, r.queueHeldSuspects(actions, now))
}

// grantsRetry reports whether a call that the backend server refused may be sent once
// more. While capacity is short, a retry would take it from other calls.
func (r *Runner) grantsRetry(now cassiatally.Instant, c cassiatally.Call) bool {
	if r.Granter == nil {
		return false
	}
	levels := r.admitter.Levels()
	if int(c.Rank) < len(levels) && levels[c.Rank] < minGrantLevel {
		return false
	}
	return r.Granter.Grant(now, c)
}

// recordFailure records whether the backend server failed the run by its own fault. A run
// that was cancelled shows neither.
func (r *Runner) recordFailure(now cassiatally.Instant, rec *record, res cassiatally.RunResult) {
	failed := false
	switch res.Kind {
	case cassiatally.ResultAborted:
		return
	case cassiatally.ResultAnswered:
		failed = res.Status == internalServerError && !rec.children.anyFailed
	case cassiatally.ResultTimedOut:
		if !r.neverAnswered(now, rec) {
			return
		}
		failed = true
	default:
		failed = true
	}
	r.failures.Record(now, failed)
	r.failureRate = r.failures.Rate(now)
}

// neverAnswered reports whether a run that was cut off had far more time than others
// need, so that the backend server has probably dropped it. Runs that wait for onward
// calls, and all runs of a backend server that has become slow, are no evidence.
func (r *Runner) neverAnswered(now cassiatally.Instant, rec *record) bool {
	typical := r.limiter.TypicalSelfTime()
	return typical > 0 && rec.children.outstanding == 0 && rec.children.selfTime(rec.started, now) >= droppedRunFactor*typical
}

func (rec *record) class() cassiatally.RunClass {
	return cassiatally.RunClass{Rank: rec.call.Rank, Work: rec.call.Work}
}

func (r *Runner) recordResult(now cassiatally.Instant, rec *record, res cassiatally.RunResult) {
	self := rec.children.selfTime(rec.started, now)
	failed := res.Kind != cassiatally.ResultAnswered && res.Kind != cassiatally.ResultTimedOut
	if r.isLoadSample(res, self) {
		r.limiter.Observe(now, cassiatally.RunSample{SelfTime: self, InFlight: rec.concurrency, Failed: failed})
		if res.Kind == cassiatally.ResultAnswered && rec.serverStart == r.notices.Start() {
			r.slowdowns.measure()
		}
	}
	if cutOff(res) || rec.gaveUpAtDeadline(now, res) {
		// A run that was cut off while it waited for an onward call is no evidence that
		// this backend server is slow. When such runs counted in full, a few of them had
		// all calls refused as too late, and no run was left to show that it was fast.
		r.admitter.CutOff(now, rec.class(), self)
	} else {
		r.admitter.Done(now, rec.class(), now.Sub(rec.started))
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

// cutOff reports whether a run was ended at its deadline or aborted, so that its
// full run time is unknown.
func cutOff(res cassiatally.RunResult) bool {
	return res.Kind == cassiatally.ResultTimedOut || res.Kind == cassiatally.ResultAborted
}

// gaveUpAtDeadline reports whether the backend server answered that the deadline
// has passed.
func (rec *record) gaveUpAtDeadline(now cassiatally.Instant, res cassiatally.RunResult) bool {
	return res.Kind == cassiatally.ResultAnswered && res.Status == gatewayTimeout && now.Reached(rec.deadline.Add(-deadlineMargin))
}

// isLoadSample reports whether the limiter should observe a run. A run that was cut
// off early is no evidence of load. One that was cut off late is observed as a long
// run, which the limiter distinguishes from queueing by its own test; as a failure
// it would reduce the limit of a backend server that has only become slower.
func (r *Runner) isLoadSample(res cassiatally.RunResult, self time.Duration) bool {
	switch res.Kind {
	case cassiatally.ResultAborted:
		return false
	case cassiatally.ResultTimedOut:
		return self >= r.limiter.TypicalSelfTime()
	default:
		return true
	}
}

func (r *Runner) answerFor(rec *record, res cassiatally.RunResult) cassiatally.Answer {
	id := rec.call.ID
	switch res.Kind {
	case cassiatally.ResultAnswered:
		return ranAnswer(id, res, rec.children.anyFailed)
	case cassiatally.ResultRefused:
		return notRun(id, cassiatally.KindBackendRefused, "the backend server refused the request")
	case cassiatally.ResultUnreached:
		return notRun(id, cassiatally.KindUnreachable, "the backend server cannot be reached: "+res.Detail)
	case cassiatally.ResultReplaced:
		return notRun(id, cassiatally.KindDraining, "another instance has the address of the backend server")
	case cassiatally.ResultTimedOut:
		if rec.abortedAsStalled {
			return unknownOutcome(id, cassiatally.KindExpired, "the backend server made no progress, and the run was aborted before its deadline")
		}
		return unknownOutcome(id, cassiatally.KindExpired, "the deadline passed while the request ran")
	case cassiatally.ResultAborted:
		if rec.abortedByStop {
			return unknownOutcome(id, cassiatally.KindOutcomeUnknown, "the node of the backend server stopped during the run")
		}
		return unknownOutcome(id, cassiatally.KindCancelled, "the run was cancelled")
	default:
		return unknownOutcome(id, cassiatally.KindOutcomeUnknown, "the backend server broke off: "+res.Detail)
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

func unknownOutcome(id cassiatally.CallID, kind cassiatally.ErrorKind, detail string) cassiatally.Answer {
	return cassiatally.Answer{ID: id, Outcome: cassiatally.OutcomeUnknown, Kind: kind, Detail: detail}
}
