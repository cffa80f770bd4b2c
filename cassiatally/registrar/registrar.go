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
