// Package slotqueue bounds the work that runs at one time and the work that
// waits for it.
//
// # Usage
//
//	q := slotqueue.New(15, 30)
//	if err := q.Enter(ctx); err != nil {
//		return err
//	}
//	defer q.Leave()
package slotqueue

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// ErrFull tells that all slots are taken and that the queue is full.
var ErrFull = errors.New("all slots are taken and the queue is full")

// Queue is a set of slots with a bounded queue before them.
type Queue struct {
	places chan struct{}
	slots  chan struct{}
}

// New returns a queue with the slots and room for waiting requests above them.
func New(slots cassiatally.Concurrency, waiting int) *Queue {
	return &Queue{
		places: make(chan struct{}, int(slots)+waiting),
		slots:  make(chan struct{}, int(slots)),
	}
}

// Enter takes a slot. It waits in the queue until the context ends, and returns
// ErrFull at once when the queue has no room.
func (q *Queue) Enter(ctx context.Context) error {
	select {
	case q.places <- struct{}{}:
	default:
		return ErrFull
	}
	select {
	case q.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		<-q.places
		return errors.Wrap(ctx.Err(), "waiting for a slot")
	}
}

// Leave frees the slot that Enter took.
func (q *Queue) Leave() {
	<-q.slots
	<-q.places
}

// Running returns the number of slots that are taken.
func (q *Queue) Running() cassiatally.Concurrency { return cassiatally.Concurrency(len(q.slots)) }

// Pending returns the number of requests that run or wait.
func (q *Queue) Pending() cassiatally.Concurrency { return cassiatally.Concurrency(len(q.places)) }
