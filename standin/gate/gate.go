// Package gate holds data back until it is opened.
//
// # Usage
//
//	g := gate.New(false)
//	go g.Open(true)
//	err := g.Wait(ctx)
package gate

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

// Gate is open or closed. Waiting is on a channel.
type Gate struct {
	mu     sync.Mutex
	open   bool
	opened chan struct{}
}

// New returns a gate.
func New(open bool) *Gate {
	g := &Gate{opened: make(chan struct{})}
	g.Open(open)
	return g
}

// Open opens or closes the gate.
func (g *Gate) Open(open bool) {
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

// Wait waits until the gate is open.
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
