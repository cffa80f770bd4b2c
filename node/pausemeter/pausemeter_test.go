package pausemeter

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a call that is run after a pause although its caller has given up, also
// when the reader of its connection runs long after the pause has been noticed, and
// against calls that are cut short without a pause.
func TestDelay(t *testing.T) {
	is := is.New(t)
	const length = 3 * time.Second
	now, uptime := time.Now(), time.Duration(0)
	m := &Meter{Uptime: func() time.Duration { return uptime }}
	pass := func(d time.Duration) {
		now = now.Add(d)
		uptime += d
	}
	m.tick(now)
	busy, idle := m.NewDelay(), m.NewDelay()
	is.Equal(busy(now, now), time.Duration(0))

	began := now
	pass(length)
	is.Equal(busy(began, now), length) // a message is read before the first tick
	m.tick(now)
	is.Equal(busy(began, now), length)
	for range 20 {
		pass(tickInterval / 2)
		m.tick(now)
		is.Equal(busy(now, now), length) // messages are still read without waiting
	}
	waiting := now
	pass(emptyWait)
	m.tick(now)
	is.Equal(busy(waiting, now), time.Duration(0)) // the buffer was empty
	is.Equal(busy(now, now), time.Duration(0))

	is.Equal(idle(now, now), length) // another connection has not been read yet
	for range drainTime / tickInterval {
		pass(tickInterval)
		m.tick(now)
	}
	is.Equal(idle(now, now), time.Duration(0))
}

// Guards against a clock that cannot be read, with which no pause is ever seen.
func TestUptime(t *testing.T) {
	is := is.New(t)
	before := Uptime()
	is.True(before > 0)
	is.True(Uptime() >= before)
}
