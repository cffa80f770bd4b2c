// Package fleettest runs many registrars in virtual time and measures their
// traffic with the codec, which the registrar itself must not import.
package fleettest_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/protocol"
	"github.com/cassiatally/cassiatally/cassiatally/registrar"
)

const step = 50 * time.Millisecond

type delivery struct {
	from, to int
	message  cassiatally.Gossip
}

// fleet runs many registrars in virtual time. A message arrives one step after it was
// sent, or is lost.
type fleet struct {
	t             *testing.T
	codec         *protocol.Codec
	rand          *rand.Rand
	now           cassiatally.Instant
	nodes         []*registrar.Registrar // nil when killed
	refs          []cassiatally.NodeRef
	dcs           []cassiatally.DataCentre
	byName        map[cassiatally.NodeID]int
	byAddr        map[cassiatally.Address]int
	inFlight      []delivery
	loss          float64
	partitioned   func(a, b int) bool
	sentBytes     []int // bytes in the current window
	peakBytes     int   // the most bytes that a node sent in a second
	peakMessages  int   // the most messages that a node sent in a second
	totalBytes    int
	windows       int
	sentMessages  []int
	totalMessages int             // messages sent
	pairs         map[[2]int]bool // nodes that exchanged a message
}

func newFleet(t *testing.T, dcs, perDC, services int) *fleet {
	t.Helper()
	codec, err := protocol.New()
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{
		t: t, codec: codec, rand: rand.New(rand.NewPCG(1, 2)), now: cassiatally.Instant(time.Hour),
		byName: map[cassiatally.NodeID]int{}, byAddr: map[cassiatally.Address]int{}, loss: 0.02,
		pairs:       map[[2]int]bool{},
		partitioned: func(_, _ int) bool { return false },
	}
	for i := range dcs * perDC {
		f.dcs = append(f.dcs, cassiatally.DataCentre(fmt.Sprintf("region-%02d", i/perDC)))
		f.nodes = append(f.nodes, nil)
		f.refs = append(f.refs, cassiatally.NodeRef{})
		f.sentBytes = append(f.sentBytes, 0)
		f.sentMessages = append(f.sentMessages, 0)
	}
	for i := range f.nodes {
		f.start(i, cassiatally.Incarnation(1<<60+i), services)
	}
	return f
}

func address(i int) cassiatally.Address {
	return cassiatally.Address(fmt.Sprintf("10.100.%d.%d:7402", 100+i/200, 100+i%200))
}

func (f *fleet) start(i int, inc cassiatally.Incarnation, services int) {
	ref := cassiatally.NodeRef{Node: cassiatally.NodeID(fmt.Sprintf("backend-host-%04d", i)), Incarnation: inc}
	f.refs[i] = ref
	f.byName[ref.Node], f.byAddr[address(i)] = i, i
	f.nodes[i] = registrar.New(registrar.Config{
		Self: ref, DataCentre: f.dcs[i], Address: address(i),
		Seeds:    []cassiatally.Address{address(0), address(1), address(len(f.dcs) - 1), address(len(f.dcs) / 2)},
		Interval: time.Second, SuspectAfter: 3 * time.Second, RemoveAfter: 10 * time.Second,
	}, rand.New(rand.NewPCG(uint64(i), uint64(inc))))
	f.nodes[i].SetCrashes(slices.Repeat([]cassiatally.CrashReport{
		{Fingerprint: 1 << 63, Reporter: ref, Crashes: 300, Clears: 300},
	}, 20))
	f.send(i, f.nodes[i].SetEndpoint(f.now, endpoint(i%services, 100)))
}

func endpoint(service int, slots cassiatally.Concurrency) cassiatally.Endpoint {
	return cassiatally.Endpoint{
		Service: cassiatally.Service(fmt.Sprintf("service-%03d", service)), Slots: slots, Connections: 750,
		State:  cassiatally.EndpointReady,
		Load:   cassiatally.EndpointLoad{Limit: 90, InFlight: 57, Queued: 12, TypicalSelfTime: 12345678},
		Levels: []cassiatally.Level{1, 1, 0.93, 0.12},
	}
}

func (f *fleet) send(from int, actions []cassiatally.Action) {
	for _, a := range actions {
		to, m := -1, cassiatally.Message(nil)
		switch a := a.(type) {
		case cassiatally.Send:
			to, m = f.byName[a.To], a.Message
		case cassiatally.SendAddress:
			to, m = f.byAddr[a.To], a.Message
		}
		data, err := f.codec.Encode(m)
		if err != nil {
			f.t.Fatal(err)
		}
		f.sentBytes[from] += len(data)
		f.sentMessages[from]++
		f.totalMessages++
		f.pairs[[2]int{min(from, to), max(from, to)}] = true
		if f.rand.Float64() >= f.loss && !f.partitioned(from, to) {
			f.inFlight = append(f.inFlight, delivery{from, to, m.(cassiatally.Gossip)})
		}
	}
}

// run advances virtual time until done holds, and returns how long that took.
func (f *fleet) run(limit time.Duration, done func() bool) time.Duration {
	begin := f.now
	const checkInterval = 5 * step // views of many nodes are slow to build
	for f.now.Sub(begin) < limit && (f.now.Sub(begin)%checkInterval != 0 || !done()) {
		f.now = f.now.Add(step)
		arrived := f.inFlight
		f.inFlight = nil
		for _, d := range arrived {
			if f.nodes[d.to] != nil {
				f.send(d.to, f.nodes[d.to].HandleGossip(f.now, f.refs[d.from], d.message))
			}
		}
		for i, n := range f.nodes {
			// Nodes start their rounds at different times within the second.
			if n != nil && time.Duration(f.now)%time.Second == time.Duration(i%20)*step {
				f.send(i, n.Tick(f.now))
			}
		}
		if time.Duration(f.now)%time.Second == 0 {
			f.closeWindow()
		}
	}
	return f.now.Sub(begin)
}

func (f *fleet) closeWindow() {
	f.peakBytes = max(f.peakBytes, slices.Max(f.sentBytes))
	f.peakMessages = max(f.peakMessages, slices.Max(f.sentMessages))
	for i := range f.sentBytes {
		f.totalBytes += f.sentBytes[i]
		f.sentBytes[i], f.sentMessages[i] = 0, 0
	}
	f.windows += len(f.sentBytes)
}

func (f *fleet) advance(d time.Duration) { f.run(d, func() bool { return false }) }

func (f *fleet) memberOf(i, of int) (cassiatally.Member, bool) {
	m, found := f.nodes[i].Member(f.refs[of].Node)
	return m, found && m.Ref == f.refs[of]
}

// allLocal reports whether every live node of a data centre satisfies ok.
func (f *fleet) allLocal(dc cassiatally.DataCentre, ok func(i int) bool) bool {
	for i, n := range f.nodes {
		if n != nil && f.dcs[i] == dc && !ok(i) {
			return false
		}
	}
	return true
}

func (f *fleet) localMembers(i int) int {
	n := 0
	for _, ref := range f.refs {
		if m, found := f.nodes[i].Member(ref.Node); found && m.DataCentre == f.dcs[i] {
			n++
		}
	}
	return n
}

func (f *fleet) complete(perDC int) bool {
	return f.allNodes(func(i int) bool { return f.localMembers(i) == perDC })()
}

// Guards against changes that spread too slowly in a data centre of the target
// size, live members that are suspected, traffic above 16 KB/s, and numbers of links
// and messages that grow with the number of members.
func TestDataCentreOfTargetSize(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const size = 132
	f := newFleet(t, 1, size, 8)
	took := f.run(time.Minute, func() bool { return f.complete(size) })
	t.Logf("cold start: %v, at most %d bytes/s", took, f.peakBytes)
	is.True(took < 30*time.Second)
	f.peakBytes, f.totalBytes, f.windows, f.totalMessages = 0, 0, 0, 0
	clear(f.pairs)
	f.advance(10 * time.Second)
	perSecond, links := float64(f.totalMessages)/size/10, 2*float64(len(f.pairs))/size
	t.Logf("steady: %.1f messages/s, %.1f links used in 10 s", perSecond, links)
	is.True(perSecond < 10)
	is.True(links < 60)
	suspected := 0
	for _, n := range f.nodes {
		suspected += len(n.View(f.now).Suspects)
	}
	t.Logf("steady: %d bytes/s mean, %d most, %d suspects in %d views", f.totalBytes/f.windows, f.peakBytes, suspected, size)
	is.True(f.peakBytes < 16_000)
	is.True(suspected < size*size/100)

	f.send(7, f.nodes[7].SetEndpoint(f.now, endpoint(7, 55)))
	took = f.run(time.Minute, func() bool {
		return f.allLocal(f.dcs[7], func(i int) bool {
			m, _ := f.memberOf(i, 7)
			return m.Endpoint.Slots == 55
		})
	})
	t.Logf("change reached all after %v", took)
	is.True(took <= 3*time.Second)

	f.nodes[9] = nil
	killed := f.now
	took = f.run(time.Minute, func() bool {
		return f.allLocal(f.dcs[9], func(i int) bool {
			_, found := f.memberOf(i, 9)
			return !found || slices.Contains(f.nodes[i].View(f.now).Suspects, f.refs[9])
		})
	})
	t.Logf("suspected or removed by all after %v", took)
	is.True(took <= 10*time.Second)
	f.run(time.Minute, func() bool {
		return f.allLocal(f.dcs[9], func(i int) bool { _, found := f.memberOf(i, 9); return !found })
	})
	took = f.now.Sub(killed)
	t.Logf("removed from all after %v", took)
	is.True(took >= 9*time.Second && took <= 15*time.Second)
	f.advance(5 * time.Second)
	is.True(f.allLocal(f.dcs[9], func(i int) bool { _, found := f.memberOf(i, 9); return !found })) // stays removed

	f.start(9, 1<<61, 8)
	took = f.run(time.Minute, func() bool {
		return f.allLocal(f.dcs[9], func(i int) bool { _, found := f.memberOf(i, 9); return found })
	})
	t.Logf("new incarnation received by all after %v", took)
	is.True(took <= 5*time.Second)
	is.True(f.peakBytes < 16_000)
}

// allNodes returns a check whether every live node satisfies ok.
func (f *fleet) allNodes(ok func(i int) bool) func() bool {
	return func() bool {
		return !slices.ContainsFunc(slices.Compact(slices.Clone(f.dcs)), func(dc cassiatally.DataCentre) bool { return !f.allLocal(dc, ok) })
	}
}

// Guards against changes that do not leave their data centre, member tables that grow
// without bound, and nodes that all keep the same few members of other data centres.
func TestSeveralDataCentres(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const dcs, perDC, services = 6, 16, 8
	f := newFleet(t, dcs, perDC, services)
	f.run(time.Minute, func() bool { return f.complete(perDC) })
	f.advance(15 * time.Second)
	f.peakBytes = 0
	f.advance(5 * time.Second)
	kept := map[cassiatally.NodeID]bool{}
	for i := range perDC {
		members := f.nodes[i].View(f.now).Members
		is.True(len(members) <= perDC+4*(dcs-1)+4*services)
		is.True(len(members) >= perDC+4*(dcs-1))
		for _, m := range members {
			kept[m.Ref.Node] = true
		}
	}
	t.Logf("one data centre keeps %d of %d members; at most %d bytes/s", len(kept), dcs*perDC, f.peakBytes)
	is.True(len(kept) > dcs*perDC*3/4)

	f.send(30, f.nodes[30].SetEndpoint(f.now, endpoint(900, 7)))
	took := f.run(time.Minute, f.allNodes(func(i int) bool { _, found := f.memberOf(i, 30); return found && hasSlots(f, i, 30, 7) }))
	t.Logf("new service received by all after %v", took)
	is.True(took <= 12*time.Second)

	f.send(30, f.nodes[30].SetLeaving(f.now))
	took = f.run(time.Minute, f.allNodes(func(i int) bool { m, found := f.memberOf(i, 30); return !found || m.Leaving }))
	t.Logf("leaving received by all after %v", took)
	is.True(took <= 12*time.Second)
	is.True(f.peakBytes < 16_000)
}

func hasSlots(f *fleet, i, of int, slots cassiatally.Concurrency) bool {
	m, _ := f.memberOf(i, of)
	return m.Endpoint.Slots == slots
}

// Guards against removed members that are added again after a partition, data centres
// that do not find each other again, and a burst of messages when they do.
func TestPartitionAndRejoin(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const dcs, perDC = 3, 12
	f := newFleet(t, dcs, perDC, 4)
	others := func(i int) int {
		n := 0
		for _, m := range f.nodes[i].View(f.now).Members {
			if m.DataCentre != f.dcs[i] {
				n++
			}
		}
		return n
	}
	joined := f.allNodes(func(i int) bool { return others(i) >= 4*(dcs-1) })
	is.True(f.run(time.Minute, joined) < time.Minute)

	f.partitioned = func(a, b int) bool { return (a < perDC) != (b < perDC) }
	f.nodes[3], f.nodes[perDC+3] = nil, nil
	f.advance(40 * time.Second)
	is.True(f.allLocal(f.dcs[0], func(i int) bool { return others(i) == 0 })) // the partitioned side removed the rest
	f.peakBytes, f.peakMessages = 0, 0

	f.partitioned = func(_, _ int) bool { return false }
	took := f.run(time.Minute, joined)
	t.Logf("rejoined after %v, at most %d messages and %d bytes in a second", took, f.peakMessages, f.peakBytes)
	is.True(took <= 20*time.Second)
	for range 20 {
		f.advance(time.Second)
		is.True(f.allNodes(func(i int) bool {
			_, a := f.memberOf(i, 3)
			_, b := f.memberOf(i, perDC+3)
			return !a && !b
		})()) // killed members stay removed
	}
	is.True(f.peakMessages <= 40)
	is.True(f.peakBytes < 16_000)
}

// Guards against changes and sheet versions that some members never receive when
// messages are lost, and against recorded versions of others that stay out of date.
func TestSpreadWithLoss(t *testing.T) {
	t.Parallel()
	const size = 64
	cases := []struct {
		loss float64
		// changes are sent immediately, versions with heartbeats.
		change, version time.Duration
	}{{0, 4 * time.Second, 9 * time.Second}, {0.1, 6 * time.Second, 11 * time.Second}, {0.3, 12 * time.Second, 15 * time.Second}}
	for _, c := range cases {
		t.Run(fmt.Sprint(c.loss), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFleet(t, 1, size, 8)
			f.run(time.Minute, func() bool { return f.complete(size) })
			f.loss = c.loss
			f.advance(5 * time.Second)
			for n := range 5 {
				slots := cassiatally.Concurrency(200 + n)
				f.send(n, f.nodes[n].SetEndpoint(f.now, endpoint(n%8, slots)))
				took := f.run(time.Minute, f.allNodes(func(i int) bool { return hasSlots(f, i, n, slots) }))
				t.Logf("change received by all after %v", took)
				is.True(took <= c.change)
			}
			for i, n := range f.nodes {
				f.send(i, n.SetSheetVersion(f.now, 7))
			}
			took := f.run(time.Minute, f.allNodes(func(i int) bool {
				return !slices.ContainsFunc(f.refs, func(ref cassiatally.NodeRef) bool {
					m, found := f.nodes[i].Member(ref.Node)
					return found && m.SheetVersion != 7
				})
			}))
			t.Logf("version of each received by all after %v", took)
			is.True(took <= c.version)
		})
	}
}
