// Package instancetracker decides which instance of a backend server is behind the
// address beside a node, and in which state. Reports come late, more than once and
// from instances that have ended.
//
// # Usage
//
//	t := &instancetracker.Tracker{}
//	if t.Observe(now, report) { announce(t.Current()) }
//	if t.Left(now, instance) { withdraw() }
//
// A Tracker is not safe for concurrent use.
package instancetracker

import (
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	// maxRetired bounds the instances that are remembered as ended.
	maxRetired = 64
	// lateFor is how late a report may come. An instance that left before this node
	// knew its start is ignored for that long; it may start again under its id.
	lateFor = 10 * time.Second
)

// Tracker follows the instances at one address.
type Tracker struct {
	current cassiatally.InstanceReport
	known   bool
	left    bool
	// retired has the instances that left or were replaced.
	retired map[cassiatally.InstanceID]retirement
	order   []cassiatally.InstanceID
}

// retirement ends an instance: the starts up to born, and all of them before until.
type retirement struct {
	born  int64
	until cassiatally.Instant
}

func (e retirement) covers(now cassiatally.Instant, r cassiatally.InstanceReport) bool {
	return now.Before(e.until) || r.StartedMs <= e.born
}

// Current returns the latest report of the instance in place. It returns false when
// there is none or when the instance has left.
func (t *Tracker) Current() (cassiatally.InstanceReport, bool) {
	return t.current, t.known && !t.left
}

// Observe takes a report and tells whether it is news: a late report of an
// instance, or one of an instance that ended, is not.
func (t *Tracker) Observe(now cassiatally.Instant, r cassiatally.InstanceReport) bool {
	if !valid(r) {
		return false
	}
	if t.known && sameStart(t.current, r) {
		return t.renew(r)
	}
	if e, ended := t.retired[r.Instance]; ended && e.covers(now, r) {
		return false
	}
	if t.known && r.StartedMs != 0 && r.StartedMs < t.current.StartedMs {
		return false
	}
	if t.known {
		t.retire(t.current.Instance, retirement{born: t.current.StartedMs})
	}
	t.current, t.known, t.left = r, true, false
	return true
}

func valid(r cassiatally.InstanceReport) bool {
	return r.Instance != "" && r.Service != "" && r.Address != "" && r.State != cassiatally.EndpointNone
}

// sameStart reports whether two reports are of the same start of an instance. One
// that does not tell its start is taken for the one that is known.
func sameStart(a, b cassiatally.InstanceReport) bool {
	return a.Instance == b.Instance && (a.StartedMs == b.StartedMs || a.StartedMs == 0 || b.StartedMs == 0)
}

func (t *Tracker) renew(r cassiatally.InstanceReport) bool {
	if t.left || (t.current.Sequence != 0 && r.Sequence <= t.current.Sequence) {
		return false
	}
	if t.current.State == cassiatally.EndpointDraining {
		// An instance that leaves does not come back.
		r.State = cassiatally.EndpointDraining
	}
	if r.StartedMs == 0 {
		r.StartedMs = t.current.StartedMs
	}
	t.current = r
	return true
}

// Left records that an instance has left and tells whether it was in place.
func (t *Tracker) Left(now cassiatally.Instant, id cassiatally.InstanceID) bool {
	if !t.known || t.current.Instance != id {
		// It may have been acknowledged by an earlier start of this node, and its late
		// reports must not bring it back.
		t.retire(id, retirement{until: now.Add(lateFor)})
		return false
	}
	t.left = true
	return true
}

func (t *Tracker) retire(id cassiatally.InstanceID, e retirement) {
	if t.retired == nil {
		t.retired = make(map[cassiatally.InstanceID]retirement)
	}
	old, known := t.retired[id]
	if !known {
		t.order = append(t.order, id)
	}
	t.retired[id] = retirement{born: max(old.born, e.born), until: max(old.until, e.until)}
	if len(t.order) > maxRetired {
		delete(t.retired, t.order[0])
		t.order = t.order[1:]
	}
}
