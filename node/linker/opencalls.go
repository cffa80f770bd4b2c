package linker

import (
	"sync"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// openCalls has the calls and queries that went over a link, in either direction,
// and have no answer yet. Both ends see the same messages, so that they agree on
// whether somebody waits.
type openCalls struct {
	mu sync.Mutex
	// since has when each of them went over the link.
	since map[cassiatally.CallID]time.Time
	// began is when the first of those that are open went over the link.
	began time.Time
	// claimed is when a message between a holder and its standby last went over the
	// link. Those are numbered in a sequence of their own.
	claimed time.Time
}

// pass records a message that is written or was read, and reports whether the link
// became active by it.
func (o *openCalls) pass(now time.Time, m cassiatally.Message) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	was := o.active(now)
	switch m := m.(type) {
	case cassiatally.Call:
		o.open(now, m.ID)
	case cassiatally.RunQuery:
		o.open(now, m.ID)
	case cassiatally.KeyQuery:
		o.open(now, m.ID)
	case cassiatally.Answer:
		delete(o.since, m.ID)
	case cassiatally.ClaimUpdate, cassiatally.ClaimAck, cassiatally.ClaimCopy:
		o.claimed = now
	default:
		return false
	}
	if was || !o.active(now) {
		return false
	}
	o.began = now
	return true
}

func (o *openCalls) open(now time.Time, id cassiatally.CallID) {
	if o.since == nil {
		o.since = make(map[cassiatally.CallID]time.Time)
	}
	o.since[id] = now
}

func (o *openCalls) active(now time.Time) bool {
	return len(o.since) > 0 || !o.claimed.IsZero() && now.Sub(o.claimed) <= requestIdle
}

// activeSince returns since when somebody waits for an answer on the link. Calls
// whose answer can't come any more are forgotten.
func (o *openCalls) activeSince(now time.Time) (time.Time, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, at := range o.since {
		if now.Sub(at) > requestIdle {
			delete(o.since, id)
		}
	}
	return o.began, o.active(now)
}
