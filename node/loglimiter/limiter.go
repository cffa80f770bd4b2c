// Package loglimiter bounds the log lines of events that repeat under overload.
// Of each event, at most a few lines are written in a second, and then one line
// with the number of those left out.
//
// # Usage
//
//	l := loglimiter.New(logger, clock)
//	l.Warn("frame refused", "peer", peer)
//	l.Flush() // every second, so that the last number left out is written too
//
// An event is the text of a line without its fields, so the texts have to be
// constants.
package loglimiter

import (
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	// LinesPerWindow is enough to tell who is concerned; more lines of one event
	// say nothing new and cost processor time when it is short.
	LinesPerWindow = 10
	window         = time.Second
)

var (
	_ cassiatally.Logger = (*Limiter)(nil)
	_ cassiatally.Logger = (*log.Logger)(nil)
)

// Limiter is a Logger that leaves out lines. It is safe for concurrent use.
type Limiter struct {
	to    *log.Logger
	clock cassiatally.Clock

	mu     sync.Mutex
	counts map[line]*count
}

type line struct {
	level log.Level
	event any
}

// count has the lines of one event in a window.
type count struct {
	since   cassiatally.Instant
	written int
	left    int
}

// New returns a limiter that writes to a logger.
func New(to *log.Logger, clock cassiatally.Clock) *Limiter {
	return &Limiter{to: to, clock: clock, counts: make(map[line]*count)}
}

// Debug writes a line for developers.
func (l *Limiter) Debug(event any, fields ...any) { l.write(log.DebugLevel, event, fields) }

// Info writes a line about a change that was to be expected.
func (l *Limiter) Info(event any, fields ...any) { l.write(log.InfoLevel, event, fields) }

// Warn writes a line about a fault that the node deals with.
func (l *Limiter) Warn(event any, fields ...any) { l.write(log.WarnLevel, event, fields) }

// Error writes a line about a fault that a person has to deal with.
func (l *Limiter) Error(event any, fields ...any) { l.write(log.ErrorLevel, event, fields) }

func (l *Limiter) write(level log.Level, event any, fields []any) {
	if level < l.to.GetLevel() {
		return
	}
	left, ok := l.take(line{level, event})
	if left > 0 {
		l.tellLeft(line{level, event}, left)
	}
	if ok {
		l.to.Log(level, event, fields...)
	}
}

// take reports whether a line may be written now, and how many were left out in
// a window that has ended.
func (l *Limiter) take(k line) (left int, ok bool) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counts[k]
	if c == nil {
		c = &count{since: now}
		l.counts[k] = c
	}
	if now.Reached(c.since.Add(window)) {
		left = c.left
		*c = count{since: now}
	}
	if c.written == LinesPerWindow {
		c.left++
		return left, false
	}
	c.written++
	return left, true
}

// Flush writes how many lines were left out in windows that have ended.
func (l *Limiter) Flush() {
	now := l.clock.Now()
	ended := make(map[line]int)
	l.mu.Lock()
	for k, c := range l.counts {
		if now.Reached(c.since.Add(window)) {
			if c.left > 0 {
				ended[k] = c.left
			}
			delete(l.counts, k)
		}
	}
	l.mu.Unlock()
	for k, left := range ended {
		l.tellLeft(k, left)
	}
}

func (l *Limiter) tellLeft(k line, left int) {
	l.to.Log(k.level, "log lines left out", "event", k.event, "count", left)
}
