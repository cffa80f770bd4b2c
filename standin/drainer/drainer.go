// Package drainer knows how many runs a backend server has in flight, announces
// its state, and withdraws it from its node once a drain has ended.
//
// # Usage
//
//	d := &drainer.Drainer{Announce: announce, Withdraw: withdraw}
//	d.Start(ctx)
//	d.Began(ctx)
//	d.Ended(ctx)
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

// quiet is the time without a run after which a drain has ended. A node that
// still has calls in its queue hands the next one over well within it.
const quiet = time.Second

type event uint8

const (
	eventBegan event = iota
	eventEnded
	eventDrain
	eventReady
)

// Drainer is the duty that follows the runs in flight.
type Drainer struct {
	// Announce tells the node the state; it is tried again by the announcer.
	Announce func(ctx context.Context, s cassiatally.EndpointState)
	// Withdraw takes the backend server off the node.
	Withdraw func(ctx context.Context)

	inbox   *ring.Ring[event]
	drained chan struct{}
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

// Start announces the backend server as ready and starts the duty, which ends
// with Close only.
func (d *Drainer) Start(ctx context.Context) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	d.cancel = cancel
	d.inbox = ring.New[event](inboxCapacity, ring.Wait)
	d.drained = make(chan struct{})
	d.wg.Go(func() { d.run(ctx) })
}

// Began counts a run in.
func (d *Drainer) Began(ctx context.Context) bool { return d.inbox.Push(ctx, eventBegan) }

// Ended counts a run out. It waits for room, whatever became of the request.
func (d *Drainer) Ended() { d.inbox.Push(context.Background(), eventEnded) }

// Drain announces the state draining and withdraws once no run is in flight.
func (d *Drainer) Drain(ctx context.Context) bool { return d.inbox.Push(ctx, eventDrain) }

// Ready announces the state ready and ends a drain that has not yet ended.
func (d *Drainer) Ready(ctx context.Context) bool { return d.inbox.Push(ctx, eventReady) }

// Drained returns a channel that is closed when the first drain has ended.
func (d *Drainer) Drained() <-chan struct{} { return d.drained }

// Close ends the duty and waits for it.
func (d *Drainer) Close() {
	d.inbox.Close()
	d.cancel()
	d.wg.Wait()
}

func (d *Drainer) run(ctx context.Context) {
	d.Announce(ctx, cassiatally.EndpointReady)
	timer := time.NewTimer(quiet)
	defer timer.Stop()
	inFlight, draining := 0, false
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			if draining && inFlight == 0 {
				d.leave(ctx)
				draining = false
			}
		case <-d.inbox.Ready():
			for _, e := range d.inbox.TakeAll(nil) {
				inFlight += change(e)
				draining = d.applyState(ctx, e, draining)
			}
			timer.Reset(quiet)
		}
	}
}

func change(e event) int {
	switch e {
	case eventBegan:
		return 1
	case eventEnded:
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

func (d *Drainer) leave(ctx context.Context) {
	d.Withdraw(ctx)
	select {
	case <-d.drained:
	default:
		close(d.drained)
	}
}
