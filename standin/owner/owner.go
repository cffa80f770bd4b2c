// Package owner runs a duty that is the sole owner of a state. Other goroutines
// pass it operations through a bounded ring and wait for their end.
//
// # Usage
//
//	o := owner.New(&state{}, 1024)
//	defer o.Close()
//	err := o.Do(ctx, func(s *state) { s.count++ })
package owner

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/cassiatally/cassiatally/cassiatally/ring"
)

// ErrClosed tells that the duty has ended.
var ErrClosed = errors.New("the owner of the state is closed")

// Owner is a duty that owns a state. Senders wait while its ring is full.
type Owner[S any] struct {
	inbox *ring.Ring[operation[S]]
	wg    sync.WaitGroup
}

type operation[S any] struct {
	apply func(*S)
	done  chan struct{}
}

// New starts the duty for the state, with a ring for capacity operations.
func New[S any](state *S, capacity int) *Owner[S] {
	o := &Owner[S]{inbox: ring.New[operation[S]](capacity, ring.Wait)}
	o.wg.Go(func() { o.run(state) })
	return o
}

func (o *Owner[S]) run(state *S) {
	for {
		op, ok := o.inbox.Pop(context.Background())
		if !ok {
			return
		}
		op.apply(state)
		close(op.done)
	}
}

// Do has the duty apply an operation and waits for its end. Once the operation
// is in the ring it is applied, so Do then waits regardless of the context.
func (o *Owner[S]) Do(ctx context.Context, apply func(*S)) error {
	op := operation[S]{apply: apply, done: make(chan struct{})}
	if !o.inbox.Push(ctx, op) {
		if err := ctx.Err(); err != nil {
			return errors.Wrap(err, "waiting for the owner of the state")
		}
		return ErrClosed
	}
	<-op.done
	return nil
}

// Close applies the operations that are in the ring and waits for the end of
// the duty.
func (o *Owner[S]) Close() {
	o.inbox.Close()
	o.wg.Wait()
}
