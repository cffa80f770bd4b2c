package slidingcounter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/slidingcounter"
)

// Guards against events that are counted after their window, or lost within it, also
// after a time without any call.
func TestWindow(t *testing.T) {
	is := is.New(t)
	c := slidingcounter.Counter{Window: 10 * time.Second}
	at := func(seconds float64) cassiatally.Instant {
		return cassiatally.Instant(time.Hour + time.Duration(seconds*float64(time.Second)))
	}
	is.Equal(c.Sum(at(0)), 0.0)
	c.Add(at(0.5), 2)
	c.Add(at(1.5), 1)
	is.Equal(c.Sum(at(1.5)), 3.0)
	is.Equal(c.Sum(at(9.9)), 3.0)
	is.Equal(c.Sum(at(10)), 1.0)
	is.Equal(c.Sum(at(11)), 0.0)
	c.Add(at(100), 5)
	is.Equal(c.Sum(at(101)), 5.0)
	is.Equal(c.Sum(at(300)), 0.0)
}
