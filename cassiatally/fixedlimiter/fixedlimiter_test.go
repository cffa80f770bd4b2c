package fixedlimiter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/fixedlimiter"
)

// Guards against a baseline whose limit changes, which would make comparisons
// meaningless.
func TestLimitIsFixed(t *testing.T) {
	cases := []struct {
		name    string
		limiter fixedlimiter.Limiter
		want    cassiatally.Concurrency
	}{
		{"fixed", fixedlimiter.Limiter{Fixed: 64}, 64},
		{"announced slots", fixedlimiter.Limiter{UseSlots: true}, 15},
		{"no limit", fixedlimiter.Limiter{}, fixedlimiter.Unlimited},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := &c.limiter
			l.Resize(0, 15)
			l.Observe(0, cassiatally.RunSample{SelfTime: time.Second})
			l.Observe(0, cassiatally.RunSample{SelfTime: time.Minute, Failed: true})
			is.Equal(l.Limit(), c.want)
			is.Equal(l.TypicalSelfTime(), time.Second)
		})
	}
}
