package limiter_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/fixedlimiter"
	"github.com/cassiatally/cassiatally/cassiatally/limiter"
)

const (
	seed = 1
	// goodputTarget and recoveryTarget are those of section 2.3 of the design.
	goodputTarget  = 0.95
	recoveryTarget = 2 * time.Second
	// maxQueueing is the highest mean self time, in multiples of the service time, that
	// the queue inside a backend server may cause.
	maxQueueing = 2.0
)

type backend struct {
	name      string
	slots     cassiatally.Concurrency
	realSlots int
	service   time.Duration
}

var backends = []backend{
	{"wide", 110, 110, 20 * time.Millisecond},
	{"wide and slow", 90, 90, 100 * time.Millisecond},
	{"narrow", 15, 15, 10 * time.Millisecond},
	{"narrow and slow", 10, 10, 50 * time.Millisecond},
	{"narrow and fast", 10, 10, 2 * time.Millisecond},
	{"announces almost three times its slots", 110, 40, 10 * time.Millisecond},
	{"announces 22 times its slots", 110, 5, 5 * time.Millisecond},
	{"announces no slots", 0, 60, 30 * time.Millisecond},
}

// jittered returns service times of 0.7 to about 2 times their mean.
func jittered(mean time.Duration, factor func(cassiatally.Instant) float64) func(*rand.Rand, cassiatally.Instant) time.Duration {
	return func(rng *rand.Rand, at cassiatally.Instant) time.Duration {
		return time.Duration(float64(mean) * factor(at) * (0.7 + 0.3*rng.ExpFloat64()))
	}
}

func normalSpeed(cassiatally.Instant) float64 { return 1 }

func (b backend) start(l cassiatally.Limiter) *server {
	l.Resize(0, b.slots)
	return &server{limiter: l, slots: b.slots, realSlots: b.realSlots, service: jittered(b.service, normalSpeed)}
}

// goodput returns the completed requests, as a fraction of the capacity.
func (b backend) goodput(s *server, from, to time.Duration) float64 {
	completed, _ := s.between(from, to)
	return float64(completed) * b.service.Seconds() / float64(b.realSlots) / (to - from).Seconds()
}

// queueing returns the mean self time in multiples of the service time.
func (b backend) queueing(s *server, from, to time.Duration) float64 {
	var sum time.Duration
	for _, r := range s.history[from/window : to/window] {
		sum += r.self
	}
	return float64(sum) / float64((to-from)/window) / float64(b.service)
}

// Guards against a limit that leaves a backend server partly idle or that fills its
// internal queue, whatever number of slots it announces.
func TestConverges(t *testing.T) {
	for _, b := range backends {
		t.Run(b.name, func(t *testing.T) {
			is := is.New(t)
			s := b.start(&limiter.Limiter{})
			s.run(seed, 20*time.Second)
			is.True(b.goodput(s, 5*time.Second, 20*time.Second) >= goodputTarget)
			is.True(b.queueing(s, 5*time.Second, 20*time.Second) <= maxQueueing)
		})
	}
}

// Shows that TestConverges can fail: a limit fixed at the announced slots fills the
// internal queue of a backend server that announces too many.
func TestFixedLimitMissesTheTarget(t *testing.T) {
	is := is.New(t)
	b := backends[5]
	s := b.start(&fixedlimiter.Limiter{UseSlots: true})
	s.run(seed, 20*time.Second)
	is.True(b.queueing(s, 5*time.Second, 20*time.Second) > maxQueueing)
}

// Guards against a floor that does not follow the speed of the backend server: the
// limit would fall step by step to its minimum during a slow-down, or grow without
// bound over several slow-downs.
func TestFollowsSlowDowns(t *testing.T) {
	const cycle, slowFrom, slowFactor = 10 * time.Second, 5 * time.Second, 5
	for _, b := range backends {
		t.Run(b.name, func(t *testing.T) {
			is := is.New(t)
			s := b.start(&limiter.Limiter{})
			s.service = jittered(b.service, func(at cassiatally.Instant) float64 {
				if at.Sub(0)%cycle >= slowFrom {
					return slowFactor
				}
				return 1
			})
			s.run(seed, 4*cycle)
			for n := range 3 {
				end := time.Duration(n+1) * cycle
				recovered := end + recoveryTarget
				slow := slowFactor * b.goodput(s, end-3*time.Second, end)
				is.True(slow >= goodputTarget) // while it is slow
				is.True(b.goodput(s, recovered, end+slowFrom) >= goodputTarget)
				is.True(b.queueing(s, recovered, end+slowFrom) <= maxQueueing)
			}
		})
	}
}

// Guards against a limit that ignores failures, and against one that stays low
// once they have ended.
func TestFailuresCutTheLimit(t *testing.T) {
	is := is.New(t)
	b := backends[0]
	s := b.start(&limiter.Limiter{})
	s.failing = func(at cassiatally.Instant) float64 {
		if at.Reached(cassiatally.Instant(5*time.Second)) && at.Before(cassiatally.Instant(10*time.Second)) {
			return 1
		}
		return 0
	}
	s.run(seed, 20*time.Second)
	_, limits := s.between(9*time.Second, 10*time.Second)
	is.Equal(slices.Max(limits), cassiatally.Concurrency(2))
	is.True(b.goodput(s, 10*time.Second+recoveryTarget, 20*time.Second) >= goodputTarget)
}

// Guards against a recovery that the limiter mistakes for the effect of its own cut, so
// that the limit stays low, and against one that it detects late, since few runs end at
// a low limit. Slow-downs end at different times within a test of the limiter.
func TestRestoresTheLimitAfterASlowDown(t *testing.T) {
	const from, slowFactor = 5 * time.Second, 5
	b := backend{"narrow and slow", 15, 15, 200 * time.Millisecond}
	for _, slow := range []time.Duration{1, 2, 3, 4, 5, 6} {
		to := from + slow*time.Second
		t.Run(fmt.Sprint("slow for ", to-from), func(t *testing.T) {
			is := is.New(t)
			s := b.start(&limiter.Limiter{})
			s.service = func(_ *rand.Rand, at cassiatally.Instant) time.Duration {
				if at.Reached(cassiatally.Instant(from)) && at.Before(cassiatally.Instant(to)) {
					return slowFactor * b.service
				}
				return b.service
			}
			s.run(seed, to+10*time.Second)
			back := to + slowFactor*b.service + recoveryTarget/4
			_, limits := s.between(back, to+10*time.Second)
			is.Equal(slices.Min(limits), b.slots)
		})
	}
}

// Guards against a limit that returns to the announced slots whenever a cut has
// ended the queueing inside a backend server that lost most of its slots.
func TestKeepsTheLimitOfAServerThatLostSlots(t *testing.T) {
	b := backend{"narrow and slow", 15, 15, 50 * time.Millisecond}
	cases := []struct {
		name    string
		service func(*rand.Rand, cassiatally.Instant) time.Duration
	}{
		{"run times vary", jittered(b.service, normalSpeed)},
		{"run times are fixed", func(*rand.Rand, cassiatally.Instant) time.Duration { return b.service }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := b.start(&limiter.Limiter{})
			s.service = c.service
			s.run(seed, 5*time.Second)
			s = &server{limiter: s.limiter, slots: 15, realSlots: 5, service: c.service, since: 5 * time.Second}
			s.run(seed, 25*time.Second)
			is.True(b.queueing(s, 5*time.Second, 20*time.Second) <= maxQueueing)
		})
	}
}

// Guards against a limit that falls because of failures that do not depend on load.
func TestRareFailuresKeepTheLimit(t *testing.T) {
	is := is.New(t)
	const rare = 0.01
	b := backends[0]
	s := b.start(&limiter.Limiter{})
	s.failing = func(cassiatally.Instant) float64 { return rare }
	s.run(seed, 20*time.Second)
	is.True(b.goodput(s, 5*time.Second, 20*time.Second) >= goodputTarget*(1-rare))
}

// Guards against a burst of simultaneous failures that cuts the limit more than once.
func TestOneCutPerTypicalTime(t *testing.T) {
	is := is.New(t)
	const self = 10 * time.Millisecond
	l := &limiter.Limiter{}
	l.Resize(0, 1000)
	now := cassiatally.Instant(time.Second)
	l.Observe(now, cassiatally.RunSample{SelfTime: self, InFlight: 1})
	for range 50 {
		l.Observe(now, cassiatally.RunSample{SelfTime: self, InFlight: 1, Failed: true})
	}
	is.Equal(l.Limit(), cassiatally.Concurrency(70))
	l.Observe(now.Add(self), cassiatally.RunSample{SelfTime: self, InFlight: 1, Failed: true})
	is.Equal(l.Limit(), cassiatally.Concurrency(49))
}

// Guards against an initial limit that is not a tenth of the announced slots or two, and
// against a limit that grows above them.
func TestBounds(t *testing.T) {
	cases := []struct {
		name        string
		slots       cassiatally.Concurrency
		start, most cassiatally.Concurrency
	}{
		{"a tenth of the slots", 110, 11, 110},
		{"at least two", 10, 2, 10},
		{"at least two for one slot", 1, 2, 2},
		{"unknown slots", 0, 2, 1024},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := &limiter.Limiter{}
			l.Resize(0, c.slots)
			is.Equal(l.Limit(), c.start)
			s := &server{limiter: l, slots: c.slots, realSlots: 4000, service: jittered(10*time.Millisecond, normalSpeed)}
			s.run(seed, 10*time.Second)
			is.Equal(l.Limit(), c.most)
			l.Resize(cassiatally.Instant(10*time.Second), 5)
			is.True(l.Limit() <= 5)
		})
	}
}

// Guards against limits that stay unequal at low load after a burst, so that balancers
// send more calls to the endpoints with the higher ones, and against growth far beyond
// the concurrency that was used.
func TestGrowthAtLowLoad(t *testing.T) {
	cases := []struct {
		name   string
		demand int
		want   cassiatally.Concurrency
	}{
		{"half of the limit in use", 5, 20},
		{"less than half in use", 4, 10},
		{"half of each limit up to the slots", 50, 100},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := &limiter.Limiter{}
			l.Resize(0, 100)
			is.Equal(l.Limit(), cassiatally.Concurrency(10))
			s := &server{
				limiter: l, slots: 100, realSlots: 100, service: jittered(10*time.Millisecond, normalSpeed),
				demand: func(cassiatally.Instant) int { return c.demand },
			}
			s.run(seed, 10*time.Second)
			is.Equal(l.Limit(), c.want)
		})
	}
}

func BenchmarkObserve(b *testing.B) {
	l := &limiter.Limiter{}
	l.Resize(0, 100)
	now := cassiatally.Instant(0)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(100 * time.Microsecond)
		l.Observe(now, cassiatally.RunSample{SelfTime: 10 * time.Millisecond, InFlight: l.Limit()})
	}
}
