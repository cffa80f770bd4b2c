package registrar

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// tombstone prevents stale gossip from adding a removed incarnation again.
type tombstone struct {
	ref       cassiatally.NodeRef
	heartbeat uint64
	at        cassiatally.Instant
}

// removeExpired removes members whose heartbeat stopped, expired tombstones and
// queries older than an interval.
func (r *Registrar) removeExpired(now cassiatally.Instant) {
	lastSeen, foreign := r.lastSeen()
	factor := min(max(foreign/foreignMembersPerFactor, 1), maxForeignFactor)
	for _, e := range slices.Clone(r.order) {
		limit := r.cfg.RemoveAfter
		silent := now.Sub(lastSeen[e.member.DataCentre]) >= limit
		if e.member.DataCentre != r.cfg.DataCentre && !e.member.Leaving && !silent {
			limit *= time.Duration(factor)
		}
		if now.Sub(e.aliveAt) >= limit {
			r.remove(now, e)
		}
	}
	maps.DeleteFunc(r.tombstones, func(_ cassiatally.NodeID, t tombstone) bool {
		return now.Sub(t.at) >= tombstoneFactor*r.cfg.RemoveAfter
	})
	maps.DeleteFunc(r.queriedAt, func(_ cassiatally.NodeID, at cassiatally.Instant) bool {
		return now.Sub(at) >= r.cfg.Interval
	})
}

// lastSeen returns when a heartbeat of each data centre last grew, and the number of
// members of other data centres.
func (r *Registrar) lastSeen() (map[cassiatally.DataCentre]cassiatally.Instant, int) {
	last, foreign := map[cassiatally.DataCentre]cassiatally.Instant{}, 0
	for _, e := range r.table {
		dc := e.member.DataCentre
		if seen, found := last[dc]; !found || seen.Before(e.aliveAt) {
			last[dc] = e.aliveAt
		}
		if dc != r.cfg.DataCentre {
			foreign++
		}
	}
	return last, foreign
}

func (r *Registrar) remove(now cassiatally.Instant, e *entry) {
	id := e.member.Ref.Node
	r.changes++
	r.deleteEntry(id)
	r.pendingUpdates.drop(id)
	if len(r.tombstones) < maxTombstones {
		r.tombstones[id] = tombstone{e.member.Ref, e.member.Heartbeat, now}
	}
	if e.member.Leaving || slices.Contains(r.lostAddresses, e.member.Address) {
		return
	}
	if len(r.lostAddresses) == maxLostAddresses {
		// The address to evict is random, so that addresses of several data centres stay.
		i := r.rand.IntN(maxLostAddresses)
		r.lostAddresses = slices.Delete(r.lostAddresses, i, i+1)
	}
	r.lostAddresses = append(r.lostAddresses, e.member.Address)
}

// blockedByTombstone reports whether an entry is stale gossip about a removed member.
// A member that was only partitioned or paused is added again when it sends its own
// entry, or when its heartbeat grew by more than could be in flight at its removal.
func (r *Registrar) blockedByTombstone(m cassiatally.Member, from cassiatally.NodeRef) bool {
	t, found := r.tombstones[m.Ref.Node]
	if !found || m.Ref == from || m.Ref.Incarnation > t.ref.Incarnation {
		return false
	}
	if m.Ref.Incarnation < t.ref.Incarnation {
		return true
	}
	margin := uint64(math.Ceil(float64(r.cfg.RemoveAfter) / float64(r.cfg.Interval)))
	return m.Heartbeat < t.heartbeat+margin
}
