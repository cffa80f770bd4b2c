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
//	a.Adopt(table.Assignments)
//
// An Assigner is not safe for concurrent use. Snapshot returns a view that is
// never changed.
package assigner

import (
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	// turnDelay is how long each member waits for the members before it in
	// rendezvous order to append the assignment of a shard without a pair.
	turnDelay = 2 * time.Second
	// orphanGrace is how long holder and standby must both be absent. The member
	// table of a node that has just started is not complete, and a new pair gives
	// up the history of the shard.
	orphanGrace = 5 * time.Second
	// appendRetry bounds the appends of one shard while the log is down.
	appendRetry = time.Second
	// reappendFraction of the time that the log keeps a record passes before its
	// holder appends it again. The other half is left for outages of the log.
	reappendFraction = 2
)

// shard is the table entry of one shard.
type shard struct {
	inForce cassiatally.Assignment
	// highest is the highest epoch read from the log, whether adopted or not.
	highest cassiatally.Epoch
	// gapped tells that records were dropped before they were read, so the next
	// record with the following epoch may be the loser of a race.
	gapped  bool
	changed bool
	// orphanSince is when the shard was first seen without a pair.
	orphanSince cassiatally.Instant
	orphan      bool
	// reappendAt is when the holder appends the assignment again; zero for one
	// that came from a peer.
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
	switch {
	case !a.started:
		a.started = true
		a.complete = first == 0
		a.next = first
	case first > a.next:
		a.complete = false
		a.next = first
		a.caughtUp = false
		for i := range a.shards {
			a.shards[i].gapped = true
		}
	}
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
	wins := a.wins(s, as)
	s.highest = max(s.highest, as.Epoch)
	if wins {
		s.put(as)
	}
	if as.Epoch == s.inForce.Epoch && (wins || as.Reappend) {
		s.reappendAt = now.Add(expires / reappendFraction)
		s.appended = false
	}
	return wins
}

func (a *Assigner) wins(s *shard, as cassiatally.Assignment) bool {
	switch {
	case as.Reappend:
		return (s.gapped || !a.complete) && as.Epoch > s.inForce.Epoch && as.Epoch >= s.highest
	case s.gapped:
		return false
	case s.inForce.Epoch == 0:
		return a.complete && as.Epoch == 1
	default:
		// A higher epoch that was read while there was no base means that this
		// record is not the first with its epoch.
		return as.Epoch == s.inForce.Epoch+1 && as.Epoch > s.highest && follows(s.inForce, as)
	}
}

// follows reports whether a correct node can append next on top of cur.
func follows(cur, next cassiatally.Assignment) bool {
	if next.CompleteFrom < cur.CompleteFrom {
		return false
	}
	return next.CompleteFrom == next.Epoch || next.Holder == cur.Holder || next.Holder == cur.Standby
}

// Adopt applies the table of a peer. Entries of epochs that are not higher than
// the epoch in force are ignored.
func (a *Assigner) Adopt(table []cassiatally.Assignment) bool {
	changed := false
	for _, as := range table {
		s := a.entry(as.Shard)
		if s == nil || as.Epoch <= s.inForce.Epoch {
			continue
		}
		s.put(as)
		changed = true
	}
	return changed
}

func (s *shard) put(as cassiatally.Assignment) {
	as.Reappend = false
	s.inForce = as
	s.gapped = false
	s.changed = true
	s.orphan = false
	s.appended = false
	s.reappendAt = 0
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

// Table returns all assignments in force, for a peer that is behind.
func (a *Assigner) Table() []cassiatally.Assignment {
	var table []cassiatally.Assignment
	for i := range a.shards {
		if a.shards[i].inForce.Epoch > 0 {
			table = append(table, a.shards[i].inForce)
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

func (a *Assigner) reappend(now cassiatally.Instant, s *shard) (cassiatally.Assignment, bool) {
	as := s.inForce
	as.Reappend = true
	return as, as.Holder == a.self && s.reappendAt > 0 && now.Reached(s.reappendAt)
}

func (a *Assigner) fresh(now cassiatally.Instant, id cassiatally.ShardID) (cassiatally.Assignment, bool) {
	s := &a.shards[id]
	if !a.caughtUp || !a.unpaired(s) {
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
	wait := time.Duration(turn) * turnDelay
	if s.inForce.Epoch > 0 {
		wait += orphanGrace
	}
	if turn < 0 || !now.Reached(s.orphanSince.Add(wait)) {
		return cassiatally.Assignment{}, false
	}
	standby, ok := cassiatally.StandbyFor(ref, order[0], order)
	epoch := s.inForce.Epoch + 1
	return cassiatally.Assignment{
		Shard: ref, Epoch: epoch, Holder: order[0].Ref, Standby: standby.Ref, CompleteFrom: epoch,
	}, ok
}

// unpaired reports whether neither holder nor standby is live.
func (a *Assigner) unpaired(s *shard) bool {
	if s.gapped || (s.inForce.Epoch == 0 && !a.complete) {
		return false
	}
	return !a.isLive(s.inForce.Holder) && !a.isLive(s.inForce.Standby)
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
