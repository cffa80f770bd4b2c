// Package claimer executes requests with an idempotency key at most once. It
// covers all shards of the node's own data centre for which this incarnation of
// the node is the holder or the standby.
//
// The holder runs a request only after the standby of the same epoch has
// recorded the claim. A standby that takes over first seals the epoch: it records
// no further claims, so its copy contains every claim that was run. It marks the
// pending ones as unknown. A void is answered as not_run only after the standby
// has recorded it. The shard table, which is folded from the log, states the
// holder and the standby of each epoch. No rule depends on a clock.
//
// # Usage
//
// The duty that owns the claimer passes messages and events to it, and carries
// out the actions that it returns:
//
//	c := claimer.New(self, dataCentre, 16)
//	do(c.AssignmentsChanged(now, table.Changed()))
//	do(c.MembersChanged(now, live))
//	do(c.HandleCall(now, from, call))
//	do(c.HandleClaimAck(now, from, ack))
//	do(c.RunFinished(now, id, answer)) // the answer for a Submit
//	do(c.Tick(now))                    // every 100 ms
//
// Actions are Send, Submit and AppendAssignment. After each append the owner
// calls AppendDone or AppendFailed. An append whose response was lost counts as
// failed; appending an assignment twice is harmless.
//
// A Claimer is not safe for concurrent use.
package claimer

import (
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/faultswitch"
)

const (
	// appendRetryInterval is the time between a failed append and the next one.
	appendRetryInterval = time.Second
	// appendTimeout is how long to wait for the result of an append, or for the
	// appended record to be read back, before appending again.
	appendTimeout = 10 * time.Second
	// memberGrace is how long after an assignment the absence of a member is
	// ignored. The member table of a node that has just started is incomplete.
	memberGrace = 3 * time.Second
	// submitSeqBase keeps the IDs of submitted requests distinct from the IDs that
	// the router of the same incarnation assigns.
	submitSeqBase = 1 << 63
)

// faults switches off mechanisms, to show that the tests detect their absence.
type faults struct {
	// skipAck submits and answers without waiting for the standby to acknowledge.
	skipAck bool
	// skipSeal acknowledges messages of earlier epochs without recording them.
	skipSeal bool
	// dropPending drops pending claims in a takeover instead of marking them unknown.
	dropPending bool
	// partialCopy lets a standby with an incomplete copy keep its claims in a takeover.
	partialCopy bool
	// anyEpochAcks accepts acknowledgements of any epoch and incarnation.
	anyEpochAcks bool
	// earlyNotRun answers not_run before the void is recorded.
	earlyNotRun bool
}

// Claimer holds the claims of the shards of one node.
type Claimer struct {
	self        cassiatally.NodeRef
	dc          cassiatally.DataCentre
	shards      []*shard
	live        []cassiatally.Member
	haveMembers bool
	// seen has the latest incarnation of each node that was live.
	seen      map[cassiatally.NodeID]cassiatally.Incarnation
	draining  bool
	runs      map[cassiatally.CallID]*claim
	waiting   map[callRef]*claim
	answers   answerStore
	heldBytes int
	seq       uint64
	out       []cassiatally.Action
	faults    faults
}

// New returns a claimer for count shards of a data centre. It holds no shard yet.
func New(self cassiatally.NodeRef, dc cassiatally.DataCentre, count int) *Claimer {
	c := &Claimer{
		self:    self,
		dc:      dc,
		seen:    make(map[cassiatally.NodeID]cassiatally.Incarnation),
		runs:    make(map[cassiatally.CallID]*claim),
		waiting: make(map[callRef]*claim),
		seq:     submitSeqBase,
		faults:  faults{skipAck: faultswitch.Off(faultswitch.ClaimAck)},
	}
	for i := range count {
		c.shards = append(c.shards, newShard(cassiatally.ShardRef{DataCentre: dc, Shard: cassiatally.ShardID(i)}))
	}
	return c
}

// AssignmentsChanged applies the assignments that came into force. Those of other
// data centres and those whose epoch is not newer are ignored.
func (c *Claimer) AssignmentsChanged(now cassiatally.Instant, changed []cassiatally.Assignment) []cassiatally.Action {
	for _, a := range changed {
		if s := c.shard(a.Shard); s != nil && a.Epoch > s.inForce.Epoch {
			c.applyAssignment(now, s, a)
		}
	}
	return c.takeActions()
}

// applyAssignment moves a shard to the next assignment. The claims are kept only by a
// holder that remains the holder, and by a standby with a complete copy that
// takes over. A standby without one discards the claims of earlier epochs. No claim
// of the epoch that it takes over from was acted on: the holder needs its
// acknowledgement for that, which it gives only once its copy is complete.
func (c *Claimer) applyAssignment(now cassiatally.Instant, s *shard, a cassiatally.Assignment) {
	oldRole, previous := s.role, s.inForce
	s.inForce = a
	s.role = s.roleOf(c.self)
	continues := a.Epoch == previous.Epoch+1 && a.CompleteFrom < a.Epoch && s.role == roleHolder
	copied := s.copyComplete || c.faults.partialCopy
	keepClaims := continues && (oldRole == roleHolder || oldRole == roleStandby && copied)
	if !keepClaims {
		c.dropClaims(s)
	}
	switch {
	case keepClaims:
		s.completeFrom = max(s.completeFrom, a.CompleteFrom)
	case continues && oldRole == roleStandby:
		s.completeFrom = max(a.CompleteFrom, previous.Epoch)
	case s.role == roleHolder:
		s.completeFrom = a.Epoch
	default:
		s.completeFrom = a.CompleteFrom
	}
	if keepClaims && oldRole == roleStandby {
		c.markPendingUnknown(s)
	}
	c.dropBelowCompleteFrom(s)
	c.resetRotation(now, s, keepClaims && oldRole == roleHolder)
	s.assignedAt = now
	s.proposal = nil
	s.rotating = false
	s.sealed = false
	s.standbySealed = false
	s.receivedSeq = 0
	s.copyComplete = false
	s.outbox = outbox{}
	switch s.role {
	case roleHolder:
		c.startCopy(now, s)
	case roleStandby:
		c.requestCopy(s)
	case roleNone:
	}
}

// markPendingUnknown sets the outcome of the pending claims to unknown, because
// the previous holder may have run them.
func (c *Claimer) markPendingUnknown(s *shard) {
	for k, cl := range s.claims {
		if cl.state != cassiatally.ClaimPending {
			continue
		}
		cl.state = cassiatally.ClaimUnknown
		if c.faults.dropPending {
			delete(s.claims, k)
		}
	}
}

// resetRotation starts a new rotation period, unless the holder continues in an
// epoch that is not part of a rotation.
func (c *Claimer) resetRotation(now cassiatally.Instant, s *shard, continues bool) {
	if continues && !s.rotating {
		return
	}
	s.rotationEpoch = s.inForce.Epoch
	s.rotatedAt = now
	s.claimsSinceRotation = 0
}

// dropClaims removes the claims of a shard. Runs in flight still answer their
// waiting calls.
func (c *Claimer) dropClaims(s *shard) {
	for _, k := range s.keys() {
		c.dropClaim(s, s.claims[k], unavailable())
	}
}

// dropBelowCompleteFrom removes the claims of epochs below completeFrom.
func (c *Claimer) dropBelowCompleteFrom(s *shard) {
	for _, k := range s.keys() {
		if cl := s.claims[k]; cl.epoch < s.completeFrom {
			c.dropClaim(s, cl, failure(cassiatally.KindKeyExpired, cassiatally.OutcomeUnknown, "the claims of the key's epoch are no longer known"))
		}
	}
}

// dropClaim removes a claim. Its waiting calls get the answer immediately, or the
// outcome of the run when one is in flight.
func (c *Claimer) dropClaim(s *shard, cl *claim, a cassiatally.Answer) {
	delete(s.claims, cl.key)
	c.dropCall(cl)
	if cl.running() {
		cl.orphaned = true
		return
	}
	c.answerWaiters(cl, a)
}

// MembersChanged replaces the live members of the data centre.
func (c *Claimer) MembersChanged(now cassiatally.Instant, live []cassiatally.Member) []cassiatally.Action {
	c.live = append(c.live[:0:0], live...)
	c.haveMembers = true
	for _, m := range live {
		c.seen[m.Ref.Node] = max(c.seen[m.Ref.Node], m.Ref.Incarnation)
	}
	return c.Tick(now)
}

// AppendDone reports that an assignment was written. The assignment takes effect
// only when it is read back as the winner.
func (c *Claimer) AppendDone(now cassiatally.Instant, a cassiatally.Assignment) []cassiatally.Action {
	c.rescheduleProposal(a, now.Add(appendTimeout))
	return nil
}

// AppendFailed reports that an assignment may not have been written.
func (c *Claimer) AppendFailed(now cassiatally.Instant, a cassiatally.Assignment) []cassiatally.Action {
	c.rescheduleProposal(a, now.Add(appendRetryInterval))
	return nil
}

func (c *Claimer) rescheduleProposal(a cassiatally.Assignment, next cassiatally.Instant) {
	if s := c.shard(a.Shard); s != nil && s.proposal != nil && *s.proposal == a {
		s.nextProposalAt = next
	}
}

// propose appends the next assignment, unless an earlier proposal was appended a
// short time ago.
func (c *Claimer) propose(now cassiatally.Instant, s *shard, next cassiatally.Assignment) {
	if s.proposal != nil && !now.Reached(s.nextProposalAt) {
		return
	}
	next.Reappend = false
	s.proposal = &next
	s.nextProposalAt = now.Add(appendTimeout)
	c.out = append(c.out, cassiatally.AppendAssignment{Assignment: next})
}

// Drain starts the handover of all shards before the node leaves. They accept no
// new claims and move to their standby once no request is in flight.
func (c *Claimer) Drain(now cassiatally.Instant) []cassiatally.Action {
	c.draining = true
	return c.Tick(now)
}

// Drained reports whether this node holds no shard that another member could
// take over. When all members leave together, no member can take over a shard.
func (c *Claimer) Drained() bool {
	if !c.hasSuccessor() {
		return true
	}
	for _, s := range c.shards {
		if s.role == roleHolder {
			return false
		}
	}
	return true
}

func (c *Claimer) hasSuccessor() bool {
	for _, m := range c.live {
		if m.Ref != c.self && !m.Leaving {
			return true
		}
	}
	return false
}

// Tick carries out the work that is due at now. The owner calls it every 100 ms.
func (c *Claimer) Tick(now cassiatally.Instant) []cassiatally.Action {
	c.answers.expire(now)
	for _, s := range c.shards {
		switch s.role {
		case roleHolder:
			c.tickHolder(now, s)
		case roleStandby:
			c.tickStandby(now, s)
		case roleNone:
		}
	}
	return c.takeActions()
}

func (c *Claimer) shard(ref cassiatally.ShardRef) *shard {
	if ref.DataCentre != c.dc || int(ref.Shard) >= len(c.shards) {
		return nil
	}
	return c.shards[ref.Shard]
}

func (c *Claimer) member(ref cassiatally.NodeRef) (cassiatally.Member, bool) {
	for _, m := range c.live {
		if m.Ref == ref {
			return m, true
		}
	}
	return cassiatally.Member{}, false
}

// memberTableReady reports whether absence from the member table means that a
// node is gone, also when it was never in the table.
func (c *Claimer) memberTableReady(now cassiatally.Instant, s *shard) bool {
	return c.haveMembers && now.Reached(s.assignedAt.Add(memberGrace))
}

// standbyGone reports whether the standby has left the member table, perhaps before its
// assignment was read back. One that was never there is given memberGrace to appear. A
// standby does not treat its holder like that: shortly after the assignment its copy may
// be incomplete, and a takeover would discard the claims.
func (c *Claimer) standbyGone(now cassiatally.Instant, s *shard) bool {
	standby := s.inForce.Standby
	_, live := c.member(standby)
	return !live && c.haveMembers && (c.seen[standby.Node] >= standby.Incarnation || c.memberTableReady(now, s))
}

// standbyFor chooses the standby of a holder among the live members that are not
// excluded. It returns the zero reference when there is none.
func (c *Claimer) standbyFor(s *shard, holder cassiatally.NodeRef, except ...cassiatally.NodeRef) cassiatally.NodeRef {
	var candidates []cassiatally.Member
	for _, m := range c.live {
		excluded := false
		for _, ref := range except {
			excluded = excluded || m.Ref == ref
		}
		if !excluded {
			candidates = append(candidates, m)
		}
	}
	h, ok := c.member(holder)
	if !ok {
		h.Ref = holder
	}
	m, _ := cassiatally.StandbyFor(s.ref, h, candidates)
	return m.Ref
}

// answerWaiters answers all calls that wait for a claim.
func (c *Claimer) answerWaiters(cl *claim, a cassiatally.Answer) {
	for _, w := range cl.waiters {
		delete(c.waiting, w.callRef)
		c.answer(w, a)
	}
	cl.waiters = nil
}

func (c *Claimer) answer(w waiter, a cassiatally.Answer) {
	a.ID = w.call
	a.Request = w.tag
	c.send(w.entry, a)
}

func (c *Claimer) send(to cassiatally.NodeID, m cassiatally.Message) {
	c.out = append(c.out, cassiatally.Send{To: to, Message: m})
}

func (c *Claimer) takeActions() []cassiatally.Action {
	out := c.out
	c.out = nil
	return out
}
