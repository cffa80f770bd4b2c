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
	ref     cassiatally.ShardRef
	current cassiatally.Assignment
	role    role
	since   cassiatally.Instant
	claims  map[cassiatally.Key]*claim
	// completeFrom is the lowest epoch whose claims are all known here.
	completeFrom cassiatally.Epoch
	// sealed tells that this node acknowledges nothing of the epoch any more.
	sealed bool

	// received is, at a standby, the last sequence number recorded.
	received uint64
	// copied tells that the standby has the whole copy of the claims.
	copied bool

	outbox outbox
	// peerSealed tells that the standby has begun a takeover.
	peerSealed bool

	proposal   *cassiatally.Assignment
	proposedAt cassiatally.Instant
	rotating   bool
	rotation   cassiatally.Epoch
	rotatedAt  cassiatally.Instant
	// minted counts the claims made since the last rotation.
	minted int
}

func newShard(ref cassiatally.ShardRef) *shard {
	return &shard{ref: ref, claims: make(map[cassiatally.Key]*claim)}
}

func (s *shard) roleOf(self cassiatally.NodeRef) role {
	switch self {
	case s.current.Holder:
		return roleHolder
	case s.current.Standby:
		return roleStandby
	default:
		return roleNone
	}
}

// keys returns the keys in a fixed order, so that equal histories produce equal
// actions.
func (s *shard) keys() []cassiatally.Key {
	keys := make([]cassiatally.Key, 0, len(s.claims))
	for k := range s.claims {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func (s *shard) pending() int {
	n := 0
	for _, cl := range s.claims {
		if cl.state == cassiatally.ClaimPending {
			n++
		}
	}
	return n
}
