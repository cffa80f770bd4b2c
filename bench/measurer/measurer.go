// Package measurer works out measures from observations. It does no input or
// output.
//
// # Usage
//
//	m := &measurer.Measurer{Deployment: dep, Book: book}
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
	// backWindow and backStep are the windows over which a recovery is looked for;
	// backPart is the part of the level before that counts as recovered.
	backWindow = 500 * time.Millisecond
	backStep   = 100 * time.Millisecond
	backPart   = 0.95
	// settlePart is the first part of a phase, which goodput leaves out since the
	// change of load is not yet through the queues.
	settlePart = 0.2
)

// Policies tells ranks and shares.
type Policies interface {
	Rank(s cassiatally.Service, k cassiatally.WorkKind) cassiatally.Rank
	Share(r cassiatally.Rank) cassiatally.Share
}

// Value is the result of one measure in one mode.
type Value struct {
	Measure ID
	Mode    observation.Mode
	// Number is NaN when the measure could not be taken.
	Number float64
}

// Measurer works out measures.
type Measurer struct {
	Deployment deployment.Deployment
	Policies   Policies
	// Capacity is the measured capacity of the narrow service; 0 when it was not
	// measured.
	Capacity loadplan.Rate
}

// Measure returns the measures of one observation.
func (m *Measurer) Measure(o observation.Observation) []Value {
	var values []Value
	add := func(id ID, n float64) { values = append(values, Value{id, o.Mode, n}) }
	switch o.Scenario.Name {
	case scenario.Cost:
		cost(o.Cost, add)
	case scenario.Demand:
		m.demand(o, add)
		add(ExecutionsOverload, ExecutionsPerRequest(o.Runs, m.Deployment))
		add(WasteOverload, m.Waste(o))
	case scenario.Flood:
		m.flood(o, add)
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

func cost(c *observation.Cost, add func(ID, float64)) {
	const kibi = 1 << 10
	add(AddedP50, millis(c.AddedP50))
	add(AddedP99, millis(c.AddedP99))
	add(ControlRest, c.Rest.ControlBytesPerSecond/kibi)
	add(ControlBusy, c.Busy.ControlBytesPerSecond/kibi)
	add(ProcessorRest, c.Rest.Cores)
	add(ProcessorBusy, c.Busy.Cores)
	add(MemoryRest, c.Rest.ResidentBytes/kibi/kibi)
	add(MemoryBusy, c.Busy.ResidentBytes/kibi/kibi)
	add(SheetInForce, c.SheetPropagation.Seconds())
}

func (m *Measurer) demand(o observation.Observation, add func(ID, float64)) {
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
	add(UrgentOverload, m.urgent(o, scenario.DemandPhase(1.5), scenario.DemandPhase(3), scenario.DemandPhase(6)))
}

func (m *Measurer) flood(o observation.Observation, add func(ID, float64)) {
	add(UrgentFlood, m.urgent(o, scenario.PhaseFloodLeast))
	add(OthersFlood, m.others(o))
	for i, id := range []ID{ShareRank1, ShareRank2, ShareRank3} {
		add(id, m.kept(o, cassiatally.Rank(i+1)))
	}
}

// urgent returns the part of the most urgent requests that were completed in
// time, over the phases in which the demand of that rank alone fits.
func (m *Measurer) urgent(o observation.Observation, phases ...loadplan.PhaseName) float64 {
	var tally tally
	for _, p := range o.Scenario.Phases {
		if !slices.Contains(phases, p.Name) || m.demandOf(p, 0) >= o.Scenario.Capacity {
			continue
		}
		for _, r := range o.Requests {
			if r.Phase == string(p.Name) && m.rank(r) == 0 {
				tally.add(r)
			}
		}
	}
	return tally.part()
}

// others returns the part of the requests of all but the flooding rank that were
// completed in time while the least urgent work floods.
func (m *Measurer) others(o observation.Observation) float64 {
	least := cassiatally.Rank(0)
	for _, c := range m.Deployment.Classes {
		least = max(least, m.Policies.Rank(c.Service, c.Kind))
	}
	var tally tally
	for _, r := range o.Requests {
		if r.Phase == string(scenario.PhaseFloodLeast) && m.rank(r) != least {
			tally.add(r)
		}
	}
	return tally.part()
}

// kept returns the goodput of a rank in a flood of the most urgent work over its
// stated share, or over its demand when that is smaller.
func (m *Measurer) kept(o observation.Observation, rank cassiatally.Rank) float64 {
	for _, p := range o.Scenario.Phases {
		if p.Name != scenario.PhaseFloodUrgent {
			continue
		}
		stated := min(loadplan.Rate(m.Policies.Share(rank))*o.Scenario.Capacity, m.demandOf(p, rank))
		if stated <= 0 {
			return math.NaN()
		}
		own := o
		own.Requests = nil
		for _, r := range o.Requests {
			if m.rank(r) == rank {
				own.Requests = append(own.Requests, r)
			}
		}
		return Goodput(own, p.Name, stated)
	}
	return math.NaN()
}

func (m *Measurer) demandOf(p loadplan.Phase, rank cassiatally.Rank) loadplan.Rate {
	var sum loadplan.Rate
	for _, c := range m.Deployment.Classes {
		if m.Policies.Rank(c.Service, c.Kind) == rank {
			sum += p.Rates[c.Name]
		}
	}
	return sum
}

func (m *Measurer) rank(r collector.Result) cassiatally.Rank {
	return m.Policies.Rank(r.Service, r.Kind)
}

// Goodput returns the rate at which whole answers arrived in time in a phase,
// but for its first part, over the capacity.
func Goodput(o observation.Observation, phase loadplan.PhaseName, capacity loadplan.Rate) float64 {
	from, to := o.Scenario.PhaseSpan(phase)
	from += time.Duration(float64(to-from) * settlePart)
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

// Back returns the time from the end of a disturbance until requests are
// completed in time as often as before: in a window that begins then, the part
// of the requests due that were completed in time is at least 0.95 of that part
// before. Parts of what was due are compared, and not rates, since a rate over
// such a short window varies by more than 0.05 by chance. When there is no such
// window, it returns the time that was observed, which is then a lower bound.
func RecoveryTime(o observation.Observation) time.Duration {
	from, to := o.Scenario.PhaseSpan(scenario.PhaseBefore)
	level := partDue(o, from+time.Duration(float64(to-from)*settlePart), to) * backPart
	_, end := o.Scenario.PhaseSpan(scenario.PhaseAfter)
	for at := o.Scenario.DisturbanceEnd; at+backWindow <= end; at += backStep {
		if part := partDue(o, at, at+backWindow); part >= level && part > 0 {
			return at - o.Scenario.DisturbanceEnd
		}
	}
	return end - o.Scenario.DisturbanceEnd
}

// Stays returns the time from the end of a disturbance after which no window of
// the time that was observed falls below the level that Back looks for. It is
// longer than Back when the level is reached and lost again, as after the loss
// of a data centre, whose effect begins late.
func StableRecoveryTime(o observation.Observation) time.Duration {
	from, to := o.Scenario.PhaseSpan(scenario.PhaseBefore)
	level := partDue(o, from+time.Duration(float64(to-from)*settlePart), to) * backPart
	_, end := o.Scenario.PhaseSpan(scenario.PhaseAfter)
	stays := end
	for at := end - backWindow; at >= o.Scenario.DisturbanceEnd; at -= backStep {
		if part := partDue(o, at, at+backWindow); part < level || part == 0 {
			break
		}
		stays = at
	}
	return stays - o.Scenario.DisturbanceEnd
}

// partDue returns the part of the requests due in a window that were completed
// in time.
func partDue(o observation.Observation, from, to time.Duration) float64 {
	var tally tally
	for _, r := range o.Requests {
		if due := o.Due(r); due >= from && due < to {
			tally.add(r)
		}
	}
	return tally.part()
}

// Executions returns the number of runs of the deepest work for each request
// that reached it. Copies that a caller sent again count as the same request.
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

// Waste returns the part of all work that was done for requests whose callers
// got no whole answer in time. The work of a run is its time at the narrow
// service, and elsewhere its time without the wait for onward calls.
func (m *Measurer) Waste(o observation.Observation) float64 {
	completed := make(map[core.RequestID]bool)
	for _, r := range o.Requests {
		completed[r.ID] = r.InTime
	}
	var all, wasted time.Duration
	for _, r := range o.Runs {
		w := m.work(r)
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

func (m *Measurer) work(r core.Run) time.Duration {
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

func (t *tally) part() float64 {
	if t.all == 0 {
		return math.NaN()
	}
	return float64(t.inTime) / float64(t.all)
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
