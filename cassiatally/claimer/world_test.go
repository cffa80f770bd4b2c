package claimer

import (
	"fmt"
	"math/rand/v2"
	"time"

	"pgregory.net/rapid"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/assigner"
)

const (
	testDC    cassiatally.DataCentre = "dc"
	testNodes int                    = 4
	// bothBodies marks a look-up, whose answer speaks for every request of a key.
	bothBodies int = -1
)

var testShard = cassiatally.ShardRef{DataCentre: testDC}

type testNode struct {
	ref    cassiatally.NodeRef
	table  *assigner.Assigner
	claims *Claimer
	cursor int
	paused bool
}

type envelope struct {
	from, to cassiatally.NodeID
	message  cassiatally.Message
}

type testAppend struct {
	node   cassiatally.NodeRef
	record cassiatally.Assignment
}

// subject is a request: a key together with one of two bodies.
type subject struct {
	key  cassiatally.Key
	body int
}

type testRun struct {
	node    cassiatally.NodeRef
	id      cassiatally.CallID
	subject subject
}

// world is several nodes with a model of the log and of the network.
type world struct {
	t       *rapid.T
	faults  faults
	now     cassiatally.Instant
	nodes   []*testNode
	net     []envelope
	late    []envelope
	log     []cassiatally.Assignment
	first   int
	appends []testAppend
	runs    []testRun
	keys    []cassiatally.Key
	seq     uint64
	calls   map[cassiatally.CallID]subject
	roots   map[cassiatally.RootID]cassiatally.Key
	// submits counts submissions per key; unrun has the requests of which the
	// router stated that they never ran; denied has the not_run answers.
	submits map[cassiatally.Key]int
	ran     map[subject]bool
	denied  map[subject]bool
	stats   worldStats
	broken  string
}

// worldStats shows that an exploration reaches the states that it is meant for.
type worldStats struct{ submits, ran, notRun, unknown, epochs, crashes int }

func newWorld(t *rapid.T, f faults) *world {
	w := &world{
		t: t, faults: f,
		calls: make(map[cassiatally.CallID]subject), roots: make(map[cassiatally.RootID]cassiatally.Key),
		submits: make(map[cassiatally.Key]int), ran: make(map[subject]bool), denied: make(map[subject]bool),
	}
	for i := range testNodes {
		n := &testNode{ref: cassiatally.NodeRef{Node: cassiatally.NodeID(fmt.Sprintf("n%d", i))}}
		w.nodes = append(w.nodes, n)
		w.start(n)
	}
	w.settle()
	return w
}

func (w *world) start(n *testNode) {
	n.ref.Incarnation += 1 + cassiatally.Incarnation(1000*len(n.ref.Node))
	n.table = assigner.New(n.ref, testDC, 1)
	n.claims = New(n.ref, testDC, 1)
	n.claims.faults = w.faults
	n.cursor, n.paused = 0, false
}

func (w *world) pick(n int, what string) int { return rapid.IntRange(0, n-1).Draw(w.t, what) }

// chance compares with the middle of the range, since rapid draws the ends of a
// range more often.
func (w *world) chance(oneIn int) bool { return w.pick(oneIn, "chance") == oneIn/2 }

func (w *world) awake() *testNode {
	n := w.nodes[w.pick(len(w.nodes), "node")]
	if n.paused {
		return nil
	}
	return n
}

// step makes one random move and checks the rules.
func (w *world) step() {
	type move struct {
		weight int
		do     func()
	}
	moves := []move{
		{40, w.deliver},
		{8, w.deliverLate},
		{10, w.call},
		{1, w.query},
		{10, w.tick},
		{4, w.finish},
		{6, w.progressAppend},
		{8, w.readSome},
		{4, w.changeMembers},
		{1, w.crash},
		{1, w.pause},
		{6, w.resume},
		{3, w.settle},
		{3, w.outage},
		{1, w.adopt},
		{1, w.trim},
		{1, w.drain},
	}
	total := 0
	for _, m := range moves {
		total += m.weight
	}
	at := w.pick(total, "move")
	for _, m := range moves {
		if at -= m.weight; at < 0 {
			m.do()
			return
		}
	}
}

func (w *world) do(n *testNode, actions []cassiatally.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case cassiatally.Send:
			w.sent(n, a)
		case cassiatally.AppendAssignment:
			w.appends = append(w.appends, testAppend{n.ref, a.Assignment})
		case cassiatally.Submit:
			w.submitted(n, a.Request)
		}
	}
}

func (w *world) sent(n *testNode, a cassiatally.Send) {
	answer, ok := a.Message.(cassiatally.Answer)
	if !ok {
		w.net = append(w.net, envelope{n.ref.Node, a.To, a.Message})
		return
	}
	s := w.calls[answer.ID]
	switch answer.Outcome {
	case cassiatally.OutcomeNotRun:
		w.stats.notRun++
		w.deny(s)
	case cassiatally.OutcomeRan:
		w.stats.ran++
		if s.body != bothBodies && !w.ran[s] {
			w.breach("%v answered ran without a run", s)
		}
	default:
		w.stats.unknown++
	}
}

func (w *world) deny(s subject) {
	bodies := []int{s.body}
	if s.body == bothBodies {
		bodies = []int{0, 1}
	}
	for _, b := range bodies {
		one := subject{s.key, b}
		w.denied[one] = true
		if w.ran[one] {
			w.breach("%v answered not_run after a run", one)
		}
	}
}

func (w *world) submitted(n *testNode, r cassiatally.Request) {
	s := subject{w.roots[r.Root], len(r.Body)}
	w.submits[s.key]++
	w.stats.submits++
	if w.submits[s.key] > 1 {
		w.breach("%v submitted twice", s)
	}
	if w.denied[s] {
		w.breach("%v submitted after not_run", s)
	}
	// The router may run the request from now on, whatever becomes of the node.
	w.ran[s] = true
	w.runs = append(w.runs, testRun{n.ref, r.ID, s})
}

func (w *world) breach(format string, args ...any) {
	if w.broken == "" {
		w.broken = fmt.Sprintf(format, args...)
	}
}

func (w *world) deliver() {
	if len(w.net) == 0 {
		return
	}
	i := w.pick(len(w.net), "message")
	// The oldest messages come first more often than not.
	if !w.chance(3) {
		i = 0
	}
	if w.chance(12) {
		w.net = append(w.net[:i:i], w.net[i+1:]...)
		return
	}
	if w.chance(3) {
		w.late = append(w.late, w.net[i])
	}
	w.hand(i)
}

// deliverLate delivers a second copy of a message, long after the first one.
func (w *world) deliverLate() {
	if len(w.late) == 0 {
		return
	}
	i := w.pick(len(w.late), "late message")
	w.net = append([]envelope{w.late[i]}, w.net...)
	w.late = append(w.late[:i:i], w.late[i+1:]...)
	w.hand(0)
}

func (w *world) hand(i int) {
	e := w.net[i]
	n := w.node(e.to)
	if n.paused {
		w.net = append(append(w.net[:i:i], w.net[i+1:]...), e)
		return
	}
	w.net = append(w.net[:i:i], w.net[i+1:]...)
	switch m := e.message.(type) {
	case cassiatally.Call:
		w.do(n, n.claims.HandleCall(w.now, e.from, m))
	case cassiatally.KeyQuery:
		w.do(n, n.claims.HandleKeyQuery(w.now, e.from, m))
	case cassiatally.ClaimUpdate:
		w.do(n, n.claims.HandleClaimUpdate(w.now, e.from, m))
	case cassiatally.ClaimCopy:
		w.do(n, n.claims.HandleClaimCopy(w.now, e.from, m))
	case cassiatally.ClaimAck:
		w.do(n, n.claims.HandleClaimAck(w.now, e.from, m))
	}
}

func (w *world) node(id cassiatally.NodeID) *testNode {
	for _, n := range w.nodes {
		if n.ref.Node == id {
			return n
		}
	}
	return nil
}

// target draws a node for a message about a key, most often the node that some
// other node takes for the holder.
func (w *world) target() cassiatally.NodeID {
	holder, _, ok := w.nodes[w.pick(len(w.nodes), "entry")].table.Snapshot().HolderOf(testShard)
	if !ok || w.chance(4) {
		return w.nodes[w.pick(len(w.nodes), "target")].ref.Node
	}
	return holder.Node
}

func (w *world) drawKey() (cassiatally.Key, bool) {
	if n := w.awake(); n != nil && (len(w.keys) == 0 || w.chance(2)) {
		r := rand.New(rand.NewPCG(1, uint64(len(w.keys))))
		if k, err := n.table.Mint(w.now, r); err == nil {
			w.keys = append(w.keys, k)
			w.roots[cassiatally.RootOfKey(k)] = k
		}
	}
	if len(w.keys) == 0 {
		return "", false
	}
	recent := min(len(w.keys), 4)
	return w.keys[len(w.keys)-1-w.pick(recent, "key")], true
}

func (w *world) callID(s subject) cassiatally.CallID {
	w.seq++
	id := cassiatally.CallID{Origin: 1, Seq: w.seq}
	w.calls[id] = s
	return id
}

func (w *world) call() {
	k, ok := w.drawKey()
	if !ok {
		return
	}
	s := subject{key: k}
	if w.chance(8) {
		s.body = 1
	}
	remaining := time.Minute
	if w.chance(8) {
		remaining = 0
	}
	call := cassiatally.Call{
		ID: w.callID(s), Stage: cassiatally.StageClaim, Root: cassiatally.RootOfKey(k), Key: k,
		Remaining: remaining, Body: make([]byte, s.body),
	}
	w.net = append(w.net, envelope{"n0", w.target(), call})
}

func (w *world) query() {
	if k, ok := w.drawKey(); ok {
		m := cassiatally.KeyQuery{ID: w.callID(subject{k, bothBodies}), Key: k}
		w.net = append(w.net, envelope{"n0", w.target(), m})
	}
}

func (w *world) tick() {
	steps := []time.Duration{10 * time.Millisecond, 100 * time.Millisecond, time.Second, time.Second, 4 * time.Second}
	step := steps[w.pick(len(steps), "time")]
	if w.chance(12) {
		step = rotateAfter
	}
	w.now = w.now.Add(step)
	if n := w.awake(); n != nil {
		w.tickNode(n)
	}
}

func (w *world) tickNode(n *testNode) {
	w.do(n, n.table.Tick(w.now))
	w.do(n, n.claims.Tick(w.now))
}

func (w *world) finish() {
	if len(w.runs) == 0 {
		return
	}
	i := w.pick(len(w.runs), "run")
	r := w.runs[i]
	n := w.node(r.node.Node)
	if n.paused {
		return
	}
	w.runs = append(w.runs[:i:i], w.runs[i+1:]...)
	if n.ref != r.node {
		return
	}
	outcome := cassiatally.Outcome(w.pick(3, "outcome"))
	if outcome == cassiatally.OutcomeNotRun {
		delete(w.ran, r.subject)
	}
	w.do(n, n.claims.RunFinished(w.now, r.id, cassiatally.Answer{Outcome: outcome}))
}

// progressAppend writes an append, loses it, or loses its acknowledgement while
// the write itself may still happen later.
func (w *world) progressAppend() {
	if len(w.appends) == 0 {
		return
	}
	i := w.pick(len(w.appends), "append")
	a := w.appends[i]
	n := w.node(a.node.Node)
	fate := w.pick(5, "fate")
	if fate != 0 {
		w.appends = append(w.appends[:i:i], w.appends[i+1:]...)
	}
	if fate >= 2 {
		w.log = append(w.log, a.record)
	}
	switch {
	case n.ref != a.node || n.paused:
	case fate == 4:
		w.do(n, n.claims.AppendDone(w.now, a.record))
	default:
		w.do(n, n.claims.AppendFailed(w.now, a.record))
	}
}

func (w *world) readSome() {
	if n := w.awake(); n != nil {
		w.read(n, 1+w.pick(3, "records"))
	}
}

func (w *world) read(n *testNode, most int) {
	n.table.StartAt(cassiatally.Offset(w.first))
	n.cursor = max(n.cursor, w.first)
	for ; n.cursor < len(w.log) && most > 0; most-- {
		n.table.Fold(w.now, cassiatally.Offset(n.cursor), time.Hour, w.log[n.cursor])
		n.cursor++
	}
	n.table.EndAt(cassiatally.Offset(n.cursor), n.cursor == len(w.log))
	w.do(n, n.claims.AssignmentsChanged(w.now, n.table.Changed()))
	w.stats.epochs = max(w.stats.epochs, int(n.table.SumEpochs()))
}

// trim has the log drop its oldest records.
func (w *world) trim() { w.first = min(len(w.log), w.first+1+w.pick(3, "trimmed")) }

// adopt passes on a table by gossip.
func (w *world) adopt() {
	n := w.awake()
	if n == nil {
		return
	}
	w.gossip(n, w.nodes[w.pick(len(w.nodes), "peer")])
}

func (w *world) gossip(n, peer *testNode) {
	n.table.Adopt(peer.table.Table())
	w.do(n, n.claims.AssignmentsChanged(w.now, n.table.Changed()))
}

func (w *world) changeMembers() {
	if n := w.awake(); n != nil {
		w.setMembers(n, func(m *testNode) bool { return !w.chance(6) && (!m.paused || w.chance(3)) })
	}
}

func (w *world) setMembers(n *testNode, live func(*testNode) bool) {
	var members []cassiatally.Member
	for _, m := range w.nodes {
		if m == n || live(m) {
			members = append(members, cassiatally.Member{Ref: m.ref, DataCentre: testDC, Leaving: m.claims.draining})
		}
	}
	n.table.MembersChanged(w.now, members)
	w.do(n, n.claims.MembersChanged(w.now, members))
}

// crash restarts a node without its memory. Its messages may still arrive, and
// its appends may still be written.
func (w *world) crash() {
	w.stats.crashes++
	w.start(w.nodes[w.pick(len(w.nodes), "node")])
}

func (w *world) pause() { w.nodes[w.pick(len(w.nodes), "node")].paused = true }

// resume wakes a node, or replaces one that has handed over its shards.
func (w *world) resume() {
	n := w.nodes[w.pick(len(w.nodes), "node")]
	n.paused = false
	if n.claims.draining && n.claims.Drained() {
		w.start(n)
	}
}

// outage pauses a node, most often the holder, for so long that the others
// replace it. It does nothing while another node is paused.
func (w *world) outage() {
	for _, n := range w.nodes {
		if n.paused {
			return
		}
	}
	w.node(w.target()).paused = true
	w.settle()
}

// drain has a node hand over its shards, as it does before it leaves.
func (w *world) drain() {
	for _, n := range w.nodes {
		if n.claims.draining {
			return
		}
	}
	if n := w.awake(); n != nil {
		w.do(n, n.claims.Drain(w.now))
	}
}

// settle lets the nodes that are not paused work without faults for a while, so
// that random moves start from many different healthy states.
func (w *world) settle() {
	const rounds, perRound = 6, 30
	for range rounds {
		w.now = w.now.Add(2 * time.Second)
		for _, a := range w.appends {
			w.log = append(w.log, a.record)
		}
		w.appends = nil
		for _, n := range w.nodes {
			if n.paused {
				continue
			}
			w.setMembers(n, func(m *testNode) bool { return !m.paused })
			w.read(n, len(w.log))
			w.gossip(n, w.nodes[w.pick(len(w.nodes), "peer")])
			w.tickNode(n)
		}
		for i := 0; i < perRound && len(w.net) > 0; i++ {
			w.hand(0)
		}
	}
}

// recovers reports whether a new key is run once the faults have ended.
func (w *world) recovers() bool {
	const settlings = 6
	for _, n := range w.nodes {
		n.paused = false
		if n.claims.draining {
			w.start(n)
		}
	}
	w.net = nil
	for range settlings {
		w.settle()
	}
	key, err := w.nodes[0].table.Mint(w.now, rand.New(rand.NewPCG(2, 2)))
	if err != nil {
		return false
	}
	w.roots[cassiatally.RootOfKey(key)] = key
	holder, _, _ := w.nodes[0].table.Snapshot().HolderOf(testShard)
	w.net = append(w.net, envelope{"n0", holder.Node, cassiatally.Call{
		ID: w.callID(subject{key: key}), Stage: cassiatally.StageClaim, Root: cassiatally.RootOfKey(key), Key: key,
		Remaining: time.Minute,
	}})
	w.settle()
	return w.submits[key] == 1
}
