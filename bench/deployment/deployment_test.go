package deployment

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/standin/loadplan"
)

// TestCapacityFollowsTheScale guards against a capacity that the backend servers do
// not have. Loads are stated in multiples of it.
func TestCapacityFollowsTheScale(t *testing.T) {
	cases := map[string]struct {
		name  Name
		scale float64
		want  loadplan.Rate
	}{
		"barrier at full scale": {Barrier, 1, 3000},
		"barrier at a tenth":    {Barrier, 0.1, 300},
		"intake at a tenth":     {Intake, 0.1, 200},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d, err := Named(c.name, c.scale)
			is.NoErr(err)
			is.True(math.Abs(float64(d.Capacity()-c.want)) < 1e-6)
		})
	}
}

// TestMixedRatesReachTheBottleneck guards against counting classes that do not call
// the bottleneck service as load on it.
func TestMixedRatesReachTheBottleneck(t *testing.T) {
	for _, name := range Names() {
		t.Run(string(name), func(t *testing.T) {
			is := is.New(t)
			d, err := Named(name, 0.1)
			is.NoErr(err)
			sum := loadplan.Rate(0)
			for class, rate := range d.MixedRates(1.5) {
				if !d.bypasses(class) {
					sum += rate
				}
			}
			is.True(math.Abs(float64(sum/d.Capacity())-1.5) < 1e-6)
		})
	}
}

// TestNamedRefusesInvalidInputs guards against unknown deployments and against
// scales that give service times of zero or below, or rates above the stated ones.
func TestNamedRefusesInvalidInputs(t *testing.T) {
	cases := map[string]struct {
		name  Name
		scale float64
	}{
		"unknown deployment": {"harbour", 0.1},
		"scale zero":         {Barrier, 0},
		"scale above one":    {Barrier, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Named(c.name, c.scale)
			is.True(err != nil)
		})
	}
}
