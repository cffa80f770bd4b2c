package measurer

import (
	"math"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/bench/collector"
	"github.com/cassiatally/cassiatally/bench/deployment"
	"github.com/cassiatally/cassiatally/bench/observation"
	"github.com/cassiatally/cassiatally/bench/scenario"
	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/standin/core"
	"github.com/cassiatally/cassiatally/standin/loadplan"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// policies stands for a sheet of three ranks, the second and third with shares.
type policies struct{}

func (policies) Rank(s cassiatally.Service, _ cassiatally.WorkKind) cassiatally.Rank {
	return map[cassiatally.Service]cassiatally.Rank{"urgent": 0, "usual": 1, "least": 2}[s]
}

func (policies) Share(r cassiatally.Rank) cassiatally.Share {
	return []cassiatally.Share{0, 0.2, 0.1, 0}[r]
}

func testDeployment() deployment.Deployment {
	class := func(name string) deployment.Class {
		return deployment.Class{Class: loadplan.Class{Name: loadplan.ClassName(name), Service: cassiatally.Service(name), Kind: "do"}}
	}
	return deployment.Deployment{
		Bottleneck: "narrow", DeepestKind: "deep",
		Services: []deployment.Service{{Name: "wide", ServiceTime: 10 * time.Millisecond}, {Name: "narrow", ServiceTime: 100 * time.Millisecond}},
		Classes:  []deployment.Class{class("urgent"), class("usual"), class("least")},
	}
}

func result(id, phase, service string, at time.Duration, inTime bool) collector.Result {
	reported := core.ReportedResult{ID: core.RequestID(id), Phase: phase, Service: cassiatally.Service(service), Kind: "do", InTime: inTime}
	if inTime {
		reported.Status = http.StatusOK
	}
	return collector.Result{ReportedResult: reported, At: epoch.Add(at)}
}

// steadyResults returns a result every 10 ms from one time to another.
func steadyResults(phase, service string, from, to time.Duration, inTime bool) []collector.Result {
	var all []collector.Result
	for at := from; at < to; at += 10 * time.Millisecond {
		all = append(all, result("r", phase, service, at, inTime))
	}
	return all
}

func observe(phases []loadplan.Phase, disturbanceEnd time.Duration, results ...[]collector.Result) observation.Observation {
	o := observation.Observation{Start: epoch, Mode: "adaptive"}
	o.Scenario = scenario.Scenario{Phases: phases, DisturbanceEnd: disturbanceEnd, Capacity: 100}
	for _, r := range results {
		o.Requests = append(o.Requests, r...)
	}
	return o
}

func phase(name loadplan.PhaseName, seconds int) loadplan.Phase {
	return loadplan.Phase{Name: name, Duration: time.Duration(seconds) * time.Second}
}

func approximatelyEqual(a, b float64) bool { return math.Abs(a-b) < 1e-6 }

// TestGoodput guards against goodput that counts late answers, answers outside the
// phase, or those of its first part, in which queues still adapt to the new load.
func TestGoodput(t *testing.T) {
	phases := []loadplan.Phase{phase("warm", 1), phase("x3", 5)}
	cases := map[string]struct {
		results []collector.Result
		want    float64
	}{
		"a full phase at capacity":         {steadyResults("x3", "usual", time.Second, 6*time.Second, true), 1},
		"answers that are late":            {steadyResults("x3", "usual", time.Second, 6*time.Second, false), 0},
		"only the transient part":          {steadyResults("x3", "usual", time.Second, 2*time.Second, true), 0},
		"only the second half of the rest": {steadyResults("x3", "usual", 4*time.Second, 6*time.Second, true), 0.5},
		"answers after the phase":          {steadyResults("x3", "usual", 6*time.Second, 7*time.Second, true), 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(approximatelyEqual(Goodput(observe(phases, 0, c.results), "x3", 100), c.want))
		})
	}
	t.Run("a phase that was not run has no goodput", func(t *testing.T) {
		is := is.New(t)
		is.True(math.IsNaN(Goodput(observe(phases, 0), "x6", 100)))
	})
}

// TestRecoveryTime guards against a recovery that is reported while requests still
// fail, or although there was none.
func TestRecoveryTime(t *testing.T) {
	phases := []loadplan.Phase{phase(scenario.PhaseBefore, 2), phase(scenario.PhaseDisturbed, 2), phase(scenario.PhaseAfter, 4)}
	before := steadyResults("before", "usual", 0, 2*time.Second, true)
	disturbed := steadyResults("disturbed", "usual", 2*time.Second, 4*time.Second, false)
	after := func(failing time.Duration) []collector.Result {
		end := 4*time.Second + failing
		return append(steadyResults("after", "usual", 4*time.Second, end, false), steadyResults("after", "usual", end, 8*time.Second, true)...)
	}
	cases := map[string]struct {
		failing time.Duration
		want    time.Duration
	}{
		"at once":                         {0, 0},
		"after one second":                {time.Second, time.Second},
		"never within the time":           {4 * time.Second, 4 * time.Second},
		"a window with 5% failing counts": {120 * time.Millisecond, 100 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(RecoveryTime(observe(phases, 4*time.Second, before, disturbed, after(c.failing))), c.want)
		})
	}
}

// TestStableRecoveryTime guards against reporting a recovery that does not last:
// windows reach the threshold and miss it again.
func TestStableRecoveryTime(t *testing.T) {
	phases := []loadplan.Phase{phase(scenario.PhaseBefore, 2), phase(scenario.PhaseAfter, 4)}
	before := steadyResults("before", "usual", 0, 2*time.Second, true)
	after := func(from, to time.Duration) []collector.Result {
		all := steadyResults("after", "usual", 2*time.Second, 6*time.Second, true)
		for i := range all {
			if at := all[i].At.Sub(epoch); at >= from && at < to {
				all[i].InTime = false
			}
		}
		return all
	}
	cases := map[string]struct {
		failFrom, failTo time.Duration
		want             time.Duration
	}{
		"never below":                  {0, 0, 0},
		"below at the beginning":       {2 * time.Second, 3 * time.Second, time.Second},
		"reached and lost again":       {3 * time.Second, 4 * time.Second, 2 * time.Second},
		"below at the end of the time": {5 * time.Second, 6 * time.Second, 4 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(StableRecoveryTime(observe(phases, 2*time.Second, before, after(c.failFrom, c.failTo))), c.want)
		})
	}
}

// TestRecoveryTimeUsesDueTimes guards against answers to requests of the disturbed
// phase that count as a recovery because they arrive after it.
func TestRecoveryTimeUsesDueTimes(t *testing.T) {
	is := is.New(t)
	phases := []loadplan.Phase{phase(scenario.PhaseBefore, 2), phase(scenario.PhaseAfter, 2)}
	o := observe(phases, 2*time.Second, steadyResults("before", "usual", 0, 2*time.Second, true), steadyResults("after", "usual", 2*time.Second, 4*time.Second, true))
	for i := range o.Requests {
		if o.Requests[i].Phase == "after" {
			o.Requests[i].LatencyMS = 2000
		}
	}
	is.Equal(RecoveryTime(o), 2*time.Second)
}

func deepRun(id string) core.Run {
	return core.Run{ID: core.RequestID(id), Service: "narrow", Kind: "deep", Start: epoch, End: epoch.Add(100 * time.Millisecond)}
}

// TestExecutionsPerRequest guards against counting copies that callers sent again
// as separate requests, which would hide how retries multiply the work.
func TestExecutionsPerRequest(t *testing.T) {
	other := deepRun("c")
	other.Service = "wide"
	cases := map[string]struct {
		runs []core.Run
		want float64
	}{
		"one run each":          {[]core.Run{deepRun("a"), deepRun("b")}, 1},
		"one request run twice": {[]core.Run{deepRun("a"), deepRun("a"), deepRun("b")}, 1.5},
		"other services":        {[]core.Run{deepRun("a"), other, other}, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(approximatelyEqual(ExecutionsPerRequest(c.runs, testDeployment()), c.want))
		})
	}
	t.Run("no runs give no result", func(t *testing.T) {
		is := is.New(t)
		is.True(math.IsNaN(ExecutionsPerRequest(nil, testDeployment())))
	})
}

// TestWaste guards against counting the time in which a run waits for onward calls
// as work, and against counting late answers as useful.
func TestWaste(t *testing.T) {
	parent := core.Run{ID: "a", Service: "wide", Start: epoch, End: epoch.Add(time.Second)}
	cases := map[string]struct {
		results []collector.Result
		runs    []core.Run
		want    float64
	}{
		"all useful":                   {[]collector.Result{result("a", "x3", "usual", 0, true)}, []core.Run{deepRun("a"), parent}, 0},
		"half wasted":                  {[]collector.Result{result("a", "x3", "usual", 0, true), result("b", "x3", "usual", 0, false)}, []core.Run{deepRun("a"), deepRun("b")}, 0.5},
		"a parent without its waiting": {[]collector.Result{result("a", "x3", "usual", 0, false), result("b", "x3", "usual", 0, true)}, []core.Run{parent, deepRun("b")}, 10.0 / 110},
		"a run that did not end":       {[]collector.Result{result("a", "x3", "usual", 0, true)}, []core.Run{deepRun("a"), {ID: "b", Service: "narrow", Start: epoch}}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := &Measurer{Deployment: testDeployment(), Policies: policies{}}
			o := observe(nil, 0, c.results)
			o.Runs = c.runs
			is.True(approximatelyEqual(m.Waste(o), c.want))
		})
	}
}

// TestUrgentInTime guards against counting less urgent requests, or phases in which
// urgent demand alone exceeds capacity, in the fraction of urgent requests in time.
func TestUrgentInTime(t *testing.T) {
	fits := phase("x1.5", 1)
	fits.Rates = map[loadplan.ClassName]loadplan.Rate{"urgent": 90}
	exceeds := phase("x6", 1)
	exceeds.Rates = map[loadplan.ClassName]loadplan.Rate{"urgent": 110}
	o := observe([]loadplan.Phase{fits, exceeds}, 0,
		steadyResults("x1.5", "urgent", 0, 900*time.Millisecond, true), steadyResults("x1.5", "urgent", 0, 100*time.Millisecond, false),
		steadyResults("x1.5", "usual", 0, time.Second, false), steadyResults("x6", "urgent", time.Second, 2*time.Second, false))
	is := is.New(t)
	m := &Measurer{Deployment: testDeployment(), Policies: policies{}}
	is.True(approximatelyEqual(m.urgentInTime(o, "x1.5", "x6"), 0.9))
}

// TestKeptShare guards against comparing the goodput of a rank with more than its
// demand, and against counting goodput of other ranks for it.
func TestKeptShare(t *testing.T) {
	flood := phase(scenario.PhaseFloodUrgent, 5)
	flood.Rates = map[loadplan.ClassName]loadplan.Rate{"urgent": 400, "usual": 40, "least": 5}
	results := [][]collector.Result{
		steadyResults("flood_urgent", "urgent", 0, 5*time.Second, true),
		// Rank 1 gets 10 a second; its reserved share is 20 a second.
		{},
	}
	for at := time.Duration(0); at < 5*time.Second; at += 100 * time.Millisecond {
		results[1] = append(results[1], result("u", "flood_urgent", "usual", at, true))
	}
	o := observe([]loadplan.Phase{flood}, 0, results...)
	m := &Measurer{Deployment: testDeployment(), Policies: policies{}}
	is := is.New(t)
	is.True(approximatelyEqual(m.keptShare(o, 1), 0.5))
	is.True(approximatelyEqual(m.keptShare(o, 2), 0))
	is.True(math.IsNaN(m.keptShare(o, 3)))
}

// TestMet guards against comparing a result with the wrong side of a target and
// against a missing result that passes.
func TestMet(t *testing.T) {
	cases := map[string]struct {
		bound  Bound
		number float64
		want   bool
	}{
		"at least, equal":   {AtLeast, 0.95, true},
		"at least, below":   {AtLeast, 0.94, false},
		"at most, equal":    {AtMost, 0.95, true},
		"at most, above":    {AtMost, 0.96, false},
		"at most, missing":  {AtMost, math.NaN(), false},
		"at least, missing": {AtLeast, math.NaN(), false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(Definition{Bound: c.bound, Target: 0.95}.Met(c.number), c.want)
		})
	}
}
