package runner

import (
	"slices"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	// outcomeMargin is how long after the deadline of a call its outcome is kept. Its
	// sender asks until 50 ms after the deadline, and a call that waited in a buffer is
	// given less time here than the sender allows, by an estimate of that wait.
	outcomeMargin = time.Second
	// voidRetention is how long a call that was voided may still arrive on its lost link.
	// It exceeds the time after which a link counts as dead.
	voidRetention = 10 * time.Second
)

// cutOffRun is a run that ended at its deadline or was cancelled.
type cutOffRun struct {
	fingerprint cassiatally.Fingerprint
	ended       cassiatally.Instant
}

func (r *Runner) recordCutOff(now cassiatally.Instant, rec *record) {
	r.cutOffs = slices.DeleteFunc(r.cutOffs, func(c cutOffRun) bool { return now.Sub(c.ended) > crashWindow })
	r.cutOffs = append(r.cutOffs, cutOffRun{fingerprint: rec.fingerprint, ended: now})
}

// SetUnsentAnswerBytes records the size of the answers that wait to be written to other
// nodes. Calls of other nodes are refused while it is at the bound of the answers kept.
func (r *Runner) SetUnsentAnswerBytes(n int64) { r.unsentAnswerBytes = n }

func (r *Runner) addRecord(rec *record) {
	r.records[rec.call.ID] = rec
	if rec.mustRemember {
		r.unremembered++
	}
}

func (r *Runner) removeRecord(rec *record) {
	delete(r.records, rec.call.ID)
	if rec.mustRemember {
		r.unremembered--
	}
}

// remember replaces the record of a finished call by its outcome. A call that was not run
// needs none: without an outcome it is stated as not run.
func (r *Runner) remember(rec *record) {
	r.removeRecord(rec)
	if rec.mustRemember && rec.answer.Outcome != cassiatally.OutcomeNotRun {
		r.Outcomes.Keep(rec.answer, rec.deadline.Add(outcomeMargin))
	}
}

// knownOutcome returns the outcome of a call that has arrived before, or that was voided
// or may have been, since it must not run again.
func (r *Runner) knownOutcome(c cassiatally.Call) (cassiatally.Answer, bool) {
	if c.Idempotent {
		return cassiatally.Answer{}, false
	}
	if a, ok := r.Outcomes.Find(c.ID); ok {
		return a, true
	}
	if !r.Outcomes.MayHaveForgotten(c.ID) {
		return cassiatally.Answer{}, false
	}
	a := unknownOutcome(c.ID, cassiatally.KindOutcomeUnknown, "the call may have run, and its outcome was dropped after its deadline")
	a.Request = c.Tag()
	return a, true
}

// HandleRunQuery answers a query for the outcome of a non-idempotent call whose link was
// lost. A call that has not arrived is voided, so that it does not run if it arrives
// later. That it has not run is stated only if this incarnation would still have its
// outcome; otherwise the outcome is unknown.
func (r *Runner) HandleRunQuery(now cassiatally.Instant, from cassiatally.NodeID, q cassiatally.RunQuery) []cassiatally.Action {
	if rec, ok := r.records[q.ID]; ok {
		rec.from = from // the answer follows
		return nil
	}
	a, ok := r.Outcomes.Find(q.ID)
	if !ok {
		a = r.outcomeWithoutRecord(now, q)
	}
	return []cassiatally.Action{cassiatally.Send{To: from, Message: a}}
}

func (r *Runner) outcomeWithoutRecord(now cassiatally.Instant, q cassiatally.RunQuery) cassiatally.Answer {
	var a cassiatally.Answer
	switch {
	case q.Target != r.self.Incarnation:
		a = unknownOutcome(q.ID, cassiatally.KindOutcomeUnknown, "the node was restarted after the call was sent, or may have been")
	case r.Outcomes.MayHaveForgotten(q.ID):
		a = unknownOutcome(q.ID, cassiatally.KindOutcomeUnknown, "the outcome of the call may have been dropped after its deadline")
	case !r.Outcomes.HasRoom(r.unremembered):
		a = unknownOutcome(q.ID, cassiatally.KindOutcomeUnknown, "the node has no room to void the call, which may still arrive")
	default:
		a = notRun(q.ID, cassiatally.KindUnreachable, "the call never arrived")
	}
	a.Request = q.Request
	if a.Outcome == cassiatally.OutcomeNotRun {
		r.Outcomes.Keep(a, now.Add(voidRetention))
	}
	return a
}
