// Package scenario has the loads and disturbances that experiments run.
//
// # Usage
//
//	c := scenario.Catalogue{Deployment: dep, Length: 5 * time.Second}
//	s, err := c.Named(scenario.Surge)
package scenario

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassiatally/cassiatally/bench/deployer"
	"github.com/cassiatally/cassiatally/bench/deployment"
	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/standin/loadplan"
)

// Name names a scenario.
type Name string

// The scenarios.
const (
	Cost    Name = "cost"
	Demand  Name = "demand"
	Flood   Name = "flood"
	Surge   Name = "surge"
	Slow    Name = "slow"
	Unequal Name = "unequal"
	Lost    Name = "lost"
)

// The phases that measures refer to.
const (
	PhaseWarmUp      loadplan.PhaseName = "warm"
	PhaseCooldown    loadplan.PhaseName = "rest"
	PhaseBefore      loadplan.PhaseName = "before"
	PhaseDisturbed   loadplan.PhaseName = "disturbed"
	PhaseAfter       loadplan.PhaseName = "after"
	PhaseFloodLeast  loadplan.PhaseName = "flood_least"
	PhaseFloodUrgent loadplan.PhaseName = "flood_urgent"
	PhaseUnequal     loadplan.PhaseName = "unequal"
)

// Loads in multiples of the capacity of the narrow service.
const (
	warmLoad    = 0.3
	steadyLoad  = 0.7
	surgeLoad   = 3
	unequalLoad = 1.5
	// lostLoad still fits when one of four data centres is lost.
	lostLoad = 0.6
	// floodLoad is the load of the class that floods, otherLoad that of each other
	// class during a flood of the most urgent work.
	floodLoad = 4
	otherLoad = 0.4
	// slowFactor is how much longer requests of the slowed service take.
	slowFactor = 5
)

const (
	warmTime = 3 * time.Second
	restTime = 2 * time.Second
	// afterTime is the time beyond a phase in which a recovery is looked for.
	afterTime = 3 * time.Second
)

// Multiples returns the loads of the demand scenario.
func DemandMultiples() []float64 { return []float64{0.8, 1.5, 3, 6} }

// DemandPhase returns the phase of a load of the demand scenario.
func DemandPhase(multiple float64) loadplan.PhaseName {
	return loadplan.PhaseName(fmt.Sprintf("x%g", multiple))
}

// unequalFactors multiply the service times of the narrow service's endpoints.
func unequalFactors() []float64 { return []float64{0.5, 0.75, 1.5, 2} }

// Names returns all scenarios in the order in which they run. The one that loses
// a data centre is last, since a fleet does not get it back.
func Names() []Name { return []Name{Cost, Demand, Flood, Surge, Slow, Unequal, Lost} }

// Event is a disturbance at a time since the start of the load.
type Event struct {
	At time.Duration
	Do func(ctx context.Context, f *deployer.Fleet) error
}

// Scenario is a load with disturbances.
type Scenario struct {
	Name   Name
	Phases []loadplan.Phase
	Events []Event
	// Restored is the time since the start at which the disturbance ends.
	DisturbanceEnd time.Duration
	// Capacity is the capacity of the narrow service in the measured phases.
	Capacity loadplan.Rate
}

// Offset returns when a phase begins and ends, since the start.
func (s Scenario) PhaseSpan(name loadplan.PhaseName) (from, to time.Duration) {
	for _, p := range s.Phases {
		to = from + p.Duration
		if p.Name == name {
			return from, to
		}
		from = to
	}
	return 0, 0
}

// Catalogue makes scenarios for a deployment.
type Catalogue struct {
	Deployment deployment.Deployment
	// Length is the length of a phase.
	Length time.Duration
	// Quick shortens the phases before and between measured ones.
	Quick bool
	// Urgent and Least are the classes that flood.
	Urgent loadplan.ClassName
	Least  loadplan.ClassName
}

// Named returns a scenario.
func (c Catalogue) Named(n Name) (Scenario, error) {
	s := Scenario{Name: n, Capacity: c.Deployment.Capacity()}
	switch n {
	case Cost:
		// The cost meter drives this one by itself.
	case Demand:
		c.demand(&s)
	case Flood:
		c.flood(&s)
	case Surge:
		c.disturbance(&s, surgeLoad, steadyLoad)
	case Slow:
		c.slow(&s)
	case Unequal:
		c.unequal(&s)
	case Lost:
		c.lost(&s)
	default:
		return s, errors.Newf("%q is no scenario; there are %v", n, Names())
	}
	return s, nil
}

func (c Catalogue) phase(n loadplan.PhaseName, d time.Duration, load float64) loadplan.Phase {
	return loadplan.Phase{Name: n, Duration: d, Rates: c.Deployment.MixedRates(load)}
}

func (c Catalogue) warm() loadplan.Phase { return c.phase(PhaseWarmUp, c.short(warmTime), warmLoad) }

// rest returns a pause after the measured phase of the name. Phases differ in
// name, since ids of requests hold it.
func (c Catalogue) rest(after loadplan.PhaseName) loadplan.Phase {
	return c.phase(PhaseCooldown+"_"+after, c.short(restTime), warmLoad)
}

func (c Catalogue) short(d time.Duration) time.Duration {
	if c.Quick {
		return d / 2
	}
	return d
}

// multiples leaves out loads to save time in the quick profile.
func (c Catalogue) multiples() []float64 {
	all := DemandMultiples()
	if c.Quick {
		return []float64{all[1], all[len(all)-1]}
	}
	return all
}

func (c Catalogue) demand(s *Scenario) {
	s.Phases = append(s.Phases, c.warm())
	for _, m := range c.multiples() {
		p := c.phase(DemandPhase(m), c.Length, m)
		s.Phases = append(s.Phases, p, c.rest(p.Name))
	}
}

func (c Catalogue) flood(s *Scenario) {
	capacity := c.Deployment.Capacity()
	least := c.phase(PhaseFloodLeast, c.Length, steadyLoad)
	least.Rates[c.Least] += floodLoad * capacity
	urgent := c.phase(PhaseFloodUrgent, c.Length, 0)
	for _, class := range c.Deployment.Classes {
		urgent.Rates[class.Name] = otherLoad * capacity
	}
	urgent.Rates[c.Urgent] = floodLoad * capacity
	s.Phases = []loadplan.Phase{c.warm(), least, c.rest(least.Name), urgent}
}

func (c Catalogue) disturbance(s *Scenario, disturbed, steady float64) {
	s.Phases = []loadplan.Phase{
		c.warm(),
		c.phase(PhaseBefore, c.Length, steady),
		c.phase(PhaseDisturbed, c.Length, disturbed),
		c.phase(PhaseAfter, c.Length+c.short(afterTime), steady),
	}
	_, s.DisturbanceEnd = s.PhaseSpan(PhaseDisturbed)
}

func (c Catalogue) slow(s *Scenario) {
	c.disturbance(s, steadyLoad, steadyLoad)
	begin, end := s.PhaseSpan(PhaseDisturbed)
	narrow := c.Deployment.BottleneckService()
	s.Events = []Event{
		{At: begin, Do: setAll(narrow, slowFactor*narrow.ServiceTime)},
		{At: end, Do: setAll(narrow, narrow.ServiceTime)},
	}
}

func setAll(s deployment.Service, d time.Duration) func(context.Context, *deployer.Fleet) error {
	return func(ctx context.Context, f *deployer.Fleet) error {
		var err error
		for _, e := range f.EndpointsOf(s.Name) {
			err = errors.CombineErrors(err, f.SetServiceTime(ctx, e, d))
		}
		return err
	}
}

func (c Catalogue) unequal(s *Scenario) {
	narrow := c.Deployment.BottleneckService()
	s.Capacity = 0
	for _, factor := range unequalFactors() {
		s.Capacity += loadplan.Rate(float64(narrow.Slots) / (narrow.ServiceTime.Seconds() * factor))
	}
	part := float64(s.Capacity / c.Deployment.Capacity())
	s.Phases = []loadplan.Phase{
		c.warm(),
		c.phase(PhaseBefore, c.Length, steadyLoad*part),
		c.phase(PhaseUnequal, c.Length, unequalLoad*part),
	}
	_, end := s.PhaseSpan(PhaseUnequal)
	s.Events = []Event{
		{At: 0, Do: func(ctx context.Context, f *deployer.Fleet) error { return setUnequal(ctx, f, narrow) }},
		{At: end, Do: setAll(narrow, narrow.ServiceTime)},
	}
}

func setUnequal(ctx context.Context, f *deployer.Fleet, s deployment.Service) error {
	var err error
	for i, e := range f.EndpointsOf(s.Name) {
		d := time.Duration(float64(s.ServiceTime) * unequalFactors()[i])
		err = errors.CombineErrors(err, f.SetServiceTime(ctx, e, d))
	}
	return err
}

// lost kills the last data centre. Recovery is looked for from that time on.
func (c Catalogue) lost(s *Scenario) {
	s.Phases = []loadplan.Phase{
		c.warm(),
		c.phase(PhaseBefore, c.Length, lostLoad),
		c.phase(PhaseAfter, c.Length+c.short(afterTime), lostLoad),
	}
	_, s.DisturbanceEnd = s.PhaseSpan(PhaseBefore)
	s.Events = []Event{{At: s.DisturbanceEnd, Do: killLast}}
}

func killLast(_ context.Context, f *deployer.Fleet) error {
	dc := lastDataCentre(f)
	for _, e := range f.Endpoints {
		if e.DataCentre == dc {
			e.Kill()
		}
	}
	return nil
}

func lastDataCentre(f *deployer.Fleet) cassiatally.DataCentre {
	all := f.Deployment.DataCentres
	return all[len(all)-1]
}
