package registrar

import (
	"slices"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// rumours holds recent changes that rounds repeat, the latest first, and
// remembers which changes were already passed on. It also holds changes of
// members that this node does not keep, since its peers may keep them.
type rumours struct {
	active []rumour
	seen   map[cassiatally.NodeRef]uint64
	order  []cassiatally.NodeRef
}

type rumour struct {
	member cassiatally.Member
	left   int
}

func newRumours() rumours {
	return rumours{seen: map[cassiatally.NodeRef]uint64{}}
}

func (r *rumours) isNews(m cassiatally.Member) bool { return m.Revision > r.seen[m.Ref] }

func (r *rumours) add(m cassiatally.Member) {
	if _, found := r.seen[m.Ref]; !found {
		if len(r.order) == maxSeen {
			delete(r.seen, r.order[0])
			r.order = r.order[1:]
		}
		r.order = append(r.order, m.Ref)
	}
	r.seen[m.Ref] = m.Revision
	r.drop(m.Ref.Node)
	r.active = slices.Insert(r.active, 0, rumour{m, rumourSends})
	r.active = r.active[:min(len(r.active), maxRumours)]
}

func (r *rumours) drop(id cassiatally.NodeID) {
	r.active = slices.DeleteFunc(r.active, func(x rumour) bool { return x.member.Ref.Node == id })
}

// next returns the changes for one message and counts them as sent.
func (r *rumours) next(room int) []cassiatally.Member {
	c := composer{room: room, entries: maxEntries}
	for i := range r.active {
		if !c.add(r.active[i].member) {
			break
		}
		r.active[i].left--
	}
	r.active = slices.DeleteFunc(r.active, func(x rumour) bool { return x.left <= 0 })
	return c.members
}

const (
	// membersPerLoad is the number of members for which each heartbeat can tell
	// the load. With 132 members, loads in each would not fit into the messages of
	// a second, so one heartbeat of four tells it; answers carry fresher loads to
	// those who call.
	membersPerLoad = 40

	// The bytes of a frame and of an entry without its texts, measured with the
	// codec and rounded up. Decisions import no codec, so they estimate.
	messageBytes = 34
	fullBytes    = 56
	beatBytes    = 26
	loadBytes    = 20
	levelBytes   = 9
	sheetBytes   = 4
	reportBytes  = 36
)

// composer collects entries up to a number of estimated bytes.
type composer struct {
	members []cassiatally.Member
	room    int
	entries int
	taken   int
}

func (c *composer) add(m cassiatally.Member) bool {
	size := sizeOf(m)
	if c.taken+size > c.room || len(c.members) == c.entries {
		return false
	}
	c.taken += size
	c.members = append(c.members, m)
	return true
}

func sizeOf(m cassiatally.Member) int {
	size := beatBytes
	if m.Address != "" {
		size = fullBytes
	}
	if m.Endpoint.Load != (cassiatally.EndpointLoad{}) {
		size += loadBytes
	}
	if m.Sheet > 0 {
		size += sheetBytes
	}
	texts := len(m.Ref.Node) + len(m.DataCentre) + len(m.Address) + len(m.Endpoint.Service) + len(m.Endpoint.Load.Node)
	return size + texts + levelBytes*len(m.Endpoint.Levels)
}

func crashBytes(reports []cassiatally.CrashReport) int {
	size := 0
	for _, c := range reports {
		size += reportBytes + len(c.Reporter.Node)
	}
	return size
}

// beatOf returns the entry that tells a heartbeat. Within a data centre it
// leaves out what the receiver has; others need it to decide whether to ask.
func (r *Registrar) beatOf(m cassiatally.Member, within bool) cassiatally.Member {
	// A changed version makes no new revision, so each beat tells it.
	beat := cassiatally.Member{Ref: m.Ref, Heartbeat: m.Heartbeat, Revision: m.Revision, Sheet: m.Sheet}
	if r.tellsLoad(m.Heartbeat) {
		beat.Endpoint.Load = m.Endpoint.Load
		beat.Endpoint.Load.Node = ""
		beat.Endpoint.Levels = levelsTo(m.Endpoint.Levels)
	}
	if !within {
		beat.DataCentre = m.DataCentre
		beat.Endpoint.Service = m.Endpoint.Service
	}
	return beat
}

// levelsTo leaves the levels out when none is below 1.
func levelsTo(levels []cassiatally.Level) []cassiatally.Level {
	if slices.ContainsFunc(levels, func(l cassiatally.Level) bool { return l < 1 }) {
		return levels
	}
	return nil
}

func levelsFrom(levels []cassiatally.Level, known int) []cassiatally.Level {
	if len(levels) > 0 || known == 0 {
		return levels
	}
	return slices.Repeat([]cassiatally.Level{1}, known)
}
