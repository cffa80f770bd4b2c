// Package memberkeeper is the duty that owns the member table of a node.
//
// # Usage
//
//	m := &memberkeeper.Keeper{Registrar: r, Clock: clock, Links: links, OnView: f, ...}
//	m.Open()
//	m.Run()
//	defer m.Close()
//	addr, ok := m.AddressOf("node-2")
//
// Readers get immutable views through View.
package memberkeeper

import (
	"sync/atomic"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/looper"
	"github.com/cassiatally/cassiatally/cassiatally/registrar"
	"github.com/cassiatally/cassiatally/cassiatally/ring"
)

const (
	inboxSize = 1024
	tickEvery = 100 * time.Millisecond
	// viewEvery is the time between views while only heartbeats and loads change. A
	// view of the 972 members that a node keeps at the target size takes 5 ms.
	viewEvery = time.Second
)

// Keeper is the duty. Its fields are set before Run.
type Keeper struct {
	Registrar *registrar.Registrar
	Clock     cassiatally.Clock
	Links     cassiatally.Links
	Logger    cassiatally.Logger
	// OnView is called by the duty with each new view; it must not block.
	OnView func(*registrar.View)
	// OnGossip is called by the duty with what gossip carries besides members; it
	// must not block.
	OnGossip func(cassiatally.Gossip)

	inbox *ring.Ring[event]
	duty  looper.Looper[event]
	view  atomic.Pointer[registrar.View]
	known map[cassiatally.NodeID]cassiatally.Incarnation
	// shown is the count of changes of the last view; nextView is when the next one
	// is due in any case.
	shown    uint64
	nextView cassiatally.Instant
}

type event interface {
	apply(k *Keeper, now cassiatally.Instant)
}

type (
	gossipEvent struct {
		from   cassiatally.NodeRef
		gossip cassiatally.Gossip
	}
	endpointEvent struct {
		endpoint cassiatally.Endpoint
		crashes  []cassiatally.CrashReport
	}
	sheetEvent  struct{ version cassiatally.Version }
	epochsEvent struct{ sum cassiatally.Epoch }
	leaveEvent  struct{}
	foundEvent  struct{ members []cassiatally.Member }
)

// Open makes the inbox, so that duties which start earlier can hand over events.
func (k *Keeper) Open() { k.inbox = ring.New[event](inboxSize, ring.RefuseNewest) }

// Run starts the duty. Open comes first.
func (k *Keeper) Run() {
	k.known = make(map[cassiatally.NodeID]cassiatally.Incarnation)
	k.view.Store(k.Registrar.View(k.Clock.Now()))
	k.duty = looper.Looper[event]{
		Clock:    k.Clock,
		Inbox:    k.inbox,
		Handle:   func(now cassiatally.Instant, e event) { e.apply(k, now) },
		Tick:     k.tick,
		Interval: tickEvery,
	}
	k.duty.Run()
}

// Refused returns how many messages found no room in the inbox.
func (k *Keeper) Refused() uint64 {
	refused, _ := k.inbox.LossCounts()
	return refused
}

// Close stops the duty and waits for it.
func (k *Keeper) Close() { k.duty.Close() }

// View returns the latest view.
func (k *Keeper) View() *registrar.View { return k.view.Load() }

// AddressOf returns where a node accepts links.
func (k *Keeper) AddressOf(n cassiatally.NodeID) (cassiatally.Address, bool) {
	v := k.view.Load()
	if v == nil {
		return "", false
	}
	return v.Address(n)
}

// Gossip hands over gossip from a node.
func (k *Keeper) Gossip(from cassiatally.NodeRef, g cassiatally.Gossip) {
	k.inbox.Offer(gossipEvent{from: from, gossip: g}, 0)
}

// Endpoint hands over the state of the local backend server.
func (k *Keeper) Endpoint(e cassiatally.Endpoint, crashes []cassiatally.CrashReport) {
	k.inbox.Offer(endpointEvent{endpoint: e, crashes: crashes}, 0)
}

// Sheet hands over the version in force on this node.
func (k *Keeper) Sheet(v cassiatally.Version) { k.inbox.Offer(sheetEvent{version: v}, 0) }

// ShardEpochs hands over the sum of the epochs of the shard table.
func (k *Keeper) ShardEpochs(sum cassiatally.Epoch) { k.inbox.Offer(epochsEvent{sum: sum}, 0) }

// Found hands over members that a store knows.
func (k *Keeper) Found(members []cassiatally.Member) {
	k.inbox.Offer(foundEvent{members: members}, 0)
}

// Leave tells other nodes that this one stops.
func (k *Keeper) Leave() { k.inbox.Offer(leaveEvent{}, 0) }

func (k *Keeper) tick(now cassiatally.Instant) {
	k.carryOut(k.Registrar.Tick(now))
	if k.Registrar.Changes() != k.shown || now.Reached(k.nextView) {
		k.show(now)
	}
}

// show makes a view and passes it on.
func (k *Keeper) show(now cassiatally.Instant) {
	changed := k.Registrar.Changes() != k.shown
	k.shown = k.Registrar.Changes()
	k.nextView = now.Add(viewEvery)
	v := k.Registrar.View(now)
	k.view.Store(v)
	if changed {
		k.logChanges(v)
	}
	k.OnView(v)
}

// logChanges writes a line for each member that came, returned or was removed.
func (k *Keeper) logChanges(v *registrar.View) {
	seen := make(map[cassiatally.NodeID]struct{}, len(v.Members))
	for i := range v.Members {
		ref := v.Members[i].Ref
		seen[ref.Node] = struct{}{}
		if k.known[ref.Node] != ref.Incarnation {
			k.known[ref.Node] = ref.Incarnation
			k.Logger.Info("member joined", "member", ref, "data_centre", v.Members[i].DataCentre)
		}
	}
	for n := range k.known {
		if _, ok := seen[n]; !ok {
			delete(k.known, n)
			k.Logger.Info("member removed", "member", n)
		}
	}
}

func (e gossipEvent) apply(k *Keeper, now cassiatally.Instant) {
	k.carryOut(k.Registrar.HandleGossip(now, e.from, e.gossip))
	k.OnGossip(e.gossip)
}

func (e endpointEvent) apply(k *Keeper, now cassiatally.Instant) {
	k.carryOut(k.Registrar.SetEndpoint(now, e.endpoint))
	k.carryOut(k.Registrar.SetCrashes(e.crashes))
}

func (e sheetEvent) apply(k *Keeper, now cassiatally.Instant) {
	k.carryOut(k.Registrar.SetSheetVersion(now, e.version))
}

func (e epochsEvent) apply(k *Keeper, _ cassiatally.Instant) { k.Registrar.SetShardEpochs(e.sum) }

func (e foundEvent) apply(k *Keeper, now cassiatally.Instant) {
	actions := k.Registrar.MergeStored(now, e.members)
	k.show(now) // the links of the introductions need the addresses
	k.carryOut(actions)
}

func (e leaveEvent) apply(k *Keeper, now cassiatally.Instant) {
	k.carryOut(k.Registrar.SetLeaving(now))
}

func (k *Keeper) carryOut(actions []cassiatally.Action) {
	for _, a := range actions {
		var err error
		switch a := a.(type) {
		case cassiatally.Send:
			err = k.Links.Send(a.To, a.Message)
		case cassiatally.SendAddress:
			err = k.Links.SendAddress(a.To, a.Message)
		default:
		}
		if err != nil {
			k.Logger.Debug("gossip not sent", "error", err)
		}
	}
}
