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
//	call.Remaining -= m.Delay() // with each call that is read
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
	// drainTime is the time after a pause in which what was buffered is read.
	drainTime = 200 * time.Millisecond
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
	// lastTick is the uptime of the last tick, pause the length of the last pause, and
	// drainedAt the uptime at which what was buffered in it has been read.
	lastTick, pause, drainedAt atomic.Int64
}

// Run starts the duty.
func (m *Meter) Run() {
	m.lastTick.Store(int64(m.Uptime()))
	m.duty = looper.Looper[struct{}]{
		Clock:    m.Clock,
		Inbox:    ring.New[struct{}](1, ring.RefuseNewest),
		Handle:   func(cassiatally.Instant, struct{}) {},
		Tick:     func(cassiatally.Instant) { m.tick() },
		Interval: tickInterval,
	}
	m.duty.Run()
}

// Close stops the duty and waits for it.
func (m *Meter) Close() { m.duty.Close() }

func (m *Meter) tick() {
	now := int64(m.Uptime())
	if gap := now - m.lastTick.Load(); gap >= int64(minPause) {
		m.pause.Store(gap)
		m.drainedAt.Store(now + int64(drainTime))
	}
	m.lastTick.Store(now)
}

// Delay returns how long a message that is read now may have waited in a buffer while the
// process was paused.
func (m *Meter) Delay() time.Duration {
	now := int64(m.Uptime())
	if gap := now - m.lastTick.Load(); gap >= int64(minPause) {
		return time.Duration(gap)
	}
	if now < m.drainedAt.Load() {
		return time.Duration(m.pause.Load())
	}
	return 0
}
