// Package ring provides the bounded queue between two goroutines that each run
// one duty.
//
// A ring has a stated capacity and one of three policies for when it is full:
// the sender waits, the newest entry is refused, or the oldest expired entry is
// dropped to make room. A waiting goroutine blocks on a channel and never spins.
//
// # Usage
//
//	inbox := ring.New[event](4096, ring.RefuseNewest)
//	// Any number of senders:
//	if !inbox.Push(ctx, e) {
//		// full or closed
//	}
//	// The one duty that receives:
//	for {
//		select {
//		case <-inbox.Ready():
//			for _, e := range inbox.TakeAll(buf[:0]) {
//				handle(e)
//			}
//		case <-timer.C:
//		}
//	}
//
// Ready may fire when the ring is already empty; TakeAll then returns nothing.
package ring

import (
	"context"
	"sync"
)

// Policy selects what happens when an entry is pushed into a full ring.
type Policy uint8

const (
	// Wait makes the sender wait for room, until its context ends.
	Wait Policy = iota
	// RefuseNewest refuses the entry that is pushed.
	RefuseNewest
	// DropExpired drops the oldest entry for which Expired returns true, and
	// refuses the newest entry when there is none.
	DropExpired
)

// Ring is a bounded queue with many senders and one receiver.
type Ring[T any] struct {
	// Expired reports whether an entry may be dropped unprocessed. Only DropExpired
	// calls it, under the lock of the ring.
	Expired func(T) bool
	// Dropped is called, outside the lock of the ring, with each entry that
	// DropExpired drops.
	Dropped func(T)

	policy Policy
	ready  chan struct{}
	space  chan struct{}
	done   chan struct{}

	mu      sync.Mutex
	entries []T
	head, n int
	closed  bool
	refused uint64
	dropped uint64
}

// New returns a ring for capacity entries.
func New[T any](capacity int, p Policy) *Ring[T] {
	if capacity < 1 {
		capacity = 1
	}
	return &Ring[T]{
		policy:  p,
		ready:   make(chan struct{}, 1),
		space:   make(chan struct{}, 1),
		done:    make(chan struct{}),
		entries: make([]T, capacity),
	}
}

// Push adds an entry and reports whether it was accepted. Only the Wait policy
// blocks.
func (r *Ring[T]) Push(ctx context.Context, v T) bool {
	for {
		accepted, wait := r.tryPush(v)
		if !wait {
			return accepted
		}
		select {
		case <-r.space:
		case <-r.done:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// Offer adds an entry without waiting, whatever the policy, and reports whether
// it was accepted. It refuses the entry when fewer than reserve+1 places are
// free, so that reserve places stay free for senders that use Push.
func (r *Ring[T]) Offer(v T, reserve int) bool {
	r.mu.Lock()
	full := r.n+reserve >= len(r.entries)
	if full {
		r.refused++
	}
	r.mu.Unlock()
	if full {
		return false
	}
	accepted, _ := r.tryPush(v)
	return accepted
}

func (r *Ring[T]) tryPush(v T) (accepted, wait bool) {
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		return false, false
	}
	var victim T
	var evicted bool
	if r.n == len(r.entries) && r.policy == DropExpired {
		victim, evicted = r.evictExpired()
	}
	if r.n == len(r.entries) {
		wait = r.policy == Wait
		if !wait {
			r.refused++
		}
		r.mu.Unlock()
		return false, wait
	}
	r.entries[(r.head+r.n)%len(r.entries)] = v
	r.n++
	more := r.n < len(r.entries)
	r.mu.Unlock()
	signal(r.ready)
	if more && r.policy == Wait {
		// space holds at most one token and a token wakes one sender, so a sender
		// that leaves places free wakes the next one.
		signal(r.space)
	}
	if evicted && r.Dropped != nil {
		r.Dropped(victim)
	}
	return true, false
}

func (r *Ring[T]) evictExpired() (T, bool) {
	var zero T
	if r.Expired == nil {
		return zero, false
	}
	size := len(r.entries)
	for i := range r.n {
		at := (r.head + i) % size
		if !r.Expired(r.entries[at]) {
			continue
		}
		victim := r.entries[at]
		for j := i; j < r.n-1; j++ {
			r.entries[(r.head+j)%size] = r.entries[(r.head+j+1)%size]
		}
		r.n--
		r.entries[(r.head+r.n)%size] = zero
		r.dropped++
		return victim, true
	}
	return zero, false
}

// Ready returns the channel on which the receiver waits.
func (r *Ring[T]) Ready() <-chan struct{} { return r.ready }

// Done returns a channel that is closed by Close.
func (r *Ring[T]) Done() <-chan struct{} { return r.done }

// TakeAll removes all entries, appends them to buf in order and returns the
// extended slice.
func (r *Ring[T]) TakeAll(buf []T) []T {
	r.mu.Lock()
	var zero T
	for range r.n {
		buf = append(buf, r.entries[r.head])
		r.entries[r.head] = zero
		r.head = (r.head + 1) % len(r.entries)
	}
	removed := r.n > 0
	r.n = 0
	r.mu.Unlock()
	if removed && r.policy == Wait {
		signal(r.space)
	}
	return buf
}

// Pop waits for one entry. It returns false when the context ends or when the
// ring is closed and empty. Several receivers may use Pop.
func (r *Ring[T]) Pop(ctx context.Context) (T, bool) {
	for {
		v, ok, closed := r.tryPop()
		if ok || closed {
			return v, ok
		}
		select {
		case <-r.ready:
		case <-r.done:
		case <-ctx.Done():
			return v, false
		}
	}
}

func (r *Ring[T]) tryPop() (v T, ok, closed bool) {
	r.mu.Lock()
	if r.n == 0 {
		closed = r.closed
		r.mu.Unlock()
		return v, false, closed
	}
	var zero T
	v = r.entries[r.head]
	r.entries[r.head] = zero
	r.head = (r.head + 1) % len(r.entries)
	r.n--
	more := r.n > 0
	r.mu.Unlock()
	if more {
		signal(r.ready)
	}
	if r.policy == Wait {
		signal(r.space)
	}
	return v, true, false
}

// Close makes the ring refuse all further entries. Entries that were accepted
// before can still be received.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	r.closed = true
	close(r.done)
}

// Len returns the number of entries.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.n
}

// LossCounts returns how many entries were refused and how many were dropped.
func (r *Ring[T]) LossCounts() (refused, dropped uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.refused, r.dropped
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
