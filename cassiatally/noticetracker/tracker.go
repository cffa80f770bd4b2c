// Package noticetracker keeps what the backend server of a host states about itself in
// its answers, for the start of the backend server that is in place.
//
// # Usage
//
//	t := &noticetracker.Tracker{}
//	t.SetInstance("i-7f3a", startedMs)   // with each announcement
//	start := t.Start()                   // when a run starts
//	changed := t.Observe(start, notice)  // when its answer arrives
//	changed = t.Hint(notice)             // when another node tells what it has learnt
//	limit := t.Notice().RateLimit
package noticetracker

import (
	"math"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// Start numbers the starts of the backend server that a tracker has seen.
type Start uint64

// Tracker holds the notice in force. The zero value has none.
type Tracker struct {
	start  Start
	notice cassiatally.Notice
	// answered is set once the start in place has answered to this node.
	answered bool
}

// SetInstance records the instance that is in place and the time of its start in milliseconds
// of the Unix epoch, 0 if that is unknown. Another start has stated nothing yet.
func (t *Tracker) SetInstance(id cassiatally.InstanceID, startedMs int64) {
	if t.inPlace(id, startedMs) {
		t.notice.StartedMs = max(t.notice.StartedMs, startedMs)
		return
	}
	*t = Tracker{start: t.start + 1, notice: cassiatally.Notice{Instance: id, StartedMs: startedMs}}
}

// inPlace reports whether a start of an instance is the one in place, as far as the times
// of both are known.
func (t *Tracker) inPlace(id cassiatally.InstanceID, startedMs int64) bool {
	known := t.notice.StartedMs
	return t.notice.Instance == id && (known == startedMs || known == 0 || startedMs == 0)
}

// Start returns the start of the backend server that is in place.
func (t *Tracker) Start() Start { return t.start }

// Notice returns the notice in force.
func (t *Tracker) Notice() cassiatally.Notice { return t.notice }

// Observe records the notice in an answer to a run that began at a start of the backend
// server, and reports whether the notice in force has changed. Answers of an earlier
// start change nothing.
func (t *Tracker) Observe(of Start, n cassiatally.Notice) bool {
	if of != t.start {
		return false
	}
	t.answered = true
	before := t.notice
	t.notice.Leaving = t.notice.Leaving || n.Leaving
	t.notice.InvalidRateLimit = n.InvalidRateLimit
	if n.InvalidRateLimit == "" {
		t.notice.RateLimited, t.notice.RateLimit = n.RateLimited, n.RateLimit
	}
	return t.notice != before
}

// Hint records what another node has learnt from answers of the backend server, and
// reports whether the notice in force has changed. It counts until the first answer to
// this node, which is newer.
func (t *Tracker) Hint(n cassiatally.Notice) bool {
	if t.answered || !t.inPlace(n.Instance, n.StartedMs) {
		return false
	}
	before := t.notice
	t.notice.Leaving = t.notice.Leaving || n.Leaving
	if n.RateLimited && n.RateLimit >= 0 && !math.IsInf(float64(n.RateLimit), 0) {
		t.notice.RateLimited, t.notice.RateLimit = true, n.RateLimit
	}
	// A later start may use the same id; its reports have another time.
	t.notice.StartedMs = max(t.notice.StartedMs, n.StartedMs)
	return t.notice != before
}
