// Package collector collects the results that callers received in one trial.
//
// # Usage
//
//	c := collector.New()
//	l := &loader.Loader{Plan: plan, Results: c}
//	l.Run(ctx)
//	results := c.Close()
package collector

import (
	"context"
	"time"

	"github.com/cassiatally/cassiatally/standin/core"
	"github.com/cassiatally/cassiatally/standin/owner"
)

const inboxCapacity = 8192

// Result is the outcome that was reported to a caller, and when.
type Result struct {
	core.ReportedResult
	At time.Time
}

// Collector collects results in a duty of its own.
type Collector struct {
	owner *owner.Owner[state]
	state state
}

type state struct {
	results []Result
	inTime  int
}

// New starts the duty of a collector.
func New() *Collector {
	c := &Collector{}
	c.owner = owner.New(&c.state, inboxCapacity)
	return c
}

// Push adds a result with the present time; it waits while the ring is full.
func (c *Collector) Push(ctx context.Context, reported core.ReportedResult) bool {
	r := Result{ReportedResult: reported, At: time.Now()}
	err := c.owner.Do(ctx, func(s *state) {
		s.results = append(s.results, r)
		if reported.InTime {
			s.inTime++
		}
	})
	return err == nil
}

// Count returns the number of results so far and how many of them are complete
// answers that arrived in time.
func (c *Collector) Count(ctx context.Context) (all, inTime int) {
	_ = c.owner.Do(ctx, func(s *state) { all, inTime = len(s.results), s.inTime })
	return all, inTime
}

// Close ends the duty and returns the results in order of time.
func (c *Collector) Close() []Result {
	c.owner.Close()
	return c.state.results
}
