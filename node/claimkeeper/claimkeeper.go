// Package claimkeeper is the duty that owns the shards of idempotency keys: the claims
// of the shards for which this node is the holder or the standby, and the shard tables.
//
// # Usage
//
//	k := &claimkeeper.Keeper{Claimer: c, Assigner: a, Clock: clock, ...}
//	k.Run()
//	defer k.Close()
//	key, err := k.Mint(ctx)
//	answer := k.Lookup(ctx, key)
package claimkeeper

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/assigner"
	"github.com/cassiatally/cassiatally/cassiatally/claimer"
	"github.com/cassiatally/cassiatally/cassiatally/faultswitch"
	"github.com/cassiatally/cassiatally/cassiatally/looper"
	"github.com/cassiatally/cassiatally/cassiatally/protocol"
	"github.com/cassiatally/cassiatally/cassiatally/recoverer"
	"github.com/cassiatally/cassiatally/cassiatally/registrar"
	"github.com/cassiatally/cassiatally/cassiatally/ring"
	"github.com/cassiatally/cassiatally/node/logdriver"
)

const (
	inboxSize = 4096
	// resultReserve is the inbox space that other messages leave free for the results of
	// runs.
	resultReserve  = 1024
	tickInterval   = 100 * time.Millisecond
	appendRingSize = 64
	// minPullInterval is the minimum time between two requests for the table of a data
	// centre.
	minPullInterval = 500 * time.Millisecond
	// foreignTableTTL is the age at which the table of another data centre is requested
	// again.
	foreignTableTTL = 5 * time.Second
	lookupTimeout   = 2 * time.Second
)

// Keeper is the duty. Its fields are set before Run.
type Keeper struct {
	Self       cassiatally.NodeRef
	DataCentre cassiatally.DataCentre
	Claimer    *claimer.Claimer
	Assigner   *assigner.Assigner
	Clock      cassiatally.Clock
	Rand       cassiatally.Rand
	Transport  cassiatally.Transport
	Requests   cassiatally.KeyRequests
	Log        *logdriver.Driver
	Codec      *protocol.Codec
	Logger     cassiatally.Logger
	NextID     func() cassiatally.CallID
	// Retries is the number of retries that a claimed request may use.
	Retries cassiatally.RetryCount
	// OnEpochs is called by the duty with the sum of epochs when the shard table of
	// this data centre changes.
	OnEpochs func(cassiatally.Epoch)

	inbox          *ring.Ring[event]
	duty           looper.Looper[event]
	appends        *ring.Ring[cassiatally.Assignment]
	helpers        sync.WaitGroup
	ctx            context.Context
	cancel         context.CancelFunc
	view           atomic.Pointer[shardView]
	drained        atomic.Bool
	readInProgress bool
	followsLog     bool
	// catchUp requests one read of the log on a node that does not follow it.
	catchUp       bool
	members       *registrar.View
	foreignTables map[cassiatally.DataCentre]foreignTable
	pulledAt      map[cassiatally.DataCentre]cassiatally.Instant
	wantedTables  sync.Map
	// holdersLive is set if all shards have a live holder. holdersChecked is set if
	// neither the members nor the table has changed since that check.
	holdersLive, holdersChecked bool
}

// Run starts the duty and the log appender.
func (k *Keeper) Run() {
	k.ctx, k.cancel = context.WithCancel(context.Background())
	k.inbox = ring.New[event](inboxSize, ring.Wait)
	k.appends = ring.New[cassiatally.Assignment](appendRingSize, ring.RefuseNewest)
	k.foreignTables = make(map[cassiatally.DataCentre]foreignTable)
	k.pulledAt = make(map[cassiatally.DataCentre]cassiatally.Instant)
	k.view.Store(&shardView{ownDataCentre: k.DataCentre, ownView: k.Assigner.Snapshot()})
	k.duty = looper.Looper[event]{
		Clock:     k.Clock,
		Recoverer: &recoverer.Recoverer{Logger: k.Logger, Duty: "claimkeeper"},
		Inbox:     k.inbox,
		Handle:    func(now cassiatally.Instant, e event) { e.apply(k, now) },
		Tick:      k.tick,
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

// Shards returns a view of the holders of shards in all data centres. A lookup in
// another data centre causes its table to be requested.
func (k *Keeper) Shards() cassiatally.ShardView { return k.view.Load().tracked(k) }

// Table returns the assignments of this data centre.
func (k *Keeper) Table() []cassiatally.Assignment { return k.view.Load().table }

// Drained reports whether this node holds no shard that another member could take
// over.
func (k *Keeper) Drained() bool { return k.drained.Load() }

type event interface {
	apply(k *Keeper, now cassiatally.Instant)
}

type (
	messageEvent struct {
		from cassiatally.NodeRef
		m    cassiatally.Message
	}
	runEvent struct {
		id     cassiatally.CallID
		answer cassiatally.Answer
	}
	membersEvent struct{ view *registrar.View }
	epochsEvent  struct {
		from cassiatally.NodeRef
		sum  cassiatally.Epoch
	}
	batchEvent struct {
		batch cassiatally.Batch
		err   error
	}
	appendEvent struct {
		assignment cassiatally.Assignment
		err        error
	}
	mintEvent struct {
		reply chan mintResult
	}
	drainEvent struct{}
)

type mintResult struct {
	key cassiatally.Key
	err error
}

// Message queues a message from a node. It returns false when the inbox is full.
func (k *Keeper) Message(from cassiatally.NodeRef, m cassiatally.Message) bool {
	return k.inbox.Offer(messageEvent{from: from, m: m}, resultReserve)
}

// SetMembers queues a new view of the members.
func (k *Keeper) SetMembers(v *registrar.View) { k.inbox.Offer(membersEvent{view: v}, 0) }

// PeerEpochs queues the sum of epochs that another node of this data centre announced.
// A sum higher than that of this node shows that its shard table is stale.
func (k *Keeper) PeerEpochs(from cassiatally.NodeRef, sum cassiatally.Epoch) {
	k.inbox.Offer(epochsEvent{from: from, sum: sum}, 0)
}

// Drain starts to hand over the shards of this node to their standbys.
func (k *Keeper) Drain() { k.inbox.Push(k.ctx, drainEvent{}) }

// Mint returns a new key.
func (k *Keeper) Mint(ctx context.Context) (cassiatally.Key, error) {
	reply := make(chan mintResult, 1)
	if !k.inbox.Offer(mintEvent{reply: reply}, resultReserve) {
		return "", cassiatally.NewError(cassiatally.KindOverloaded, "the node is overloaded; send again later")
	}
	select {
	case r := <-reply:
		return r.key, r.err
	case <-ctx.Done():
		return "", cassiatally.NewError(cassiatally.KindCancelled, "the caller left")
	}
}

// Lookup queries the holder of the key's shard for the outcome of the key.
func (k *Keeper) Lookup(ctx context.Context, key cassiatally.Key) cassiatally.Answer {
	parts, err := cassiatally.ParseKey(key)
	if err != nil {
		return cassiatally.Answer{Outcome: cassiatally.OutcomeNotRun, Kind: cassiatally.KindKeyInvalid, Detail: err.Error()}
	}
	holder, _, ok := k.Shards().HolderOf(parts.Shard)
	if !ok {
		return cassiatally.Answer{Kind: cassiatally.KindUnavailable, Detail: "no holder of the key's shard is in reach; look the key up later"}
	}
	answers := make(chan cassiatally.Answer, 1)
	q := cassiatally.KeyQuery{ID: k.NextID(), Key: key}
	if !k.Requests.QueryKey(holder.Node, q, lookupTimeout, func(a cassiatally.Answer) { answers <- a }) {
		return cassiatally.Answer{Kind: cassiatally.KindOverloaded, Detail: "the node is overloaded; look the key up later"}
	}
	select {
	case a := <-answers:
		return a
	case <-ctx.Done():
		return cassiatally.Answer{Kind: cassiatally.KindCancelled, Detail: "the caller left"}
	}
}

func (k *Keeper) tick(now cassiatally.Instant) {
	k.carryOut(now, k.Claimer.Tick(now))
	k.carryOut(now, k.Assigner.Tick(now))
	k.followLog()
	k.pullOwnTable(now)
	k.drained.Store(k.Claimer.Drained())
	k.wantedTables.Range(func(dc, _ any) bool {
		k.wantedTables.Delete(dc)
		k.pullForeignTable(now, dc.(cassiatally.DataCentre))
		return true
	})
}

func (e messageEvent) apply(k *Keeper, now cassiatally.Instant) {
	switch m := e.m.(type) {
	case cassiatally.Call:
		k.carryOut(now, k.Claimer.HandleCall(now, e.from.Node, m))
	case cassiatally.KeyQuery:
		k.carryOut(now, k.Claimer.HandleKeyQuery(now, e.from.Node, m))
	case cassiatally.Cancel:
		k.carryOut(now, k.Claimer.HandleCancel(now, e.from.Node, m))
	case cassiatally.ClaimUpdate:
		k.carryOut(now, k.Claimer.HandleClaimUpdate(now, e.from.Node, m))
	case cassiatally.ClaimAck:
		k.carryOut(now, k.Claimer.HandleClaimAck(now, e.from.Node, m))
	case cassiatally.ClaimCopy:
		k.carryOut(now, k.Claimer.HandleClaimCopy(now, e.from.Node, m))
	case cassiatally.ShardPull:
		k.send(e.from.Node, k.Assigner.Table())
	case cassiatally.ShardTable:
		k.mergeTable(now, m)
	default:
	}
}

func (e runEvent) apply(k *Keeper, now cassiatally.Instant) {
	k.carryOut(now, k.Claimer.RunFinished(now, e.id, e.answer))
}

func (e membersEvent) apply(k *Keeper, now cassiatally.Instant) {
	k.members = e.view
	k.holdersChecked = false
	live := liveMembers(e.view, k.DataCentre)
	k.Assigner.MembersChanged(now, live)
	k.carryOut(now, k.Claimer.MembersChanged(now, live))
	k.followsLog = false
	for _, r := range e.view.LogReaders {
		k.followsLog = k.followsLog || r == k.Self
	}
}

func liveMembers(v *registrar.View, dc cassiatally.DataCentre) []cassiatally.Member {
	suspects := make(map[cassiatally.NodeRef]struct{}, len(v.Suspects))
	for _, s := range v.Suspects {
		suspects[s] = struct{}{}
	}
	var live []cassiatally.Member
	for _, m := range v.Members {
		if _, suspect := suspects[m.Ref]; m.DataCentre == dc && !suspect {
			live = append(live, m)
		}
	}
	return live
}

func (e epochsEvent) apply(k *Keeper, now cassiatally.Instant) {
	if e.sum > k.Assigner.SumEpochs() && now.Reached(k.pulledAt[k.DataCentre].Add(minPullInterval)) {
		k.pulledAt[k.DataCentre] = now
		k.send(e.from.Node, cassiatally.ShardPull{Have: k.Assigner.SumEpochs()})
	}
}

func (e mintEvent) apply(k *Keeper, now cassiatally.Instant) {
	key, err := k.Assigner.Mint(now, k.Rand)
	e.reply <- mintResult{key: key, err: err}
}

func (e drainEvent) apply(k *Keeper, now cassiatally.Instant) {
	k.carryOut(now, k.Claimer.Drain(now))
}

func (k *Keeper) carryOut(now cassiatally.Instant, actions []cassiatally.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case cassiatally.Send:
			k.send(a.To, a.Message)
		case cassiatally.Submit:
			k.submit(now, a.Request)
		case cassiatally.AppendAssignment:
			if !k.appends.Offer(a.Assignment, 0) {
				k.carryOut(now, k.Claimer.AppendFailed(now, a.Assignment))
			}
			if a.Assignment.Epoch > 1 && faultswitch.Off(faultswitch.WinningRecord) {
				k.Assigner.Adopt(cassiatally.ShardTable{Assignments: []cassiatally.Assignment{a.Assignment}})
				k.tableChanged(now)
				k.publishView()
			}
		default:
		}
	}
}

func (k *Keeper) send(to cassiatally.NodeID, m cassiatally.Message) {
	if err := k.Transport.Send(to, m); err != nil {
		k.Logger.Debug("message about claims not sent", "to", to, "error", err)
	}
}

func (k *Keeper) submit(now cassiatally.Instant, req cassiatally.Request) {
	id := req.ID
	ok := k.Requests.Submit(req, func(a cassiatally.Answer) {
		k.inbox.Push(k.ctx, runEvent{id: id, answer: a})
	})
	if !ok {
		k.carryOut(now, k.Claimer.RunFinished(now, id, cassiatally.Answer{
			ID: id, Outcome: cassiatally.OutcomeNotRun, Kind: cassiatally.KindOverloaded, Detail: "the node is overloaded; send again later",
		}))
	}
}
