// Package quarantiner quarantines requests that crash backend servers. It counts the
// crashes of each fingerprint over the whole fleet from the reports of the nodes.
// Three crashes without a completed run quarantine a fingerprint.
//
// Successive reports of a node on a fingerprint only increase, ordered by their
// clears and then by their crashes. Reports may therefore arrive repeatedly, late
// and over several paths without counting twice.
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
// Unrelated requests that were in flight in a crash are suspects too. Their next
// completed run on any node clears them. A Quarantiner is not safe for concurrent
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
	crashesToQuarantine = 3
	quarantineDuration  = 10 * time.Minute
	// Records are kept much longer than their reports are relayed, so that a report
	// never returns to a node whose record of it has expired.
	recordRetention = 10 * time.Minute
	relayDuration   = time.Minute

	maxRecords = 1024
	// maxReporters bounds the reporters of a fingerprint; three reporters with one
	// crash each are enough to quarantine it.
	maxReporters = 256
	// maxReports bounds the reports of a gossip message.
	maxReports = 8
	// reportInterval matches the gossip interval, so that each set of reports is sent
	// even when the owner calls Reports more often.
	reportInterval = time.Second
)

var _ cassiatally.Quarantine = (*Quarantiner)(nil)

// Quarantiner holds the suspects and quarantined requests that one node has
// recorded.
type Quarantiner struct {
	self    cassiatally.NodeRef
	records map[cassiatally.Fingerprint]*record

	reports    []cassiatally.CrashReport
	reportedAt cassiatally.Instant
	changed    bool
}

// record holds the reports on one fingerprint.
type record struct {
	tallies map[cassiatally.NodeRef]*tally
	// quarantinedUntil is zero when the fingerprint is not quarantined.
	quarantinedUntil cassiatally.Instant
	changedAt        cassiatally.Instant
}

// tally is the latest report of one node.
type tally struct {
	clears, crashes uint16
	// discounted is the number of crashes that no longer count since a completed run
	// or the end of a quarantine.
	discounted uint16
	changedAt  cassiatally.Instant
	reportedAt cassiatally.Instant
}

// New returns a quarantiner without records for the node.
func New(self cassiatally.NodeRef) *Quarantiner {
	return &Quarantiner{self: self, records: map[cassiatally.Fingerprint]*record{}}
}

// Blocked reports whether the request must not be run.
func (q *Quarantiner) Blocked(now cassiatally.Instant, f cassiatally.Fingerprint) bool {
	r := q.lookup(now, f)
	return r != nil && r.quarantinedUntil != 0
}

// Suspect reports whether the request was in flight in a crash and has not
// completed since.
func (q *Quarantiner) Suspect(now cassiatally.Instant, f cassiatally.Fingerprint) bool {
	r := q.lookup(now, f)
	return r != nil && r.crashes() > 0
}

// Crashed records a crash during which these requests were in flight. A
// fingerprint that is listed twice counts once.
func (q *Quarantiner) Crashed(now cassiatally.Instant, inFlight []cassiatally.Fingerprint) {
	counted := map[cassiatally.Fingerprint]bool{}
	for _, f := range inFlight {
		if counted[f] {
			continue
		}
		counted[f] = true
		r := q.lookupOrCreate(now, f)
		t := r.tally(q.self)
		if t == nil {
			continue
		}
		t.crashes++
		q.markChanged(now, r, t)
		r.updateQuarantine(now)
	}
}

// Completed records that a run of the request has completed, which clears it of
// suspicion.
func (q *Quarantiner) Completed(now cassiatally.Instant, f cassiatally.Fingerprint) {
	r := q.lookup(now, f)
	if r == nil || r.crashes() == 0 {
		return
	}
	if t := r.tally(q.self); t != nil {
		t.clears++
		t.crashes, t.discounted = 0, 0
		q.markChanged(now, r, t)
	}
	r.discountAll()
}

// Merge records the crash reports of another node.
func (q *Quarantiner) Merge(now cassiatally.Instant, reports []cassiatally.CrashReport) {
	for _, in := range reports {
		// Reports by this node itself are merged too: they restore the counts of a
		// record that was evicted.
		q.merge(now, in)
	}
}

func (q *Quarantiner) merge(now cassiatally.Instant, in cassiatally.CrashReport) {
	r := q.lookupOrCreate(now, in.Fingerprint)
	t := r.tally(in.Reporter)
	if t == nil || cmp.Or(cmp.Compare(in.Clears, t.clears), cmp.Compare(in.Crashes, t.crashes)) <= 0 {
		return
	}
	cleared := in.Clears > t.clears
	t.clears, t.crashes = in.Clears, in.Crashes
	if cleared {
		t.discounted = 0
		r.discountOthers(t)
	}
	q.markChanged(now, r, t)
	r.updateQuarantine(now)
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

// ReportsOf returns all recorded crash reports on some requests. A node that merges
// them in this order arrives at the same count: the crashes that a completed run cleared
// come before the report of that run, and later crashes after it.
func (q *Quarantiner) ReportsOf(now cassiatally.Instant, of []cassiatally.Fingerprint) []cassiatally.CrashReport {
	var out []cassiatally.CrashReport
	added := map[cassiatally.Fingerprint]bool{}
	for _, f := range of {
		if r := q.lookup(now, f); r != nil && !added[f] {
			added[f] = true
			out = append(out, r.allReports(f)...)
		}
	}
	return out
}

func (r *record) allReports(f cassiatally.Fingerprint) []cassiatally.CrashReport {
	var discounted, cleared, open []cassiatally.CrashReport
	refs := slices.SortedFunc(maps.Keys(r.tallies), func(a, b cassiatally.NodeRef) int {
		return cmp.Compare(a.String(), b.String())
	})
	for _, ref := range refs {
		t := r.tallies[ref]
		if t.discounted > 0 && t.clears == 0 {
			before := tally{crashes: t.discounted}
			discounted = append(discounted, before.report(f, ref))
		}
		switch {
		case t.clears > 0:
			cleared = append(cleared, t.report(f, ref))
		case t.crashes > t.discounted:
			open = append(open, t.report(f, ref))
		}
	}
	return slices.Concat(discounted, cleared, open)
}

// Reports returns the reports to send to other nodes: recent changes, starting with
// those that were reported least recently. The selection changes every second, or
// when a new change is recorded.
func (q *Quarantiner) Reports(now cassiatally.Instant) []cassiatally.CrashReport {
	if q.changed || now.Reached(q.reportedAt.Add(reportInterval)) {
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
			if now.Sub(t.changedAt) < relayDuration && (t.clears > 0 || t.crashes > 0) {
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

// lookup returns the record of a fingerprint, or nil. It ends a quarantine that has
// run out and deletes an expired record.
func (q *Quarantiner) lookup(now cassiatally.Instant, f cassiatally.Fingerprint) *record {
	r := q.records[f]
	if r == nil {
		return nil
	}
	if r.quarantinedUntil != 0 && now.Reached(r.quarantinedUntil) {
		r.discountAll()
	}
	if r.expired(now) {
		delete(q.records, f)
		return nil
	}
	return r
}

func (q *Quarantiner) lookupOrCreate(now cassiatally.Instant, f cassiatally.Fingerprint) *record {
	if r := q.lookup(now, f); r != nil {
		return r
	}
	if len(q.records) >= maxRecords {
		q.evict(now)
	}
	r := &record{tallies: map[cassiatally.NodeRef]*tally{}, changedAt: now}
	q.records[f] = r
	return r
}

// evict deletes expired records, or else the one that changed least recently.
// Quarantined ones are deleted last.
func (q *Quarantiner) evict(now cassiatally.Instant) {
	maps.DeleteFunc(q.records, func(_ cassiatally.Fingerprint, r *record) bool { return r.expired(now) })
	if len(q.records) < maxRecords {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Keys(q.records)), func(a, b cassiatally.Fingerprint) int {
		x, y := q.records[a], q.records[b]
		return cmp.Or(cmp.Compare(x.quarantinedUntil, y.quarantinedUntil), cmp.Compare(x.changedAt, y.changedAt), cmp.Compare(a, b))
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
	return !now.Before(r.quarantinedUntil) && now.Sub(r.changedAt) >= recordRetention
}

func (r *record) tally(ref cassiatally.NodeRef) *tally {
	t := r.tallies[ref]
	if t == nil && len(r.tallies) < maxReporters {
		t = &tally{}
		r.tallies[ref] = t
	}
	return t
}

func (q *Quarantiner) markChanged(now cassiatally.Instant, r *record, t *tally) {
	t.changedAt, t.reportedAt = now, 0
	r.changedAt = now
	q.changed = true
}

// crashes returns the number of crashes since the last completed run.
func (r *record) crashes() int {
	n := 0
	for _, t := range r.tallies {
		n += int(t.crashes - t.discounted)
	}
	return n
}

func (r *record) updateQuarantine(now cassiatally.Instant) {
	switch n := r.crashes(); {
	case n == 0:
		r.quarantinedUntil = 0
	case n >= crashesToQuarantine && r.quarantinedUntil == 0:
		r.quarantinedUntil = now.Add(quarantineDuration)
	}
}

func (r *record) discountAll() { r.discountOthers(nil) }

// discountOthers removes all crashes from the count, except those of the given
// tally, which happened after its completed run.
func (r *record) discountOthers(except *tally) {
	for _, t := range r.tallies {
		if t != except {
			t.discounted = t.crashes
		}
	}
	r.quarantinedUntil = 0
}
