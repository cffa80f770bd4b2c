// Package registrar keeps a node's table of members and their endpoints, as a pure
// state machine. Nodes gossip their heartbeats and changes; a member whose
// heartbeat stops growing is suspected and later removed.
//
// A message has entries of three forms. A full entry, which has an address, carries
// a change, and nodes forward it immediately. A heartbeat entry, which has no address,
// carries a heartbeat, a load and the revision of the full entry. A query, which has
// no heartbeat, requests the full entry; the reply is never forwarded.
//
// # Usage
//
//	r := registrar.New(cfg, rand)
//	actions := r.SetEndpoint(now, endpoint)
//	actions = append(actions, r.Tick(now)...)                   // every 100 ms or so
//	actions = append(actions, r.HandleGossip(now, from, g)...) // from a link
//	view.Store(r.View(now))
//
// Incarnations of a node must grow, since the greatest one replaces the others; a
// node derives its own from the time of day at its start. A Registrar is not safe
// for concurrent use; a View is immutable.
package registrar

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	// localPeers and foreignPeers are the numbers of partners, in this node's data centre
	// and in others, that get a message in a round.
	localPeers   = 3
	foreignPeers = 1
	// eagerPeers local peers get a change immediately; gossip rounds and queries reach
	// the few that the push misses.
	eagerPeers = 3
	// One in eagerForeign forwards of a change also goes to another data centre.
	eagerForeign = 4

	// In a second a node sends at most 3 round messages within its data centre, 1
	// to another, and its allowance of replies and forwards: 14,400 bytes, below
	// the target of 16 KB/s. Two messages of 4,500 bytes carry as much, but a change
	// or the last heartbeat of a failed member reaches the last of 132 members later.
	maxLocalBytes    = 3000
	maxForeignBytes  = 1800
	allowanceBytes   = 3600
	maxReplyBytes    = 2500
	maxEntries       = 100
	maxDirectQueries = 24
	// maxPartnerQueries bounds the queries in a message to a partner.
	maxPartnerQueries = 12
	// directQueryHalfIntervals is how long before it would be suspected a member is
	// queried directly, in halves of an interval, so that an answer arrives in time.
	// Querying half an interval earlier took four times as many queries.
	directQueryHalfIntervals = 3
	maxCrashes               = 8
	// crashPeers local peers get a new crash report immediately. With four, a relayed
	// report misses about one node in fifty, which a round reaches later.
	crashPeers = 4
	// maxForeignHeartbeats bounds the heartbeat entries of other data centres in a
	// message within a data centre, so that its own heartbeats have room.
	maxForeignHeartbeats = 10

	maxUpdates = 64
	// updateSends is the number of round messages that repeat a change.
	updateSends = 6
	// maxSentRecords bounds the records of which changes and crash reports were already sent.
	maxSentRecords = 1024
	maxTombstones  = 1024
	// tombstoneFactor is the lifetime of a tombstone in multiples of RemoveAfter. Stale
	// gossip about a removed member ends once all others have removed it too.
	tombstoneFactor  = 10
	maxLostAddresses = 32
	// probeProbability is the probability that a round also sends to an address that
	// belongs to no member of the table, to find the others again after a partition.
	probeProbability = 0.2

	// introductionPeers bounds the members to which a node announces itself immediately
	// when it starts. After a restart of all nodes, rounds alone took more than a second
	// until an entry node had an endpoint of each service in its table.
	introductionPeers = 32
	// startPeriod is how long after its start a node announces each of its own
	// changes to as many members.
	startPeriod = 5 * time.Second

	maxGateways  = 4
	maxEndpoints = 4
	// Heartbeats of many foreign members arrive seldom, so their removal time is
	// multiplied by their number divided by foreignMembersPerFactor, up to
	// maxForeignFactor.
	foreignMembersPerFactor = 32
	maxForeignFactor        = 6
)

// Config holds the node's identity and addresses, and the timing of gossip.
type Config struct {
	Self         cassiatally.NodeRef
	DataCentre   cassiatally.DataCentre
	Address      cassiatally.Address
	Seeds        []cassiatally.Address
	Interval     time.Duration
	SuspectAfter time.Duration
	RemoveAfter  time.Duration
}

// relayPeriod is how long a heartbeat is relayed after it grew. The last one of a
// failed member would otherwise circulate for seconds.
func (c Config) relayPeriod() time.Duration { return c.SuspectAfter * 2 / 3 }

// crashID identifies the crash report of a reporter about a request. crashCount is its
// content; a report is new when that changed.
type crashID struct {
	fingerprint cassiatally.Fingerprint
	reporter    cassiatally.NodeRef
}

type crashCount struct{ clears, crashes uint16 }

// Registrar is the member table of one node.
type Registrar struct {
	cfg           Config
	rand          cassiatally.Rand
	self          cassiatally.Member
	shardEpochSum cassiatally.Epoch
	crashes       []cassiatally.CrashReport
	// sentCrashes has the crash reports that were already sent outside a round.
	sentCrashes map[crashID]crashCount
	nextRound   cassiatally.Instant
	// started is the time of the first event.
	started cassiatally.Instant
	// lastEvent is the time of the last message or tick; members suspected at that time
	// are no partners.
	lastEvent cassiatally.Instant
	// ringPositions has the positions of this node on the rings.
	ringPositions  [rings]uint64
	local, foreign rotation
	allowance      int
	// changes counts the changes that a view shows, without heartbeats and loads.
	changes uint64
	table   map[cassiatally.NodeID]*entry
	// order has the entries of the table, sorted by name.
	order []*entry
	// logScore orders this node among the log readers.
	logScore       uint64
	tombstones     map[cassiatally.NodeID]tombstone
	queriedAt      map[cassiatally.NodeID]cassiatally.Instant
	pendingUpdates updateQueue
	lostAddresses  []cassiatally.Address
}

type entry struct {
	member cassiatally.Member
	// aliveAt is when the member was last alive, as its growing heartbeat shows.
	aliveAt cassiatally.Instant
	// loadAt is when the member had the load in the entry.
	loadAt cassiatally.Instant
	// sent counts the heartbeat entries sent since the heartbeat last grew.
	sent int
	// score orders members of other data centres; those with the lowest are kept.
	score uint64
	// ringPositions has the positions of a member of this data centre on the rings.
	ringPositions [rings]uint64
	// logScore orders members of this data centre as log readers.
	logScore uint64
}

// indexOf returns the index of a member in order, or the one to insert it at.
func (r *Registrar) indexOf(id cassiatally.NodeID) (int, bool) {
	return slices.BinarySearchFunc(r.order, id, func(e *entry, id cassiatally.NodeID) int {
		return cmp.Compare(e.member.Ref.Node, id)
	})
}

func (r *Registrar) putEntry(e *entry) {
	id := e.member.Ref.Node
	r.table[id] = e
	i, found := r.indexOf(id)
	if found {
		r.order[i] = e
		return
	}
	r.order = slices.Insert(r.order, i, e)
}

func (r *Registrar) deleteEntry(id cassiatally.NodeID) {
	delete(r.table, id)
	if i, found := r.indexOf(id); found {
		r.order = slices.Delete(r.order, i, i+1)
	}
}

// tombstone prevents stale gossip from adding a removed incarnation again.
type tombstone struct {
	ref       cassiatally.NodeRef
	heartbeat uint64
	at        cassiatally.Instant
}

// New returns a registrar whose only member is its own node.
func New(cfg Config, rand cassiatally.Rand) *Registrar {
	return &Registrar{
		cfg:  cfg,
		rand: rand,
		self: cassiatally.Member{
			Ref: cfg.Self, DataCentre: cfg.DataCentre, Address: cfg.Address, Heartbeat: 1, Revision: 1,
		},
		allowance:      allowanceBytes,
		table:          map[cassiatally.NodeID]*entry{},
		tombstones:     map[cassiatally.NodeID]tombstone{},
		queriedAt:      map[cassiatally.NodeID]cassiatally.Instant{},
		pendingUpdates: newUpdateQueue(),
		ringPositions:  ringPositionsOf(cfg.Self.Node),
		logScore:       logScoreOf(cfg.DataCentre, cfg.Self.Node),
	}
}

// Changes returns the number of changes of members, without heartbeats and loads.
// Views taken at the same count differ only in heartbeats and loads.
func (r *Registrar) Changes() uint64 { return r.changes }

// SetEndpoint records the state of the local backend server. A change of
// anything but the load is sent to peers immediately.
func (r *Registrar) SetEndpoint(now cassiatally.Instant, e cassiatally.Endpoint) []cassiatally.Action {
	r.recordStart(now)
	e.Load.Node = r.cfg.Self.Node
	changed := !sameAnnouncement(r.self.Endpoint, e)
	r.self.Endpoint = e
	if !changed {
		return nil
	}
	out := r.sendOwnChange()
	if r.isStarting(now) {
		out = append(out, r.announceSelf()...)
	}
	return out
}

// MergeStored adds members that a store has, and announces this node to them.
func (r *Registrar) MergeStored(now cassiatally.Instant, members []cassiatally.Member) []cassiatally.Action {
	r.lastEvent = now
	r.recordStart(now)
	m := merger{Registrar: r, now: now, from: r.cfg.Self}
	for _, member := range members {
		m.merge(member, true)
	}
	if m.foreignAdded {
		r.prune()
	}
	return r.announceSelf()
}

// recordStart records the time of the first event.
func (r *Registrar) recordStart(now cassiatally.Instant) {
	if r.started == 0 {
		r.started = now
	}
}

// isStarting reports whether the start period still runs.
func (r *Registrar) isStarting(now cassiatally.Instant) bool { return now.Sub(r.started) < startPeriod }

// announceSelf sends this node's full entry to members, those of its own data centre
// first.
func (r *Registrar) announceSelf() []cassiatally.Action {
	ids := r.pickRandom(r.peers(true), introductionPeers)
	ids = append(ids, r.pickRandom(r.peers(false), introductionPeers-len(ids))...)
	g := r.gossipMessage([]cassiatally.Member{r.self})
	out := make([]cassiatally.Action, 0, len(ids))
	for _, id := range ids {
		out = append(out, cassiatally.Send{To: id, Message: g})
	}
	return out
}

func sameAnnouncement(a, b cassiatally.Endpoint) bool {
	return a.Service == b.Service && a.Slots == b.Slots && a.Connections == b.Connections && a.State == b.State
}

// SetLeaving announces that the node takes no new work.
func (r *Registrar) SetLeaving(_ cassiatally.Instant) []cassiatally.Action {
	if r.self.Leaving {
		return nil
	}
	r.self.Leaving = true
	return r.sendOwnChange()
}

func (r *Registrar) sendOwnChange() []cassiatally.Action {
	r.changes++
	r.self.Revision++
	r.self.Heartbeat++
	return r.forward([]cassiatally.Member{r.self}, true)
}

// SetSheetVersion records the version in force here and sends it to peers immediately.
// It does not change the revision: all nodes change their version together, and
// that many full entries would exceed the bound on traffic.
func (r *Registrar) SetSheetVersion(_ cassiatally.Instant, v cassiatally.Version) []cassiatally.Action {
	if v <= r.self.SheetVersion {
		return nil
	}
	r.self.SheetVersion = v
	return r.forward(nil, true)
}

// SetShardEpochs records the sum of the shard epochs that gossip messages carry.
func (r *Registrar) SetShardEpochs(e cassiatally.Epoch) { r.shardEpochSum = e }

// SetCrashes records the crash reports that rounds carry, the first maxCrashes of
// them. New ones are sent immediately: until the next round, a caller that sends the
// request again would crash more backend servers. Receivers do the same, so that a
// new report spreads to all nodes.
func (r *Registrar) SetCrashes(reports []cassiatally.CrashReport) []cassiatally.Action {
	r.crashes = slices.Clone(reports[:min(len(reports), maxCrashes)])
	unsent := r.unsentCrashes()
	if len(unsent) == 0 {
		return nil
	}
	g := r.gossipMessage(nil)
	g.Crashes = unsent
	var out []cassiatally.Action
	targets := append(r.pickRandom(r.partners(true), crashPeers), r.pickRandom(r.partners(false), foreignPeers)...)
	for _, to := range targets {
		if !r.spendAllowance(crashBytes(unsent)) {
			break
		}
		out = append(out, cassiatally.Send{To: to, Message: g})
	}
	return out
}

// unsentCrashes returns the reports that were not yet sent outside a round, and
// records them as sent.
func (r *Registrar) unsentCrashes() []cassiatally.CrashReport {
	var unsent []cassiatally.CrashReport
	for _, c := range r.crashes {
		id := crashID{c.Fingerprint, c.Reporter}
		count := crashCount{c.Clears, c.Crashes}
		if r.sentCrashes[id] == count {
			continue
		}
		if r.sentCrashes == nil || len(r.sentCrashes) >= maxSentRecords {
			r.sentCrashes = make(map[crashID]crashCount)
		}
		r.sentCrashes[id] = count
		unsent = append(unsent, c)
	}
	return unsent
}

// Tick runs a gossip round when it is due: it removes silent members and sends
// heartbeats, queries and, sometimes, a probe.
func (r *Registrar) Tick(now cassiatally.Instant) []cassiatally.Action {
	r.lastEvent = now
	r.recordStart(now)
	if now.Before(r.nextRound) {
		return nil
	}
	// A tick that is late by less than an interval does not delay the rounds after it,
	// so that heartbeats still grow once in an interval.
	r.nextRound = r.nextRound.Add(r.cfg.Interval)
	if now.Reached(r.nextRound) {
		r.nextRound = now.Add(r.cfg.Interval)
	}
	r.allowance = allowanceBytes
	r.self.Heartbeat++
	r.removeExpired(now)
	var out []cassiatally.Action
	for _, to := range r.roundPeers(true) {
		out = append(out, cassiatally.Send{To: to, Message: r.roundMessage(now, true)})
	}
	for _, to := range r.roundPeers(false) {
		out = append(out, cassiatally.Send{To: to, Message: r.roundMessage(now, false)})
	}
	out = append(out, r.queryHeartbeats(now)...)
	return append(out, r.probe()...)
}

// queryHeartbeats queries a partner for the heartbeats of the silent members of
// this data centre, and queries directly each member that would soon be suspected.
// With heartbeat entries alone a tenth of 132 members was suspected. Direct queries
// alone were 40 of a node's 47 messages a second, and used links to all members.
func (r *Registrar) queryHeartbeats(now cassiatally.Instant) []cassiatally.Action {
	silent := r.silentMembers(now)
	c := composer{maxBytes: maxReplyBytes, maxEntries: maxPartnerQueries}
	var direct []cassiatally.Member
	for _, e := range silent {
		query := cassiatally.Member{Ref: e.member.Ref, Revision: e.member.Revision}
		if !r.suspected(now, e) {
			c.add(query)
		}
		if now.Sub(e.aliveAt) >= r.suspectAfter()-directQueryHalfIntervals*r.cfg.Interval/2 && len(direct) < maxDirectQueries {
			direct = append(direct, query)
		}
	}
	var out []cassiatally.Action
	if len(c.members) > 0 {
		for _, to := range r.pickRandom(r.partners(true), 1) {
			if r.spendAllowance(c.usedBytes) {
				out = append(out, cassiatally.Send{To: to, Message: r.gossipMessage(c.members)})
			}
		}
	}
	for _, query := range direct {
		if !r.spendAllowance(sizeOf(query)) {
			break
		}
		out = append(out, cassiatally.Send{To: query.Ref.Node, Message: r.gossipMessage([]cassiatally.Member{query})})
	}
	return out
}

// silentMembers returns the members of this data centre whose heartbeat has not
// grown for half of SuspectAfter, longest first, but suspects last: the members of a
// failed rack must not use up the queries for others.
func (r *Registrar) silentMembers(now cassiatally.Instant) []*entry {
	var out []*entry
	for _, e := range r.table {
		if e.member.DataCentre == r.cfg.DataCentre && now.Sub(e.aliveAt) >= r.cfg.SuspectAfter/2 {
			out = append(out, e)
		}
	}
	suspectLast := func(e *entry) int {
		if r.suspected(now, e) {
			return 1
		}
		return 0
	}
	slices.SortFunc(out, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(suspectLast(a), suspectLast(b)), cmp.Compare(a.aliveAt, b.aliveAt), cmp.Compare(a.member.Ref.Node, b.member.Ref.Node))
	})
	return out
}

// spendAllowance deducts the estimated size of a message from the allowance. It
// reports whether there was enough left.
func (r *Registrar) spendAllowance(size int) bool {
	size += messageBytes
	if size > r.allowance {
		return false
	}
	r.allowance -= size
	return true
}

// probe sends this node's entry to a seed or lost address that belongs to no member of
// the table: always when the table is empty, otherwise with probeProbability.
func (r *Registrar) probe() []cassiatally.Action {
	taken := map[cassiatally.Address]bool{r.cfg.Address: true}
	for _, e := range r.table {
		taken[e.member.Address] = true
	}
	var free []cassiatally.Address
	for _, a := range slices.Concat(r.cfg.Seeds, r.lostAddresses) {
		if !taken[a] {
			free = append(free, a)
		}
	}
	if len(free) == 0 || (len(r.table) > 0 && r.rand.Float64() >= probeProbability) {
		return nil
	}
	to := free[r.rand.IntN(len(free))]
	return []cassiatally.Action{cassiatally.SendAddress{To: to, Message: r.gossipMessage([]cassiatally.Member{r.self})}}
}

func (r *Registrar) gossipMessage(members []cassiatally.Member) cassiatally.Gossip {
	return cassiatally.Gossip{From: r.cfg.Self, Members: members, SheetVersion: r.self.SheetVersion, ShardEpochs: r.shardEpochSum}
}

// roundMessage composes the message of a gossip round: this node, recent changes, and
// fresh heartbeats, those sent least often first.
func (r *Registrar) roundMessage(now cassiatally.Instant, local bool) cassiatally.Gossip {
	room := maxForeignBytes
	if local {
		room = maxLocalBytes
	}
	c := composer{maxBytes: room, maxEntries: maxEntries, usedBytes: crashBytes(r.crashes)}
	if local && !r.carriesLoad(r.self.Heartbeat) {
		c.add(r.heartbeatEntry(r.self, true))
	} else {
		// A receiver without an entry of this node needs the address to answer.
		c.add(r.self)
	}
	for _, m := range r.pendingUpdates.next(room / 2) {
		c.add(m)
	}
	foreign := 0
	for _, e := range r.freshEntries(now) {
		sameDataCentre := e.member.DataCentre == r.cfg.DataCentre
		if !sameDataCentre && foreign == maxForeignHeartbeats {
			continue
		}
		if !c.add(r.heartbeatEntry(e.member, local && sameDataCentre)) {
			break
		}
		e.sent++
		if !sameDataCentre {
			foreign++
		}
	}
	g := r.gossipMessage(c.members)
	g.Crashes = r.crashes
	return g
}

// carriesLoad reports whether the entry with this heartbeat includes the load.
func (r *Registrar) carriesLoad(heartbeat uint64) bool {
	return heartbeat%uint64(1+len(r.table)/membersPerLoad) == 0
}

func (r *Registrar) freshEntries(now cassiatally.Instant) []*entry {
	var fresh []*entry
	for _, e := range r.table {
		if now.Sub(e.aliveAt) < r.cfg.relayPeriod() {
			fresh = append(fresh, e)
		}
	}
	slices.SortFunc(fresh, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(b.aliveAt, a.aliveAt), cmp.Compare(a.member.Ref.Node, b.member.Ref.Node))
	})
	return fresh
}

// peers returns the members of this data centre, or of all others, sorted by name.
func (r *Registrar) peers(local bool) []cassiatally.NodeID {
	var ids []cassiatally.NodeID
	for _, e := range r.order {
		if local == (e.member.DataCentre == r.cfg.DataCentre) {
			ids = append(ids, e.member.Ref.Node)
		}
	}
	return ids
}

func (r *Registrar) pickRandom(ids []cassiatally.NodeID, n int) []cassiatally.NodeID {
	n = min(n, len(ids))
	for i := range n {
		j := i + r.rand.IntN(len(ids)-i)
		ids[i], ids[j] = ids[j], ids[i]
	}
	return ids[:n]
}

// forward sends changes to a few peers immediately, within the allowance. Changes of
// this node itself always go to another data centre, too.
func (r *Registrar) forward(changed []cassiatally.Member, ownChange bool) []cassiatally.Action {
	for _, m := range changed {
		r.pendingUpdates.add(m)
	}
	c := composer{maxBytes: maxReplyBytes, maxEntries: maxEntries}
	for _, m := range changed {
		c.add(m)
	}
	to := r.pickRandom(r.partners(true), eagerPeers)
	if ownChange || r.rand.IntN(eagerForeign) == 0 {
		to = append(to, r.pickRandom(r.partners(false), foreignPeers)...)
	}
	var out []cassiatally.Action
	for _, id := range to {
		if !r.spendAllowance(c.usedBytes) {
			break
		}
		out = append(out, cassiatally.Send{To: id, Message: r.gossipMessage(c.members)})
	}
	return out
}

// removeExpired removes members whose heartbeat stopped, expired tombstones and
// queries older than an interval.
func (r *Registrar) removeExpired(now cassiatally.Instant) {
	lastSeen, foreign := r.lastSeen()
	factor := min(max(foreign/foreignMembersPerFactor, 1), maxForeignFactor)
	for _, e := range slices.Clone(r.order) {
		limit := r.cfg.RemoveAfter
		silent := now.Sub(lastSeen[e.member.DataCentre]) >= limit
		if e.member.DataCentre != r.cfg.DataCentre && !e.member.Leaving && !silent {
			limit *= time.Duration(factor)
		}
		if now.Sub(e.aliveAt) >= limit {
			r.remove(now, e)
		}
	}
	maps.DeleteFunc(r.tombstones, func(_ cassiatally.NodeID, t tombstone) bool {
		return now.Sub(t.at) >= tombstoneFactor*r.cfg.RemoveAfter
	})
	maps.DeleteFunc(r.queriedAt, func(_ cassiatally.NodeID, at cassiatally.Instant) bool {
		return now.Sub(at) >= r.cfg.Interval
	})
}

// lastSeen returns when a heartbeat of each data centre last grew, and the number of
// members of other data centres.
func (r *Registrar) lastSeen() (map[cassiatally.DataCentre]cassiatally.Instant, int) {
	last, foreign := map[cassiatally.DataCentre]cassiatally.Instant{}, 0
	for _, e := range r.table {
		dc := e.member.DataCentre
		if seen, found := last[dc]; !found || seen.Before(e.aliveAt) {
			last[dc] = e.aliveAt
		}
		if dc != r.cfg.DataCentre {
			foreign++
		}
	}
	return last, foreign
}

func (r *Registrar) remove(now cassiatally.Instant, e *entry) {
	id := e.member.Ref.Node
	r.changes++
	r.deleteEntry(id)
	r.pendingUpdates.drop(id)
	if len(r.tombstones) < maxTombstones {
		r.tombstones[id] = tombstone{e.member.Ref, e.member.Heartbeat, now}
	}
	if e.member.Leaving || slices.Contains(r.lostAddresses, e.member.Address) {
		return
	}
	if len(r.lostAddresses) == maxLostAddresses {
		// The address to evict is random, so that addresses of several data centres stay.
		i := r.rand.IntN(maxLostAddresses)
		r.lostAddresses = slices.Delete(r.lostAddresses, i, i+1)
	}
	r.lostAddresses = append(r.lostAddresses, e.member.Address)
}

// blockedByTombstone reports whether an entry is stale gossip about a removed member.
// A member that was only partitioned or paused is added again when it sends its own
// entry, or when its heartbeat grew by more than could be in flight at its removal.
func (r *Registrar) blockedByTombstone(m cassiatally.Member, from cassiatally.NodeRef) bool {
	t, found := r.tombstones[m.Ref.Node]
	if !found || m.Ref == from || m.Ref.Incarnation > t.ref.Incarnation {
		return false
	}
	if m.Ref.Incarnation < t.ref.Incarnation {
		return true
	}
	margin := uint64(math.Ceil(float64(r.cfg.RemoveAfter) / float64(r.cfg.Interval)))
	return m.Heartbeat < t.heartbeat+margin
}
