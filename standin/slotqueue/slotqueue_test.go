package slotqueue_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/standin/slotqueue"
)

// Guards against more running requests than slots, an unbounded queue, and a place
// that stays occupied after a cancelled wait.
func TestSlotsAndQueue(t *testing.T) {
	is := is.New(t)
	q := slotqueue.New(1, 1)
	is.NoErr(q.Acquire(t.Context()))
	ctx, cancel := context.WithCancel(t.Context())
	waited := make(chan error)
	go func() { waited <- q.Acquire(ctx) }()
	for q.Pending() < 2 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(q.Acquire(t.Context()), slotqueue.ErrFull)
	cancel()
	is.True(errors.Is(<-waited, context.Canceled))
	is.Equal(int(q.Pending()), 1)
	q.Release()
	is.NoErr(q.Acquire(t.Context()))
	is.Equal(int(q.Running()), 1)
}
