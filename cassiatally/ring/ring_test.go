package ring_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally/ring"
)

// Guards against entries that are reordered or lost when the ring wraps around.
func TestTakeAllKeepsOrderAcrossWrap(t *testing.T) {
	is := is.New(t)
	r := ring.New[int](3, ring.RefuseNewest)
	next := 0
	for round := range 5 {
		for i := range 2 {
			is.True(r.Push(context.Background(), round*2+i))
		}
		for _, v := range r.TakeAll(nil) {
			is.Equal(v, next)
			next++
		}
	}
	is.Equal(next, 10)
}

// Guards against a full ring that exceeds its capacity, or that refuses or drops
// an entry without counting it.
func TestFullRing(t *testing.T) {
	cases := []struct {
		name     string
		policy   ring.Policy
		expired  func(int) bool
		accepted bool
		contents []int
		refused  uint64
		dropped  uint64
	}{
		{"refuses the newest", ring.RefuseNewest, nil, false, []int{1, 2}, 1, 0},
		{"drops the oldest expired", ring.DropExpired, func(v int) bool { return v == 2 }, true, []int{1, 3}, 0, 1},
		{"refuses when none is expired", ring.DropExpired, func(int) bool { return false }, false, []int{1, 2}, 1, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := ring.New[int](2, c.policy)
			r.Expired = c.expired
			r.Push(context.Background(), 1)
			r.Push(context.Background(), 2)
			is.Equal(r.Push(context.Background(), 3), c.accepted)
			is.Equal(r.TakeAll(nil), c.contents)
			refused, dropped := r.LossCounts()
			is.Equal(refused, c.refused)
			is.Equal(dropped, c.dropped)
		})
	}
}

// Guards against a waiting sender that is never woken, and against entries that
// are lost between several senders and receivers.
func TestWaitingSendersAndReceivers(t *testing.T) {
	is := is.New(t)
	const senders, each = 8, 500
	r := ring.New[int](4, ring.Wait)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var sent, received sync.WaitGroup
	for range senders {
		sent.Go(func() {
			for i := range each {
				r.Push(ctx, i)
			}
		})
	}
	counts := make([]int, 3)
	for i := range counts {
		received.Go(func() {
			for {
				if _, ok := r.Pop(ctx); !ok {
					return
				}
				counts[i]++
			}
		})
	}
	sent.Wait()
	r.Close()
	received.Wait()
	total := 0
	for _, n := range counts {
		total += n
	}
	is.Equal(total, senders*each)
}

// Guards against a Close that discards entries accepted before it.
func TestCloseKeepsAcceptedEntries(t *testing.T) {
	is := is.New(t)
	r := ring.New[string](2, ring.RefuseNewest)
	is.True(r.Push(context.Background(), "accepted"))
	r.Close()
	is.True(!r.Push(context.Background(), "late"))
	v, ok := r.Pop(context.Background())
	is.True(ok)
	is.Equal(v, "accepted")
	_, ok = r.Pop(context.Background())
	is.True(!ok)
}
