// Package quarantiner stops requests that crash backend servers. It counts the
// crashes of each fingerprint over the whole fleet from the reports of single
// nodes. Three crashes without a completed run quarantine a fingerprint.
//
// A report only grows, first by its clears and then by its crashes, so that
// reports may arrive twice, late and by several ways without counting twice.
//
// # Usage
//
//	q := quarantiner.New(self)
//	if q.Blocked(now, f) {
//		// refuse as quarantined
//	}
//	q.Crashed(now, fingerprintsInFlight)
//	q.Completed(now, f)
//	q.Merge(now, gossip.Crashes)
//	registrar.SetCrashes(q.Reports(now)) // at every tick
//
// Requests that were in flight beside the cause are suspects too. Their next
// completed run anywhere clears them. A Quarantiner is not safe for concurrent
// use.
package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	crashLimit    = 3
	quarantineFor = 10 * time.Minute
	// Records outlast the relaying of their reports by far, so that a report
	// never comes back to a node that has forgotten it.
	keepFor  = 10 * time.Minute
	relayFor = time.Minute

	maxRecords = 1024
	// maxReporters bounds the reporters of a fingerprint; three are enough.
	maxReporters = 256
	// maxReports bounds the reports of a gossip message.
	maxReports = 8
	// reportEvery matches the gossip rounds, so that each set of reports is sent
	// however often the owner asks for it.
	reportEvery = time.Second
)

var _ cassiatally.Quarantine = (*Quarantiner)(nil)

// Quarantiner is the table of suspects of one node.
type Quarantiner struct {
	self    cassiatally.NodeRef
	records map[cassiatally.Fingerprint]*record

	reports    []cassiatally.CrashReport
	reportedAt cassiatally.Instant
	changed    bool
}

// record is what is known about one fingerprint.
type record struct {
	tallies map[cassiatally.NodeRef]*tally
	// until is the end of the quarantine; zero when there is none.
	until     cassiatally.Instant
	changedAt cassiatally.Instant
}

// tally is the greatest report of one node.
type tally struct {
	clears, crashes uint16
	// settled counts the crashes that a completed run or the end of a quarantine
	// took out of the count.
	settled    uint16
	changedAt  cassiatally.Instant
	reportedAt cassiatally.Instant
}

// New returns an empty quarantine of the node.
func New(self cassiatally.NodeRef) *Quarantiner {
	return &Quarantiner{self: self, records: map[cassiatally.Fingerprint]*record{}}
}

// Blocked reports whether the request must not be run.
func (q *Quarantiner) Blocked(now cassiatally.Instant, f cassiatally.Fingerprint) bool {
	r := q.lookup(now, f)
	return r != nil && r.until != 0
}

// Suspect reports whether the request was in flight in a crash and has not
// completed since.
func (q *Quarantiner) Suspect(now cassiatally.Instant, f cassiatally.Fingerprint) bool {
	r := q.lookup(now, f)
	return r != nil && r.crashes() > 0
}

// Crashed records a crash with these requests in flight.
func (q *Quarantiner) Crashed(now cassiatally.Instant, inFlight []cassiatally.Fingerprint) {
	counted := map[cassiatally.Fingerprint]bool{}
	for _, f := range inFlight {
		if counted[f] {
			continue
		}
		counted[f] = true
		r := q.open(now, f)
		t := r.tally(q.self)
		if t == nil {
			continue
		}
		t.crashes++
		q.touch(now, r, t)
		r.judge(now)
	}
}

// Completed clears a request.
func (q *Quarantiner) Completed(now cassiatally.Instant, f cassiatally.Fingerprint) {
	r := q.lookup(now, f)
	if r == nil || r.crashes() == 0 {
		return
	}
	if t := r.tally(q.self); t != nil {
		t.clears++
		t.crashes, t.settled = 0, 0
		q.touch(now, r, t)
	}
	r.settle()
}

// Merge records what another node told.
func (q *Quarantiner) Merge(now cassiatally.Instant, reports []cassiatally.CrashReport) {
	for _, in := range reports {
		// A report of this node itself is merged too: it continues the counts of a
		// record that was dropped to make room.
		q.merge(now, in)
	}
}

func (q *Quarantiner) merge(now cassiatally.Instant, in cassiatally.CrashReport) {
	r := q.open(now, in.Fingerprint)
	t := r.tally(in.Reporter)
	if t == nil || cmp.Or(cmp.Compare(in.Clears, t.clears), cmp.Compare(in.Crashes, t.crashes)) <= 0 {
		return
	}
	cleared := in.Clears > t.clears
	t.clears, t.crashes = in.Clears, in.Crashes
	if cleared {
		t.settled = 0
		r.settleOthers(t)
	}
	q.touch(now, r, t)
	r.judge(now)
}

// Count returns how many requests are suspects and how many are quarantined. A
// quarantined request is no longer counted as a suspect.
func (q *Quarantiner) Count(now cassiatally.Instant) (suspects, quarantined int) {
	for f := range q.records {
		switch {
		case q.Blocked(now, f):
			quarantined++
		case q.Suspect(now, f):
			suspects++
		}
	}
	return suspects, quarantined
}

// News returns all that is known of the crashes of some requests. Who merges the
// reports in their order comes to the same count: crashes that a completed run has
// settled stand before that run, and those after it behind it.
func (q *Quarantiner) ReportsOf(now cassiatally.Instant, of []cassiatally.Fingerprint) []cassiatally.CrashReport {
	var out []cassiatally.CrashReport
	told := map[cassiatally.Fingerprint]bool{}
	for _, f := range of {
		if r := q.lookup(now, f); r != nil && !told[f] {
			told[f] = true
			out = append(out, r.news(f)...)
		}
	}
	return out
}

func (r *record) news(f cassiatally.Fingerprint) []cassiatally.CrashReport {
	var settled, cleared, open []cassiatally.CrashReport
	refs := slices.SortedFunc(maps.Keys(r.tallies), func(a, b cassiatally.NodeRef) int {
		return cmp.Compare(a.String(), b.String())
	})
	for _, ref := range refs {
		t := r.tallies[ref]
		if t.settled > 0 && t.clears == 0 {
			before := tally{crashes: t.settled}
			settled = append(settled, before.report(f, ref))
		}
		switch {
		case t.clears > 0:
			cleared = append(cleared, t.report(f, ref))
		case t.crashes > t.settled:
			open = append(open, t.report(f, ref))
		}
	}
	return slices.Concat(settled, cleared, open)
}

// Reports returns what to tell other nodes: recent changes, those first that
// were not told for the longest time. The next ones follow after a second.
func (q *Quarantiner) Reports(now cassiatally.Instant) []cassiatally.CrashReport {
	if q.changed || now.Reached(q.reportedAt.Add(reportEvery)) {
		q.reports = q.nextReports(now)
		q.reportedAt = now
		q.changed = false
	}
	return slices.Clone(q.reports)
}

func (q *Quarantiner) nextReports(now cassiatally.Instant) []cassiatally.CrashReport {
	type item struct {
		report cassiatally.CrashReport
		tally  *tally
	}
	var items []item
	for f, r := range q.records {
		for ref, t := range r.tallies {
			if now.Sub(t.changedAt) < relayFor && (t.clears > 0 || t.crashes > 0) {
				items = append(items, item{t.report(f, ref), t})
			}
		}
	}
	slices.SortFunc(items, func(a, b item) int {
		return cmp.Or(
			cmp.Compare(a.tally.reportedAt, b.tally.reportedAt),
			cmp.Compare(b.tally.changedAt, a.tally.changedAt),
			cmp.Compare(a.report.Fingerprint, b.report.Fingerprint),
			cmp.Compare(a.report.Reporter.String(), b.report.Reporter.String()),
		)
	})
	var out []cassiatally.CrashReport
	for _, it := range items[:min(len(items), maxReports)] {
		it.tally.reportedAt = now
		out = append(out, it.report)
	}
	return out
}

// lookup returns the record of a fingerprint, or nil, and ends a quarantine or
// a record whose time is over.
func (q *Quarantiner) lookup(now cassiatally.Instant, f cassiatally.Fingerprint) *record {
	r := q.records[f]
	if r == nil {
		return nil
	}
	if r.until != 0 && now.Reached(r.until) {
		r.settle()
	}
	if r.expired(now) {
		delete(q.records, f)
		return nil
	}
	return r
}

func (q *Quarantiner) open(now cassiatally.Instant, f cassiatally.Fingerprint) *record {
	if r := q.lookup(now, f); r != nil {
		return r
	}
	if len(q.records) >= maxRecords {
		q.makeRoom(now)
	}
	r := &record{tallies: map[cassiatally.NodeRef]*tally{}, changedAt: now}
	q.records[f] = r
	return r
}

// makeRoom drops expired records, or else the one that changed least recently,
// quarantined ones last.
func (q *Quarantiner) makeRoom(now cassiatally.Instant) {
	maps.DeleteFunc(q.records, func(_ cassiatally.Fingerprint, r *record) bool { return r.expired(now) })
	if len(q.records) < maxRecords {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Keys(q.records)), func(a, b cassiatally.Fingerprint) int {
		x, y := q.records[a], q.records[b]
		return cmp.Or(cmp.Compare(x.until, y.until), cmp.Compare(x.changedAt, y.changedAt), cmp.Compare(a, b))
	})
	delete(q.records, oldest)
}

func (t *tally) report(f cassiatally.Fingerprint, by cassiatally.NodeRef) cassiatally.CrashReport {
	return cassiatally.CrashReport{
		Fingerprint: f, Reporter: by, Crashes: t.crashes, Clears: t.clears,
		Completed: t.clears > 0 && t.crashes == 0,
	}
}

func (r *record) expired(now cassiatally.Instant) bool {
	return !now.Before(r.until) && now.Sub(r.changedAt) >= keepFor
}

func (r *record) tally(ref cassiatally.NodeRef) *tally {
	t := r.tallies[ref]
	if t == nil && len(r.tallies) < maxReporters {
		t = &tally{}
		r.tallies[ref] = t
	}
	return t
}

func (q *Quarantiner) touch(now cassiatally.Instant, r *record, t *tally) {
	t.changedAt, t.reportedAt = now, 0
	r.changedAt = now
	q.changed = true
}

// crashes returns the crashes since the last completed run.
func (r *record) crashes() int {
	n := 0
	for _, t := range r.tallies {
		n += int(t.crashes - t.settled)
	}
	return n
}

func (r *record) judge(now cassiatally.Instant) {
	switch n := r.crashes(); {
	case n == 0:
		r.until = 0
	case n >= crashLimit && r.until == 0:
		r.until = now.Add(quarantineFor)
	}
}

func (r *record) settle() { r.settleOthers(nil) }

// settleOthers takes all crashes out of the count, except those that a report
// tells after its own completed run.
func (r *record) settleOthers(except *tally) {
	for _, t := range r.tallies {
		if t != except {
			t.settled = t.crashes
		}
	}
	r.until = 0
}
