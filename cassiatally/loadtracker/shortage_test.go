package loadtracker_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/loadtracker"
)

// Guards against a shortage that is borne by tenants at their usual load as much as by the
// one that exceeds it, against a change of the part that is admitted, and against admitted
// order values that are not evenly distributed up to the level, from which services estimate
// their demand.
func TestShortageIsDividedAmongTenants(t *testing.T) {
	const level = 0.4
	cases := []struct {
		name    string
		fair    bool
		tenants []cassiatally.Tenant
		want    map[cassiatally.Tenant]float64
	}{
		// Of 7 requests 2.8 fit: one each of a and b, and 0.8 of the five of c.
		{"one above its fair share", true, []cassiatally.Tenant{"a", "b", "c", "c", "c", "c", "c"}, map[cassiatally.Tenant]float64{"a": 0.93, "b": 0.93, "c": 0.187}},
		{"all alike", true, []cassiatally.Tenant{"a", "b"}, map[cassiatally.Tenant]float64{"a": level, "b": level}},
		{"one tenant", true, []cassiatally.Tenant{"a"}, map[cassiatally.Tenant]float64{"a": level}},
		{"no tenants", true, []cassiatally.Tenant{""}, map[cassiatally.Tenant]float64{"": level}},
		{"not authenticated", false, []cassiatally.Tenant{"a", "c", "c", "c"}, map[cassiatally.Tenant]float64{"a": level, "c": level}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			tracker := &loadtracker.Tracker{FairTenants: c.fair}
			rng := rand.New(rand.NewPCG(1, 1))
			now := cassiatally.Instant(time.Hour)
			sent, admitted := make(map[cassiatally.Tenant]float64), make(map[cassiatally.Tenant]float64)
			all, fits, lower := 0.0, 0.0, 0.0
			for i := range 40000 {
				now = now.Add(2 * time.Millisecond)
				if i%100 == 0 {
					tracker.RecordEndpoint(now, "n", cassiatally.ServiceLoad{Service: "s", Weight: 1, Levels: []cassiatally.Level{level}})
				}
				n := c.tenants[i%len(c.tenants)]
				o := tracker.FairOrder(now, "s", "w", 0, n, cassiatally.Order(rng.Float64()))
				sent[n]++
				all++
				if ok, _ := tracker.Admit(now, "s", "w", 0, o); ok {
					admitted[n]++
					fits++
					if o <= level/2 {
						lower++
					}
				}
			}
			for n, want := range c.want {
				got := admitted[n] / sent[n]
				t.Logf("tenant %q: %.3f admitted", n, got)
				is.True(got > want-0.05)
				is.True(got < want+0.05)
			}
			is.True(fits/all > level-0.02)
			is.True(fits/all < level+0.02)
			is.True(lower/fits > 0.48)
			is.True(lower/fits < 0.52)
		})
	}
}

// Guards against order values that change without a shortage.
func TestFairOrderWithoutShortage(t *testing.T) {
	is := is.New(t)
	tracker := &loadtracker.Tracker{FairTenants: true}
	for _, n := range []cassiatally.Tenant{"a", "b", "b"} {
		is.Equal(tracker.FairOrder(0, "s", "w", 0, n, 0.7), cassiatally.Order(0.7))
	}
}

// Guards against a division that fails where each of many entries sees few requests of a
// tenant. Replays the entries and tenants of the first deployment, 12 of 72 at six times
// their usual load, while as much fits as the tenants usually send.
func TestShortageOverManyEntries(t *testing.T) {
	const (
		entries, tenants, flooding, factor = 62, 72, 12, 6
		rate, seconds, warm                = 1000, 25, 10
		units                              = tenants + flooding*(factor-1)
		level                              = cassiatally.Level(tenants) / units
	)
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	var trackers []*loadtracker.Tracker
	for range entries {
		trackers = append(trackers, &loadtracker.Tracker{FairTenants: true})
	}
	now := cassiatally.Instant(time.Hour)
	var sent, admitted [2]float64
	for i := range rate * seconds {
		now = now.Add(time.Second / rate)
		if i%100 == 0 {
			for _, tr := range trackers {
				tr.RecordEndpoint(now, "n", cassiatally.ServiceLoad{Service: "s", Weight: 1, Levels: []cassiatally.Level{level}})
			}
		}
		unit, floods := rng.IntN(units), 0
		if unit >= tenants-flooding {
			unit, floods = tenants-flooding+unit%flooding, 1
		}
		n := cassiatally.Tenant(strconv.Itoa(unit))
		tr := trackers[rng.IntN(entries)]
		ok, _ := tr.Admit(now, "s", "w", 0, tr.FairOrder(now, "s", "w", 0, n, cassiatally.Order(rng.Float64())))
		if i < warm*rate {
			continue
		}
		sent[floods]++
		if ok {
			admitted[floods]++
		}
	}
	all := (admitted[0] + admitted[1]) / (sent[0] + sent[1])
	t.Logf("tenants at their usual load: %.3f admitted, those above it: %.3f, all: %.3f of %.3f", admitted[0]/sent[0], admitted[1]/sent[1], all, level)
	is.True(all > float64(level)-0.03)
	is.True(all < float64(level)+0.03)
	is.True(admitted[0]/sent[0] > 2*admitted[1]/sent[1])
}
