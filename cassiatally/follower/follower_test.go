package follower_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/follower"
)

var self = cassiatally.NodeRef{Node: "a", Incarnation: 1}

type fixedRand struct{ value float64 }

func (fixedRand) Uint64() uint64             { return 0 }
func (fixedRand) IntN(int) int               { return 0 }
func (r fixedRand) Float64() float64         { return r.value }
func at(d time.Duration) cassiatally.Instant { return cassiatally.Instant(d) }

func sheet(v cassiatally.Version, text string) cassiatally.SheetRecord {
	return cassiatally.SheetRecord{
		Version: v, BasedOn: v - 1, Publisher: "p", Sheet: []byte(text), Digest: cassiatally.DigestOf([]byte(text)),
	}
}

// adopted returns the versions that the actions put in force.
func adopted(actions []cassiatally.Action) []cassiatally.Version {
	var out []cassiatally.Version
	for _, a := range actions {
		if a, ok := a.(cassiatally.AdoptSheet); ok {
			out = append(out, a.Record.Version)
		}
	}
	return out
}

func appended(actions []cassiatally.Action) int {
	n := 0
	for _, a := range actions {
		if a, ok := a.(cassiatally.AppendSheet); ok && a.Record.Reappend {
			n++
		}
	}
	return n
}

// Guards against a node without a sheet that puts an old one in force because it
// uses the first peer's answer, or that waits forever for a second answer.
func TestEmptyNode(t *testing.T) {
	damaged := sheet(9, "damaged")
	damaged.Sheet = []byte("other text")
	cases := []struct {
		name    string
		offers  []cassiatally.SheetRecord
		at2s    bool
		version cassiatally.Version
	}{
		{"one peer is not enough", []cassiatally.SheetRecord{sheet(4, "d")}, false, 0},
		{"one peer after 2 s", []cassiatally.SheetRecord{sheet(4, "d")}, true, 4},
		{"the higher of two peers", []cassiatally.SheetRecord{sheet(4, "d"), sheet(3, "c")}, false, 4},
		{"a record with a wrong digest", []cassiatally.SheetRecord{damaged, sheet(3, "c")}, true, 3},
		{"a wrong digest is no second offer", []cassiatally.SheetRecord{damaged, sheet(3, "c")}, false, 0},
		{"no peer answers", nil, true, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := follower.New(follower.Config{Self: self}, fixedRand{})
			f.Tick(at(0))
			for i, r := range c.offers {
				f.HandleRecord(at(time.Second), cassiatally.NodeID(rune('b'+i)), r)
			}
			if c.at2s {
				f.Tick(at(2 * time.Second))
			}
			is.Equal(f.Version(), c.version)
		})
	}
}

// Guards against two readers that both append the sheet in force again, and
// against a sheet that expires because neither does.
func TestReappendBeforeExpiry(t *testing.T) {
	is := is.New(t)
	f := follower.New(follower.Config{Self: self}, fixedRand{value: 0.5})
	is.Equal(len(f.MembersChanged(at(0), []cassiatally.NodeRef{self})), 1) // reads the log
	f.Tick(at(0))
	r := sheet(1, "a")
	batch := follower.Batch{Next: 1, Records: []follower.Record{{Expires: 80 * time.Second, Sheet: &r}}}
	f.HandleBatch(at(0), batch)
	is.Equal(adopted(f.HandleBatch(at(0), follower.Batch{Next: 1})), []cassiatally.Version{1})

	is.Equal(appended(f.Tick(at(59*time.Second))), 0) // more than a quarter is left
	is.Equal(appended(f.Tick(at(60*time.Second))), 0) // waits for its jitter of 2 s
	is.Equal(appended(f.Tick(at(62*time.Second))), 1)
	is.Equal(appended(f.Tick(at(63*time.Second))), 0) // waits for the copy to be read

	r.Reappend = true
	f.HandleBatch(at(64*time.Second), follower.Batch{Next: 2, Records: []follower.Record{{Offset: 1, Expires: 80 * time.Second, Sheet: &r}}})
	f.HandleBatch(at(64*time.Second), follower.Batch{Next: 2})
	for second := 65; second < 124; second++ {
		is.Equal(appended(f.Tick(at(time.Duration(second)*time.Second))), 0) // the new copy has more than a quarter left
	}
	is.Equal(f.Version(), cassiatally.Version(1))
}

// Guards against a node that does not follow the log but reads or appends to it.
func TestOnlyLogReadersUseTheLog(t *testing.T) {
	is := is.New(t)
	f := follower.New(follower.Config{Self: self}, fixedRand{})
	is.Equal(len(f.MembersChanged(at(0), []cassiatally.NodeRef{{Node: "b", Incarnation: 1}})), 0)
	f.HandleRecord(at(0), "b", sheet(1, "a"))
	f.Tick(at(0))
	actions := f.Tick(at(2 * time.Second))
	is.Equal(adopted(actions), []cassiatally.Version{1})
	is.Equal(len(actions), 1)
	is.Equal(f.HandleVersion(at(3*time.Second), "b", 2), []cassiatally.Action{
		cassiatally.Send{To: "b", Message: cassiatally.SheetPull{Have: 1}},
	})
	is.Equal(len(f.HandleVersion(at(3*time.Second), "c", 2)), 0) // one pull at a time
	is.Equal(len(f.HandlePull(at(3*time.Second), "c", cassiatally.SheetPull{Have: 0})), 1)
	is.Equal(len(f.HandlePull(at(3*time.Second), "c", cassiatally.SheetPull{Have: 1})), 0)
}

// Guards against the sheet of a racing loser in force on a node whose log starts
// with that record, because the log has already dropped the winner's.
func TestTruncatedLogStartsWithLoser(t *testing.T) {
	is := is.New(t)
	f := follower.New(follower.Config{Self: self}, fixedRand{})
	f.MembersChanged(at(0), []cassiatally.NodeRef{self})
	f.Tick(at(0))
	loser, winner := sheet(5, "loser"), sheet(5, "winner")
	next := sheet(6, "next")
	winner.Reappend = true
	read := func(offset cassiatally.Offset, records ...cassiatally.SheetRecord) []cassiatally.Version {
		b := follower.Batch{Oldest: 40, Next: offset}
		for i := range records {
			b.Records = append(b.Records, follower.Record{Offset: offset, Expires: time.Hour, Sheet: &records[i]})
			offset++
		}
		b.Next = offset
		return append(adopted(f.HandleBatch(at(0), b)), adopted(f.HandleBatch(at(0), follower.Batch{Oldest: 40, Next: offset}))...)
	}
	is.Equal(read(40, loser), nil)
	f.Tick(at(3 * time.Second))
	is.Equal(f.Version(), cassiatally.Version(0)) // not even without any other record
	is.Equal(read(41, winner), []cassiatally.Version{5})
	is.Equal(read(42, next), []cassiatally.Version{6})
}
