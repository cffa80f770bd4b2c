// Package instancetracker determines which instance of a backend server currently
// serves the backend address of a node, and its state. Reports may arrive late, more
// than once and from instances that have ended.
//
// # Usage
//
//	t := &instancetracker.Tracker{}
//	if t.Observe(now, report) { announce(t.Current()) }
//	if t.RecordLeave(now, instance) { withdraw() }
//
// A Tracker is not safe for concurrent use.
package instancetracker

import (
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	// maxRetired bounds the ended instances that are kept.
	maxRetired = 64
	// maxReportDelay is how late a report may arrive. Reports of an instance that left
	// before this node had recorded its start are ignored for that long; after that
	// the instance may start again under its id.
	maxReportDelay = 10 * time.Second
)

// Tracker follows the instances at one address.
type Tracker struct {
	current     cassiatally.InstanceReport
	hasCurrent  bool
	currentLeft bool
	// retired holds the instances that left or were replaced.
	retired      map[cassiatally.InstanceID]retirement
	retiredOrder []cassiatally.InstanceID
}

// retirement states which reports of an ended instance are ignored: those of its
// starts up to lastStart, and all that arrive before ignoreUntil.
type retirement struct {
	lastStart   int64
	ignoreUntil cassiatally.Instant
}

func (e retirement) covers(now cassiatally.Instant, r cassiatally.InstanceReport) bool {
	return now.Before(e.ignoreUntil) || r.StartedMs <= e.lastStart
}

// Current returns the latest report of the current instance. It returns false when
// there is none or when the instance has left.
func (t *Tracker) Current() (cassiatally.InstanceReport, bool) {
	return t.current, t.hasCurrent && !t.currentLeft
}

// Observe records a report and returns whether it was accepted. Late reports and
// reports of instances that have ended are not.
func (t *Tracker) Observe(now cassiatally.Instant, r cassiatally.InstanceReport) bool {
	if !valid(r) {
		return false
	}
	if t.hasCurrent && sameStart(t.current, r) {
		return t.updateCurrent(r)
	}
	if e, ended := t.retired[r.Instance]; ended && e.covers(now, r) {
		return false
	}
	if t.hasCurrent && r.StartedMs != 0 && r.StartedMs < t.current.StartedMs {
		return false
	}
	if _, inPlace := t.Current(); inPlace && r.StartedMs == 0 && t.current.StartedMs != 0 {
		// Without its start it is no evidence that the current instance has ended.
		return false
	}
	if t.hasCurrent {
		t.retire(t.current.Instance, retirement{lastStart: t.current.StartedMs})
	}
	t.current, t.hasCurrent, t.currentLeft = r, true, false
	return true
}

func valid(r cassiatally.InstanceReport) bool {
	return r.Instance != "" && r.Service != "" && r.Address != "" && r.State != cassiatally.EndpointNone
}

// sameStart reports whether two reports are of the same start of an instance. A
// report without a start time is assumed to be of the same start.
func sameStart(a, b cassiatally.InstanceReport) bool {
	return a.Instance == b.Instance && (a.StartedMs == b.StartedMs || a.StartedMs == 0 || b.StartedMs == 0)
}

func (t *Tracker) updateCurrent(r cassiatally.InstanceReport) bool {
	if t.currentLeft {
		return false
	}
	if t.current.Sequence != 0 && r.Sequence <= t.current.Sequence {
		if r.State != cassiatally.EndpointDraining || t.current.State == cassiatally.EndpointDraining {
			return false
		}
		// An instance that drains does so to its end, however late its report arrives.
		t.current.State = cassiatally.EndpointDraining
		return true
	}
	if t.current.State == cassiatally.EndpointDraining {
		// A draining instance does not become ready again.
		r.State = cassiatally.EndpointDraining
	}
	if r.StartedMs == 0 {
		r.StartedMs = t.current.StartedMs
	}
	t.current = r
	return true
}

// Discard forgets the current instance, whose reports are then those of a new one.
func (t *Tracker) Discard() {
	t.current, t.hasCurrent, t.currentLeft = cassiatally.InstanceReport{}, false, false
}

// RecordLeave records that an instance has left and returns whether it was the
// current one.
func (t *Tracker) RecordLeave(now cassiatally.Instant, id cassiatally.InstanceID) bool {
	if !t.hasCurrent || t.current.Instance != id {
		// An earlier incarnation of this node may have acknowledged the instance, and
		// late reports must not make it the current one again.
		t.retire(id, retirement{ignoreUntil: now.Add(maxReportDelay)})
		return false
	}
	t.currentLeft = true
	return true
}

func (t *Tracker) retire(id cassiatally.InstanceID, e retirement) {
	if t.retired == nil {
		t.retired = make(map[cassiatally.InstanceID]retirement)
	}
	old, exists := t.retired[id]
	if !exists {
		t.retiredOrder = append(t.retiredOrder, id)
	}
	t.retired[id] = retirement{lastStart: max(old.lastStart, e.lastStart), ignoreUntil: max(old.ignoreUntil, e.ignoreUntil)}
	if len(t.retiredOrder) > maxRetired {
		delete(t.retired, t.retiredOrder[0])
		t.retiredOrder = t.retiredOrder[1:]
	}
}
