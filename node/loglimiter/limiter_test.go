package loglimiter_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/node/loglimiter"
)

// fakeClock returns the instant that the test sets.
type fakeClock struct{ now cassiatally.Instant }

func (c *fakeClock) Now() cassiatally.Instant { return c.now }
func (c *fakeClock) Wall() time.Time          { return time.Time{} }

func newLimiter(level log.Level) (*loglimiter.Limiter, *fakeClock, *bytes.Buffer) {
	var out bytes.Buffer
	clock := &fakeClock{now: cassiatally.Instant(time.Hour)}
	logger := log.NewWithOptions(&out, log.Options{Formatter: log.LogfmtFormatter, Level: level})
	return loglimiter.New(logger, clock), clock, &out
}

// Guards against unlimited log lines under overload, against one event that uses up the
// limit of another, and against omitted lines that are not counted.
func TestRepeatedEventsAreCounted(t *testing.T) {
	is := is.New(t)
	l, clock, out := newLimiter(log.InfoLevel)
	for range loglimiter.LinesPerWindow + 25 {
		l.Warn("frame refused", "peer", "n2")
	}
	l.Warn("link refused")
	l.Error("frame refused")
	l.Debug("not written at this level")
	is.Equal(strings.Count(out.String(), `level=warn msg="frame refused" peer=n2`), loglimiter.LinesPerWindow)
	is.Equal(strings.Count(out.String(), "\n"), loglimiter.LinesPerWindow+2)
	l.Flush() // the window has not ended
	is.Equal(strings.Count(out.String(), "left out"), 0)

	clock.now = clock.now.Add(time.Second)
	out.Reset()
	l.Warn("frame refused", "peer", "n2")
	is.Equal(out.String(), `level=warn msg="log lines left out" event="frame refused" count=25`+"\n"+`level=warn msg="frame refused" peer=n2`+"\n")
}

// Guards against a number of omitted lines that is never written because the event does
// not occur again.
func TestFlushWritesLastOmittedCount(t *testing.T) {
	is := is.New(t)
	l, clock, out := newLimiter(log.DebugLevel)
	for range loglimiter.LinesPerWindow + 3 {
		l.Debug("answer not sent")
	}
	out.Reset()
	clock.now = clock.now.Add(time.Second)
	l.Flush()
	l.Flush()
	is.Equal(out.String(), `level=debug msg="log lines left out" event="answer not sent" count=3`+"\n")
}
