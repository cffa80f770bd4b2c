package quotaowner

import (
	"cmp"
	"slices"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// maxPeers bounds the candidates that a node remembers. Three of each data centre are
// expected; more are known for a while after members have changed.
const maxPeers = 64

// HandleBeat records a beat of another node. It returns the beat to send back, if any.
func (o *Owner) HandleBeat(now cassiatally.Instant, b cassiatally.QuotaBeat) (cassiatally.QuotaBeat, bool) {
	if !o.Active() || b.From.Node == o.self.Node {
		return cassiatally.QuotaBeat{}, false
	}
	if b.From.DataCentre != o.self.DataCentre {
		// The members of a data centre know its candidates best.
		for _, c := range b.Candidates {
			if c.DataCentre == b.From.DataCentre && c.Node != o.self.Node {
				o.peerOf(c)
			}
		}
	}
	if b.Known <= 0 {
		// The sender is no candidate, or no more.
		if p := o.peers[b.From.Node]; p != nil {
			p.eligible = false
		}
		return cassiatally.QuotaBeat{}, false
	}
	if !o.candidate() {
		return o.beat(now), true
	}
	p := o.peerOf(b.From)
	if p == nil {
		return cassiatally.QuotaBeat{}, false
	}
	changed := !p.live(now) || p.eligible != b.Eligible
	p.candidate, p.beatAt, p.hasBeat, p.eligible = b.From, now, true, b.Eligible
	p.alive, p.seesSelf = b.Alive, slices.Contains(b.Alive, o.self.Node)
	for _, other := range b.Alive {
		if q := o.peers[other]; q != nil {
			q.reportedAt = now
		}
	}
	if b.From.DataCentre != o.self.DataCentre {
		o.contact(now, b)
	}
	if changed {
		// The sender waits until it knows that this node has stopped.
		o.update(now)
	}
	return o.beat(now), changed
}

// contact records that another data centre is reached.
func (o *Owner) contact(now cassiatally.Instant, b cassiatally.QuotaBeat) {
	s := o.siteOf(b.From.DataCentre)
	switch {
	case now.Before(o.settled):
		// Other owners go on until this node is eligible and they receive its beats.
		s.reachedSince = now
	case !s.contacted, now.Reached(s.contactAt.Add(liveFor)):
		s.reachedSince = now.Add(reachedFor)
	}
	s.contacted, s.contactAt, s.seenAt = true, now, now
	s.known = b.Known
}

// peerOf returns the record of a candidate, nil when there are too many.
func (o *Owner) peerOf(c cassiatally.QuotaCandidate) *peer {
	p := o.peers[c.Node]
	if p == nil && len(o.peers) < maxPeers {
		p = &peer{candidate: c, beatAt: o.lastTick}
		o.peers[c.Node] = p
	}
	return p
}

// beat leaves Known at 0 unless this node is a candidate.
func (o *Owner) beat(now cassiatally.Instant) cassiatally.QuotaBeat {
	b := cassiatally.QuotaBeat{From: o.self, Eligible: o.eligible, Live: o.members.Live, Candidates: o.members.Local}
	if !o.candidate() {
		return b
	}
	b.Known = o.known(now)
	for id, p := range o.peers {
		if p.eligible && p.live(now) {
			b.Alive = append(b.Alive, id)
		}
	}
	slices.Sort(b.Alive)
	return b
}

// targets returns whom a beat is sent to: the other candidates, and some members of each
// data centre of which no candidate is live, which answer with its candidates.
func (o *Owner) targets(now cassiatally.Instant) []cassiatally.QuotaCandidate {
	var to []cassiatally.QuotaCandidate
	seen := map[cassiatally.NodeID]bool{o.self.Node: true}
	reached := map[cassiatally.DataCentre]bool{o.self.DataCentre: true}
	add := func(c cassiatally.QuotaCandidate) {
		if !seen[c.Node] {
			seen[c.Node] = true
			to = append(to, c)
		}
	}
	for _, c := range o.members.Local {
		add(c)
	}
	for _, p := range o.peers {
		reached[p.candidate.DataCentre] = reached[p.candidate.DataCentre] || p.live(now)
		// Former candidates answer no more.
		if p.live(now) || now.Sub(p.beatAt) < sizeMemory {
			add(p.candidate)
		}
	}
	for _, g := range o.members.Gateways {
		if !reached[g.DataCentre] {
			add(g)
		}
	}
	slices.SortFunc(to, func(a, b cassiatally.QuotaCandidate) int { return cmp.Compare(a.Node, b.Node) })
	return to
}
