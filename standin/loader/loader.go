// Package loader runs the plan of a load: one duty per class generates the
// arrivals and passes them through a ring to the workers that send the requests.
//
// # Usage
//
//	l := &loader.Loader{Plan: plan, Name: "load", Seed: 1, Workers: 512, Caller: c, Results: w}
//	rows := l.Run(ctx)
package loader

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cassiatally/cassiatally/cassiatally/ring"
	"github.com/cassiatally/cassiatally/standin/arrivals"
	"github.com/cassiatally/cassiatally/standin/caller"
	"github.com/cassiatally/cassiatally/standin/core"
	"github.com/cassiatally/cassiatally/standin/loadplan"
	"github.com/cassiatally/cassiatally/standin/loadtally"
	"github.com/cassiatally/cassiatally/standin/owner"
)

const (
	// jobCapacity bounds the due requests that wait for a worker. A full ring refuses
	// the newest request, which counts as unsent.
	jobCapacity      = 4096
	tallyCapacity    = 4096
	progressInterval = 5 * time.Second
	// phaseStride separates the random streams of the phases.
	phaseStride = 1 << 16
)

// Sender sends one request and returns the result reported to its caller.
type Sender interface {
	Do(ctx context.Context, j caller.Job) core.ReportedResult
}

// Results accepts the results one by one.
type Results interface {
	Push(ctx context.Context, r core.ReportedResult) bool
}

// Loader runs one plan.
type Loader struct {
	Plan loadplan.Plan
	// Name is the prefix of the id of each request. It keeps the ids of several loads
	// that share a recorder distinct.
	Name string
	Seed uint64
	// Workers bounds the requests in flight.
	Workers int
	Caller  Sender
	Results Results
	// Progress, if set, logs a line every 5 s.
	Progress *log.Logger

	jobs  *ring.Ring[caller.Job]
	tally *owner.Owner[loadtally.Tally]
}

// Run runs the phases one after another and returns the results once all requests
// have ended. When ctx ends, arrivals stop but requests in flight continue.
func (l *Loader) Run(ctx context.Context) []loadtally.Row {
	l.jobs = ring.New[caller.Job](jobCapacity, ring.RefuseNewest)
	tally := loadtally.New()
	l.tally = owner.New(tally, tallyCapacity)
	requestCtx := context.WithoutCancel(ctx)
	var workers, progress sync.WaitGroup
	for range l.Workers {
		workers.Go(func() { l.runWorker(requestCtx) })
	}
	progressCtx, stopProgress := context.WithCancel(requestCtx)
	progress.Go(func() { l.reportProgress(progressCtx) })
	for i, p := range l.Plan.Phases {
		l.runPhase(ctx, i, p)
	}
	l.jobs.Close()
	workers.Wait()
	stopProgress()
	progress.Wait()
	l.tally.Close()
	return tally.Rows()
}

func (l *Loader) runPhase(ctx context.Context, index int, p loadplan.Phase) {
	start := time.Now()
	var duties sync.WaitGroup
	for i, c := range l.Plan.Classes {
		if p.Rates[c.Name] <= 0 {
			continue
		}
		stream := uint64(index*phaseStride + i)
		source := arrivals.New(float64(p.Rates[c.Name]), l.Seed, stream)
		duties.Go(func() { l.runArrivals(ctx, start, p, c, source) })
	}
	waitUntil(ctx, start.Add(p.Duration))
	duties.Wait()
}

// runArrivals is the duty that generates the arrivals of one class in one phase.
func (l *Loader) runArrivals(ctx context.Context, start time.Time, p loadplan.Phase, c loadplan.Class, source *arrivals.Arrivals) {
	n := 0
	for at := source.Next(); at < p.Duration; at = source.Next() {
		due := start.Add(at)
		if !waitUntil(ctx, due) {
			return
		}
		n++
		l.offer(ctx, caller.Job{
			ID:    core.RequestID(fmt.Sprintf("%s-%s-%s-%d", l.Name, p.Name, c.Name, n)),
			Class: c, Phase: p.Name, Tenant: c.Tenants[source.Pick(len(c.Tenants))], Due: due, FirstNode: n,
		})
	}
}

func (l *Loader) offer(ctx context.Context, j caller.Job) {
	accepted := l.jobs.Push(ctx, j)
	l.updateTally(ctx, func(t *loadtally.Tally) {
		t.CountOffered(j.Phase, j.Class.Name)
		if !accepted {
			t.CountUnsent(j.Phase, j.Class.Name)
		}
	})
}

func (l *Loader) runWorker(ctx context.Context) {
	for {
		j, ok := l.jobs.Pop(ctx)
		if !ok {
			return
		}
		result := l.Caller.Do(ctx, j)
		l.updateTally(ctx, func(t *loadtally.Tally) { t.AddResult(result) })
		l.Results.Push(ctx, result)
	}
}

func (l *Loader) updateTally(ctx context.Context, apply func(*loadtally.Tally)) {
	// The tally is closed after all duties that update it have ended, so the operation
	// is always applied.
	_ = l.tally.Do(context.WithoutCancel(ctx), apply)
}

func (l *Loader) reportProgress(ctx context.Context) {
	if l.Progress == nil {
		return
	}
	start := time.Now()
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			var offered, ended int
			l.updateTally(ctx, func(t *loadtally.Tally) { offered, ended = t.Progress() })
			l.Progress.Info("progress", "elapsed", time.Since(start).Round(time.Second), "offered", offered, "ended", ended)
		}
	}
}

func waitUntil(ctx context.Context, due time.Time) bool {
	d := time.Until(due)
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
