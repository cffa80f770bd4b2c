// Package assigner folds the assignments of a data centre's shards from the log
// and from peers into the shard table, and decides when a shard without a live
// holder or standby needs a new pair.
//
// The log is the only arbiter. An assignment wins when its epoch follows the
// epoch in force at its place in the log, and when it is a transition that a
// correct node makes: its holder holds or stands by for the epoch in force, or
// it gives up the history by naming its own epoch as CompleteFrom. An epoch in
// force never goes back.
//
// A reader whose log was cut takes a re-appended record or a peer's table as its
// base, and judges the records after the place for which the base speaks. A base
// for a place before the cut is not used: the winner may have been cut off, and
// a later loser would be taken for it. When neither turns up, as after an outage of a whole data centre, a new
// pair is appended as a re-appended record whose epoch is above every epoch that
// the log can have held: an epoch is never above twice the number of records.
//
// # Usage
//
// The duty that owns the assigner reads the stream and passes on what it reads:
//
//	a := assigner.New(self, dataCentre, 16)
//	a.StartAt(batch.First)
//	for _, r := range records {
//		a.Fold(now, r.Offset, r.Expires, r.Assignment)
//	}
//	a.EndAt(batch.Next, len(batch.Records) == 0)
//	claims.AssignmentsChanged(now, a.Changed())
//	do(a.Tick(now))
//
// Peers pass on their tables when the sum of their epochs is higher:
//
//	a.Adopt(table)
//
// A node that does not follow the log lives on the tables of its peers alone.
// While NeedsTable reports true, the owner asks a peer for its whole table.
//
// An Assigner is not safe for concurrent use. Snapshot returns a view that is
// never changed.
package assigner

import (
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/faultswitch"
)

const (
	// turnDelay is how long each member waits for the members before it in
	// rendezvous order to append the assignment of a shard without a pair.
	turnDelay = 2 * time.Second
	// maxReaderDelay bounds the wait for a turn where only the readers of the log
	// can act. They are few, and may come late in rendezvous order.
	maxReaderDelay = 3 * turnDelay
	// orphanGrace is how long holder and standby must both be absent. The member
	// table of a node that has just started is not complete, and a new pair gives
	// up the history of the shard.
	orphanGrace = 5 * time.Second
	// rebaseGrace is how long a cut log must stay without a base before a new pair
	// is appended. Gossip brings the table of a live peer well before that.
	rebaseGrace = 15 * time.Second
	// maxHeld bounds the records of a shard that wait for a base. A shard has a few
	// records in the time that the log keeps them.
	maxHeld = 256
	// appendRetry bounds the appends of one shard while the log is down.
	appendRetry = time.Second
	// reappendFraction of the time that the log keeps a record passes before its
	// holder appends it again. The other half is left for outages of the log.
	reappendFraction = 2
)

// heldRecord is a record that cannot be judged without a base.
type heldRecord struct {
	at     cassiatally.Offset
	record cassiatally.Assignment
}

// shard is the table entry of one shard.
type shard struct {
	inForce cassiatally.Assignment
	// from is where the run of records that was read without a gap begins.
	from cassiatally.Offset
	// held has the records that wait for a base.
	held []heldRecord
	// judgeFrom is the offset up to which a peer's table has the winners.
	judgeFrom cassiatally.Offset
	// gapped tells that records were dropped before they were read, so the next
	// record with the following epoch may be the loser of a race.
	gapped  bool
	changed bool
	// orphanSince is when the shard was first seen without a pair.
	orphanSince cassiatally.Instant
	orphan      bool
	// expires is how long the log keeps the record in force; zero when it was not
	// read from the log.
	expires    time.Duration
	reappendAt cassiatally.Instant
	appendedAt cassiatally.Instant
	appended   bool
}

// Assigner is the shard table of one data centre.
type Assigner struct {
	self     cassiatally.NodeRef
	dc       cassiatally.DataCentre
	shards   []shard
	live     []cassiatally.Member
	next     cassiatally.Offset
	started  bool
	complete bool
	caughtUp bool
}

var _ cassiatally.ShardView = view{}

// New returns an empty table of count shards.
func New(self cassiatally.NodeRef, dc cassiatally.DataCentre, count int) *Assigner {
	return &Assigner{self: self, dc: dc, shards: make([]shard, count)}
}

// StartAt tells the offset at which a batch from the log begins. A batch that
// begins after the offset that was expected means that records were dropped.
func (a *Assigner) StartAt(first cassiatally.Offset) {
	if a.started && first <= a.next {
		return
	}
	a.complete = !a.started && (first == 0 || faultswitch.Off(faultswitch.LogBase))
	a.caughtUp = false
	for i := range a.shards {
		s := &a.shards[i]
		s.gapped = s.inForce.Epoch > 0 && s.judgeFrom < first
		s.from = first
		s.held = nil
	}
	a.started = true
	a.next = first
}

// Next returns the offset to read from.
func (a *Assigner) Next() cassiatally.Offset { return a.next }

// EndAt tells where the next batch begins, and whether the reader has reached
// the end of the log. Before that, a shard without an assignment is not taken
// to be unassigned.
func (a *Assigner) EndAt(next cassiatally.Offset, reachedEnd bool) {
	a.next = max(a.next, next)
	a.caughtUp = a.caughtUp || reachedEnd
}

// Fold applies the record at an offset, which the log drops after expires. It
// reports whether the table changed.
func (a *Assigner) Fold(now cassiatally.Instant, at cassiatally.Offset, expires time.Duration, as cassiatally.Assignment) bool {
	if !a.started {
		a.StartAt(at)
	}
	if at < a.next {
		return false
	}
	a.next = at + 1
	s := a.entry(as.Shard)
	if s == nil {
		return false
	}
	before := s.inForce
	a.judge(s, at, as)
	changed := s.inForce != before
	if plain(as) == s.inForce {
		s.expires = expires
		s.reappendAt = now.Add(expires / reappendFraction)
		s.appended = false
	}
	return changed
}

// judge applies a record, or holds it until there is a base.
func (a *Assigner) judge(s *shard, at cassiatally.Offset, as cassiatally.Assignment) {
	if a.based(s) {
		if at >= s.judgeFrom && wins(s.inForce, as) {
			s.put(as)
		}
		return
	}
	switch {
	case !as.Reappend || as.ReadTo < s.from || as.Epoch < s.inForce.Epoch:
		s.hold(at, as)
	case startsAnew(as):
		// Every epoch before ReadTo is lower, and so is every one that was read since.
		if as.Epoch > s.highestHeld() {
			a.rebase(s, as, at)
		}
	default:
		s.hold(at, as)
		a.rebase(s, as, as.ReadTo)
	}
}

func (s *shard) hold(at cassiatally.Offset, as cassiatally.Assignment) {
	s.held = append(s.held, heldRecord{at, as})
	if len(s.held) > maxHeld {
		s.from = s.held[0].at + 1
		s.held = s.held[1:]
	}
}

func (s *shard) highestHeld() cassiatally.Epoch {
	highest := s.inForce.Epoch
	for _, h := range s.held {
		highest = max(highest, h.record.Epoch)
	}
	return highest
}

// rebase takes an assignment that was in force at an offset, and judges the
// records that were held from there on.
func (a *Assigner) rebase(s *shard, as cassiatally.Assignment, from cassiatally.Offset) {
	if as.Epoch > s.inForce.Epoch {
		s.put(as)
	}
	s.gapped = false
	s.judgeFrom = max(s.judgeFrom, from)
	held := s.held
	s.held = nil
	for _, h := range held {
		a.judge(s, h.at, h.record)
	}
}

// wins reports whether a record takes the place of the assignment in force.
func wins(cur, as cassiatally.Assignment) bool {
	switch {
	case as.Reappend:
		return startsAnew(as) && as.Epoch > cur.Epoch
	case cur.Epoch == 0:
		return as.Epoch == 1
	default:
		return as.Epoch == cur.Epoch+1 && follows(cur, as)
	}
}

// startsAnew reports whether a record is a new pair without a base. Its epoch is
// above all epochs that the log can have held before ReadTo.
func startsAnew(as cassiatally.Assignment) bool {
	return as.Reappend && as.CompleteFrom == as.Epoch && as.Epoch == epochAfter(as.ReadTo)
}

func epochAfter(next cassiatally.Offset) cassiatally.Epoch { return 2 * cassiatally.Epoch(next+1) }

// follows reports whether a correct node can append next on top of cur.
func follows(cur, next cassiatally.Assignment) bool {
	if next.CompleteFrom < cur.CompleteFrom {
		return false
	}
	return next.CompleteFrom == next.Epoch || next.Holder == cur.Holder || next.Holder == cur.Standby
}

// Adopt applies the table of a peer. An epoch in force never goes back, and an
// equal entry confirms one that a gap in the log has made doubtful.
//
// The table is a base for the records from its offset on. A table from before
// the place where this reader began leaves a gap, so it tells past winners only.
func (a *Assigner) Adopt(t cassiatally.ShardTable) bool {
	changed := false
	for _, as := range t.Assignments {
		s := a.entry(as.Shard)
		if s == nil || as.Epoch < s.inForce.Epoch || (as.Epoch == s.inForce.Epoch && as != s.inForce) {
			continue
		}
		before := s.inForce
		switch {
		case a.based(s):
			if as != s.inForce {
				s.put(as)
			}
			s.judgeFrom = max(s.judgeFrom, t.Next)
		case t.Next >= s.from:
			a.rebase(s, as, t.Next)
		case as != s.inForce:
			s.put(as)
			s.gapped = true
		}
		changed = changed || s.inForce != before
	}
	return changed
}

// NeedsTable reports whether the owner has to ask a peer for its whole table,
// because the log was cut before it was read.
func (a *Assigner) NeedsTable() bool {
	for i := range a.shards {
		if !a.based(&a.shards[i]) {
			return true
		}
	}
	return false
}

// based reports whether the next record in the log can be judged.
func (a *Assigner) based(s *shard) bool {
	return !s.gapped && (a.complete || s.inForce.Epoch > 0)
}

// plain returns an assignment without what only its record in the log has.
func plain(as cassiatally.Assignment) cassiatally.Assignment {
	as.Reappend = false
	as.ReadTo = 0
	return as
}

func (s *shard) put(as cassiatally.Assignment) {
	s.inForce = plain(as)
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

// CoveredTo returns the offset for which the table speaks: what this node has read
// of the log itself, or what its peers had read when they passed on their tables.
func (a *Assigner) CoveredTo() cassiatally.Offset {
	var known cassiatally.Offset
	first := true
	for i := range a.shards {
		s := &a.shards[i]
		if !a.based(s) {
			continue
		}
		at := max(a.next, s.judgeFrom)
		if first || at < known {
			known = at
		}
		first = false
	}
	return known
}

// Table returns the assignments in force, for a peer that is behind. Assignments
// that a gap in the log has made doubtful are left out.
func (a *Assigner) Table() cassiatally.ShardTable {
	table := cassiatally.ShardTable{Next: a.CoveredTo()}
	for i := range a.shards {
		if a.shards[i].inForce.Epoch > 0 && a.based(&a.shards[i]) {
			table.Assignments = append(table.Assignments, a.shards[i].inForce)
		}
	}
	return table
}

// SumEpochs returns the sum of all epochs, which gossip carries.
func (a *Assigner) SumEpochs() cassiatally.Epoch {
	var sum cassiatally.Epoch
	for i := range a.shards {
		sum += a.shards[i].inForce.Epoch
	}
	return sum
}

// Tick returns the appends that are this node's turn: first assignments of
// shards that lack a live pair, and re-appends of the shards that it holds.
func (a *Assigner) Tick(now cassiatally.Instant) []cassiatally.Action {
	var out []cassiatally.Action
	for i := range a.shards {
		s := &a.shards[i]
		as, due := a.fresh(now, cassiatally.ShardID(i))
		if !due {
			as, due = a.reappend(now, s)
		}
		if !due || (s.appended && !now.Reached(s.appendedAt.Add(appendRetry))) {
			continue
		}
		s.appended = true
		s.appendedAt = now
		out = append(out, cassiatally.AppendAssignment{Assignment: as})
	}
	return out
}

// reappend returns the assignment in force when it nears the end of the log. A
// holder that does not follow the log may not know, so that readers of the log
// act in its place in the last quarter of the time.
func (a *Assigner) reappend(now cassiatally.Instant, s *shard) (cassiatally.Assignment, bool) {
	as := s.inForce
	as.Reappend = true
	as.ReadTo = max(a.next, s.judgeFrom)
	due := s.reappendAt
	if as.Holder != a.self {
		due = due.Add(s.expires / (2 * reappendFraction))
	}
	return as, a.based(s) && s.expires > 0 && now.Reached(due)
}

func (a *Assigner) fresh(now cassiatally.Instant, id cassiatally.ShardID) (cassiatally.Assignment, bool) {
	s := &a.shards[id]
	// Only a reader of the log can tell that a shard has no assignment at all.
	unassigned := !a.based(s) || s.inForce.Epoch == 0
	if (unassigned && !a.caughtUp) || !a.unpaired(s) {
		s.orphan = false
		return cassiatally.Assignment{}, false
	}
	if !s.orphan {
		s.orphan = true
		s.orphanSince = now
	}
	ref := cassiatally.ShardRef{DataCentre: a.dc, Shard: id}
	order := staying(cassiatally.Rendezvous(ref.String(), a.live))
	turn := a.turn(order)
	based := a.based(s)
	wait := time.Duration(turn) * turnDelay
	if unassigned {
		wait = min(wait, maxReaderDelay)
	}
	switch {
	case !based:
		wait += rebaseGrace
	case s.inForce.Epoch > 0:
		wait += orphanGrace
	}
	if turn < 0 || !now.Reached(s.orphanSince.Add(wait)) {
		return cassiatally.Assignment{}, false
	}
	standby, ok := cassiatally.StandbyFor(ref, order[0], order)
	epoch := s.inForce.Epoch + 1
	fresh := cassiatally.Assignment{Shard: ref, Holder: order[0].Ref, Standby: standby.Ref}
	if !based {
		epoch = epochAfter(a.next)
		fresh.Reappend = true
		fresh.ReadTo = a.next
	}
	fresh.Epoch = epoch
	fresh.CompleteFrom = epoch
	return fresh, ok
}

// unpaired reports whether neither holder nor standby is live, or unknown.
func (a *Assigner) unpaired(s *shard) bool {
	return !a.based(s) || !a.isLive(s.inForce.Holder) && !a.isLive(s.inForce.Standby)
}

func (a *Assigner) isLive(ref cassiatally.NodeRef) bool {
	for i := range a.live {
		if a.live[i].Ref == ref {
			return true
		}
	}
	return false
}

func (a *Assigner) turn(order []cassiatally.Member) int {
	for i := range order {
		if order[i].Ref == a.self {
			return i
		}
	}
	return -1
}

func staying(members []cassiatally.Member) []cassiatally.Member {
	var stay []cassiatally.Member
	for _, m := range members {
		if !m.Leaving {
			stay = append(stay, m)
		}
	}
	return stay
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
	if len(held) == 0 {
		return "", cassiatally.NewError(cassiatally.KindUnavailable, "no shard of data centre %s has a holder; try again", a.dc)
	}
	as := held[r.IntN(len(held))]
	return cassiatally.KeyParts{Shard: as.Shard, Epoch: as.Epoch, Random: r.Uint64()}.Key(), nil
}

func (a *Assigner) entry(ref cassiatally.ShardRef) *shard {
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
