package looper_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/looper"
	"github.com/cassiatally/cassiatally/cassiatally/ring"
)

// step is what the clock advances with each reading. The duty reads it twice in
// each turn.
const step = time.Millisecond

// jumpClock advances with each reading only.
type jumpClock struct{ now cassiatally.Instant }

func (c *jumpClock) Now() cassiatally.Instant {
	c.now = c.now.Add(step)
	return c.now
}

func (c *jumpClock) Wall() time.Time { return time.Time{} }

// Guards against duties that tick at times of their own, so that the process
// wakes up for each of them.
func TestTicksAtMultiples(t *testing.T) {
	is := is.New(t)
	const every = 10 * time.Millisecond
	ticks := make(chan cassiatally.Instant, 64)
	l := &looper.Looper[int]{
		Clock:  &jumpClock{now: cassiatally.Instant(time.Hour + 3*time.Millisecond)},
		Inbox:  ring.New[int](1, ring.RefuseNewest),
		Handle: func(cassiatally.Instant, int) {},
		Tick: func(now cassiatally.Instant) {
			select {
			case ticks <- now:
			default:
			}
		},
		Every: every,
	}
	l.Run()
	for range 8 {
		now := <-ticks
		is.True(time.Duration(now)%every < 2*step)
	}
	l.Close()
}
