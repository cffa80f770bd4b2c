package quotataker

import (
	"math"
	"slices"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// serve admits waiting requests with the tokens that are there.
func (t *Taker) serve(now cassiatally.Instant, s *tenant) {
	s.leases = slices.DeleteFunc(s.leases, func(l lease) bool { return now.Reached(l.expires) })
	for len(s.waiters) > 0 && len(s.leases) > 0 {
		t.decide(s.waiters[0].id, cassiatally.QuotaDecision{Granted: true}, false)
		s.waiters = slices.Delete(s.waiters, 0, 1)
		s.leases[0].n--
		if s.leases[0].n == 0 {
			s.leases = slices.Delete(s.leases, 0, 1)
		}
	}
}

// expectedWait returns the time until a request with this many in front of it is expected
// to get a token.
func (s *tenant) expectedWait(now cassiatally.Instant, before int) time.Duration {
	return s.nextAsk.Sub(now) + time.Duration(float64(before)/float64(s.spec.Rate)*float64(time.Second))
}

// refuseUnservable refuses the waiting requests that are not expected to get a token while
// they wait.
func (t *Taker) refuseUnservable(now cassiatally.Instant, s *tenant) {
	if !s.short {
		return
	}
	kept := s.waiters[:0]
	for _, w := range s.waiters {
		if s.retryAfter > contendedAfter || s.expectedWait(now, len(kept)) > w.until.Sub(now) {
			t.refuse(s, w.id)
			continue
		}
		kept = append(kept, w)
	}
	s.waiters = kept
}

// expire ends the wait of requests that have waited for long enough.
func (t *Taker) expire(now cassiatally.Instant, s *tenant) {
	for len(s.waiters) > 0 && now.Reached(s.waiters[0].until) {
		w := s.waiters[0]
		s.waiters = slices.Delete(s.waiters, 0, 1)
		switch {
		case s.short && !s.noOwner:
			t.refuse(s, w.id)
		case t.takeFloor(now, s):
			t.decide(w.id, cassiatally.QuotaDecision{Granted: true}, true)
		default:
			t.decide(w.id, cassiatally.QuotaDecision{
				Kind: cassiatally.KindUnavailable, RetryAfter: t.spread(unavailableRetryAfter),
			}, false)
		}
	}
}

// refuse answers a request over the quota.
func (t *Taker) refuse(s *tenant, id WaitID) {
	t.decide(id, cassiatally.QuotaDecision{Kind: cassiatally.KindQuotaExceeded, RetryAfter: t.spread(s.retryAfter)}, false)
}

// spread varies a Retry-After time, so that callers do not come back together.
func (t *Taker) spread(d time.Duration) time.Duration {
	return max(time.Duration((0.75+t.rand.Float64()/2)*float64(d)), minRetryAfter)
}

// minRetryAfter is the least Retry-After time of a refusal.
const minRetryAfter = 100 * time.Millisecond

func (t *Taker) decide(id WaitID, d cassiatally.QuotaDecision, byFloor bool) {
	t.out.Decisions = append(t.out.Decisions, Decision{ID: id, Decision: d, Floor: byFloor})
}

// useFloor admits waiting requests by the fallback allowance.
func (t *Taker) useFloor(now cassiatally.Instant, s *tenant) {
	for len(s.waiters) > 0 && t.takeFloor(now, s) {
		t.decide(s.waiters[0].id, cassiatally.QuotaDecision{Granted: true}, true)
		s.waiters = slices.Delete(s.waiters, 0, 1)
	}
}

// demand estimates the rate of the requests of a tenant at this node.
type demand struct {
	rate float64
	at   cassiatally.Instant
}

const demandTime = time.Second

// record counts a request.
func (d *demand) record(now cassiatally.Instant) {
	d.decay(now)
	d.rate += 1 / demandTime.Seconds()
}

func (d *demand) decay(now cassiatally.Instant) {
	d.rate *= math.Exp(-max(now.Sub(d.at), 0).Seconds() / demandTime.Seconds())
	d.at = now
}

// expected returns how many requests will almost certainly come within a time. Tokens
// that expire unused are lost to the tenant, so it is one deviation below the mean.
func (d *demand) expected(now cassiatally.Instant, within time.Duration) int {
	d.decay(now)
	mean := d.rate * within.Seconds()
	return int(max(mean-math.Sqrt(mean), 0))
}
