// Package fixedlimiter provides the baseline limiter: a concurrency limit that
// never changes. It exists for comparison with the adaptive limiter.
//
// # Usage
//
//	l := &fixedlimiter.Limiter{Fixed: 64}
//	free := int(l.Limit()) - inFlight
package fixedlimiter

import (
	"math"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	// Unlimited is the value of Limit when no limit applies.
	Unlimited = cassiatally.Concurrency(math.MaxInt32)
	// typicalWeight is the weight of one run in the typical self time, an EWMA.
	typicalWeight = 0.1
)

// Limiter has a fixed limit. The zero value has no limit.
type Limiter struct {
	// Fixed is the limit; 0 means the announced slots if UseSlots is set, and no
	// limit otherwise.
	Fixed cassiatally.Concurrency
	// UseSlots makes the announced slots the limit when Fixed is 0.
	UseSlots bool
	// Fraction is the fraction of the announced slots that is used, of which one is used
	// at least; 0 means all.
	Fraction float64

	slots   cassiatally.Concurrency
	typical time.Duration
}

var _ cassiatally.Limiter = (*Limiter)(nil)

// Limit returns the fixed limit.
func (l *Limiter) Limit() cassiatally.Concurrency {
	if l.Fixed > 0 {
		return l.Fixed
	}
	if l.UseSlots && l.slots > 0 {
		return l.usedSlots()
	}
	return Unlimited
}

func (l *Limiter) usedSlots() cassiatally.Concurrency {
	if l.Fraction <= 0 {
		return l.slots
	}
	return max(cassiatally.Concurrency(l.Fraction*float64(l.slots)), 1)
}

// Resize records the announced slots.
func (l *Limiter) Resize(_ cassiatally.Instant, slots cassiatally.Concurrency) { l.slots = slots }

// Observe updates the typical self time. It does not change the limit.
func (l *Limiter) Observe(_ cassiatally.Instant, s cassiatally.RunSample) {
	if s.Failed {
		return
	}
	if l.typical == 0 {
		l.typical = s.SelfTime
		return
	}
	l.typical += time.Duration(typicalWeight * float64(s.SelfTime-l.typical))
}

// TypicalSelfTime returns the smoothed self time.
func (l *Limiter) TypicalSelfTime() time.Duration { return l.typical }
