// Package owner runs a duty that exclusively owns a state. Other goroutines send
// it operations through a bounded ring and wait until they are applied.
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

// ErrClosed is returned by Do once the owner is closed.
var ErrClosed = errors.New("the owner of the state is closed")

// Owner is a duty that owns a state. Do blocks while its ring is full.
type Owner[S any] struct {
	inbox *ring.Ring[operation[S]]
	wg    sync.WaitGroup
}

type operation[S any] struct {
	apply func(*S)
	done  chan struct{}
}

// New starts the duty. Its ring holds up to capacity operations.
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

// Do has the duty apply an operation and waits until it is applied. The context
// bounds only the wait for room in the ring: a queued operation is always applied,
// so Do waits for it even when ctx ends.
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

// Close applies the queued operations, ends the duty and waits for it.
func (o *Owner[S]) Close() {
	o.inbox.Close()
	o.wg.Wait()
}
