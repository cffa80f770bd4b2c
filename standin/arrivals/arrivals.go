// Package arrivals draws the times of requests of an open-loop load: a Poisson
// process whose rate does not depend on the answers.
//
// # Usage
//
//	a := arrivals.New(50, seed, stream)
//	for at := a.Next(); at < duration; at = a.Next() {
//		// send a request at this time since the start
//	}
package arrivals

import (
	"math"
	"math/rand/v2"
	"time"
)

// Arrivals is a Poisson process. It is not safe for concurrent use.
type Arrivals struct {
	mean time.Duration
	at   time.Duration
	rng  *rand.Rand
}

// New returns the process of the rate in requests a second. Equal seeds and
// streams give equal times.
func New(rate float64, seed, stream uint64) *Arrivals {
	a := &Arrivals{rng: rand.New(rand.NewPCG(seed, stream))}
	if rate > 0 {
		a.mean = time.Duration(float64(time.Second) / rate)
	}
	return a
}

// Next returns the time of the next request since the start. A process of rate
// 0 has none, which is a time beyond all durations.
func (a *Arrivals) Next() time.Duration {
	if a.mean <= 0 {
		return math.MaxInt64
	}
	a.at += time.Duration(a.rng.ExpFloat64() * float64(a.mean))
	return a.at
}

// Pick returns a number in [0, n) from the same random source.
func (a *Arrivals) Pick(n int) int { return a.rng.IntN(n) }
