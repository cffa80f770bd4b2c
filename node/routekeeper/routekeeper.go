// Package routekeeper is the duty that owns the route table in force on a node. It
// follows the source to which operators publish tables, pulls newer tables from other
// nodes, and answers their pulls. The version never decreases while the node runs.
//
// # Usage
//
//	k := &routekeeper.Keeper{Source: source, Clock: clock, Transport: links, Logger: logs, OnTable: f}
//	k.Run()
//	defer k.Close()
//	if routes, ok := k.Routes(); ok { ... }
package routekeeper

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/looper"
	"github.com/cassiatally/cassiatally/cassiatally/matcher"
	"github.com/cassiatally/cassiatally/cassiatally/recoverer"
	"github.com/cassiatally/cassiatally/cassiatally/ring"
)

const (
	inboxSize    = 256
	tickInterval = time.Second
	// minRetryBackoff and maxRetryBackoff bound the time between attempts to read the source
	// while it is unavailable.
	minRetryBackoff = 100 * time.Millisecond
	maxRetryBackoff = time.Second
	// minPullInterval is the minimum time between two pulls of the same version.
	minPullInterval = 200 * time.Millisecond
)

// Keeper is the duty. Its fields are set before Run.
type Keeper struct {
	Source    cassiatally.RouteSource
	Clock     cassiatally.Clock
	Transport cassiatally.Transport
	Logger    cassiatally.Logger
	// OnTable is called by the duty with each table that comes into force; it must
	// not block.
	OnTable func(*matcher.Matcher)

	inbox         *ring.Ring[event]
	duty          looper.Looper[event]
	reader        sync.WaitGroup
	ctx           context.Context
	cancel        context.CancelFunc
	routes        atomic.Pointer[matcher.Matcher]
	pulledVersion cassiatally.Version
	pulledAt      cassiatally.Instant
}

type event interface {
	apply(k *Keeper, now cassiatally.Instant)
}

type (
	tableEvent struct {
		table cassiatally.RouteTable
		// from is the node that sent the table; empty for the source.
		from cassiatally.NodeID
	}
	pullEvent struct {
		from cassiatally.NodeID
		have cassiatally.Version
	}
	peerVersionEvent struct {
		from    cassiatally.NodeID
		version cassiatally.Version
	}
)

// Run starts the duty and the reader of the source.
func (k *Keeper) Run() {
	k.ctx, k.cancel = context.WithCancel(context.Background())
	k.inbox = ring.New[event](inboxSize, ring.RefuseNewest)
	k.duty = looper.Looper[event]{
		Clock:     k.Clock,
		Recoverer: &recoverer.Recoverer{Logger: k.Logger, Duty: "routekeeper"},
		Inbox:     k.inbox,
		Handle:    func(now cassiatally.Instant, e event) { e.apply(k, now) },
		Tick:      func(cassiatally.Instant) {},
		Interval:  tickInterval,
	}
	k.duty.Run()
	k.reader.Go(k.readSource)
}

// Close stops the reader and the duty and waits for both.
func (k *Keeper) Close() {
	k.cancel()
	k.reader.Wait()
	k.duty.Close()
}

// Routes returns the routes in force, or false before the first table.
func (k *Keeper) Routes() (*matcher.Matcher, bool) {
	m := k.routes.Load()
	return m, m != nil
}

// Version returns the version of the table in force, 0 before the first table.
func (k *Keeper) Version() cassiatally.Version {
	if m := k.routes.Load(); m != nil {
		return m.Table().Version
	}
	return 0
}

// Refused returns the number of messages that were dropped because the inbox was
// full.
func (k *Keeper) Refused() uint64 {
	refused, _ := k.inbox.LossCounts()
	return refused
}

// Message queues a message from another node.
func (k *Keeper) Message(from cassiatally.NodeRef, m cassiatally.Message) {
	switch m := m.(type) {
	case cassiatally.RoutePull:
		k.inbox.Offer(pullEvent{from: from.Node, have: m.Have}, 0)
	case cassiatally.RouteUpdate:
		k.inbox.Offer(tableEvent{table: m.Table, from: from.Node}, 0)
	default:
	}
}

// PeerVersion queues the version in force on another node if it is newer than that on
// this node.
func (k *Keeper) PeerVersion(from cassiatally.NodeRef, v cassiatally.Version) {
	if v > k.Version() {
		k.inbox.Offer(peerVersionEvent{from: from.Node, version: v}, 0)
	}
}

// readSource is the duty that waits for new tables at the source.
func (k *Keeper) readSource() {
	backoff := minRetryBackoff
	lost := false
	for {
		table, err := k.nextTable()
		switch {
		case k.ctx.Err() != nil:
			return
		case err == nil:
			if lost {
				k.Logger.Info("route source regained", "version", table.Version)
			}
			lost, backoff = false, minRetryBackoff
			k.inbox.Push(k.ctx, tableEvent{table: table})
			continue
		case !lost:
			lost = true
			k.Logger.Warn("route source lost", "error", err)
		}
		select {
		case <-time.After(backoff):
		case <-k.ctx.Done():
			return
		}
		backoff = min(2*backoff, maxRetryBackoff)
	}
}

// nextTable waits for a table. A record that cannot be processed counts as a lost source.
func (k *Keeper) nextTable() (t cassiatally.RouteTable, err error) {
	err = cassiatally.NewError(cassiatally.KindProtocol, "the record of the source could not be processed")
	defer k.duty.Recoverer.Recover()
	return k.Source.Next(k.ctx)
}

func (e tableEvent) apply(k *Keeper, _ cassiatally.Instant) {
	v := k.Version()
	if e.table.Version <= v {
		return
	}
	m := matcher.New(e.table)
	k.routes.Store(m)
	k.Logger.Info("route table in force", "version", e.table.Version, "before", v, "routes", len(e.table.Routes), "from", senderName(e.from))
	k.OnTable(m)
}

func senderName(n cassiatally.NodeID) string {
	if n == "" {
		return "source"
	}
	return string(n)
}

func (e pullEvent) apply(k *Keeper, _ cassiatally.Instant) {
	m := k.routes.Load()
	if m == nil || m.Table().Version <= e.have {
		return
	}
	if err := k.Transport.Send(e.from, cassiatally.RouteUpdate{Table: *m.Table()}); err != nil {
		k.Logger.Debug("route table not sent", "to", e.from, "error", err)
	}
}

func (e peerVersionEvent) apply(k *Keeper, now cassiatally.Instant) {
	v := k.Version()
	if e.version <= v || (k.pulledVersion >= e.version && now.Sub(k.pulledAt) < minPullInterval) {
		return
	}
	k.pulledVersion, k.pulledAt = e.version, now
	if err := k.Transport.Send(e.from, cassiatally.RoutePull{Have: v}); err != nil {
		k.Logger.Debug("route table not requested", "from", e.from, "error", err)
	}
}
