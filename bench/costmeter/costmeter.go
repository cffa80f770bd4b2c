// Package costmeter measures the overhead of nodes: processor, memory and control
// traffic at rest and at half load, the latency that two nodes add to a call, and
// the time until a sheet is in force. It also measures the capacity of the
// bottleneck service by a saturating run that calls its backend servers directly.
//
// # Usage
//
//	m := &costmeter.Meter{Fleet: fleet, Publisher: p, Sheet: file, Seed: 1, Length: 5 * time.Second}
//	cost, err := m.Measure(ctx)
package costmeter

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassiatally/cassiatally/bench/collector"
	"github.com/cassiatally/cassiatally/bench/deployer"
	"github.com/cassiatally/cassiatally/bench/observation"
	"github.com/cassiatally/cassiatally/bench/processmeter"
	"github.com/cassiatally/cassiatally/bench/ranktable"
	"github.com/cassiatally/cassiatally/bench/sheetpublisher"
	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/roundtripper"
	"github.com/cassiatally/cassiatally/standin/caller"
	"github.com/cassiatally/cassiatally/standin/core"
	"github.com/cassiatally/cassiatally/standin/loader"
	"github.com/cassiatally/cassiatally/standin/loadplan"
)

const (
	// loadPerPath is the load through nodes and, at the same time, that of direct
	// calls, so that noise of the machine affects both alike. The total is 0.5 of the
	// capacity.
	loadPerPath = 0.25
	// saturatingLoad is the load of the run that measures capacity.
	saturatingLoad = 1.5
	// callTimeout is longer than the run that measures capacity, so that none of
	// its requests times out.
	callTimeout = 20 * time.Second
	workers     = 2000
	// settleTime lets the shard assignment and the first rounds of gossip finish
	// before the reading at rest.
	settleTime = 2 * time.Second
	// firstSheetVersion is the version of the sheet that the fleet started with.
	firstSheetVersion cassiatally.Version = 1

	median = 0.5
	p99    = 0.99
)

// Meter measures one fleet, whose links should have no added delay.
type Meter struct {
	Fleet     *deployer.Fleet
	Publisher *sheetpublisher.Publisher
	// Sheet is the file of the sheet that is published again.
	Sheet string
	Seed  uint64
	// Length is the length of each measured run.
	Length time.Duration
}

// nodeReading is a reading of one node.
type nodeReading struct {
	usage        processmeter.Usage
	controlBytes uint64
}

// Measure measures a fleet that has just started. It takes about four times Length
// and 2 s.
func (m *Meter) Measure(ctx context.Context) (*observation.Cost, error) {
	var c observation.Cost
	var err error
	sleep(ctx, settleTime)
	if c.Rest, err = m.measureUsage(ctx, func() { sleep(ctx, m.Length) }); err != nil {
		return nil, err
	}
	if c.SheetPropagation, err = m.Publisher.Publish(ctx, m.Sheet, firstSheetVersion); err != nil {
		return nil, err
	}
	m.runLoad(ctx, "warm", loadPerPath, false)
	if c.Busy, err = m.measureUsage(ctx, func() { m.measureAddedLatency(ctx, &c) }); err != nil {
		return nil, err
	}
	c.Capacity = m.measureCapacity(ctx)
	return &c, errors.Wrap(ctx.Err(), "measuring the cost of nodes")
}

// measureAddedLatency sends requests through nodes and directly at the same time
// and compares the latencies.
func (m *Meter) measureAddedLatency(ctx context.Context, c *observation.Cost) {
	var wg sync.WaitGroup
	var throughNodes, direct []collector.Result
	wg.Go(func() { throughNodes = m.runLoad(ctx, "through", loadPerPath, false) })
	wg.Go(func() { direct = m.runLoad(ctx, "direct", loadPerPath, true) })
	wg.Wait()
	c.AddedP50 = quantile(throughNodes, median) - quantile(direct, median)
	c.AddedP99 = quantile(throughNodes, p99) - quantile(direct, p99)
}

// measureCapacity returns the rate of complete answers in a saturating direct run,
// without its first quarter, in which the queues fill.
func (m *Meter) measureCapacity(ctx context.Context) loadplan.Rate {
	start := time.Now()
	results := m.runLoad(ctx, "saturated", saturatingLoad, true)
	from, to := start.Add(m.Length/4), start.Add(m.Length)
	n := 0
	for _, r := range results {
		if r.Status == http.StatusOK && r.At.After(from) && r.At.Before(to) {
			n++
		}
	}
	return loadplan.Rate(float64(n) / to.Sub(from).Seconds())
}

// runLoad sends requests for the deepest kind of work to the bottleneck service.
func (m *Meter) runLoad(ctx context.Context, phase loadplan.PhaseName, load float64, direct bool) []collector.Result {
	d := m.Fleet.Deployment
	class := loadplan.Class{
		Name: "deep", Service: d.Bottleneck, Kind: d.DeepestKind, Tenants: []cassiatally.Tenant{"bench"},
		Timeout: callTimeout, Target: callTimeout, Resend: loadplan.Resend{Policy: loadplan.ResendNone},
	}
	plan := loadplan.Plan{
		Classes: []loadplan.Class{class},
		Phases: []loadplan.Phase{{
			Name: phase, Duration: m.Length,
			Rates: map[loadplan.ClassName]loadplan.Rate{class.Name: loadplan.Rate(load) * d.Capacity()},
		}},
	}
	transport := &roundtripper.RoundTripper{Transport: &http.Transport{MaxIdleConnsPerHost: workers}}
	defer transport.CloseIdleConnections()
	c := collector.New()
	l := &loader.Loader{
		Plan: plan, Name: "cost", Seed: m.Seed, Workers: workers, Results: c,
		Caller: &caller.Caller{Nodes: m.targetURLs(direct), Client: &http.Client{Transport: transport}, Direct: direct},
	}
	l.Run(ctx)
	return c.Close()
}

// targetURLs returns the backend servers of the bottleneck service for direct
// calls, or else the nodes of all other services, so that a call passes two nodes.
func (m *Meter) targetURLs(direct bool) []string {
	var urls []string
	for _, e := range m.Fleet.Endpoints {
		bottleneck := e.Service.Name == m.Fleet.Deployment.Bottleneck
		if direct && bottleneck {
			urls = append(urls, "http://"+e.Backend.Listening["address"])
		}
		if !direct && !bottleneck {
			urls = append(urls, e.CallerURL)
		}
	}
	return urls
}

// measureUsage returns the highest usage of any node, for each resource, while f
// runs.
func (m *Meter) measureUsage(ctx context.Context, f func()) (observation.Usage, error) {
	before, err := m.readNodes(ctx)
	if err != nil {
		return observation.Usage{}, err
	}
	f()
	after, err := m.readNodes(ctx)
	if err != nil {
		return observation.Usage{}, err
	}
	var highest observation.Usage
	for i, a := range after {
		b := before[i]
		seconds := a.usage.At.Sub(b.usage.At).Seconds()
		highest.Cores = max(highest.Cores, a.usage.CoresSince(b.usage))
		highest.ResidentBytes = max(highest.ResidentBytes, float64(a.usage.Resident))
		highest.ControlBytesPerSecond = max(highest.ControlBytesPerSecond, float64(a.controlBytes-b.controlBytes)/seconds)
	}
	return highest, nil
}

func (m *Meter) readNodes(ctx context.Context) ([]nodeReading, error) {
	var readings []nodeReading
	for _, e := range m.Fleet.Endpoints {
		status, err := m.Fleet.Status.Read(ctx, e.AdminAddress)
		if err != nil {
			return nil, err
		}
		usage, err := processmeter.Meter{}.Read(e.Node.PID())
		if err != nil {
			return nil, err
		}
		readings = append(readings, nodeReading{usage, status.Traffic.ControlSent + status.Traffic.ControlReceived})
	}
	return readings, nil
}

// quantile returns a quantile of the latencies of complete answers.
func quantile(results []collector.Result, q float64) time.Duration {
	var latencies []time.Duration
	for _, r := range results {
		if r.Status == http.StatusOK && r.Fault == core.FaultNone {
			latencies = append(latencies, time.Duration(r.LatencyMS*float64(time.Millisecond)))
		}
	}
	return ranktable.Quantile(latencies, q)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
