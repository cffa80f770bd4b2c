package claimer

import (
	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/faultswitch"
)

// HandleClaimUpdate records a claim as the standby.
func (c *Claimer) HandleClaimUpdate(now cassiatally.Instant, from cassiatally.NodeID, m cassiatally.ClaimUpdate) []cassiatally.Action {
	s := c.shard(m.Shard)
	if s != nil && c.accepts(s, from, m.Epoch, m.From, m.Seq) && s.copied {
		s.received = m.Seq
		c.apply(now, s, m.Claim)
	}
	c.acknowledge(s, from, m.Epoch, m.From, m.Seq)
	return c.take()
}

// HandleClaimCopy records a part of the claims of a shard as its new standby.
func (c *Claimer) HandleClaimCopy(now cassiatally.Instant, from cassiatally.NodeID, m cassiatally.ClaimCopy) []cassiatally.Action {
	s := c.shard(m.Shard)
	if s != nil && c.accepts(s, from, m.Epoch, m.From, m.Seq) && !s.copied {
		s.received = m.Seq
		s.completeFrom = max(s.completeFrom, m.CompleteFrom)
		for _, cl := range m.Claims {
			c.apply(now, s, cl)
		}
		s.copied = m.Last
	}
	c.acknowledge(s, from, m.Epoch, m.From, m.Seq)
	return c.take()
}

// accepts reports whether a message is the next one of the epoch in force.
func (c *Claimer) accepts(s *shard, from cassiatally.NodeID, e cassiatally.Epoch, holder cassiatally.NodeRef, seq uint64) bool {
	return c.standsBy(s, from, e, holder) && seq == s.received+1
}

func (c *Claimer) standsBy(s *shard, from cassiatally.NodeID, e cassiatally.Epoch, holder cassiatally.NodeRef) bool {
	return s.role == roleStandby && !s.sealed && s.current.Epoch == e && s.current.Holder == holder && holder.Node == from
}

// acknowledge tells the holder how far its messages were recorded. A message of
// an epoch that is not known yet gets no reply; the holder sends it again.
func (c *Claimer) acknowledge(s *shard, from cassiatally.NodeID, e cassiatally.Epoch, holder cassiatally.NodeRef, seq uint64) {
	if s == nil || e > s.current.Epoch {
		return
	}
	ack := cassiatally.ClaimAck{Shard: s.ref, Epoch: e, From: c.self}
	switch {
	case c.standsBy(s, from, e, holder):
		ack.Seq = s.received
	case c.faults.skipSeal:
		ack.Seq = seq
	default:
		ack.Sealed = true
	}
	c.send(from, ack)
}

func (c *Claimer) apply(now cassiatally.Instant, s *shard, m cassiatally.Claim) {
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

// tickStandby begins a takeover when the holder is gone. Sealing comes before
// the append, so that no claim is acknowledged that the next holder would miss.
func (c *Claimer) tickStandby(now cassiatally.Instant, s *shard) {
	if !c.trusts(now, s) {
		return
	}
	if _, live := c.member(s.current.Holder); live && !s.sealed {
		return
	}
	s.sealed = true
	next := s.current
	next.Epoch++
	next.Holder = c.self
	next.CompleteFrom = s.completeFrom
	if !s.copied && !c.faults.partialCopy {
		next.CompleteFrom = next.Epoch
	}
	next.Standby = c.standbyFor(s, c.self)
	c.propose(now, s, next)
}
