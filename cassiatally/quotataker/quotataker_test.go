package quotataker_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/quotataker"
)

const start = cassiatally.Instant(time.Hour)

var spec = &cassiatally.TenantSpec{Name: "t", Rate: 10, Burst: 10}

func candidate(n cassiatally.NodeID) cassiatally.QuotaCandidate {
	return cassiatally.QuotaCandidate{Node: n, DataCentre: "north", Address: "127.0.0.1:1"}
}

func newTaker(nodes ...cassiatally.NodeID) *quotataker.Taker {
	t := quotataker.New("self", start, rand.New(rand.NewPCG(1, 2)))
	var candidates []cassiatally.QuotaCandidate
	for _, n := range nodes {
		candidates = append(candidates, candidate(n))
	}
	t.SetMembers(candidates, append(nodes, "self"))
	return t
}

func grant(a quotataker.Ask, n int) cassiatally.QuotaGrant {
	return cassiatally.QuotaGrant{Seq: a.Request.Seq, Tenant: "t", Granted: n, Fleet: 3}
}

// Guards against a message for each of several requests that wait at the same time.
func TestWaitingRequestsShareMessages(t *testing.T) {
	is := is.New(t)
	k := newTaker("a")
	first := k.Take(start, 1, spec)
	is.Equal(len(first.Asks), 1)
	is.Equal(first.Asks[0].Request.Want, 1)
	for id := range quotataker.WaitID(4) {
		is.Equal(len(k.Take(start, id+2, spec).Asks), 0)
	}
	now := start.Add(10 * time.Millisecond)
	is.Equal(len(k.HandleGrant(now, "a", grant(first.Asks[0], 1)).Decisions), 1)
	at, ok := k.NextWake()
	is.True(ok)
	second := k.Tick(at)
	is.Equal(len(second.Asks), 1)
	is.Equal(second.Asks[0].Request.Want, 4)
	out := k.HandleGrant(at, "a", grant(second.Asks[0], 4))
	is.Equal(len(out.Decisions), 4)
	for _, d := range out.Decisions {
		is.True(d.Decision.Granted)
	}
}

// Guards against tokens that are valid for longer because their grant was delayed.
func TestTokensExpire(t *testing.T) {
	for _, tc := range []struct {
		delay, use time.Duration
		granted    bool
	}{
		{5 * time.Millisecond, 240 * time.Millisecond, true},
		{5 * time.Millisecond, 251 * time.Millisecond, false},
		{45 * time.Millisecond, 251 * time.Millisecond, false},
	} {
		is := is.New(t)
		k := newTaker("a")
		ask := k.Take(start, 1, spec).Asks[0]
		k.HandleGrant(start.Add(tc.delay), "a", grant(ask, 2))
		out := k.Take(start.Add(tc.use), 2, spec)
		is.Equal(len(out.Decisions) == 1, tc.granted)
	}
}

// Guards against requests that wait for a candidate that does not answer.
func TestUnansweredCandidateIsSkipped(t *testing.T) {
	is := is.New(t)
	k := newTaker("a", "b")
	first := k.Take(start, 1, spec).Asks[0]
	var asks []quotataker.Ask
	now := start
	for at, ok := k.NextWake(); ok && at < start.Add(149*time.Millisecond); at, ok = k.NextWake() {
		now = max(at, now.Add(time.Millisecond))
		asks = append(asks, k.Tick(now).Asks...)
	}
	is.Equal(len(asks), 2)
	is.Equal(asks[0].To, first.To)
	is.True(asks[1].To != first.To)
	out := k.HandleGrant(now, asks[1].To.Node, grant(asks[1], 1))
	is.Equal(len(out.Decisions), 1)
	is.True(out.Decisions[0].Decision.Granted)
	// The next request does not wait for the silent candidate again.
	is.Equal(k.Take(now.Add(300*time.Millisecond), 2, spec).Asks[0].To, asks[1].To)
}

// Guards against an asking node that does not follow a candidate that names the owner, in
// another data centre.
func TestNamedOwnerIsAsked(t *testing.T) {
	is := is.New(t)
	k := newTaker("a")
	ask := k.Take(start, 1, spec).Asks[0]
	out := k.HandleGrant(start, "a", cassiatally.QuotaGrant{Seq: ask.Request.Seq, Tenant: "t", Declined: true, Better: candidate("far")})
	is.Equal(out.Asks[0].To.Node, cassiatally.NodeID("far"))
	is.Equal(len(k.HandleGrant(start, "far", grant(out.Asks[0], 1)).Decisions), 1)
	is.Equal(k.Take(start.Add(time.Second), 2, spec).Asks[0].To.Node, cassiatally.NodeID("far"))
	// Without it, the candidates of the own data centre are asked.
	is.Equal(k.LinkLost(start.Add(time.Second), "far").Asks[0].To.Node, cassiatally.NodeID("a"))
}

// Guards against a refusal without a time, and against one message for each request of a
// tenant that is far over its quota.
func TestRefusal(t *testing.T) {
	is := is.New(t)
	k := newTaker("a")
	ask := k.Take(start, 1, spec).Asks[0]
	g := grant(ask, 0)
	g.Next, g.RetryAfter = 160*time.Millisecond, 400*time.Millisecond
	out := k.HandleGrant(start, "a", g)
	is.Equal(len(out.Decisions), 1)
	is.Equal(out.Decisions[0].Decision.Kind, cassiatally.KindQuotaExceeded)
	is.True(out.Decisions[0].Decision.RetryAfter >= 300*time.Millisecond)
	out = k.Take(start.Add(time.Millisecond), 2, spec)
	is.Equal(len(out.Decisions), 1)
	is.Equal(len(out.Asks), 0)
	is.Equal(out.Decisions[0].Decision.Kind, cassiatally.KindQuotaExceeded)
	// A token is expected within the wait of this one.
	is.Equal(len(k.Take(start.Add(100*time.Millisecond), 3, spec).Decisions), 0)
}

// Guards against an allowance without an owner that the bound has no room for: beyond the
// part of this node, before the size of the fleet is known, or just after a restart.
func TestFloor(t *testing.T) {
	is := is.New(t)
	k := newTaker("a", "b")
	ask := k.Take(start, 1, spec).Asks[0]
	k.HandleGrant(start, "a", grant(ask, 1))
	k.HandleGrant(start, "b", grant(ask, 1))
	floors := func(from cassiatally.Instant) (n int) {
		for i := range 20 {
			now := from.Add(time.Duration(i) * 200 * time.Millisecond)
			out := k.Take(now, quotataker.WaitID(100+now), spec)
			decisions := slices.Concat(out.Decisions, k.LinkLost(now, "a").Decisions, k.LinkLost(now, "b").Decisions,
				k.Tick(now.Add(151*time.Millisecond)).Decisions)
			is.Equal(len(decisions), 1)
			if decisions[0].Decision.Granted {
				is.True(decisions[0].Floor)
				n++
				continue
			}
			is.Equal(decisions[0].Decision.Kind, cassiatally.KindUnavailable)
			is.True(decisions[0].Decision.RetryAfter >= 100*time.Millisecond)
		}
		return n
	}
	is.Equal(floors(start.Add(500*time.Millisecond)), 0)
	// 4 + 0.1 x 10 + 0.2 x 10 requests of the fleet, divided by 3 nodes.
	n := floors(start.Add(10 * time.Second))
	is.True(n == 2 || n == 3)
}

// Guards against a refusal as over the quota by the old answer of an owner that has become
// unreachable since: such a request gets the floor, or is refused because no owner grants.
func TestLostOwnerIsNoRefusalByQuota(t *testing.T) {
	for name, linkLost := range map[string]bool{"no answers": false, "link lost": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			k := newTaker("a", "b", "c")
			first := k.Take(start, 1, spec).Asks[0]
			g := grant(first, 0)
			g.Next, g.RetryAfter = time.Second, 400*time.Millisecond
			is.Equal(k.HandleGrant(start, first.To.Node, g).Decisions[0].Decision.Kind, cassiatally.KindQuotaExceeded)

			now := start.Add(10 * time.Second)
			is.Equal(k.Take(now, 2, spec).Asks[0].To, first.To)
			if linkLost {
				is.Equal(len(k.LinkLost(now, first.To.Node).Decisions), 0)
			}
			var decisions []quotataker.Decision
			for end := now.Add(160 * time.Millisecond); now < end; now = now.Add(10 * time.Millisecond) {
				decisions = append(decisions, k.Tick(now).Decisions...)
			}
			is.Equal(len(decisions), 1)
			is.True(decisions[0].Decision.Kind != cassiatally.KindQuotaExceeded)
		})
	}
}
