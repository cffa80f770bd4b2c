// Package sheetfolder decides which records of the stream sheet are accepted. It
// reads the records in log order, so that every reader of the log comes to the
// same version.
//
// # Usage
//
//	var f sheetfolder.Folder
//	f.Start(batch.First)
//	for _, r := range batch.Records {
//		if f.Apply(r.Offset, decoded(r)) {
//			use(r)
//		}
//	}
//	current, ok := f.Current()
//
// A record is accepted when it is based on the version in force and its version
// is the next one. A re-appended record of the version in force changes nothing.
//
// When the log no longer has a record that was not read, it cannot be told which
// of the records that are left were accepted. The next re-appended record is
// then the base. It may be old, because its writer may have been paused. Two
// rules keep an old base from hiding the version in force. A publisher appends
// only what is based on a version that it read as accepted, so after a record of
// version n the version in force is at least n; a re-appended record below that
// is no base, and a record above the next version takes the base away. And only
// accepted records are re-appended, so one with the version in force and another
// sheet overrules what was folded without the lost records.
package sheetfolder

import (
	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/faultswitch"
)

// Folder folds the records of the stream sheet. The zero value expects the
// record at offset 0. It is not safe for concurrent use.
type Folder struct {
	next cassiatally.Offset
	// lost is set when records were dropped by the log before they were read.
	lost bool
	// based is set when a base was found after the loss.
	based bool
	// atLeast is the highest version read since the loss, at the offset seenAt.
	atLeast cassiatally.Version
	seenAt  cassiatally.Offset
	folded  cassiatally.SheetRecord
	// adopted comes from a peer. It is kept apart from folded: a record that is
	// based on it may stand in the log before it, and was then not accepted.
	adopted cassiatally.SheetRecord
}

// Start tells the oldest offset that the log still has. It is called for each
// batch before its records.
func (f *Folder) Start(first cassiatally.Offset) {
	f.reach(first)
	if first > f.seenAt {
		// A record that nobody could have based on an accepted version must not
		// keep the folder without a base for longer than the log has it.
		f.atLeast = 0
	}
}

// reach moves on to an offset and notes whether records were left out.
func (f *Folder) reach(o cassiatally.Offset) {
	if o > f.next {
		f.next = o
		f.lost = true
		f.based = false
	}
}

// Skip takes the next record in log order when it holds no sheet.
func (f *Folder) Skip(o cassiatally.Offset) {
	f.reach(o)
	f.next = max(f.next, o+1)
}

// Apply takes the next record in log order and reports whether it is accepted. A
// record that was read before is ignored, as is one whose digest or versions do not match.
func (f *Folder) Apply(o cassiatally.Offset, r cassiatally.SheetRecord) (accepted bool) {
	if o < f.next {
		return false
	}
	f.Skip(o)
	if cassiatally.DigestOf(r.Sheet) != r.Digest || r.Version != r.BasedOn+1 {
		return false
	}
	accepted = f.accepts(r)
	if accepted {
		f.folded = r
		f.based = true
	}
	if f.lost {
		f.observe(o, r)
	}
	return accepted
}

// observe notes that the version in force is at least that of the record.
func (f *Folder) observe(o cassiatally.Offset, r cassiatally.SheetRecord) {
	if r.Version >= f.atLeast {
		f.atLeast = r.Version
		f.seenAt = o
	}
	if r.Version > f.folded.Version {
		f.based = false
	}
}

func (f *Folder) accepts(r cassiatally.SheetRecord) bool {
	if !r.Reappend {
		return f.HasBase() && r.BasedOn == f.folded.Version
	}
	if !f.lost || r.Version < max(f.folded.Version, f.atLeast) {
		return false
	}
	return !f.based || r.Version > f.folded.Version || r.Digest != f.folded.Digest
}

// Adopt takes the version in force of a peer that has folded the log, and
// reports whether it is newer. The version in force only grows.
func (f *Folder) Adopt(r cassiatally.SheetRecord) bool {
	current, _ := f.Current()
	if cassiatally.DigestOf(r.Sheet) != r.Digest || r.Version <= current.Version && !faultswitch.Off(faultswitch.VersionGrowth) {
		return false
	}
	f.adopted = r
	return true
}

// Current returns the record in force. It is false when no version is known.
// While HasBase is false, a newer version may be in force.
func (f *Folder) Current() (cassiatally.SheetRecord, bool) {
	lower := faultswitch.Off(faultswitch.VersionGrowth) && f.adopted.Version > 0
	if lower || f.adopted.Version > f.folded.Version {
		return f.adopted, true
	}
	return f.folded, f.folded.Version > 0
}

// HasBase reports whether the next accepted record can be recognised.
func (f *Folder) HasBase() bool { return !f.lost || f.based }

// Next returns the offset to read from next.
func (f *Folder) Next() cassiatally.Offset { return f.next }
