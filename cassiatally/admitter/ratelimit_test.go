package admitter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/admitter"
)

// ratedOutcome is what calls of two ranks get from a backend server, in calls per second.
type ratedOutcome struct{ inTime, urgentInTime, urgentOffered, refusedBehindEntry float64 }

func (o ratedOutcome) urgentServed() float64 { return o.urgentInTime / o.urgentOffered }

// playRated offers load times the capacity, a fifth of the capacity as urgent calls, and
// returns the mean over some seeds.
func playRated(rate, load float64, newModel func() *model) (out ratedOutcome) {
	const seeds = 10
	for seed := range uint64(seeds) {
		m := newModel()
		m.queue = &admitter.Admitter{Proportion: 0.85}
		m.timeout, m.warmUp, m.duration = 1500*time.Millisecond, 2*time.Second, 12*time.Second
		m.flows = []flow{{rank: 0, rate: constant(rate * 0.2)}, {rank: 1, rate: constant(rate * (load - 0.2))}}
		got := m.run(seed)
		per := 1 / (m.duration - m.warmUp).Seconds() / seeds
		out.inTime += float64(got[0].inTime+got[1].inTime) * per
		out.urgentInTime += float64(got[0].inTime) * per
		out.urgentOffered += float64(got[0].offered) * per
		out.refusedBehindEntry += float64(got[0].refused+got[1].refused) * per
	}
	return out
}

// Guards against levels that are computed from the free slots of a backend server that
// limits the rate of its requests: entries then pass far more than it takes, or, where
// few calls arrive in a window, refuse calls that it would take. Replays the capped day
// of the users, on which endpoints with many slots take 15 to 40 calls a second, and
// compares with a backend server that has as many slots as complete that rate.
func TestRateLimitedBackendServer(t *testing.T) {
	const run = 60 * time.Millisecond
	for _, rate := range []float64{10, 30, 80} {
		for _, load := range []float64{1.5, 10} {
			t.Run(fmt.Sprintf("rate %v, load %v", rate, load), func(t *testing.T) {
				is := is.New(t)
				limited := playRated(rate, load, func() *model {
					return &model{rate: cassiatally.Rate(rate), slots: 100, service: jittered(run)}
				})
				const slots = 4
				narrow := playRated(rate, load, func() *model {
					return &model{slots: slots, service: jittered(time.Duration(slots / rate * float64(time.Second)))}
				})
				t.Logf("limited %+v\nnarrow  %+v", limited, narrow)
				is.True(limited.inTime >= 0.95*rate)
				is.True(limited.urgentServed() >= narrow.urgentServed()-0.05)
				is.True(limited.refusedBehindEntry <= 0.5*rate)
			})
		}
	}
}
