package loadtracker

import (
	"math"
	"slices"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	// demandMemory is the time constant of a tenant's demand. A node of a fleet of sixty
	// sees a request of a tenant every few seconds: in a replay with 72 tenants, 3 s admitted
	// 0.76 and 10 s 0.85 of the requests of tenants at their usual load.
	demandMemory = 10 * time.Second
	// divisionInterval is the time between divisions of a shortage among its tenants.
	divisionInterval = 50 * time.Millisecond
	// maxTenants bounds the tenants of a shortage that have an account of their own. The
	// others share one account.
	maxTenants = 1024
	// minDemand is the number of recent requests below which an account is removed.
	minDemand = 0.05
	// correctionGain is the change of the correction for a request of which all is admitted
	// instead of nothing, and maxCorrection bounds it.
	correctionGain = 0.05
	maxCorrection  = 4.0
	// maxShortages bounds the services and ranks that are short at the same time.
	maxShortages = 1024
)

type shortageKey struct {
	service cassiatally.Service
	rank    cassiatally.Rank
}

// shortage divides what a short service admits of a rank fairly among tenants. The level
// states which part of all requests fits; the requests of a tenant within its fair share
// fit whole, and those of the others in part.
type shortage struct {
	accounts  map[cassiatally.Tenant]*account
	dividedAt cassiatally.Instant
	// fairShare is the demand up to which a tenant is served in full, at level.
	fairShare float64
	// correction multiplies the fair share.
	correction float64
	level      cassiatally.Level
	demands    []float64
}

// account is the demand of a tenant: its recent requests, each with a weight that falls
// with its age.
type account struct {
	demand float64
	at     cassiatally.Instant
}

func (a *account) decay(now cassiatally.Instant) {
	a.demand *= math.Exp(-float64(now.Sub(a.at)) / float64(demandMemory))
	a.at = now
}

// FairOrder returns the order value of a request with its tenant taken into account. It is
// scaled so that the part of the tenant's requests that fits takes the values up to the
// level. Calls that are admitted have values evenly distributed up to the level, whatever
// their tenant, from which services estimate their demand. Without a tenant or a shortage
// the value stays as it is.
func (t *Tracker) FairOrder(now cassiatally.Instant, s cassiatally.Service, w cassiatally.WorkKind, r cassiatally.Rank, n cassiatally.Tenant, o cassiatally.Order) cassiatally.Order {
	if !t.FairTenants || n == "" {
		return o
	}
	level, service := t.lowestLevel(now, s, w, r)
	if level >= 1 {
		return o
	}
	v := t.shortage(now, shortageKey{service, r})
	if v == nil {
		return o
	}
	own := v.recordArrival(now, n)
	if len(v.accounts) == 1 {
		return o
	}
	v.divide(now, level)
	part := min(v.fairShare*v.correction/own, 1)
	v.correct(level, part)
	return cassiatally.Order(min(float64(o)*float64(level)/part, 1))
}

func (t *Tracker) shortage(now cassiatally.Instant, k shortageKey) *shortage {
	v := t.shortages[k]
	if v != nil {
		return v
	}
	if t.shortages == nil {
		t.shortages = make(map[shortageKey]*shortage)
	}
	if len(t.shortages) >= maxShortages {
		for old, o := range t.shortages {
			if now.Sub(o.dividedAt) > demandMemory {
				delete(t.shortages, old)
			}
		}
		if len(t.shortages) >= maxShortages {
			return nil
		}
	}
	v = &shortage{accounts: make(map[cassiatally.Tenant]*account), correction: 1}
	t.shortages[k] = v
	return v
}

// recordArrival counts a request of the tenant and returns its demand.
func (v *shortage) recordArrival(now cassiatally.Instant, n cassiatally.Tenant) float64 {
	a := v.accounts[n]
	if a == nil && len(v.accounts) >= maxTenants {
		n = ""
		a = v.accounts[n]
	}
	if a == nil {
		a = &account{at: now}
		v.accounts[n] = a
	}
	a.decay(now)
	a.demand++
	return a.demand
}

// divide sets the fair share such that the demands of all tenants, each capped at the fair
// share, add up to the part of the demand that the level admits (max-min fairness).
func (v *shortage) divide(now cassiatally.Instant, level cassiatally.Level) {
	if v.fairShare > 0 && level == v.level && now.Sub(v.dividedAt) < divisionInterval {
		return
	}
	v.dividedAt, v.level = now, level
	v.demands = v.demands[:0]
	for n, a := range v.accounts {
		a.decay(now)
		if a.demand < minDemand {
			delete(v.accounts, n)
			continue
		}
		v.demands = append(v.demands, a.demand)
	}
	slices.Sort(v.demands)
	total := 0.0
	for _, d := range v.demands {
		total += d
	}
	remaining := total * float64(level)
	for i, d := range v.demands {
		v.fairShare = remaining / float64(len(v.demands)-i)
		if d >= v.fairShare {
			return
		}
		remaining -= d
	}
}

// correct keeps the mean part of the requests at the level. The demand of a tenant of which
// an entry sees few requests is above its mean whenever one arrives, so that the division by
// demands alone admits too little.
func (v *shortage) correct(level cassiatally.Level, part float64) {
	v.correction *= 1 + correctionGain*(float64(level)-part)
	v.correction = min(max(v.correction, 1/maxCorrection), maxCorrection)
}
