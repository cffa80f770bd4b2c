// Package systemclock reads the clock of the operating system.
//
// # Usage
//
//	var c cassiatally.Clock = systemclock.New()
package systemclock

import (
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// Clock implements cassiatally.Clock with the clock of the operating system.
type Clock struct{ origin time.Time }

// New returns a clock whose instants count from the time of this call.
func New() *Clock { return &Clock{origin: time.Now()} }

// Now returns the monotonic time since New.
func (c *Clock) Now() cassiatally.Instant { return cassiatally.Instant(time.Since(c.origin)) }

// Wall returns the wall-clock time.
func (c *Clock) Wall() time.Time { return time.Now() }
