package admitter

import (
	"math"
	"slices"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	// maxTenants bounds the tenants of a rank that have an account of their own. The
	// others share one account.
	maxTenants = 1024
	// demandWeight is the weight of one window in a tenant's demand.
	demandWeight = 0.25
	// minDemand, in calls per second, is the demand below which a tenant's account is
	// removed.
	minDemand = 0.05
)

// tenants divides the capacity of a rank fairly among its tenants.
type tenants struct {
	accounts map[cassiatally.Tenant]*account
	// fairShare is the demand, in calls per second, up to which a tenant is served in
	// full; 0 means that all demand can be served.
	fairShare float64
	demands   []float64
}

type account struct {
	arrivals float64
	demand   float64
}

// recordArrival counts a call of the tenant and returns the factor by which its order
// values are scaled: the tenant's demand divided by the fair share, at least 1.
func (t *tenants) recordArrival(name cassiatally.Tenant) float64 {
	if t.accounts == nil {
		t.accounts = make(map[cassiatally.Tenant]*account)
	}
	a := t.accounts[name]
	if a == nil && len(t.accounts) >= maxTenants {
		name = ""
		a = t.accounts[name]
	}
	if a == nil {
		a = &account{}
		t.accounts[name] = a
	}
	a.arrivals++
	if t.fairShare <= 0 {
		return 1
	}
	return max(a.demand/t.fairShare, 1)
}

// closeWindow ends a window and sets the fair share such that the demands of all
// tenants, each capped at the fair share, add up to the available capacity (max-min
// fairness).
func (t *tenants) closeWindow(seconds, available float64) {
	t.demands = t.demands[:0]
	total := 0.0
	for name, a := range t.accounts {
		a.demand += demandWeight * (a.arrivals/seconds - a.demand)
		a.arrivals = 0
		if a.demand < minDemand {
			delete(t.accounts, name)
			continue
		}
		total += a.demand
		t.demands = append(t.demands, a.demand)
	}
	t.fairShare = 0
	if total <= available || math.IsInf(available, 1) {
		return
	}
	slices.Sort(t.demands)
	remaining := available
	for i, d := range t.demands {
		t.fairShare = remaining / float64(len(t.demands)-i)
		if d >= t.fairShare {
			break
		}
		remaining -= d
	}
	t.fairShare = max(t.fairShare, minDemand)
}

// named returns the number of accounts of tenants with a name.
func (t *tenants) named() int {
	if _, ok := t.accounts[""]; ok {
		return len(t.accounts) - 1
	}
	return len(t.accounts)
}
