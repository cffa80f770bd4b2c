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

func twoNodes() (a, b *registrar.Registrar) {
	start := func(id cassiatally.NodeID, address, seed cassiatally.Address) *registrar.Registrar {
		return registrar.New(registrar.Config{
			Self: cassiatally.NodeRef{Node: id, Incarnation: 1}, DataCentre: "dc", Address: address,
			Seeds: []cassiatally.Address{seed}, Interval: time.Second, SuspectAfter: 3 * time.Second, RemoveAfter: 10 * time.Second,
		}, rand.New(rand.NewPCG(1, 1)))
	}
	return start("a", "10.0.0.1:1", "10.0.0.2:1"), start("b", "10.0.0.2:1", "10.0.0.1:1")
}

// Guards against a node that cannot join through a seed address alone, a node that
// treats its own message as a newcomer's, and sheet versions that wait for a round.
func TestJoinBySeedAddress(t *testing.T) {
	is := is.New(t)
	a, b := twoNodes()
	actions := a.Tick(0)
	is.Equal(len(actions), 1)
	probe := actions[0].(cassiatally.SendAddress)
	is.Equal(probe.To, cassiatally.Address("10.0.0.2:1"))
	g := probe.Message.(cassiatally.Gossip)
	is.Equal(len(a.HandleGossip(0, g.From, g)), 0)
	for _, action := range b.HandleGossip(0, g.From, g) {
		if send, ok := action.(cassiatally.Send); ok && send.To == "a" {
			reply := send.Message.(cassiatally.Gossip)
			a.HandleGossip(0, reply.From, reply)
		}
	}
	address, found := a.View(0).Address("b")
	is.True(found)
	is.Equal(address, cassiatally.Address("10.0.0.2:1"))
	is.Equal(len(a.View(0).LogReaders), 2)
	is.Equal(a.View(0).LogReaders, b.View(0).LogReaders)
	sent := a.SetSheetVersion(0, 7)
	is.Equal(len(sent), 1)
	is.Equal(sent[0].(cassiatally.Send).Message.(cassiatally.Gossip).SheetVersion, cassiatally.Version(7))
	is.Equal(len(a.SetSheetVersion(0, 6)), 0)
}

// Guards against stale gossip that adds a removed member again, and against a
// tombstone that blocks a member that was only paused.
func TestTombstone(t *testing.T) {
	member := func(heartbeat uint64, inc cassiatally.Incarnation) cassiatally.Member {
		return cassiatally.Member{
			Ref: cassiatally.NodeRef{Node: "b", Incarnation: inc}, DataCentre: "dc", Address: "10.0.0.2:1",
			Heartbeat: heartbeat, Revision: 1,
		}
	}
	cases := []struct {
		name  string
		from  cassiatally.NodeRef
		in    cassiatally.Member
		added bool
	}{
		{"the same heartbeat", cassiatally.NodeRef{Node: "c"}, member(50, 7), false},
		{"a heartbeat that was in flight", cassiatally.NodeRef{Node: "c"}, member(55, 7), false},
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
			is.Equal(len(r.View(now).Members) == 2, c.added)
		})
	}
}

// Guards against a new crash report that waits for a round, while the request that
// caused the crash reaches more backend servers, and against a second immediate
// send of the same report.
func TestCrashReportsAreSentAtOnce(t *testing.T) {
	is := is.New(t)
	a, b := twoNodes()
	probe := a.Tick(0)[0].(cassiatally.SendAddress).Message.(cassiatally.Gossip)
	for _, action := range b.HandleGossip(0, probe.From, probe) {
		if send, ok := action.(cassiatally.Send); ok {
			reply := send.Message.(cassiatally.Gossip)
			a.HandleGossip(0, reply.From, reply)
		}
	}
	first := cassiatally.CrashReport{Fingerprint: 1, Reporter: probe.From, Crashes: 1}
	second := cassiatally.CrashReport{Fingerprint: 2, Reporter: probe.From, Crashes: 1}
	is.Equal(crashReportsTo(is, "b", a.SetCrashes([]cassiatally.CrashReport{first})), []cassiatally.CrashReport{first})
	is.Equal(len(a.SetCrashes([]cassiatally.CrashReport{first})), 0)
	is.Equal(crashReportsTo(is, "b", a.SetCrashes([]cassiatally.CrashReport{first, second})), []cassiatally.CrashReport{second})
	first.Crashes = 2
	is.Equal(crashReportsTo(is, "b", a.SetCrashes([]cassiatally.CrashReport{second, first})), []cassiatally.CrashReport{first})
	is.Equal(len(a.SetCrashes(nil)), 0)
}

func crashReportsTo(is *is.I, to cassiatally.NodeID, actions []cassiatally.Action) []cassiatally.CrashReport {
	is.Helper()
	is.Equal(len(actions), 1)
	send := actions[0].(cassiatally.Send)
	is.Equal(send.To, to)
	return send.Message.(cassiatally.Gossip).Crashes
}

// Guards against a restart of all nodes after which it takes rounds of gossip until an
// entry node has the endpoints of all members.
func TestStoredMembersAreInformedAtOnce(t *testing.T) {
	is := is.New(t)
	const now = cassiatally.Instant(time.Hour)
	member := func(n int, dc cassiatally.DataCentre) cassiatally.Member {
		id := cassiatally.NodeID(fmt.Sprint("n", n))
		return cassiatally.Member{
			Ref: cassiatally.NodeRef{Node: id, Incarnation: 1}, DataCentre: dc, Address: cassiatally.Address(fmt.Sprint("a", n)), Heartbeat: 1, Revision: 1,
		}
	}
	var stored []cassiatally.Member
	for n := range 8 {
		stored = append(stored, member(n, []cassiatally.DataCentre{"here", "there"}[n%2]))
	}
	r := registrar.New(registrar.Config{
		Self: stored[0].Ref, DataCentre: "here", Address: stored[0].Address, Interval: time.Second, SuspectAfter: 3 * time.Second, RemoveAfter: 10 * time.Second,
	}, rand.New(rand.NewPCG(1, 2)))
	announcements := func(actions []cassiatally.Action) map[cassiatally.NodeID]cassiatally.Endpoint {
		out := map[cassiatally.NodeID]cassiatally.Endpoint{}
		for _, a := range actions {
			s := a.(cassiatally.Send)
			for _, m := range s.Message.(cassiatally.Gossip).Members {
				if m.Ref == stored[0].Ref {
					out[s.To] = m.Endpoint
				}
			}
		}
		return out
	}
	is.Equal(len(announcements(r.MergeStored(now, stored))), 7)
	ready := cassiatally.Endpoint{Service: "depot-svc", Slots: 5, State: cassiatally.EndpointReady}
	is.Equal(len(announcements(r.SetEndpoint(now, ready))), 7)
	ready.Slots = 6
	is.True(len(announcements(r.SetEndpoint(now.Add(time.Minute), ready))) < 7) // later, gossip spreads it
}
