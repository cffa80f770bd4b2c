package fleettest_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

var (
	seeds     = flag.Int("seeds", 8, "number of seeds of the model check")
	firstSeed = flag.Uint64("first", 1, "first seed of the model check")
)

const (
	quotaOvershoot = 0.1
	quotaSlack     = 20
	runTime        = 90 * time.Second
)

var sizes = map[cassiatally.DataCentre]int{"east": 21, "north": 20, "west": 20}

// boundOf returns the number of requests of a tenant that may run in a window.
func boundOf(s cassiatally.TenantSpec) float64 {
	return (float64(s.Rate)*cassiatally.QuotaWindow.Seconds()+s.Burst)*(1+quotaOvershoot) + quotaSlack
}

// fullest returns the window that begins in [from, to) and has the most requests.
func fullest(admitted []admission, from, to time.Duration) (start time.Duration, n, floors int) {
	end, floor := 0, 0
	for i, a := range admitted {
		for end < len(admitted) && admitted[end].at < a.at+cassiatally.QuotaWindow {
			if admitted[end].floor {
				floor++
			}
			end++
		}
		if a.at >= from && a.at < to && end-i > n {
			start, n, floors = a.at, end-i, floor
		}
		if a.floor {
			floor--
		}
	}
	return start, n, floors
}

// Guards against more requests than a quota allows in any window, over all nodes
// together, whatever fails.
func TestBoundInEveryWindow(t *testing.T) {
	worst := 0.0
	for s := range *seeds {
		seed := *firstSeed + uint64(s)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			worst = max(worst, checkBound(t, seed))
		})
	}
	t.Logf("fullest window: %.3f of the bound", worst)
}

func checkBound(t *testing.T, seed uint64) float64 {
	tenants := []cassiatally.TenantSpec{
		{Name: "hot", Rate: 40, Burst: 20},
		{Name: "hotter", Rate: 25, Burst: 60},
		{Name: "plain", Rate: 100, Burst: 0},
		{Name: "few-entries", Rate: 15, Burst: 5},
		{Name: "small", Rate: 2, Burst: 2},
		{Name: "lowered", Rate: 60, Burst: 40},
	}
	f := newFleet(t, seed, sizes, tenants)
	f.loss = []float64{0, 0.002, 0.02}[seed%3]
	victims := []int{f.victim(), f.victim(), f.victim()}
	all := make([]int, len(f.hosts))
	for i := range all {
		all[i] = i
	}
	for _, s := range tenants {
		entries := all
		if s.Name == "few-entries" || s.Name == "small" {
			// Hosts that will be cut off among them, so that both sides use the quota.
			entries = []int{victims[0], victims[1], victims[2], f.rand.IntN(len(all)), f.rand.IntN(len(all))}
		}
		usual := 0.62 * float64(s.Rate)
		peak := usual * (5 + 3*f.rand.Float64())
		calm := time.Duration(f.rand.Int64N(int64(10 * time.Second)))
		f.load(s.Name, entries, func(at time.Duration) float64 {
			if at/(15*time.Second)%3 == 0 && at%(15*time.Second) < calm {
				return usual
			}
			return peak
		}, runTime)
	}
	loweredAt := 30 * time.Second
	lowered := tenants[5]
	lowered.Rate, lowered.Burst = 6, 1
	f.after(loweredAt, func() {
		f.publish(func(table map[cassiatally.Tenant]cassiatally.TenantSpec) { table["lowered"] = lowered })
	})
	f.faults(victims)
	f.runTo(runTime)

	worst := 0.0
	check := func(s cassiatally.TenantSpec, from, to time.Duration) {
		start, n, floors := fullest(f.admitted[s.Name], from, to)
		worst = max(worst, float64(n)/boundOf(s))
		if float64(n) > boundOf(s) {
			t.Errorf("tenant %s: %d requests (%d by floors) in the window from %v, the bound is %.1f", s.Name, n, floors, start, boundOf(s))
		}
		if n == 0 {
			t.Errorf("tenant %s: no request was admitted", s.Name)
		}
	}
	for _, s := range tenants[:5] {
		check(s, 0, runTime)
	}
	check(tenants[5], 0, loweredAt+applyTime)
	check(lowered, loweredAt+applyTime+cassiatally.QuotaWindow, runTime)
	return worst
}

// faults schedules partitions, kills, restarts and pauses. At most two hosts or one data
// centre are cut off at the same time; kills and pauses come at any time.
func (f *fleet) faults(victims []int) {
	dcs := []cassiatally.DataCentre{"east", "north", "west"}
	for at := 5 * time.Second; at < runTime; at += 14 * time.Second {
		at := at + time.Duration(f.rand.Int64N(int64(time.Second)))
		switch f.rand.IntN(3) {
		case 0:
			dc := dcs[f.rand.IntN(3)]
			f.after(at, func() { f.trace("%v cut %s", f.now, dc); f.cut = dc })
			f.after(at+6*time.Second, func() { f.cut = "" })
		default:
			// One host or two that are cut off together.
			first := f.rand.IntN(len(victims))
			chosen := []int{victims[first], victims[(first+1)%len(victims)]}[:1+f.rand.IntN(2)]
			for _, i := range chosen {
				f.after(at, func() { f.trace("%v cut %s", f.now, f.hosts[i].self.Node); f.hosts[i].cutOff = true })
				f.after(at+time.Duration(f.rand.Int64N(int64(12*time.Second))), func() { f.hosts[i].cutOff = false })
			}
		}
	}
	for range 12 {
		i := f.victim()
		if f.rand.IntN(2) == 0 {
			i = victims[f.rand.IntN(len(victims))]
		}
		at := time.Duration(f.rand.Int64N(int64(runTime)))
		if f.rand.IntN(3) == 0 {
			f.after(at, func() { f.hosts[i].pausedTo = f.now + time.Duration(f.rand.Int64N(int64(6*time.Second))) })
			continue
		}
		f.restart(i, at)
	}
	massAt := time.Duration(f.rand.Int64N(int64(runTime)))
	for i := range f.hosts {
		if f.rand.IntN(10) < 7 {
			f.restart(i, massAt)
		}
	}
}

// restart kills a host and starts it again a little later.
func (f *fleet) restart(i int, at time.Duration) {
	f.after(at, func() {
		if !f.hosts[i].up {
			return
		}
		f.trace("%v kill %s", f.now, f.hosts[i].self.Node)
		f.kill(i)
		f.after(100*time.Millisecond+time.Duration(f.rand.Int64N(int64(4*time.Second))), func() { f.start(i) })
	})
}

// victim returns a host that is a candidate with a probability of two thirds.
func (f *fleet) victim() int {
	for {
		i := f.rand.IntN(len(f.hosts))
		if f.rand.IntN(3) == 0 || f.isCandidate(i) {
			return i
		}
	}
}

func (f *fleet) isCandidate(i int) bool {
	var members []cassiatally.Member
	for _, h := range f.hosts {
		members = append(members, h.member)
	}
	for _, c := range membersOf(f.hosts[i], members).Local {
		if c.Node == f.hosts[i].self.Node {
			return true
		}
	}
	return false
}
