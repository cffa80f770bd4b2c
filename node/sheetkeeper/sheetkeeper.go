// Package sheetkeeper is the duty that owns the sheet in force on a node: it follows
// the log, exchanges sheet records with other nodes, and provides the policies of the
// sheet to readers.
//
// # Usage
//
//	k := &sheetkeeper.Keeper{Follower: f, Clock: clock, Log: driver, OnSheet: adopted, ...}
//	k.Run()
//	defer k.Close()
//	policies, ok := k.Policies()
package sheetkeeper

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/follower"
	"github.com/cassiatally/cassiatally/cassiatally/looper"
	"github.com/cassiatally/cassiatally/cassiatally/protocol"
	"github.com/cassiatally/cassiatally/cassiatally/ranker"
	"github.com/cassiatally/cassiatally/cassiatally/recoverer"
	"github.com/cassiatally/cassiatally/cassiatally/registrar"
	"github.com/cassiatally/cassiatally/cassiatally/ring"
	"github.com/cassiatally/cassiatally/cassiatally/sheetparser"
	"github.com/cassiatally/cassiatally/node/logdriver"
)

const (
	inboxSize = 256
	// batchReserve is the inbox space that other messages leave free for batches from the
	// log.
	batchReserve   = 32
	tickInterval   = 100 * time.Millisecond
	appendRingSize = 8
	// sheetName is the file name in problems of a sheet that was read from the log.
	sheetName = "sheet.csv"
)

// Keeper is the duty. Its fields are set before Run.
type Keeper struct {
	Self      cassiatally.NodeRef
	Follower  *follower.Follower
	Clock     cassiatally.Clock
	Transport cassiatally.Transport
	Log       *logdriver.Driver
	Codec     *protocol.Codec
	Logger    cassiatally.Logger
	// OnSheet is called by the duty with each sheet that comes into force; it must
	// not block.
	OnSheet func(*ranker.Ranker)

	inbox      *ring.Ring[event]
	duty       looper.Looper[event]
	appends    *ring.Ring[cassiatally.SheetRecord]
	helpers    sync.WaitGroup
	ctx        context.Context
	cancel     context.CancelFunc
	inForce    atomic.Pointer[ranker.Ranker]
	followsLog atomic.Bool
	// lastContact is when the log last answered; 0 for never.
	lastContact atomic.Int64
}

type event interface {
	apply(k *Keeper, now cassiatally.Instant)
}

type (
	messageEvent struct {
		from cassiatally.NodeRef
		m    cassiatally.Message
	}
	versionEvent struct {
		from    cassiatally.NodeRef
		version cassiatally.Version
	}
	membersEvent struct{ view *registrar.View }
	batchEvent   struct {
		batch cassiatally.Batch
		err   error
	}
)

// Run starts the duty and the log appender.
func (k *Keeper) Run() {
	k.ctx, k.cancel = context.WithCancel(context.Background())
	k.inbox = ring.New[event](inboxSize, ring.Wait)
	k.appends = ring.New[cassiatally.SheetRecord](appendRingSize, ring.RefuseNewest)
	k.duty = looper.Looper[event]{
		Clock:     k.Clock,
		Recoverer: &recoverer.Recoverer{Logger: k.Logger, Duty: "sheetkeeper"},
		Inbox:     k.inbox,
		Handle:    func(now cassiatally.Instant, e event) { e.apply(k, now) },
		Tick:      func(now cassiatally.Instant) { k.carryOut(k.Follower.Tick(now)) },
		Interval:  tickInterval,
	}
	k.duty.Run()
	k.helpers.Go(k.serveAppends)
}

// Refused returns the number of messages that were dropped because the inbox was
// full.
func (k *Keeper) Refused() uint64 {
	refused, _ := k.inbox.LossCounts()
	return refused
}

// Close stops the duty and its helpers and waits for them.
func (k *Keeper) Close() {
	k.cancel()
	k.appends.Close()
	k.helpers.Wait()
	k.duty.Close()
}

// Policies returns the policies of the sheet in force, or false before the first sheet.
func (k *Keeper) Policies() (cassiatally.Policies, bool) {
	r := k.inForce.Load()
	return r, r != nil
}

// Version returns the version of the sheet in force, 0 before the first sheet.
func (k *Keeper) Version() cassiatally.Version {
	if r := k.inForce.Load(); r != nil {
		return r.Version()
	}
	return 0
}

// LogContact returns the time since the log last answered, which is negative if it
// never has, and whether this node follows the log.
func (k *Keeper) LogContact() (time.Duration, bool) {
	at := cassiatally.Instant(k.lastContact.Load())
	if at == 0 {
		return -1, k.followsLog.Load()
	}
	return k.Clock.Now().Sub(at), k.followsLog.Load()
}

// Message queues a message from a node.
func (k *Keeper) Message(from cassiatally.NodeRef, m cassiatally.Message) {
	k.inbox.Offer(messageEvent{from: from, m: m}, batchReserve)
}

// PeerVersion queues the version of the sheet in force on another node.
func (k *Keeper) PeerVersion(from cassiatally.NodeRef, v cassiatally.Version) {
	k.inbox.Offer(versionEvent{from: from, version: v}, batchReserve)
}

// SetMembers queues a new view of the members.
func (k *Keeper) SetMembers(v *registrar.View) {
	k.inbox.Offer(membersEvent{view: v}, batchReserve)
}

func (e messageEvent) apply(k *Keeper, now cassiatally.Instant) {
	switch m := e.m.(type) {
	case cassiatally.SheetPull:
		k.carryOut(k.Follower.HandlePull(now, e.from.Node, m))
	case cassiatally.SheetRecord:
		k.carryOut(k.Follower.HandleRecord(now, e.from.Node, m))
	default:
	}
}

func (e versionEvent) apply(k *Keeper, now cassiatally.Instant) {
	k.carryOut(k.Follower.HandleVersion(now, e.from.Node, e.version))
}

func (e membersEvent) apply(k *Keeper, now cassiatally.Instant) {
	k.followsLog.Store(slices.Contains(e.view.LogReaders, k.Self))
	k.carryOut(k.Follower.MembersChanged(now, e.view.LogReaders))
}

func (e batchEvent) apply(k *Keeper, now cassiatally.Instant) {
	if e.err != nil {
		k.Logger.Debug("sheet records not read", "error", e.err)
		k.carryOut(k.Follower.ReadFailed(now))
		return
	}
	k.lastContact.Store(int64(now))
	k.carryOut(k.Follower.HandleBatch(now, k.decodeBatch(e.batch)))
}

func (k *Keeper) decodeBatch(b cassiatally.Batch) follower.Batch {
	out := follower.Batch{Oldest: b.Oldest, Next: b.Next}
	for _, r := range b.Records {
		entry := follower.Record{Offset: r.Offset, Expires: r.Expires}
		m, err := k.Codec.Decode(r.Data)
		if record, ok := m.(cassiatally.SheetRecord); ok && err == nil {
			entry.Sheet = &record
		} else {
			k.Logger.Warn("log record skipped", "stream", follower.Stream, "offset", r.Offset, "error", err)
		}
		out.Records = append(out.Records, entry)
	}
	return out
}

func (k *Keeper) carryOut(actions []cassiatally.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case cassiatally.Send:
			if err := k.Transport.Send(a.To, a.Message); err != nil {
				k.Logger.Debug("sheet message not sent", "to", a.To, "error", err)
			}
		case cassiatally.ReadLog:
			k.readLog(a)
		case cassiatally.AppendSheet:
			k.appends.Offer(a.Record, 0)
		case cassiatally.AdoptSheet:
			k.adopt(a.Record)
		default:
		}
	}
}

// adopt puts a sheet in force. The operators' tool publishes only sheets that parse. If
// one does not, the sheet in force stays.
func (k *Keeper) adopt(record cassiatally.SheetRecord) {
	parser := sheetparser.Parser{}
	rows, problems := parser.Parse(sheetName, record.Sheet)
	if err := problems.Err(); err != nil {
		k.Logger.Error("accepted sheet cannot be read; the one in force stays", "version", record.Version, "error", err)
		return
	}
	r, err := ranker.New(rows, record.Version)
	if err != nil {
		k.Logger.Error("accepted sheet cannot be used; the one in force stays", "version", record.Version, "error", err)
		return
	}
	k.inForce.Store(r)
	k.OnSheet(r)
}
