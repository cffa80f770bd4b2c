package budgeter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/budgeter"
)

var pair = cassiatally.ServicePair{From: "booking-svc", To: "avail-svc"}

// load records rate successes per second for d, takes as many retries as it can, and
// returns their number.
func load(b *budgeter.Budgeter, from cassiatally.Instant, d time.Duration, rate int, level cassiatally.Level) (taken int) {
	gap := time.Second / time.Duration(rate)
	for now := from; now.Before(from.Add(d)); now = now.Add(gap) {
		b.Succeeded(now, pair)
		for b.TakeRetry(now, pair, 0, level) {
			taken++
		}
	}
	return taken
}

// Guards against retries that multiply the load, and against a budget that allows none
// while the target has capacity.
func TestRate(t *testing.T) {
	const d = 100 * time.Second
	cases := []struct {
		name               string
		rate               int
		level              cassiatally.Level
		minTaken, maxTaken int
	}{
		{"a tenth of the successes", 1000, 1, 9_900, 10_010},
		{"at least one per second", 2, 1, 98, 102},
		{"a tenth of the successes after a shortage, when the level approaches 1", 1000, 1 - 4e-16, 9_900, 10_010},
		{"none while the target is short of capacity", 1000, 0.99, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			taken := load(&budgeter.Budgeter{}, 0, d, c.rate, c.level)
			is.True(taken >= c.minTaken)
			is.True(taken <= c.maxTaken)
		})
	}
}

// Guards against tokens that are saved without bound, and against tokens that are kept
// through a shortage of the target: both end in a burst of retries.
func TestSavings(t *testing.T) {
	is := is.New(t)
	b := &budgeter.Budgeter{}
	for now := cassiatally.Instant(0); now.Before(cassiatally.Instant(time.Hour)); now = now.Add(time.Second) {
		b.Succeeded(now, pair)
	}
	later := cassiatally.Instant(time.Hour)
	taken := 0
	for b.TakeRetry(later, pair, 0, 1) {
		taken++
	}
	is.Equal(taken, 10)
	later = later.Add(time.Minute)
	is.True(b.TakeRetry(later, pair, 0, 1))
	is.True(!b.TakeRetry(later, pair, 0, 0.5))
	is.True(!b.TakeRetry(later, pair, 0, 1))
	is.True(b.TakeRetry(later.Add(time.Second), pair, 0, 1))
}

// Guards against callers that get an unknown outcome because the endpoint of their
// requests was lost while the service is short of capacity, and against retries without
// bound when endpoints are lost repeatedly.
func TestLostRuns(t *testing.T) {
	is := is.New(t)
	takeAll := func(b *budgeter.Budgeter, now cassiatally.Instant) (taken int) {
		for b.TakeLostRetry(now, pair) {
			taken++
		}
		return taken
	}
	b := &budgeter.Budgeter{}
	is.True(b.TakeRetry(0, pair, 0, 1))
	is.True(!b.TakeRetry(0, pair, 0, 0.5))
	is.Equal(takeAll(b, 0), 32) // also for a new pair, in a shortage
	taken := 0
	for now := cassiatally.Instant(0); now.Before(cassiatally.Instant(100 * time.Second)); now = now.Add(time.Millisecond) {
		b.Succeeded(now, pair)
		taken += takeAll(b, now)
	}
	is.True(taken >= 9_900) // a tenth of the successes
	is.True(taken <= 10_010)

	saved := &budgeter.Budgeter{}
	for now := cassiatally.Instant(0); now.Before(cassiatally.Instant(time.Minute)); now = now.Add(time.Second / 200) {
		saved.Succeeded(now, pair)
	}
	tokens := takeAll(saved, cassiatally.Instant(time.Minute))
	is.True(tokens >= 200) // the successes of a second
	is.True(tokens <= 220)
	is.True(saved.TakeRetry(cassiatally.Instant(time.Minute), pair, 0, 1)) // the other bucket is unchanged
}

// Guards against memory that grows with the number of pairs, and against pairs that use
// each other's tokens.
func TestPairs(t *testing.T) {
	is := is.New(t)
	b := &budgeter.Budgeter{MaxPairs: 2, Idle: time.Minute}
	to := func(s cassiatally.Service) cassiatally.ServicePair { return cassiatally.ServicePair{To: s} }
	is.True(b.TakeRetry(0, to("a"), 0, 1))
	is.True(!b.TakeRetry(0, to("a"), 0, 1))
	is.True(b.TakeRetry(0, to("b"), 0, 1))
	is.True(!b.TakeRetry(0, to("c"), 0, 1)) // beyond the bound
	later := cassiatally.Instant(2 * time.Minute)
	is.True(b.TakeRetry(later, to("c"), 0, 1)) // idle pairs are evicted
}

// Guards against a call tree that spends more retries than its root has.
func TestAllotment(t *testing.T) {
	is := is.New(t)
	a := budgeter.NewAllotment(2)
	first, second, third := a.Grant(), a.Grant(), a.Grant()
	is.Equal([]cassiatally.RetryCount{first, second, third}, []cassiatally.RetryCount{1, 1, 0})
	is.True(!a.Spend())
	a.Release(first, 0)
	is.True(a.Spend()) // retries that a child did not spend are available again
	a.Release(second, 9)
	a.Release(third, 9)
	is.Equal(a.Remaining(), cassiatally.RetryCount(0))
	is.Equal(a.Spent(), cassiatally.RetryCount(2))
}

// Guards against sequential children that use up the budget although none of them spent
// a retry.
func TestAllotmentInSequence(t *testing.T) {
	is := is.New(t)
	a := budgeter.NewAllotment(2)
	for range 100 {
		granted := a.Grant()
		is.Equal(granted, cassiatally.RetryCount(1))
		a.Release(granted, 0)
	}
	is.Equal(a.Remaining(), cassiatally.RetryCount(2))
}

func BenchmarkTakeRetry(b *testing.B) {
	k := &budgeter.Budgeter{}
	now := cassiatally.Instant(0)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		k.Succeeded(now, pair)
		k.TakeRetry(now, pair, 0, 1)
	}
}
