// Package looper runs a duty: one goroutine that owns its state, receives events
// from a bounded ring and handles timers.
//
// # Usage
//
//	l := &looper.Looper[event]{
//		Clock:    clock,
//		Inbox:    ring.New[event](4096, ring.Wait),
//		Handle:   func(now cassiatally.Instant, e event) { ... },
//		Tick:     func(now cassiatally.Instant) { ... },
//		Interval: 100 * time.Millisecond,
//		NextWake: router.NextWake, // optional
//	}
//	l.Run()
//	defer l.Close()
//
// Handle and Tick are called by the duty's goroutine only.
package looper

import (
	"sync"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/recoverer"
	"github.com/cassiatally/cassiatally/cassiatally/ring"
)

// minWait bounds how often NextWake can wake the duty.
const minWait = time.Millisecond

// Looper runs one duty. Its fields must not change after Run.
type Looper[T any] struct {
	Clock  cassiatally.Clock
	Inbox  *ring.Ring[T]
	Handle func(now cassiatally.Instant, event T)
	// Tick is called at multiples of Interval, and at the time that NextWake
	// returns when NextWake is set.
	Tick     func(now cassiatally.Instant)
	Interval time.Duration
	NextWake func() (cassiatally.Instant, bool)
	// Recoverer is optional. With it, a panic of Handle or Tick ends the handling of that
	// event or tick only.
	Recoverer *recoverer.Recoverer

	running    sync.WaitGroup
	batch      []T
	nextTickAt cassiatally.Instant
}

// Run starts the goroutine of the duty and returns.
func (l *Looper[T]) Run() {
	l.nextTickAt = l.nextTick(l.Clock.Now())
	l.running.Go(l.loop)
}

// Close refuses further events and waits until the accepted ones are handled.
func (l *Looper[T]) Close() {
	l.Inbox.Close()
	l.running.Wait()
}

func (l *Looper[T]) loop() {
	timer := time.NewTimer(l.Interval)
	defer timer.Stop()
	for {
		timer.Reset(l.untilWake())
		select {
		case <-l.Inbox.Ready():
		case <-timer.C:
		case <-l.Inbox.Done():
			l.handleAll()
			return
		}
		l.handleAll()
		l.tickIfDue()
	}
}

func (l *Looper[T]) handleAll() {
	l.batch = l.Inbox.TakeAll(l.batch[:0])
	if len(l.batch) == 0 {
		return
	}
	now := l.Clock.Now()
	for i, e := range l.batch {
		l.handle(now, e)
		var zero T
		l.batch[i] = zero
	}
}

func (l *Looper[T]) handle(now cassiatally.Instant, e T) {
	defer l.Recoverer.Recover()
	l.Handle(now, e)
}

func (l *Looper[T]) tick(now cassiatally.Instant) {
	defer l.Recoverer.Recover()
	l.Tick(now)
}

func (l *Looper[T]) untilWake() time.Duration {
	wake := l.nextTickAt
	if l.NextWake != nil {
		if at, ok := l.NextWake(); ok && at.Before(wake) {
			wake = at
		}
	}
	return max(wake.Sub(l.Clock.Now()), minWait)
}

// nextTick returns the next multiple of Interval. Duties with the same interval
// then tick at the same time, so that the process wakes up once for all of them.
func (l *Looper[T]) nextTick(now cassiatally.Instant) cassiatally.Instant {
	return now.Add(l.Interval - time.Duration(now)%l.Interval)
}

func (l *Looper[T]) tickIfDue() {
	now := l.Clock.Now()
	due := now.Reached(l.nextTickAt)
	if !due && l.NextWake != nil {
		at, ok := l.NextWake()
		due = ok && now.Reached(at)
	}
	if !due {
		return
	}
	if now.Reached(l.nextTickAt) {
		l.nextTickAt = l.nextTick(now)
	}
	l.tick(now)
}
