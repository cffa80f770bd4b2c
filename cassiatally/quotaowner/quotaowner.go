// Package quotaowner decides, at a candidate, which tenants' quotas the node owns and how
// many tokens it grants to the nodes where requests enter. It does no I/O.
//
// The owner of a tenant is the first live and eligible candidate in the rendezvous order
// of the tenant. Candidates announce with beats that they are live. Two rules keep
// the sum of all grants within the quota: an owner grants the fraction of the quota that
// corresponds to the data centres it reaches, and it grants nothing until its predecessor
// is known to have stopped. docs/design/quotas.md has the reasoning.
//
// # Usage
//
//	o := quotaowner.New(self)
//	o.SetTenants(now, table.Tenants)
//	o.SetMembers(now, quotaowner.MembersOf(self, view.Members, view.Suspects))
//	beat, to := o.Tick(now)             // send beat to each of to
//	reply, ok := o.HandleBeat(now, b)   // send reply to the sender if ok
//	grant := o.HandleRequest(now, r)    // send grant to the sender
//
// An Owner is used by one goroutine.
package quotaowner

import (
	"cmp"
	"slices"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	// BeatInterval is the time between two beats.
	BeatInterval = 500 * time.Millisecond
	// liveFor is how long a candidate is live after its last beat.
	liveFor = 1500 * time.Millisecond
	// takeoverWait is how long after the silence of a predecessor was noticed the next
	// owner waits. The predecessor notices within liveFor that it is cut off.
	takeoverWait = 1500 * time.Millisecond
	// settleTime is the time without isolation before a candidate becomes eligible. All
	// live candidates send a beat within it.
	settleTime = 1500 * time.Millisecond
	// reachedFor is how long a data centre has to be reached again before the fraction
	// rises. The owner on its side has stopped by then.
	reachedFor = 3 * time.Second
	// sizeMemory is how long the size of a data centre is remembered.
	sizeMemory = 60 * time.Second
	// maxStall is the time between two ticks from which on the state is discarded: beats
	// that arrived meanwhile look newer than they are.
	maxStall = time.Second
)

// Owner is the state of a candidate. New makes one.
type Owner struct {
	self    cassiatally.QuotaCandidate
	tenants map[cassiatally.Tenant]*bucket
	peers   map[cassiatally.NodeID]*peer
	sites   map[cassiatally.DataCentre]*site
	members Members
	// knownSizes has the recent sizes of the own data centre.
	knownSizes []sizeAt
	leaving    bool
	lastTick   cassiatally.Instant
	nextBeat   cassiatally.Instant
	// settled is when the node becomes eligible, unless it is isolated.
	settled  cassiatally.Instant
	eligible bool
	isolated bool
	// announced is whether the last beats said that the node is eligible.
	announced bool
}

// peer is another candidate.
type peer struct {
	candidate cassiatally.QuotaCandidate
	beatAt    cassiatally.Instant
	hasBeat   bool
	eligible  bool
	// seesSelf is set while the peer takes this node for live and eligible.
	seesSelf bool
	// alive has the candidates that the peer takes for live and eligible.
	alive []cassiatally.NodeID
	// reportedAt is when another candidate last stated that this one is alive.
	reportedAt cassiatally.Instant
}

func (p *peer) live(now cassiatally.Instant) bool {
	return p.hasBeat && now.Before(p.beatAt.Add(liveFor))
}

// site is another data centre.
type site struct {
	known int
	// seenAt is when its size was last reported, or a member of it was in the table.
	seenAt cassiatally.Instant
	// reachedSince is when the present contact began, and contactAt its last beat.
	reachedSince, contactAt cassiatally.Instant
	contacted               bool
}

type sizeAt struct {
	at   cassiatally.Instant
	size int
}

// New returns the state of a node that is about to start.
func New(self cassiatally.QuotaCandidate) *Owner {
	return &Owner{
		self:    self,
		tenants: make(map[cassiatally.Tenant]*bucket),
		peers:   make(map[cassiatally.NodeID]*peer),
		sites:   make(map[cassiatally.DataCentre]*site),
	}
}

// Active reports whether a tenant has a limit. Nothing is sent otherwise.
func (o *Owner) Active() bool { return len(o.tenants) > 0 }

// Eligible reports whether the node grants tokens of the tenants it owns.
func (o *Owner) Eligible() bool { return o.eligible }

// Isolated reports whether the node is a candidate that grants nothing because it reaches
// too few others.
func (o *Owner) Isolated() bool { return o.isolated && o.candidate() }

// Owned returns the number of tenants that the node owns.
func (o *Owner) Owned() int {
	n := 0
	for _, b := range o.tenants {
		if b.owned {
			n++
		}
	}
	return n
}

// SetTenants replaces the quotas. A lower one applies at once.
func (o *Owner) SetTenants(now cassiatally.Instant, tenants []cassiatally.TenantSpec) {
	if !o.Active() {
		o.restart(now)
	}
	limited := make(map[cassiatally.Tenant]*bucket, len(tenants))
	for i := range tenants {
		t := &tenants[i]
		if t.Rate <= 0 {
			continue
		}
		b := o.tenants[t.Name]
		if b == nil {
			b = &bucket{}
		}
		b.refill(now, o.Fraction(now))
		b.rate, b.burst = float64(t.Rate), t.Burst
		b.refill(now, o.Fraction(now))
		limited[t.Name] = b
	}
	o.tenants = limited
	o.eligible = o.eligible && o.Active()
}

// SetMembers replaces what is known of the members.
func (o *Owner) SetMembers(now cassiatally.Instant, m Members) {
	o.members = m
	o.knownSizes = slices.DeleteFunc(o.knownSizes, func(s sizeAt) bool {
		return s.size <= m.Known || now.Sub(s.at) > sizeMemory
	})
	o.knownSizes = append(o.knownSizes, sizeAt{at: now, size: m.Known})
	for _, g := range m.Gateways {
		o.siteOf(g.DataCentre).seenAt = now
	}
}

// SetLeaving makes the node stop to grant, because it is about to stop. The next Tick
// announces it.
func (o *Owner) SetLeaving(now cassiatally.Instant) {
	o.leaving = true
	o.updateEligible(now)
}

// restart discards all that was received and granted.
func (o *Owner) restart(now cassiatally.Instant) {
	clear(o.peers)
	for _, s := range o.sites {
		s.contacted = false
	}
	o.settled = now.Add(settleTime)
	o.lastTick, o.nextBeat = now, now
	o.eligible = false
	o.disown()
}

// candidate reports whether this node is one of the candidates of its data centre.
func (o *Owner) candidate() bool {
	return slices.ContainsFunc(o.members.Local, func(c cassiatally.QuotaCandidate) bool { return c.Node == o.self.Node })
}

// known returns the greatest recent size of the own data centre.
func (o *Owner) known(now cassiatally.Instant) int {
	n := o.members.Known
	for _, s := range o.knownSizes {
		if now.Sub(s.at) <= sizeMemory {
			n = max(n, s.size)
		}
	}
	return max(n, 1)
}

func (o *Owner) siteOf(dc cassiatally.DataCentre) *site {
	s := o.sites[dc]
	if s == nil {
		s = &site{}
		o.sites[dc] = s
	}
	return s
}

// Tick returns a beat and whom to send it to. It has to be called at least every 100 ms
// while Active.
func (o *Owner) Tick(now cassiatally.Instant) (cassiatally.QuotaBeat, []cassiatally.QuotaCandidate) {
	if !o.Active() {
		return cassiatally.QuotaBeat{}, nil
	}
	if now.Sub(o.lastTick) > maxStall {
		o.restart(now)
	}
	o.lastTick = now
	o.update(now)
	o.forget(now)
	// A change is announced at once: the next owner waits for it.
	if due := o.candidate() && now.Reached(o.nextBeat); !due && o.eligible == o.announced {
		return cassiatally.QuotaBeat{}, nil
	}
	o.nextBeat, o.announced = now.Add(BeatInterval), o.eligible
	return o.beat(now), o.targets(now)
}

// update decides whether the node is isolated and eligible, and which tenants it owns.
func (o *Owner) update(now cassiatally.Instant) {
	o.updateEligible(now)
	if !o.eligible {
		return
	}
	fraction := o.Fraction(now)
	for name, b := range o.tenants {
		o.updateOwned(now, name, b, fraction)
	}
}

// updateEligible decides whether the node is isolated and eligible.
func (o *Owner) updateEligible(now cassiatally.Instant) {
	o.isolated = o.computeIsolated(now)
	if o.isolated || !o.candidate() {
		o.settled = max(o.settled, now.Add(settleTime))
	}
	eligible := o.candidate() && !o.isolated && !o.leaving && now.Reached(o.settled)
	if o.eligible && !eligible {
		o.disown()
	}
	o.eligible = eligible
}

// disown ends the ownership of all tenants.
func (o *Owner) disown() {
	for _, b := range o.tenants {
		b.owned = false
	}
}

// updateOwned decides whether the node owns a tenant, and returns the candidate that does
// if one is known.
func (o *Owner) updateOwned(now cassiatally.Instant, t cassiatally.Tenant, b *bucket, fraction float64) *peer {
	better := o.better(now, t)
	owned := o.eligible && better == nil
	if owned && !b.owned {
		b.own(now, fraction)
	}
	b.owned = owned
	// Each span of time counts with the fraction that it had.
	b.refill(now, fraction)
	return better
}

// forget removes candidates that were silent for long.
func (o *Owner) forget(now cassiatally.Instant) {
	for id, p := range o.peers {
		if now.Sub(p.beatAt) > sizeMemory {
			delete(o.peers, id)
		}
	}
}

// computeIsolated reports whether the node could be on the smaller side of a partition
// that divides its data centre. Gossip notices that after seconds only, so the live
// candidates count as well: at most two hosts are cut off together, so that three live
// candidates, or all of a data centre, are not such a part.
func (o *Owner) computeIsolated(now cassiatally.Instant) bool {
	if 2*o.members.Live <= o.known(now) {
		return true
	}
	local, all := 0, 1
	for _, c := range o.members.Local {
		if p := o.peers[c.Node]; c.Node == o.self.Node || (p != nil && p.live(now)) {
			local++
		}
	}
	for _, p := range o.peers {
		if p.live(now) {
			all++
		}
	}
	total := len(o.members.Local)
	return local < total && (2*local <= total || all < minLive)
}

// minLive is one more than the number of hosts that are cut off at the same time.
const minLive = 3

// better returns the first live and eligible candidate before this node in the order of
// a tenant, nil when there is none. A silent candidate that is alive for a live one counts: only
// the link to it may be cut, and it still grants.
func (o *Owner) better(now cassiatally.Instant, t cassiatally.Tenant) *peer {
	var best *peer
	score := Score(t, o.self.Node)
	if !o.eligible {
		score = ^uint64(0)
	}
	for id, p := range o.peers {
		if !p.live(now) {
			continue
		}
		if s := Score(t, id); p.eligible && s < score {
			best, score = p, s
		}
		for _, other := range p.alive {
			if s := Score(t, other); s < score && other != o.self.Node && o.silent(now, other) {
				best, score = o.recordOf(other), s
			}
		}
	}
	return best
}

// silent reports whether a candidate is not live for this node.
func (o *Owner) silent(now cassiatally.Instant, n cassiatally.NodeID) bool {
	p := o.peers[n]
	return p == nil || !p.live(now)
}

// recordOf returns the record of a candidate, or one with its name only.
func (o *Owner) recordOf(n cassiatally.NodeID) *peer {
	if p := o.peers[n]; p != nil {
		return p
	}
	return &peer{candidate: cassiatally.QuotaCandidate{Node: n}}
}

// ready reports whether no other node grants tokens of a tenant that this node owns.
func (o *Owner) ready(now cassiatally.Instant, t cassiatally.Tenant, b *bucket) bool {
	self := Score(t, o.self.Node)
	for id, p := range o.peers {
		switch {
		case Score(t, id) < self && !p.live(now) && now.Before(p.reportedAt.Add(takeoverWait)):
			// The last one that received its beats may have lost it before it knows.
			return false
		case !p.eligible:
		case p.live(now):
			// It has stopped once it receives the beats of this node.
			if !p.seesSelf && now.Before(b.ownedSince.Add(takeoverWait)) {
				return false
			}
		case Score(t, id) < self || !p.seesSelf:
			if now.Before(p.beatAt.Add(liveFor + takeoverWait)) {
				return false
			}
		}
	}
	return true
}

// Fraction returns the part of each quota that the node may grant.
func (o *Owner) Fraction(now cassiatally.Instant) float64 {
	own := o.known(now)
	reached, all := own, own
	for _, s := range o.sites {
		if now.Sub(s.seenAt) > sizeMemory {
			continue
		}
		// A data centre that never sent a beat counts as large as the own one.
		size := cmp.Or(s.known, own)
		all += size
		if s.contacted && now.Before(s.contactAt.Add(liveFor)) && now.Reached(s.reachedSince) {
			reached += size
		}
	}
	return float64(reached) / float64(all)
}

// fleet returns the number of members of all data centres, 0 while it is unknown.
func (o *Owner) fleet(now cassiatally.Instant) int {
	if !o.eligible {
		return 0
	}
	n := o.known(now)
	for _, s := range o.sites {
		if now.Sub(s.seenAt) <= sizeMemory {
			if s.known == 0 {
				return 0
			}
			n += s.known
		}
	}
	return n
}
