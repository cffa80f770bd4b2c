// Package admitter decides which calls a backend server runs, in which order,
// and which are refused.
//
// An Admitter queues calls by rank. Free capacity goes first to ranks below
// their kept share, and then by strict precedence of ranks. Within a rank the
// lowest order value goes first, so that every service of a chain serves the
// same call trees. Calls that cannot finish before their deadline are dropped
// before work is spent on them. The queue is bounded by the time it takes to
// serve it; when it is full, the entry that would be served last is refused.
//
// Every 100 ms the Admitter computes a level per rank: the fraction of order
// values that it can serve. Entry nodes refuse the rest.
//
// # Usage
//
//	a := &admitter.Admitter{}
//	refused := a.Offer(now, entry)
//	start, dropped := a.Next(now, free)
//	a.Done(now, rank, busy) // at the end of each run
//	a.Tick(now, limit)      // every 100 ms
//	levels := a.Levels()
//
// An Admitter is not safe for concurrent use.
package admitter

import (
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	defaultTargetWait = 100 * time.Millisecond
	defaultLeastQueue = 16
	// typicalWeight is the weight of one run in the typical run time.
	typicalWeight = 0.1
	// needSpreads is the number of mean deviations above the typical run time for
	// which a call is given time to run.
	needSpreads = 2
	// typicalDecay lowers the typical run time in a window in which calls were
	// dropped for it and none ended. Without it, one slow spell could have every
	// call dropped and the run time never measured again.
	typicalDecay = 0.8
	// needMargin: the part of the typical run time (1/20) that a call is given for its
	// answer to travel, and for the error of the estimate. Where run times hardly vary,
	// calls started with just the typical time left, and their answers came late.
	needMargin = 20
	// tokenTime is the time for which a rank can save up its kept share. A longer
	// time would let a rank that was idle hold up urgent work.
	tokenTime = 250 * time.Millisecond
	// urgentBound multiplies the bound of the queue for the most urgent rank of the
	// sheet. A limit that is halved for a probe must not cost urgent calls that can
	// wait; their deadlines still bound the queue.
	urgentBound = 3
	// onwardLead puts onward calls before all calls that come from callers, in the
	// order of serving as well as in that of refusing. To refuse an onward call
	// wastes what services further up have done for it; in an overload trial, one
	// call in seven that passed the entry was wasted that way.
	onwardLead = 1e6
	// rescueTime is the time before the last moment to start at which a call of a
	// rank that fits goes first. In a busy spell, calls with a high order value
	// would otherwise wait until their deadline passes.
	rescueTime = 200 * time.Millisecond
	// leastTokens and leastQuota let a rank with a small kept share survive the
	// unevenness of its own arrivals.
	leastTokens = 4
	leastQuota  = 4
	// stallRuns is the least number of runs in flight, and stallFactor the number of
	// typical run times without an end, at which a backend server seems to be
	// stalled. At exponential run times the chance of that is e^-16.
	stallRuns   = 8
	stallFactor = 2
)

// Admitter is the queue in front of one backend server.
type Admitter struct {
	// TargetWait is the time worth of work that may queue; 0 means 100 ms.
	TargetWait time.Duration
	// Proportion, when above 0, takes the place of the kept shares of entries: each rank
	// but the most urgent keeps this part of what it would get if capacity were divided
	// by demand. Less urgent work is then served a little less, instead of not at all.
	Proportion float64
	// LeastQueue is the least bound of the queue in entries; 0 means 16.
	LeastQueue int

	q     *queue
	ranks [cassiatally.MaxRanks]rankState
	meter meter
	times runTimes
	// progressed is when a run last ended by itself, or when the first of those in
	// flight began.
	progressed cassiatally.Instant
	// starved is set when a call was dropped because of its deadline.
	starved bool
}

type rankState struct {
	share   cassiatally.Share
	tokens  float64
	tenants tenants
	// probes pays for calls that start although their deadlines seem out of reach.
	probes probes
}

var _ cassiatally.Admitter = (*Admitter)(nil)

// Offer queues the entry. It returns the entries refused because of it.
func (a *Admitter) Offer(now cassiatally.Instant, e cassiatally.Entry) []cassiatally.Dropped {
	a.prepare(now)
	r := min(e.Rank, cassiatally.MaxRanks-1)
	s := &a.ranks[r]
	if a.Proportion == 0 {
		s.share = e.Share
	}
	key := float64(e.Order) * s.tenants.arrived(e.Tenant)
	if e.Onward {
		key -= onwardLead
	}
	kind := a.hopeless(now, e, r, key)
	probe := kind == cassiatally.KindExpired && s.probes.take(e.Deadline.Sub(now))
	switch {
	case probe:
		kind = cassiatally.KindNone
	case kind == cassiatally.KindExpired:
		a.meter.late(r)
	default:
		// A call that is too late in any case asks for no capacity. Counted as demand
		// it would have calls of less urgent ranks refused that can finish.
		a.meter.arrived(r, e.Order)
	}
	if kind != cassiatally.KindNone {
		return []cassiatally.Dropped{{ID: e.ID, Kind: kind}}
	}
	if old := a.q.byID[e.ID]; old != nil {
		a.q.remove(old)
	}
	a.q.add(e, r, key).probe = probe
	worst := a.worst()
	if worst == nil {
		a.meter.queue(now, a.q)
		return nil
	}
	refused := a.q.remove(worst)
	a.meter.queue(now, a.q)
	return []cassiatally.Dropped{{ID: refused.ID, Kind: cassiatally.KindOverloaded}}
}

func (a *Admitter) prepare(now cassiatally.Instant) {
	if a.q == nil {
		a.q = newQueue()
		a.meter.begin(now)
	}
}

// hopeless returns the kind of error of an entry that cannot be served before
// its deadline, and KindNone for any other.
func (a *Admitter) hopeless(now cassiatally.Instant, e cassiatally.Entry, r cassiatally.Rank, key float64) cassiatally.ErrorKind {
	if e.Deadline == 0 {
		return cassiatally.KindNone
	}
	left := e.Deadline.Sub(now) - a.need(now, e, r)
	if left < 0 {
		a.starved = true
		return cassiatally.KindExpired
	}
	if left < a.predictedWait(r, key) {
		return cassiatally.KindOverloaded
	}
	return cassiatally.KindNone
}

// predictedWait returns the time until an entry would start. It is 0 while the
// capacity is unknown.
func (a *Admitter) predictedWait(r cassiatally.Rank, key float64) time.Duration {
	rate := a.meter.capacity
	if a.q.len() == 0 || rate <= 0 || a.meter.free() > a.q.len() {
		return 0
	}
	own := a.ahead(r, key)
	all := own
	for q := range r {
		all += float64(a.q.rankLen(q))
	}
	wait := all / rate
	if share := float64(a.ranks[r].share); share > 0 {
		wait = min(wait, own/(share*rate))
		if a.ranks[r].tokens > own {
			wait = min(wait, own/rate)
		}
	}
	return time.Duration(wait * float64(time.Second))
}

// ahead estimates how many entries of the rank go before the key, as if the keys
// in the queue were spread evenly.
func (a *Admitter) ahead(r cassiatally.Rank, key float64) float64 {
	n := a.q.rankLen(r)
	if n == 0 {
		return 0
	}
	low, high := a.q.first[r].top().key, a.q.last[r].top().key
	if key <= low {
		return 0
	}
	if key >= high {
		return float64(n)
	}
	return float64(n) * (key - low) / (high - low)
}

// bound returns the number of entries that may queue.
func (a *Admitter) bound() int {
	target := a.TargetWait
	if target <= 0 {
		target = defaultTargetWait
	}
	least := a.LeastQueue
	if least <= 0 {
		least = defaultLeastQueue
	}
	return max(int(a.meter.capacity*target.Seconds()), least)
}

// worst returns the entry to refuse when the queue is too long, and nil when it
// is not. That is the entry that would be served last: of the least urgent rank
// that has more entries than its kept share of the queue, the one with the
// highest key. Entries within a kept share come on top of the bound, so that they
// take no room from urgent work. Rank 0 and onward calls may queue longer than the
// others.
func (a *Admitter) worst() *item {
	bound := a.bound()
	room := bound + a.meter.free()
	var last *item
	for i := range a.q.last {
		r := cassiatally.Rank(i)
		n, kept := a.q.rankLen(r), a.quota(r, bound)
		room -= max(n-kept, 0)
		if n > kept {
			last = a.q.last[r].top()
		}
	}
	if last != nil && (last.rank == 0 || last.entry.Onward) {
		room += (urgentBound - 1) * bound
	}
	if room >= 0 {
		return nil
	}
	return last
}

// quota returns the number of entries that the kept share of a rank may hold.
func (a *Admitter) quota(r cassiatally.Rank, bound int) int {
	return quota(float64(a.ranks[r].share), bound)
}

// Next returns up to free entries to start now, and the entries dropped because
// their deadlines cannot be met.
func (a *Admitter) Next(now cassiatally.Instant, free int) (start []cassiatally.CallID, dropped []cassiatally.Dropped) {
	a.prepare(now)
	dropped = a.dropDue(now)
	for len(start) < free {
		it := a.choose(now)
		if it == nil {
			break
		}
		late, r := a.late(now, it), it.rank
		e := a.q.remove(it)
		if late {
			a.starved = true
			dropped = append(dropped, cassiatally.Dropped{ID: e.ID, Kind: cassiatally.KindExpired})
			continue
		}
		a.ranks[r].spend()
		start = append(start, e.ID)
	}
	a.meter.queue(now, a.q)
	if a.meter.inFlight == 0 {
		a.progressed = now
	}
	a.meter.started(now, len(start))
	return start, dropped
}

func (a *Admitter) dropDue(now cassiatally.Instant) (dropped []cassiatally.Dropped) {
	for r := range a.q.due {
		for {
			it := a.q.due[r].top()
			if it == nil || !a.late(now, it) {
				break
			}
			a.starved = true
			e := a.q.remove(it)
			dropped = append(dropped, cassiatally.Dropped{ID: e.ID, Kind: cassiatally.KindExpired})
		}
	}
	return dropped
}

// late reports whether an entry has less time left than it needs. A probe needs
// none.
func (a *Admitter) late(now cassiatally.Instant, it *item) bool {
	if it.entry.Deadline == 0 {
		return false
	}
	need := time.Duration(0)
	if !it.probe {
		need = a.need(now, it.entry, it.rank)
	}
	return it.entry.Deadline.Sub(now) < need
}

// spend takes a token for a call that starts. A call that starts by precedence
// costs the rank nothing that it does not have.
func (s *rankState) spend() { s.tokens = max(s.tokens-1, 0) }

// covers reports whether the kept share of the rank pays for a call. It never lends:
// with a debt of up to a second, onward calls used up the share as a flood began, and
// calls of callers then waited behind the debt until they were too late.
func (s *rankState) covers() bool { return s.share > 0 && s.tokens >= 1 }

// choose returns the entry to start next: of the most urgent rank whose kept share
// pays for it, else of the most urgent rank.
func (a *Admitter) choose(now cassiatally.Instant) *item {
	var first *item
	for i := range a.q.first {
		r := cassiatally.Rank(i)
		if a.q.rankLen(r) == 0 {
			continue
		}
		if a.ranks[r].covers() {
			return a.firstOf(now, r)
		}
		if first == nil {
			first = a.firstOf(now, r)
		}
	}
	return first
}

// firstOf returns the entry of the rank with the lowest key. While no call of the
// rank is refused at the entry, an entry that would soon be too late goes first:
// the rank fits, so none of its calls has to be lost.
func (a *Admitter) firstOf(now cassiatally.Instant, r cassiatally.Rank) *item {
	due := a.q.due[r].top()
	if due != nil && a.meter.levels[r] >= 1 && due.entry.Deadline.Sub(now) < a.need(now, due.entry, r)+rescueTime {
		return due
	}
	return a.q.first[r].top()
}

// Remove takes a cancelled entry out of the queue.
func (a *Admitter) Remove(id cassiatally.CallID) bool {
	if a.q == nil {
		return false
	}
	it := a.q.byID[id]
	if it == nil {
		return false
	}
	a.q.remove(it)
	return true
}

// stall returns the run time that a backend server seems to have from which nothing
// returns: as much again as has passed. It is 0 while runs end.
func (a *Admitter) stall(now cassiatally.Instant) time.Duration {
	passed := now.Sub(a.progressed)
	if a.meter.inFlight < stallRuns || passed < stallFactor*a.times.all {
		return 0
	}
	return 2 * passed
}

// Done records the end of a run. Each end fills the kept shares, so a share is a
// share of what the backend server completes, whatever its speed.
func (a *Admitter) Done(now cassiatally.Instant, r cassiatally.Rank, busy time.Duration) {
	r = min(r, cassiatally.MaxRanks-1)
	a.times.ended(r, busy, a.ranks[r].probes.taken)
	a.ranks[r].probes = probes{}
	a.progressed = now
	a.ended(now)
}

// Cut records the end of a run that was broken off, so that it would have taken
// longer.
func (a *Admitter) CutOff(now cassiatally.Instant, r cassiatally.Rank, busy time.Duration) {
	r = min(r, cassiatally.MaxRanks-1)
	a.times.cut(r, busy)
	a.ended(now)
}

func (a *Admitter) ended(now cassiatally.Instant) {
	a.prepare(now)
	a.meter.ended(now)
	for i := range a.ranks {
		s := &a.ranks[i]
		if s.share > 0 {
			most := max(float64(s.share)*a.meter.capacity*tokenTime.Seconds(), leastTokens)
			s.tokens = min(s.tokens+float64(s.share), most)
		}
	}
}

// Tick closes the window and updates the levels.
func (a *Admitter) Tick(now cassiatally.Instant, limit cassiatally.Concurrency) {
	a.prepare(now)
	if !a.meter.close(now, limit, a.times.all) {
		return
	}
	if a.starved && a.meter.idle() {
		a.times.decay(typicalDecay)
	}
	a.starved = false
	for r := range a.ranks {
		a.ranks[r].probes.close(float64(limit) * a.meter.window())
	}
	if a.Proportion > 0 {
		a.divide()
	}
	available := a.meter.update(a.shares(), a.bound())
	for r := range a.ranks {
		a.ranks[r].tenants.divide(a.meter.window(), available[r])
	}
}

// divide sets the kept shares by the demand of each rank. The most urgent rank with
// demand keeps all of its own, so that it goes before the kept shares of others.
func (a *Admitter) divide() {
	demands := a.meter.demands()
	total := 0.0
	for _, d := range demands {
		total += d
	}
	part := 1.0
	for r, d := range demands {
		a.ranks[r].share = 0
		if d > 0 {
			a.ranks[r].share = cassiatally.Share(part * d / total)
			part = a.Proportion
		}
	}
}

func (a *Admitter) shares() (shares [cassiatally.MaxRanks]float64) {
	for r := range a.ranks {
		shares[r] = float64(a.ranks[r].share)
	}
	return shares
}

// Levels returns the level of each rank.
func (a *Admitter) Levels() []cassiatally.Level { return a.meter.published() }

// Len returns the number of entries in the queue.
func (a *Admitter) Len() int {
	if a.q == nil {
		return 0
	}
	return a.q.len()
}

// need returns the time before its deadline by which a call has to start. Run
// times vary, and a run that is cut off at its deadline has cost as much as one
// that ends. Calls whose callers allow little time are given at least half of it
// to wait.
func (a *Admitter) need(now cassiatally.Instant, e cassiatally.Entry, r cassiatally.Rank) time.Duration {
	if e.Deadline == 0 {
		return 0
	}
	typical := max(a.times.typical(r), a.stall(now))
	typical += typical / needMargin
	most := max(typical, e.Deadline.Sub(now)/2)
	return min(typical+needSpreads*a.times.spread(r), most)
}
