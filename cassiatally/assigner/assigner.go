// Package assigner folds the assignments of a data centre's shards from the log
// and from peers into the shard table, and decides when a shard without a live
// holder or standby needs a new pair.
//
// The order of the log alone decides between assignments. An assignment wins when
// its epoch is the next after the epoch in force at its offset, and when it is a
// transition that a correct node makes: its holder is the holder or the standby
// of the epoch in force, or it discards the earlier claims by naming its own epoch
// as CompleteFrom. The epoch in force never decreases.
//
// A reader whose log was truncated takes a re-appended record or a peer's table as
// its base: the assignment in force at a known offset. It applies the records from
// that offset on. A base for an offset before the truncation is not used: the
// winner may have been dropped, and a later loser would be taken for it. When no
// base arrives, as after an outage of a whole data centre, a new pair is appended
// as a re-appended record whose epoch is above every epoch that the log can have
// held: an epoch is never above twice the number of records.
//
// # Usage
//
// The duty that owns the assigner reads the stream and passes in the records:
//
//	a := assigner.New(self, dataCentre, 16)
//	a.StartAt(batch.Oldest)
//	for _, r := range records {
//		a.Fold(now, r.Offset, r.Expires, r.Assignment)
//	}
//	a.EndAt(batch.Next, len(batch.Records) == 0)
//	claims.AssignmentsChanged(now, a.Changed())
//	do(a.Tick(now))
//
// Peers send their tables when the sum of their epochs is higher:
//
//	a.Adopt(table)
//
// A node that does not follow the log depends on the tables of its peers alone.
// While NeedsTable reports true, the owner requests the whole table of a peer.
//
// An Assigner is not safe for concurrent use. Snapshot returns an immutable view.
package assigner

import (
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/faultswitch"
)

const (
	// turnDelay is how long a member waits for each member before it in rendezvous
	// order to append the assignment of a shard without a live pair.
	turnDelay = 2 * time.Second
	// maxReaderDelay bounds the wait for a turn where only the readers of the log
	// can act. They are few, and may all be late in rendezvous order.
	maxReaderDelay = 3 * turnDelay
	// orphanGrace is how long holder and standby must both be absent. The member
	// table of a node that has just started is incomplete, and a new pair discards
	// the claims of the shard.
	orphanGrace = 5 * time.Second
	// rebaseGrace is how long a reader of a truncated log waits for a base before it
	// appends a new pair. Gossip delivers the table of a live peer well before that.
	rebaseGrace = 15 * time.Second
	// maxHeldRecords bounds the records of a shard that wait for a base. A shard has
	// only a few records within the retention of the log.
	maxHeldRecords = 256
	// appendInterval is the minimum time between two appends of one shard, also while the
	// log is down.
	appendInterval = time.Second
	// minKeyNodes is the number of nodes of a data centre that keys need.
	minKeyNodes = 2
	// reappendDivisor divides the retention of a record: the holder appends it again
	// after half of it. The other half is left for outages of the log.
	reappendDivisor = 2
)

// heldRecord is a record that cannot be applied until there is a base.
type heldRecord struct {
	at     cassiatally.Offset
	record cassiatally.Assignment
}

// shard is the table entry of one shard.
type shard struct {
	inForce cassiatally.Assignment
	// contiguousFrom is the offset from which on no record was missed or discarded.
	contiguousFrom cassiatally.Offset
	// held contains the records that wait for a base.
	held []heldRecord
	// baseOffset is the offset of the base. The base covers all records before it.
	baseOffset cassiatally.Offset
	// gapped is set when the log dropped records before they were read, so that the
	// next record with the following epoch may be the loser of a race.
	gapped  bool
	changed bool
	// orphanSince is when the shard was first found without a live pair.
	orphanSince cassiatally.Instant
	orphan      bool
	// expires is the time for which the log keeps the record in force, counted from
	// when it was read; zero when it was not read from the log.
	expires    time.Duration
	reappendAt cassiatally.Instant
	appendedAt cassiatally.Instant
	appended   bool
}

// Assigner is the shard table of one data centre.
type Assigner struct {
	self          cassiatally.NodeRef
	dc            cassiatally.DataCentre
	shards        []shard
	live          []cassiatally.Member
	next          cassiatally.Offset
	started       bool
	readFromStart bool
	caughtUp      bool
}

var _ cassiatally.ShardView = view{}

// New returns an empty table of count shards.
func New(self cassiatally.NodeRef, dc cassiatally.DataCentre, count int) *Assigner {
	return &Assigner{self: self, dc: dc, shards: make([]shard, count)}
}

// StartAt sets the offset at which a batch from the log begins. When it is above
// Next, the log has dropped records before they were read.
func (a *Assigner) StartAt(first cassiatally.Offset) {
	if a.started && first <= a.next {
		return
	}
	a.readFromStart = !a.started && (first == 0 || faultswitch.Off(faultswitch.LogBase))
	a.caughtUp = false
	for i := range a.shards {
		s := &a.shards[i]
		s.gapped = s.inForce.Epoch > 0 && s.baseOffset < first
		s.contiguousFrom = first
		s.held = nil
	}
	a.started = true
	a.next = first
}

// Next returns the offset to read from.
func (a *Assigner) Next() cassiatally.Offset { return a.next }

// EndAt sets where the next batch begins, and whether the reader has reached the
// end of the log. Before that, a shard without an assignment is not considered
// unassigned.
func (a *Assigner) EndAt(next cassiatally.Offset, reachedEnd bool) {
	a.next = max(a.next, next)
	a.caughtUp = a.caughtUp || reachedEnd
}

// Fold applies the record at an offset, which the log drops after expires. It
// reports whether the assignment in force changed.
func (a *Assigner) Fold(now cassiatally.Instant, at cassiatally.Offset, expires time.Duration, as cassiatally.Assignment) bool {
	if !a.started {
		a.StartAt(at)
	}
	if at < a.next {
		return false
	}
	a.next = at + 1
	s := a.shardOf(as.Shard)
	if s == nil {
		return false
	}
	before := s.inForce
	a.applyRecord(s, at, as)
	changed := s.inForce != before
	if withoutReappend(as) == s.inForce {
		s.expires = expires
		s.reappendAt = now.Add(expires / reappendDivisor)
		s.appended = false
	}
	return changed
}

// Adopt applies the table of a peer and reports whether it changed an assignment
// in force. The epoch in force never decreases. An equal entry confirms an
// assignment that a gap in the log has made uncertain.
//
// The table is a base for the records from its offset on. A table whose offset is
// before the first record that this reader has leaves a gap: its assignments are
// put in force, but they are no base.
func (a *Assigner) Adopt(t cassiatally.ShardTable) bool {
	changed := false
	for _, as := range t.Assignments {
		s := a.shardOf(as.Shard)
		if s == nil || as.Epoch < s.inForce.Epoch || (as.Epoch == s.inForce.Epoch && as != s.inForce) {
			continue
		}
		before := s.inForce
		switch {
		case a.hasBase(s):
			if as != s.inForce {
				s.setInForce(as)
			}
			s.baseOffset = max(s.baseOffset, t.Next)
		case t.Next >= s.contiguousFrom:
			a.rebase(s, as, t.Next)
		case as != s.inForce:
			s.setInForce(as)
			s.gapped = true
		}
		changed = changed || s.inForce != before
	}
	return changed
}

// NeedsTable reports whether the owner has to request the whole table of a peer,
// because a shard has no base.
func (a *Assigner) NeedsTable() bool {
	for i := range a.shards {
		if !a.hasBase(&a.shards[i]) {
			return true
		}
	}
	return false
}

// hasBase reports whether the next record of the shard can be applied.
func (a *Assigner) hasBase(s *shard) bool {
	return !s.gapped && (a.readFromStart || s.inForce.Epoch > 0)
}

// withoutReappend returns an assignment without the fields that only a re-appended
// record has.
func withoutReappend(as cassiatally.Assignment) cassiatally.Assignment {
	as.Reappend = false
	as.ReadTo = 0
	return as
}

func (s *shard) setInForce(as cassiatally.Assignment) {
	s.inForce = withoutReappend(as)
	s.gapped = false
	s.changed = true
	s.orphan = false
	s.appended = false
	s.expires = 0
}

// MembersChanged replaces the live members of the data centre.
func (a *Assigner) MembersChanged(_ cassiatally.Instant, live []cassiatally.Member) {
	a.live = append(a.live[:0:0], live...)
}

// Changed returns the assignments that changed since the last call.
func (a *Assigner) Changed() []cassiatally.Assignment {
	var changed []cassiatally.Assignment
	for i := range a.shards {
		if a.shards[i].changed {
			a.shards[i].changed = false
			changed = append(changed, a.shards[i].inForce)
		}
	}
	return changed
}

// CoveredTo returns the offset up to which the table covers the log: this node has
// read the records before it, or its peers had when they sent their tables.
func (a *Assigner) CoveredTo() cassiatally.Offset {
	var covered cassiatally.Offset
	first := true
	for i := range a.shards {
		s := &a.shards[i]
		if !a.hasBase(s) {
			continue
		}
		at := max(a.next, s.baseOffset)
		if first || at < covered {
			covered = at
		}
		first = false
	}
	return covered
}

// Table returns the assignments in force, for a peer that is behind. It omits
// assignments that a gap in the log has made uncertain.
func (a *Assigner) Table() cassiatally.ShardTable {
	table := cassiatally.ShardTable{Next: a.CoveredTo()}
	for i := range a.shards {
		if a.shards[i].inForce.Epoch > 0 && a.hasBase(&a.shards[i]) {
			table.Assignments = append(table.Assignments, a.shards[i].inForce)
		}
	}
	return table
}

// SumEpochs returns the sum of all epochs. Gossip carries it, and a peer with a
// lower sum is behind.
func (a *Assigner) SumEpochs() cassiatally.Epoch {
	var sum cassiatally.Epoch
	for i := range a.shards {
		sum += a.shards[i].inForce.Epoch
	}
	return sum
}

// Tick returns the appends that are due at this node: new pairs for shards that
// lack a live one, and re-appends of assignments before the log drops them.
func (a *Assigner) Tick(now cassiatally.Instant) []cassiatally.Action {
	var out []cassiatally.Action
	for i := range a.shards {
		s := &a.shards[i]
		as, due := a.newPair(now, cassiatally.ShardID(i))
		if !due {
			as, due = a.dueReappend(now, s)
		}
		if !due || (s.appended && !now.Reached(s.appendedAt.Add(appendInterval))) {
			continue
		}
		s.appended = true
		s.appendedAt = now
		out = append(out, cassiatally.AppendAssignment{Assignment: as})
	}
	return out
}

// dueReappend returns the assignment in force when its record has to be appended
// again. A holder that does not follow the log may not have the expiry, so the
// readers of the log append it in the last quarter of the retention.
func (a *Assigner) dueReappend(now cassiatally.Instant, s *shard) (cassiatally.Assignment, bool) {
	as := s.inForce
	as.Reappend = true
	as.ReadTo = max(a.next, s.baseOffset)
	due := s.reappendAt
	if as.Holder != a.self {
		due = due.Add(s.expires / (2 * reappendDivisor))
	}
	return as, a.hasBase(s) && s.expires > 0 && now.Reached(due)
}

// Mint returns a new key of a shard that has a holder. Shards whose holder is
// live come first.
func (a *Assigner) Mint(_ cassiatally.Instant, r cassiatally.Rand) (cassiatally.Key, error) {
	var held, live []cassiatally.Assignment
	for i := range a.shards {
		as := a.shards[i].inForce
		if as.Holder.IsZero() {
			continue
		}
		held = append(held, as)
		if a.isLive(as.Holder) {
			live = append(live, as)
		}
	}
	if len(live) > 0 {
		held = live
	}
	switch {
	case len(held) == 0 && len(notLeaving(a.live)) < minKeyNodes:
		return "", cassiatally.NewError(cassiatally.KindUnavailable, "keys need %d nodes in data centre %s, a holder and its standby; start another one", minKeyNodes, a.dc)
	case len(held) == 0:
		return "", cassiatally.NewError(cassiatally.KindUnavailable, "no shard of data centre %s has a holder; try again", a.dc)
	}
	as := held[r.IntN(len(held))]
	return cassiatally.KeyParts{Shard: as.Shard, Epoch: as.Epoch, Random: r.Uint64()}.Key(), nil
}

func (a *Assigner) shardOf(ref cassiatally.ShardRef) *shard {
	if ref.DataCentre != a.dc || int(ref.Shard) >= len(a.shards) {
		return nil
	}
	return &a.shards[ref.Shard]
}

// Snapshot returns a view of the table as it is now.
func (a *Assigner) Snapshot() cassiatally.ShardView {
	v := view{dc: a.dc, table: make([]cassiatally.Assignment, len(a.shards))}
	for i := range a.shards {
		v.table[i] = a.shards[i].inForce
	}
	return v
}

type view struct {
	dc    cassiatally.DataCentre
	table []cassiatally.Assignment
}

// HolderOf returns the holder of a shard and its epoch.
func (v view) HolderOf(ref cassiatally.ShardRef) (cassiatally.NodeRef, cassiatally.Epoch, bool) {
	if ref.DataCentre != v.dc || int(ref.Shard) >= len(v.table) {
		return cassiatally.NodeRef{}, 0, false
	}
	as := v.table[ref.Shard]
	return as.Holder, as.Epoch, !as.Holder.IsZero()
}
