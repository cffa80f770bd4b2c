// Package waiter lets the goroutine of an HTTP request wait for the answer that
// a duty delivers.
//
// # Usage
//
//	w := waiter.New()
//	if !duty.Submit(req, w.Deliver) { ... }
//	answer, ok := w.Wait(ctx)
package waiter

import (
	"context"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// Waiter waits for one answer.
type Waiter struct{ answers chan cassiatally.Answer }

// New returns a waiter.
func New() *Waiter { return &Waiter{answers: make(chan cassiatally.Answer, 1)} }

// Deliver passes the answer to Wait. It never blocks; answers after the first are
// ignored.
func (w *Waiter) Deliver(a cassiatally.Answer) {
	select {
	case w.answers <- a:
	default:
	}
}

// Wait returns the answer, or false when the context ends first.
func (w *Waiter) Wait(ctx context.Context) (cassiatally.Answer, bool) {
	select {
	case a := <-w.answers:
		return a, true
	case <-ctx.Done():
		return cassiatally.Answer{}, false
	}
}
