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
	"github.com/cassiatally/cassiatally/cassiatally/recoverer"
	"github.com/cassiatally/cassiatally/cassiatally/registrar"
	"github.com/cassiatally/cassiatally/cassiatally/ring"
)

const (
	inboxSize    = 1024
	tickInterval = 100 * time.Millisecond
	// viewInterval is the time between views while only heartbeats and loads change. A
	// view of the 972 members that a node stores at the target size takes 5 ms.
	viewInterval = time.Second
)

// Keeper is the duty. Its fields are set before Run.
type Keeper struct {
	Registrar *registrar.Registrar
	Clock     cassiatally.Clock
	Links     cassiatally.Links
	Logger    cassiatally.Logger
	// OnView is called by the duty with each new view; it must not block.
	OnView func(*registrar.View)
	// OnGossip is called by the duty with each gossip message, for what it carries
	// other than members; it must not block.
	OnGossip func(cassiatally.Gossip)

	inbox         *ring.Ring[event]
	duty          looper.Looper[event]
	view          atomic.Pointer[registrar.View]
	loggedMembers map[cassiatally.NodeID]cassiatally.Incarnation
	// viewedChanges is the number of changes that the last view includes. nextView is
	// when the next view is due even without a change.
	viewedChanges uint64
	nextView      cassiatally.Instant
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
	versionEvent     struct{ version cassiatally.Version }
	epochsEvent      struct{ sum cassiatally.Epoch }
	leaveEvent       struct{}
	mergeStoredEvent struct{ members []cassiatally.Member }
)

// Open makes the inbox, so that duties that start earlier can queue events.
func (k *Keeper) Open() { k.inbox = ring.New[event](inboxSize, ring.RefuseNewest) }

// Run starts the duty. Open has to be called first.
func (k *Keeper) Run() {
	k.loggedMembers = make(map[cassiatally.NodeID]cassiatally.Incarnation)
	k.view.Store(k.Registrar.View(k.Clock.Now()))
	k.duty = looper.Looper[event]{
		Clock:     k.Clock,
		Recoverer: &recoverer.Recoverer{Logger: k.Logger, Duty: "memberkeeper"},
		Inbox:     k.inbox,
		Handle:    func(now cassiatally.Instant, e event) { e.apply(k, now) },
		Tick:      k.tick,
		Interval:  tickInterval,
	}
	k.duty.Run()
}

// Refused returns the number of messages that were dropped because the inbox was
// full.
func (k *Keeper) Refused() uint64 {
	refused, _ := k.inbox.LossCounts()
	return refused
}

// Close stops the duty and waits for it.
func (k *Keeper) Close() { k.duty.Close() }

// View returns the latest view.
func (k *Keeper) View() *registrar.View { return k.view.Load() }

// AddressOf returns the address at which a node accepts links, or false when it is
// unknown.
func (k *Keeper) AddressOf(n cassiatally.NodeID) (cassiatally.Address, bool) {
	v := k.view.Load()
	if v == nil {
		return "", false
	}
	return v.Address(n)
}

// Gossip queues gossip from a node.
func (k *Keeper) Gossip(from cassiatally.NodeRef, g cassiatally.Gossip) {
	k.inbox.Offer(gossipEvent{from: from, gossip: g}, 0)
}

// SetEndpoint queues the endpoint and the crash reports of this node, which gossip
// announces to other nodes.
func (k *Keeper) SetEndpoint(e cassiatally.Endpoint, crashes []cassiatally.CrashReport) {
	k.inbox.Offer(endpointEvent{endpoint: e, crashes: crashes}, 0)
}

// SetVersion queues the version of the sheet or route table in force on this node.
func (k *Keeper) SetVersion(v cassiatally.Version) { k.inbox.Offer(versionEvent{version: v}, 0) }

// SetShardEpochs queues the sum of the epochs of this node's shard table.
func (k *Keeper) SetShardEpochs(sum cassiatally.Epoch) { k.inbox.Offer(epochsEvent{sum: sum}, 0) }

// MergeStored queues members that were loaded from the member store.
func (k *Keeper) MergeStored(members []cassiatally.Member) {
	k.inbox.Offer(mergeStoredEvent{members: members}, 0)
}

// Leave announces to other nodes that this one is shutting down.
func (k *Keeper) Leave() { k.inbox.Offer(leaveEvent{}, 0) }

func (k *Keeper) tick(now cassiatally.Instant) {
	k.carryOut(k.Registrar.Tick(now))
	if k.Registrar.Changes() != k.viewedChanges || now.Reached(k.nextView) {
		k.publishView(now)
	}
}

// publishView makes a view of the member table, stores it for readers and passes it to
// OnView.
func (k *Keeper) publishView(now cassiatally.Instant) {
	changed := k.Registrar.Changes() != k.viewedChanges
	k.viewedChanges = k.Registrar.Changes()
	k.nextView = now.Add(viewInterval)
	v := k.Registrar.View(now)
	k.view.Store(v)
	if changed {
		k.logChanges(v)
	}
	k.OnView(v)
}

// logChanges logs each member that has joined, restarted or been removed since the
// last call.
func (k *Keeper) logChanges(v *registrar.View) {
	seen := make(map[cassiatally.NodeID]struct{}, len(v.Members))
	for i := range v.Members {
		ref := v.Members[i].Ref
		seen[ref.Node] = struct{}{}
		if k.loggedMembers[ref.Node] != ref.Incarnation {
			k.loggedMembers[ref.Node] = ref.Incarnation
			k.Logger.Info("member joined", "member", ref, "data_centre", v.Members[i].DataCentre)
		}
	}
	for n := range k.loggedMembers {
		if _, ok := seen[n]; !ok {
			delete(k.loggedMembers, n)
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

func (e versionEvent) apply(k *Keeper, now cassiatally.Instant) {
	k.carryOut(k.Registrar.SetSheetVersion(now, e.version))
}

func (e epochsEvent) apply(k *Keeper, _ cassiatally.Instant) { k.Registrar.SetShardEpochs(e.sum) }

func (e mergeStoredEvent) apply(k *Keeper, now cassiatally.Instant) {
	actions := k.Registrar.MergeStored(now, e.members)
	k.publishView(now) // sending the announcements needs the addresses of the new members
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
