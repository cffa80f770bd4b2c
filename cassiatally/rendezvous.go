package cassiatally

import (
	"cmp"
	"net"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rendezvous returns the members sorted by their rendezvous hash for the subject. All
// nodes with the same members get the same order, and the removal of a member does
// not change the order of the others.
func Rendezvous(subject string, members []Member) []Member {
	type scored struct {
		score  uint64
		member Member
	}
	all := make([]scored, 0, len(members))
	for _, m := range members {
		score := xxhash.Sum64String(subject + "\x00" + string(m.Ref.Node))
		all = append(all, scored{score, m})
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.member.Ref.Node, b.member.Ref.Node))
	})
	ordered := make([]Member, 0, len(all))
	for _, s := range all {
		ordered = append(ordered, s.member)
	}
	return ordered
}

// StandbyFor returns the first member in rendezvous order that can be the standby of
// a holder: on another host, and not leaving. It returns false when there is none.
func StandbyFor(s ShardRef, holder Member, members []Member) (Member, bool) {
	for _, m := range Rendezvous(s.String(), members) {
		if m.Ref.Node != holder.Ref.Node && !m.Leaving && !sameHost(m.Address, holder.Address) {
			return m, true
		}
	}
	return Member{}, false
}

// sameHost treats loopback addresses as separate hosts, since test nodes share
// one machine.
func sameHost(a, b Address) bool {
	hostA, _, errA := net.SplitHostPort(string(a))
	hostB, _, errB := net.SplitHostPort(string(b))
	if errA != nil || errB != nil || hostA != hostB {
		return false
	}
	ip := net.ParseIP(hostA)
	return ip == nil || !ip.IsLoopback()
}
