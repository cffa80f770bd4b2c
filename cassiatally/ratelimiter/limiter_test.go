package ratelimiter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/ratelimiter"
)

const start = cassiatally.Instant(time.Hour)

// takeAll takes every free request every step for a time, and returns how many.
func takeAll(l *ratelimiter.Limiter, from cassiatally.Instant, d, step time.Duration) (n int) {
	for now := from; now.Before(from.Add(d)); now = now.Add(step) {
		for range l.Free(now) {
			l.Take(now)
			n++
		}
	}
	return n
}

// Guards against a rate that is exceeded or left unused, at whatever intervals the
// limiter is asked.
func TestRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.5, 500).Draw(t, "rate")
		step := time.Duration(rapid.IntRange(1, 100).Draw(t, "step_ms")) * time.Millisecond
		const d = 20 * time.Second
		l := &ratelimiter.Limiter{}
		l.SetRate(start, cassiatally.Rate(rate))
		n := float64(takeAll(l, start, d, step))
		burst := rate/4 + 2
		if n > rate*d.Seconds()+burst {
			t.Fatalf("%v requests at a rate of %v", n, rate)
		}
		if n < rate*d.Seconds()-burst-rate*step.Seconds() {
			t.Fatalf("only %v requests at a rate of %v", n, rate)
		}
	})
}

// Guards against a burst after a pause of the process, or at a change of the rate.
func TestNoBurst(t *testing.T) {
	is := is.New(t)
	l := &ratelimiter.Limiter{}
	l.SetRate(start, 8)
	is.Equal(l.Free(start), 1)
	later := start.Add(time.Minute)
	is.Equal(l.Free(later), 3)
	l.SetRate(later, 100)
	is.Equal(l.Free(later), 3)
	l.SetRate(later, 4)
	is.Equal(l.Free(later), 2)
	for range 1000 {
		l.SetRate(later, 4) // as each answer does
	}
	is.Equal(takeAll(l, later, 10*time.Second, time.Millisecond), 41)
}

// Guards against a limit that can never end because no request is sent any more, and
// against one that outlasts its end.
func TestLowestRateAndEnd(t *testing.T) {
	is := is.New(t)
	l := &ratelimiter.Limiter{}
	l.SetRate(start, 0)
	is.Equal(takeAll(l, start, 40*time.Second, 10*time.Millisecond), 10)
	l.Lift()
	is.True(l.Free(start) > 1000)
	is.Equal(l.Rate(), cassiatally.Rate(0))
}
