// Package arrivals generates the arrival times of an open-loop load: a Poisson
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

// Arrivals generates the arrival times of one Poisson process. It is not safe for
// concurrent use.
type Arrivals struct {
	meanInterval time.Duration
	lastArrival  time.Duration
	rng          *rand.Rand
}

// New returns a process with the rate in requests per second. The same seed and
// stream produce the same times.
func New(rate float64, seed, stream uint64) *Arrivals {
	a := &Arrivals{rng: rand.New(rand.NewPCG(seed, stream))}
	if rate > 0 {
		a.meanInterval = time.Duration(float64(time.Second) / rate)
	}
	return a
}

// Next returns the time from the start to the next request. A process of rate 0 has
// no requests and returns the maximum duration.
func (a *Arrivals) Next() time.Duration {
	if a.meanInterval <= 0 {
		return math.MaxInt64
	}
	a.lastArrival += time.Duration(a.rng.ExpFloat64() * float64(a.meanInterval))
	return a.lastArrival
}

// Pick returns a random number in [0, n) from the source of the process.
func (a *Arrivals) Pick(n int) int { return a.rng.IntN(n) }
