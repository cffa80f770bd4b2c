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

func total(p loadplan.Phase) loadplan.Rate {
	var sum loadplan.Rate
	for _, r := range p.Rates {
		sum += r
	}
	return sum
}

// TestPhasesDiffer guards against two phases of a scenario with one name, whose
// requests would have equal ids, which the runs could not be told apart by.
func TestPhasesDiffer(t *testing.T) {
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

// TestDisturbancesEndWhereRecoveryIsMeasured guards against a recovery that is
// measured from another time than the end of the disturbance.
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

// TestLoads guards against phases whose load is not the stated one.
func TestLoads(t *testing.T) {
	is := is.New(t)
	c := catalogue(t)
	s, err := c.Named(Demand)
	is.NoErr(err)
	for _, m := range DemandMultiples() {
		for _, p := range s.Phases {
			if p.Name == DemandPhase(m) {
				is.True(total(p)/c.Deployment.Capacity() > loadplan.Rate(m)-0.01)
				is.True(total(p)/c.Deployment.Capacity() < loadplan.Rate(m)+0.01)
			}
		}
	}
	s, err = c.Named(Unequal)
	is.NoErr(err)
	// 15 slots at 100, 150, 300 and 400 ms a request.
	is.Equal(int(s.Capacity), 337)
}

// TestUnknownScenario guards against a misspelt name that runs nothing.
func TestUnknownScenario(t *testing.T) {
	is := is.New(t)
	_, err := catalogue(t).Named("tide")
	is.True(err != nil)
}
