// Package costmeter measures what nodes cost: processor, memory and control
// traffic at rest and at half load, the time that two nodes add to a call, and
// the time until a sheet is in force. It also measures the capacity of the
// narrow service by a saturating direct run.
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
	"github.com/cassiatally/cassiatally/standin/caller"
	"github.com/cassiatally/cassiatally/standin/core"
	"github.com/cassiatally/cassiatally/standin/loader"
	"github.com/cassiatally/cassiatally/standin/loadplan"
)

const (
	// eachLoad is the load through nodes and, in the same time, that of direct
	// calls, so that both see the same noise of the machine at 0.5 in all.
	eachLoad = 0.25
	// saturation is the load of the run that measures capacity.
	saturation = 1.5
	// directTimeout is longer than the run that measures capacity.
	directTimeout = 20 * time.Second
	workers       = 2000
	// settleTime lets the assignment of shards and the first rounds of gossip end
	// before the reading at rest.
	settleTime = 2 * time.Second
	// firstSheet is the version of the sheet that the fleet started with.
	firstSheet cassiatally.Version = 1

	median     = 0.5
	percentile = 0.99
)

// Meter measures one fleet, whose links should have no delay.
type Meter struct {
	Fleet     *deployer.Fleet
	Publisher *sheetpublisher.Publisher
	// Sheet is the file of the sheet that is published again.
	Sheet  string
	Seed   uint64
	Length time.Duration
}

// nodeReading is a reading of one node.
type nodeReading struct {
	usage   processmeter.Usage
	control uint64
}

// Measure takes about four times the length of a phase and 2 s.
func (m *Meter) Measure(ctx context.Context) (*observation.Cost, error) {
	var c observation.Cost
	var err error
	wait(ctx, settleTime)
	if c.Rest, err = m.use(ctx, func() { wait(ctx, m.Length) }); err != nil {
		return nil, err
	}
	if c.SheetPropagation, err = m.Publisher.Publish(ctx, m.Sheet, firstSheet); err != nil {
		return nil, err
	}
	m.load(ctx, "warm", eachLoad, false)
	if c.Busy, err = m.use(ctx, func() { m.compare(ctx, &c) }); err != nil {
		return nil, err
	}
	c.Capacity = m.capacity(ctx)
	return &c, errors.Wrap(ctx.Err(), "measuring the cost of nodes")
}

// compare sends through nodes and directly at one time.
func (m *Meter) compare(ctx context.Context, c *observation.Cost) {
	var wg sync.WaitGroup
	var through, direct []collector.Result
	wg.Go(func() { through = m.load(ctx, "through", eachLoad, false) })
	wg.Go(func() { direct = m.load(ctx, "direct", eachLoad, true) })
	wg.Wait()
	c.AddedP50 = quantile(through, median) - quantile(direct, median)
	c.AddedP99 = quantile(through, percentile) - quantile(direct, percentile)
}

// capacity counts the whole answers of a saturating direct run, but for its
// first quarter, in which the queues fill.
func (m *Meter) capacity(ctx context.Context) loadplan.Rate {
	start := time.Now()
	results := m.load(ctx, "saturated", saturation, true)
	from, to := start.Add(m.Length/4), start.Add(m.Length)
	n := 0
	for _, r := range results {
		if r.Status == http.StatusOK && r.At.After(from) && r.At.Before(to) {
			n++
		}
	}
	return loadplan.Rate(float64(n) / to.Sub(from).Seconds())
}

// load sends requests for the deep kind of the narrow service.
func (m *Meter) load(ctx context.Context, phase loadplan.PhaseName, load float64, direct bool) []collector.Result {
	d := m.Fleet.Deployment
	class := loadplan.Class{
		Name: "deep", Service: d.Bottleneck, Kind: d.DeepestKind, Tenants: []cassiatally.Tenant{"bench"},
		Timeout: directTimeout, Target: directTimeout, Resend: loadplan.Resend{Policy: loadplan.ResendNone},
	}
	plan := loadplan.Plan{
		Classes: []loadplan.Class{class},
		Phases: []loadplan.Phase{{
			Name: phase, Duration: m.Length,
			Rates: map[loadplan.ClassName]loadplan.Rate{class.Name: loadplan.Rate(load) * d.Capacity()},
		}},
	}
	transport := &http.Transport{MaxIdleConnsPerHost: workers}
	defer transport.CloseIdleConnections()
	c := collector.New()
	l := &loader.Loader{
		Plan: plan, Name: "cost", Seed: m.Seed, Workers: workers, Results: c,
		Caller: &caller.Caller{Nodes: m.targets(direct), Client: &http.Client{Transport: transport}, Direct: direct},
	}
	l.Run(ctx)
	return c.Close()
}

// targets returns the backend servers of the narrow service, or the nodes of all
// others, so that a call passes two nodes.
func (m *Meter) targets(direct bool) []string {
	var urls []string
	for _, e := range m.Fleet.Endpoints {
		narrow := e.Service.Name == m.Fleet.Deployment.Bottleneck
		if direct && narrow {
			urls = append(urls, "http://"+e.Backend.Listening["address"])
		}
		if !direct && !narrow {
			urls = append(urls, e.CallerURL)
		}
	}
	return urls
}

// use returns what the node that uses most uses while f runs.
func (m *Meter) use(ctx context.Context, f func()) (observation.Usage, error) {
	before, err := m.read(ctx)
	if err != nil {
		return observation.Usage{}, err
	}
	f()
	after, err := m.read(ctx)
	if err != nil {
		return observation.Usage{}, err
	}
	var most observation.Usage
	for i, a := range after {
		b := before[i]
		seconds := a.usage.At.Sub(b.usage.At).Seconds()
		most.Cores = max(most.Cores, a.usage.CoresSince(b.usage))
		most.ResidentBytes = max(most.ResidentBytes, float64(a.usage.Resident))
		most.ControlBytesPerSecond = max(most.ControlBytesPerSecond, float64(a.control-b.control)/seconds)
	}
	return most, nil
}

func (m *Meter) read(ctx context.Context) ([]nodeReading, error) {
	var all []nodeReading
	for _, e := range m.Fleet.Endpoints {
		status, err := m.Fleet.Status.Read(ctx, e.AdminAddress)
		if err != nil {
			return nil, err
		}
		usage, err := processmeter.Meter{}.Read(e.Node.PID())
		if err != nil {
			return nil, err
		}
		all = append(all, nodeReading{usage, status.Traffic.ControlSent + status.Traffic.ControlReceived})
	}
	return all, nil
}

// quantile returns a quantile of the latencies of whole answers.
func quantile(results []collector.Result, q float64) time.Duration {
	var latencies []time.Duration
	for _, r := range results {
		if r.Status == http.StatusOK && r.Fault == core.FaultNone {
			latencies = append(latencies, time.Duration(r.LatencyMS*float64(time.Millisecond)))
		}
	}
	return ranktable.Quantile(latencies, q)
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
