// Package noticetracker keeps what the backend server of a host states about itself in
// its answers, for the start of the backend server that is in place.
//
// # Usage
//
//	t := &noticetracker.Tracker{}
//	t.Begin("i-7f3a", startedMs)         // with each announcement
//	start := t.Start()                   // when a run starts
//	changed := t.Observe(start, notice)  // when its answer arrives
//	limit := t.Notice().RateLimit
package noticetracker

import "github.com/cassiatally/cassiatally/cassiatally"

// Start numbers the starts of the backend server that a tracker has seen.
type Start uint64

// Tracker holds the notice in force. The zero value has none.
type Tracker struct {
	start     Start
	startedMs int64
	notice    cassiatally.Notice
}

// Begin records the instance that is in place and the time of its start in milliseconds
// of the Unix epoch, 0 if that is unknown. Another start has stated nothing yet.
func (t *Tracker) Begin(id cassiatally.InstanceID, startedMs int64) {
	if t.notice.Instance == id && (t.startedMs == startedMs || t.startedMs == 0 || startedMs == 0) {
		t.startedMs = max(t.startedMs, startedMs)
		return
	}
	*t = Tracker{start: t.start + 1, startedMs: startedMs, notice: cassiatally.Notice{Instance: id}}
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
	before := t.notice
	t.notice.Leaving = t.notice.Leaving || n.Leaving
	t.notice.InvalidRateLimit = n.InvalidRateLimit
	if n.InvalidRateLimit == "" {
		t.notice.RateLimited, t.notice.RateLimit = n.RateLimited, n.RateLimit
	}
	return t.notice != before
}
