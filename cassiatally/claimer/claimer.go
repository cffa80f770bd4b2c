// Package claimer executes requests with an idempotency key at most once. It
// covers all shards of the node's own data centre for which this incarnation of
// the node is the holder or the standby.
//
// The holder runs a request only after the standby of the same epoch has
// recorded the claim. A standby that takes over seals the epoch first, so it
// knows every claim that was ever run, and turns the unfinished ones into
// unknown. A void is answered as not_run only after the standby has recorded it.
// The shard table, which is folded from the log, says who acts in which epoch.
// No rule depends on a clock.
//
// # Usage
//
// The duty that owns the claimer passes on messages and events, and carries out
// the actions that it returns:
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
// calls AppendDone or AppendFailed. An append whose answer was lost is a failed
// append; appending twice is harmless.
//
// A Claimer is not safe for concurrent use.
package claimer

import (
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/faultswitch"
)

const (
	// appendRetry is the time between a failed append and the next one.
	appendRetry = time.Second
	// appendTimeout is how long an append may stay without a result, or an
	// appended record unread, before it is appended again.
	appendTimeout = 10 * time.Second
	// memberGrace is how long after an assignment an absent member is not taken to
	// be gone. The member table of a node that has just started is not complete.
	memberGrace = 3 * time.Second
	// submitSeqBase keeps the ids of submitted requests apart from the ids that
	// the router of the same incarnation draws.
	submitSeqBase = 1 << 63
)

// faults switches off mechanisms in tests, to show that the tests notice.
type faults struct {
	// skipAck submits and answers without the acknowledgement of the standby.
	skipAck bool
	// skipSeal acknowledges, without recording them, messages of earlier epochs.
	skipSeal bool
	// forgetPending drops unfinished claims in a takeover.
	forgetPending bool
	// partialCopy lets a standby without a whole copy take over.
	partialCopy bool
	// anyEpochAcks accepts acknowledgements of any epoch and incarnation.
	anyEpochAcks bool
	// earlyNotRun answers not_run before the void is recorded.
	earlyNotRun bool
}

// Claimer holds the claims of the shards of one node.
type Claimer struct {
	self         cassiatally.NodeRef
	dc           cassiatally.DataCentre
	shards       []*shard
	live         []cassiatally.Member
	knowsMembers bool
	draining     bool
	runs         map[cassiatally.CallID]*claim
	waiting      map[caller]*claim
	answers      answerStore
	heldBytes    int
	seq          uint64
	out          []cassiatally.Action
	faults       faults
}

// New returns a claimer for count shards of a data centre, holding none of them.
func New(self cassiatally.NodeRef, dc cassiatally.DataCentre, count int) *Claimer {
	c := &Claimer{
		self:    self,
		dc:      dc,
		runs:    make(map[cassiatally.CallID]*claim),
		waiting: make(map[caller]*claim),
		seq:     submitSeqBase,
		faults:  faults{skipAck: faultswitch.Off(faultswitch.ClaimAck)},
	}
	for i := range count {
		c.shards = append(c.shards, newShard(cassiatally.ShardRef{DataCentre: dc, Shard: cassiatally.ShardID(i)}))
	}
	return c
}

// AssignmentsChanged tells which assignments are in force now.
func (c *Claimer) AssignmentsChanged(now cassiatally.Instant, changed []cassiatally.Assignment) []cassiatally.Action {
	for _, a := range changed {
		if s := c.shard(a.Shard); s != nil && a.Epoch > s.current.Epoch {
			c.assign(now, s, a)
		}
	}
	return c.take()
}

// assign moves a shard to the next assignment. The claims are kept only by a
// holder that goes on, and by a standby with a whole copy that takes over.
func (c *Claimer) assign(now cassiatally.Instant, s *shard, a cassiatally.Assignment) {
	was, previous := s.role, s.current
	s.current = a
	s.role = s.roleOf(c.self)
	continues := a.Epoch == previous.Epoch+1 && a.CompleteFrom < a.Epoch && s.role == roleHolder
	copied := s.copied || c.faults.partialCopy
	keep := continues && (was == roleHolder || was == roleStandby && copied)
	if !keep {
		c.abandon(s)
	}
	switch {
	case keep:
		s.completeFrom = max(s.completeFrom, a.CompleteFrom)
	case s.role == roleHolder:
		s.completeFrom = a.Epoch
	default:
		s.completeFrom = a.CompleteFrom
	}
	if keep && was == roleStandby {
		c.closePending(s)
	}
	c.dropExpired(s)
	c.countRotation(now, s, keep && was == roleHolder)
	s.since = now
	s.proposal = nil
	s.rotating = false
	s.sealed = false
	s.peerSealed = false
	s.received = 0
	s.copied = false
	s.outbox = outbox{}
	if s.role == roleHolder {
		c.startCopy(now, s)
	}
}

// closePending ends the claims that the previous holder may have run.
func (c *Claimer) closePending(s *shard) {
	for k, cl := range s.claims {
		if cl.state != cassiatally.ClaimPending {
			continue
		}
		cl.state = cassiatally.ClaimUnknown
		if c.faults.forgetPending {
			delete(s.claims, k)
		}
	}
}

func (c *Claimer) countRotation(now cassiatally.Instant, s *shard, goesOn bool) {
	if goesOn && !s.rotating {
		return
	}
	s.rotation = s.current.Epoch
	s.rotatedAt = now
	s.minted = 0
}

// abandon forgets the claims of a shard. Runs in flight still answer their
// waiting calls.
func (c *Claimer) abandon(s *shard) {
	for _, k := range s.keys() {
		c.forget(s, s.claims[k], unavailable())
	}
}

// dropExpired forgets the claims below completeFrom.
func (c *Claimer) dropExpired(s *shard) {
	for _, k := range s.keys() {
		if cl := s.claims[k]; cl.epoch < s.completeFrom {
			c.forget(s, cl, failure(cassiatally.KindKeyExpired, cassiatally.OutcomeUnknown, "the claims of the key's epoch are no longer known"))
		}
	}
}

func (c *Claimer) forget(s *shard, cl *claim, a cassiatally.Answer) {
	delete(s.claims, cl.key)
	c.dropCall(cl)
	if cl.running() {
		cl.orphaned = true
		return
	}
	c.release(cl, a)
}

// MembersChanged replaces the live members of the data centre.
func (c *Claimer) MembersChanged(now cassiatally.Instant, live []cassiatally.Member) []cassiatally.Action {
	c.live = append(c.live[:0:0], live...)
	c.knowsMembers = true
	return c.Tick(now)
}

// AppendDone tells that an assignment was written. It has no effect before it is
// read back as the winner.
func (c *Claimer) AppendDone(now cassiatally.Instant, a cassiatally.Assignment) []cassiatally.Action {
	c.appended(a, now.Add(appendTimeout))
	return nil
}

// AppendFailed tells that an assignment may not have been written.
func (c *Claimer) AppendFailed(now cassiatally.Instant, a cassiatally.Assignment) []cassiatally.Action {
	c.appended(a, now.Add(appendRetry))
	return nil
}

func (c *Claimer) appended(a cassiatally.Assignment, next cassiatally.Instant) {
	if s := c.shard(a.Shard); s != nil && s.proposal != nil && *s.proposal == a {
		s.proposedAt = next
	}
}

// propose appends the next assignment, unless the same one was appended a short
// time ago.
func (c *Claimer) propose(now cassiatally.Instant, s *shard, next cassiatally.Assignment) {
	if s.proposal != nil && !now.Reached(s.proposedAt) {
		return
	}
	next.Reappend = false
	s.proposal = &next
	s.proposedAt = now.Add(appendTimeout)
	c.out = append(c.out, cassiatally.AppendAssignment{Assignment: next})
}

// Drain hands over the shards of a node that leaves. They take no new claims and
// pass to their standby once no request is in flight.
func (c *Claimer) Drain(now cassiatally.Instant) []cassiatally.Action {
	c.draining = true
	return c.Tick(now)
}

// Drained reports whether this node holds no shard that another member could
// take over. When all members leave together there is nobody to hand over to.
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

// Tick does what is due by time. It is called every 100 ms.
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
	return c.take()
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

// trusts reports whether the member table can tell that a node is gone.
func (c *Claimer) trusts(now cassiatally.Instant, s *shard) bool {
	return c.knowsMembers && now.Reached(s.since.Add(memberGrace))
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

// release answers all calls that wait for a claim.
func (c *Claimer) release(cl *claim, a cassiatally.Answer) {
	for _, w := range cl.waiters {
		delete(c.waiting, w.caller)
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

func (c *Claimer) take() []cassiatally.Action {
	out := c.out
	c.out = nil
	return out
}
