// Package ratelimiter bounds the rate at which requests are sent to a backend server
// that states how many it takes in a second.
//
// # Usage
//
//	l := &ratelimiter.Limiter{}
//	l.SetRate(now, 30.5) // or l.Lift() once there is no limit
//	for range l.Free(now) {
//		l.Take(now)
//		// ... send a request ...
//	}
package ratelimiter

import (
	"math"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	// burstTime is the time for which unused requests accumulate. Arrivals are uneven,
	// and without it a request would have to wait although the rate is not used up.
	burstTime = 250 * time.Millisecond
	// minRate is the lowest rate in requests per second that is applied. A backend server
	// states only in its answers that its limit has ended, so it has to get a request now
	// and then.
	minRate cassiatally.Rate = 0.25
	// unlimited is the number of requests that may be sent without a limit.
	unlimited = math.MaxInt32
)

// Limiter is a token bucket. The zero value has no limit.
type Limiter struct {
	rate cassiatally.Rate
	// tokens is the number of requests that could be sent at filledAt.
	tokens   float64
	filledAt cassiatally.Instant
}

// SetRate applies a limit. A rate below one request in four seconds counts as that.
func (l *Limiter) SetRate(now cassiatally.Instant, rate cassiatally.Rate) {
	rate = max(rate, minRate)
	if l.rate == 0 {
		l.tokens, l.filledAt = 1, now
	}
	l.fill(now)
	l.rate = rate
	l.tokens = min(l.tokens, l.maxTokens())
}

// Lift removes the limit.
func (l *Limiter) Lift() { l.rate = 0 }

// Rate returns the limit in force, and 0 when there is none.
func (l *Limiter) Rate() cassiatally.Rate { return l.rate }

// Free returns how many requests may be sent now.
func (l *Limiter) Free(now cassiatally.Instant) int {
	if l.rate == 0 {
		return unlimited
	}
	l.fill(now)
	return int(l.tokens)
}

// Take records that a request is sent.
func (l *Limiter) Take(now cassiatally.Instant) {
	if l.rate == 0 {
		return
	}
	l.fill(now)
	l.tokens--
}

func (l *Limiter) fill(now cassiatally.Instant) {
	if passed := now.Sub(l.filledAt); passed > 0 {
		l.tokens = min(l.tokens+float64(l.rate)*passed.Seconds(), l.maxTokens())
		l.filledAt = now
	}
}

// maxTokens is above one, so that a request can be sent at any rate, and the time until
// its turn is noticed is not lost.
func (l *Limiter) maxTokens() float64 { return 1 + float64(l.rate)*burstTime.Seconds() }
