// Package drainer counts the runs that a backend server has in flight, announces
// its state, and withdraws it from its node once it is drained.
//
// # Usage
//
//	d := &drainer.Drainer{Announce: announce, Withdraw: withdraw}
//	d.Start(ctx)
//	d.RunStarted(ctx)
//	d.RunEnded()
//	d.Drain(ctx)
//	<-d.Drained()
//	d.Close()
package drainer

import (
	"context"
	"sync"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/ring"
)

const inboxCapacity = 4096

// drainIdleTime is the time without any event after which a drain with no run in
// flight is complete. A node that still has queued calls sends the next one well
// within it.
const drainIdleTime = time.Second

type event uint8

const (
	eventRunStarted event = iota
	eventRunEnded
	eventDrain
	eventReady
)

// Drainer is the duty that counts the runs in flight.
type Drainer struct {
	// Announce sends the state to the node. It does not return an error, since the
	// announcer sends the state again at every interval.
	Announce func(ctx context.Context, s cassiatally.EndpointState)
	// Withdraw removes the backend server from the node.
	Withdraw func(ctx context.Context)

	inbox   *ring.Ring[event]
	drained chan struct{}
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

// Start starts the duty, which announces the backend server as ready and runs
// until Close even when ctx ends.
func (d *Drainer) Start(ctx context.Context) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	d.cancel = cancel
	d.inbox = ring.New[event](inboxCapacity, ring.Wait)
	d.drained = make(chan struct{})
	d.wg.Go(func() { d.run(ctx) })
}

// RunStarted counts a run as in flight. It returns false when ctx ends first or
// the drainer is closed.
func (d *Drainer) RunStarted(ctx context.Context) bool { return d.inbox.Push(ctx, eventRunStarted) }

// RunEnded removes a run from the count. It blocks while the ring is full, even
// when the context of the request has ended, since a lost end would keep the
// drain from completing.
func (d *Drainer) RunEnded() { d.inbox.Push(context.Background(), eventRunEnded) }

// Drain announces the state draining, and withdraws the backend server once no
// run is in flight. It returns false when ctx ends first or the drainer is closed.
func (d *Drainer) Drain(ctx context.Context) bool { return d.inbox.Push(ctx, eventDrain) }

// MarkReady announces the state ready and cancels a drain in progress. It returns
// false in the same cases as Drain.
func (d *Drainer) MarkReady(ctx context.Context) bool { return d.inbox.Push(ctx, eventReady) }

// Drained returns a channel that is closed when the first drain is complete.
func (d *Drainer) Drained() <-chan struct{} { return d.drained }

// Close ends the duty and waits for it.
func (d *Drainer) Close() {
	d.inbox.Close()
	d.cancel()
	d.wg.Wait()
}

func (d *Drainer) run(ctx context.Context) {
	d.Announce(ctx, cassiatally.EndpointReady)
	timer := time.NewTimer(drainIdleTime)
	defer timer.Stop()
	inFlight, draining := 0, false
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			if draining && inFlight == 0 {
				d.completeDrain(ctx)
				draining = false
			}
		case <-d.inbox.Ready():
			for _, e := range d.inbox.TakeAll(nil) {
				inFlight += inFlightChange(e)
				draining = d.applyState(ctx, e, draining)
			}
			timer.Reset(drainIdleTime)
		}
	}
}

func inFlightChange(e event) int {
	switch e {
	case eventRunStarted:
		return 1
	case eventRunEnded:
		return -1
	}
	return 0
}

func (d *Drainer) applyState(ctx context.Context, e event, draining bool) bool {
	switch e {
	case eventDrain:
		d.Announce(ctx, cassiatally.EndpointDraining)
		return true
	case eventReady:
		d.Announce(ctx, cassiatally.EndpointReady)
		return false
	}
	return draining
}

func (d *Drainer) completeDrain(ctx context.Context) {
	d.Withdraw(ctx)
	select {
	case <-d.drained:
	default:
		close(d.drained)
	}
}
