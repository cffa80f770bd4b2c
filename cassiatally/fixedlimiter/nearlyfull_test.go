package fixedlimiter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/fixedlimiter"
)

// kneeEndpoint is an endpoint that becomes slower when it is nearly full.
type kneeEndpoint struct {
	slots            int
	knee, slowdown   float64
	runTime          time.Duration
	remaining        []time.Duration
	completed, calls int
}

// step lets the runs in flight progress for d.
func (e *kneeEndpoint) step(d time.Duration) {
	if float64(len(e.remaining)) > e.knee*float64(e.slots) {
		d = time.Duration(float64(d) / e.slowdown)
	}
	var left []time.Duration
	for _, r := range e.remaining {
		if r > d {
			left = append(left, r-d)
			continue
		}
		e.completed++
	}
	e.remaining = left
}

// Guards against an overload in which endpoints complete less because all their slots
// are used: they become slower by 1.3 above 95% of them. Replays 10 s in which calls for
// more than all slots arrive.
func TestNearlyFullEndpoint(t *testing.T) {
	const tick, length = time.Millisecond, 10 * time.Second
	for _, slots := range []int{11, 17, 35, 112} {
		is := is.New(t)
		completed := make(map[float64]int)
		for _, fraction := range []float64{0, 0.95} {
			l := &fixedlimiter.Limiter{UseSlots: true, Fraction: fraction}
			l.Resize(0, cassiatally.Concurrency(slots))
			e := &kneeEndpoint{slots: slots, knee: 0.95, slowdown: 1.3, runTime: 53 * time.Millisecond}
			for at := time.Duration(0); at < length; at += tick {
				for len(e.remaining) < int(l.Limit()) {
					// Runs do not start and end all at the same time.
					e.calls++
					e.remaining = append(e.remaining, e.runTime+time.Duration(e.calls%7)*tick)
				}
				e.step(tick)
			}
			completed[fraction] = e.completed
		}
		t.Logf("%d slots: %d runs with all of them, %d with 0.95", slots, completed[0], completed[0.95])
		is.True(float64(completed[0.95]) > 1.1*float64(completed[0]))
	}
}

// Guards against a limit that leaves an endpoint with one slot unused.
func TestFractionOfSlots(t *testing.T) {
	for slots, want := range map[cassiatally.Concurrency]cassiatally.Concurrency{1: 1, 8: 7, 17: 16, 35: 33} {
		is := is.New(t)
		l := &fixedlimiter.Limiter{UseSlots: true, Fraction: 0.95}
		l.Resize(0, slots)
		is.Equal(l.Limit(), want)
	}
}
