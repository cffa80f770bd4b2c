// Package sheetfolder decides which records of the stream sheet are accepted. It
// reads the records in log order, so that every reader of the log puts the same
// version in force.
//
// # Usage
//
//	var f sheetfolder.Folder
//	f.Start(batch.Oldest)
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
// When the log dropped a record before it was read, the folder cannot determine
// which of the remaining records were accepted. The next re-appended record is
// then the base. It may be old, because its writer may have been paused. Two
// rules prevent an old base from hiding the version in force. First, a publisher
// appends only a record that is based on a version that it read as accepted, so
// after a record of version n the version in force is at least n. A re-appended
// record below n is no base, and a record above the next version invalidates the
// base. Second, only accepted records are re-appended, so a re-appended record
// with the version in force and another sheet replaces what was folded without
// the missed records.
package sheetfolder

import (
	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/faultswitch"
)

// Folder folds the records of the stream sheet. The zero value expects the
// record at offset 0. It is not safe for concurrent use.
type Folder struct {
	next cassiatally.Offset
	// missed is set when the log dropped records before they were read.
	missed bool
	// hasBase is set when a base was found after records were missed.
	hasBase bool
	// minVersion is the highest version read since records were missed, at the
	// offset minVersionAt. The version in force is at least minVersion.
	minVersion   cassiatally.Version
	minVersionAt cassiatally.Offset
	folded       cassiatally.SheetRecord
	// adopted comes from a peer. It is not merged into folded: a record that is
	// based on it may precede it in the log, and was then not accepted.
	adopted cassiatally.SheetRecord
}

// Start sets the oldest offset that the log still has. It has to be called for
// each batch, before its records are applied.
func (f *Folder) Start(oldest cassiatally.Offset) {
	f.advanceTo(oldest)
	if oldest > f.minVersionAt {
		// An invalid record, based on a version that was never accepted, must not
		// keep the folder without a base after the log has dropped it.
		f.minVersion = 0
	}
}

// advanceTo moves to an offset and records whether others were missed before it.
func (f *Folder) advanceTo(o cassiatally.Offset) {
	if o > f.next {
		f.next = o
		f.missed = true
		f.hasBase = false
	}
}

// Skip passes the next record in log order when it holds no sheet.
func (f *Folder) Skip(o cassiatally.Offset) {
	f.advanceTo(o)
	f.next = max(f.next, o+1)
}

// Apply folds the next record in log order and reports whether it is accepted. It
// ignores a record that was read before, and one whose digest or versions are
// inconsistent.
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
		f.hasBase = true
	}
	if f.missed {
		f.raiseMinVersion(o, r)
	}
	return accepted
}

// raiseMinVersion records that the version in force is at least that of the
// record, which invalidates a lower base.
func (f *Folder) raiseMinVersion(o cassiatally.Offset, r cassiatally.SheetRecord) {
	if r.Version >= f.minVersion {
		f.minVersion = r.Version
		f.minVersionAt = o
	}
	if r.Version > f.folded.Version {
		f.hasBase = false
	}
}

func (f *Folder) accepts(r cassiatally.SheetRecord) bool {
	if !r.Reappend {
		return f.HasBase() && r.BasedOn == f.folded.Version
	}
	if !f.missed || r.Version < max(f.folded.Version, f.minVersion) {
		return false
	}
	return !f.hasBase || r.Version > f.folded.Version || r.Digest != f.folded.Digest
}

// Adopt applies the record in force of a peer that has folded the log, and reports
// whether its version is higher. The version in force never decreases.
func (f *Folder) Adopt(r cassiatally.SheetRecord) bool {
	current, _ := f.Current()
	if cassiatally.DigestOf(r.Sheet) != r.Digest || r.Version <= current.Version && !faultswitch.Off(faultswitch.VersionGrowth) {
		return false
	}
	f.adopted = r
	return true
}

// Current returns the record in force, or false when there is none. While HasBase
// is false, a newer version may be in force in the log.
func (f *Folder) Current() (cassiatally.SheetRecord, bool) {
	lower := faultswitch.Off(faultswitch.VersionGrowth) && f.adopted.Version > 0
	if lower || f.adopted.Version > f.folded.Version {
		return f.adopted, true
	}
	return f.folded, f.folded.Version > 0
}

// HasBase reports whether the folder can determine which record is accepted next.
func (f *Folder) HasBase() bool { return !f.missed || f.hasBase }

// Next returns the offset to read from next.
func (f *Folder) Next() cassiatally.Offset { return f.next }
