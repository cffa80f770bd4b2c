package scenario

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/bench/deployment"
	"github.com/cassiatally/cassiatally/standin/loadplan"
)

func catalogue(t *testing.T) Catalogue {
	t.Helper()
	d, err := deployment.Named(deployment.Barrier, 0.1)
	if err != nil {
		t.Fatal(err)
	}
	return Catalogue{Deployment: d.AllThroughBottleneck(time.Second), Length: 5 * time.Second, Urgent: "confirm", Least: "report"}
}

func totalRate(p loadplan.Phase) loadplan.Rate {
	var sum loadplan.Rate
	for _, r := range p.Rates {
		sum += r
	}
	return sum
}

// TestPhaseNamesAreUnique guards against two phases of a scenario with one name:
// their requests would have equal ids, so their runs could not be distinguished.
func TestPhaseNamesAreUnique(t *testing.T) {
	for _, n := range Names() {
		t.Run(string(n), func(t *testing.T) {
			is := is.New(t)
			s, err := catalogue(t).Named(n)
			is.NoErr(err)
			seen := make(map[loadplan.PhaseName]bool)
			for _, p := range s.Phases {
				is.True(!seen[p.Name])
				seen[p.Name] = true
			}
		})
	}
}

// TestDisturbancesEndWhereRecoveryIsMeasured guards against measuring recovery from
// another time than the end of the disturbance.
func TestDisturbancesEndWhereRecoveryIsMeasured(t *testing.T) {
	for _, n := range []Name{Surge, Slow, Lost} {
		t.Run(string(n), func(t *testing.T) {
			is := is.New(t)
			s, err := catalogue(t).Named(n)
			is.NoErr(err)
			after, _ := s.PhaseSpan(PhaseAfter)
			is.Equal(s.DisturbanceEnd, after)
			for _, e := range s.Events {
				is.True(e.At <= s.DisturbanceEnd)
			}
		})
	}
}

// TestLoads guards against phases whose load or capacity differs from the stated
// one.
func TestLoads(t *testing.T) {
	is := is.New(t)
	c := catalogue(t)
	s, err := c.Named(Demand)
	is.NoErr(err)
	for _, m := range DemandMultiples() {
		for _, p := range s.Phases {
			if p.Name == DemandPhase(m) {
				is.True(totalRate(p)/c.Deployment.Capacity() > loadplan.Rate(m)-0.01)
				is.True(totalRate(p)/c.Deployment.Capacity() < loadplan.Rate(m)+0.01)
			}
		}
	}
	s, err = c.Named(Unequal)
	is.NoErr(err)
	// Four endpoints of 15 slots, at 100, 150, 300 and 400 ms a request.
	is.Equal(int(s.Capacity), 337)
}

// TestUnknownScenario guards against a misspelt name that silently runs nothing.
func TestUnknownScenario(t *testing.T) {
	is := is.New(t)
	_, err := catalogue(t).Named("tide")
	is.True(err != nil)
}
