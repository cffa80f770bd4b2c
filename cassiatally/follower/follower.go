// Package follower decides which sheet is in force on a node. It folds the log
// when the node is a log reader of its data centre, takes records from other
// nodes, and appends the record in force again before the log drops it.
//
// # Usage
//
//	f := follower.New(follower.Config{Self: self}, rand)
//	do(f.MembersChanged(now, logReaders))
//	do(f.HandleBatch(now, batch)) // after a ReadLog action
//	do(f.HandleVersion(now, peer, version))
//	do(f.Tick(now))               // every 100 ms
//
// Actions are ReadLog, AppendSheet, AdoptSheet, and Send of SheetPull and
// SheetRecord. The version in force only grows.
package follower

import (
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/faultswitch"
	"github.com/cassiatally/cassiatally/cassiatally/sheetfolder"
)

const (
	// Stream is the stream of the log that holds the sheets.
	Stream = cassiatally.Stream("sheet")

	// pullPause bounds how often records are pulled from peers.
	pullPause = 200 * time.Millisecond
	// settleTime and settlePeers bound how long a node that starts empty looks for
	// a higher version before it puts one in force.
	settleTime  = 2 * time.Second
	settlePeers = 2
	// reappendFraction is the part of the retention that is left when the record in
	// force is appended again, as the divisor. It leaves time for an outage of the log.
	reappendFraction = 4
	// reappendPause is the least time between two appends of the record in force.
	reappendPause = 5 * time.Second
	// reappendJitter keeps two log readers from appending at the same time.
	reappendJitter = 4 * time.Second
)

// Config has what a follower knows about its node.
type Config struct{ Self cassiatally.NodeRef }

// Record is a decoded record of the log.
type Record struct {
	Offset  cassiatally.Offset
	Expires time.Duration
	// Sheet is nil when the record holds no sheet.
	Sheet *cassiatally.SheetRecord
}

// Batch is a decoded run of records of the log.
type Batch struct {
	First, Next cassiatally.Offset
	Records     []Record
}

// Follower is the sheet in force of one node.
type Follower struct {
	cfg    Config
	rand   cassiatally.Rand
	folder sheetfolder.Folder

	started   bool
	startedAt cassiatally.Instant
	settled   bool
	offers    map[cassiatally.NodeID]cassiatally.SheetRecord
	inForce   cassiatally.Version

	follows  bool
	reading  bool
	caughtUp bool
	pulledAt cassiatally.Instant

	// baseExpires is when the log drops the newest record that a reader without a
	// sheet can start from: the one at offset 0 or a re-appended one. All records
	// after it are still there, the one in force among them.
	baseExpires cassiatally.Instant
	based       bool
	longest     time.Duration
	appendAt    cassiatally.Instant
}

// New returns a follower without a sheet.
func New(cfg Config, rand cassiatally.Rand) *Follower {
	return &Follower{cfg: cfg, rand: rand, offers: make(map[cassiatally.NodeID]cassiatally.SheetRecord)}
}

// Version returns the version in force.
func (f *Follower) Version() cassiatally.Version { return f.inForce }

// MembersChanged tells which nodes of the data centre follow the log.
func (f *Follower) MembersChanged(_ cassiatally.Instant, readers []cassiatally.NodeRef) []cassiatally.Action {
	f.follows = false
	for _, r := range readers {
		f.follows = f.follows || r == f.cfg.Self
	}
	return f.read()
}

// Tick does what is due by time.
func (f *Follower) Tick(now cassiatally.Instant) []cassiatally.Action {
	if !f.started {
		f.started = true
		f.startedAt = now
	}
	actions := f.settle(now)
	actions = append(actions, f.reappend(now)...)
	return append(actions, f.read()...)
}

func (f *Follower) read() []cassiatally.Action {
	if f.reading || !f.follows {
		return nil
	}
	f.reading = true
	return []cassiatally.Action{cassiatally.ReadLog{Stream: Stream, From: f.folder.Next()}}
}

// ReadFailed tells that the log did not answer.
func (f *Follower) ReadFailed(_ cassiatally.Instant) []cassiatally.Action {
	f.reading = false
	f.caughtUp = false
	return f.read()
}

// HandleBatch takes what a ReadLog returned.
func (f *Follower) HandleBatch(now cassiatally.Instant, b Batch) []cassiatally.Action {
	f.reading = false
	f.folder.Start(b.First)
	for _, r := range b.Records {
		if r.Sheet == nil {
			f.folder.Skip(r.Offset)
		} else {
			f.folder.Apply(r.Offset, *r.Sheet)
		}
		f.noteBase(now, r)
	}
	f.caughtUp = len(b.Records) == 0
	f.settled = f.settled || (f.caughtUp && f.folder.HasBase())
	return append(f.adopt(), f.read()...)
}

func (f *Follower) noteBase(now cassiatally.Instant, r Record) {
	f.longest = max(f.longest, r.Expires)
	if r.Offset == 0 || f.isCopy(r.Sheet) {
		f.based = true
		f.baseExpires = now.Add(r.Expires)
	}
}

// isCopy reports whether a record is a re-appended copy of the one in force.
func (f *Follower) isCopy(r *cassiatally.SheetRecord) bool {
	current, ok := f.folder.Current()
	return ok && r != nil && r.Reappend && r.Version == current.Version && r.Digest == current.Digest
}

// adopt puts the current record in force when it is newer.
func (f *Follower) adopt() []cassiatally.Action {
	current, ok := f.folder.Current()
	lower := current.Version <= f.inForce
	if faultswitch.Off(faultswitch.VersionGrowth) {
		lower = current.Version == f.inForce
	}
	if !ok || !f.settled || lower {
		return nil
	}
	f.inForce = current.Version
	f.offers = nil
	return []cassiatally.Action{cassiatally.AdoptSheet{Record: current}}
}

// settle ends the search of a node that started empty.
func (f *Follower) settle(now cassiatally.Instant) []cassiatally.Action {
	if !f.settled && (len(f.offers) >= settlePeers || now.Sub(f.startedAt) >= settleTime) {
		f.settled = true
	}
	return f.adopt()
}

// HandleVersion takes the version that a peer has in force.
func (f *Follower) HandleVersion(now cassiatally.Instant, from cassiatally.NodeID, v cassiatally.Version) []cassiatally.Action {
	_, offered := f.offers[from]
	missing := v > f.inForce || (!f.settled && v > 0 && !offered)
	if !missing || (f.settled && !now.Reached(f.pulledAt.Add(pullPause))) {
		return nil
	}
	f.pulledAt = now
	return []cassiatally.Action{cassiatally.Send{To: from, Message: cassiatally.SheetPull{Have: f.inForce}}}
}

// HandlePull answers a peer that asks for a newer record.
func (f *Follower) HandlePull(_ cassiatally.Instant, from cassiatally.NodeID, m cassiatally.SheetPull) []cassiatally.Action {
	current, ok := f.folder.Current()
	if !ok || current.Version != f.inForce || current.Version <= m.Have {
		return nil
	}
	return []cassiatally.Action{cassiatally.Send{To: from, Message: current}}
}

// HandleRecord takes a record from a peer.
func (f *Follower) HandleRecord(now cassiatally.Instant, from cassiatally.NodeID, r cassiatally.SheetRecord) []cassiatally.Action {
	if cassiatally.DigestOf(r.Sheet) != r.Digest {
		return nil
	}
	f.folder.Adopt(r)
	if !f.settled {
		f.offers[from] = r
	}
	return f.settle(now)
}

// reappend appends the record in force again when the log is about to drop the
// newest base. To wait for the newest copy instead is not enough: with frequent
// publishing it is always young, the log is truncated all the same, and readers
// that restart find no base, until no reader is left that accepts new sheets.
func (f *Follower) reappend(now cassiatally.Instant) []cassiatally.Action {
	if !f.follows || !f.caughtUp || f.inForce == 0 || !f.baseEnds(now) {
		f.appendAt = 0
		return nil
	}
	if f.appendAt == 0 {
		f.appendAt = now.Add(time.Duration(f.rand.Float64() * float64(reappendJitter)))
	}
	if now.Before(f.appendAt) {
		return nil
	}
	f.appendAt = now.Add(reappendPause)
	current, _ := f.folder.Current()
	current.Reappend = true
	return []cassiatally.Action{cassiatally.AppendSheet{Record: current}}
}

func (f *Follower) baseEnds(now cassiatally.Instant) bool {
	return !f.based || now.Reached(f.baseExpires.Add(-f.longest/reappendFraction))
}
