// Package admitter decides which calls a backend server runs, in which order,
// and which are refused.
//
// An Admitter queues calls by rank. Free capacity goes first to ranks that use
// less than their reserved share, and then to the ranks in strict order of urgency.
// Within a rank the call with the lowest order value starts first, so that every
// service of a chain serves the same call trees. Calls that cannot finish before
// their deadline are dropped before work is spent on them. The queue is bounded by
// the time it takes to serve it; when it is full, the entry that would be served
// last is refused.
//
// Every 100 ms the Admitter computes a level per rank: the fraction of order
// values that it can serve. Entry nodes refuse the rest.
//
// # Usage
//
//	a := &admitter.Admitter{}
//	refused := a.Offer(now, entry)
//	start, dropped := a.Next(now, free)
//	a.Done(now, class, busy) // at the end of each run
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
	defaultMinQueue   = 16
	// rateLimitedWait bounds the queue in place of TargetWait and MinQueue while the rate
	// is bounded, and minRateLimitedQueue is its smallest bound then. Other backend
	// servers of the service may have room, and at a few calls a second MinQueue entries
	// would wait for seconds.
	rateLimitedWait     = 200 * time.Millisecond
	minRateLimitedQueue = 4
	// typicalWeight is the weight of one run in the typical run time.
	typicalWeight = 0.1
	// requiredDeviations is the number of mean deviations that are added to the
	// typical run time to get the time that a call needs.
	requiredDeviations = 2
	// typicalDecay is the factor by which the typical run time falls in a window in
	// which calls were dropped because of it and no run ended. Without it, one slow
	// period could cause every call to be dropped, and the run time would never be
	// measured again.
	typicalDecay = 0.8
	// marginDivisor divides the typical run time to give the margin for the transfer of
	// the answer and for the error of the estimate (1/20 of the run time).
	// Where run times hardly vary, calls started with just the typical time remaining, and
	// their answers came late.
	marginDivisor = 20
	// tokenTime is the time for which a rank can save up its reserved share. With
	// a longer time, a rank that was idle could delay urgent work.
	tokenTime = 250 * time.Millisecond
	// urgentBoundFactor multiplies the bound of the queue for the most urgent rank of the
	// sheet. When the limiter halves the limit for a probe, urgent calls that can wait
	// must not be refused; their deadlines still bound the queue.
	urgentBoundFactor = 3
	// onwardLead is subtracted from the position of an onward call within its rank, the
	// key of its item. Onward calls are then served before, and refused after, all calls
	// that come from callers.
	// Refusing an onward call wastes the work that upstream services have done for
	// it; in an overload trial, one call in seven that passed the entry was wasted
	// that way.
	onwardLead = 1e6
	// A call goes first in its rank when it has to start within nearDeadlineTime to meet
	// its deadline, if the rank fits the capacity. In a busy period, calls with a high
	// order value would otherwise wait until their deadline passes.
	nearDeadlineTime = 200 * time.Millisecond
	// minTokenCap and minQuota allow for uneven arrivals at a rank with a small
	// reserved share.
	minTokenCap = 4
	minQuota    = 4
	// A backend server counts as stalled when at least minStalledRuns runs are in flight
	// and none has ended for stallFactor typical run times. With exponential run times
	// the probability of that by chance is e^-16.
	minStalledRuns = 8
	stallFactor    = 2
	// minKnownRuns is the number of runs that must have ended before a backend server can
	// count as stalled. Short runs end first, so that the typical run time of the first
	// ones is far too low.
	minKnownRuns = 50
)

// Admitter is the queue in front of one backend server.
type Admitter struct {
	// TargetWait bounds the queue by the time it takes to serve it; 0 means 100 ms.
	TargetWait time.Duration
	// Proportion, when above 0, replaces the reserved shares of entries: each rank but
	// the most urgent keeps this fraction of what it would get if capacity were divided in
	// proportion to demand. Less urgent work is then served a little less, instead of
	// not at all.
	Proportion float64
	// MinQueue is the smallest bound of the queue, in entries; 0 means 16.
	MinQueue int

	q     *queue
	ranks [cassiatally.MaxRanks]rankState
	meter meter
	times runTimes
	// lastProgress is when a run last ended without being cut off, or when the first
	// of the runs in flight began.
	lastProgress cassiatally.Instant
	// droppedExpired is set when a call of the window was dropped because of its
	// deadline.
	droppedExpired bool
}

type rankState struct {
	share   cassiatally.Share
	tokens  float64
	tenants tenants
	// probes admits a few calls whose deadlines cannot be met by the estimated run time.
	probes probes
}

var _ cassiatally.Admitter = (*Admitter)(nil)

// Offer queues the entry. It returns the entries refused because of it.
func (a *Admitter) Offer(now cassiatally.Instant, e cassiatally.Entry) []cassiatally.Dropped {
	a.initOnce(now)
	r := min(e.Rank, cassiatally.MaxRanks-1)
	s := &a.ranks[r]
	if a.Proportion == 0 {
		s.share = e.Share
	}
	key := float64(e.Order) * s.tenants.recordArrival(e.Tenant)
	if e.Onward {
		key -= onwardLead
	}
	kind := a.unservableKind(now, e, r, key)
	probe := kind == cassiatally.KindExpired && s.probes.tryStart(e.Deadline.Sub(now))
	switch {
	case probe:
		kind = cassiatally.KindNone
	case kind == cassiatally.KindExpired:
		a.meter.recordLateArrival(r)
	default:
		// A call that is too late in any case needs no capacity. If it counted as
		// demand, calls of less urgent ranks that can finish would be refused.
		a.meter.recordArrival(r, e.Order)
	}
	if kind != cassiatally.KindNone {
		return []cassiatally.Dropped{{ID: e.ID, Kind: kind}}
	}
	if old := a.q.byID[e.ID]; old != nil {
		a.q.remove(old)
	}
	a.q.add(e, r, key).probe = probe
	candidate := a.evictionCandidate()
	if candidate == nil {
		a.meter.recordQueue(now, a.q)
		return nil
	}
	refused := a.q.remove(candidate)
	a.meter.recordQueue(now, a.q)
	return []cassiatally.Dropped{{ID: refused.ID, Kind: cassiatally.KindOverloaded}}
}

func (a *Admitter) initOnce(now cassiatally.Instant) {
	if a.q == nil {
		a.q = newQueue()
		a.meter.begin(now)
	}
}

// unservableKind returns the error kind of an entry that cannot be served before
// its deadline, and KindNone for any other entry.
func (a *Admitter) unservableKind(now cassiatally.Instant, e cassiatally.Entry, r cassiatally.Rank, key float64) cassiatally.ErrorKind {
	if e.Deadline == 0 {
		return cassiatally.KindNone
	}
	slack := e.Deadline.Sub(now) - a.requiredTime(now, e)
	if slack < 0 {
		a.droppedExpired = true
		return cassiatally.KindExpired
	}
	if slack < a.predictedWait(r, key) {
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
	aheadInRank := a.entriesAhead(r, key)
	all := aheadInRank
	for q := range r {
		all += float64(a.q.rankLen(q))
	}
	wait := all / rate
	if share := float64(a.ranks[r].share); share > 0 {
		wait = min(wait, aheadInRank/(share*rate))
		if a.ranks[r].tokens > aheadInRank {
			wait = min(wait, aheadInRank/rate)
		}
	}
	return time.Duration(wait * float64(time.Second))
}

// entriesAhead estimates how many entries of the rank are served before the key. It
// assumes that the keys in the queue are evenly distributed.
func (a *Admitter) entriesAhead(r cassiatally.Rank, key float64) float64 {
	n := a.q.rankLen(r)
	if n == 0 {
		return 0
	}
	low, high := a.q.byKey[r].top().key, a.q.byKeyDescending[r].top().key
	if key <= low {
		return 0
	}
	if key >= high {
		return float64(n)
	}
	return float64(n) * (key - low) / (high - low)
}

// LimitRate bounds the capacity to a rate at which entries are started.
func (a *Admitter) LimitRate(rate cassiatally.Rate) {
	a.meter.maxRate = float64(rate)
	a.meter.capacity = a.meter.bounded(a.meter.capacity)
}

// queueBound returns the number of entries that may queue.
func (a *Admitter) queueBound() int {
	if a.meter.maxRate > 0 {
		return max(int(a.meter.maxRate*rateLimitedWait.Seconds()), minRateLimitedQueue)
	}
	target := a.TargetWait
	if target <= 0 {
		target = defaultTargetWait
	}
	minQueue := a.MinQueue
	if minQueue <= 0 {
		minQueue = defaultMinQueue
	}
	return max(int(a.meter.capacity*target.Seconds()), minQueue)
}

// evictionCandidate returns the entry to refuse when the queue is too long, and nil
// when it is not. That is the entry that would be served last: the one with the
// highest key, of the least urgent rank that has more entries than its reserved share
// of the queue. Entries within a reserved share don't count towards the bound, so that
// they take no room from urgent work. Rank 0 and onward calls have a larger bound.
func (a *Admitter) evictionCandidate() *item {
	bound := a.queueBound()
	room := bound + a.meter.free()
	var last *item
	for i := range a.q.byKeyDescending {
		r := cassiatally.Rank(i)
		n, reserved := a.q.rankLen(r), a.quota(r, bound)
		room -= max(n-reserved, 0)
		if n > reserved {
			last = a.q.byKeyDescending[r].top()
		}
	}
	if last != nil && (last.rank == 0 || last.entry.Onward) {
		room += (urgentBoundFactor - 1) * bound
	}
	if room >= 0 {
		return nil
	}
	return last
}

// quota returns the number of entries that the reserved share of a rank may hold.
func (a *Admitter) quota(r cassiatally.Rank, bound int) int {
	return quota(float64(a.ranks[r].share), bound)
}

// Next returns up to free entries to start now, and the entries dropped because
// their deadlines cannot be met.
func (a *Admitter) Next(now cassiatally.Instant, free int) (start []cassiatally.CallID, dropped []cassiatally.Dropped) {
	a.initOnce(now)
	dropped = a.dropTooLate(now)
	for len(start) < free {
		it := a.nextItem(now)
		if it == nil {
			break
		}
		late, r := a.tooLate(now, it), it.rank
		e := a.q.remove(it)
		if late {
			a.droppedExpired = true
			dropped = append(dropped, cassiatally.Dropped{ID: e.ID, Kind: cassiatally.KindExpired})
			continue
		}
		a.ranks[r].spendToken()
		start = append(start, e.ID)
	}
	a.meter.recordQueue(now, a.q)
	if a.meter.inFlight == 0 {
		a.lastProgress = now
	}
	a.meter.recordStarts(now, len(start))
	return start, dropped
}

func (a *Admitter) dropTooLate(now cassiatally.Instant) (dropped []cassiatally.Dropped) {
	for r := range a.q.byDeadline {
		for {
			it := a.q.byDeadline[r].top()
			if it == nil || !a.tooLate(now, it) {
				break
			}
			a.droppedExpired = true
			e := a.q.remove(it)
			dropped = append(dropped, cassiatally.Dropped{ID: e.ID, Kind: cassiatally.KindExpired})
		}
	}
	return dropped
}

// tooLate reports whether less time remains until the entry's deadline than its run
// needs. A probe is too late only after its deadline.
func (a *Admitter) tooLate(now cassiatally.Instant, it *item) bool {
	if it.entry.Deadline == 0 {
		return false
	}
	need := time.Duration(0)
	if !it.probe {
		need = a.requiredTime(now, it.entry)
	}
	return it.entry.Deadline.Sub(now) < need
}

// spendToken removes a token for a call that starts. A call that starts by the order
// of urgency, without a token, leaves no debt.
func (s *rankState) spendToken() { s.tokens = max(s.tokens-1, 0) }

// hasToken reports whether the reserved share of the rank pays for a call. Tokens
// never go below zero: with a debt of up to a second, onward calls used up the share
// at the start of a flood, and calls of callers then waited until the debt was paid and
// were too late.
func (s *rankState) hasToken() bool { return s.share > 0 && s.tokens >= 1 }

// nextItem returns the entry to start next: from the most urgent rank that has a
// token, or else from the most urgent rank.
func (a *Admitter) nextItem(now cassiatally.Instant) *item {
	var first *item
	for i := range a.q.byKey {
		r := cassiatally.Rank(i)
		if a.q.rankLen(r) == 0 {
			continue
		}
		if a.ranks[r].hasToken() {
			return a.nextOfRank(now, r)
		}
		if first == nil {
			first = a.nextOfRank(now, r)
		}
	}
	return first
}

// nextOfRank returns the entry of the rank with the lowest key. While the level of
// the rank is 1, an entry that would soon be too late goes first: the rank fits the
// capacity, so none of its calls has to be lost.
func (a *Admitter) nextOfRank(now cassiatally.Instant, r cassiatally.Rank) *item {
	due := a.q.byDeadline[r].top()
	if due != nil && a.meter.levels[r] >= 1 && due.entry.Deadline.Sub(now) < a.requiredTime(now, due.entry)+nearDeadlineTime {
		return due
	}
	return a.q.byKey[r].top()
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

// stalledRunTime estimates the run time at a stalled backend server as twice the time
// since the last run ended. It is 0 while the backend server isn't stalled.
func (a *Admitter) stalledRunTime(now cassiatally.Instant) time.Duration {
	passed := now.Sub(a.lastProgress)
	if a.meter.inFlight < minStalledRuns || a.times.ended < minKnownRuns || passed < stallFactor*a.times.overall {
		return 0
	}
	return 2 * passed
}

// Done records the end of a run. Each end adds tokens to the reserved shares, so a
// share is a fraction of what the backend server completes, whatever its speed.
func (a *Admitter) Done(now cassiatally.Instant, c cassiatally.RunClass, busy time.Duration) {
	r := min(c.Rank, cassiatally.MaxRanks-1)
	a.times.recordEnd(c, busy, a.ranks[r].probes.started)
	a.ranks[r].probes = probes{}
	a.lastProgress = now
	a.runEnded(now)
}

// CutOff records the end of a run that was cut off before the backend server
// finished it.
func (a *Admitter) CutOff(now cassiatally.Instant, c cassiatally.RunClass, busy time.Duration) {
	a.times.recordCut(c, busy)
	a.runEnded(now)
}

func (a *Admitter) runEnded(now cassiatally.Instant) {
	a.initOnce(now)
	a.meter.recordEnd(now)
	for i := range a.ranks {
		s := &a.ranks[i]
		if s.share > 0 {
			maxTokens := max(float64(s.share)*a.meter.capacity*tokenTime.Seconds(), minTokenCap)
			s.tokens = min(s.tokens+float64(s.share), maxTokens)
		}
	}
}

// Tick closes the window and updates the levels.
func (a *Admitter) Tick(now cassiatally.Instant, limit cassiatally.Concurrency) {
	a.initOnce(now)
	if !a.meter.closeWindow(now, limit, a.times.overall) {
		return
	}
	if a.droppedExpired && a.meter.idle() {
		a.times.decay(typicalDecay)
	}
	a.droppedExpired = false
	for r := range a.ranks {
		a.ranks[r].probes.closeWindow(float64(limit) * a.meter.lastWindowSeconds())
	}
	if a.Proportion > 0 {
		a.setProportionalShares()
	}
	available := a.meter.updateLevels(a.shares(), a.queueBound())
	for r := range a.ranks {
		a.ranks[r].tenants.closeWindow(a.meter.lastWindowSeconds(), available[r])
	}
}

// Levels returns the level of each rank.
func (a *Admitter) Levels() []cassiatally.Level { return a.meter.publishedLevels() }

// Len returns the number of entries in the queue.
func (a *Admitter) Len() int {
	if a.q == nil {
		return 0
	}
	return a.q.len()
}

// requiredTime returns how long before its deadline a call has to start. It allows
// for run times above the typical one, since a run that is cut off at its deadline
// has cost as much as one that ends. A call with little time remaining may still wait
// for half of it, unless the typical run time is longer than the other half.
func (a *Admitter) requiredTime(now cassiatally.Instant, e cassiatally.Entry) time.Duration {
	if e.Deadline == 0 {
		return 0
	}
	class := cassiatally.RunClass{Rank: e.Rank, Work: e.Work}
	typical := max(a.times.typical(class), a.stalledRunTime(now))
	typical += typical / marginDivisor
	maxRequired := max(typical, e.Deadline.Sub(now)/2)
	return min(typical+requiredDeviations*a.times.deviation(class), maxRequired)
}
