package registrar_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/registrar"
)

// BenchmarkView measures a view of the member table and the memory of the table, for
// one data centre of 132 nodes, and for it and 24 others with 210 services.
func BenchmarkView(b *testing.B) {
	for name, foreign := range map[string]int{"own_data_centre": 0, "target_size": 3168} {
		b.Run(name, func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			r := registrarWith(foreign)
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			b.ResetTimer()
			members := 0
			for range b.N {
				members = len(r.View(0).Members)
			}
			b.ReportMetric(float64(members), "members")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(members), "B/member")
			runtime.KeepAlive(r)
		})
	}
}

// BenchmarkSecond measures the work of one second of gossip in a data centre of 132
// nodes, without encoding: a round, four messages with heartbeats, and a view.
func BenchmarkSecond(b *testing.B) {
	r := registrarWith(0)
	now := cassiatally.Instant(0)
	b.ReportAllocs()
	b.ResetTimer()
	for n := range b.N {
		now = now.Add(time.Second)
		r.Tick(now)
		for k := range 4 {
			r.HandleGossip(now, cassiatally.NodeRef{Node: "peer", Incarnation: 1}, heartbeats(k, uint64(n)+2))
		}
		r.View(now)
	}
}

// heartbeats returns a message with the heartbeat entries of the members of the first
// quarter up to quarter last, of four.
func heartbeats(last int, heartbeat uint64) cassiatally.Gossip {
	var g cassiatally.Gossip
	for i := range 131 {
		if i%4 <= last {
			g.Members = append(g.Members, cassiatally.Member{
				Ref: cassiatally.NodeRef{Node: cassiatally.NodeID(fmt.Sprintf("node-%d", i)), Incarnation: 1}, Heartbeat: heartbeat, Revision: 1,
			})
		}
	}
	return g
}

// registrarWith returns a registrar that received full entries of 131 members of its
// own data centre and of a number of foreign ones.
func registrarWith(foreign int) *registrar.Registrar {
	r := registrar.New(registrar.Config{
		Self: cassiatally.NodeRef{Node: "self", Incarnation: 1}, DataCentre: "dc-0", Address: "10.0.0.1:1",
		Interval: time.Second, SuspectAfter: 3 * time.Second, RemoveAfter: 10 * time.Second,
	}, rand.New(rand.NewPCG(1, 1)))
	for i := range 131 + foreign {
		dc := 0
		if i >= 131 {
			dc = 1 + (i-131)%24
		}
		r.HandleGossip(0, cassiatally.NodeRef{Node: "peer", Incarnation: 1}, cassiatally.Gossip{Members: []cassiatally.Member{member(i, dc)}})
	}
	return r
}

func member(i, dc int) cassiatally.Member {
	id := cassiatally.NodeID(fmt.Sprintf("node-%d", i))
	return cassiatally.Member{
		Ref: cassiatally.NodeRef{Node: id, Incarnation: 1}, DataCentre: cassiatally.DataCentre(fmt.Sprintf("dc-%d", dc)),
		Address: cassiatally.Address(fmt.Sprintf("10.%d.0.1:%d", dc, i)), Heartbeat: 1, Revision: 1,
		Endpoint: cassiatally.Endpoint{
			Service: cassiatally.Service(fmt.Sprintf("service-%d", i%210)), Slots: 100, State: cassiatally.EndpointReady,
			Load: cassiatally.EndpointLoad{Node: id, Limit: 100}, Levels: make([]cassiatally.Level, cassiatally.MaxRanks),
		},
	}
}
