package admitter

import "github.com/cassiatally/cassiatally/cassiatally"

// minTenantPart is the part of an equal division among tenants that the tenants of a
// rank keep whatever more urgent ones send. A quarter is required; a third leaves room
// for the error of the measured capacity.
const minTenantPart = 1.0 / 3

// setProportionalShares sets the reserved shares from the demand of each rank. The
// most urgent rank with demand keeps its whole proportion, so that it goes before the
// reserved shares of the others.
func (a *Admitter) setProportionalShares() {
	demands := a.meter.demands()
	total := 0.0
	for _, d := range demands {
		total += d
	}
	if tenants := a.namedTenants(); tenants > 0 && a.meter.capacity > 0 {
		a.setTenantShares(demands, tenants)
		return
	}
	part := 1.0
	for r, d := range demands {
		a.ranks[r].share = 0
		if d > 0 {
			a.ranks[r].share = cassiatally.Share(part * d / total)
			part = a.Proportion
		}
	}
}

// setTenantShares sets the reserved shares where calls name their tenants. Each rank keeps
// minTenantPart of what its tenants would have if all tenants got the same, and of the rest
// its proportion of what the more urgent ranks leave. In proportion to all demand, nearly the
// whole capacity would go to a tenant of little urgency that sends several times its usual
// load, and sends again what is refused.
func (a *Admitter) setTenantShares(demands perRank, tenants int) {
	var least perRank
	remaining := 1.0
	for r, d := range demands {
		least[r] = min(minTenantPart*float64(a.ranks[r].tenants.named())/float64(tenants), d/a.meter.capacity)
		remaining -= least[r]
	}
	part := 1.0
	for r, d := range demands {
		more := d/a.meter.capacity - least[r]
		a.ranks[r].share = cassiatally.Share(least[r] + part*max(min(more, remaining), 0))
		if d > 0 {
			remaining -= more
			part = a.Proportion
		}
	}
}

// namedTenants returns the number of tenants with recent calls.
func (a *Admitter) namedTenants() (n int) {
	for r := range a.ranks {
		n += a.ranks[r].tenants.named()
	}
	return n
}

func (a *Admitter) shares() (shares [cassiatally.MaxRanks]float64) {
	for r := range a.ranks {
		shares[r] = float64(a.ranks[r].share)
	}
	return shares
}
