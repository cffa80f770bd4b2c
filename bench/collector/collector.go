// Package collector keeps what callers were told and when, for one trial.
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

// Result is what a caller was told and when.
type Result struct {
	core.ReportedResult
	At time.Time
}

// Collector is the duty that keeps the results.
type Collector struct {
	owner *owner.Owner[state]
	state state
}

type state struct {
	results []Result
	whole   int
}

// New starts a collector.
func New() *Collector {
	c := &Collector{}
	c.owner = owner.New(&c.state, inboxCapacity)
	return c
}

// Push keeps a result; it waits while the ring is full.
func (c *Collector) Push(ctx context.Context, t core.ReportedResult) bool {
	r := Result{ReportedResult: t, At: time.Now()}
	err := c.owner.Do(ctx, func(s *state) {
		s.results = append(s.results, r)
		if t.InTime {
			s.whole++
		}
	})
	return err == nil
}

// Count returns the number of results and how many of them are whole and in
// time.
func (c *Collector) Count(ctx context.Context) (all, whole int) {
	_ = c.owner.Do(ctx, func(s *state) { all, whole = len(s.results), s.whole })
	return all, whole
}

// Close ends the duty and returns the results in the order of their times.
func (c *Collector) Close() []Result {
	c.owner.Close()
	return c.state.results
}
