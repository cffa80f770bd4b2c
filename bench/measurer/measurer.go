// Package measurer computes measures from observations. It does no input or
// output.
//
// # Usage
//
//	m := &measurer.Measurer{Deployment: dep, Policies: book}
//	values := m.Measure(observation)
package measurer

import (
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/cassiatally/cassiatally/bench/collector"
	"github.com/cassiatally/cassiatally/bench/deployment"
	"github.com/cassiatally/cassiatally/bench/observation"
	"github.com/cassiatally/cassiatally/bench/scenario"
	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/standin/core"
	"github.com/cassiatally/cassiatally/standin/loadplan"
)

const (
	// Recovery is looked for in windows of recoveryWindow, which begin recoveryStep
	// apart. A window counts as recovered when its fraction of requests in time is at
	// least recoveredFraction of that before the disturbance.
	recoveryWindow    = 500 * time.Millisecond
	recoveryStep      = 100 * time.Millisecond
	recoveredFraction = 0.95
	// transientFraction is the first part of a phase, as a fraction of its length.
	// Goodput and the reference for recovery leave it out, since the queues still hold
	// requests of the load before.
	transientFraction = 0.2
)

// Policies looks up the ranks of work and the shares of ranks.
type Policies interface {
	Rank(s cassiatally.Service, k cassiatally.WorkKind) cassiatally.Rank
	Share(r cassiatally.Rank) cassiatally.Share
}

// Value is the result of one measure with one mode.
type Value struct {
	Measure ID
	Mode    observation.ModeName
	// Number is NaN when the measure could not be computed.
	Number float64
}

// Measurer computes measures for one deployment.
type Measurer struct {
	Deployment deployment.Deployment
	Policies   Policies
	// Capacity is the measured capacity of the bottleneck service; 0 when it was
	// not measured.
	Capacity loadplan.Rate
}

// Measure returns the measures of one observation.
func (m *Measurer) Measure(o observation.Observation) []Value {
	var values []Value
	add := func(id ID, n float64) { values = append(values, Value{id, o.Mode, n}) }
	switch o.Scenario.Name {
	case scenario.Cost:
		addCostMeasures(o.Cost, add)
	case scenario.Demand:
		m.addDemandMeasures(o, add)
		add(ExecutionsOverload, ExecutionsPerRequest(o.Runs, m.Deployment))
		add(WasteOverload, m.Waste(o))
	case scenario.Flood:
		m.addFloodMeasures(o, add)
	case scenario.Surge:
		add(BackSurge, RecoveryTime(o).Seconds())
		add(StaysSurge, StableRecoveryTime(o).Seconds())
	case scenario.Slow:
		add(BackSlow, RecoveryTime(o).Seconds())
		add(StaysSlow, StableRecoveryTime(o).Seconds())
		add(ExecutionsSlow, ExecutionsPerRequest(o.Runs, m.Deployment))
		add(WasteSlow, m.Waste(o))
	case scenario.Unequal:
		add(GoodputUnequal, Goodput(o, scenario.PhaseUnequal, o.Scenario.Capacity))
	case scenario.Lost:
		add(BackLost, RecoveryTime(o).Seconds())
		add(StaysLost, StableRecoveryTime(o).Seconds())
	}
	return values
}

func addCostMeasures(c *observation.Cost, add func(ID, float64)) {
	const kibi = 1 << 10
	add(AddedP50, milliseconds(c.AddedP50))
	add(AddedP99, milliseconds(c.AddedP99))
	add(ControlRest, c.Rest.ControlBytesPerSecond/kibi)
	add(ControlBusy, c.Busy.ControlBytesPerSecond/kibi)
	add(ProcessorRest, c.Rest.Cores)
	add(ProcessorBusy, c.Busy.Cores)
	add(MemoryRest, c.Rest.ResidentBytes/kibi/kibi)
	add(MemoryBusy, c.Busy.ResidentBytes/kibi/kibi)
	add(SheetInForce, c.SheetPropagation.Seconds())
}

func (m *Measurer) addDemandMeasures(o observation.Observation, add func(ID, float64)) {
	ids := map[float64]ID{0.8: Goodput08, 1.5: Goodput15, 3: Goodput3, 6: Goodput6}
	worst := math.Inf(1)
	for _, multiple := range scenario.DemandMultiples() {
		phase := scenario.DemandPhase(multiple)
		g := Goodput(o, phase, o.Scenario.Capacity)
		add(ids[multiple], g)
		if multiple > 1 && m.Capacity > 0 && !math.IsNaN(g) {
			worst = min(worst, Goodput(o, phase, m.Capacity))
		}
	}
	if !math.IsInf(worst, 1) {
		add(GoodputMeasured, worst)
	}
	add(UrgentOverload, m.urgentInTime(o, scenario.DemandPhase(1.5), scenario.DemandPhase(3), scenario.DemandPhase(6)))
}

func (m *Measurer) addFloodMeasures(o observation.Observation, add func(ID, float64)) {
	add(UrgentFlood, m.urgentInTime(o, scenario.PhaseFloodLeast))
	add(OthersFlood, m.othersInTime(o))
	for i, id := range []ID{ShareRank1, ShareRank2, ShareRank3} {
		add(id, m.keptShare(o, cassiatally.Rank(i+1)))
	}
}

// urgentInTime returns the fraction of the most urgent requests that were completed
// in time, over the phases in which the demand of that rank alone is below
// capacity.
func (m *Measurer) urgentInTime(o observation.Observation, phases ...loadplan.PhaseName) float64 {
	var tally tally
	for _, p := range o.Scenario.Phases {
		if !slices.Contains(phases, p.Name) || m.rankDemand(p, 0) >= o.Scenario.Capacity {
			continue
		}
		for _, r := range o.Requests {
			if r.Phase == string(p.Name) && m.rankOf(r) == 0 {
				tally.add(r)
			}
		}
	}
	return tally.fraction()
}

// othersInTime returns the fraction of the requests of all but the flooding rank
// that were completed in time while the least urgent work floods.
func (m *Measurer) othersInTime(o observation.Observation) float64 {
	leastUrgent := cassiatally.Rank(0)
	for _, c := range m.Deployment.Classes {
		leastUrgent = max(leastUrgent, m.Policies.Rank(c.Service, c.Kind))
	}
	var tally tally
	for _, r := range o.Requests {
		if r.Phase == string(scenario.PhaseFloodLeast) && m.rankOf(r) != leastUrgent {
			tally.add(r)
		}
	}
	return tally.fraction()
}

// keptShare returns the goodput of a rank in a flood of the most urgent work,
// divided by its reserved share of the capacity, or by its demand when that is
// smaller.
func (m *Measurer) keptShare(o observation.Observation, rank cassiatally.Rank) float64 {
	for _, p := range o.Scenario.Phases {
		if p.Name != scenario.PhaseFloodUrgent {
			continue
		}
		expected := min(loadplan.Rate(m.Policies.Share(rank))*o.Scenario.Capacity, m.rankDemand(p, rank))
		if expected <= 0 {
			return math.NaN()
		}
		rankOnly := o
		rankOnly.Requests = nil
		for _, r := range o.Requests {
			if m.rankOf(r) == rank {
				rankOnly.Requests = append(rankOnly.Requests, r)
			}
		}
		return Goodput(rankOnly, p.Name, expected)
	}
	return math.NaN()
}

func (m *Measurer) rankDemand(p loadplan.Phase, rank cassiatally.Rank) loadplan.Rate {
	var sum loadplan.Rate
	for _, c := range m.Deployment.Classes {
		if m.Policies.Rank(c.Service, c.Kind) == rank {
			sum += p.Rates[c.Name]
		}
	}
	return sum
}

func (m *Measurer) rankOf(r collector.Result) cassiatally.Rank {
	return m.Policies.Rank(r.Service, r.Kind)
}

// Goodput returns the rate at which complete answers arrived in time in a phase,
// divided by the capacity. The transient part of the phase is left out.
func Goodput(o observation.Observation, phase loadplan.PhaseName, capacity loadplan.Rate) float64 {
	from, to := o.Scenario.PhaseSpan(phase)
	from += time.Duration(float64(to-from) * transientFraction)
	if to <= from || capacity <= 0 {
		return math.NaN()
	}
	n := 0
	for _, r := range o.Requests {
		at := r.At.Sub(o.Start)
		if r.InTime && at >= from && at < to {
			n++
		}
	}
	return float64(n) / (to - from).Seconds() / float64(capacity)
}

// RecoveryTime returns the time from the end of a disturbance to the first window
// in which the fraction of due requests completed in time is at least 0.95 of that
// fraction before the disturbance. It compares fractions of the due requests and
// not rates, since a rate over such a short window varies by more than 0.05 by
// chance. When there is no such window, it returns the whole observed time, which
// is then a lower bound.
func RecoveryTime(o observation.Observation) time.Duration {
	from, to := o.Scenario.PhaseSpan(scenario.PhaseBefore)
	threshold := fractionInTime(o, from+time.Duration(float64(to-from)*transientFraction), to) * recoveredFraction
	_, end := o.Scenario.PhaseSpan(scenario.PhaseAfter)
	for at := o.Scenario.DisturbanceEnd; at+recoveryWindow <= end; at += recoveryStep {
		if fraction := fractionInTime(o, at, at+recoveryWindow); fraction >= threshold && fraction > 0 {
			return at - o.Scenario.DisturbanceEnd
		}
	}
	return end - o.Scenario.DisturbanceEnd
}

// StableRecoveryTime returns the time from the end of a disturbance after which no
// observed window falls below the threshold that RecoveryTime looks for. It is
// longer than RecoveryTime when the threshold is reached and missed again, as after
// the loss of a data centre, whose effect begins late.
func StableRecoveryTime(o observation.Observation) time.Duration {
	from, to := o.Scenario.PhaseSpan(scenario.PhaseBefore)
	threshold := fractionInTime(o, from+time.Duration(float64(to-from)*transientFraction), to) * recoveredFraction
	_, end := o.Scenario.PhaseSpan(scenario.PhaseAfter)
	recovered := end
	for at := end - recoveryWindow; at >= o.Scenario.DisturbanceEnd; at -= recoveryStep {
		if fraction := fractionInTime(o, at, at+recoveryWindow); fraction < threshold || fraction == 0 {
			break
		}
		recovered = at
	}
	return recovered - o.Scenario.DisturbanceEnd
}

// fractionInTime returns the fraction of the requests due in a window that were
// completed in time.
func fractionInTime(o observation.Observation, from, to time.Duration) float64 {
	var tally tally
	for _, r := range o.Requests {
		if due := o.Due(r); due >= from && due < to {
			tally.add(r)
		}
	}
	return tally.fraction()
}

// ExecutionsPerRequest returns the mean number of runs of the deepest kind of work
// over the requests that reached it. Copies that a caller sent again count as the
// same request.
func ExecutionsPerRequest(runs []core.Run, d deployment.Deployment) float64 {
	roots := make(map[core.RequestID]bool)
	n := 0
	for _, r := range runs {
		if r.Service == d.Bottleneck && r.Kind == d.DeepestKind {
			n++
			roots[r.ID] = true
		}
	}
	if len(roots) == 0 {
		return math.NaN()
	}
	return float64(n) / float64(len(roots))
}

// Waste returns the fraction of all work that was done for requests whose callers
// got no complete answer in time. The work of a run is its duration at the
// bottleneck service, and elsewhere its duration without the wait for onward calls.
func (m *Measurer) Waste(o observation.Observation) float64 {
	completed := make(map[core.RequestID]bool)
	for _, r := range o.Requests {
		completed[r.ID] = r.InTime
	}
	var all, wasted time.Duration
	for _, r := range o.Runs {
		w := m.workTime(r)
		all += w
		if !completed[r.ID] {
			wasted += w
		}
	}
	if all == 0 {
		return math.NaN()
	}
	return float64(wasted) / float64(all)
}

func (m *Measurer) workTime(r core.Run) time.Duration {
	if r.End.IsZero() {
		return 0
	}
	took := r.End.Sub(r.Start)
	if r.Service == m.Deployment.Bottleneck {
		return took
	}
	for _, s := range m.Deployment.Services {
		if s.Name == r.Service {
			return min(took, s.ServiceTime)
		}
	}
	return took
}

// tally counts requests and those completed in time.
type tally struct{ all, inTime int }

func (t *tally) add(r collector.Result) {
	t.all++
	if r.InTime && r.Status == http.StatusOK {
		t.inTime++
	}
}

func (t *tally) fraction() float64 {
	if t.all == 0 {
		return math.NaN()
	}
	return float64(t.inTime) / float64(t.all)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
