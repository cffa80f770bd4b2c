// Package budgeter bounds retries, so that they cannot multiply along a call
// chain.
//
// A Budgeter has a token bucket per pair of services: a retry costs a token, and
// successes earn tokens. A second bucket per pair is for retries of runs that were
// interrupted by the loss of an endpoint. An Allotment divides the retry budget of one
// root request among the child calls of a run.
//
// # Usage
//
//	b := &budgeter.Budgeter{}
//	b.Succeeded(now, pair)
//	if b.TakeRetry(now, pair, rank, level) {
//		// send the retry
//	}
//	if b.TakeLostRetry(now, pair) {
//		// send a request again whose endpoint was lost
//	}
//
//	a := budgeter.NewAllotment(call.Retries)
//	granted := a.Grant()         // for a child call
//	a.Release(granted, spent)    // when the child has answered
package budgeter

import (
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/faultswitch"
)

const (
	defaultRatio   = 0.1
	defaultMinRate = 1.0
	defaultBurst   = 10.0
	defaultIdle    = 5 * time.Minute
	// shortageLevel is the level below which a service is short of capacity. The level
	// of a service is a mean of earlier ones and approaches 1 without reaching it: it
	// was 4e-16 below 1 when a service no longer refused anything.
	shortageLevel = 0.995
	// lostBurst is the lowest capacity of a bucket for lost runs, in tokens. A wide
	// service has 110 slots per endpoint, of which one entry node fills a part; a node
	// that fills more of them has more successes, which raise the capacity.
	lostBurst = 32
	// defaultMaxPairs is above the number of pairs that 210 services form in practice.
	defaultMaxPairs = 4096
	// period is the time over which earned tokens and the minimum rate are
	// compared.
	period = time.Second
)

// Budgeter bounds retries per pair of services.
type Budgeter struct {
	// Ratio is the number of tokens that a success earns; 0 means 0.1.
	Ratio float64
	// MinRate is the lowest number of tokens earned per second; 0 means 1.
	MinRate float64
	// Burst is the lowest capacity of a bucket, in tokens; 0 means 10. A busier pair can
	// save the tokens of one second.
	Burst float64
	// MaxPairs bounds the pairs that have buckets; 0 means 4096. Pairs beyond the bound
	// get no retries.
	MaxPairs int
	// Idle is the time after which an unused pair may be evicted; 0 means 5 min.
	Idle time.Duration

	pairs   map[cassiatally.ServicePair]*buckets
	sweptAt cassiatally.Instant
}

// buckets holds the buckets of one pair: refused for retries in general, and lost for
// runs interrupted by the loss of an endpoint.
type buckets struct {
	refused, lost         bucket
	periodStart, lastUsed cassiatally.Instant
	// earned tokens come from the successes of the current period.
	earned float64
}

type bucket struct {
	// saved is the number of tokens left from past periods.
	saved float64
	// spent is the number of tokens taken in the current period.
	spent float64
}

var _ cassiatally.RetryBudget = (*Budgeter)(nil)

// TakeRetry spends a token of the pair. A level below shortageLevel means that the
// target is already short of capacity: the bucket is emptied and nothing may be
// retried.
func (b *Budgeter) TakeRetry(now cassiatally.Instant, p cassiatally.ServicePair, _ cassiatally.Rank, level cassiatally.Level) bool {
	if faultswitch.Off(faultswitch.RetryBudget) {
		return true
	}
	k := b.bucketsOf(now, p)
	if k == nil {
		return false
	}
	if level < shortageLevel {
		// Tokens earned before the shortage must not allow retries after it either.
		k.refused = bucket{spent: b.income(k, now)}
		return false
	}
	return k.refused.takeToken(b.income(k, now))
}

// TakeLostRetry spends a token for a run that was interrupted by the loss of an
// endpoint. There are at most as many such runs as the endpoint had slots, so they may
// be retried when the target is short of capacity. The bucket holds as many tokens as
// there were successes in the last second, or lostBurst if that is more, and earns as
// much as the other one.
func (b *Budgeter) TakeLostRetry(now cassiatally.Instant, p cassiatally.ServicePair) bool {
	if faultswitch.Off(faultswitch.LostRetries) {
		return false
	}
	k := b.bucketsOf(now, p)
	return k != nil && k.lost.takeToken(b.income(k, now))
}

func (k *bucket) takeToken(income float64) bool {
	if k.saved+income-k.spent < 1 {
		return false
	}
	k.spent++
	return true
}

// Requested changes nothing, since only successes earn tokens.
func (b *Budgeter) Requested(cassiatally.Instant, cassiatally.ServicePair, bool) {}

// Succeeded adds what a success earns.
func (b *Budgeter) Succeeded(now cassiatally.Instant, p cassiatally.ServicePair) {
	if k := b.bucketsOf(now, p); k != nil {
		k.earned += positiveOr(b.Ratio, defaultRatio)
	}
}

// income returns the tokens of the current period: those earned, or those of MinRate
// if they are more.
func (b *Budgeter) income(k *buckets, now cassiatally.Instant) float64 {
	minIncome := positiveOr(b.MinRate, defaultMinRate) * now.Sub(k.periodStart).Seconds()
	return max(k.earned, minIncome)
}

func (b *Budgeter) bucketsOf(now cassiatally.Instant, p cassiatally.ServicePair) *buckets {
	k := b.pairs[p]
	if k == nil {
		k = b.addPair(now, p)
	}
	if k == nil {
		return nil
	}
	k.lastUsed = now
	if now.Sub(k.periodStart) >= period {
		b.closePeriod(now, k)
	}
	return k
}

func (b *Budgeter) closePeriod(now cassiatally.Instant, k *buckets) {
	income := b.income(k, now)
	k.refused.closePeriod(income, max(positiveOr(b.Burst, defaultBurst), k.earned))
	k.lost.closePeriod(income, max(lostBurst, k.earned/positiveOr(b.Ratio, defaultRatio)))
	k.earned, k.periodStart = 0, now
}

func (k *bucket) closePeriod(income, capacity float64) {
	k.saved = min(max(k.saved+income-k.spent, 0), capacity)
	k.spent = 0
}

func (b *Budgeter) addPair(now cassiatally.Instant, p cassiatally.ServicePair) *buckets {
	if b.pairs == nil {
		b.pairs = make(map[cassiatally.ServicePair]*buckets)
	}
	bound := b.MaxPairs
	if bound <= 0 {
		bound = defaultMaxPairs
	}
	if len(b.pairs) >= bound {
		b.sweep(now)
	}
	if len(b.pairs) >= bound {
		return nil
	}
	// A new pair starts with one token, so that its first refused request can be
	// retried. The bucket for lost runs starts full, since the number of runs that an
	// endpoint can lose does not depend on the age of the pair.
	k := &buckets{refused: bucket{saved: 1}, lost: bucket{saved: lostBurst}, periodStart: now, lastUsed: now}
	b.pairs[p] = k
	return k
}

// sweep evicts idle pairs, at most once per period because it visits them all.
func (b *Budgeter) sweep(now cassiatally.Instant) {
	if b.sweptAt != 0 && now.Sub(b.sweptAt) < period {
		return
	}
	b.sweptAt = now
	idle := b.Idle
	if idle <= 0 {
		idle = defaultIdle
	}
	for p, k := range b.pairs {
		if now.Sub(k.lastUsed) > idle {
			delete(b.pairs, p)
		}
	}
}

func positiveOr(v, fallback float64) float64 {
	if v > 0 {
		return v
	}
	return fallback
}
