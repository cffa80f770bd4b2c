package protocol_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/protocol"
)

// BenchmarkGossip encodes and decodes the gossip message of one round with the
// heartbeats of 50 members, every fourth of them with a load.
func BenchmarkGossip(b *testing.B) {
	codec, err := protocol.New()
	if err != nil {
		b.Fatal(err)
	}
	g := cassiatally.Gossip{From: cassiatally.NodeRef{Node: "backend-host-0001", Incarnation: 1 << 50}, SheetVersion: 70}
	for i := range 50 {
		m := cassiatally.Member{
			Ref:       cassiatally.NodeRef{Node: cassiatally.NodeID(fmt.Sprintf("backend-host-%04d", i)), Incarnation: 1 << 50},
			Heartbeat: 1000, Revision: 3, SheetVersion: 70,
		}
		if i%4 == 0 {
			m.Endpoint.Load = cassiatally.EndpointLoad{Limit: 90, InFlight: 57, Queued: 12, TypicalSelfTime: 12345678}
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

// BenchmarkRequest encodes and decodes a call and its answer as the barrier
// deployment sends them, and reports the bytes of both frames without the bodies.
func BenchmarkRequest(b *testing.B) {
	c, err := protocol.New()
	if err != nil {
		b.Fatal(err)
	}
	body := make([]byte, 1500)
	call := cassiatally.Call{
		ID: cassiatally.CallID{Origin: 1 << 60, Seq: 1 << 20}, Service: "yeje52a", Work: "r-bn56694", Rank: 1, Order: 0.31, Idempotent: true,
		Remaining: 5 * time.Second, Retries: 16, Attempt: 1, Caller: "miye86b", Name: "4500ad30f8dd716d.87fdd7ed2e6bdae1",
		Head: cassiatally.Head{Method: "GET", Target: "/leny950/2f", Fields: []cassiatally.Field{
			{Name: "Host", Value: "hulo84.example"}, {Name: "Request-Id", Value: "4500ad30f8dd716d.87fdd7ed2e6bdae1"}, {Name: "Request-Timeout", Value: "5000"},
		}},
		Digest: cassiatally.DigestOf(nil),
	}
	answer := cassiatally.Answer{
		ID: call.ID, Request: call.Tag(), Outcome: cassiatally.OutcomeRan, Status: 200, Body: body, Digest: cassiatally.DigestOf(body),
		Fields:   []cassiatally.Field{{Name: "Request-Id", Value: string(call.Name)}, {Name: "Content-Digest", Value: "3e1b.07.5a2.600.0.c9f2a4d1"}},
		Endpoint: cassiatally.EndpointLoad{Node: "sidecar-zone-a-1", Limit: 127, InFlight: 20, TypicalSelfTime: time.Second},
		Loads: []cassiatally.ServiceLoad{
			{Service: "yeje52a", Weight: 127, Levels: make([]cassiatally.Level, cassiatally.MaxRanks)},
			{Service: "tiye53d", Weight: 17, Levels: make([]cassiatally.Level, cassiatally.MaxRanks)},
		},
	}
	bytes := 0
	b.ReportAllocs()
	for b.Loop() {
		bytes = 0
		for _, m := range []cassiatally.Message{call, answer} {
			frame, err := c.Encode(m)
			if err != nil {
				b.Fatal(err)
			}
			if _, err := c.Decode(frame); err != nil {
				b.Fatal(err)
			}
			bytes += len(frame)
		}
	}
	b.ReportMetric(float64(bytes-len(body)), "overhead-bytes")
}
