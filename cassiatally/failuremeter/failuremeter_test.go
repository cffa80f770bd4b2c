package failuremeter_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/failuremeter"
)

// Guards against a rate that a single failure raises, that lags behind by seconds, or
// that stays high when the endpoint gets no runs any more.
func TestRate(t *testing.T) {
	is := is.New(t)
	var m failuremeter.Meter
	now := cassiatally.Instant(time.Hour)
	is.Equal(m.Rate(now), cassiatally.FailureRate(0))
	m.Record(now, true)
	is.True(m.Rate(now) <= 0.25)
	const perSecond = 20
	for i := range 3 * perSecond {
		now = now.Add(time.Second / perSecond)
		m.Record(now, i%5 < 2)
	}
	is.True(math.Abs(float64(m.Rate(now))-0.4) < 0.08)
	is.True(m.Rate(now.Add(5*time.Second)) < 0.1)
	for range 2 * perSecond {
		now = now.Add(time.Second / perSecond)
		m.Record(now, false)
	}
	is.True(m.Rate(now) < 0.15)
}
