// Package follower decides which sheet is in force on a node. It folds the log
// when the node is a log reader of its data centre, accepts records from other
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
// SheetRecord. The version in force never decreases.
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

	// pullInterval is the minimum time between two pulls of records from peers.
	pullInterval = 200 * time.Millisecond
	// searchTimeout and searchPeers bound how long a node that starts without a
	// sheet queries its peers for a higher version before it puts one in force.
	searchTimeout = 2 * time.Second
	searchPeers   = 2
	// reappendDivisor divides the retention: the record in force is appended again
	// when a quarter of it is left. That leaves time for an outage of the log.
	reappendDivisor = 4
	// reappendInterval is the minimum time between two appends of the record in force.
	reappendInterval = 5 * time.Second
	// reappendJitter bounds the random delay that keeps two log readers from
	// appending at the same time.
	reappendJitter = 4 * time.Second
)

// Config identifies the node of a follower.
type Config struct{ Self cassiatally.NodeRef }

// Record is a decoded record of the log, which drops it after Expires.
type Record struct {
	Offset  cassiatally.Offset
	Expires time.Duration
	// Sheet is nil when the record holds no sheet.
	Sheet *cassiatally.SheetRecord
}

// Batch is a decoded result of a read. Oldest is the oldest offset that the log
// still has, Next the offset to read from next.
type Batch struct {
	Oldest, Next cassiatally.Offset
	Records      []Record
}

// Follower tracks the sheet in force of one node. It is not safe for concurrent
// use.
type Follower struct {
	cfg    Config
	rand   cassiatally.Rand
	folder sheetfolder.Folder

	started    bool
	startedAt  cassiatally.Instant
	searchDone bool
	// offers has the record that each peer sent during the search.
	offers  map[cassiatally.NodeID]cassiatally.SheetRecord
	inForce cassiatally.Version

	followsLog bool
	reading    bool
	caughtUp   bool
	pulledAt   cassiatally.Instant

	// baseExpires is when the log drops the newest record that a reader without a
	// sheet can start from: the one at offset 0 or a re-appended one. Until then the
	// log has all records after it, among them the one in force.
	baseExpires      cassiatally.Instant
	hasBase          bool
	longestRetention time.Duration
	reappendAt       cassiatally.Instant
}

// New returns a follower without a sheet.
func New(cfg Config, rand cassiatally.Rand) *Follower {
	return &Follower{cfg: cfg, rand: rand, offers: make(map[cassiatally.NodeID]cassiatally.SheetRecord)}
}

// Version returns the version in force.
func (f *Follower) Version() cassiatally.Version { return f.inForce }

// MembersChanged sets the nodes of the data centre that follow the log.
func (f *Follower) MembersChanged(_ cassiatally.Instant, readers []cassiatally.NodeRef) []cassiatally.Action {
	f.followsLog = false
	for _, r := range readers {
		f.followsLog = f.followsLog || r == f.cfg.Self
	}
	return f.requestRead()
}

// Tick carries out the work that is due at now.
func (f *Follower) Tick(now cassiatally.Instant) []cassiatally.Action {
	if !f.started {
		f.started = true
		f.startedAt = now
	}
	actions := f.endSearch(now)
	actions = append(actions, f.reappend(now)...)
	return append(actions, f.requestRead()...)
}

func (f *Follower) requestRead() []cassiatally.Action {
	if f.reading || !f.followsLog {
		return nil
	}
	f.reading = true
	return []cassiatally.Action{cassiatally.ReadLog{Stream: Stream, From: f.folder.Next()}}
}

// ReadFailed reports that the log did not answer, and returns the next ReadLog.
func (f *Follower) ReadFailed(_ cassiatally.Instant) []cassiatally.Action {
	f.reading = false
	f.caughtUp = false
	return f.requestRead()
}

// HandleBatch folds the result of a ReadLog.
func (f *Follower) HandleBatch(now cassiatally.Instant, b Batch) []cassiatally.Action {
	f.reading = false
	f.folder.Start(b.Oldest)
	for _, r := range b.Records {
		if r.Sheet == nil {
			f.folder.Skip(r.Offset)
		} else {
			f.folder.Apply(r.Offset, *r.Sheet)
		}
		f.recordBase(now, r)
	}
	f.caughtUp = len(b.Records) == 0
	f.searchDone = f.searchDone || (f.caughtUp && f.folder.HasBase())
	return append(f.adopt(), f.requestRead()...)
}

func (f *Follower) recordBase(now cassiatally.Instant, r Record) {
	f.longestRetention = max(f.longestRetention, r.Expires)
	if r.Offset == 0 || f.isCopy(r.Sheet) {
		f.hasBase = true
		f.baseExpires = now.Add(r.Expires)
	}
}

// isCopy reports whether a record is a re-appended copy of the one in force.
func (f *Follower) isCopy(r *cassiatally.SheetRecord) bool {
	current, ok := f.folder.Current()
	return ok && r != nil && r.Reappend && r.Version == current.Version && r.Digest == current.Digest
}

// adopt puts the current record of the folder in force when its version is higher.
func (f *Follower) adopt() []cassiatally.Action {
	current, ok := f.folder.Current()
	lower := current.Version <= f.inForce
	if faultswitch.Off(faultswitch.VersionGrowth) {
		lower = current.Version == f.inForce
	}
	if !ok || !f.searchDone || lower {
		return nil
	}
	f.inForce = current.Version
	f.offers = nil
	return []cassiatally.Action{cassiatally.AdoptSheet{Record: current}}
}

// endSearch ends the search of a node that started without a sheet, after
// searchTimeout or when searchPeers peers have sent a record.
func (f *Follower) endSearch(now cassiatally.Instant) []cassiatally.Action {
	if !f.searchDone && (len(f.offers) >= searchPeers || now.Sub(f.startedAt) >= searchTimeout) {
		f.searchDone = true
	}
	return f.adopt()
}

// HandleVersion pulls the record of a peer whose version in force is higher.
func (f *Follower) HandleVersion(now cassiatally.Instant, from cassiatally.NodeID, v cassiatally.Version) []cassiatally.Action {
	_, offered := f.offers[from]
	missing := v > f.inForce || (!f.searchDone && v > 0 && !offered)
	if !missing || (f.searchDone && !now.Reached(f.pulledAt.Add(pullInterval))) {
		return nil
	}
	f.pulledAt = now
	return []cassiatally.Action{cassiatally.Send{To: from, Message: cassiatally.SheetPull{Have: f.inForce}}}
}

// HandlePull sends the record in force to a peer that has a lower version.
func (f *Follower) HandlePull(_ cassiatally.Instant, from cassiatally.NodeID, m cassiatally.SheetPull) []cassiatally.Action {
	current, ok := f.folder.Current()
	if !ok || current.Version != f.inForce || current.Version <= m.Have {
		return nil
	}
	return []cassiatally.Action{cassiatally.Send{To: from, Message: current}}
}

// HandleRecord applies a record from a peer, unless its digest is wrong.
func (f *Follower) HandleRecord(now cassiatally.Instant, from cassiatally.NodeID, r cassiatally.SheetRecord) []cassiatally.Action {
	if cassiatally.DigestOf(r.Sheet) != r.Digest {
		return nil
	}
	f.folder.Adopt(r)
	if !f.searchDone {
		f.offers[from] = r
	}
	return f.endSearch(now)
}

// reappend appends the record in force again when the log is about to drop the
// newest base. The age of the record in force is no substitute: with frequent
// publishing it is always young, yet the log drops the base, readers that restart
// find none, and finally no reader is left that accepts new sheets.
func (f *Follower) reappend(now cassiatally.Instant) []cassiatally.Action {
	if !f.followsLog || !f.caughtUp || f.inForce == 0 || !f.baseExpiresSoon(now) {
		f.reappendAt = 0
		return nil
	}
	if f.reappendAt == 0 {
		f.reappendAt = now.Add(time.Duration(f.rand.Float64() * float64(reappendJitter)))
	}
	if now.Before(f.reappendAt) {
		return nil
	}
	f.reappendAt = now.Add(reappendInterval)
	current, _ := f.folder.Current()
	current.Reappend = true
	return []cassiatally.Action{cassiatally.AppendSheet{Record: current}}
}

func (f *Follower) baseExpiresSoon(now cassiatally.Instant) bool {
	return !f.hasBase || now.Reached(f.baseExpires.Add(-f.longestRetention/reappendDivisor))
}
