package runner

import (
	"slices"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/faultswitch"
)

const (
	// crashWindow is the time within which broken connections count as one crash.
	crashWindow = 200 * time.Millisecond
	// maxWithhold bounds the time for which callers wait for a peer that does not
	// acknowledge a crash. It is half the time after which the link to a peer counts
	// as dead, so a paused node delays those callers only.
	maxWithhold = 500 * time.Millisecond
	// crashResendInterval is the time before crash reports are sent again, since the
	// first message may have been lost with its link.
	crashResendInterval = 100 * time.Millisecond
)

// crash is a crash of the backend server that the peers have to acknowledge before
// the runs that it broke off are answered. Otherwise the request that caused it
// could be sent again to a node that has not received the report.
type crash struct {
	number           cassiatally.CrashNumber
	reports          []cassiatally.CrashReport
	unacknowledgedBy []cassiatally.NodeID
	withholdUntil    cassiatally.Instant
	resendAt         cassiatally.Instant
	brokenRuns       []*record
}

// SetPeers sets the nodes of the endpoints of each service, except this one. The
// peers of its own service receive each crash report directly.
func (r *Runner) SetPeers(now cassiatally.Instant, peers map[cassiatally.Service][]cassiatally.NodeID) []cassiatally.Action {
	r.peers = peers
	servicePeers := peers[r.endpoint.Service]
	for _, c := range r.unacknowledgedCrashes {
		c.unacknowledgedBy = slices.DeleteFunc(c.unacknowledgedBy, func(n cassiatally.NodeID) bool { return !slices.Contains(servicePeers, n) })
	}
	return r.releaseAnswers(nil, now)
}

// HandleCrashReports merges the crash reports of another node and acknowledges
// them.
func (r *Runner) HandleCrashReports(now cassiatally.Instant, from cassiatally.NodeID, g cassiatally.Gossip) []cassiatally.Action {
	r.quarantine.Merge(now, g.Crashes)
	return []cassiatally.Action{cassiatally.Send{To: from, Message: cassiatally.Gossip{From: r.self, Reply: true, CrashAck: g.CrashNumber}}}
}

// HandleCrashAck records the acknowledgement of a crash by a peer and answers the
// runs that waited for it.
func (r *Runner) HandleCrashAck(now cassiatally.Instant, from cassiatally.NodeID, number cassiatally.CrashNumber) []cassiatally.Action {
	for _, c := range r.unacknowledgedCrashes {
		if c.number == number {
			c.unacknowledgedBy = slices.DeleteFunc(c.unacknowledgedBy, func(n cassiatally.NodeID) bool { return n == from })
		}
	}
	return r.releaseAnswers(nil, now)
}

// finishBrokenRun records the crash that broke off a run. The answer is withheld
// until the peers have acknowledged the crash.
func (r *Runner) finishBrokenRun(actions []cassiatally.Action, now cassiatally.Instant, rec *record, a cassiatally.Answer) []cassiatally.Action {
	if rec.lastCrash == r.crashes || now.Sub(r.lastCrashAt) > crashWindow {
		actions = r.recordCrash(actions, now, rec)
	}
	for _, c := range r.unacknowledgedCrashes {
		if rec.lastCrash < c.number {
			r.setAnswer(now, rec, a)
			rec.answerWithheld = true
			c.brokenRuns = append(c.brokenRuns, rec)
			return actions
		}
	}
	return r.finishCall(actions, now, rec, a)
}

// recordCrash counts one crash for all connections that break together. A broken
// run that started after the last crash is evidence of a new one, however soon it
// breaks.
func (r *Runner) recordCrash(actions []cassiatally.Action, now cassiatally.Instant, broken *record) []cassiatally.Action {
	r.crashes++
	r.lastCrashAt = now
	inFlight := []cassiatally.Fingerprint{broken.fingerprint}
	for _, rec := range r.records {
		if rec != broken && rec.phase == phaseRunning {
			inFlight = append(inFlight, rec.fingerprint)
		}
	}
	// The backend server may work on a request for a while after its deadline or its
	// cancellation.
	for _, c := range r.cutOffs {
		if now.Sub(c.ended) <= crashWindow {
			inFlight = append(inFlight, c.fingerprint)
		}
	}
	r.quarantine.Crashed(now, inFlight)
	r.endpoint.State = cassiatally.EndpointNone
	peers := slices.Clone(r.peers[r.endpoint.Service])
	if len(peers) == 0 || faultswitch.Off(faultswitch.CrashReports) {
		return actions
	}
	c := &crash{
		number: r.crashes, reports: r.quarantine.ReportsOf(now, inFlight), unacknowledgedBy: peers,
		withholdUntil: now.Add(maxWithhold), resendAt: now.Add(crashResendInterval),
	}
	r.unacknowledgedCrashes = append(r.unacknowledgedCrashes, c)
	return c.sendReports(actions, r.self)
}

func (c *crash) sendReports(actions []cassiatally.Action, self cassiatally.NodeRef) []cassiatally.Action {
	for _, n := range c.unacknowledgedBy {
		actions = append(actions, cassiatally.Send{To: n, Message: cassiatally.Gossip{
			From: self, Reply: true, Crashes: c.reports, CrashNumber: c.number,
		}})
	}
	return actions
}

// resendCrashReports repeats the crash reports to the peers that have not
// acknowledged them.
func (r *Runner) resendCrashReports(actions []cassiatally.Action, now cassiatally.Instant) []cassiatally.Action {
	actions = r.releaseAnswers(actions, now)
	for _, c := range r.unacknowledgedCrashes {
		if now.Reached(c.resendAt) {
			c.resendAt = now.Add(crashResendInterval)
			actions = c.sendReports(actions, r.self)
		}
	}
	return actions
}

// releaseAnswers sends the withheld answers of crashes that all peers have
// acknowledged, or that have been withheld for maxWithhold.
func (r *Runner) releaseAnswers(actions []cassiatally.Action, now cassiatally.Instant) []cassiatally.Action {
	r.unacknowledgedCrashes = slices.DeleteFunc(r.unacknowledgedCrashes, func(c *crash) bool {
		if len(c.unacknowledgedBy) > 0 && now.Before(c.withholdUntil) {
			return false
		}
		for _, rec := range c.brokenRuns {
			rec.answerWithheld = false
			r.remember(rec)
			actions = append(actions, cassiatally.Send{To: rec.from, Message: rec.answer})
		}
		return true
	})
	return actions
}

// mustWait reports whether the call is a suspect and has to wait for another one.
// Only one suspect runs at a time, so that a further crash identifies its cause. If
// from is phaseQueued, the call waits for queued and running suspects, otherwise
// for running ones only.
func (r *Runner) mustWait(now cassiatally.Instant, rec *record, from phase) bool {
	if faultswitch.Off(faultswitch.SuspectsWait) || !r.quarantine.Suspect(now, rec.fingerprint) {
		return false
	}
	return (from == phaseQueued && len(r.heldSuspects) > 0) || r.hasOtherSuspect(now, rec, from)
}

// hasOtherSuspect reports whether another request that was in flight in a crash is
// running, or queued if from is phaseQueued.
func (r *Runner) hasOtherSuspect(now cassiatally.Instant, except *record, from phase) bool {
	for _, rec := range r.records {
		if rec != except && rec.phase >= from && rec.phase <= phaseRunning && !rec.held && r.quarantine.Suspect(now, rec.fingerprint) {
			return true
		}
	}
	return false
}
