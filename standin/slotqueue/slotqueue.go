// Package slotqueue limits the number of requests that run concurrently and of
// those that wait for a slot.
//
// # Usage
//
//	q := slotqueue.New(15, 30)
//	if err := q.Acquire(ctx); err != nil {
//		return err
//	}
//	defer q.Release()
package slotqueue

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// ErrFull is returned when all slots are taken and the queue is full.
var ErrFull = errors.New("all slots are taken and the queue is full")

// Queue is a concurrency limit with a bounded queue.
type Queue struct {
	// places holds a token for each running or waiting request.
	places chan struct{}
	// slots holds a token for each running request.
	slots chan struct{}
}

// New returns a queue for the given numbers of running and of waiting requests.
func New(slots cassiatally.Concurrency, waiting int) *Queue {
	return &Queue{
		places: make(chan struct{}, int(slots)+waiting),
		slots:  make(chan struct{}, int(slots)),
	}
}

// Acquire takes a slot. It waits in the queue until ctx ends, and returns ErrFull
// immediately when the queue is full.
func (q *Queue) Acquire(ctx context.Context) error {
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

// Release frees a slot that Acquire took.
func (q *Queue) Release() {
	<-q.slots
	<-q.places
}

// Running returns the number of slots that are taken.
func (q *Queue) Running() cassiatally.Concurrency { return cassiatally.Concurrency(len(q.slots)) }

// Pending returns the number of running and waiting requests.
func (q *Queue) Pending() cassiatally.Concurrency { return cassiatally.Concurrency(len(q.places)) }
