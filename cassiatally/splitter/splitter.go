// Package splitter divides the requests of a route among its services by weight.
//
// Each service gains its weight with each request, and the one that has gained
// most is chosen and pays the sum of the weights. Any run of requests is then
// divided as the weights say, within one request for each service.
//
// # Usage
//
//	s := splitter.New(rand)
//	service := s.Choose(route)
//
// A Splitter is not safe for concurrent use.
package splitter

import (
	"slices"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	// maxRoutes bounds the routes that are remembered; routes that were removed from
	// the table stay until then.
	maxRoutes = 8192
	// startSteps is the number of requests among which a route starts at a random one.
	startSteps = 100
)

// Splitter chooses the service for each request of each route.
type Splitter struct {
	rand   cassiatally.Rand
	routes map[cassiatally.WorkKind]*credits
}

// credits are what the services of a route have gained.
type credits struct {
	services []cassiatally.WeightedService
	gained   []float64
}

// New returns a splitter. Rand sets where each route starts, so that the nodes of
// a fleet do not all begin with the same service.
func New(rand cassiatally.Rand) *Splitter {
	return &Splitter{rand: rand, routes: make(map[cassiatally.WorkKind]*credits)}
}

// Choose returns the service for the next request of a route. A route goes on where
// it was while its services and weights stay the same.
func (s *Splitter) Choose(r *cassiatally.Route) cassiatally.Service {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	c := s.routes[r.Name]
	if c == nil || !slices.Equal(c.services, r.Services) {
		c = s.begin(r)
	}
	return c.next()
}

func (s *Splitter) begin(r *cassiatally.Route) *credits {
	if len(s.routes) > maxRoutes {
		clear(s.routes)
	}
	c := &credits{services: slices.Clone(r.Services), gained: make([]float64, len(r.Services))}
	for range s.rand.IntN(startSteps) {
		c.next()
	}
	s.routes[r.Name] = c
	return c
}

func (c *credits) next() cassiatally.Service {
	best, total := -1, 0.0
	for i, w := range c.services {
		total += w.Weight
		c.gained[i] += w.Weight
		// A service without weight gets nothing.
		if w.Weight > 0 && (best < 0 || c.gained[i] > c.gained[best]) {
			best = i
		}
	}
	if best < 0 {
		return c.services[0].Service
	}
	c.gained[best] -= total
	return c.services[best].Service
}
