package registrar

import (
	"slices"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// updateQueue holds recent changes that rounds repeat, the latest first, and records
// which changes were already forwarded. It also holds changes of members that are
// not in this node's table, since its peers may have them.
type updateQueue struct {
	active       []queuedUpdate
	forwarded    map[cassiatally.NodeRef]uint64
	forwardOrder []cassiatally.NodeRef
}

type queuedUpdate struct {
	member    cassiatally.Member
	sendsLeft int
}

func newUpdateQueue() updateQueue {
	return updateQueue{forwarded: map[cassiatally.NodeRef]uint64{}}
}

func (r *updateQueue) isNew(m cassiatally.Member) bool { return m.Revision > r.forwarded[m.Ref] }

func (r *updateQueue) add(m cassiatally.Member) {
	if _, found := r.forwarded[m.Ref]; !found {
		if len(r.forwardOrder) == maxSentRecords {
			delete(r.forwarded, r.forwardOrder[0])
			r.forwardOrder = r.forwardOrder[1:]
		}
		r.forwardOrder = append(r.forwardOrder, m.Ref)
	}
	r.forwarded[m.Ref] = m.Revision
	r.drop(m.Ref.Node)
	r.active = slices.Insert(r.active, 0, queuedUpdate{m, updateSends})
	r.active = r.active[:min(len(r.active), maxUpdates)]
}

func (r *updateQueue) drop(id cassiatally.NodeID) {
	r.active = slices.DeleteFunc(r.active, func(x queuedUpdate) bool { return x.member.Ref.Node == id })
}

// next returns the changes for one message and counts the sending.
func (r *updateQueue) next(room int) []cassiatally.Member {
	c := composer{maxBytes: room, maxEntries: maxEntries}
	for i := range r.active {
		if !c.add(r.active[i].member) {
			break
		}
		r.active[i].sendsLeft--
	}
	r.active = slices.DeleteFunc(r.active, func(x queuedUpdate) bool { return x.sendsLeft <= 0 })
	return c.members
}

const (
	// membersPerLoad is the number of members up to which each heartbeat can carry the
	// load. With 132 members, loads in each would not fit into the messages of a second,
	// so one heartbeat in four carries it; callers get fresher loads with answers.
	membersPerLoad = 40

	// The bytes of a frame, and of entries and their parts without texts, as the codec
	// encodes them, rounded up. Decision packages import no codec, so sizes are
	// estimated.
	messageBytes   = 34
	fullBytes      = 56
	heartbeatBytes = 26
	loadBytes      = 20
	levelBytes     = 9
	sheetBytes     = 4
	reportBytes    = 36
)

// composer collects the entries of a message up to a number of estimated bytes.
type composer struct {
	members    []cassiatally.Member
	maxBytes   int
	maxEntries int
	usedBytes  int
}

func (c *composer) add(m cassiatally.Member) bool {
	size := sizeOf(m)
	if c.usedBytes+size > c.maxBytes || len(c.members) == c.maxEntries {
		return false
	}
	c.usedBytes += size
	c.members = append(c.members, m)
	return true
}

func sizeOf(m cassiatally.Member) int {
	size := heartbeatBytes
	if m.Address != "" {
		size = fullBytes
	}
	if m.Endpoint.Load != (cassiatally.EndpointLoad{}) {
		size += loadBytes
	}
	if m.SheetVersion > 0 {
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

// heartbeatEntry returns the heartbeat entry of a member. Within a data centre it
// leaves out the data centre and the service, which the receiver has; receivers in
// others need them to decide whether to query the full entry.
func (r *Registrar) heartbeatEntry(m cassiatally.Member, within bool) cassiatally.Member {
	// A changed sheet version makes no new revision, so each heartbeat carries it.
	out := cassiatally.Member{Ref: m.Ref, Heartbeat: m.Heartbeat, Revision: m.Revision, SheetVersion: m.SheetVersion}
	if r.carriesLoad(m.Heartbeat) {
		out.Endpoint.Load = m.Endpoint.Load
		out.Endpoint.Load.Node = ""
		out.Endpoint.Levels = compactLevels(m.Endpoint.Levels)
	}
	if !within {
		out.DataCentre = m.DataCentre
		out.Endpoint.Service = m.Endpoint.Service
	}
	return out
}

// compactLevels leaves the levels out when none is below 1.
func compactLevels(levels []cassiatally.Level) []cassiatally.Level {
	if slices.ContainsFunc(levels, func(l cassiatally.Level) bool { return l < 1 }) {
		return levels
	}
	return nil
}

func expandLevels(levels []cassiatally.Level, ranks int) []cassiatally.Level {
	if len(levels) > 0 || ranks == 0 {
		return levels
	}
	return slices.Repeat([]cassiatally.Level{1}, ranks)
}
