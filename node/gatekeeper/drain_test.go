package gatekeeper_test

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/protocol"
	"github.com/cassiatally/cassiatally/node/gatekeeper"
	"github.com/cassiatally/cassiatally/node/linker"
)

// Guards against a node that stops while its answers wait for another node that reads them
// slowly, and cuts them off.
func TestDrainWaitsForSlowNodes(t *testing.T) {
	const (
		calls     = 40
		bodyBytes = 1 << 20
		readTime  = 50 * time.Millisecond
	)
	is := is.New(t)
	body := make([]byte, bodyBytes)
	var runs atomic.Int32
	avail := &backend{run: func(context.Context, cassiatally.Call) cassiatally.RunResult {
		runs.Add(1)
		return cassiatally.RunResult{Kind: cassiatally.ResultAnswered, Status: 200, Body: body}
	}}
	f := &fleet{store: newStore()}
	f.store.publish(table(3))
	// The host has room for all answers at the same time.
	b := f.add(t, gatekeeper.Settings{Node: "b", Service: "avail-svc", Memory: 16 * calls * bodyBytes}, avail, false)
	is.True(b.Report(context.Background(), report("avail-svc", cassiatally.EndpointReady, 1)))

	whole := make(chan cassiatally.CallID, calls)
	peer := slowPeer(t, f, func(a cassiatally.Answer) {
		time.Sleep(readTime)
		if a.Outcome == cassiatally.OutcomeRan && len(a.Body) == bodyBytes {
			whole <- a.ID
		}
	})
	for i := range uint64(calls) {
		is.NoErr(peer.Send("b", cassiatally.Call{
			ID: cassiatally.CallID{Origin: 7, Seq: i}, Service: "avail-svc", Work: "avail", Remaining: time.Minute,
			Head: cassiatally.Head{Method: "GET", Target: "/"}, Digest: cassiatally.DigestOf(nil),
		}))
	}
	eventually(t, "all calls have run", func() bool { return runs.Load() == calls })
	for range 2 {
		<-whole // answers are on their way
	}
	b.Drain(context.Background(), patientPlan)
	b.Close()
	for range calls - 2 {
		select {
		case <-whole:
		case <-time.After(20 * time.Second):
			t.Fatal("an answer was cut off")
		}
	}
}

// slowPeer returns the links of another node, which has a function handle each answer
// before it reads the next one.
func slowPeer(t *testing.T, f *fleet, handle func(cassiatally.Answer)) *linker.Linker {
	t.Helper()
	codec, err := protocol.New()
	if err != nil {
		t.Fatal(err)
	}
	peer := &linker.Linker{
		Self: cassiatally.NodeRef{Node: "peer", Incarnation: 1}, DataCentre: "here", Listen: "127.0.0.1:0",
		Codec: codec, Logger: log.New(io.Discard), Heartbeat: 100 * time.Millisecond, DeadAfter: time.Minute, RingSize: 64,
		AddressOf: func(n cassiatally.NodeID) (cassiatally.Address, bool) {
			f.store.mu.Lock()
			defer f.store.mu.Unlock()
			m, ok := f.store.members[n]
			return m.Address, ok
		},
		Inbound: func(_ cassiatally.NodeRef, m cassiatally.Message) {
			if a, ok := m.(cassiatally.Answer); ok {
				handle(a)
			}
		},
		Lost:        func(cassiatally.NodeRef) {},
		Undelivered: func(cassiatally.NodeID, cassiatally.Message) {},
	}
	if err := peer.OpenListener(); err != nil {
		t.Fatal(err)
	}
	peer.Run()
	t.Cleanup(peer.Close)
	eventually(t, "the node has saved its address", func() bool {
		_, ok := peer.AddressOf("b")
		return ok
	})
	return peer
}
