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
	// suspectPerMember is added to the time of suspicion for each known member.
	suspectPerMember = 20 * time.Millisecond
)

// Load is what an endpoint last told about its levels.
type Load struct {
	Node cassiatally.NodeID
	// At is when the endpoint had this load.
	At   cassiatally.Instant
	Load cassiatally.ServiceLoad
}

// Summary adds up the endpoints of a service in a data centre that are known.
type Summary struct {
	Service    cassiatally.Service
	DataCentre cassiatally.DataCentre
	Endpoints  int
	Capacity   cassiatally.Concurrency
	// Level is the mean of the lowest levels, weighted with the limits.
	Level cassiatally.Level
}

// View is an immutable snapshot of the member table.
type View struct {
	// Members has all known members, this node included, by name.
	Members []cassiatally.Member
	// Suspects has the members whose heartbeat stopped.
	Suspects []cassiatally.NodeRef
	// Candidates leaves out suspects, unless all endpoints of a service are.
	Candidates []cassiatally.Candidate
	// Local has the live members of the own data centre that are not leaving.
	Local []cassiatally.NodeRef
	// LogReaders are the members of Local that follow the log.
	LogReaders []cassiatally.NodeRef
	Loads      []Load
	Summaries  []Summary
}

// Address returns where other nodes connect to the node.
func (v *View) Address(id cassiatally.NodeID) (cassiatally.Address, bool) {
	i, found := slices.BinarySearchFunc(v.Members, id, func(m cassiatally.Member, id cassiatally.NodeID) int {
		return cmp.Compare(m.Ref.Node, id)
	})
	if !found {
		return "", false
	}
	return v.Members[i].Address, true
}

// Peers returns the nodes other than self that have an endpoint of each service,
// those included whose backend server is about to start again.
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

// View returns a snapshot. Entries are kept in order, so that it is one pass.
func (r *Registrar) View(now cassiatally.Instant) *View {
	v := &View{
		Members:    make([]cassiatally.Member, 0, len(r.order)+1),
		Candidates: make([]cassiatally.Candidate, 0, len(r.order)+1),
		Loads:      make([]Load, 0, len(r.order)+1),
	}
	self := &entry{member: r.self, grewAt: now, loadAt: now, logScore: r.logScore}
	all := make([]shown, 0, len(r.order)+1)
	at, _ := r.place(r.cfg.Self.Node)
	for i, e := range r.order {
		if i == at {
			all = append(all, shown{entry: self})
		}
		all = append(all, shown{entry: e, suspect: r.suspected(now, e)})
	}
	if at == len(r.order) {
		all = append(all, shown{entry: self})
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

// shown is an entry as a view shows it.
type shown struct {
	entry   *entry
	suspect bool
}

// Member returns what is known about a node, this node included.
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

// suspected applies to the own data centre. Beats of other data centres come
// more seldom than SuspectAfter; their members are suspected at RemoveAfter.
func (r *Registrar) suspected(now cassiatally.Instant, e *entry) bool {
	if e.member.DataCentre == r.cfg.DataCentre {
		return now.Sub(e.grewAt) >= r.suspectAfter()
	}
	return now.Sub(e.grewAt) >= r.cfg.RemoveAfter
}

// suspectAfter grows with the number of members, since the beats of more members
// share the same messages. With 3 s for 132 members, 1 to 2% of them were
// suspected at any time without a cause.
func (r *Registrar) suspectAfter() time.Duration {
	return r.cfg.SuspectAfter + time.Duration(len(r.table))*suspectPerMember
}

// logReadersOf returns the two members with the lowest rendezvous hash, which are
// the same on all nodes that know the same members.
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

// logScoreOf orders the members of a data centre as log readers.
func logScoreOf(dc cassiatally.DataCentre, id cassiatally.NodeID) uint64 {
	return xxhash.Sum64String("log\x00" + string(dc) + "\x00" + string(id))
}

func (v *View) addEndpoints(all []shown) {
	trusted := map[cassiatally.Service]bool{}
	for _, s := range all {
		m := &s.entry.member
		if m.Endpoint.State == cassiatally.EndpointReady && !m.Leaving && !s.suspect {
			trusted[m.Endpoint.Service] = true
		}
	}
	summaries := map[summaryKey]int{}
	for _, s := range all {
		m := &s.entry.member
		e := &m.Endpoint
		if e.State == cassiatally.EndpointNone || (s.suspect && trusted[e.Service]) {
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

// summarise adds a member to its summary; at has the places of the summaries.
func (v *View) summarise(m *cassiatally.Member, at map[summaryKey]int) {
	level := cassiatally.Level(1)
	if len(m.Endpoint.Levels) > 0 {
		level = slices.Min(m.Endpoint.Levels)
	}
	key := summaryKey{m.Endpoint.Service, m.DataCentre}
	i, found := at[key]
	if !found {
		v.Summaries = append(v.Summaries, Summary{Service: m.Endpoint.Service, DataCentre: m.DataCentre, Level: 1})
		i = len(v.Summaries) - 1
		at[key] = i
	}
	s := &v.Summaries[i]
	limit := m.Endpoint.Load.Limit
	if total := s.Capacity + limit; total > 0 {
		s.Level = (s.Level*cassiatally.Level(s.Capacity) + level*cassiatally.Level(limit)) / cassiatally.Level(total)
	}
	s.Endpoints++
	s.Capacity += limit
}
