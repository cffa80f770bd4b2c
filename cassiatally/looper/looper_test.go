package looper_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/looper"
	"github.com/cassiatally/cassiatally/cassiatally/recoverer"
	"github.com/cassiatally/cassiatally/cassiatally/ring"
)

// step is how far the clock advances with each reading. The loop reads the clock
// twice in each iteration, so a tick comes less than two steps late.
const step = time.Millisecond

// steppingClock advances by one step with each reading and stands still otherwise.
type steppingClock struct{ now cassiatally.Instant }

func (c *steppingClock) Now() cassiatally.Instant {
	c.now = c.now.Add(step)
	return c.now
}

func (c *steppingClock) Wall() time.Time { return time.Time{} }

// Guards against ticks that are not at multiples of the interval: each duty of the
// process would then tick at a different time and wake the process separately.
func TestTicksAtMultiples(t *testing.T) {
	is := is.New(t)
	const interval = 10 * time.Millisecond
	ticks := make(chan cassiatally.Instant, 64)
	l := &looper.Looper[int]{
		Clock:  &steppingClock{now: cassiatally.Instant(time.Hour + 3*time.Millisecond)},
		Inbox:  ring.New[int](1, ring.RefuseNewest),
		Handle: func(cassiatally.Instant, int) {},
		Tick: func(now cassiatally.Instant) {
			select {
			case ticks <- now:
			default:
			}
		},
		Interval: interval,
	}
	l.Run()
	for range 8 {
		now := <-ticks
		is.True(time.Duration(now)%interval < 2*step)
	}
	l.Close()
}

type silentLogger struct{}

func (silentLogger) Debug(any, ...any) {}
func (silentLogger) Info(any, ...any)  {}
func (silentLogger) Warn(any, ...any)  {}
func (silentLogger) Error(any, ...any) {}

// Guards against an event whose handling panics and that ends the duty, the other events
// of its batch, or the process.
func TestPanicEndsOneEventOnly(t *testing.T) {
	is := is.New(t)
	handled := make(chan int, 4)
	inbox := ring.New[int](4, ring.RefuseNewest)
	for i := range 4 {
		inbox.Offer(i, 0)
	}
	l := &looper.Looper[int]{
		Clock:     &steppingClock{},
		Inbox:     inbox,
		Recoverer: &recoverer.Recoverer{Logger: silentLogger{}, Duty: "test"},
		Handle: func(_ cassiatally.Instant, i int) {
			if i == 1 {
				panic("event")
			}
			handled <- i
		},
		Tick:     func(cassiatally.Instant) { panic("tick") },
		Interval: step,
	}
	l.Run()
	for _, want := range []int{0, 2, 3} {
		is.Equal(<-handled, want)
	}
	l.Close()
}
