// Package slidingcounter counts events in a sliding window of time.
//
// # Usage
//
//	c := slidingcounter.Counter{Window: 10 * time.Second}
//	c.Add(now, 1)
//	n := c.Sum(now)
//
// A Counter is not safe for concurrent use.
package slidingcounter

import (
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	// slotCount is the number of slots of a window. Events of the current slot count in
	// full.
	slotCount     = 10
	defaultWindow = 10 * time.Second
)

// Counter counts events. Its zero value has a window of 10 s.
type Counter struct {
	// Window is the span in which events are counted; 0 means 10 s.
	Window time.Duration

	slot   int64
	counts [slotCount]float64
}

// Add counts n events.
func (c *Counter) Add(now cassiatally.Instant, n float64) {
	c.advance(now)
	c.counts[c.slot%slotCount] += n
}

// Sum returns the number of events in the window.
func (c *Counter) Sum(now cassiatally.Instant) float64 {
	c.advance(now)
	total := 0.0
	for _, n := range c.counts {
		total += n
	}
	return total
}

// advance clears the slots that are no longer in the window.
func (c *Counter) advance(now cassiatally.Instant) {
	window := c.Window
	if window <= 0 {
		window = defaultWindow
	}
	slot := int64(time.Duration(now) / (window / slotCount))
	for past := max(c.slot+1, slot-slotCount+1); past <= slot; past++ {
		c.counts[past%slotCount] = 0
	}
	c.slot = max(c.slot, slot)
}
