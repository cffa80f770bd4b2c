// Package deployment describes the deployments that trials run: services, data
// centres, sizes of endpoints, call graph and classes of requests.
//
// # Usage
//
//	d, err := deployment.Named("barrier", 0.1)
//	capacity := d.Capacity()
package deployment

import (
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/standin/loadplan"
)

const (
	// narrowServiceTime and wideServiceTime are the service times at scale 1. The
	// narrow service of the barrier agency then serves 3,000 requests a second,
	// which is more than the shared machine can drive.
	narrowServiceTime = 20 * time.Millisecond
	wideServiceTime   = 2 * time.Millisecond
	// dataCentreLatency is the delay of links between nodes, one way.
	dataCentreLatency = time.Millisecond
)

// Name names a deployment.
type Name string

// The deployments.
const (
	Barrier Name = "barrier"
	Intake  Name = "intake"
)

// Names returns all deployments.
func Names() []Name { return []Name{Barrier, Intake} }

// Service describes a service; it has one endpoint in each data centre.
type Service struct {
	Name        cassiatally.Service
	Slots       cassiatally.Concurrency
	Connections cassiatally.Concurrency
	ServiceTime time.Duration
	// Work has an entry KIND=svc/kind,svc/kind for each kind of work.
	Work []string
}

// Class is a class of requests and its part of the mixed load.
type Class struct {
	loadplan.Class
	// Part is the part of the class in the mixed load, relative to the others.
	Weight float64
}

// Deployment describes a deployment.
type Deployment struct {
	Name        Name
	DataCentres []cassiatally.DataCentre
	Services    []Service
	// Narrow is the service with the least capacity. Each request of the classes
	// that Classes lists, but those marked in Elsewhere, calls it once.
	Bottleneck cassiatally.Service
	// Deep is the deepest kind of work of the call graph.
	DeepestKind cassiatally.WorkKind
	Classes     []Class
	// Elsewhere lists classes that do not call the narrow service.
	BypassingClasses []loadplan.ClassName
	// CallerLatency is the one-way delay of callers, LinkLatency that between
	// nodes.
	CallerLatency time.Duration
	LinkLatency   time.Duration
	// Sheet is the file of the sheet, below the root of the repository.
	Sheet string
}

// Named returns a deployment. The scale is the part of the stated rates that it
// serves; service times grow as it shrinks.
func Named(n Name, scale float64) (Deployment, error) {
	if scale <= 0 || scale > 1 {
		return Deployment{}, errors.Newf("the scale %g is not above 0 and at most 1", scale)
	}
	var d Deployment
	switch n {
	case Barrier:
		d = barrier()
	case Intake:
		d = intake()
	default:
		return d, errors.Newf("%q is no deployment; there are %v", n, Names())
	}
	d.Name = n
	d.LinkLatency = dataCentreLatency
	for i := range d.Services {
		s := &d.Services[i]
		s.ServiceTime = time.Duration(float64(wideServiceTime) / scale)
		if s.Name == d.Bottleneck {
			s.ServiceTime = time.Duration(float64(narrowServiceTime) / scale)
		}
	}
	return d, nil
}

// Capacity returns the capacity of the narrow service: slots over service time.
func (d Deployment) Capacity() loadplan.Rate {
	s := d.BottleneckService()
	return loadplan.Rate(float64(len(d.DataCentres)) * float64(s.Slots) / s.ServiceTime.Seconds())
}

// NarrowService returns the service with the least capacity.
func (d Deployment) BottleneckService() Service {
	i := slices.IndexFunc(d.Services, func(s Service) bool { return s.Name == d.Bottleneck })
	return d.Services[i]
}

// Mixed returns the rate of each class when all of them together send the
// narrow service the given load, in multiples of its capacity.
func (d Deployment) MixedRates(load float64) map[loadplan.ClassName]loadplan.Rate {
	sum := 0.0
	for _, c := range d.Classes {
		if !d.elsewhere(c.Name) {
			sum += c.Weight
		}
	}
	rates := make(map[loadplan.ClassName]loadplan.Rate)
	for _, c := range d.Classes {
		rates[c.Name] = loadplan.Rate(load*c.Weight/sum) * d.Capacity()
	}
	return rates
}

// FullyNarrow returns the deployment with classes that all call the narrow
// service, so that a flood of any class reaches it. No caller waits longer than
// the limit, which bounds the time that a trial takes to end.
func (d Deployment) AllThroughBottleneck(limit time.Duration) Deployment {
	d.Services = slices.Clone(d.Services)
	for i := range d.Services {
		s := &d.Services[i]
		s.Work = slices.Clone(s.Work)
		for j, w := range s.Work {
			if slices.Contains(d.BypassingClasses, loadplan.ClassName(w)) {
				s.Work[j] = fmt.Sprintf("%s=%s/%s", w, d.Bottleneck, d.DeepestKind)
			}
		}
	}
	d.BypassingClasses = nil
	d.Classes = slices.Clone(d.Classes)
	for i := range d.Classes {
		c := &d.Classes[i]
		c.Timeout = min(c.Timeout, limit)
		c.Target = min(c.Target, limit)
		c.Lookups = 0
	}
	return d
}

// Plan returns the plan of a load with the phases.
func (d Deployment) Plan(phases []loadplan.Phase) loadplan.Plan {
	plan := loadplan.Plan{Phases: phases}
	for _, c := range d.Classes {
		plan.Classes = append(plan.Classes, c.Class)
	}
	return plan
}

func (d Deployment) elsewhere(n loadplan.ClassName) bool {
	return slices.Contains(d.BypassingClasses, n)
}
