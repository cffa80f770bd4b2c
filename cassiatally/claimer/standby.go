package claimer

import (
	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/faultswitch"
)

// HandleClaimUpdate records the state of a claim at the standby.
func (c *Claimer) HandleClaimUpdate(now cassiatally.Instant, from cassiatally.NodeID, m cassiatally.ClaimUpdate) []cassiatally.Action {
	s := c.shard(m.Shard)
	if s != nil && c.accepts(s, from, m.Epoch, m.From, m.Seq) && s.copyComplete {
		s.receivedSeq = m.Seq
		c.applyClaim(now, s, m.Claim)
	}
	c.acknowledge(s, from, m.Epoch, m.From, m.Seq)
	return c.takeActions()
}

// HandleClaimCopy records a part of the copy of a shard's claims at its standby.
func (c *Claimer) HandleClaimCopy(now cassiatally.Instant, from cassiatally.NodeID, m cassiatally.ClaimCopy) []cassiatally.Action {
	s := c.shard(m.Shard)
	if s != nil && c.accepts(s, from, m.Epoch, m.From, m.Seq) && !s.copyComplete {
		s.receivedSeq = m.Seq
		s.completeFrom = max(s.completeFrom, m.CompleteFrom)
		for _, cl := range m.Claims {
			c.applyClaim(now, s, cl)
		}
		s.copyComplete = m.Last
	}
	c.acknowledge(s, from, m.Epoch, m.From, m.Seq)
	return c.takeActions()
}

// accepts reports whether a message is the next in the sequence of the epoch in
// force.
func (c *Claimer) accepts(s *shard, from cassiatally.NodeID, e cassiatally.Epoch, holder cassiatally.NodeRef, seq uint64) bool {
	return c.actsAsStandby(s, from, e, holder) && seq == s.receivedSeq+1
}

// actsAsStandby reports whether this node is the unsealed standby of the holder
// in epoch e, and the message comes from the holder itself.
func (c *Claimer) actsAsStandby(s *shard, from cassiatally.NodeID, e cassiatally.Epoch, holder cassiatally.NodeRef) bool {
	return s.role == roleStandby && !s.sealed && s.inForce.Epoch == e && s.inForce.Holder == holder && holder.Node == from
}

// acknowledge sends the holder the last sequence number that was recorded. A
// message of an epoch that this node has not read yet gets no reply; the holder
// sends it again.
func (c *Claimer) acknowledge(s *shard, from cassiatally.NodeID, e cassiatally.Epoch, holder cassiatally.NodeRef, seq uint64) {
	if s == nil || e > s.inForce.Epoch {
		return
	}
	ack := cassiatally.ClaimAck{Shard: s.ref, Epoch: e, From: c.self}
	switch {
	case c.actsAsStandby(s, from, e, holder):
		ack.Seq = s.receivedSeq
	case c.faults.skipSeal:
		ack.Seq = seq
	default:
		ack.Sealed = true
	}
	c.send(from, ack)
}

// requestCopy informs the holder that this node knows its role as standby and has
// recorded nothing yet.
func (c *Claimer) requestCopy(s *shard) {
	c.send(s.inForce.Holder.Node, cassiatally.ClaimAck{Shard: s.ref, Epoch: s.inForce.Epoch, From: c.self})
}

func (c *Claimer) applyClaim(now cassiatally.Instant, s *shard, m cassiatally.Claim) {
	parts, err := cassiatally.ParseKey(m.Key)
	if err != nil || parts.Epoch < s.completeFrom || faultswitch.Off(faultswitch.StandbyRecord) {
		return
	}
	cl := s.claims[m.Key]
	if cl == nil {
		cl = &claim{key: m.Key, epoch: parts.Epoch, fingerprint: m.Fingerprint}
		s.claims[m.Key] = cl
	}
	cl.state = m.State
	if m.Answer != nil && cl.answer == nil {
		c.answers.put(now, cl, *m.Answer)
	}
}

// tickStandby begins a takeover when the holder is gone. It seals the epoch
// before the append, so that no claim is acknowledged after the state that this
// node takes over.
func (c *Claimer) tickStandby(now cassiatally.Instant, s *shard) {
	if _, live := c.member(s.inForce.Holder); live && !s.sealed {
		return
	}
	if !c.memberTableReady(now, s) {
		return
	}
	s.sealed = true
	next := s.inForce
	next.Epoch++
	next.Holder = c.self
	next.CompleteFrom = s.completeFrom
	if !s.copyComplete && !c.faults.partialCopy {
		next.CompleteFrom = s.inForce.Epoch
	}
	next.Standby = c.standbyFor(s, c.self)
	c.propose(now, s, next)
}
