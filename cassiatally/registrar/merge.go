package registrar

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// HandleGossip merges the entries of a message from another node, forwards changes
// and answers queries.
func (r *Registrar) HandleGossip(now cassiatally.Instant, from cassiatally.NodeRef, g cassiatally.Gossip) []cassiatally.Action {
	if from.Node == r.cfg.Self.Node {
		// A seed address can reach the node itself through a proxy.
		return nil
	}
	r.lastEvent = now
	m := merger{Registrar: r, now: now, from: from}
	newcomer := r.hasStarted(from)
	var source cassiatally.Member
	for _, member := range g.Members {
		if member.Ref == from {
			source = member
		}
		m.merge(member, g.Reply)
	}
	if m.foreignAdded {
		r.prune()
	}
	if newcomer && !g.Reply && source.Address != "" {
		m.sendMembersToNewcomer()
	}
	var out []cassiatally.Action
	if len(m.changed) > 0 {
		out = r.forward(m.changed, false)
	}
	return append(out, m.reply(source)...)
}

// hasStarted reports whether the sender of a message is new here, or was restarted and
// has lost its table.
func (r *Registrar) hasStarted(from cassiatally.NodeRef) bool {
	e := r.table[from.Node]
	return e == nil || e.member.Ref.Incarnation < from.Incarnation
}

// merger merges the entries of one message and collects what to send because of them.
type merger struct {
	*Registrar
	now     cassiatally.Instant
	from    cassiatally.NodeRef
	changed []cassiatally.Member
	queries []cassiatally.Member
	answers []cassiatally.Member
	// foreignAdded is set when members of another data centre were added, so that the
	// table has to be pruned.
	foreignAdded bool
}

func (m *merger) merge(in cassiatally.Member, reply bool) {
	switch {
	case in.Heartbeat == 0:
		m.answerQuery(in)
	case in.Ref.Node == m.cfg.Self.Node, m.blockedByTombstone(in, m.from):
	case in.Address != "":
		m.mergeFull(in, reply)
	default:
		m.mergeHeartbeat(in)
	}
}

// answerQuery answers a query with the full entry, or with a heartbeat entry when the
// query has the current revision.
func (m *merger) answerQuery(query cassiatally.Member) {
	id := query.Ref.Node
	if id == m.cfg.Self.Node {
		if query.Ref == m.self.Ref && query.Revision == m.self.Revision {
			// Without the load, the answers to all queries fit into the node's allowance.
			m.answers = append(m.answers, cassiatally.Member{Ref: m.self.Ref, Heartbeat: m.self.Heartbeat, Revision: m.self.Revision, SheetVersion: m.self.SheetVersion})
			return
		}
		m.answers = append(m.answers, m.self)
		return
	}
	e, found := m.table[id]
	switch {
	case !found || m.now.Sub(e.aliveAt) >= m.cfg.SuspectAfter:
	case query.Ref == e.member.Ref && query.Revision == e.member.Revision:
		if m.now.Sub(e.aliveAt) >= m.cfg.relayPeriod() {
			return
		}
		m.answers = append(m.answers, cassiatally.Member{Ref: query.Ref, Heartbeat: e.member.Heartbeat, Revision: query.Revision, SheetVersion: e.member.SheetVersion})
	default:
		m.answers = append(m.answers, e.member)
	}
}

func (m *merger) mergeFull(in cassiatally.Member, reply bool) {
	old, found := m.table[in.Ref.Node]
	if found && isOlder(in, old.member) {
		return
	}
	changed := !found || in.Ref != old.member.Ref || in.Revision > old.member.Revision
	if !found || in.Ref != old.member.Ref {
		m.insert(in)
	} else {
		m.update(old, in, true)
	}
	// Rounds announce their sender to other data centres. The first entry of such a
	// sender is not a change, and forwarding it would flood the data centre with every
	// first contact.
	introduction := !found && in.Ref == m.from && in.DataCentre != m.cfg.DataCentre
	if changed && !reply && !introduction && m.pendingUpdates.isNew(in) {
		m.changed = append(m.changed, in)
	}
}

func isOlder(in, recorded cassiatally.Member) bool {
	if in.Ref.Incarnation != recorded.Ref.Incarnation {
		return in.Ref.Incarnation < recorded.Ref.Incarnation
	}
	return in.Revision < recorded.Revision || (in.Revision == recorded.Revision && in.Heartbeat <= recorded.Heartbeat)
}

func (m *merger) insert(in cassiatally.Member) {
	delete(m.tombstones, in.Ref.Node)
	delete(m.queriedAt, in.Ref.Node)
	in.Endpoint.Load.Node = in.Ref.Node
	m.changes++
	m.putEntry(&entry{
		member: in, aliveAt: m.now, loadAt: m.now, score: m.score(in.Ref.Node),
		ringPositions: ringPositionsOf(in.Ref.Node), logScore: logScoreOf(m.cfg.DataCentre, in.Ref.Node),
	})
	m.foreignAdded = m.foreignAdded || in.DataCentre != m.cfg.DataCentre
}

// update copies what is newer in an entry of the same incarnation.
func (m *merger) update(e *entry, in cassiatally.Member, full bool) {
	heartbeat := max(e.member.Heartbeat, in.Heartbeat)
	if in.Heartbeat > e.member.Heartbeat {
		e.aliveAt, e.sent = m.lastAlive(e, in), 0
		e.member.SheetVersion = max(e.member.SheetVersion, in.SheetVersion)
		if in.Endpoint.Load != (cassiatally.EndpointLoad{}) {
			e.loadAt = e.aliveAt
			e.member.Endpoint.Load = in.Endpoint.Load
			e.member.Endpoint.Levels = expandLevels(in.Endpoint.Levels, len(e.member.Endpoint.Levels))
		}
	}
	if full && in.Revision > e.member.Revision {
		m.changes++
		e.member = in
	}
	e.member.Heartbeat = heartbeat
	e.member.Endpoint.Load.Node = e.member.Ref.Node
}

// lastAlive returns when the member was last alive. A relayed heartbeat may be old, so
// each step of growth counts for one interval and a quarter, which allows for members
// whose rounds are late. Counting from the arrival instead kept dead members for up to
// 19 s, and with an interval and a half the last of 132 members detected a failure 1 s
// later.
func (m *merger) lastAlive(e *entry, in cassiatally.Member) cassiatally.Instant {
	growth := in.Heartbeat - e.member.Heartbeat
	maxGrowth := uint64(m.cfg.RemoveAfter / m.cfg.Interval)
	if in.Ref == m.from || growth >= maxGrowth {
		return m.now
	}
	return min(m.now, e.aliveAt.Add(time.Duration(growth)*m.cfg.Interval*5/4))
}

func (m *merger) mergeHeartbeat(in cassiatally.Member) {
	if in.DataCentre == "" {
		in.DataCentre = m.cfg.DataCentre
	}
	e, found := m.table[in.Ref.Node]
	switch {
	case !found:
		if m.shouldKeep(in) {
			m.queryFull(in.Ref)
		}
	case in.Ref.Incarnation < e.member.Ref.Incarnation:
	case in.Ref.Incarnation > e.member.Ref.Incarnation, in.Revision > e.member.Revision:
		m.queryFull(in.Ref)
	default:
		m.update(e, in, false)
	}
}

func (m *merger) queryFull(ref cassiatally.NodeRef) {
	if _, asked := m.queriedAt[ref.Node]; asked {
		return
	}
	m.queriedAt[ref.Node] = m.now
	m.queries = append(m.queries, cassiatally.Member{Ref: ref})
}

// sendMembersToNewcomer answers a new member with entries of the members of its data
// centre and of gateways to others.
func (m *merger) sendMembersToNewcomer() {
	ids := slices.Concat(m.pickRandom(m.peers(true), maxEntries), m.pickRandom(m.peers(false), maxGateways))
	for _, id := range ids {
		if id != m.from.Node {
			m.answerQuery(cassiatally.Member{Ref: m.table[id].member.Ref})
		}
	}
	m.answers = append([]cassiatally.Member{m.self}, m.answers...)
}

// reply sends answers and queries to the sender of the message.
func (m *merger) reply(source cassiatally.Member) []cassiatally.Action {
	c := composer{maxBytes: min(maxReplyBytes, m.allowance-messageBytes), maxEntries: maxEntries}
	for _, member := range slices.Concat(m.answers, m.queries) {
		c.add(member)
	}
	if len(c.members) == 0 {
		return nil
	}
	m.spendAllowance(c.usedBytes)
	g := m.gossipMessage(c.members)
	g.Reply = true
	_, found := m.table[m.from.Node]
	if !found && source.Address == "" {
		return nil
	}
	if !found {
		return []cassiatally.Action{cassiatally.SendAddress{To: source.Address, Message: g}}
	}
	return []cassiatally.Action{cassiatally.Send{To: m.from.Node, Message: g}}
}

// shouldKeep reports whether a member that is not in the table should be added.
func (r *Registrar) shouldKeep(in cassiatally.Member) bool {
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

// prune evicts the members of other data centres that are neither among the
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
			// It counts towards no limit, but its entry stays, as leaving, until it expires.
			continue
		}
		service := m.Endpoint.Service
		kept := gateways[m.DataCentre] < maxGateways || (service != "" && endpoints[service] < maxEndpoints)
		gateways[m.DataCentre]++
		endpoints[service]++
		if !kept {
			r.changes++
			r.deleteEntry(id)
		}
	}
}

// score is the rendezvous hash of a member with this node's id. It orders members
// differently on each node, so that nodes keep different ones and load spreads.
func (r *Registrar) score(id cassiatally.NodeID) uint64 {
	return xxhash.Sum64String(string(r.cfg.Self.Node) + "\x00" + string(id))
}
