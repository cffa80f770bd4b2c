package assigner_test

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/assigner"
)

const dc cassiatally.DataCentre = "dc"

var (
	one   = cassiatally.NodeRef{Node: "one", Incarnation: 1}
	two   = cassiatally.NodeRef{Node: "two", Incarnation: 1}
	three = cassiatally.NodeRef{Node: "three", Incarnation: 1}
)

func assignment(e cassiatally.Epoch, holder, standby cassiatally.NodeRef, from cassiatally.Epoch) cassiatally.Assignment {
	return cassiatally.Assignment{
		Shard: cassiatally.ShardRef{DataCentre: dc}, Epoch: e, Holder: holder, Standby: standby, CompleteFrom: from,
	}
}

func reappended(as cassiatally.Assignment, readTo cassiatally.Offset) cassiatally.Assignment {
	as.Reappend = true
	as.ReadTo = readTo
	return as
}

func members(refs ...cassiatally.NodeRef) []cassiatally.Member {
	var all []cassiatally.Member
	for _, r := range refs {
		all = append(all, cassiatally.Member{Ref: r, DataCentre: dc})
	}
	return all
}

// Guards against two readers of one log that accept different winners, and
// against a reader that accepts the loser of a race whose winner it did not read.
func TestFold(t *testing.T) {
	first := assignment(1, one, two, 1)
	cases := []struct {
		name    string
		start   cassiatally.Offset
		records []cassiatally.Assignment
		epoch   cassiatally.Epoch
		holder  cassiatally.NodeRef
	}{
		{"first assignment from offset 0", 0, []cassiatally.Assignment{first}, 1, one},
		{"first assignment in a truncated log", 7, []cassiatally.Assignment{first}, 0, cassiatally.NodeRef{}},
		{"first of two racing records wins", 0, []cassiatally.Assignment{first, assignment(2, two, three, 1), assignment(2, one, three, 1)}, 2, two},
		{"a gap in the epochs is ignored", 0, []cassiatally.Assignment{first, assignment(3, two, three, 1)}, 1, one},
		{"a holder outside the current pair is ignored", 0, []cassiatally.Assignment{first, assignment(2, three, two, 1)}, 1, one},
		{"a new pair gives up the earlier claims", 0, []cassiatally.Assignment{first, assignment(2, three, two, 2)}, 2, three},
		{"CompleteFrom never decreases", 0, []cassiatally.Assignment{assignment(1, one, two, 1), assignment(2, one, two, 2), assignment(3, one, two, 1)}, 2, one},
		{"a re-appended record is the base of a truncated log", 7, []cassiatally.Assignment{reappended(assignment(5, one, two, 3), 7), assignment(6, two, three, 3)}, 6, two},
		{"a re-appended record never lowers the epoch", 0, []cassiatally.Assignment{first, assignment(2, two, one, 1), reappended(first, 2)}, 2, two},
		{"a base covers the records before its ReadTo", 7, []cassiatally.Assignment{assignment(6, two, three, 3), reappended(assignment(5, one, two, 3), 7), assignment(6, one, three, 3)}, 6, two},
		{"a base from before the truncation is not used", 7, []cassiatally.Assignment{reappended(assignment(5, one, two, 3), 6), assignment(6, one, three, 3)}, 0, cassiatally.NodeRef{}},
		{"an invalid record does not block the winner", 0, []cassiatally.Assignment{first, assignment(2, three, two, 1), assignment(2, two, three, 1)}, 2, two},
		{"a new pair after a truncation needs no base", 9, []cassiatally.Assignment{reappended(assignment(20, three, two, 20), 9), assignment(21, two, one, 20)}, 21, two},
		{"a new pair after a truncation is above all epochs", 0, []cassiatally.Assignment{first, reappended(assignment(20, three, two, 20), 9)}, 20, three},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a := assigner.New(three, dc, 1)
			a.StartAt(c.start)
			for i, r := range c.records {
				a.Fold(0, c.start+cassiatally.Offset(i), time.Hour, r)
			}
			holder, epoch, _ := a.Snapshot().HolderOf(cassiatally.ShardRef{DataCentre: dc})
			is.Equal(epoch, c.epoch)
			is.Equal(holder, c.holder)
			is.Equal(a.SumEpochs(), c.epoch)
		})
	}
}

// Guards against a reader that continues from its old base after the log dropped
// records that it has not read.
func TestGapNeedsNewBase(t *testing.T) {
	is := is.New(t)
	a := assigner.New(three, dc, 1)
	a.StartAt(0)
	a.Fold(0, 0, time.Hour, assignment(1, one, two, 1))
	a.StartAt(9)
	is.True(!a.Fold(0, 9, time.Hour, assignment(2, one, three, 1)))
	is.True(a.NeedsTable())
	is.True(!a.Adopt(cassiatally.ShardTable{Next: 8, Assignments: []cassiatally.Assignment{assignment(1, one, two, 1)}}))
	is.True(a.NeedsTable()) // the table is older than the gap
	is.True(a.Adopt(cassiatally.ShardTable{Next: 10, Assignments: []cassiatally.Assignment{assignment(2, two, three, 1)}}))
	is.True(!a.Adopt(cassiatally.ShardTable{Next: 10, Assignments: []cassiatally.Assignment{assignment(1, one, two, 1)}}))
	is.True(!a.NeedsTable())
	is.True(a.Fold(0, 10, time.Hour, assignment(3, three, one, 1)))
	is.Equal(len(a.Changed()), 1)
	is.Equal(len(a.Changed()), 0)
}

// Guards against a node that does not follow the log and ignores tables, cannot
// send them on, or accepts a loser as the winner when it begins to read.
func TestNodeWithoutLog(t *testing.T) {
	is := is.New(t)
	a := assigner.New(three, dc, 1)
	is.True(a.NeedsTable())
	is.True(a.Adopt(cassiatally.ShardTable{Next: 4, Assignments: []cassiatally.Assignment{assignment(2, one, two, 1)}}))
	is.True(a.Adopt(cassiatally.ShardTable{Next: 6, Assignments: []cassiatally.Assignment{assignment(3, two, three, 1)}}))
	is.Equal(a.Table(), cassiatally.ShardTable{Next: 6, Assignments: []cassiatally.Assignment{assignment(3, two, three, 1)}})
	a.StartAt(5)
	is.True(!a.NeedsTable())
	is.True(!a.Fold(0, 5, time.Hour, assignment(3, one, three, 1)))
	is.True(a.Fold(0, 6, time.Hour, assignment(4, three, one, 1)))
	a.StartAt(9)
	is.True(a.NeedsTable())
}

// Guards against several nodes that append the first assignment concurrently, and
// against a pair that is replaced before the member table is complete.
func TestFirstAssignmentIsOneNodesTurn(t *testing.T) {
	is := is.New(t)
	live := members(one, two, three)
	var first []cassiatally.Assignment
	for _, self := range []cassiatally.NodeRef{one, two, three} {
		a := assigner.New(self, dc, 1)
		a.StartAt(0)
		a.MembersChanged(0, live)
		is.Equal(len(a.Tick(0)), 0) // the end of the log is not reached
		a.EndAt(0, true)
		for _, action := range a.Tick(0) {
			first = append(first, action.(cassiatally.AppendAssignment).Assignment)
		}
	}
	is.Equal(len(first), 1)
	is.Equal(first[0].Epoch, cassiatally.Epoch(1))
	is.Equal(first[0].CompleteFrom, cassiatally.Epoch(1))

	a := assigner.New(first[0].Holder, dc, 1)
	a.StartAt(0)
	a.Fold(0, 0, time.Hour, assignment(1, cassiatally.NodeRef{Node: "gone"}, cassiatally.NodeRef{Node: "lost"}, 1))
	a.EndAt(1, true)
	a.MembersChanged(0, live)
	is.Equal(len(a.Tick(0)), 0)
	out := a.Tick(cassiatally.Instant(time.Minute))
	is.Equal(out[0].(cassiatally.AppendAssignment).Assignment.CompleteFrom, cassiatally.Epoch(2))
	is.Equal(len(a.Tick(cassiatally.Instant(time.Minute))), 0) // the append is under way
}

// Guards against an assignment that the log drops while it is in force.
func TestHolderReappends(t *testing.T) {
	is := is.New(t)
	a := assigner.New(one, dc, 1)
	a.StartAt(0)
	a.MembersChanged(0, members(one, two))
	a.Fold(0, 0, time.Hour, assignment(1, one, two, 1))
	is.Equal(len(a.Tick(cassiatally.Instant(29*time.Minute))), 0)
	out := a.Tick(cassiatally.Instant(31 * time.Minute))
	is.Equal(out, []cassiatally.Action{cassiatally.AppendAssignment{Assignment: reappended(assignment(1, one, two, 1), 1)}})
	other := assigner.New(three, dc, 1)
	other.StartAt(0)
	other.Fold(0, 0, time.Hour, assignment(1, one, two, 1))
	is.Equal(len(other.Tick(cassiatally.Instant(44*time.Minute))), 0)
	is.Equal(len(other.Tick(cassiatally.Instant(46*time.Minute))), 1) // the holder does not follow the log
	a.Fold(cassiatally.Instant(31*time.Minute), 1, time.Hour, reappended(assignment(1, one, two, 1), 1))
	is.Equal(len(a.Tick(cassiatally.Instant(40*time.Minute))), 0)
}

// Guards against keys of a shard without a holder.
func TestMint(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 1))
	a := assigner.New(three, dc, 2)
	_, err := a.Mint(0, r)
	is.Equal(cassiatally.KindOf(err), cassiatally.KindUnavailable)
	a.StartAt(0)
	a.Fold(0, 0, time.Hour, assignment(1, one, two, 1))
	for range 10 {
		k, err := a.Mint(0, r)
		is.NoErr(err)
		parts, err := cassiatally.ParseKey(k)
		is.NoErr(err)
		is.Equal(parts.Shard.Shard, cassiatally.ShardID(0))
		is.Equal(parts.Epoch, cassiatally.Epoch(1))
	}
}

// Guards against an error that does not say what a fleet of one node lacks to mint keys.
func TestMintWithoutASecondNode(t *testing.T) {
	is := is.New(t)
	self := cassiatally.NodeRef{Node: "a", Incarnation: 1}
	a := assigner.New(self, "north", 1)
	a.MembersChanged(0, []cassiatally.Member{{Ref: self}})
	_, err := a.Mint(0, rand.New(rand.NewPCG(1, 1)))
	is.Equal(cassiatally.KindOf(err), cassiatally.KindUnavailable)
	is.True(strings.Contains(err.Error(), "keys need 2 nodes in data centre north"))
}
