// Package quotakeeper is the duty that keeps the quotas of tenants: it owns the state of
// the node as a candidate (quotaowner) and as the node where requests enter (quotataker),
// and exchanges their messages. It sends and computes nothing while the route table has
// no tenant with a limit.
//
// # Usage
//
//	k := &quotakeeper.Keeper{Self: self, Clock: clock, Links: links, AddressOf: members.AddressOf, ...}
//	k.Open()
//	k.Run()
//	defer k.Close()
//	d := k.Take(ctx, tenant) // of a tenant with a limit
package quotakeeper

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/looper"
	"github.com/cassiatally/cassiatally/cassiatally/quotaowner"
	"github.com/cassiatally/cassiatally/cassiatally/quotataker"
	"github.com/cassiatally/cassiatally/cassiatally/recoverer"
	"github.com/cassiatally/cassiatally/cassiatally/registrar"
	"github.com/cassiatally/cassiatally/cassiatally/ring"
)

const (
	inboxSize = 4096
	// takeReserve places of the inbox are kept free of requests, for messages.
	takeReserve = 512
	// reportInterval is the interval of the duty while it has nothing to do, and that of
	// the metrics.
	reportInterval = time.Second
	// ownerInterval is the interval of the owner's ticks while a tenant has a limit.
	ownerInterval = 100 * time.Millisecond
	// overloadedRetryAfter is the Retry-After time when the duty cannot keep up.
	overloadedRetryAfter = 500 * time.Millisecond
)

// Keeper is the duty. Its fields are set before Open.
type Keeper struct {
	Self  cassiatally.QuotaCandidate
	Clock cassiatally.Clock
	Links cassiatally.Links
	// AddressOf returns the address of a member, or false when it is not in the member
	// table. Candidates of other data centres need not be.
	AddressOf func(cassiatally.NodeID) (cassiatally.Address, bool)
	Rand      cassiatally.Rand
	Metrics   cassiatally.Metrics
	Logger    cassiatally.Logger

	inbox   *ring.Ring[event]
	duty    looper.Looper[event]
	closed  chan struct{}
	closing sync.Once
	active  atomic.Bool
	view    atomic.Pointer[registrar.View]
	table   atomic.Pointer[[]cassiatally.TenantSpec]
	nextID  atomic.Uint64

	inForce   *[]cassiatally.TenantSpec
	owner     *quotaowner.Owner
	taker     *quotataker.Taker
	waiting   map[quotataker.WaitID]chan cassiatally.QuotaDecision
	nextOwner cassiatally.Instant
	report    report
}

type event interface {
	apply(k *Keeper, now cassiatally.Instant)
}

type (
	takeEvent struct {
		id    quotataker.WaitID
		spec  *cassiatally.TenantSpec
		reply chan cassiatally.QuotaDecision
	}
	abandonEvent struct {
		id     quotataker.WaitID
		tenant cassiatally.Tenant
	}
	tableEvent   struct{}
	viewEvent    struct{}
	leaveEvent   struct{}
	lostEvent    struct{ node cassiatally.NodeID }
	messageEvent struct {
		from    cassiatally.NodeID
		message cassiatally.Message
	}
)

// Open makes the inbox, so that duties that start earlier can queue events.
func (k *Keeper) Open() {
	k.inbox = ring.New[event](inboxSize, ring.RefuseNewest)
	k.closed = make(chan struct{})
}

// Run starts the duty. Open has to be called first.
func (k *Keeper) Run() {
	k.owner = quotaowner.New(k.Self)
	k.taker = quotataker.New(k.Self.Node, k.Clock.Now(), k.Rand)
	k.waiting = make(map[quotataker.WaitID]chan cassiatally.QuotaDecision)
	k.duty = looper.Looper[event]{
		Clock:     k.Clock,
		Recoverer: &recoverer.Recoverer{Logger: k.Logger, Duty: "quotakeeper"},
		Inbox:     k.inbox,
		Handle:    func(now cassiatally.Instant, e event) { e.apply(k, now) },
		Tick:      k.tick,
		Interval:  reportInterval,
		NextWake:  k.nextWake,
	}
	k.duty.Run()
}

// Close stops the duty and waits for it. Requests that still wait are refused.
func (k *Keeper) Close() {
	k.duty.Close()
	k.closing.Do(func() {
		k.report.passCounts(k)
		close(k.closed)
	})
}

// Take waits until a request is known to be within the quota of its tenant or not.
func (k *Keeper) Take(ctx context.Context, t *cassiatally.TenantSpec) cassiatally.QuotaDecision {
	e := takeEvent{id: quotataker.WaitID(k.nextID.Add(1)), spec: t, reply: make(chan cassiatally.QuotaDecision, 1)}
	if !k.inbox.Offer(e, takeReserve) {
		return cassiatally.QuotaDecision{Kind: cassiatally.KindOverloaded, RetryAfter: overloadedRetryAfter}
	}
	select {
	case d := <-e.reply:
		return d
	case <-ctx.Done():
		k.inbox.Offer(abandonEvent{id: e.id, tenant: t.Name}, 0)
		return cassiatally.QuotaDecision{Kind: cassiatally.KindCancelled}
	case <-k.closed:
		return cassiatally.QuotaDecision{Kind: cassiatally.KindDraining, RetryAfter: overloadedRetryAfter}
	}
}

// SetTable queues the tenants of a route table that came into force.
func (k *Keeper) SetTable(tenants []cassiatally.TenantSpec) {
	limited := false
	for i := range tenants {
		limited = limited || tenants[i].Rate > 0
	}
	if k.active.Swap(limited) || limited {
		k.table.Store(&tenants)
		// When the inbox is full, the next tick takes the table.
		k.inbox.Offer(tableEvent{}, 0)
	}
}

// SetView records a view of the members.
func (k *Keeper) SetView(v *registrar.View) {
	k.view.Store(v)
	k.offer(viewEvent{})
}

// Message queues a message from another node.
func (k *Keeper) Message(from cassiatally.NodeRef, m cassiatally.Message) {
	k.offer(messageEvent{from: from.Node, message: m})
}

// Unreachable queues that a message to a node was not delivered, or its link was lost.
func (k *Keeper) Unreachable(n cassiatally.NodeID) { k.offer(lostEvent{n}) }

// Leave makes the node stop to own quotas, because it is about to stop.
func (k *Keeper) Leave() { k.offer(leaveEvent{}) }

// Refused returns the number of events that were dropped because the inbox was full.
func (k *Keeper) Refused() uint64 {
	refused, _ := k.inbox.LossCounts()
	return refused
}

// offer queues an event unless no tenant has a limit.
func (k *Keeper) offer(e event) {
	if k.active.Load() {
		k.inbox.Offer(e, 0)
	}
}

func (k *Keeper) nextWake() (cassiatally.Instant, bool) {
	at, ok := k.taker.NextWake()
	if k.owner.Active() && (!ok || k.nextOwner.Before(at)) {
		return k.nextOwner, true
	}
	return at, ok
}

func (k *Keeper) tick(now cassiatally.Instant) {
	tableEvent{}.apply(k, now)
	// Requests may still wait when the last limit is removed.
	if k.owner.Active() || len(k.waiting) > 0 {
		k.carryOut(now, k.taker.Tick(now))
	}
	if !k.owner.Active() {
		return
	}
	if now.Reached(k.nextOwner) {
		k.tickOwner(now)
	}
	k.report.tick(k, now)
}

func (k *Keeper) tickOwner(now cassiatally.Instant) {
	k.nextOwner = now.Add(ownerInterval)
	beat, to := k.owner.Tick(now)
	for _, c := range to {
		k.send(c, beat)
	}
	k.report.logChanges(k, now)
}

func (e takeEvent) apply(k *Keeper, now cassiatally.Instant) {
	k.waiting[e.id] = e.reply
	k.carryOut(now, k.taker.Take(now, e.id, e.spec))
}

func (e abandonEvent) apply(k *Keeper, _ cassiatally.Instant) {
	delete(k.waiting, e.id)
	k.taker.Abandon(e.tenant, e.id)
}

func (tableEvent) apply(k *Keeper, now cassiatally.Instant) {
	table := k.table.Load()
	if table == k.inForce {
		return
	}
	k.inForce = table
	viewEvent{}.apply(k, now)
	if !k.owner.Active() {
		k.report.isolatedAt = now
	}
	k.owner.SetTenants(now, *table)
	k.nextOwner = now
	if !k.owner.Active() {
		k.report.tick(k, now)
		k.report.logChanges(k, now)
	}
}

func (viewEvent) apply(k *Keeper, now cassiatally.Instant) {
	v := k.view.Load()
	if v == nil {
		return
	}
	m := quotaowner.MembersOf(k.Self, v.Members, v.Suspects)
	k.owner.SetMembers(now, m)
	k.taker.SetMembers(m.Local, m.Nodes)
}

func (leaveEvent) apply(k *Keeper, now cassiatally.Instant) {
	k.owner.SetLeaving(now)
	k.tickOwner(now)
}

func (e lostEvent) apply(k *Keeper, now cassiatally.Instant) {
	k.carryOut(now, k.taker.LinkLost(now, e.node))
}

func (e messageEvent) apply(k *Keeper, now cassiatally.Instant) {
	switch m := e.message.(type) {
	case cassiatally.QuotaBeat:
		if m.From.Node != e.from {
			k.Logger.Debug("quota beat of another node dropped", "from", e.from, "beat", m.From.Node)
			return
		}
		if beat, ok := k.owner.HandleBeat(now, m); ok {
			k.send(m.From, beat)
		}
	case cassiatally.QuotaRequest:
		if err := k.Links.Send(e.from, k.owner.HandleRequest(now, m)); err != nil {
			k.Logger.Debug("quota grant not sent", "to", e.from, "error", err)
		}
	case cassiatally.QuotaGrant:
		k.carryOut(now, k.taker.HandleGrant(now, e.from, m))
	default:
	}
}

// carryOut passes on decisions and sends requests for tokens. Requests to this node and
// those that cannot be sent are answered at once, which may cause further ones.
func (k *Keeper) carryOut(now cassiatally.Instant, out quotataker.Output) {
	for _, d := range out.Decisions {
		k.report.count(d)
		if reply, ok := k.waiting[d.ID]; ok {
			delete(k.waiting, d.ID)
			reply <- d.Decision
		}
	}
	for _, a := range out.Asks {
		switch {
		case a.To.Node == k.Self.Node:
			k.carryOut(now, k.taker.HandleGrant(now, k.Self.Node, k.owner.HandleRequest(now, a.Request)))
		case !k.send(a.To, a.Request):
			k.carryOut(now, k.taker.LinkLost(now, a.To.Node))
		}
	}
}

// send sends a message to a candidate, which the member table need not have.
func (k *Keeper) send(to cassiatally.QuotaCandidate, m cassiatally.Message) bool {
	var err error
	if _, known := k.AddressOf(to.Node); known || !to.Address.Valid() {
		err = k.Links.Send(to.Node, m)
	} else {
		err = k.Links.SendAddress(to.Address, m)
	}
	if err != nil {
		k.Logger.Debug("quota message not sent", "to", to.Node, "error", err)
	}
	return err == nil
}
