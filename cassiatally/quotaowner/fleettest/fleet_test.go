// Package fleettest runs many owners and takers of quotas in virtual time, under delays,
// loss, partitions, kills, restarts, pauses and clocks that drift.
package fleettest_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/protocol"
	"github.com/cassiatally/cassiatally/cassiatally/quotaowner"
	"github.com/cassiatally/cassiatally/cassiatally/quotataker"
)

const (
	tickInterval = 100 * time.Millisecond
	viewInterval = time.Second
	// suspectAfter and removeAfter are those of the gatekeeper's registrar.
	suspectAfter = 3 * time.Second
	removeAfter  = 10 * time.Second
	// remoteDelay is the delay between data centres of the second deployment.
	remoteDelay = 3500 * time.Microsecond
	localDelay  = 300 * time.Microsecond
	maxGateways = 4
	// applyTime is the time in which a table comes into force on all nodes.
	applyTime = 2500 * time.Millisecond
)

type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// host is a node of the model. Its owner and taker are new in each life.
type host struct {
	member     cassiatally.Member
	self       cassiatally.QuotaCandidate
	life       int
	up         bool
	pausedTo   time.Duration
	drift      float64
	offset     time.Duration
	owner      *quotaowner.Owner
	taker      *quotataker.Taker
	tenants    map[cassiatally.Tenant]cassiatally.TenantSpec
	wakeAt     time.Duration
	lastHeard  []time.Duration // of each other host, by gossip
	cutOff     bool
	waiting    map[quotataker.WaitID]cassiatally.Tenant
	sent, size int
}

// admission is a request that was admitted.
type admission struct {
	at    time.Duration
	floor bool
}

type fleet struct {
	t     *testing.T
	codec *protocol.Codec
	rand  *rand.Rand
	now   time.Duration
	queue eventQueue
	seq   int
	hosts []*host
	index map[cassiatally.NodeID]int
	loss  float64
	// cut is the data centre that is cut off; empty for none.
	cut      cassiatally.DataCentre
	table    map[cassiatally.Tenant]cassiatally.TenantSpec
	nextID   quotataker.WaitID
	admitted map[cassiatally.Tenant][]admission
	refused  map[cassiatally.Tenant][]time.Duration
	kinds    map[cassiatally.ErrorKind]int
	trace    func(format string, args ...any)
}

func newFleet(t *testing.T, seed uint64, sizes map[cassiatally.DataCentre]int, tenants []cassiatally.TenantSpec) *fleet {
	t.Helper()
	codec, err := protocol.New()
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{
		t: t, codec: codec, rand: rand.New(rand.NewPCG(seed, 1)), index: map[cassiatally.NodeID]int{},
		table: map[cassiatally.Tenant]cassiatally.TenantSpec{}, admitted: map[cassiatally.Tenant][]admission{},
		refused: map[cassiatally.Tenant][]time.Duration{}, kinds: map[cassiatally.ErrorKind]int{},
		trace: func(string, ...any) {},
	}
	for _, spec := range tenants {
		f.table[spec.Name] = spec
	}
	for _, dc := range []cassiatally.DataCentre{"east", "north", "west"} {
		for i := range sizes[dc] {
			id := cassiatally.NodeID(fmt.Sprintf("%s-%d", dc, i))
			addr := cassiatally.Address(fmt.Sprintf("127.0.%d.%d:1", len(f.hosts)/250, len(f.hosts)%250+1))
			h := &host{
				member: cassiatally.Member{Ref: cassiatally.NodeRef{Node: id, Incarnation: 1}, DataCentre: dc, Address: addr},
				self:   cassiatally.QuotaCandidate{Node: id, DataCentre: dc, Address: addr},
				drift:  1 + (f.rand.Float64()*2-1)/100, offset: time.Duration(f.rand.IntN(1e9)) + time.Hour,
			}
			f.index[id] = len(f.hosts)
			f.hosts = append(f.hosts, h)
		}
	}
	for i := range f.hosts {
		f.start(i)
	}
	return f
}

func (f *fleet) after(d time.Duration, run func()) {
	f.seq++
	heap.Push(&f.queue, event{at: f.now + d, seq: f.seq, run: run})
}

func (f *fleet) runTo(end time.Duration) {
	for len(f.queue) > 0 && f.queue[0].at <= end {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.run()
	}
	f.now = end
}

// clock returns the reading of a host's clock.
func (f *fleet) clock(h *host) cassiatally.Instant {
	return cassiatally.Instant(float64(f.now)*h.drift) + cassiatally.Instant(h.offset)
}

// act runs f in a life of a host, later if the process is paused.
func (f *fleet) act(i, life int, run func(h *host, now cassiatally.Instant)) {
	h := f.hosts[i]
	if h.life != life || !h.up {
		return
	}
	if f.now < h.pausedTo {
		f.after(h.pausedTo-f.now, func() { f.act(i, life, run) })
		return
	}
	run(h, f.clock(h))
}

// start begins a life of a host. It loads all members from the member store.
func (f *fleet) start(i int) {
	h := f.hosts[i]
	h.life++
	h.up, h.pausedTo, h.wakeAt = true, 0, 0
	h.member.Ref.Incarnation++
	now := f.clock(h)
	h.owner = quotaowner.New(h.self)
	h.taker = quotataker.New(h.self.Node, now, f.rand)
	h.tenants, h.waiting = nil, map[quotataker.WaitID]cassiatally.Tenant{}
	h.lastHeard = make([]time.Duration, len(f.hosts))
	for j := range h.lastHeard {
		h.lastHeard[j] = f.now
	}
	life := h.life
	f.view(i, life)
	f.after(time.Duration(f.rand.Int64N(int64(500*time.Millisecond))), func() {
		f.act(i, life, func(h *host, _ cassiatally.Instant) { f.apply(h) })
	})
	f.after(time.Duration(f.rand.Int64N(int64(tickInterval))), func() { f.tick(i, life) })
}

func (f *fleet) kill(i int) { f.hosts[i].up = false }

// apply puts the table in force on a host.
func (f *fleet) apply(h *host) {
	h.tenants = map[cassiatally.Tenant]cassiatally.TenantSpec{}
	var specs []cassiatally.TenantSpec
	for name, spec := range f.table {
		h.tenants[name] = spec
		specs = append(specs, spec)
	}
	h.owner.SetTenants(f.clock(h), specs)
}

// publish puts a table in force, within applyTime on all hosts.
func (f *fleet) publish(change func(map[cassiatally.Tenant]cassiatally.TenantSpec)) {
	next := map[cassiatally.Tenant]cassiatally.TenantSpec{}
	for n, s := range f.table {
		next[n] = s
	}
	change(next)
	f.table = next
	for i, h := range f.hosts {
		life := h.life
		f.after(time.Duration(f.rand.Int64N(int64(applyTime))), func() {
			f.act(i, life, func(h *host, _ cassiatally.Instant) { f.apply(h) })
		})
	}
}

// view gives a host the members as gossip would have them.
func (f *fleet) view(i, life int) {
	f.act(i, life, func(h *host, now cassiatally.Instant) {
		var members []cassiatally.Member
		var suspects []cassiatally.NodeRef
		gateways := map[cassiatally.DataCentre]int{}
		for _, j := range f.preference(i) {
			o := f.hosts[j]
			if f.reaches(i, j) && o.up {
				h.lastHeard[j] = f.now
			}
			silent := f.now - h.lastHeard[j]
			foreign := o.member.DataCentre != h.member.DataCentre
			if i != j && silent > removeAfter || foreign && gateways[o.member.DataCentre] >= maxGateways {
				continue
			}
			if foreign {
				gateways[o.member.DataCentre]++
			}
			if silent > suspectAfter+500*time.Millisecond {
				suspects = append(suspects, o.member.Ref)
			}
			members = append(members, o.member)
		}
		m := quotaowner.MembersOf(h.self, members, suspects)
		h.owner.SetMembers(now, m)
		h.taker.SetMembers(m.Local, m.Nodes)
	})
	if f.hosts[i].life == life && f.hosts[i].up {
		f.after(viewInterval+time.Duration(f.rand.Int64N(int64(viewInterval/5))), func() { f.view(i, life) })
	}
}

// preference returns all hosts in the order in which a host keeps them as gateways, as
// the registrar does.
func (f *fleet) preference(i int) []int {
	order := make([]int, len(f.hosts))
	scores := make([]uint64, len(f.hosts))
	for j := range f.hosts {
		scores[j] = xxhash.Sum64String(string(f.hosts[i].self.Node) + "\x00" + string(f.hosts[j].self.Node))
		k := j
		for k > 0 && scores[order[k-1]] > scores[j] {
			order[k] = order[k-1]
			k--
		}
		order[k] = j
	}
	return order
}

// reaches reports whether no partition is between two hosts.
func (f *fleet) reaches(i, j int) bool {
	a, b := f.hosts[i], f.hosts[j]
	return a.cutOff == b.cutOff && (f.cut == "" || (a.member.DataCentre == f.cut) == (b.member.DataCentre == f.cut))
}

func (f *fleet) delay(i, j int) time.Duration {
	d := localDelay
	if f.hosts[i].member.DataCentre != f.hosts[j].member.DataCentre {
		d = remoteDelay
	}
	d += time.Duration(f.rand.ExpFloat64() * float64(time.Millisecond))
	if f.rand.IntN(200) == 0 {
		d += time.Duration(f.rand.Int64N(int64(120 * time.Millisecond)))
	}
	return d
}

func (f *fleet) send(i int, to cassiatally.NodeID, m cassiatally.Message) {
	j, ok := f.index[to]
	if !ok {
		f.t.Fatalf("message to unknown node %q", to)
	}
	if i == j {
		f.receive(i, j, f.hosts[j].life, m)
		return
	}
	frame, err := f.codec.Encode(m)
	if err != nil {
		f.t.Fatal(err)
	}
	f.hosts[i].sent++
	f.hosts[i].size += len(frame)
	if f.rand.Float64() < f.loss || !f.reaches(i, j) {
		return
	}
	life := f.hosts[j].life
	f.after(f.delay(i, j), func() {
		if f.reaches(i, j) {
			f.receive(i, j, life, m)
		}
	})
}

func (f *fleet) receive(from, to, life int, m cassiatally.Message) {
	f.act(to, life, func(h *host, now cassiatally.Instant) {
		sender := f.hosts[from].self.Node
		switch m := m.(type) {
		case cassiatally.QuotaBeat:
			if b, ok := h.owner.HandleBeat(now, m); ok {
				f.send(to, sender, b)
			}
		case cassiatally.QuotaRequest:
			f.send(to, sender, h.owner.HandleRequest(now, m))
		case cassiatally.QuotaGrant:
			f.carryOut(to, h.taker.HandleGrant(now, sender, m))
		default:
			f.t.Fatalf("unexpected message %T", m)
		}
	})
}

func (f *fleet) tick(i, life int) {
	f.act(i, life, func(h *host, now cassiatally.Instant) {
		f.ownerTick(i, h, now)
		f.carryOut(i, h.taker.Tick(now))
	})
	if f.hosts[i].life == life && f.hosts[i].up {
		f.after(tickInterval, func() { f.tick(i, life) })
	}
}

func (f *fleet) ownerTick(i int, h *host, now cassiatally.Instant) {
	beat, to := h.owner.Tick(now)
	for _, c := range to {
		f.send(i, c.Node, beat)
	}
}

// request has a client send a request of a tenant to a host.
func (f *fleet) request(i int, name cassiatally.Tenant) {
	h := f.hosts[i]
	f.act(i, h.life, func(h *host, now cassiatally.Instant) {
		spec, ok := h.tenants[name]
		if !ok {
			return // answered with 503 or 401
		}
		f.nextID++
		h.waiting[f.nextID] = name
		f.carryOut(i, h.taker.Take(now, f.nextID, &spec))
	})
}

func (f *fleet) carryOut(i int, out quotataker.Output) {
	h := f.hosts[i]
	for _, d := range out.Decisions {
		name, ok := h.waiting[d.ID]
		if !ok {
			f.t.Fatalf("request %d was decided twice", d.ID)
		}
		delete(h.waiting, d.ID)
		if d.Decision.Granted {
			f.admitted[name] = append(f.admitted[name], admission{f.now, d.Floor})
			continue
		}
		f.trace("%v %s refuses %s: %v", f.now, h.self.Node, name, d.Decision)
		f.refused[name] = append(f.refused[name], f.now)
		f.kinds[d.Decision.Kind]++
	}
	for _, a := range out.Asks {
		f.send(i, a.To.Node, a.Request)
	}
	f.scheduleWake(i)
}

// scheduleWake has the taker of a host ticked when it is due.
func (f *fleet) scheduleWake(i int) {
	h := f.hosts[i]
	at, ok := h.taker.NextWake()
	if !ok {
		return
	}
	due := f.now + max(time.Duration(float64(at.Sub(f.clock(h)))/h.drift), time.Millisecond)
	if h.wakeAt > f.now && h.wakeAt <= due {
		return
	}
	h.wakeAt = due
	life := h.life
	f.after(due-f.now, func() {
		f.act(i, life, func(h *host, now cassiatally.Instant) { f.carryOut(i, h.taker.Tick(now)) })
	})
}

// load has clients send requests of a tenant at a rate to some hosts, until an end.
func (f *fleet) load(name cassiatally.Tenant, entries []int, rate func(at time.Duration) float64, end time.Duration) {
	var next func()
	next = func() {
		f.request(entries[f.rand.IntN(len(entries))], name)
		if gap := time.Duration(f.rand.ExpFloat64() / rate(f.now) * float64(time.Second)); f.now+gap < end {
			f.after(gap, next)
		}
	}
	f.after(time.Duration(f.rand.ExpFloat64()/rate(f.now)*float64(time.Second)), next)
}
