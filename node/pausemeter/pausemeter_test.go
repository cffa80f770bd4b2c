package pausemeter

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a call that is run after a pause although its caller has given up, and
// against calls that are cut short without a pause.
func TestDelay(t *testing.T) {
	is := is.New(t)
	var uptime time.Duration
	m := &Meter{Uptime: func() time.Duration { return uptime }}
	m.tick()
	is.Equal(m.Delay(), time.Duration(0))
	uptime += tickInterval
	is.Equal(m.Delay(), time.Duration(0))
	m.tick()
	uptime += 3 * time.Second
	is.Equal(m.Delay(), 3*time.Second) // a message is read before the first tick
	m.tick()
	is.Equal(m.Delay(), 3*time.Second)
	uptime += tickInterval
	m.tick()
	is.Equal(m.Delay(), 3*time.Second)
	uptime += drainTime
	m.tick()
	is.Equal(m.Delay(), time.Duration(0))
}

// Guards against a clock that cannot be read, with which no pause is ever seen.
func TestUptime(t *testing.T) {
	is := is.New(t)
	before := Uptime()
	is.True(before > 0)
	is.True(Uptime() >= before)
}
