package registrar

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	// rings is the number of hash rings of the members of a data centre. A node gossips
	// with its neighbours on each ring, at most 10 partners. Each ring connects all
	// members, and several rings together have short paths. With random peers, a node
	// kept links to all members of its data centre.
	rings = 5
	// foreignPartners bounds the partners in other data centres, at most one in each.
	foreignPartners = 4
	// randomPeerProbability is the probability that a round goes to a random member
	// instead of a partner, so that nodes whose tables differ find each other.
	randomPeerProbability = 0.05
	// foreignRandomPeerProbability is higher, since only messages between data centres
	// add the nodes of each to the tables of the other. With 0.05, four data centres of
	// 16 nodes with one seed needed 2 minutes until all were connected.
	foreignRandomPeerProbability = 0.5
)

// ringPositionsOf returns the positions of a node on the rings. All nodes compute the
// same ones.
func ringPositionsOf(id cassiatally.NodeID) (positions [rings]uint64) {
	for i := range positions {
		positions[i] = xxhash.Sum64String("ring" + strconv.Itoa(i) + "\x00" + string(id))
	}
	return positions
}

// partners returns the members that this node gossips with, sorted by name. Suspects
// are left out, so that a ring closes around a failed member.
func (r *Registrar) partners(local bool) []cassiatally.NodeID {
	var ids []cassiatally.NodeID
	if local {
		ids = r.neighbours()
	} else {
		ids = r.foreignGateways()
	}
	if len(ids) == 0 {
		// Suspects may be alive, and there are no other members.
		ids = r.peers(local)
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// neighbours returns the next and the previous member on each ring, with repetitions.
func (r *Registrar) neighbours() []cassiatally.NodeID {
	var next, previous [rings]*entry
	for _, e := range r.table {
		if e.member.DataCentre != r.cfg.DataCentre || r.suspected(r.lastEvent, e) {
			continue
		}
		for i, own := range r.ringPositions {
			// Distances wrap around, and so does the subtraction.
			if next[i] == nil || e.ringPositions[i]-own < next[i].ringPositions[i]-own {
				next[i] = e
			}
			if previous[i] == nil || own-e.ringPositions[i] < own-previous[i].ringPositions[i] {
				previous[i] = e
			}
		}
	}
	ids := make([]cassiatally.NodeID, 0, 2*rings)
	for i := range rings {
		if next[i] != nil {
			ids = append(ids, next[i].member.Ref.Node, previous[i].member.Ref.Node)
		}
	}
	return ids
}

// foreignGateways returns the members of other data centres with the lowest
// scores, one of each data centre. Scores differ between nodes, so that the nodes
// of a data centre reach all others together.
func (r *Registrar) foreignGateways() []cassiatally.NodeID {
	best := map[cassiatally.DataCentre]*entry{}
	for _, e := range r.table {
		dc := e.member.DataCentre
		if dc == r.cfg.DataCentre || r.suspected(r.lastEvent, e) {
			continue
		}
		if b := best[dc]; b == nil || e.score < b.score {
			best[dc] = e
		}
	}
	chosen := make([]*entry, 0, len(best))
	for _, e := range best {
		chosen = append(chosen, e)
	}
	slices.SortFunc(chosen, func(a, b *entry) int { return cmp.Compare(a.score, b.score) })
	var ids []cassiatally.NodeID
	for _, e := range chosen[:min(len(chosen), foreignPartners)] {
		ids = append(ids, e.member.Ref.Node)
	}
	return ids
}

// rotation selects the partners in turn, so that all of them receive equally many
// messages.
type rotation struct{ remaining []cassiatally.NodeID }

// roundPeers returns the peers that get a message in this gossip round.
func (r *Registrar) roundPeers(local bool) []cassiatally.NodeID {
	turn, n := &r.foreign, foreignPeers
	if local {
		turn, n = &r.local, localPeers
	}
	partners := r.partners(local)
	out := turn.next(partners, min(n, len(partners)), r.pickRandom)
	chance := randomPeerProbability
	if !local {
		chance = foreignRandomPeerProbability
	}
	if len(out) > 0 && r.rand.Float64() < chance {
		if random := r.pickRandom(r.peers(local), 1); !slices.Contains(out, random[0]) {
			out[0] = random[0]
		}
	}
	return out
}

func (t *rotation) next(partners []cassiatally.NodeID, n int, pick func([]cassiatally.NodeID, int) []cassiatally.NodeID) []cassiatally.NodeID {
	var out []cassiatally.NodeID
	for len(out) < n {
		if len(t.remaining) == 0 {
			t.remaining = pick(slices.Clone(partners), len(partners))
		}
		id := t.remaining[0]
		t.remaining = t.remaining[1:]
		if slices.Contains(partners, id) && !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	return out
}
