package sheetfolder_test

import (
	"flag"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/sheetfolder"
)

func record(version, basedOn cassiatally.Version, reappend bool) cassiatally.SheetRecord {
	text := []byte(fmt.Sprintf("sheet %d", version))
	return cassiatally.SheetRecord{Version: version, BasedOn: basedOn, Reappend: reappend, Sheet: text, Digest: cassiatally.DigestOf(text)}
}

// Guards against readers that disagree on the version in force: a version that
// decreases, two winners of one race, and a base that was never accepted.
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
		hasBase  bool
	}{
		{"nothing read", 0, nil, nil, 0, true},
		{"in order", 0, []cassiatally.SheetRecord{record(1, 0, false), record(2, 1, false)}, []bool{true, true}, 2, true},
		{"loser of a race", 0, []cassiatally.SheetRecord{record(1, 0, false), record(1, 0, false)}, []bool{true, false}, 1, true},
		{"version left out", 0, []cassiatally.SheetRecord{record(1, 0, false), record(3, 1, false), record(3, 2, false)}, []bool{true, false, false}, 1, true},
		{"re-append of the version in force", 0, []cassiatally.SheetRecord{record(1, 0, false), record(1, 0, true), record(2, 1, false)}, []bool{true, false, true}, 2, true},
		{"late re-append of an older version", 0, []cassiatally.SheetRecord{record(1, 0, false), record(2, 1, false), record(1, 0, true)}, []bool{true, true, false}, 2, true},
		{"re-append is the base after missed records", 40, []cassiatally.SheetRecord{record(5, 4, false), record(5, 4, true), record(6, 5, false)}, []bool{false, true, true}, 6, true},
		{"later re-append replaces a loser after missed records", 46, []cassiatally.SheetRecord{record(5, 4, true), loser, record(6, 5, true), record(6, 5, true)}, []bool{true, true, true, false}, 6, true},
		{"old re-append is no base after a newer record", 46, []cassiatally.SheetRecord{record(7, 6, false), record(6, 5, true), loser}, []bool{false, false, false}, 0, false},
		{"newer record invalidates an old base", 46, []cassiatally.SheetRecord{record(5, 4, true), record(7, 6, false), loser, record(7, 6, true)}, []bool{true, false, false, true}, 7, true},
		{"no base after missed records", 40, []cassiatally.SheetRecord{record(1, 0, false), record(2, 1, false)}, []bool{false, false}, 0, false},
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
			is.Equal(f.HasBase(), c.hasBase)
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
	is.True(!f.Apply(1, record(3, 2, false))) // precedes version 2 in the log
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
	is.True(f.HasBase())
	f.Start(9)
	is.True(!f.HasBase())
	is.True(!f.Apply(9, record(2, 1, false)))
	is.True(f.Apply(10, record(4, 3, true)))
	is.True(!f.Apply(10, record(5, 4, false))) // read twice
	is.True(f.Apply(11, record(5, 4, false)))
	is.Equal(f.Next(), cassiatally.Offset(12))
}

// world simulates a log, with a reference folder that reads every record.
// Publishers and writers of re-appended records may act on any earlier state.
type world struct {
	records []cassiatally.SheetRecord
	first   int
	// inForceAfter contains the record in force after each record of the log.
	inForceAfter []cassiatally.SheetRecord
	reference    sheetfolder.Folder
}

func (w *world) add(r cassiatally.SheetRecord) {
	w.reference.Apply(cassiatally.Offset(len(w.records)), r)
	current, _ := w.reference.Current()
	w.records = append(w.records, r)
	w.inForceAfter = append(w.inForceAfter, current)
}

func (w *world) publish(read int) {
	var base cassiatally.Version
	if read >= 0 {
		base = w.inForceAfter[read].Version
	}
	r := record(base+1, base, false)
	r.Sheet = fmt.Append(r.Sheet, " at ", len(w.records))
	r.Digest = cassiatally.DigestOf(r.Sheet)
	w.add(r)
}

func (w *world) reappend(read int) {
	if r := w.inForceAfter[read]; r.Version > 0 {
		r.Reappend = true
		w.add(r)
	}
}

// drop removes the oldest record of the log. The record in force is re-appended
// first.
func (w *world) drop() {
	current, _ := w.reference.Current()
	if w.records[w.first].Version == current.Version {
		w.reappend(len(w.records) - 1)
	}
	w.first++
}

func (w *world) read(f *sheetfolder.Folder) {
	f.Start(cassiatally.Offset(w.first))
	for o := int(f.Next()); o < len(w.records); o++ {
		f.Apply(cassiatally.Offset(o), w.records[o])
	}
}

// Guards against readers that start late or miss records and then put another
// sheet in force than a reader of the whole log.
func TestReadersAgree(t *testing.T) {
	// Fewer checks can miss the rare orders of records that need all rules of the
	// folder.
	is.New(t).NoErr(flag.Set("rapid.checks", "2000"))
	// A fixed seed gives the same result in every run.
	is.New(t).NoErr(flag.Set("rapid.seed", "1"))
	readsWithBase := 0
	rapid.Check(t, func(t *rapid.T) {
		w := &world{}
		w.publish(-1)
		readers := make([]sheetfolder.Folder, 3)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			read := max(0, len(w.records)-1-rapid.IntRange(0, 8).Draw(t, "lag"))
			switch rapid.SampledFrom([]string{"publish", "reappend", "drop", "read"}).Draw(t, "step") {
			case "publish":
				w.publish(read)
			case "reappend":
				w.reappend(read)
			case "drop":
				if w.first < len(w.records)-1 {
					w.drop()
				}
			case "read":
				f := &readers[rapid.IntRange(0, len(readers)-1).Draw(t, "reader")]
				w.read(f)
				got, _ := f.Current()
				want, _ := w.reference.Current()
				if f.HasBase() && got.Digest != want.Digest {
					t.Fatalf("reader has %q, the whole log %q", got.Sheet, want.Sheet)
				}
				if w.first > 0 && f.HasBase() {
					readsWithBase++
				}
			}
		}
	})
	is.New(t).True(readsWithBase > 0)
}
