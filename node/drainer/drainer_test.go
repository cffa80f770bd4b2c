package drainer_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally/sysclock"
	"github.com/cassiatally/cassiatally/node/drainer"
)

// Guards against a stop that ends before a required step, gives up work although none is
// left, or does not end with its context.
func TestRun(t *testing.T) {
	cases := []struct {
		name     string
		idle     func(taken []string) bool
		timeout  time.Duration
		finished bool
		taken    []string
	}{
		{"idle from the start", func([]string) bool { return true }, time.Minute, true, []string{"refuse"}},
		{"idle after a step", func(taken []string) bool { return len(taken) == 2 }, time.Minute, true, []string{"refuse", "recall"}},
		{"never idle", func([]string) bool { return false }, 200 * time.Millisecond, false, []string{"refuse", "recall", "answer"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var taken []string
			take := func(name string) func() { return func() { taken = append(taken, name) } }
			d := &drainer.Drainer{
				Clock: sysclock.New(),
				Idle:  func() bool { return c.idle(taken) },
				Steps: []drainer.Step{
					{After: 20 * time.Millisecond, Do: take("refuse"), Required: true},
					{After: 40 * time.Millisecond, Do: take("recall")},
					{After: 60 * time.Millisecond, Do: take("answer")},
				},
			}
			ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
			defer cancel()
			is.Equal(d.Run(ctx), c.finished)
			is.Equal(taken, c.taken)
		})
	}
}
