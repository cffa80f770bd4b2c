package claimer

import (
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	// resendAfter is how long a holder waits for an acknowledgement before it
	// sends again.
	resendAfter = time.Second
	// replaceAfter is how long a holder waits for progress before it replaces
	// its standby.
	replaceAfter = 3 * time.Second
	// outboxWindow bounds the messages to a standby that are not acknowledged. It
	// leaves most of the 1,024 places of the link writer to other messages.
	outboxWindow = 64
	// maxOutbox bounds the updates that wait for a standby.
	maxOutbox = 4096
	// copyKeys bounds the claims in one message of a copy.
	copyKeys = 64
	// copyBytes bounds the stored answers in one message of a copy; a frame holds
	// a little more than one answer of MaxBody.
	copyBytes = 512 << 10
)

// outboxEntry is a message to the standby. Its content is read when it is sent,
// so the outbox holds keys only.
type outboxEntry struct {
	seq    uint64
	keys   []cassiatally.Key
	copied bool
	last   bool
}

// outbox is the sequence of copies and updates from a holder to its standby.
type outbox struct {
	entries []outboxEntry
	// sent counts the entries that have been sent at least once.
	sent       int
	seq, acked uint64
	sentAt     cassiatally.Instant
	progressAt cassiatally.Instant
}

// add appends an entry and returns its sequence number.
func (o *outbox) add(now cassiatally.Instant, e outboxEntry) uint64 {
	if len(o.entries) == 0 {
		o.progressAt = now
	}
	o.seq++
	e.seq = o.seq
	o.entries = append(o.entries, e)
	return o.seq
}

// due returns the entries to send now.
func (o *outbox) due(now cassiatally.Instant) []outboxEntry {
	if o.sent > 0 && now.Reached(o.sentAt.Add(resendAfter)) {
		o.sent = 0
	}
	end := min(len(o.entries), outboxWindow)
	if o.sent >= end {
		return nil
	}
	if o.sent == 0 {
		o.sentAt = now
	}
	due := o.entries[o.sent:end]
	o.sent = end
	return due
}

// ack removes the entries up to seq and returns them.
func (o *outbox) ack(now cassiatally.Instant, seq uint64) []outboxEntry {
	if seq <= o.acked || seq > o.seq {
		return nil
	}
	n := int(seq - o.acked)
	done := o.entries[:n]
	o.entries = o.entries[n:]
	o.sent = max(0, o.sent-n)
	o.acked = seq
	o.sentAt = now
	o.progressAt = now
	return done
}

// stalled reports whether the standby has been silent for too long.
func (o *outbox) stalled(now cassiatally.Instant) bool {
	return len(o.entries) > 0 && now.Reached(o.progressAt.Add(replaceAfter))
}
