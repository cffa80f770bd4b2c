// Package gate lets goroutines wait until a gate is opened.
//
// # Usage
//
//	g := gate.New(false)
//	go g.SetOpen(true)
//	err := g.Wait(ctx)
package gate

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

// Gate is open or closed and can change between the two. It is safe for concurrent
// use.
type Gate struct {
	mu     sync.Mutex
	open   bool
	opened chan struct{}
}

// New returns a gate in the given state.
func New(open bool) *Gate {
	g := &Gate{opened: make(chan struct{})}
	g.SetOpen(open)
	return g
}

// SetOpen opens or closes the gate.
func (g *Gate) SetOpen(open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open == open {
		return
	}
	g.open = open
	if open {
		close(g.opened)
		return
	}
	g.opened = make(chan struct{})
}

// Wait blocks until the gate is open or ctx ends.
func (g *Gate) Wait(ctx context.Context) error {
	g.mu.Lock()
	opened := g.opened
	g.mu.Unlock()
	select {
	case <-opened:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "waiting for the gate")
	}
}
