package executor_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/admitter"
	"github.com/cassiatally/cassiatally/cassiatally/fixedlimiter"
	"github.com/cassiatally/cassiatally/cassiatally/quarantiner"
	"github.com/cassiatally/cassiatally/cassiatally/runner"
	"github.com/cassiatally/cassiatally/cassiatally/sysclock"
	"github.com/cassiatally/cassiatally/node/executor"
)

// heldBackend is a backend server whose runs last until release is closed.
type heldBackend struct{ started, release chan struct{} }

func (b heldBackend) Do(ctx context.Context, _ cassiatally.BackendTarget, _ cassiatally.Call) cassiatally.RunResult {
	close(b.started)
	select {
	case <-b.release:
	case <-ctx.Done():
	}
	return cassiatally.RunResult{Kind: cassiatally.ResultAnswered, Status: 200}
}

// answers passes on the answers that are sent to other nodes.
type answers chan cassiatally.Answer

func (a answers) Send(_ cassiatally.NodeID, m cassiatally.Message) error {
	if answer, ok := m.(cassiatally.Answer); ok {
		a <- answer
	}
	return nil
}

// Guards against a node that stops during a run that it was starting when the stop began.
func TestDrainedCountsACallThatIsBeingStarted(t *testing.T) {
	is := is.New(t)
	self := cassiatally.NodeRef{Node: "b", Incarnation: 1}
	backend := heldBackend{started: make(chan struct{}), release: make(chan struct{})}
	sent := make(answers, 1)
	starting, start := make(chan struct{}), make(chan struct{})
	quarantine := quarantiner.New(self)
	x := &executor.Executor{
		Runner:     runner.New(self, &admitter.Admitter{}, &fixedlimiter.Limiter{}, quarantine, func() cassiatally.CallID { return cassiatally.CallID{} }),
		Quarantine: quarantine, Clock: sysclock.New(), Transport: sent, Backend: backend, Logger: log.New(io.Discard),
		AnnounceTTL: time.Minute,
		OnQueueWait: func(cassiatally.Rank, time.Duration) { // the duty calls it before it starts the run
			close(starting)
			select {
			case <-start:
			case <-t.Context().Done():
			}
		},
		OnEndpoint: func(cassiatally.Endpoint, []cassiatally.CrashReport) {},
	}
	x.Run()
	t.Cleanup(x.Close)
	is.True(x.Announce(cassiatally.Announcement{
		Address: "127.0.0.1:1", Instance: "i-1",
		Endpoint: cassiatally.Endpoint{Service: "avail-svc", State: cassiatally.EndpointReady, Slots: 8},
	}))
	is.True(x.Call("a", cassiatally.Call{
		ID: cassiatally.CallID{Origin: 1, Seq: 1}, Service: "avail-svc", Work: "avail", Remaining: time.Minute, Idempotent: true,
	}))
	<-starting
	x.Leave()
	is.True(!x.Drained()) // the run is about to start
	close(start)
	<-backend.started
	is.True(!x.Drained()) // the run is in flight
	close(backend.release)
	is.Equal((<-sent).Outcome, cassiatally.OutcomeRan)
	for deadline := time.Now().Add(20 * time.Second); !x.Drained(); {
		if time.Now().After(deadline) {
			t.Fatal("not drained within 20 s of the answer")
		}
		time.Sleep(time.Millisecond)
	}
}
