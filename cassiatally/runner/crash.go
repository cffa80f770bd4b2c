package runner

import (
	"slices"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/faultswitch"
)

const (
	// crashWindow joins broken connections of one crash.
	crashWindow = 200 * time.Millisecond
	// withholdFor bounds the time for which callers wait for a peer that does not
	// acknowledge a crash. It is half the time after which the link to a peer counts
	// as dead, so a paused node delays those callers only.
	withholdFor = 500 * time.Millisecond
	// tellEvery is the pause before a crash is told again, since the first message
	// may have been lost with its link.
	tellEvery = 100 * time.Millisecond
)

// crash is a crash of the backend server that other nodes have to know before
// those are told whose runs it broke off. Otherwise the cause could be sent again
// to a node that has not heard of it.
type crash struct {
	number  cassiatally.CrashNumber
	news    []cassiatally.CrashReport
	waiting []cassiatally.NodeID
	until   cassiatally.Instant
	again   cassiatally.Instant
	broken  []*record
}

// SetPeers sets the nodes beside the endpoints of each service, this one left
// out. Those of the own service hear of each crash directly.
func (r *Runner) SetPeers(now cassiatally.Instant, peers map[cassiatally.Service][]cassiatally.NodeID) []cassiatally.Action {
	r.peers = peers
	own := peers[r.endpoint.Service]
	for _, c := range r.untold {
		c.waiting = slices.DeleteFunc(c.waiting, func(n cassiatally.NodeID) bool { return !slices.Contains(own, n) })
	}
	return r.release(nil, now)
}

// HandleCrashNews takes crashes that another node tells and acknowledges them.
func (r *Runner) HandleCrashNews(now cassiatally.Instant, from cassiatally.NodeID, g cassiatally.Gossip) []cassiatally.Action {
	r.quarantine.Merge(now, g.Crashes)
	return []cassiatally.Action{cassiatally.Send{To: from, Message: cassiatally.Gossip{From: r.self, Reply: true, CrashAck: g.CrashNumber}}}
}

// HandleCrashAck takes the acknowledgement of a crash.
func (r *Runner) HandleCrashAck(now cassiatally.Instant, from cassiatally.NodeID, number cassiatally.CrashNumber) []cassiatally.Action {
	for _, c := range r.untold {
		if c.number == number {
			c.waiting = slices.DeleteFunc(c.waiting, func(n cassiatally.NodeID) bool { return n == from })
		}
	}
	return r.release(nil, now)
}

// concludeBroken records the crash that broke off a run. The answer waits until
// the peers know of it.
func (r *Runner) concludeBroken(actions []cassiatally.Action, now cassiatally.Instant, rec *record, a cassiatally.Answer) []cassiatally.Action {
	if rec.lastCrash == r.crashes || now.Sub(r.crashedAt) > crashWindow {
		actions = r.recordCrash(actions, now, rec)
	}
	for _, c := range r.untold {
		if rec.lastCrash < c.number {
			r.settle(now, rec, a)
			rec.withheld = true
			c.broken = append(c.broken, rec)
			return actions
		}
	}
	return r.conclude(actions, now, rec, a)
}

// recordCrash counts one crash for all connections that break together. A run
// that started after the last crash shows a new one, however soon it breaks.
func (r *Runner) recordCrash(actions []cassiatally.Action, now cassiatally.Instant, broken *record) []cassiatally.Action {
	r.crashes++
	r.crashedAt = now
	inFlight := []cassiatally.Fingerprint{broken.fingerprint}
	for _, rec := range r.records {
		if rec != broken && rec.mayHaveCrashed(now) {
			inFlight = append(inFlight, rec.fingerprint)
		}
	}
	r.quarantine.Crashed(now, inFlight)
	r.endpoint.State = cassiatally.EndpointNone
	peers := slices.Clone(r.peers[r.endpoint.Service])
	if len(peers) == 0 || faultswitch.Off(faultswitch.CrashNews) {
		return actions
	}
	c := &crash{
		number: r.crashes, news: r.quarantine.ReportsOf(now, inFlight), waiting: peers,
		until: now.Add(withholdFor), again: now.Add(tellEvery),
	}
	r.untold = append(r.untold, c)
	return c.tell(actions, r.self)
}

// mayHaveCrashed reports whether the backend server may have been working on the
// request. It may go on for a while after the deadline or a cancellation.
func (rec *record) mayHaveCrashed(now cassiatally.Instant) bool {
	return rec.phase == phaseRunning || (rec.cutOff && now.Sub(rec.ended) <= crashWindow)
}

func (c *crash) tell(actions []cassiatally.Action, self cassiatally.NodeRef) []cassiatally.Action {
	for _, n := range c.waiting {
		actions = append(actions, cassiatally.Send{To: n, Message: cassiatally.Gossip{
			From: self, Reply: true, Crashes: c.news, CrashNumber: c.number,
		}})
	}
	return actions
}

// tellAgain repeats the news to those who have not acknowledged it.
func (r *Runner) tellAgain(actions []cassiatally.Action, now cassiatally.Instant) []cassiatally.Action {
	actions = r.release(actions, now)
	for _, c := range r.untold {
		if now.Reached(c.again) {
			c.again = now.Add(tellEvery)
			actions = c.tell(actions, r.self)
		}
	}
	return actions
}

// release answers those whose crash all peers know or have had the time to.
func (r *Runner) release(actions []cassiatally.Action, now cassiatally.Instant) []cassiatally.Action {
	r.untold = slices.DeleteFunc(r.untold, func(c *crash) bool {
		if len(c.waiting) > 0 && now.Before(c.until) {
			return false
		}
		for _, rec := range c.broken {
			rec.withheld = false
			actions = append(actions, cassiatally.Send{To: rec.from, Message: rec.answer})
		}
		return true
	})
	return actions
}

// mustWait reports whether the call may crash the backend server and has to wait
// for another such call. Only one runs at a time, so that a further crash points
// at a single one of them. It waits for calls of the phase from on.
func (r *Runner) mustWait(now cassiatally.Instant, rec *record, from phase) bool {
	if faultswitch.Off(faultswitch.SuspectsWait) || !r.quarantine.Suspect(now, rec.fingerprint) {
		return false
	}
	return (from == phaseQueued && len(r.held) > 0) || r.suspectBeside(now, rec, from)
}

// suspectBeside reports whether another request that was in flight in a crash is
// queued, if from is phaseQueued, or running.
func (r *Runner) suspectBeside(now cassiatally.Instant, beside *record, from phase) bool {
	for _, rec := range r.records {
		if rec != beside && rec.phase >= from && rec.phase <= phaseRunning && !rec.held && r.quarantine.Suspect(now, rec.fingerprint) {
			return true
		}
	}
	return false
}
