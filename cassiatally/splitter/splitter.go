// Package splitter divides the requests of a route among its services by weight.
//
// Each service gains its weight with each request, and the one that has gained
// most is chosen and pays the sum of the weights. Any run of requests is then
// divided as the weights say, within one request for each service.
//
// # Usage
//
//	s := splitter.New(rand)
//	service := s.Choose(version, route)
//
// A Splitter is not safe for concurrent use.
package splitter

import "github.com/cassiatally/cassiatally/cassiatally"

// Splitter chooses the service for each request of each route.
type Splitter struct {
	rand   cassiatally.Rand
	routes map[cassiatally.WorkKind]*credits
}

type credits struct {
	version cassiatally.Version
	gained  []float64
}

// New returns a splitter. Rand sets where each route starts, so that the nodes of
// a fleet do not all begin with the same service.
func New(rand cassiatally.Rand) *Splitter {
	return &Splitter{rand: rand, routes: make(map[cassiatally.WorkKind]*credits)}
}

// Choose returns the service for the next request of a route of a table version.
func (s *Splitter) Choose(v cassiatally.Version, r *cassiatally.Route) cassiatally.Service {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	total := 0.0
	for _, w := range r.Services {
		total += w.Weight
	}
	c := s.routes[r.Name]
	if c == nil || c.version != v || len(c.gained) != len(r.Services) {
		c = s.begin(v, r, total)
	}
	best := -1
	for i, w := range r.Services {
		c.gained[i] += w.Weight
		// A service without weight gets nothing, whatever it started with.
		if w.Weight > 0 && (best < 0 || c.gained[i] > c.gained[best]) {
			best = i
		}
	}
	if best < 0 {
		return r.Services[0].Service
	}
	c.gained[best] -= total
	return r.Services[best].Service
}

func (s *Splitter) begin(v cassiatally.Version, r *cassiatally.Route, total float64) *credits {
	if len(s.routes) > maxRoutes {
		clear(s.routes)
	}
	c := &credits{version: v, gained: make([]float64, len(r.Services))}
	for i := range c.gained {
		c.gained[i] = s.rand.Float64() * total / float64(len(c.gained))
	}
	s.routes[r.Name] = c
	return c
}

// maxRoutes bounds the routes that are remembered; routes that were removed from
// the table stay until then.
const maxRoutes = 8192
