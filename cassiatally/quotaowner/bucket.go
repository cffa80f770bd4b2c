package quotaowner

import (
	"math"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	// extraBurst is added to the burst of each tenant: without it a tenant with a small
	// burst is refused at well below its rate, because its requests arrive at random. It
	// uses a part of the slack of 20 requests in a window that the bound has.
	extraBurst = 12
	// initialTokens is the content of the bucket of a new owner, so that a tenant with
	// few requests has one left for its first one. Owners of a tenant change at most
	// twice in a window.
	initialTokens = 2
	// minRetryAfter and maxRetryAfter bound the time after which callers come back.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// minNext keeps an asking node from asking again at once.
	minNext    = time.Millisecond
	maxWant    = 1 << 16
	demandSlot = time.Second
)

// bucket is the token bucket of a tenant.
type bucket struct {
	rate, burst float64
	owned       bool
	ownedSince  cassiatally.Instant
	tokens      float64
	refilledAt  cassiatally.Instant
	// missed counts the tokens that were asked for in vain in the slot that began at
	// slotAt, and missedBefore those in the slot before.
	missed, missedBefore float64
	slotAt               cassiatally.Instant
}

// own starts the bucket of a new owner. It fills from now on, also while the node waits
// until its predecessor has stopped.
func (b *bucket) own(now cassiatally.Instant, fraction float64) {
	b.ownedSince = now
	b.tokens, b.refilledAt = initialTokens*fraction, now
	b.missed, b.missedBefore, b.slotAt = 0, 0, now
}

// refill adds the tokens since the last call, for a fraction of the quota.
func (b *bucket) refill(now cassiatally.Instant, fraction float64) {
	elapsed := max(now.Sub(b.refilledAt), 0).Seconds()
	b.refilledAt = now
	b.tokens = min(b.tokens+elapsed*b.rate*fraction, (b.burst+extraBurst)*fraction)
}

// HandleRequest answers a request for tokens.
func (o *Owner) HandleRequest(now cassiatally.Instant, r cassiatally.QuotaRequest) cassiatally.QuotaGrant {
	g := cassiatally.QuotaGrant{Seq: r.Seq, Tenant: r.Tenant, Fleet: o.fleet(now)}
	b := o.tenants[r.Tenant]
	if b == nil || now.Sub(o.lastTick) > maxStall {
		g.Declined = true
		return g
	}
	o.updateEligible(now)
	fraction := o.Fraction(now)
	if p := o.updateOwned(now, r.Tenant, b, fraction); p != nil {
		g.Declined, g.Better = true, p.candidate
		return g
	}
	if !b.owned || !o.ready(now, r.Tenant, b) {
		g.Declined = true
		return g
	}
	want := min(max(r.Want, 1), maxWant)
	// Tokens beyond an int convert to a negative number on x86-64.
	g.Granted = int(min(float64(want), b.tokens))
	b.tokens -= float64(g.Granted)
	b.miss(now, want-g.Granted)
	if g.Granted < want {
		rate := b.rate * fraction
		g.Next = max(seconds((1-(b.tokens-math.Floor(b.tokens)))/rate), minNext)
		// The callers that got nothing in the last second come back one after another.
		g.RetryAfter = min(max(g.Next+seconds(max(b.missed, b.missedBefore)/rate), minRetryAfter), max(maxRetryAfter, g.Next))
	}
	return g
}

// miss counts the tokens that were asked for in vain.
func (b *bucket) miss(now cassiatally.Instant, n int) {
	if age := now.Sub(b.slotAt); age >= demandSlot {
		b.missedBefore = b.missed
		if age >= 2*demandSlot {
			b.missedBefore = 0
		}
		b.missed, b.slotAt = 0, now
	}
	b.missed += float64(n)
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, 3600) * float64(time.Second))
}
