package claimer

import (
	"slices"

	"github.com/cassiatally/cassiatally/cassiatally"
)

type role uint8

const (
	roleNone role = iota
	roleHolder
	roleStandby
)

// shard is the state of one shard at this node.
type shard struct {
	ref        cassiatally.ShardRef
	inForce    cassiatally.Assignment
	role       role
	assignedAt cassiatally.Instant
	claims     map[cassiatally.Key]*claim
	// completeFrom is the lowest epoch of which this node has all claims.
	completeFrom cassiatally.Epoch
	// sealed is set when this node, as the standby, stopped recording claims of the
	// epoch before a takeover.
	sealed bool

	// receivedSeq is the last sequence number that the standby has recorded.
	receivedSeq uint64
	// copyComplete is set when the standby has received all parts of the copy.
	copyComplete bool

	outbox outbox
	// standbySealed is set when the standby has answered that it sealed the epoch
	// for a takeover.
	standbySealed bool

	proposal *cassiatally.Assignment
	// nextProposalAt is when the proposal may be appended again.
	nextProposalAt cassiatally.Instant
	rotating       bool
	rotationEpoch  cassiatally.Epoch
	rotatedAt      cassiatally.Instant
	// claimsSinceRotation counts the claims created since the last rotation.
	claimsSinceRotation int
}

func newShard(ref cassiatally.ShardRef) *shard {
	return &shard{ref: ref, claims: make(map[cassiatally.Key]*claim)}
}

func (s *shard) roleOf(self cassiatally.NodeRef) role {
	switch self {
	case s.inForce.Holder:
		return roleHolder
	case s.inForce.Standby:
		return roleStandby
	default:
		return roleNone
	}
}

// keys returns the keys in sorted order, so that the order of the actions is
// deterministic.
func (s *shard) keys() []cassiatally.Key {
	keys := make([]cassiatally.Key, 0, len(s.claims))
	for k := range s.claims {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func (s *shard) pendingCount() int {
	n := 0
	for _, cl := range s.claims {
		if cl.state == cassiatally.ClaimPending {
			n++
		}
	}
	return n
}
