package protocol_test

import (
	"fmt"
	"testing"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/protocol"
)

// BenchmarkGossip measures a round message with 50 beats, every fourth of them
// with a load.
func BenchmarkGossip(b *testing.B) {
	codec, err := protocol.New()
	if err != nil {
		b.Fatal(err)
	}
	g := cassiatally.Gossip{From: cassiatally.NodeRef{Node: "backend-host-0001", Incarnation: 1 << 50}, Sheet: 70}
	for i := range 50 {
		m := cassiatally.Member{
			Ref:       cassiatally.NodeRef{Node: cassiatally.NodeID(fmt.Sprintf("backend-host-%04d", i)), Incarnation: 1 << 50},
			Heartbeat: 1000, Revision: 3, Sheet: 70,
		}
		if i%4 == 0 {
			m.Endpoint.Load = cassiatally.EndpointLoad{Limit: 90, InFlight: 57, Queued: 12, Typical: 12345678}
			m.Endpoint.Levels = []cassiatally.Level{1, 1, 0.93, 0.12}
		}
		g.Members = append(g.Members, m)
	}
	frame, err := codec.Encode(g)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("encode", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			_, _ = codec.Encode(g)
		}
	})
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			_, _ = codec.Decode(frame)
		}
	})
}
