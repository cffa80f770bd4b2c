package gatekeeper

import (
	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/looper"
	"github.com/cassiatally/cassiatally/cassiatally/ring"
)

// flusher is the duty that regularly logs how many log lines were omitted.
type flusher struct {
	clock cassiatally.Clock
	flush func()
	duty  looper.Looper[struct{}]
}

// Run starts the duty.
func (f *flusher) Run() {
	f.duty = looper.Looper[struct{}]{
		Clock:    f.clock,
		Inbox:    ring.New[struct{}](1, ring.RefuseNewest),
		Handle:   func(cassiatally.Instant, struct{}) {},
		Tick:     func(cassiatally.Instant) { f.flush() },
		Interval: flushInterval,
	}
	f.duty.Run()
}

// Close stops the duty and waits for it.
func (f *flusher) Close() { f.duty.Close() }
