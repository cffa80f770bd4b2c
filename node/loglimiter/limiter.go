// Package loglimiter limits the rate of log lines of events that repeat under overload.
// Of each event, at most LinesPerWindow lines are written in a second, followed by one
// line with the number of omitted lines.
//
// # Usage
//
//	l := loglimiter.New(logger, clock)
//	l.Warn("frame refused", "peer", peer)
//	l.Flush() // every second, so that the last number of omitted lines is written too
//
// An event is the message of a line without its fields, so messages have to be
// constants.
package loglimiter

import (
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	// LinesPerWindow lines of an event are enough to identify the peers concerned. More
	// would add no information and cost processor time under overload.
	LinesPerWindow = 10
	window         = time.Second
)

var (
	_ cassiatally.Logger = (*Limiter)(nil)
	_ cassiatally.Logger = (*log.Logger)(nil)
)

// Limiter is a Logger that omits lines. It is safe for concurrent use.
type Limiter struct {
	logger *log.Logger
	clock  cassiatally.Clock

	mu     sync.Mutex
	counts map[eventKey]*count
}

type eventKey struct {
	level log.Level
	event any
}

// count has the numbers of written and omitted lines of one event in a window.
type count struct {
	windowStart cassiatally.Instant
	written     int
	omitted     int
}

// New returns a limiter that writes to a logger.
func New(logger *log.Logger, clock cassiatally.Clock) *Limiter {
	return &Limiter{logger: logger, clock: clock, counts: make(map[eventKey]*count)}
}

// Debug writes a line for developers.
func (l *Limiter) Debug(event any, fields ...any) { l.write(log.DebugLevel, event, fields) }

// Info writes a line about a regular event.
func (l *Limiter) Info(event any, fields ...any) { l.write(log.InfoLevel, event, fields) }

// Warn writes a line about a fault that the node handles itself.
func (l *Limiter) Warn(event any, fields ...any) { l.write(log.WarnLevel, event, fields) }

// Error writes a line about a fault that an operator has to handle.
func (l *Limiter) Error(event any, fields ...any) { l.write(log.ErrorLevel, event, fields) }

func (l *Limiter) write(level log.Level, event any, fields []any) {
	if level < l.logger.GetLevel() {
		return
	}
	omitted, ok := l.countLine(eventKey{level, event})
	if omitted > 0 {
		l.logOmitted(eventKey{level, event}, omitted)
	}
	if ok {
		l.logger.Log(level, event, fields...)
	}
}

// countLine reports whether a line may be written now, and how many lines of the event
// were omitted in the previous window if that has just ended.
func (l *Limiter) countLine(k eventKey) (omitted int, ok bool) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counts[k]
	if c == nil {
		c = &count{windowStart: now}
		l.counts[k] = c
	}
	if now.Reached(c.windowStart.Add(window)) {
		omitted = c.omitted
		*c = count{windowStart: now}
	}
	if c.written == LinesPerWindow {
		c.omitted++
		return omitted, false
	}
	c.written++
	return omitted, true
}

// Flush writes the numbers of omitted lines of windows that have ended.
func (l *Limiter) Flush() {
	now := l.clock.Now()
	ended := make(map[eventKey]int)
	l.mu.Lock()
	for k, c := range l.counts {
		if now.Reached(c.windowStart.Add(window)) {
			if c.omitted > 0 {
				ended[k] = c.omitted
			}
			delete(l.counts, k)
		}
	}
	l.mu.Unlock()
	for k, omitted := range ended {
		l.logOmitted(k, omitted)
	}
}

func (l *Limiter) logOmitted(k eventKey, omitted int) {
	l.logger.Log(k.level, "log lines left out", "event", k.event, "count", omitted)
}
