// Package trial runs one load against a fleet and collects the results that
// callers received.
//
// # Usage
//
//	t := &trial.Trial{Fleet: fleet, Seed: 1, Progress: logger}
//	results := t.Run(ctx, phases)
package trial

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cassiatally/cassiatally/bench/collector"
	"github.com/cassiatally/cassiatally/bench/deployer"
	"github.com/cassiatally/cassiatally/cassiatally/roundtripper"
	"github.com/cassiatally/cassiatally/standin/caller"
	"github.com/cassiatally/cassiatally/standin/core"
	"github.com/cassiatally/cassiatally/standin/loader"
	"github.com/cassiatally/cassiatally/standin/loadplan"
)

const (
	// workers bounds the requests in flight. At 6 times 300 requests a second, with
	// three copies of up to 2 s each, at most 10,800 are in flight, but most are
	// refused or run in well below 1 s.
	workers          = 6000
	progressInterval = 4 * time.Second
)

// Trial sends one load to a fleet.
type Trial struct {
	Fleet *deployer.Fleet
	// Name is the prefix of the request ids.
	Name string
	Seed uint64
	// Progress receives a line every progressInterval.
	Progress *log.Logger
}

// Results are the results of a trial and its time span.
type Results struct {
	// Requests has the result of each request that ended, in order of time.
	Requests []collector.Result
	// Unsent counts requests that the load could not send in time.
	Unsent int
	Start  time.Time
	End    time.Time
}

// Run sends the load and returns once all requests have ended.
func (t *Trial) Run(ctx context.Context, phases []loadplan.Phase) Results {
	c := collector.New()
	transport := &roundtripper.RoundTripper{Transport: &http.Transport{MaxIdleConnsPerHost: workers}}
	defer transport.CloseIdleConnections()
	l := &loader.Loader{
		Plan: t.Fleet.Deployment.Plan(phases), Name: t.Name, Seed: t.Seed, Workers: workers, Results: c,
		Caller: &caller.Caller{
			Nodes: t.Fleet.CallerURLs(), Client: &http.Client{Transport: transport}, Latency: t.Fleet.Deployment.CallerLatency,
		},
	}
	progressCtx, stopProgress := context.WithCancel(ctx)
	var wg sync.WaitGroup
	results := Results{Start: time.Now()}
	wg.Go(func() { t.logProgress(progressCtx, c, results.Start, phases) })
	rows := l.Run(ctx)
	results.End = time.Now()
	stopProgress()
	wg.Wait()
	for _, r := range rows {
		results.Unsent += r.Unsent
	}
	results.Requests = c.Close()
	return results
}

// logProgress is the duty that logs progress.
func (t *Trial) logProgress(ctx context.Context, c *collector.Collector, start time.Time, phases []loadplan.Phase) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			ended, completed := c.Count(ctx)
			elapsed := time.Since(start)
			t.Progress.Info("load", "phase", phaseAt(phases, elapsed), "elapsed", elapsed.Round(time.Second), "ended", ended, "completed", completed)
		}
	}
}

// phaseAt returns the phase that the load is in at a time since its start, or "end"
// after the last.
func phaseAt(phases []loadplan.Phase, at time.Duration) loadplan.PhaseName {
	for _, p := range phases {
		if at < p.Duration {
			return p.Name
		}
		at -= p.Duration
	}
	return "end"
}

// ReportedResults returns the results that were reported to callers, without their
// times.
func (r Results) ReportedResults() []core.ReportedResult {
	reported := make([]core.ReportedResult, 0, len(r.Requests))
	for _, result := range r.Requests {
		reported = append(reported, result.ReportedResult)
	}
	return reported
}
