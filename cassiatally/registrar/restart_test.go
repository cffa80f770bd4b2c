package registrar_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/registrar"
)

// Guards against a restarted node that has to wait for rounds of gossip until it knows
// the endpoints: its peers have its earlier incarnation in their tables and took it for
// one that knows them. Found in a replay of trouble-1 of the large site, in which runs
// beside restarted nodes failed for up to 3 s because their onward calls were refused.
func TestRestartedNodeGetsTheMembersAtOnce(t *testing.T) {
	is := is.New(t)
	const now = cassiatally.Instant(time.Hour)
	member := func(n int, incarnation cassiatally.Incarnation) cassiatally.Member {
		id := cassiatally.NodeID(fmt.Sprint("n", n))
		return cassiatally.Member{
			Ref: cassiatally.NodeRef{Node: id, Incarnation: incarnation}, DataCentre: "here",
			Address: cassiatally.Address(fmt.Sprint("a", n)), Heartbeat: 1, Revision: 1,
			Endpoint: cassiatally.Endpoint{Service: "avail-svc", State: cassiatally.EndpointReady},
		}
	}
	start := func(self cassiatally.Member) *registrar.Registrar {
		return registrar.New(registrar.Config{
			Self: self.Ref, DataCentre: "here", Address: self.Address, Interval: time.Second, SuspectAfter: 3 * time.Second, RemoveAfter: 10 * time.Second,
		}, rand.New(rand.NewPCG(1, 2)))
	}
	peer := start(member(0, 1))
	var all []cassiatally.Member
	for n := range 8 {
		all = append(all, member(n, 1))
	}
	peer.MergeStored(now, all)

	restarted := start(member(1, 2))
	// The store has the addresses of the members, not their endpoints.
	var stored []cassiatally.Member
	for _, m := range all {
		m.Endpoint = cassiatally.Endpoint{}
		m.Revision = 0
		stored = append(stored, m)
	}
	for _, a := range restarted.MergeStored(now, stored) {
		s := a.(cassiatally.Send)
		if s.To != "n0" {
			continue
		}
		g := s.Message.(cassiatally.Gossip)
		for _, answer := range peer.HandleGossip(now, g.From, g) {
			if s, ok := answer.(cassiatally.Send); ok && s.To == "n1" {
				reply := s.Message.(cassiatally.Gossip)
				restarted.HandleGossip(now, reply.From, reply)
			}
		}
	}
	known := 0
	for _, c := range restarted.View(now).Candidates {
		if c.Service == "avail-svc" && c.Ref.Node != "n1" {
			known++
		}
	}
	is.True(known >= 6) // all but the peer's own, which it has not announced
}
