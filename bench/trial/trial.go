// Package trial runs one load against a fleet and keeps what callers were told.
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
	"github.com/cassiatally/cassiatally/standin/caller"
	"github.com/cassiatally/cassiatally/standin/core"
	"github.com/cassiatally/cassiatally/standin/loader"
	"github.com/cassiatally/cassiatally/standin/loadplan"
)

const (
	// workers bounds the requests in flight: 6 times 300 requests a second with
	// three copies of up to 2 s each are in flight at most 10,800 at a time, but
	// most are refused or run in well below 1 s.
	workers          = 6000
	progressInterval = 4 * time.Second
)

// Trial is one load on a fleet.
type Trial struct {
	Fleet *deployer.Fleet
	// Name begins the ids of the requests.
	Name string
	Seed uint64
	// Progress gets a line every few seconds.
	Progress *log.Logger
}

// Results is what callers were told in a trial, and when its phases began.
type Results struct {
	Told []collector.Result
	// Unsent counts requests that the load could not send in time.
	Unsent int
	Start  time.Time
	End    time.Time
}

// Run sends the load and returns once all requests have ended.
func (t *Trial) Run(ctx context.Context, phases []loadplan.Phase) Results {
	c := collector.New()
	transport := &http.Transport{MaxIdleConnsPerHost: workers}
	defer transport.CloseIdleConnections()
	l := &loader.Loader{
		Plan: t.Fleet.Deployment.Plan(phases), Name: t.Name, Seed: t.Seed, Workers: workers, Results: c,
		Caller: &caller.Caller{
			Nodes: t.Fleet.Callers(), Client: &http.Client{Transport: transport}, Latency: t.Fleet.Deployment.CallerLatency,
		},
	}
	reporting, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	results := Results{Start: time.Now()}
	wg.Go(func() { t.report(reporting, c, results.Start, phases) })
	rows := l.Run(ctx)
	results.End = time.Now()
	stop()
	wg.Wait()
	for _, r := range rows {
		results.Unsent += r.Unsent
	}
	results.Told = c.Close()
	return results
}

// report is the duty that prints progress.
func (t *Trial) report(ctx context.Context, c *collector.Collector, start time.Time, phases []loadplan.Phase) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			all, whole := c.Count(ctx)
			elapsed := time.Since(start)
			t.Progress.Info("load", "phase", phaseAt(phases, elapsed), "elapsed", elapsed.Round(time.Second), "ended", all, "completed", whole)
		}
	}
}

// phaseAt returns the phase at a time since the start.
func phaseAt(phases []loadplan.Phase, at time.Duration) loadplan.PhaseName {
	for _, p := range phases {
		if at < p.Duration {
			return p.Name
		}
		at -= p.Duration
	}
	return "end"
}

// Reports returns what callers were told, without the times.
func (r Results) Reports() []core.ReportedResult {
	told := make([]core.ReportedResult, 0, len(r.Told))
	for _, one := range r.Told {
		told = append(told, one.ReportedResult)
	}
	return told
}
