// Package splitter divides the requests of a route among its services by weight
// (smooth weighted round robin).
//
// With each request the credit of each service grows by its weight. The service with
// the most credit is chosen, and the sum of the weights is subtracted from its
// credit. Any sequence of requests is then divided in proportion to the weights,
// within one request for each service.
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
	// maxRoutes bounds the routes whose credits are kept. Routes that were removed from
	// the table are kept until the bound is exceeded.
	maxRoutes = 8192
	// maxStartOffset is the number of requests that a route may skip at its start; the
	// number that it skips is random and below this.
	maxStartOffset = 100
)

// Splitter chooses the service for each request of each route.
type Splitter struct {
	rand   cassiatally.Rand
	routes map[cassiatally.WorkKind]*credits
}

// credits holds the credit of each service of a route.
type credits struct {
	services []cassiatally.WeightedService
	credit   []float64
}

// New returns a splitter. The sequence of each route starts at an offset drawn from
// rand, so that the nodes of a fleet do not all begin with the same service.
func New(rand cassiatally.Rand) *Splitter {
	return &Splitter{rand: rand, routes: make(map[cassiatally.WorkKind]*credits)}
}

// Choose returns the service for the next request of a route. The credits of a route
// are kept while its services and weights stay the same.
func (s *Splitter) Choose(r *cassiatally.Route) cassiatally.Service {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	c := s.routes[r.Name]
	if c == nil || !slices.Equal(c.services, r.Services) {
		c = s.addRoute(r)
	}
	return c.next()
}

func (s *Splitter) addRoute(r *cassiatally.Route) *credits {
	if len(s.routes) > maxRoutes {
		clear(s.routes)
	}
	c := &credits{services: slices.Clone(r.Services), credit: make([]float64, len(r.Services))}
	for range s.rand.IntN(maxStartOffset) {
		c.next()
	}
	s.routes[r.Name] = c
	return c
}

func (c *credits) next() cassiatally.Service {
	best, total := -1, 0.0
	for i, w := range c.services {
		total += w.Weight
		c.credit[i] += w.Weight
		// A service with weight 0 gets no requests.
		if w.Weight > 0 && (best < 0 || c.credit[i] > c.credit[best]) {
			best = i
		}
	}
	if best < 0 {
		return c.services[0].Service
	}
	c.credit[best] -= total
	return c.services[best].Service
}
