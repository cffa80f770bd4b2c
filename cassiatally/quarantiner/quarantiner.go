// Package quarantiner stops requests that crash backend servers. It counts, for
// the whole fleet, the crashes in which a request was in flight.
//
// # Usage
//
//	q := quarantiner.New(self)
//	if q.Blocked(now, fingerprint) { ... }
//	q.Crashed(now, inFlight)
//	q.Completed(now, fingerprint)
//	gossip.Crashes = q.Reports(now)
//	q.Merge(now, received.Crashes)
package quarantiner

import (
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	// maxCrashes is the number of crashes, without a completed run since the first,
	// after which a request is blocked.
	maxCrashes = 3
	// blockedFor is how long a request is blocked or suspected after its last crash.
	blockedFor = 10 * time.Minute
	// maxSuspects bounds the table; the oldest entries are dropped first.
	maxSuspects = 1024
	// maxReports bounds the reports in one gossip message.
	maxReports = 32
)

type suspect struct {
	crashes map[cassiatally.NodeRef]uint16
	at      cassiatally.Instant
}

func (s *suspect) total() int {
	n := 0
	for _, c := range s.crashes {
		n += int(c)
	}
	return n
}

// Quarantiner is the crash table of one node.
type Quarantiner struct {
	self     cassiatally.NodeRef
	suspects map[cassiatally.Fingerprint]*suspect
}

// New returns an empty table.
func New(self cassiatally.NodeRef) *Quarantiner {
	return &Quarantiner{self: self, suspects: make(map[cassiatally.Fingerprint]*suspect)}
}

// Blocked reports whether the request must not be run.
func (q *Quarantiner) Blocked(now cassiatally.Instant, f cassiatally.Fingerprint) bool {
	s := q.live(now, f)
	return s != nil && s.total() >= maxCrashes
}

// Suspect reports whether the request was in flight in a crash and has not
// completed since.
func (q *Quarantiner) Suspect(now cassiatally.Instant, f cassiatally.Fingerprint) bool {
	return q.live(now, f) != nil
}

func (q *Quarantiner) live(now cassiatally.Instant, f cassiatally.Fingerprint) *suspect {
	s, ok := q.suspects[f]
	if ok && now.Sub(s.at) >= blockedFor {
		delete(q.suspects, f)
		return nil
	}
	return s
}

// Crashed records a crash with these requests in flight.
func (q *Quarantiner) Crashed(now cassiatally.Instant, inFlight []cassiatally.Fingerprint) {
	seen := make(map[cassiatally.Fingerprint]bool, len(inFlight))
	for _, f := range inFlight {
		if seen[f] {
			continue
		}
		seen[f] = true
		s := q.entry(f)
		s.crashes[q.self]++
		s.at = now
	}
}

func (q *Quarantiner) entry(f cassiatally.Fingerprint) *suspect {
	if s, ok := q.suspects[f]; ok {
		return s
	}
	if len(q.suspects) >= maxSuspects {
		q.dropOldest()
	}
	s := &suspect{crashes: make(map[cassiatally.NodeRef]uint16)}
	q.suspects[f] = s
	return s
}

func (q *Quarantiner) dropOldest() {
	var oldest cassiatally.Fingerprint
	first := true
	for f, s := range q.suspects {
		if first || s.at.Before(q.suspects[oldest].at) {
			oldest, first = f, false
		}
	}
	delete(q.suspects, oldest)
}

// Completed clears a request.
func (q *Quarantiner) Completed(_ cassiatally.Instant, f cassiatally.Fingerprint) {
	delete(q.suspects, f)
}

// Reports returns what to tell other nodes: the crashes that this node saw.
func (q *Quarantiner) Reports(now cassiatally.Instant) []cassiatally.CrashReport {
	var out []cassiatally.CrashReport
	for f := range q.suspects {
		s := q.live(now, f)
		if s == nil {
			continue
		}
		for reporter, n := range s.crashes {
			if len(out) == maxReports {
				return out
			}
			out = append(out, cassiatally.CrashReport{Fingerprint: f, Reporter: reporter, Crashes: n})
		}
	}
	return out
}

// Merge records what another node told. Counts per reporter only grow, so a
// repeated report changes nothing.
func (q *Quarantiner) Merge(now cassiatally.Instant, reports []cassiatally.CrashReport) {
	for _, r := range reports {
		s := q.entry(r.Fingerprint)
		if r.Crashes > s.crashes[r.Reporter] {
			s.crashes[r.Reporter] = r.Crashes
			s.at = now
		}
	}
}
