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

// New returns a clock whose instants count from now.
func New() *Clock { return &Clock{origin: time.Now()} }

// Now returns the time since the clock was made.
func (c *Clock) Now() cassiatally.Instant { return cassiatally.Instant(time.Since(c.origin)) }

// Wall returns the time of day.
func (c *Clock) Wall() time.Time { return time.Now() }
