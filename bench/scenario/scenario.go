// Package scenario defines the loads and disturbances that experiments run.
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
	PhaseWarm        loadplan.PhaseName = "warm"
	PhaseCooldown    loadplan.PhaseName = "rest"
	PhaseBefore      loadplan.PhaseName = "before"
	PhaseDisturbed   loadplan.PhaseName = "disturbed"
	PhaseAfter       loadplan.PhaseName = "after"
	PhaseFloodLeast  loadplan.PhaseName = "flood_least"
	PhaseFloodUrgent loadplan.PhaseName = "flood_urgent"
	PhaseUnequal     loadplan.PhaseName = "unequal"
)

// Loads in multiples of the capacity of the bottleneck service.
const (
	warmLoad    = 0.3
	steadyLoad  = 0.7
	surgeLoad   = 3
	unequalLoad = 1.5
	// lostLoad is below the capacity that is left when one of four data centres is
	// lost.
	lostLoad = 0.6
	// floodLoad is the load of the class that floods, otherLoad that of each other
	// class during a flood of the most urgent work.
	floodLoad = 4
	otherLoad = 0.4
	// slowFactor is the factor by which the service time of the bottleneck service
	// grows in the scenario slow.
	slowFactor = 5
)

const (
	warmDuration     = 3 * time.Second
	cooldownDuration = 2 * time.Second
	// extraAfterDuration lengthens the phase after a disturbance, in which a recovery
	// is looked for.
	extraAfterDuration = 3 * time.Second
)

// DemandMultiples returns the loads of the demand scenario in multiples of the
// capacity.
func DemandMultiples() []float64 { return []float64{0.8, 1.5, 3, 6} }

// DemandPhase returns the name of the phase for a load of the demand scenario.
func DemandPhase(multiple float64) loadplan.PhaseName {
	return loadplan.PhaseName(fmt.Sprintf("x%g", multiple))
}

// unequalFactors returns the factors by which the service times of the bottleneck
// service's endpoints are multiplied.
func unequalFactors() []float64 { return []float64{0.5, 0.75, 1.5, 2} }

// Names returns all scenarios in the order in which they run. The one that kills a
// data centre is last, since the lost processes are not started again.
func Names() []Name { return []Name{Cost, Demand, Flood, Surge, Slow, Unequal, Lost} }

// Event is a change to the fleet, made at a time since the start of the load.
type Event struct {
	At time.Duration
	Do func(ctx context.Context, f *deployer.Fleet) error
}

// Scenario is a load with disturbances.
type Scenario struct {
	Name   Name
	Phases []loadplan.Phase
	Events []Event
	// DisturbanceEnd is the time since the start at which the disturbance ends.
	// Recovery is measured from then on.
	DisturbanceEnd time.Duration
	// Capacity is the capacity of the bottleneck service in the measured phases.
	Capacity loadplan.Rate
}

// PhaseSpan returns when a phase begins and ends, since the start; zeros for a
// phase that the scenario does not have.
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
	// Quick shortens the phases around the measured ones and leaves out some loads of
	// the demand scenario.
	Quick bool
	// Urgent and Least are the classes that flood the fleet in the flood scenario.
	Urgent loadplan.ClassName
	Least  loadplan.ClassName
}

// Named returns the scenario with the name.
func (c Catalogue) Named(n Name) (Scenario, error) {
	s := Scenario{Name: n, Capacity: c.Deployment.Capacity()}
	switch n {
	case Cost:
		// The cost meter generates the load of this scenario itself.
	case Demand:
		c.buildDemand(&s)
	case Flood:
		c.buildFlood(&s)
	case Surge:
		c.buildDisturbance(&s, surgeLoad, steadyLoad)
	case Slow:
		c.buildSlow(&s)
	case Unequal:
		c.buildUnequal(&s)
	case Lost:
		c.buildLost(&s)
	default:
		return s, errors.Newf("%q is no scenario; there are %v", n, Names())
	}
	return s, nil
}

func (c Catalogue) phase(n loadplan.PhaseName, d time.Duration, load float64) loadplan.Phase {
	return loadplan.Phase{Name: n, Duration: d, Rates: c.Deployment.MixedRates(load)}
}

func (c Catalogue) warm() loadplan.Phase { return c.phase(PhaseWarm, c.short(warmDuration), warmLoad) }

// cooldown returns a phase of low load after the measured phase of the name. Its
// name has to be unique, since ids of requests contain the name of their phase.
func (c Catalogue) cooldown(after loadplan.PhaseName) loadplan.Phase {
	return c.phase(PhaseCooldown+"_"+after, c.short(cooldownDuration), warmLoad)
}

// short halves a duration in the quick profile.
func (c Catalogue) short(d time.Duration) time.Duration {
	if c.Quick {
		return d / 2
	}
	return d
}

// demandMultiples leaves out loads to save time in the quick profile.
func (c Catalogue) demandMultiples() []float64 {
	all := DemandMultiples()
	if c.Quick {
		return []float64{all[1], all[len(all)-1]}
	}
	return all
}

func (c Catalogue) buildDemand(s *Scenario) {
	s.Phases = append(s.Phases, c.warm())
	for _, m := range c.demandMultiples() {
		p := c.phase(DemandPhase(m), c.Length, m)
		s.Phases = append(s.Phases, p, c.cooldown(p.Name))
	}
}

func (c Catalogue) buildFlood(s *Scenario) {
	capacity := c.Deployment.Capacity()
	least := c.phase(PhaseFloodLeast, c.Length, steadyLoad)
	least.Rates[c.Least] += floodLoad * capacity
	urgent := c.phase(PhaseFloodUrgent, c.Length, 0)
	for _, class := range c.Deployment.Classes {
		urgent.Rates[class.Name] = otherLoad * capacity
	}
	urgent.Rates[c.Urgent] = floodLoad * capacity
	s.Phases = []loadplan.Phase{c.warm(), least, c.cooldown(least.Name), urgent}
}

func (c Catalogue) buildDisturbance(s *Scenario, disturbed, steady float64) {
	s.Phases = []loadplan.Phase{
		c.warm(),
		c.phase(PhaseBefore, c.Length, steady),
		c.phase(PhaseDisturbed, c.Length, disturbed),
		c.phase(PhaseAfter, c.Length+c.short(extraAfterDuration), steady),
	}
	_, s.DisturbanceEnd = s.PhaseSpan(PhaseDisturbed)
}

func (c Catalogue) buildSlow(s *Scenario) {
	c.buildDisturbance(s, steadyLoad, steadyLoad)
	begin, end := s.PhaseSpan(PhaseDisturbed)
	bottleneck := c.Deployment.BottleneckService()
	s.Events = []Event{
		{At: begin, Do: setServiceTimes(bottleneck, slowFactor*bottleneck.ServiceTime)},
		{At: end, Do: setServiceTimes(bottleneck, bottleneck.ServiceTime)},
	}
}

func setServiceTimes(s deployment.Service, d time.Duration) func(context.Context, *deployer.Fleet) error {
	return func(ctx context.Context, f *deployer.Fleet) error {
		var err error
		for _, e := range f.EndpointsOf(s.Name) {
			err = errors.CombineErrors(err, f.SetServiceTime(ctx, e, d))
		}
		return err
	}
}

func (c Catalogue) buildUnequal(s *Scenario) {
	bottleneck := c.Deployment.BottleneckService()
	s.Capacity = 0
	for _, factor := range unequalFactors() {
		s.Capacity += loadplan.Rate(float64(bottleneck.Slots) / (bottleneck.ServiceTime.Seconds() * factor))
	}
	ratio := float64(s.Capacity / c.Deployment.Capacity())
	s.Phases = []loadplan.Phase{
		c.warm(),
		c.phase(PhaseBefore, c.Length, steadyLoad*ratio),
		c.phase(PhaseUnequal, c.Length, unequalLoad*ratio),
	}
	_, end := s.PhaseSpan(PhaseUnequal)
	s.Events = []Event{
		{At: 0, Do: func(ctx context.Context, f *deployer.Fleet) error { return setUnequalTimes(ctx, f, bottleneck) }},
		{At: end, Do: setServiceTimes(bottleneck, bottleneck.ServiceTime)},
	}
}

func setUnequalTimes(ctx context.Context, f *deployer.Fleet, s deployment.Service) error {
	var err error
	for i, e := range f.EndpointsOf(s.Name) {
		d := time.Duration(float64(s.ServiceTime) * unequalFactors()[i])
		err = errors.CombineErrors(err, f.SetServiceTime(ctx, e, d))
	}
	return err
}

// buildLost kills the last data centre. Recovery is measured from that time on.
func (c Catalogue) buildLost(s *Scenario) {
	s.Phases = []loadplan.Phase{
		c.warm(),
		c.phase(PhaseBefore, c.Length, lostLoad),
		c.phase(PhaseAfter, c.Length+c.short(extraAfterDuration), lostLoad),
	}
	_, s.DisturbanceEnd = s.PhaseSpan(PhaseBefore)
	s.Events = []Event{{At: s.DisturbanceEnd, Do: killLastDataCentre}}
}

func killLastDataCentre(_ context.Context, f *deployer.Fleet) error {
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
