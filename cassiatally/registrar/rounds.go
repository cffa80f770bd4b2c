package registrar

import (
	"cmp"
	"slices"

	"github.com/cassiatally/cassiatally/cassiatally"
)

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
