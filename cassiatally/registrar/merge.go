package registrar

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// HandleGossip merges what another node told.
func (r *Registrar) HandleGossip(now cassiatally.Instant, from cassiatally.NodeRef, g cassiatally.Gossip) []cassiatally.Action {
	if from.Node == r.cfg.Self.Node {
		// A seed address can be the node's own, behind a proxy.
		return nil
	}
	r.lastEvent = now
	m := merger{Registrar: r, now: now, from: from}
	newcomer := r.table[from.Node] == nil
	var source cassiatally.Member
	for _, member := range g.Members {
		if member.Ref == from {
			source = member
		}
		m.merge(member, g.Reply)
	}
	if m.crowded {
		r.prune()
	}
	if newcomer && !g.Reply && source.Address != "" {
		m.introduce()
	}
	var out []cassiatally.Action
	if len(m.news) > 0 {
		out = r.forward(m.news, false)
	}
	return append(out, m.reply(source)...)
}

// merger holds the results of one message.
type merger struct {
	*Registrar
	now     cassiatally.Instant
	from    cassiatally.NodeRef
	news    []cassiatally.Member
	wants   []cassiatally.Member
	answers []cassiatally.Member
	// crowded tells that members of another data centre were added.
	crowded bool
}

func (m *merger) merge(in cassiatally.Member, reply bool) {
	switch {
	case in.Heartbeat == 0:
		m.answer(in)
	case in.Ref.Node == m.cfg.Self.Node, m.buried(in, m.from):
	case in.Address != "":
		m.full(in, reply)
	default:
		m.beat(in)
	}
}

// answer answers a query with the full entry, or with a beat when the query
// names its revision.
func (m *merger) answer(query cassiatally.Member) {
	id := query.Ref.Node
	if id == m.cfg.Self.Node {
		if query.Ref == m.self.Ref && query.Revision == m.self.Revision {
			// Without the load, a node can answer all who ask within its allowance.
			m.answers = append(m.answers, cassiatally.Member{Ref: m.self.Ref, Heartbeat: m.self.Heartbeat, Revision: m.self.Revision, Sheet: m.self.Sheet})
			return
		}
		m.answers = append(m.answers, m.self)
		return
	}
	e, found := m.table[id]
	switch {
	case !found || m.now.Sub(e.grewAt) >= m.cfg.SuspectAfter:
	case query.Ref == e.member.Ref && query.Revision == e.member.Revision:
		if m.now.Sub(e.grewAt) >= m.cfg.passOnFor() {
			return
		}
		m.answers = append(m.answers, cassiatally.Member{Ref: query.Ref, Heartbeat: e.member.Heartbeat, Revision: query.Revision, Sheet: e.member.Sheet})
	default:
		m.answers = append(m.answers, e.member)
	}
}

func (m *merger) full(in cassiatally.Member, reply bool) {
	old, found := m.table[in.Ref.Node]
	if found && older(in, old.member) {
		return
	}
	news := !found || in.Ref != old.member.Ref || in.Revision > old.member.Revision
	if !found || in.Ref != old.member.Ref {
		m.insert(in)
	} else {
		m.update(old, in, true)
	}
	// Rounds introduce their sender to other data centres. That is no change,
	// and forwarding it would flood the data centre with every first contact.
	introduction := !found && in.Ref == m.from && in.DataCentre != m.cfg.DataCentre
	if news && !reply && !introduction && m.rumours.isNews(in) {
		m.news = append(m.news, in)
	}
}

func older(in, known cassiatally.Member) bool {
	if in.Ref.Incarnation != known.Ref.Incarnation {
		return in.Ref.Incarnation < known.Ref.Incarnation
	}
	return in.Revision < known.Revision || (in.Revision == known.Revision && in.Heartbeat <= known.Heartbeat)
}

func (m *merger) insert(in cassiatally.Member) {
	delete(m.tombstones, in.Ref.Node)
	delete(m.asked, in.Ref.Node)
	in.Endpoint.Load.Node = in.Ref.Node
	m.changes++
	m.put(&entry{
		member: in, grewAt: m.now, loadAt: m.now, score: m.score(in.Ref.Node),
		places: placesOf(in.Ref.Node), logScore: logScoreOf(m.cfg.DataCentre, in.Ref.Node),
	})
	m.crowded = m.crowded || in.DataCentre != m.cfg.DataCentre
}

// update takes over what is newer in an entry of the same incarnation.
func (m *merger) update(e *entry, in cassiatally.Member, full bool) {
	heartbeat := max(e.member.Heartbeat, in.Heartbeat)
	if in.Heartbeat > e.member.Heartbeat {
		e.grewAt, e.sent = m.lastSign(e, in), 0
		e.member.Sheet = max(e.member.Sheet, in.Sheet)
		if in.Endpoint.Load != (cassiatally.EndpointLoad{}) {
			e.loadAt = e.grewAt
			e.member.Endpoint.Load = in.Endpoint.Load
			e.member.Endpoint.Levels = levelsFrom(in.Endpoint.Levels, len(e.member.Endpoint.Levels))
		}
	}
	if full && in.Revision > e.member.Revision {
		m.changes++
		e.member = in
	}
	e.member.Heartbeat = heartbeat
	e.member.Endpoint.Load.Node = e.member.Ref.Node
}

// lastSign returns when the member showed its last sign of life. A heartbeat
// that comes through others may be old, so each step of growth counts for one
// interval and a quarter, which allows for members whose rounds are late. Counting
// from the arrival instead kept dead members for up to 19 s, and with an interval
// and a half the last of 132 members knew of a failure 1 s later.
func (m *merger) lastSign(e *entry, in cassiatally.Member) cassiatally.Instant {
	grown := in.Heartbeat - e.member.Heartbeat
	most := uint64(m.cfg.RemoveAfter / m.cfg.Interval)
	if in.Ref == m.from || grown >= most {
		return m.now
	}
	return min(m.now, e.grewAt.Add(time.Duration(grown)*m.cfg.Interval*5/4))
}

func (m *merger) beat(in cassiatally.Member) {
	if in.DataCentre == "" {
		in.DataCentre = m.cfg.DataCentre
	}
	e, found := m.table[in.Ref.Node]
	switch {
	case !found:
		if m.wanted(in) {
			m.want(in.Ref)
		}
	case in.Ref.Incarnation < e.member.Ref.Incarnation:
	case in.Ref.Incarnation > e.member.Ref.Incarnation, in.Revision > e.member.Revision:
		m.want(in.Ref)
	default:
		m.update(e, in, false)
	}
}

func (m *merger) want(ref cassiatally.NodeRef) {
	if _, asked := m.asked[ref.Node]; asked {
		return
	}
	m.asked[ref.Node] = m.now
	m.wants = append(m.wants, cassiatally.Member{Ref: ref})
}

// introduce tells a newcomer about members of its data centre and gateways.
func (m *merger) introduce() {
	ids := slices.Concat(m.pick(m.peers(true), maxEntries), m.pick(m.peers(false), maxGateways))
	for _, id := range ids {
		if id != m.from.Node {
			m.answer(cassiatally.Member{Ref: m.table[id].member.Ref})
		}
	}
	m.answers = append([]cassiatally.Member{m.self}, m.answers...)
}

// reply sends queries and answers to the node that the message came from.
func (m *merger) reply(source cassiatally.Member) []cassiatally.Action {
	c := composer{room: min(maxReplyBytes, m.allowance-messageBytes), entries: maxEntries}
	for _, member := range slices.Concat(m.answers, m.wants) {
		c.add(member)
	}
	if len(c.members) == 0 {
		return nil
	}
	m.spend(c.taken)
	g := m.gossip(c.members)
	g.Reply = true
	_, known := m.table[m.from.Node]
	if !known && source.Address == "" {
		return nil
	}
	if !known {
		return []cassiatally.Action{cassiatally.SendAddress{To: source.Address, Message: g}}
	}
	return []cassiatally.Action{cassiatally.Send{To: m.from.Node, Message: g}}
}

// wanted reports whether a member that is not in the table belongs there.
func (r *Registrar) wanted(in cassiatally.Member) bool {
	if in.DataCentre == r.cfg.DataCentre {
		return true
	}
	gateways, endpoints, score := 0, 0, r.score(in.Ref.Node)
	for _, e := range r.table {
		if e.member.DataCentre == r.cfg.DataCentre || e.member.Leaving || e.score > score {
			continue
		}
		if e.member.DataCentre == in.DataCentre {
			gateways++
		}
		if e.member.Endpoint.Service == in.Endpoint.Service {
			endpoints++
		}
	}
	return gateways < maxGateways || (in.Endpoint.Service != "" && endpoints < maxEndpoints)
}

// prune forgets the members of other data centres that are neither among the
// gateways of their data centre nor among the endpoints kept of their service.
func (r *Registrar) prune() {
	ids := r.peers(false)
	slices.SortFunc(ids, func(a, b cassiatally.NodeID) int {
		return cmp.Or(cmp.Compare(r.table[a].score, r.table[b].score), cmp.Compare(a, b))
	})
	gateways := map[cassiatally.DataCentre]int{}
	endpoints := map[cassiatally.Service]int{}
	for _, id := range ids {
		m := r.table[id].member
		if m.Leaving {
			// It takes no place, but must be known as leaving until it is silent.
			continue
		}
		service := m.Endpoint.Service
		kept := gateways[m.DataCentre] < maxGateways || (service != "" && endpoints[service] < maxEndpoints)
		gateways[m.DataCentre]++
		endpoints[service]++
		if !kept {
			r.changes++
			r.forget(id)
		}
	}
}

// score orders members by rendezvous hash with the own id, so that nodes keep
// different members and load spreads.
func (r *Registrar) score(id cassiatally.NodeID) uint64 {
	return xxhash.Sum64String(string(r.cfg.Self.Node) + "\x00" + string(id))
}
