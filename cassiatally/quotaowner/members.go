package quotaowner

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// maxCandidates is the number of candidates of a data centre.
const maxCandidates = 3

// Members is what a node knows of the members.
type Members struct {
	// Local has the candidates of the own data centre.
	Local []cassiatally.QuotaCandidate
	// Gateways has the known members of other data centres.
	Gateways []cassiatally.QuotaCandidate
	// Live is the number of members of the own data centre that are not suspected, and
	// Known includes suspects. Both include this node.
	Live, Known int
	// Nodes has the members that Live counts, sorted.
	Nodes []cassiatally.NodeID
}

// MembersOf derives the candidates from a member table that includes this node. The
// members of a data centre all know each other, so they agree on its candidates.
func MembersOf(self cassiatally.QuotaCandidate, members []cassiatally.Member, suspects []cassiatally.NodeRef) Members {
	var m Members
	var local []cassiatally.Member
	for _, member := range members {
		switch {
		case member.Leaving:
		case member.DataCentre != self.DataCentre:
			m.Gateways = append(m.Gateways, candidateOf(member))
		default:
			m.Known++
			if !slices.Contains(suspects, member.Ref) {
				local = append(local, member)
				m.Nodes = append(m.Nodes, member.Ref.Node)
			}
		}
	}
	m.Live = len(local)
	slices.Sort(m.Nodes)
	for _, member := range cassiatally.Rendezvous("quota\x00"+string(self.DataCentre), local) {
		if len(m.Local) < maxCandidates {
			m.Local = append(m.Local, candidateOf(member))
		}
	}
	return m
}

func candidateOf(m cassiatally.Member) cassiatally.QuotaCandidate {
	return cassiatally.QuotaCandidate{Node: m.Ref.Node, DataCentre: m.DataCentre, Address: m.Address}
}

// Order sorts candidates in the rendezvous order of a tenant.
func Order(t cassiatally.Tenant, candidates []cassiatally.QuotaCandidate) []cassiatally.QuotaCandidate {
	sorted := slices.Clone(candidates)
	slices.SortFunc(sorted, func(a, b cassiatally.QuotaCandidate) int {
		return cmp.Or(cmp.Compare(Score(t, a.Node), Score(t, b.Node)), cmp.Compare(a.Node, b.Node))
	})
	return sorted
}

// Score is the rendezvous hash of a node for a tenant. Equal hashes of two nodes are
// left out of account, at 64 bits.
func Score(t cassiatally.Tenant, n cassiatally.NodeID) uint64 {
	return xxhash.Sum64String(string(t) + "\x00" + string(n))
}
