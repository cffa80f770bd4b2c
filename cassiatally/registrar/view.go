package registrar

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	logReaders = 2
	// suspectPerMember is added to SuspectAfter for each member of the table.
	suspectPerMember = 20 * time.Millisecond
)

// Load is the last load that an endpoint reported.
type Load struct {
	Node cassiatally.NodeID
	// At is when the endpoint had this load.
	At   cassiatally.Instant
	Load cassiatally.ServiceLoad
}

// Summary aggregates the candidates of a service in a data centre.
type Summary struct {
	Service    cassiatally.Service
	DataCentre cassiatally.DataCentre
	Endpoints  int
	Capacity   cassiatally.Concurrency
	// Level is the mean of the endpoints' lowest levels, weighted with their limits.
	Level cassiatally.Level
}

// View is an immutable snapshot of the member table.
type View struct {
	// Members has all members of the table and this node, sorted by name.
	Members []cassiatally.Member
	// Suspects has the members whose heartbeat stopped.
	Suspects []cassiatally.NodeRef
	// Candidates leaves out suspects, unless all ready endpoints of a service are
	// suspects.
	Candidates []cassiatally.Candidate
	// Local has the members of this node's data centre that are neither suspected nor
	// leaving.
	Local []cassiatally.NodeRef
	// LogReaders are the members of Local that follow the log.
	LogReaders []cassiatally.NodeRef
	Loads      []Load
	Summaries  []Summary
}

// Address returns the address at which a node accepts links.
func (v *View) Address(id cassiatally.NodeID) (cassiatally.Address, bool) {
	i, found := slices.BinarySearchFunc(v.Members, id, func(m cassiatally.Member, id cassiatally.NodeID) int {
		return cmp.Compare(m.Ref.Node, id)
	})
	if !found {
		return "", false
	}
	return v.Members[i].Address, true
}

// Peers returns, for each service, the nodes other than self that have an endpoint of
// it. Nodes whose backend server is restarting are included.
func (v *View) Peers(self cassiatally.NodeRef) map[cassiatally.Service][]cassiatally.NodeID {
	peers := make(map[cassiatally.Service][]cassiatally.NodeID)
	for i := range v.Members {
		m := &v.Members[i]
		service := m.Endpoint.Service
		if service == "" || m.Leaving || m.Ref == self || slices.Contains(v.Suspects, m.Ref) {
			continue
		}
		peers[service] = append(peers[service], m.Ref.Node)
	}
	return peers
}

// View returns a snapshot of the member table, in one pass over the sorted entries.
func (r *Registrar) View(now cassiatally.Instant) *View {
	v := &View{
		Members:    make([]cassiatally.Member, 0, len(r.order)+1),
		Candidates: make([]cassiatally.Candidate, 0, len(r.order)+1),
		Loads:      make([]Load, 0, len(r.order)+1),
	}
	self := &entry{member: r.self, aliveAt: now, loadAt: now, logScore: r.logScore}
	all := make([]viewEntry, 0, len(r.order)+1)
	at, _ := r.indexOf(r.cfg.Self.Node)
	for i, e := range r.order {
		if i == at {
			all = append(all, viewEntry{entry: self})
		}
		all = append(all, viewEntry{entry: e, suspect: r.suspected(now, e)})
	}
	if at == len(r.order) {
		all = append(all, viewEntry{entry: self})
	}
	var local []*entry
	for _, s := range all {
		m := &s.entry.member
		v.Members = append(v.Members, *m)
		if s.suspect {
			v.Suspects = append(v.Suspects, m.Ref)
		}
		if m.DataCentre == r.cfg.DataCentre && !s.suspect && !m.Leaving {
			v.Local = append(v.Local, m.Ref)
			local = append(local, s.entry)
		}
	}
	v.LogReaders = logReadersOf(local)
	v.addEndpoints(all)
	return v
}

// viewEntry is an entry and whether it is suspected at the time of the view.
type viewEntry struct {
	entry   *entry
	suspect bool
}

// Member returns the table's member with this id, or this node itself.
func (r *Registrar) Member(id cassiatally.NodeID) (cassiatally.Member, bool) {
	if id == r.cfg.Self.Node {
		return r.self, true
	}
	e, found := r.table[id]
	if !found {
		return cassiatally.Member{}, false
	}
	return e.member, true
}

// suspected reports whether a member's heartbeat stopped for too long. Heartbeats of
// other data centres arrive less often than SuspectAfter, so their members are
// suspected only after RemoveAfter.
func (r *Registrar) suspected(now cassiatally.Instant, e *entry) bool {
	if e.member.DataCentre == r.cfg.DataCentre {
		return now.Sub(e.aliveAt) >= r.suspectAfter()
	}
	return now.Sub(e.aliveAt) >= r.cfg.RemoveAfter
}

// suspectAfter grows with the number of members, since the heartbeats of more members
// share the same messages. With 3 s for 132 members, 1 to 2% of the live ones were
// suspected at any time.
func (r *Registrar) suspectAfter() time.Duration {
	return r.cfg.SuspectAfter + time.Duration(len(r.table))*suspectPerMember
}

// logReadersOf returns the two members with the lowest rendezvous hash. They are the
// same on all nodes whose tables have the same members.
func logReadersOf(local []*entry) []cassiatally.NodeRef {
	slices.SortFunc(local, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.logScore, b.logScore), cmp.Compare(a.member.Ref.Node, b.member.Ref.Node))
	})
	readers := make([]cassiatally.NodeRef, 0, logReaders)
	for _, e := range local[:min(logReaders, len(local))] {
		readers = append(readers, e.member.Ref)
	}
	return readers
}

// logScoreOf returns the rendezvous hash by which the log readers of a data centre are
// chosen.
func logScoreOf(dc cassiatally.DataCentre, id cassiatally.NodeID) uint64 {
	return xxhash.Sum64String("log\x00" + string(dc) + "\x00" + string(id))
}

func (v *View) addEndpoints(all []viewEntry) {
	hasLive := map[cassiatally.Service]bool{}
	for _, s := range all {
		m := &s.entry.member
		if m.Endpoint.State == cassiatally.EndpointReady && !m.Leaving && !s.suspect {
			hasLive[m.Endpoint.Service] = true
		}
	}
	summaries := map[summaryKey]int{}
	for _, s := range all {
		m := &s.entry.member
		e := &m.Endpoint
		if e.State == cassiatally.EndpointNone || (s.suspect && hasLive[e.Service]) {
			continue
		}
		state := e.State
		if m.Leaving {
			state = cassiatally.EndpointDraining
		}
		v.Candidates = append(v.Candidates, cassiatally.Candidate{
			Ref: m.Ref, DataCentre: m.DataCentre, Service: e.Service,
			Connections: e.Connections, State: state, Load: e.Load,
		})
		load := cassiatally.ServiceLoad{Service: e.Service, Weight: float64(e.Load.Limit), Levels: e.Levels}
		v.Loads = append(v.Loads, Load{m.Ref.Node, s.entry.loadAt, load})
		v.summarise(m, summaries)
	}
}

type summaryKey struct {
	service    cassiatally.Service
	dataCentre cassiatally.DataCentre
}

// summarise adds a member to its summary; indexes has the summaries' positions in
// v.Summaries.
func (v *View) summarise(m *cassiatally.Member, indexes map[summaryKey]int) {
	level := cassiatally.Level(1)
	if len(m.Endpoint.Levels) > 0 {
		level = slices.Min(m.Endpoint.Levels)
	}
	key := summaryKey{m.Endpoint.Service, m.DataCentre}
	i, found := indexes[key]
	if !found {
		v.Summaries = append(v.Summaries, Summary{Service: m.Endpoint.Service, DataCentre: m.DataCentre, Level: 1})
		i = len(v.Summaries) - 1
		indexes[key] = i
	}
	s := &v.Summaries[i]
	limit := m.Endpoint.Load.Limit
	if total := s.Capacity + limit; total > 0 {
		s.Level = (s.Level*cassiatally.Level(s.Capacity) + level*cassiatally.Level(limit)) / cassiatally.Level(total)
	}
	s.Endpoints++
	s.Capacity += limit
}
