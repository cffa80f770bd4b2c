package fleettest_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/quotaowner"
)

const (
	calmLoad = 0.62
	// startTime lets the buckets of the first owners fill, which begin almost empty.
	startTime = 10 * time.Second
	calmTime  = 60 * time.Second
)

func membersOf(h *host, members []cassiatally.Member) quotaowner.Members {
	return quotaowner.MembersOf(h.self, members, nil)
}

// calmTenants returns 8 tenants with large quotas and 64 with 1 to 3 requests a second.
// Their requests at calmLoad sum up to about 470 a second.
func calmTenants() []cassiatally.TenantSpec {
	var tenants []cassiatally.TenantSpec
	for i := range 72 {
		s := cassiatally.TenantSpec{Name: cassiatally.Tenant(fmt.Sprintf("tenant-%d", i))}
		if i < 8 {
			s.Rate = cassiatally.Rate(64 + 10*(i%4))
		} else {
			s.Rate = cassiatally.Rate(1 + i%3)
		}
		s.Burst = float64(s.Rate)
		tenants = append(tenants, s)
	}
	return tenants
}

// Guards against refusals below the quota, where tokens expire unused at many nodes or a
// small tenant has all its requests at few of them. Bounds the messages and bytes too.
func TestCalmLoadIsNotRefused(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed %d", seed+1), func(t *testing.T) {
			tenants := calmTenants()
			f := newFleet(t, seed+1, sizes, tenants)
			f.trace = t.Logf
			f.runTo(startTime)
			total := f.calmLoad(tenants)
			for _, h := range f.hosts {
				h.sent, h.size = 0, 0
			}
			f.runTo(startTime + calmTime)
			messages, bytes, most := 0, 0, 0
			for _, h := range f.hosts {
				messages += h.sent
				bytes += h.size
				most = max(most, h.sent)
			}
			admitted := 0
			for _, a := range f.admitted {
				admitted += len(a)
			}
			s := calmTime.Seconds()
			t.Logf("%.0f requests/s, %d admitted; %.0f messages/s, %.0f bytes/s in the fleet; at most %.0f messages/s from one node",
				total, admitted, float64(messages)/s, float64(bytes)/s, float64(most)/s)
			if len(f.refused) > 0 {
				t.Errorf("refused: %v %v", f.kinds, f.refused)
			}
			// Two messages for each request and the beats of 9 candidates bound the burden.
			if limit := 2*total + 9*8*2*1.1; float64(messages)/s > limit {
				t.Errorf("%.0f messages a second, the bound is %.0f", float64(messages)/s, limit)
			}
			// A node spends less than a tenth of the 16 KB/s at which operators are alarmed.
			if limit := 1600 * float64(len(f.hosts)); float64(bytes)/s > limit {
				t.Errorf("%.0f bytes a second, the bound is %.0f", float64(bytes)/s, limit)
			}
		})
	}
}

// Guards against messages while no tenant has a limit.
func TestNothingIsSentWithoutLimits(t *testing.T) {
	f := newFleet(t, 1, sizes, []cassiatally.TenantSpec{{Name: "free"}})
	f.runTo(10 * time.Second)
	for _, h := range f.hosts {
		if h.sent > 0 {
			t.Fatalf("%s sent %d messages", h.self.Node, h.sent)
		}
	}
}

// calmLoad has clients send calmLoad of each quota, and returns the rate of all requests.
// Tenants with large quotas enter at most hosts, the others at one to four.
func (f *fleet) calmLoad(tenants []cassiatally.TenantSpec) float64 {
	total := 0.0
	for i, s := range tenants {
		entries := []int{}
		for j := range f.hosts {
			// Half of the hosts, and a third of the others.
			if i < 8 && (j < len(f.hosts)/2 || j%3 == 0) {
				entries = append(entries, j)
			}
		}
		if i >= 8 {
			for range 1 + i%4 {
				entries = append(entries, f.rand.IntN(len(f.hosts)))
			}
		}
		rate := calmLoad * float64(s.Rate)
		total += rate
		f.load(s.Name, entries, func(time.Duration) float64 { return rate }, startTime+calmTime)
	}
	return total
}
