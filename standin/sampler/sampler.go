// Package sampler draws service times from a distribution.
//
// # Usage
//
//	s, err := sampler.New("exponential", 7)
//	d := s.Sample(20 * time.Millisecond)
package sampler

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassiatally/cassiatally/standin/core"
)

// The names of the distributions.
const (
	Fixed       = "fixed"
	Exponential = "exponential"
)

// maxFactor bounds a sample to 10 times the mean, so that a single sample cannot
// occupy a slot for long.
const maxFactor = 10

type fixed struct{}

func (fixed) Sample(mean time.Duration) time.Duration { return mean }

type exponential struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func (e *exponential) Sample(mean time.Duration) time.Duration {
	e.mu.Lock()
	factor := min(e.rng.ExpFloat64(), maxFactor)
	e.mu.Unlock()
	return time.Duration(factor * float64(mean))
}

// New returns a sampler of the named distribution that is safe for concurrent use.
func New(name string, seed uint64) (core.Sampler, error) {
	switch name {
	case Fixed:
		return fixed{}, nil
	case Exponential:
		return &exponential{rng: rand.New(rand.NewPCG(seed, seed))}, nil
	}
	return nil, errors.Newf("distribution %q is not fixed or exponential", name)
}
