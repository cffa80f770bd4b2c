// Package pausemeter detects that the process was paused, by a signal, by the suspension
// of its host or for lack of processor time. What it reads after a pause may have waited
// in a buffer all the time: a call that was sent with two seconds left may be one whose
// caller gave up long ago.
//
// # Usage
//
//	m := &pausemeter.Meter{Clock: clock, Uptime: pausemeter.Uptime}
//	m.Run()
//	defer m.Close()
//	delay := m.NewDelay() // one for each connection
//	for {
//		began := time.Now()
//		call := read()
//		call.Remaining -= delay(began, time.Now())
//	}
package pausemeter

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/looper"
	"github.com/cassiatally/cassiatally/cassiatally/ring"
)

const (
	tickInterval = 100 * time.Millisecond
	// minPause is the time without a tick that counts as a pause. On a busy host ticks
	// come late by some of them.
	minPause = 500 * time.Millisecond
	// emptyWait is how long a read has to wait to show that the buffer of its connection
	// was empty. On a busy host a read of what is there takes some milliseconds.
	emptyWait = 50 * time.Millisecond
	// drainTime bounds the time after a pause in which what is read may have been buffered.
	drainTime = 5 * time.Second
)

// Uptime returns the time since the host started. Unlike the monotonic clock it goes on
// while the host is suspended.
func Uptime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// Meter is the duty that measures pauses. Its fields are set before Run.
type Meter struct {
	Clock cassiatally.Clock
	// Uptime returns the time since the host started.
	Uptime func() time.Duration

	duty looper.Looper[struct{}]
	// lastTick is the uptime of the last tick.
	lastTick atomic.Int64
	last     atomic.Pointer[pause]
}

// pause is a time in which the process did not run.
type pause struct {
	ended  time.Time
	length time.Duration
}

// Run starts the duty.
func (m *Meter) Run() {
	m.lastTick.Store(int64(m.Uptime()))
	m.duty = looper.Looper[struct{}]{
		Clock:    m.Clock,
		Inbox:    ring.New[struct{}](1, ring.RefuseNewest),
		Handle:   func(cassiatally.Instant, struct{}) {},
		Tick:     func(cassiatally.Instant) { m.tick(time.Now()) },
		Interval: tickInterval,
	}
	m.duty.Run()
}

// Close stops the duty and waits for it.
func (m *Meter) Close() { m.duty.Close() }

func (m *Meter) tick(now time.Time) {
	uptime := int64(m.Uptime())
	if gap := time.Duration(uptime - m.lastTick.Load()); gap >= minPause {
		m.last.Store(&pause{ended: now, length: gap})
	}
	m.lastTick.Store(uptime)
}

// NewDelay returns a function for one connection, which is not safe for concurrent use.
// It returns how long a message may have waited in a buffer while the process was paused,
// given when the read that returned it began and ended.
func (m *Meter) NewDelay() func(began, ended time.Time) time.Duration {
	return (&connection{meter: m}).delay
}

// connection is what is known of the buffer of a connection.
type connection struct {
	meter *Meter
	// drained is the last pause after which the buffer of the connection was empty.
	drained *pause
}

func (c *connection) delay(began, ended time.Time) time.Duration {
	if gap := time.Duration(int64(c.meter.Uptime()) - c.meter.lastTick.Load()); gap >= minPause {
		return gap // the pause has just ended
	}
	p := c.meter.last.Load()
	if p == nil || p == c.drained {
		return 0
	}
	waited := !began.Before(p.ended) && ended.Sub(began) >= emptyWait
	if waited || ended.Sub(p.ended) >= drainTime {
		c.drained = p
		return 0
	}
	return p.length
}
