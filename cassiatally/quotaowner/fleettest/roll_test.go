package fleettest_test

import (
	"testing"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/quotaowner"
)

// leave ends a host as an operator does: it announces that it leaves, and ends a second
// later.
func (f *fleet) leave(i int, down time.Duration) {
	h := f.hosts[i]
	f.act(i, h.life, func(h *host, now cassiatally.Instant) {
		h.owner.SetLeaving(now)
		f.ownerTick(i, h, now)
	})
	f.after(time.Second, func() { f.kill(i) })
	f.after(time.Second+down, func() { f.start(i) })
}

// Guards against more refusals below the quota than the changes of owners explain, when
// hosts are replaced in turn. Each tenant loses its owner once: it has another one within
// a beat when the owner announces that it leaves, and within 3 s when it is killed.
func TestCalmLoadWhileHostsAreReplaced(t *testing.T) {
	for _, graceful := range []bool{true, false} {
		tenants := calmTenants()
		f := newFleet(t, 1, sizes, tenants)
		f.runTo(startTime)
		rate := f.calmLoad(tenants)
		for i := range f.hosts {
			f.after(time.Duration(i)*time.Second, func() {
				if graceful {
					f.leave(i, 500*time.Millisecond)
					return
				}
				f.kill(i)
				f.after(500*time.Millisecond, func() { f.start(i) })
			})
		}
		f.runTo(startTime + calmTime)
		admitted, floors := 0, 0
		for _, all := range f.admitted {
			for _, a := range all {
				if a.floor {
					floors++
				}
			}
			admitted += len(all)
		}
		t.Logf("graceful %v: %d admitted, %d of them by floors, refused %v", graceful, admitted, floors, f.kinds)
		gap := 3 * time.Second
		if graceful {
			gap = quotaowner.BeatInterval
		}
		refused := 0
		for _, n := range f.kinds {
			refused += n
		}
		if limit := rate * gap.Seconds(); float64(refused) > limit {
			t.Errorf("%d requests refused, the bound is %.0f", refused, limit)
		}
	}
}
