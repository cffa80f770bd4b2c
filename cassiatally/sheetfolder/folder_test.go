package sheetfolder_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/sheetfolder"
)

func record(version, basedOn cassiatally.Version, reappend bool) cassiatally.SheetRecord {
	text := []byte(fmt.Sprintf("sheet %d", version))
	return cassiatally.SheetRecord{Version: version, BasedOn: basedOn, Reappend: reappend, Sheet: text, Digest: cassiatally.DigestOf(text)}
}

// Guards against readers that disagree on the version in force: a version that
// reverts, two winners of one race, and a base that was never accepted.
func TestFold(t *testing.T) {
	damaged := record(1, 0, false)
	damaged.Sheet = []byte("another sheet")
	loser := record(6, 5, false)
	loser.Sheet = []byte("the loser's sheet")
	loser.Digest = cassiatally.DigestOf(loser.Sheet)
	cases := []struct {
		name     string
		first    cassiatally.Offset
		records  []cassiatally.SheetRecord
		accepted []bool
		version  cassiatally.Version
		based    bool
	}{
		{"nothing read", 0, nil, nil, 0, true},
		{"in order", 0, []cassiatally.SheetRecord{record(1, 0, false), record(2, 1, false)}, []bool{true, true}, 2, true},
		{"loser of a race", 0, []cassiatally.SheetRecord{record(1, 0, false), record(1, 0, false)}, []bool{true, false}, 1, true},
		{"version left out", 0, []cassiatally.SheetRecord{record(1, 0, false), record(3, 1, false), record(3, 2, false)}, []bool{true, false, false}, 1, true},
		{"re-append of the version in force", 0, []cassiatally.SheetRecord{record(1, 0, false), record(1, 0, true), record(2, 1, false)}, []bool{true, false, true}, 2, true},
		{"late re-append of an older version", 0, []cassiatally.SheetRecord{record(1, 0, false), record(2, 1, false), record(1, 0, true)}, []bool{true, true, false}, 2, true},
		{"re-append is the base after a loss", 40, []cassiatally.SheetRecord{record(6, 5, false), record(5, 4, true), record(6, 5, false)}, []bool{false, true, true}, 6, true},
		{"later re-append overrules a loser after a loss", 46, []cassiatally.SheetRecord{record(5, 4, true), loser, record(6, 5, true), record(6, 5, true)}, []bool{true, true, true, false}, 6, true},
		{"no base after a loss", 40, []cassiatally.SheetRecord{record(1, 0, false), record(2, 1, false)}, []bool{false, false}, 0, false},
		{"damaged sheet", 0, []cassiatally.SheetRecord{damaged, record(1, 0, false)}, []bool{false, true}, 1, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var f sheetfolder.Folder
			var accepted []bool
			for i, r := range c.records {
				accepted = append(accepted, f.Apply(c.first+cassiatally.Offset(i), r))
			}
			is.Equal(accepted, c.accepted)
			current, ok := f.Current()
			is.Equal(current.Version, c.version)
			is.Equal(ok, c.version > 0)
			is.Equal(f.Based(), c.based)
		})
	}
}

// Guards against a peer's older sheet that replaces a newer one, and against a
// record that was based on a version before that version was accepted.
func TestAdopt(t *testing.T) {
	is := is.New(t)
	var f sheetfolder.Folder
	is.True(f.Apply(0, record(1, 0, false)))
	is.True(f.Adopt(record(2, 1, false)))
	is.True(!f.Adopt(record(2, 1, false)))
	is.True(!f.Adopt(record(1, 0, false)))
	is.True(!f.Apply(1, record(3, 2, false))) // stands in the log before version 2
	is.True(f.Apply(2, record(2, 1, false)))
	is.True(f.Apply(3, record(3, 2, false)))
	current, _ := f.Current()
	is.Equal(current.Version, cassiatally.Version(3))
}

// Guards against a reader that stays at an old version, or accepts a loser, when
// the log dropped records while it was away.
func TestLossWhileReading(t *testing.T) {
	is := is.New(t)
	var f sheetfolder.Folder
	is.True(f.Apply(0, record(1, 0, false)))
	f.Skip(1)
	is.True(f.Based())
	f.Start(9)
	is.True(!f.Based())
	is.True(!f.Apply(9, record(2, 1, false)))
	is.True(f.Apply(10, record(4, 3, true)))
	is.True(!f.Apply(10, record(5, 4, false))) // read twice
	is.True(f.Apply(11, record(5, 4, false)))
	is.Equal(f.Next(), cassiatally.Offset(12))
}
