// Package sysclock provides the clock of the host.
//
// # Usage
//
//	var clock cassiatally.Clock = sysclock.New()
package sysclock

import (
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// Clock reads the host's monotonic clock and time of day.
type Clock struct{ origin time.Time }

// New returns a clock whose instants count from now.
func New() *Clock { return &Clock{origin: time.Now()} }

// Now returns a monotonic reading. Instants start at one hour, so that code may
// subtract up to an hour from them without a negative result.
func (c *Clock) Now() cassiatally.Instant {
	return cassiatally.Instant(time.Hour + time.Since(c.origin))
}

// Wall returns the time of day.
func (c *Clock) Wall() time.Time { return time.Now() }
