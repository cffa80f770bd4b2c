package claimer

import (
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	// resendAfter is how long a holder waits for an acknowledgement before it
	// resends.
	resendAfter = time.Second
	// minResendInterval is the minimum time between two resends that a standby without
	// any record causes. Each message that it drops for lack of an earlier one causes
	// such an acknowledgement.
	minResendInterval = 100 * time.Millisecond
	// replaceAfter is how long a holder waits for a new acknowledgement before it
	// replaces its standby.
	replaceAfter = 3 * time.Second
	// outboxWindow bounds the unacknowledged messages to a standby. It leaves most
	// of the 1,024 slots of the link writer's queue to other messages.
	outboxWindow = 64
	// maxOutbox is the number of unacknowledged entries from which on a shard
	// accepts no new claims.
	maxOutbox = 4096
	// copyKeys bounds the claims in one message of a copy.
	copyKeys = 64
	// copyBytes is the size of stored answers at which a message of a copy ends; a
	// frame holds a little more than one answer of MaxBodyBytes.
	copyBytes = 512 << 10
)

// outboxEntry is a message to the standby. The claims are looked up when it is
// sent, so the outbox holds only keys.
type outboxEntry struct {
	seq      uint64
	keys     []cassiatally.Key
	isCopy   bool
	lastPart bool
}

// outbox is the ordered queue of unacknowledged copies and updates from a holder
// to its standby.
type outbox struct {
	entries []outboxEntry
	// sentCount counts the entries that have been sent at least once.
	sentCount  int
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
	if o.sentCount > 0 && now.Reached(o.sentAt.Add(resendAfter)) {
		o.sentCount = 0
	}
	end := min(len(o.entries), outboxWindow)
	if o.sentCount >= end {
		return nil
	}
	if o.sentCount == 0 {
		o.sentAt = now
	}
	due := o.entries[o.sentCount:end]
	o.sentCount = end
	return due
}

// resend makes all entries due again. The standby got none of those sent before: it
// learned of its role after the holder.
func (o *outbox) resend(now cassiatally.Instant) {
	if o.acked == 0 && now.Reached(o.sentAt.Add(minResendInterval)) {
		o.sentCount = 0
	}
}

// ack removes the entries up to seq and returns them.
func (o *outbox) ack(now cassiatally.Instant, seq uint64) []outboxEntry {
	if seq <= o.acked || seq > o.seq {
		return nil
	}
	n := int(seq - o.acked)
	done := o.entries[:n]
	o.entries = o.entries[n:]
	o.sentCount = max(0, o.sentCount-n)
	o.acked = seq
	o.sentAt = now
	o.progressAt = now
	return done
}

// stalled reports whether the standby has acknowledged nothing for replaceAfter.
func (o *outbox) stalled(now cassiatally.Instant) bool {
	return len(o.entries) > 0 && now.Reached(o.progressAt.Add(replaceAfter))
}
