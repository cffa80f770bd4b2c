// Package deployment defines the deployments that trials run: services, data
// centres, endpoint sizes, call graph and request classes.
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
	// bottleneckServiceTime and otherServiceTime are the service times at scale 1.
	// The bottleneck service of the barrier agency then serves 3,000 requests a
	// second, which is more than the shared machine can drive.
	bottleneckServiceTime = 20 * time.Millisecond
	otherServiceTime      = 2 * time.Millisecond
	// linkLatency is the delay of links between nodes, one way.
	linkLatency = time.Millisecond
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
	// Work has an entry for each kind of work: KIND, or KIND=svc/kind,svc/kind with
	// its onward calls.
	Work []string
}

// Class is a class of requests and its weight in the mixed load.
type Class struct {
	loadplan.Class
	// Weight is the rate of the class in the mixed load, relative to the others.
	Weight float64
}

// Deployment describes services, their endpoints and the load that callers send.
type Deployment struct {
	Name        Name
	DataCentres []cassiatally.DataCentre
	Services    []Service
	// Bottleneck is the service with the least capacity. Each request calls it once,
	// but for those of the classes in Bypassing.
	Bottleneck cassiatally.Service
	// DeepestKind is the deepest kind of work in the call graph. The bottleneck
	// service does it.
	DeepestKind cassiatally.WorkKind
	Classes     []Class
	// Bypassing lists classes that do not call the bottleneck service.
	Bypassing []loadplan.ClassName
	// CallerLatency is the one-way delay between callers and nodes, LinkLatency that
	// between nodes.
	CallerLatency time.Duration
	LinkLatency   time.Duration
	// Sheet is the path of the sheet, relative to the root of the repository.
	Sheet string
}

// Named returns the deployment with the name. The scale, above 0 and at most 1, is
// the fraction of the stated rates that it serves: a smaller scale makes service
// times longer.
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
	d.LinkLatency = linkLatency
	for i := range d.Services {
		s := &d.Services[i]
		s.ServiceTime = time.Duration(float64(otherServiceTime) / scale)
		if s.Name == d.Bottleneck {
			s.ServiceTime = time.Duration(float64(bottleneckServiceTime) / scale)
		}
	}
	return d, nil
}

// Capacity returns the capacity of the bottleneck service: slots over service time.
func (d Deployment) Capacity() loadplan.Rate {
	s := d.BottleneckService()
	return loadplan.Rate(float64(len(d.DataCentres)) * float64(s.Slots) / s.ServiceTime.Seconds())
}

// BottleneckService returns the service with the least capacity.
func (d Deployment) BottleneckService() Service {
	i := slices.IndexFunc(d.Services, func(s Service) bool { return s.Name == d.Bottleneck })
	return d.Services[i]
}

// MixedRates returns the rate of each class for which all classes together put the
// given load on the bottleneck service, in multiples of its capacity.
func (d Deployment) MixedRates(load float64) map[loadplan.ClassName]loadplan.Rate {
	sum := 0.0
	for _, c := range d.Classes {
		if !d.bypasses(c.Name) {
			sum += c.Weight
		}
	}
	rates := make(map[loadplan.ClassName]loadplan.Rate)
	for _, c := range d.Classes {
		rates[c.Name] = loadplan.Rate(load*c.Weight/sum) * d.Capacity()
	}
	return rates
}

// AllThroughBottleneck returns the deployment with classes that all call the
// bottleneck service, so that a flood of any class reaches it. No caller waits
// longer than the limit, which bounds the time that a trial takes to end.
func (d Deployment) AllThroughBottleneck(limit time.Duration) Deployment {
	d.Services = slices.Clone(d.Services)
	for i := range d.Services {
		s := &d.Services[i]
		s.Work = slices.Clone(s.Work)
		for j, w := range s.Work {
			if slices.Contains(d.Bypassing, loadplan.ClassName(w)) {
				s.Work[j] = fmt.Sprintf("%s=%s/%s", w, d.Bottleneck, d.DeepestKind)
			}
		}
	}
	d.Bypassing = nil
	d.Classes = slices.Clone(d.Classes)
	for i := range d.Classes {
		c := &d.Classes[i]
		c.Timeout = min(c.Timeout, limit)
		c.Target = min(c.Target, limit)
		c.Lookups = 0
	}
	return d
}

// Plan returns a load plan of all classes with the phases.
func (d Deployment) Plan(phases []loadplan.Phase) loadplan.Plan {
	plan := loadplan.Plan{Phases: phases}
	for _, c := range d.Classes {
		plan.Classes = append(plan.Classes, c.Class)
	}
	return plan
}

func (d Deployment) bypasses(n loadplan.ClassName) bool { return slices.Contains(d.Bypassing, n) }
