package registrar_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/registrar"
)

// Guards against stale gossip that revives a removed member, and against a
// tombstone that keeps out a member that was only paused.
func TestTombstone(t *testing.T) {
	member := func(heartbeat uint64, inc cassiatally.Incarnation) cassiatally.Member {
		return cassiatally.Member{
			Ref: cassiatally.NodeRef{Node: "b", Incarnation: inc}, DataCentre: "dc", Address: "10.0.0.2:1",
			Heartbeat: heartbeat, Revision: 1,
		}
	}
	cases := []struct {
		name string
		from cassiatally.NodeRef
		in   cassiatally.Member
		back bool
	}{
		{"the same heartbeat", cassiatally.NodeRef{Node: "c"}, member(50, 7), false},
		{"a heartbeat that was under way", cassiatally.NodeRef{Node: "c"}, member(55, 7), false},
		{"an older incarnation", cassiatally.NodeRef{Node: "c"}, member(900, 6), false},
		{"a heartbeat that grew since", cassiatally.NodeRef{Node: "c"}, member(60, 7), true},
		{"the member itself", cassiatally.NodeRef{Node: "b", Incarnation: 7}, member(51, 7), true},
		{"a newer incarnation", cassiatally.NodeRef{Node: "c"}, member(1, 8), true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := registrar.New(registrar.Config{
				Self: cassiatally.NodeRef{Node: "a", Incarnation: 1}, DataCentre: "dc", Address: "10.0.0.1:1",
				Interval: time.Second, SuspectAfter: 3 * time.Second, RemoveAfter: 10 * time.Second,
			}, rand.New(rand.NewPCG(1, 1)))
			r.HandleGossip(0, cassiatally.NodeRef{Node: "c"}, cassiatally.Gossip{Members: []cassiatally.Member{member(50, 7)}})
			is.Equal(len(r.View(0).Members), 2)
			is.Equal(len(r.View(cassiatally.Instant(4*time.Second)).Suspects), 1)
			now := cassiatally.Instant(11 * time.Second)
			r.Tick(now)
			is.Equal(len(r.View(now).Members), 1)
			r.HandleGossip(now, c.from, cassiatally.Gossip{Members: []cassiatally.Member{c.in}})
			is.Equal(len(r.View(now).Members) == 2, c.back)
		})
	}
}
