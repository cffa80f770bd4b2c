package runner

import (
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// ResultKind tells how a call to the backend server ended.
type ResultKind uint8

const (
	// ResultAnswered means that a whole answer arrived.
	ResultAnswered ResultKind = iota
	// ResultRefused means that the backend server stated that it did not run the
	// request.
	ResultRefused
	// ResultUnreached means that no connection could be opened.
	ResultUnreached
	// ResultBroken means that the connection ended before the whole answer.
	ResultBroken
	// ResultTimedOut means that the deadline passed before the answer.
	ResultTimedOut
	// ResultAborted means that the run was cancelled.
	ResultAborted
)

// Result is the end of a call to the backend server.
type Result struct {
	Kind        ResultKind
	Status      int
	ContentType string
	Body        []byte
	Detail      string
}

const firstServerError = 500

// Finished takes the result of a run.
func (r *Runner) Finished(now cassiatally.Instant, id cassiatally.CallID, res Result) []cassiatally.Action {
	rec, ok := r.records[id]
	if !ok || rec.phase != phaseRunning {
		r.late++
		return nil
	}
	if rec.brokenOff && res.Kind == ResultAborted {
		res.Kind = ResultTimedOut
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
	if res.Kind == ResultBroken {
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

func (r *Runner) observe(now cassiatally.Instant, rec *record, res Result) {
	self := rec.children.selfTime(rec.started, now)
	failed := res.Kind != ResultAnswered && res.Kind != ResultTimedOut
	if r.tells(res, self) {
		r.limiter.Observe(now, cassiatally.RunSample{Self: self, InFlight: rec.concurrency, Failed: failed})
	}
	busy := now.Sub(rec.started)
	if cutOff(res) {
		r.admitter.Cut(now, rec.call.Rank, busy)
	} else {
		r.admitter.Done(now, rec.call.Rank, busy)
	}
	switch res.Kind {
	case ResultTimedOut, ResultAborted:
		rec.cutOff = true
	case ResultAnswered:
		r.quarantine.Completed(now, rec.fingerprint)
	case ResultUnreached:
		r.endpoint.State = cassiatally.EndpointNone
	default:
	}
}

// cutOff reports whether a run would have taken longer than it did.
func cutOff(res Result) bool { return res.Kind == ResultTimedOut || res.Kind == ResultAborted }

// tells reports whether the end of a run says anything about the backend server. A
// run that was cut off early says nothing. One that was cut off late took long,
// which the limiter tells from queueing by its own test; as a failure it would cut
// the limit of a backend server that has only become slower.
func (r *Runner) tells(res Result, self time.Duration) bool {
	switch res.Kind {
	case ResultAborted:
		return false
	case ResultTimedOut:
		return self >= r.limiter.Typical()
	default:
		return true
	}
}

func (r *Runner) answerTo(rec *record, res Result) cassiatally.Answer {
	id := rec.call.ID
	switch res.Kind {
	case ResultAnswered:
		return ranAnswer(id, res)
	case ResultRefused:
		return notRun(id, cassiatally.KindOverloaded, "the backend server shed the request")
	case ResultUnreached:
		return notRun(id, cassiatally.KindUnreachable, "the backend server cannot be reached: "+res.Detail)
	case ResultTimedOut:
		return unknown(id, cassiatally.KindExpired, "the deadline passed while the request ran, or was out of reach")
	case ResultAborted:
		return unknown(id, cassiatally.KindCancelled, "the run was cancelled")
	default:
		return unknown(id, cassiatally.KindOutcomeUnknown, "the backend server broke off: "+res.Detail)
	}
}

func ranAnswer(id cassiatally.CallID, res Result) cassiatally.Answer {
	a := cassiatally.Answer{
		ID:          id,
		Outcome:     cassiatally.OutcomeRan,
		Status:      res.Status,
		ContentType: res.ContentType,
		Body:        res.Body,
		Digest:      cassiatally.DigestOf(res.Body),
	}
	if res.Status >= firstServerError {
		a.Kind = cassiatally.KindBackendFailed
		a.Detail = "the backend server reported a failure"
	}
	return a
}

func unknown(id cassiatally.CallID, kind cassiatally.ErrorKind, detail string) cassiatally.Answer {
	return cassiatally.Answer{ID: id, Outcome: cassiatally.OutcomeUnknown, Kind: kind, Detail: detail}
}
