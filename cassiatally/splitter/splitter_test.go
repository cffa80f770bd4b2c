package splitter_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/splitter"
)

// Guards against shares that differ from the weights over a short time, also when
// many nodes see a few requests each.
func TestSharesFollowWeights(t *testing.T) {
	is := is.New(t)
	const nodes, requests = 16, 20
	r := &cassiatally.Route{Name: "r", Services: []cassiatally.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	rng := rand.New(rand.NewPCG(1, 2))
	got := map[cassiatally.Service]int{}
	for range nodes {
		s := splitter.New(rng)
		for range requests {
			got[s.Choose(1, r)]++
		}
	}
	const want = 0.1
	is.True(math.Abs(float64(got["b"])/(nodes*requests)-want) < 0.03)
}

// Guards against credits of an earlier version that outweigh new weights.
func TestNewVersionStartsAgain(t *testing.T) {
	is := is.New(t)
	s := splitter.New(rand.New(rand.NewPCG(1, 2)))
	r := &cassiatally.Route{Name: "r", Services: []cassiatally.WeightedService{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}}}
	for range 9 {
		s.Choose(1, r)
	}
	r.Services[0].Weight = 0
	for range 20 {
		is.Equal(s.Choose(2, r), cassiatally.Service("b"))
	}
}
