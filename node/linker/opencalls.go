package linker

import (
	"sync"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// openCalls has the calls and queries that were sent over a link, in either direction,
// and have no answer yet. A link is active while an answer is awaited on it. Both ends
// see the same messages, so that they agree on whether the link is active.
type openCalls struct {
	mu sync.Mutex
	// sentAt has the time at which each of them was sent or received.
	sentAt map[cassiatally.CallID]time.Time
	// activeFrom is when the link last became active.
	activeFrom time.Time
	// lastClaim is when a message between a holder and its standby was last sent over
	// the link. These messages have no call id; they are numbered in a sequence of their
	// own.
	lastClaim time.Time
}

// record records a message that is written or was read, and reports whether it made
// the link active.
func (o *openCalls) record(now time.Time, m cassiatally.Message) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	wasActive := o.active(now)
	switch m := m.(type) {
	case cassiatally.Call:
		o.add(now, m.ID)
	case cassiatally.RunQuery:
		o.add(now, m.ID)
	case cassiatally.KeyQuery:
		o.add(now, m.ID)
	case cassiatally.Answer:
		delete(o.sentAt, m.ID)
	case cassiatally.ClaimUpdate, cassiatally.ClaimAck, cassiatally.ClaimCopy:
		o.lastClaim = now
	default:
		return false
	}
	if wasActive || !o.active(now) {
		return false
	}
	o.activeFrom = now
	return true
}

func (o *openCalls) add(now time.Time, id cassiatally.CallID) {
	if o.sentAt == nil {
		o.sentAt = make(map[cassiatally.CallID]time.Time)
	}
	o.sentAt[id] = now
}

func (o *openCalls) active(now time.Time) bool {
	return len(o.sentAt) > 0 || !o.lastClaim.IsZero() && now.Sub(o.lastClaim) <= requestIdleTimeout
}

// activeSince returns since when the link has been active, or false when it is not.
// It removes calls older than requestIdleTimeout, which get no answer any more.
func (o *openCalls) activeSince(now time.Time) (time.Time, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, at := range o.sentAt {
		if now.Sub(at) > requestIdleTimeout {
			delete(o.sentAt, id)
		}
	}
	return o.activeFrom, o.active(now)
}

// count returns the number of calls and queries without an answer.
func (o *openCalls) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.sentAt)
}
