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
	// bothBodies marks a look-up, whose answer covers every request of a key.
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

// testRequest is a key together with one of two bodies.
type testRequest struct {
	key  cassiatally.Key
	body int
}

type testRun struct {
	node    cassiatally.NodeRef
	id      cassiatally.CallID
	request testRequest
}

// world simulates several nodes, the log and the network in virtual time.
type world struct {
	t          *rapid.T
	faults     faults
	now        cassiatally.Instant
	nodes      []*testNode
	net        []envelope
	duplicates []envelope
	log        []cassiatally.Assignment
	logFirst   int
	appends    []testAppend
	runs       []testRun
	keys       []cassiatally.Key
	seq        uint64
	calls      map[cassiatally.CallID]testRequest
	roots      map[cassiatally.RootID]cassiatally.Key
	// submits counts the submissions of each key; ran has the requests that ran or
	// may still run; denied has the requests that were answered not_run.
	submits   map[cassiatally.Key]int
	ran       map[testRequest]bool
	denied    map[testRequest]bool
	stats     worldStats
	violation string
}

// worldStats counts events, to show that the explorations reach the states that
// the rules are about.
type worldStats struct{ submits, ran, notRun, unknown, epochs, crashes int }

func newWorld(t *rapid.T, f faults) *world {
	w := &world{
		t: t, faults: f,
		calls: make(map[cassiatally.CallID]testRequest), roots: make(map[cassiatally.RootID]cassiatally.Key),
		submits: make(map[cassiatally.Key]int), ran: make(map[testRequest]bool), denied: make(map[testRequest]bool),
	}
	for i := range testNodes {
		n := &testNode{ref: cassiatally.NodeRef{Node: cassiatally.NodeID(fmt.Sprintf("n%d", i))}}
		w.nodes = append(w.nodes, n)
		w.start(n)
	}
	w.runWithoutFaults()
	return w
}

func (w *world) start(n *testNode) {
	n.ref.Incarnation += 1 + cassiatally.Incarnation(1000*len(n.ref.Node))
	n.table = assigner.New(n.ref, testDC, 1)
	n.claims = New(n.ref, testDC, 1)
	n.claims.faults = w.faults
	n.cursor, n.paused = 0, false
}

func (w *world) draw(n int, what string) int { return rapid.IntRange(0, n-1).Draw(w.t, what) }

// chance is true once in oneIn draws. It compares with the middle of the range,
// since rapid draws the ends of a range more often.
func (w *world) chance(oneIn int) bool { return w.draw(oneIn, "chance") == oneIn/2 }

func (w *world) randomActiveNode() *testNode {
	n := w.nodes[w.draw(len(w.nodes), "node")]
	if n.paused {
		return nil
	}
	return n
}

// step makes one random move.
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
		{8, w.readRecords},
		{4, w.changeMembers},
		{1, w.crash},
		{1, w.pause},
		{6, w.resume},
		{3, w.runWithoutFaults},
		{3, w.outage},
		{1, w.gossipRandom},
		{1, w.truncateLog},
		{1, w.drain},
	}
	total := 0
	for _, m := range moves {
		total += m.weight
	}
	at := w.draw(total, "move")
	for _, m := range moves {
		if at -= m.weight; at < 0 {
			m.do()
			return
		}
	}
}

func (w *world) perform(n *testNode, actions []cassiatally.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case cassiatally.Send:
			w.handleSend(n, a)
		case cassiatally.AppendAssignment:
			w.appends = append(w.appends, testAppend{n.ref, a.Assignment})
		case cassiatally.Submit:
			w.handleSubmit(n, a.Request)
		}
	}
}

func (w *world) handleSend(n *testNode, a cassiatally.Send) {
	answer, ok := a.Message.(cassiatally.Answer)
	if !ok {
		w.net = append(w.net, envelope{n.ref.Node, a.To, a.Message})
		return
	}
	s := w.calls[answer.ID]
	switch answer.Outcome {
	case cassiatally.OutcomeNotRun:
		w.stats.notRun++
		w.recordNotRun(s)
	case cassiatally.OutcomeRan:
		w.stats.ran++
		if s.body != bothBodies && !w.ran[s] {
			w.reportViolation("%v answered ran without a run", s)
		}
	default:
		w.stats.unknown++
	}
}

func (w *world) recordNotRun(s testRequest) {
	bodies := []int{s.body}
	if s.body == bothBodies {
		bodies = []int{0, 1}
	}
	for _, b := range bodies {
		one := testRequest{s.key, b}
		w.denied[one] = true
		if w.ran[one] {
			w.reportViolation("%v answered not_run after a run", one)
		}
	}
}

func (w *world) handleSubmit(n *testNode, r cassiatally.Request) {
	s := testRequest{w.roots[r.Root], len(r.Body)}
	w.submits[s.key]++
	w.stats.submits++
	if w.submits[s.key] > 1 {
		w.reportViolation("%v submitted twice", s)
	}
	if w.denied[s] {
		w.reportViolation("%v submitted after not_run", s)
	}
	// The router may run the request from now on, even if the node crashes.
	w.ran[s] = true
	w.runs = append(w.runs, testRun{n.ref, r.ID, s})
}

func (w *world) reportViolation(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
	}
}

func (w *world) deliver() {
	if len(w.net) == 0 {
		return
	}
	i := w.draw(len(w.net), "message")
	// Two of three times, the oldest message is delivered.
	if !w.chance(3) {
		i = 0
	}
	if w.chance(12) {
		w.net = append(w.net[:i:i], w.net[i+1:]...)
		return
	}
	if w.chance(3) {
		w.duplicates = append(w.duplicates, w.net[i])
	}
	w.deliverAt(i)
}

// deliverLate delivers a duplicate of a message that was delivered before.
func (w *world) deliverLate() {
	if len(w.duplicates) == 0 {
		return
	}
	i := w.draw(len(w.duplicates), "late message")
	w.net = append([]envelope{w.duplicates[i]}, w.net...)
	w.duplicates = append(w.duplicates[:i:i], w.duplicates[i+1:]...)
	w.deliverAt(0)
}

func (w *world) deliverAt(i int) {
	e := w.net[i]
	n := w.node(e.to)
	if n.paused {
		w.net = append(append(w.net[:i:i], w.net[i+1:]...), e)
		return
	}
	w.net = append(w.net[:i:i], w.net[i+1:]...)
	switch m := e.message.(type) {
	case cassiatally.Call:
		w.perform(n, n.claims.HandleCall(w.now, e.from, m))
	case cassiatally.KeyQuery:
		w.perform(n, n.claims.HandleKeyQuery(w.now, e.from, m))
	case cassiatally.ClaimUpdate:
		w.perform(n, n.claims.HandleClaimUpdate(w.now, e.from, m))
	case cassiatally.ClaimCopy:
		w.perform(n, n.claims.HandleClaimCopy(w.now, e.from, m))
	case cassiatally.ClaimAck:
		w.perform(n, n.claims.HandleClaimAck(w.now, e.from, m))
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

// target draws the receiver of a message about a key: most often the holder
// according to the table of a random node.
func (w *world) target() cassiatally.NodeID {
	holder, _, ok := w.nodes[w.draw(len(w.nodes), "entry")].table.Snapshot().HolderOf(testShard)
	if !ok || w.chance(4) {
		return w.nodes[w.draw(len(w.nodes), "target")].ref.Node
	}
	return holder.Node
}

func (w *world) drawKey() (cassiatally.Key, bool) {
	if n := w.randomActiveNode(); n != nil && (len(w.keys) == 0 || w.chance(2)) {
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
	return w.keys[len(w.keys)-1-w.draw(recent, "key")], true
}

func (w *world) callID(s testRequest) cassiatally.CallID {
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
	s := testRequest{key: k}
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
		m := cassiatally.KeyQuery{ID: w.callID(testRequest{k, bothBodies}), Key: k}
		w.net = append(w.net, envelope{"n0", w.target(), m})
	}
}

func (w *world) tick() {
	steps := []time.Duration{10 * time.Millisecond, 100 * time.Millisecond, time.Second, time.Second, 4 * time.Second}
	step := steps[w.draw(len(steps), "time")]
	if w.chance(12) {
		step = rotateAfter
	}
	w.now = w.now.Add(step)
	if n := w.randomActiveNode(); n != nil {
		w.tickNode(n)
	}
}

func (w *world) tickNode(n *testNode) {
	w.perform(n, n.table.Tick(w.now))
	w.perform(n, n.claims.Tick(w.now))
}

func (w *world) finish() {
	if len(w.runs) == 0 {
		return
	}
	i := w.draw(len(w.runs), "run")
	r := w.runs[i]
	n := w.node(r.node.Node)
	if n.paused {
		return
	}
	w.runs = append(w.runs[:i:i], w.runs[i+1:]...)
	if n.ref != r.node {
		return
	}
	outcome := cassiatally.Outcome(w.draw(3, "outcome"))
	if outcome == cassiatally.OutcomeNotRun {
		delete(w.ran, r.request)
	}
	w.perform(n, n.claims.RunFinished(w.now, r.id, cassiatally.Answer{Outcome: outcome}))
}

// progressAppend writes an append, loses it, or loses its response while the
// record may still be written later.
func (w *world) progressAppend() {
	if len(w.appends) == 0 {
		return
	}
	i := w.draw(len(w.appends), "append")
	a := w.appends[i]
	n := w.node(a.node.Node)
	result := w.draw(5, "append result")
	if result != 0 {
		w.appends = append(w.appends[:i:i], w.appends[i+1:]...)
	}
	if result >= 2 {
		w.log = append(w.log, a.record)
	}
	switch {
	case n.ref != a.node || n.paused:
	case result == 4:
		w.perform(n, n.claims.AppendDone(w.now, a.record))
	default:
		w.perform(n, n.claims.AppendFailed(w.now, a.record))
	}
}

func (w *world) readRecords() {
	if n := w.randomActiveNode(); n != nil {
		w.readLog(n, 1+w.draw(3, "records"))
	}
}

func (w *world) readLog(n *testNode, most int) {
	n.table.StartAt(cassiatally.Offset(w.logFirst))
	n.cursor = max(n.cursor, w.logFirst)
	for ; n.cursor < len(w.log) && most > 0; most-- {
		n.table.Fold(w.now, cassiatally.Offset(n.cursor), time.Hour, w.log[n.cursor])
		n.cursor++
	}
	n.table.EndAt(cassiatally.Offset(n.cursor), n.cursor == len(w.log))
	w.perform(n, n.claims.AssignmentsChanged(w.now, n.table.Changed()))
	w.stats.epochs = max(w.stats.epochs, int(n.table.SumEpochs()))
}

// truncateLog drops the oldest records of the log.
func (w *world) truncateLog() { w.logFirst = min(len(w.log), w.logFirst+1+w.draw(3, "trimmed")) }

// gossipRandom has a random node receive the table of another one by gossip.
func (w *world) gossipRandom() {
	n := w.randomActiveNode()
	if n == nil {
		return
	}
	w.gossip(n, w.nodes[w.draw(len(w.nodes), "peer")])
}

func (w *world) gossip(n, peer *testNode) {
	n.table.Adopt(peer.table.Table())
	w.perform(n, n.claims.AssignmentsChanged(w.now, n.table.Changed()))
}

func (w *world) changeMembers() {
	if n := w.randomActiveNode(); n != nil {
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
	w.perform(n, n.claims.MembersChanged(w.now, members))
}

// crash restarts a node without its state. Messages that it sent may still
// arrive, and its appends may still be written.
func (w *world) crash() {
	w.stats.crashes++
	w.start(w.nodes[w.draw(len(w.nodes), "node")])
}

func (w *world) pause() { w.nodes[w.draw(len(w.nodes), "node")].paused = true }

// resume ends the pause of a node, and restarts one that has handed over its
// shards.
func (w *world) resume() {
	n := w.nodes[w.draw(len(w.nodes), "node")]
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
	w.runWithoutFaults()
}

// drain starts the handover of a node's shards, as before it leaves.
func (w *world) drain() {
	for _, n := range w.nodes {
		if n.claims.draining {
			return
		}
	}
	if n := w.randomActiveNode(); n != nil {
		w.perform(n, n.claims.Drain(w.now))
	}
}

// runWithoutFaults lets the nodes that are not paused work without faults for a
// while, so that random moves start from many different healthy states.
func (w *world) runWithoutFaults() {
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
			w.readLog(n, len(w.log))
			w.gossip(n, w.nodes[w.draw(len(w.nodes), "peer")])
			w.tickNode(n)
		}
		for i := 0; i < perRound && len(w.net) > 0; i++ {
			w.deliverAt(0)
		}
	}
}

// recovers reports whether a new key is run once the faults have ended.
func (w *world) recovers() bool {
	const rounds = 6
	for _, n := range w.nodes {
		n.paused = false
		if n.claims.draining {
			w.start(n)
		}
	}
	w.net = nil
	for range rounds {
		w.runWithoutFaults()
	}
	key, err := w.nodes[0].table.Mint(w.now, rand.New(rand.NewPCG(2, 2)))
	if err != nil {
		return false
	}
	w.roots[cassiatally.RootOfKey(key)] = key
	holder, _, _ := w.nodes[0].table.Snapshot().HolderOf(testShard)
	w.net = append(w.net, envelope{"n0", holder.Node, cassiatally.Call{
		ID: w.callID(testRequest{key: key}), Stage: cassiatally.StageClaim, Root: cassiatally.RootOfKey(key), Key: key,
		Remaining: time.Minute,
	}})
	w.runWithoutFaults()
	return w.submits[key] == 1
}
