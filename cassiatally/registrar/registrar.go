// Package registrar keeps the members and endpoints that a node knows, as a pure
// state machine. Nodes gossip their heartbeats and changes; a member whose
// heartbeat stops growing is suspected and later removed.
//
// An entry travels in one of three forms. A full entry, which has an address,
// tells a change, and nodes forward it at once. A beat, which has none, tells a
// heartbeat, a load and the revision of the full entry. A query, which has no
// heartbeat, asks for the full entry; the reply is never forwarded.
//
// # Usage
//
//	r := registrar.New(cfg, rand)
//	actions := r.SetEndpoint(now, endpoint)
//	actions = append(actions, r.Tick(now)...)                   // every 100 ms or so
//	actions = append(actions, r.HandleGossip(now, from, g)...) // from a link
//	view.Store(r.View(now))
//
// Incarnations of a node must grow, since the greatest one replaces the others;
// a node that starts takes its own from the time of day. A Registrar is not safe
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
	// localPeers and foreignPeers are the partners that get a message in a round.
	localPeers   = 3
	foreignPeers = 1
	// eagerPeers local peers get a change at once; gossip rounds and queries
	// cover the few that a single push misses.
	eagerPeers = 3
	// A change goes to another data centre with one forward in eagerForeign.
	eagerForeign = 4

	// In a second a node sends at most 3 round messages within its data centre, 1
	// to another, and its allowance of replies and forwards: 14,400 bytes, below
	// the target of 16 KB/s. Two messages of 4,500 bytes tell as much, but a change
	// or the last heartbeat of a failed member reaches the last of 132 members later.
	maxLocalBytes   = 3000
	maxForeignBytes = 1800
	allowanceBytes  = 3600
	maxReplyBytes   = 2500
	maxEntries      = 100
	maxAsked        = 24
	// maxPulled bounds the members in a query to a partner.
	maxPulled = 12
	// lastQuery is how long before its suspicion a member is queried directly, in
	// halves of an interval, so that an answer arrives in time. Queries half an
	// interval earlier were four times as many.
	lastQuery  = 3
	maxCrashes = 8
	// crashPeers get news of crashes at once. With four, relayed news misses one
	// node in fifty or so, which a round reaches later.
	crashPeers = 4
	// maxForeignBeats bounds the beats of other data centres in a message within
	// a data centre, so that its own heartbeats have room.
	maxForeignBeats = 10

	maxRumours = 64
	// rumourSends is the number of round messages that repeat a change.
	rumourSends   = 6
	maxSeen       = 1024
	maxTombstones = 1024
	// Stale gossip about a removed member ends once all others removed it too.
	tombstoneFactor = 10
	maxLost         = 32
	// probeChance is the chance, in a round, to try an address that is not known
	// to belong to a member. It finds the others again after a partition.
	probeChance = 0.2

	// introductions bounds the members that a node tells about itself at once when it
	// starts. After a restart of all nodes, rounds alone took more than a second until
	// an entry knew an endpoint of each service.
	introductions = 32
	// youngFor is how long after its start a node introduces each change of itself.
	youngFor = 5 * time.Second

	maxGateways  = 4
	maxEndpoints = 4
	// Beats of many foreign members arrive seldom, so their removal time grows
	// with their number, up to maxForeignFactor.
	foreignPerFactor = 32
	maxForeignFactor = 6
)

// Config has what a node knows about itself, and the timing of gossip.
type Config struct {
	Self         cassiatally.NodeRef
	DataCentre   cassiatally.DataCentre
	Address      cassiatally.Address
	Seeds        []cassiatally.Address
	Interval     time.Duration
	SuspectAfter time.Duration
	RemoveAfter  time.Duration
}

// passOnFor is how long after its growth a heartbeat is passed on. The last one of
// a failed member would otherwise go round for seconds.
func (c Config) passOnFor() time.Duration { return c.SuspectAfter * 2 / 3 }

// crashID names a crash report, and crashCount tells its news.
type crashID struct {
	fingerprint cassiatally.Fingerprint
	reporter    cassiatally.NodeRef
}

type crashCount struct{ clears, crashes uint16 }

// Registrar is the member table of one node.
type Registrar struct {
	cfg     Config
	rand    cassiatally.Rand
	self    cassiatally.Member
	epochs  cassiatally.Epoch
	crashes []cassiatally.CrashReport
	// told has the crash reports that were sent at once.
	told      map[crashID]crashCount
	nextRound cassiatally.Instant
	// started is when the first event came.
	started cassiatally.Instant
	// lastEvent is the time of the last message or tick, by which partners are chosen.
	lastEvent cassiatally.Instant
	// places has the places of this node on the rings.
	places         [rings]uint64
	local, foreign rotation
	allowance      int
	// changes counts what a view shows, but for heartbeats and loads.
	changes uint64
	table   map[cassiatally.NodeID]*entry
	// order has the entries of the table by name.
	order []*entry
	// logScore is that of this node.
	logScore   uint64
	tombstones map[cassiatally.NodeID]tombstone
	asked      map[cassiatally.NodeID]cassiatally.Instant
	rumours    rumours
	lost       []cassiatally.Address
}

type entry struct {
	member cassiatally.Member
	grewAt cassiatally.Instant
	// loadAt is when the member had the load that is known of it.
	loadAt cassiatally.Instant
	// sent counts the beats sent since the heartbeat last grew.
	sent int
	// score orders members of other data centres, the lowest being kept.
	score uint64
	// places has the places of a member of the own data centre on the rings.
	places [rings]uint64
	// logScore orders members of the own data centre as log readers.
	logScore uint64
}

// place returns where an entry is, or would be, in the order.
func (r *Registrar) place(id cassiatally.NodeID) (int, bool) {
	return slices.BinarySearchFunc(r.order, id, func(e *entry, id cassiatally.NodeID) int {
		return cmp.Compare(e.member.Ref.Node, id)
	})
}

func (r *Registrar) put(e *entry) {
	id := e.member.Ref.Node
	r.table[id] = e
	i, found := r.place(id)
	if found {
		r.order[i] = e
		return
	}
	r.order = slices.Insert(r.order, i, e)
}

func (r *Registrar) forget(id cassiatally.NodeID) {
	delete(r.table, id)
	if i, found := r.place(id); found {
		r.order = slices.Delete(r.order, i, i+1)
	}
}

// tombstone keeps a removed incarnation from coming back through stale gossip.
type tombstone struct {
	ref       cassiatally.NodeRef
	heartbeat uint64
	at        cassiatally.Instant
}

// New returns a registrar that knows only its own node.
func New(cfg Config, rand cassiatally.Rand) *Registrar {
	return &Registrar{
		cfg:  cfg,
		rand: rand,
		self: cassiatally.Member{
			Ref: cfg.Self, DataCentre: cfg.DataCentre, Address: cfg.Address, Heartbeat: 1, Revision: 1,
		},
		allowance:  allowanceBytes,
		table:      map[cassiatally.NodeID]*entry{},
		tombstones: map[cassiatally.NodeID]tombstone{},
		asked:      map[cassiatally.NodeID]cassiatally.Instant{},
		rumours:    newRumours(),
		places:     placesOf(cfg.Self.Node),
		logScore:   logScoreOf(cfg.DataCentre, cfg.Self.Node),
	}
}

// Changes counts the changes of members, without heartbeats and loads. A view
// that was taken at the same count differs in those at most.
func (r *Registrar) Changes() uint64 { return r.changes }

// SetEndpoint records the state of the local backend server. A change of
// anything but the load is spread at once.
func (r *Registrar) SetEndpoint(now cassiatally.Instant, e cassiatally.Endpoint) []cassiatally.Action {
	r.begin(now)
	e.Load.Node = r.cfg.Self.Node
	changed := !sameAnnouncement(r.self.Endpoint, e)
	r.self.Endpoint = e
	if !changed {
		return nil
	}
	out := r.changed()
	if r.young(now) {
		out = append(out, r.introduceSelf()...)
	}
	return out
}

// Found takes members that a store knows, and introduces this node to them.
func (r *Registrar) Found(now cassiatally.Instant, members []cassiatally.Member) []cassiatally.Action {
	r.lastEvent = now
	r.begin(now)
	m := merger{Registrar: r, now: now, from: r.cfg.Self}
	for _, member := range members {
		m.merge(member, true)
	}
	if m.crowded {
		r.prune()
	}
	return r.introduceSelf()
}

// begin records when the first event came.
func (r *Registrar) begin(now cassiatally.Instant) {
	if r.started == 0 {
		r.started = now
	}
}

// young reports whether the node started a short time ago.
func (r *Registrar) young(now cassiatally.Instant) bool { return now.Sub(r.started) < youngFor }

// introduceSelf tells members about this node: those of its data centre first.
func (r *Registrar) introduceSelf() []cassiatally.Action {
	ids := r.pick(r.peers(true), introductions)
	ids = append(ids, r.pick(r.peers(false), introductions-len(ids))...)
	g := r.gossip([]cassiatally.Member{r.self})
	out := make([]cassiatally.Action, 0, len(ids))
	for _, id := range ids {
		out = append(out, cassiatally.Send{To: id, Message: g})
	}
	return out
}

func sameAnnouncement(a, b cassiatally.Endpoint) bool {
	return a.Service == b.Service && a.Slots == b.Slots && a.Connections == b.Connections && a.State == b.State
}

// SetLeaving tells all others that the node takes no new work.
func (r *Registrar) SetLeaving(_ cassiatally.Instant) []cassiatally.Action {
	if r.self.Leaving {
		return nil
	}
	r.self.Leaving = true
	return r.changed()
}

func (r *Registrar) changed() []cassiatally.Action {
	r.changes++
	r.self.Revision++
	r.self.Heartbeat++
	return r.forward([]cassiatally.Member{r.self}, true)
}

// SetSheet records the version in force here and tells it to peers at once. It
// does not change the revision: all nodes change their version together, and
// that many full entries would exceed the bound on traffic.
func (r *Registrar) SetSheet(_ cassiatally.Instant, v cassiatally.Version) []cassiatally.Action {
	if v <= r.self.Sheet {
		return nil
	}
	r.self.Sheet = v
	return r.forward(nil, true)
}

// SetShardEpochs records the sum of the shard epochs, which gossip passes on.
func (r *Registrar) SetShardEpochs(e cassiatally.Epoch) { r.epochs = e }

// SetCrashes records the crash reports to pass on; the first few are sent. Those
// that are news are sent at once: a caller that sends the cause again would have
// more backend servers crash until the next round. Receivers do the same, so that
// news spreads to all nodes.
func (r *Registrar) SetCrashes(reports []cassiatally.CrashReport) []cassiatally.Action {
	r.crashes = slices.Clone(reports[:min(len(reports), maxCrashes)])
	news := r.newCrashes()
	if len(news) == 0 {
		return nil
	}
	g := r.gossip(nil)
	g.Crashes = news
	var out []cassiatally.Action
	targets := append(r.pick(r.partners(true), crashPeers), r.pick(r.partners(false), foreignPeers)...)
	for _, to := range targets {
		if !r.spend(crashBytes(news)) {
			break
		}
		out = append(out, cassiatally.Send{To: to, Message: g})
	}
	return out
}

// newCrashes returns the reports that were not sent at once before.
func (r *Registrar) newCrashes() []cassiatally.CrashReport {
	var news []cassiatally.CrashReport
	for _, c := range r.crashes {
		id := crashID{c.Fingerprint, c.Reporter}
		count := crashCount{c.Clears, c.Crashes}
		if r.told[id] == count {
			continue
		}
		if r.told == nil || len(r.told) >= maxSeen {
			r.told = make(map[crashID]crashCount)
		}
		r.told[id] = count
		news = append(news, c)
	}
	return news
}

// Tick removes silent members and starts a gossip round when it is due.
func (r *Registrar) Tick(now cassiatally.Instant) []cassiatally.Action {
	r.lastEvent = now
	r.begin(now)
	if now.Before(r.nextRound) {
		return nil
	}
	// Ticks come late; heartbeats still grow once in an interval.
	r.nextRound = r.nextRound.Add(r.cfg.Interval)
	if now.Reached(r.nextRound) {
		r.nextRound = now.Add(r.cfg.Interval)
	}
	r.allowance = allowanceBytes
	r.self.Heartbeat++
	r.expire(now)
	var out []cassiatally.Action
	for _, to := range r.roundPeers(true) {
		out = append(out, cassiatally.Send{To: to, Message: r.round(now, true)})
	}
	for _, to := range r.roundPeers(false) {
		out = append(out, cassiatally.Send{To: to, Message: r.round(now, false)})
	}
	out = append(out, r.ask(now)...)
	return append(out, r.probe()...)
}

// ask asks a partner for the heartbeats of the members of the own data centre that
// were silent lately, and each of them that would soon be suspected directly.
// Beats alone leave a tenth of 132 members suspected. Direct queries alone were
// 40 of the 47 messages a second of a node, and used links to all members.
func (r *Registrar) ask(now cassiatally.Instant) []cassiatally.Action {
	silent := r.silent(now)
	c := composer{room: maxReplyBytes, entries: maxPulled}
	var direct []cassiatally.Member
	for _, e := range silent {
		query := cassiatally.Member{Ref: e.member.Ref, Revision: e.member.Revision}
		if !r.suspected(now, e) {
			c.add(query)
		}
		if now.Sub(e.grewAt) >= r.suspectAfter()-lastQuery*r.cfg.Interval/2 && len(direct) < maxAsked {
			direct = append(direct, query)
		}
	}
	var out []cassiatally.Action
	if len(c.members) > 0 {
		for _, to := range r.pick(r.partners(true), 1) {
			if r.spend(c.taken) {
				out = append(out, cassiatally.Send{To: to, Message: r.gossip(c.members)})
			}
		}
	}
	for _, query := range direct {
		if !r.spend(sizeOf(query)) {
			break
		}
		out = append(out, cassiatally.Send{To: query.Ref.Node, Message: r.gossip([]cassiatally.Member{query})})
	}
	return out
}

// silent returns the members of the own data centre that were silent lately, the
// most silent first, but suspects last: the members of a rack that failed must not
// take the queries for others.
func (r *Registrar) silent(now cassiatally.Instant) []*entry {
	var out []*entry
	for _, e := range r.table {
		if e.member.DataCentre == r.cfg.DataCentre && now.Sub(e.grewAt) >= r.cfg.SuspectAfter/2 {
			out = append(out, e)
		}
	}
	late := func(e *entry) int {
		if r.suspected(now, e) {
			return 1
		}
		return 0
	}
	slices.SortFunc(out, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(late(a), late(b)), cmp.Compare(a.grewAt, b.grewAt), cmp.Compare(a.member.Ref.Node, b.member.Ref.Node))
	})
	return out
}

// spend takes the estimated size of a message out of the allowance.
func (r *Registrar) spend(size int) bool {
	size += messageBytes
	if size > r.allowance {
		return false
	}
	r.allowance -= size
	return true
}

// probe tries an address whose owner is not known: always when the node is
// alone, now and then otherwise.
func (r *Registrar) probe() []cassiatally.Action {
	known := map[cassiatally.Address]bool{r.cfg.Address: true}
	for _, e := range r.table {
		known[e.member.Address] = true
	}
	var unknown []cassiatally.Address
	for _, a := range slices.Concat(r.cfg.Seeds, r.lost) {
		if !known[a] {
			unknown = append(unknown, a)
		}
	}
	if len(unknown) == 0 || (len(r.table) > 0 && r.rand.Float64() >= probeChance) {
		return nil
	}
	to := unknown[r.rand.IntN(len(unknown))]
	return []cassiatally.Action{cassiatally.SendAddress{To: to, Message: r.gossip([]cassiatally.Member{r.self})}}
}

func (r *Registrar) gossip(members []cassiatally.Member) cassiatally.Gossip {
	return cassiatally.Gossip{From: r.cfg.Self, Members: members, Sheet: r.self.Sheet, ShardEpochs: r.epochs}
}

// round composes the message of a gossip round: this node, recent changes, and
// the freshest beats that were sent least often.
func (r *Registrar) round(now cassiatally.Instant, local bool) cassiatally.Gossip {
	room := maxForeignBytes
	if local {
		room = maxLocalBytes
	}
	c := composer{room: room, entries: maxEntries, taken: crashBytes(r.crashes)}
	if local && !r.tellsLoad(r.self.Heartbeat) {
		c.add(r.beatOf(r.self, true))
	} else {
		// A receiver that does not know this node needs the address to answer.
		c.add(r.self)
	}
	for _, m := range r.rumours.next(room / 2) {
		c.add(m)
	}
	foreign := 0
	for _, e := range r.freshest(now) {
		own := e.member.DataCentre == r.cfg.DataCentre
		if !own && foreign == maxForeignBeats {
			continue
		}
		if !c.add(r.beatOf(e.member, local && own)) {
			break
		}
		e.sent++
		if !own {
			foreign++
		}
	}
	g := r.gossip(c.members)
	g.Crashes = r.crashes
	return g
}

// tellsLoad reports whether the message of a heartbeat carries the load.
func (r *Registrar) tellsLoad(heartbeat uint64) bool {
	return heartbeat%uint64(1+len(r.table)/membersPerLoad) == 0
}

func (r *Registrar) freshest(now cassiatally.Instant) []*entry {
	var fresh []*entry
	for _, e := range r.table {
		if now.Sub(e.grewAt) < r.cfg.passOnFor() {
			fresh = append(fresh, e)
		}
	}
	slices.SortFunc(fresh, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(b.grewAt, a.grewAt), cmp.Compare(a.member.Ref.Node, b.member.Ref.Node))
	})
	return fresh
}

// peers returns the members of the own data centre, or of all others, by name.
func (r *Registrar) peers(local bool) []cassiatally.NodeID {
	var ids []cassiatally.NodeID
	for _, e := range r.order {
		if local == (e.member.DataCentre == r.cfg.DataCentre) {
			ids = append(ids, e.member.Ref.Node)
		}
	}
	return ids
}

func (r *Registrar) pick(ids []cassiatally.NodeID, n int) []cassiatally.NodeID {
	n = min(n, len(ids))
	for i := range n {
		j := i + r.rand.IntN(len(ids)-i)
		ids[i], ids[j] = ids[j], ids[i]
	}
	return ids[:n]
}

// forward sends changes to a few peers at once, within the allowance.
func (r *Registrar) forward(news []cassiatally.Member, own bool) []cassiatally.Action {
	for _, m := range news {
		r.rumours.add(m)
	}
	c := composer{room: maxReplyBytes, entries: maxEntries}
	for _, m := range news {
		c.add(m)
	}
	to := r.pick(r.partners(true), eagerPeers)
	if own || r.rand.IntN(eagerForeign) == 0 {
		to = append(to, r.pick(r.partners(false), foreignPeers)...)
	}
	var out []cassiatally.Action
	for _, id := range to {
		if !r.spend(c.taken) {
			break
		}
		out = append(out, cassiatally.Send{To: id, Message: r.gossip(c.members)})
	}
	return out
}

// expire removes members whose heartbeat stopped and forgets old tombstones.
func (r *Registrar) expire(now cassiatally.Instant) {
	lastSeen, foreign := r.lastSeen()
	factor := min(max(foreign/foreignPerFactor, 1), maxForeignFactor)
	for _, e := range slices.Clone(r.order) {
		limit := r.cfg.RemoveAfter
		silent := now.Sub(lastSeen[e.member.DataCentre]) >= limit
		if e.member.DataCentre != r.cfg.DataCentre && !e.member.Leaving && !silent {
			limit *= time.Duration(factor)
		}
		if now.Sub(e.grewAt) >= limit {
			r.remove(now, e)
		}
	}
	maps.DeleteFunc(r.tombstones, func(_ cassiatally.NodeID, t tombstone) bool {
		return now.Sub(t.at) >= tombstoneFactor*r.cfg.RemoveAfter
	})
	maps.DeleteFunc(r.asked, func(_ cassiatally.NodeID, at cassiatally.Instant) bool {
		return now.Sub(at) >= r.cfg.Interval
	})
}

// lastSeen returns when each data centre last showed life, and the number of
// members of other data centres.
func (r *Registrar) lastSeen() (map[cassiatally.DataCentre]cassiatally.Instant, int) {
	last, foreign := map[cassiatally.DataCentre]cassiatally.Instant{}, 0
	for _, e := range r.table {
		dc := e.member.DataCentre
		if seen, found := last[dc]; !found || seen.Before(e.grewAt) {
			last[dc] = e.grewAt
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
	r.forget(id)
	r.rumours.drop(id)
	if len(r.tombstones) < maxTombstones {
		r.tombstones[id] = tombstone{e.member.Ref, e.member.Heartbeat, now}
	}
	if e.member.Leaving || slices.Contains(r.lost, e.member.Address) {
		return
	}
	if len(r.lost) == maxLost {
		// A random one makes room, so that addresses of several data centres stay.
		i := r.rand.IntN(maxLost)
		r.lost = slices.Delete(r.lost, i, i+1)
	}
	r.lost = append(r.lost, e.member.Address)
}

// buried reports whether an entry is stale gossip about a removed member. A
// member that was only cut off or paused comes back when it speaks for itself,
// or when its heartbeat grew by more than could be under way at its removal.
func (r *Registrar) buried(m cassiatally.Member, from cassiatally.NodeRef) bool {
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
