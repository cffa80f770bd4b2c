package quotakeeper

import (
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/quotataker"
)

// report has what operators see. Counts are passed on once in reportInterval, and a log
// line is written when a state changes.
type report struct {
	granted, refused, floor, noOwner int64
	next                             cassiatally.Instant
	eligible, isolated               bool
	// isolatedAt is when the present isolation began.
	isolatedAt cassiatally.Instant
}

// isolationDelay keeps the start of a node out of the log: it has no beats of the others
// yet.
const isolationDelay = 3 * time.Second

func (r *report) count(d quotataker.Decision) {
	switch {
	case d.Floor:
		r.floor++
	case d.Decision.Granted:
		r.granted++
	case d.Decision.Kind == cassiatally.KindQuotaExceeded:
		r.refused++
	default:
		r.noOwner++
	}
}

// tick passes on the metrics when they are due.
func (r *report) tick(k *Keeper, now cassiatally.Instant) {
	if now.Before(r.next) {
		return
	}
	r.next = now.Add(reportInterval)
	r.passCounts(k)
	k.Metrics.Gauge("quota_owned_tenants", float64(k.owner.Owned()))
	k.Metrics.Gauge("quota_isolated", flag(k.owner.Isolated()))
	if k.owner.Eligible() {
		k.Metrics.Gauge("quota_fraction", k.owner.Fraction(now))
	}
}

// passCounts passes on the counts since the last call.
func (r *report) passCounts(k *Keeper) {
	for _, c := range []struct {
		name string
		n    *int64
	}{{"quota_granted", &r.granted}, {"quota_refused", &r.refused}, {"quota_floor", &r.floor}, {"quota_no_owner", &r.noOwner}} {
		if *c.n > 0 {
			k.Metrics.Count(c.name, nil, *c.n)
			*c.n = 0
		}
	}
}

// logChanges logs when the node becomes or ceases to be an owner or isolated.
func (r *report) logChanges(k *Keeper, now cassiatally.Instant) {
	if eligible := k.owner.Eligible(); eligible != r.eligible {
		r.eligible = eligible
		if eligible {
			k.Logger.Info("node owns quotas", "tenants", k.owner.Owned())
		} else {
			k.Logger.Info("node owns quotas no more")
		}
	}
	if !k.owner.Isolated() {
		r.isolatedAt = now
	}
	if isolated := now.Sub(r.isolatedAt) >= isolationDelay; isolated != r.isolated {
		r.isolated = isolated
		if isolated {
			k.Logger.Warn("quota candidate isolated; it grants nothing")
		} else {
			k.Logger.Info("quota candidate not isolated any more")
		}
	}
}

func flag(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
