package assigner

import (
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// newPair returns the first assignment of an orphaned shard once it is this
// node's turn to append it.
func (a *Assigner) newPair(now cassiatally.Instant, id cassiatally.ShardID) (cassiatally.Assignment, bool) {
	s := &a.shards[id]
	// Only a reader of the log can detect that a shard has no assignment at all.
	unassigned := !a.hasBase(s) || s.inForce.Epoch == 0
	if (unassigned && !a.caughtUp) || !a.unpaired(s) {
		s.orphan = false
		return cassiatally.Assignment{}, false
	}
	if !s.orphan {
		s.orphan = true
		s.orphanSince = now
	}
	ref := cassiatally.ShardRef{DataCentre: a.dc, Shard: id}
	order := notLeaving(cassiatally.Rendezvous(ref.String(), a.live))
	turn := a.turn(order)
	based := a.hasBase(s)
	wait := time.Duration(turn) * turnDelay
	if unassigned {
		wait = min(wait, maxReaderDelay)
	}
	switch {
	case !based:
		wait += rebaseGrace
	case s.inForce.Epoch > 0:
		wait += orphanGrace
	}
	if turn < 0 || !now.Reached(s.orphanSince.Add(wait)) {
		return cassiatally.Assignment{}, false
	}
	standby, ok := cassiatally.StandbyFor(ref, order[0], order)
	epoch := s.inForce.Epoch + 1
	pair := cassiatally.Assignment{Shard: ref, Holder: order[0].Ref, Standby: standby.Ref}
	if !based {
		epoch = epochAbove(a.next)
		pair.Reappend = true
		pair.ReadTo = a.next
	}
	pair.Epoch = epoch
	pair.CompleteFrom = epoch
	return pair, ok
}

// unpaired reports whether neither holder nor standby is live, or whether they
// are uncertain because there is no base.
func (a *Assigner) unpaired(s *shard) bool {
	return !a.hasBase(s) || !a.isLive(s.inForce.Holder) && !a.isLive(s.inForce.Standby)
}

func (a *Assigner) isLive(ref cassiatally.NodeRef) bool {
	for i := range a.live {
		if a.live[i].Ref == ref {
			return true
		}
	}
	return false
}

// turn returns the position of this node in the order, or -1.
func (a *Assigner) turn(order []cassiatally.Member) int {
	for i := range order {
		if order[i].Ref == a.self {
			return i
		}
	}
	return -1
}

func notLeaving(members []cassiatally.Member) []cassiatally.Member {
	var stay []cassiatally.Member
	for _, m := range members {
		if !m.Leaving {
			stay = append(stay, m)
		}
	}
	return stay
}
