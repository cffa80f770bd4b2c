package loadtracker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/loadtracker"
)

func load(s cassiatally.Service, weight float64, levels ...cassiatally.Level) cassiatally.ServiceLoad {
	return cassiatally.ServiceLoad{Service: s, Weight: weight, Levels: levels}
}

// Guards against admitting a request into a chain that a service further down cannot
// finish, and against refusals because of services that the request does not touch.
func TestAdmit(t *testing.T) {
	t0 := &loadtracker.Tracker{}
	t0.RecordChain(0, "booking", "confirm", []cassiatally.ServiceLoad{load("booking", 10, 1, 0.8), load("depot", 10, 1, 0.5), load("avail", 10, 0.9, 0.3)})
	t0.RecordChain(0, "booking", "view", []cassiatally.ServiceLoad{load("booking", 10, 1, 0.8)})
	cases := []struct {
		name  string
		work  cassiatally.WorkKind
		rank  cassiatally.Rank
		order cassiatally.Order
		ok    bool
		short cassiatally.Service
	}{
		{"below the lowest level", "confirm", 1, 0.29, true, ""},
		{"at the lowest level", "confirm", 1, 0.3, true, ""},
		{"above the lowest level", "confirm", 1, 0.31, false, "avail"},
		{"urgent rank", "confirm", 0, 0.89, true, ""},
		{"urgent rank above its level", "confirm", 0, 0.91, false, "avail"},
		{"rank without reports", "confirm", 5, 0.99, true, ""},
		{"rank beyond the last", "confirm", 200, 0.99, true, ""},
		{"work that does not touch the short service", "view", 1, 0.7, true, ""},
		{"unknown work", "cancel", 1, 0.79, true, ""},
		{"unknown work at a short service", "cancel", 1, 0.81, false, "booking"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			ok, short := t0.Admit(0, "booking", c.work, c.rank, c.order)
			is.Equal(ok, c.ok)
			is.Equal(short, c.short)
		})
	}
}

// Guards against a service level that a single small or silent endpoint determines, and
// against levels that stay in force after their reports have become stale.
func TestLevel(t *testing.T) {
	const service = cassiatally.Service("avail")
	cases := []struct {
		name string
		age  time.Duration
		want cassiatally.Level
	}{
		{"weighted over endpoints", 0, 0.3395}, // 0.25^(3/4) * 0.85^(1/4)
		{"fresh for two seconds", 2 * time.Second, 0.3395},
		{"halfway back to 1", 2500 * time.Millisecond, 0.6894}, // 0.625^(3/4) * 0.925^(1/4)
		{"expired", 3 * time.Second, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := &loadtracker.Tracker{}
			l.RecordEndpoint(0, "large", load(service, 30, 0.25))
			l.RecordEndpoint(0, "small", load(service, 10, 0.85))
			got := l.Level(cassiatally.Instant(c.age), service, 0)
			is.True(got > c.want-0.001 && got < c.want+0.001)
		})
	}
}

// Guards against a level below what all endpoints report, which rounding of logarithms
// gave on arm64: a request with just that order value was refused.
func TestEqualLevelsAreExact(t *testing.T) {
	is := is.New(t)
	for i := 1; i < 1000; i++ {
		want := cassiatally.Level(i) / 1000
		l := &loadtracker.Tracker{}
		l.RecordChain(0, "avail", "check", []cassiatally.ServiceLoad{load("avail", 3, want)})
		l.RecordEndpoint(0, "n1", load("avail", 7, want))
		l.RecordEndpoint(0, "n2", load("avail", 11, want))
		is.Equal(l.Level(0, "avail", 0), max(want, 0.01))
	}
}

// Guards against an endpoint that has stopped reporting and keeps the level high while
// the others are short of capacity.
func TestSilentEndpointLosesItsWeight(t *testing.T) {
	is := is.New(t)
	l := &loadtracker.Tracker{}
	l.RecordEndpoint(0, "silent", load("avail", 10, 1))
	later := cassiatally.Instant(10 * time.Second)
	l.RecordEndpoint(later, "alive", load("avail", 10, 0.2))
	is.Equal(l.Level(later, "avail", 0), cassiatally.Level(0.2))
}

// Guards against gossip that is almost a second old and outweighs the levels in answers.
func TestAnswersOutweighOldGossip(t *testing.T) {
	is := is.New(t)
	l := &loadtracker.Tracker{}
	for n := range 4 {
		l.RecordEndpoint(0, cassiatally.NodeID(fmt.Sprint("n", n)), load("avail", 10, 1))
	}
	later := cassiatally.Instant(900 * time.Millisecond)
	for range 20 {
		l.RecordChain(later, "avail", "check", []cassiatally.ServiceLoad{load("avail", 10, 0.1)})
	}
	is.True(l.Level(later, "avail", 0) < 0.2)
}

// Guards against refusals at the entry while a service has room: endpoints that limit the
// rate of their requests are short of capacity, but another one takes what they refuse.
// Replays the answers of the users' capped day, on which three of four endpoints do.
func TestNarrowEndpointsSayLittle(t *testing.T) {
	const interval = 5 * time.Millisecond
	is := is.New(t)
	l := &loadtracker.Tracker{}
	narrow, wide := load("avail", 2, 0.3), load("avail", 96, 1)
	lowest, now := cassiatally.Level(1), cassiatally.Instant(time.Second)
	for i := range 1000 {
		now = now.Add(interval)
		answer := wide
		if i%2 == 0 {
			answer = narrow
		}
		l.RecordChain(now, "avail", "check", []cassiatally.ServiceLoad{answer})
		if i > 100 {
			lowest = min(lowest, l.Level(now, "avail", 0))
		}
	}
	is.True(lowest > 0.95)
	for range 1000 {
		now = now.Add(interval)
		l.RecordChain(now, "avail", "check", []cassiatally.ServiceLoad{narrow})
	}
	is.True(l.Level(now, "avail", 0) < 0.31) // all endpoints are narrow
}

// Guards against a single answer of one endpoint that determines the level of a
// service.
func TestAnswersAreSmoothed(t *testing.T) {
	is := is.New(t)
	l := &loadtracker.Tracker{}
	for range 20 {
		l.RecordChain(0, "avail", "check", []cassiatally.ServiceLoad{load("avail", 10, 0.9)})
	}
	l.RecordChain(0, "avail", "check", []cassiatally.ServiceLoad{load("avail", 10, 0.1)})
	is.True(l.Level(0, "avail", 0) > 0.6)
	for range 20 {
		l.RecordChain(0, "avail", "check", []cassiatally.ServiceLoad{load("avail", 10, 0.1)})
	}
	is.True(l.Level(0, "avail", 0) < 0.11)
}

// Guards against an entry with few answers that keeps refusing long after the
// endpoints have recovered.
func TestFewAnswersHaveMoreWeight(t *testing.T) {
	const interval = 100 * time.Millisecond
	is := is.New(t)
	l := &loadtracker.Tracker{}
	now := cassiatally.Instant(time.Second)
	l.RecordChain(now, "avail", "check", []cassiatally.ServiceLoad{load("avail", 10, 0.1)})
	for range 5 {
		now = now.Add(interval)
		l.RecordChain(now, "avail", "check", []cassiatally.ServiceLoad{load("avail", 10, 1)})
	}
	is.True(l.Level(now, "avail", 0) > 0.95)
}

// Guards against an entry that detects late that a service has recovered: at a low level
// few requests pass, so few answers arrive, while gossip repeats old levels.
func TestFewAnswersShowARecovery(t *testing.T) {
	const interval, maxDelay = 250 * time.Millisecond, time.Second
	is := is.New(t)
	l := &loadtracker.Tracker{}
	for range 20 {
		l.RecordChain(0, "avail", "check", []cassiatally.ServiceLoad{load("avail", 10, 0.1)})
	}
	for i := range 4 {
		l.RecordEndpoint(0, cassiatally.NodeID(fmt.Sprint("n", i)), load("avail", 10, 0.1))
	}
	now := cassiatally.Instant(0)
	for l.Level(now, "avail", 0) < 0.6 && now.Before(cassiatally.Instant(2*maxDelay)) {
		now = now.Add(interval)
		l.RecordChain(now, "avail", "check", []cassiatally.ServiceLoad{load("avail", 10, 1)})
	}
	is.True(now.Sub(0) <= maxDelay)
}

// Guards against refusing a kind of work because of the level of a service that it no
// longer touches.
func TestExpiresServicesNoLongerTouched(t *testing.T) {
	is := is.New(t)
	l := &loadtracker.Tracker{}
	l.RecordChain(0, "booking", "confirm", []cassiatally.ServiceLoad{load("booking", 1, 1), load("avail", 1, 0.1)})
	later := cassiatally.Instant(6 * time.Minute)
	l.RecordChain(later, "booking", "confirm", []cassiatally.ServiceLoad{load("booking", 1, 1)})
	l.RecordEndpoint(later, "n1", load("avail", 1, 0.1))
	ok, _ := l.Admit(later, "booking", "confirm", 0, 0.9)
	is.True(ok)
}

// Guards against memory that grows with the names in the requests of callers, and
// against full tables that never accept a new entry.
func TestBounds(t *testing.T) {
	is := is.New(t)
	l := &loadtracker.Tracker{MaxKinds: 10, MaxServices: 10}
	record := func(now cassiatally.Instant, i int) {
		s := cassiatally.Service(fmt.Sprint("s", i))
		l.RecordChain(now, s, "w", []cassiatally.ServiceLoad{load(s, 1, 0.5), load("shared", 1, 0.2)})
	}
	for i := range 100 {
		record(0, i)
	}
	is.Equal(l.Level(0, "s3", 0), cassiatally.Level(0.5))
	is.Equal(l.Level(0, "s99", 0), cassiatally.Level(1)) // beyond the bound
	later := cassiatally.Instant(6 * time.Minute)
	record(later, 99)
	is.Equal(l.Level(later, "s99", 0), cassiatally.Level(0.5))
}

func BenchmarkAdmit(b *testing.B) {
	const depth, endpoints = 17, 16
	l := &loadtracker.Tracker{}
	var loads []cassiatally.ServiceLoad
	for i := range depth {
		v := load(cassiatally.Service(fmt.Sprint("s", i)), 10, 1, 0.9)
		loads = append(loads, v)
		for n := range endpoints {
			l.RecordEndpoint(0, cassiatally.NodeID(fmt.Sprint("n", n)), v)
		}
	}
	l.RecordChain(0, "s0", "w", loads)
	b.ReportAllocs()
	for b.Loop() {
		l.Admit(0, "s0", "w", 1, 0.5)
	}
}
