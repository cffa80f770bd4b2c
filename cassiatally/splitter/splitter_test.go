package splitter_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/splitter"
)

func route() *cassiatally.Route {
	return &cassiatally.Route{Name: "r", Services: []cassiatally.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
}

// Guards against shares that differ from the weights when each of many nodes
// receives only a few requests: a service with a small weight would get none of the
// first requests at any node.
func TestSharesFollowWeights(t *testing.T) {
	for _, requests := range []int{2, 5, 20} {
		is := is.New(t)
		const nodes, want = 400, 0.1
		rng := rand.New(rand.NewPCG(1, 2))
		got := 0
		for range nodes {
			s := splitter.New(rng)
			for range requests {
				if s.Choose(route()) == "b" {
					got++
				}
			}
		}
		is.True(math.Abs(float64(got)/float64(nodes*requests)-want) < 0.03)
	}
}

// Guards against credits that are reset with each version of the table, although
// the weights of the route stay the same.
func TestNewTableWithSameWeightsKeepsCredits(t *testing.T) {
	is := is.New(t)
	s := splitter.New(rand.New(rand.NewPCG(1, 2)))
	got := 0
	for range 100 {
		if s.Choose(route()) == "b" { // a new table each time
			got++
		}
	}
	is.Equal(got, 10)
}

// Guards against credits of earlier weights that outweigh new ones.
func TestNewWeightsResetCredits(t *testing.T) {
	is := is.New(t)
	s := splitter.New(rand.New(rand.NewPCG(1, 2)))
	for range 9 {
		s.Choose(route())
	}
	r := route()
	r.Services[0].Weight = 0
	for range 20 {
		is.Equal(s.Choose(r), cassiatally.Service("b"))
	}
}
