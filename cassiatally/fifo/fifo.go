// Package fifo provides the baseline admitter: a first-in, first-out queue without
// ranks, shares, deadlines or levels. It exists for comparison with the adaptive
// admitter.
//
// # Usage
//
//	q := &fifo.Queue{Capacity: 1000}
//	refused := q.Offer(now, entry)
//	start, _ := q.Next(now, free)
package fifo

import (
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// Queue starts calls in order of arrival. The zero value is unbounded.
type Queue struct {
	// Capacity is the number of entries at which new ones are refused; 0 means no
	// bound.
	Capacity int

	// order holds ids in order of arrival. Removed ids stay in it until Next skips
	// them.
	order   []cassiatally.CallID
	waiting map[cassiatally.CallID]struct{}
}

var _ cassiatally.Admitter = (*Queue)(nil)

// Offer appends the entry, or refuses it when the queue is full.
func (q *Queue) Offer(_ cassiatally.Instant, e cassiatally.Entry) []cassiatally.Dropped {
	if q.Capacity > 0 && len(q.waiting) >= q.Capacity {
		return []cassiatally.Dropped{{ID: e.ID, Kind: cassiatally.KindOverloaded}}
	}
	if q.waiting == nil {
		q.waiting = make(map[cassiatally.CallID]struct{})
	}
	q.waiting[e.ID] = struct{}{}
	q.order = append(q.order, e.ID)
	return nil
}

// Next removes up to free entries in order of arrival and returns them. It drops
// none.
func (q *Queue) Next(_ cassiatally.Instant, free int) (start []cassiatally.CallID, dropped []cassiatally.Dropped) {
	for len(q.order) > 0 && len(start) < free {
		id := q.order[0]
		q.order = q.order[1:]
		if q.Remove(id) {
			start = append(start, id)
		}
	}
	return start, nil
}

// Remove removes an entry from the queue and reports whether it was queued.
func (q *Queue) Remove(id cassiatally.CallID) bool {
	_, ok := q.waiting[id]
	delete(q.waiting, id)
	return ok
}

// Done does nothing, since the baseline keeps no measurements.
func (q *Queue) Done(cassiatally.Instant, cassiatally.RunClass, time.Duration) {}

// CutOff does nothing, since the baseline keeps no measurements.
func (q *Queue) CutOff(cassiatally.Instant, cassiatally.RunClass, time.Duration) {}

// Tick does nothing, since the levels of the baseline never change.
func (q *Queue) Tick(cassiatally.Instant, cassiatally.Concurrency) {}

// LimitRate does nothing, since the baseline estimates no capacity.
func (q *Queue) LimitRate(cassiatally.Rate) {}

// Levels returns 1 for every rank.
func (q *Queue) Levels() []cassiatally.Level {
	levels := make([]cassiatally.Level, cassiatally.MaxRanks)
	for i := range levels {
		levels[i] = 1
	}
	return levels
}

// Len returns the number of entries in the queue.
func (q *Queue) Len() int { return len(q.waiting) }
