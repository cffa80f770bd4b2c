package follower_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/follower"
)

const (
	worldStep = 100 * time.Millisecond
	// A quarter of the retention has to cover an outage, the jitter, a repeated
	// append and a slow one. With a retention of 60 s it does not: after a restart
	// of all nodes, no reader finds a base.
	retention = 120 * time.Second
	maxOutage = 8 * time.Second
	// healTime covers a node's start, its pulls and a jittered append.
	healTime   = 40 * time.Second
	worldNodes = 6
	batchSize  = 3
	// Two races of one step each, with a restart between, need a few dozen steps.
	exploreSteps  = 60
	exploreChecks = "300"
)

type logRecord struct {
	sheet   cassiatally.SheetRecord
	expires cassiatally.Instant
}

type event struct {
	at  cassiatally.Instant
	run func()
}

type node struct {
	*follower.Follower
	ref     cassiatally.NodeRef
	version cassiatally.Version
	paused  cassiatally.Instant
}

// world simulates nodes, publishers and a log in virtual time.
type world struct {
	t      *rapid.T
	rand   *rand.Rand
	now    cassiatally.Instant
	log    []logRecord
	first  int
	outage cassiatally.Instant
	loss   float64
	// winners contains the accepted sheet of each version, from the whole log.
	winners []cassiatally.SheetRecord
	nodes   []*node
	events  []event
	count   int
}

func newWorld(t *rapid.T) *world {
	seed := rapid.Uint64().Draw(t, "seed")
	w := &world{t: t, rand: rand.New(rand.NewPCG(seed, 1)), winners: make([]cassiatally.SheetRecord, 1)}
	for i := range worldNodes {
		w.nodes = append(w.nodes, nil)
		w.restart(i)
	}
	return w
}

// reader reports whether a node follows the log: two of three do.
func reader(i int) bool { return i%3 != 2 }

func (w *world) restart(i int) {
	w.count++
	ref := cassiatally.NodeRef{Node: cassiatally.NodeID(fmt.Sprint(i)), Incarnation: cassiatally.Incarnation(w.count)}
	n := &node{Follower: follower.New(follower.Config{Self: ref}, w.rand), ref: ref}
	w.nodes[i] = n
	if reader(i) {
		w.do(n, n.MembersChanged(w.now, []cassiatally.NodeRef{ref}))
	}
}

func (w *world) schedule(d time.Duration, run func()) {
	w.events = append(w.events, event{w.now.Add(d), run})
}

// scheduleAtNode runs an event of a node after a delay and after the end of its pause,
// unless the node was restarted in between.
func (w *world) scheduleAtNode(n *node, d time.Duration, run func()) {
	w.schedule(d, func() {
		if w.now.Before(n.paused) {
			w.scheduleAtNode(n, n.paused.Sub(w.now), run)
			return
		}
		for _, live := range w.nodes {
			if live == n {
				run()
			}
		}
	})
}

func (w *world) delay() time.Duration { return time.Duration(w.rand.IntN(4)) * worldStep }

func (w *world) do(n *node, actions []cassiatally.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case cassiatally.AdoptSheet:
			w.adopt(n, a.Record)
		case cassiatally.AppendSheet:
			// A pause or restart of the node does not stop an append in flight.
			w.schedule(w.delay()*time.Duration(1+w.rand.IntN(20)), func() { w.append(a.Record) })
		case cassiatally.ReadLog:
			w.scheduleAtNode(n, w.delay()+worldStep, func() { w.read(n, a.From) })
		case cassiatally.Send:
			w.send(n, a)
		}
	}
}

func (w *world) adopt(n *node, r cassiatally.SheetRecord) {
	if r.Version <= n.version {
		w.t.Fatalf("node %s went from version %d to %d", n.ref, n.version, r.Version)
	}
	if int(r.Version) >= len(w.winners) || w.winners[r.Version].Digest != r.Digest {
		w.t.Fatalf("node %s adopted %q, which did not win version %d", n.ref, r.Sheet, r.Version)
	}
	n.version = r.Version
}

func (w *world) append(r cassiatally.SheetRecord) {
	if w.now.Before(w.outage) {
		return
	}
	w.log = append(w.log, logRecord{r, w.now.Add(retention)})
	if !r.Reappend && int(r.BasedOn) == len(w.winners)-1 {
		w.winners = append(w.winners, r)
	}
}

func (w *world) read(n *node, from cassiatally.Offset) {
	if w.now.Before(w.outage) {
		w.do(n, n.ReadFailed(w.now))
		return
	}
	b := follower.Batch{Oldest: cassiatally.Offset(w.first)}
	next := max(int(from), w.first)
	for ; next < len(w.log) && len(b.Records) < batchSize; next++ {
		r := w.log[next]
		b.Records = append(b.Records, follower.Record{
			Offset: cassiatally.Offset(next), Expires: r.expires.Sub(w.now), Sheet: &r.sheet,
		})
	}
	b.Next = cassiatally.Offset(next)
	w.do(n, n.HandleBatch(w.now, b))
}

func (w *world) send(from *node, a cassiatally.Send) {
	if w.rand.Float64() < w.loss {
		return
	}
	for _, to := range w.nodes {
		if to.ref.Node != a.To {
			continue
		}
		w.scheduleAtNode(to, w.delay(), func() {
			switch m := a.Message.(type) {
			case cassiatally.SheetPull:
				w.do(to, to.HandlePull(w.now, from.ref.Node, m))
			case cassiatally.SheetRecord:
				w.do(to, to.HandleRecord(w.now, from.ref.Node, m))
			}
		})
	}
}

// advance moves time on: the log drops expired records, messages arrive, nodes
// tick and gossip their versions.
func (w *world) advance(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(worldStep)
		for w.first < len(w.log) && w.now.Reached(w.log[w.first].expires) {
			w.first++
		}
		events := w.events
		w.events = nil
		for _, e := range events {
			if w.now.Before(e.at) {
				w.events = append(w.events, e)
				continue
			}
			e.run()
		}
		for _, n := range w.nodes {
			if w.now.Before(n.paused) {
				continue
			}
			w.do(n, n.Tick(w.now))
			if time.Duration(w.now)%time.Second == 0 {
				w.gossip(n)
			}
		}
	}
}

func (w *world) gossip(n *node) {
	for range 2 {
		to, v := w.nodes[w.rand.IntN(len(w.nodes))], n.Version()
		if to != n && w.rand.Float64() >= w.loss {
			w.scheduleAtNode(to, w.delay(), func() { w.do(to, to.HandleVersion(w.now, n.ref.Node, v)) })
		}
	}
}

// publish appends a sheet that is based on the version accepted some time ago,
// so that publishers race.
func (w *world) publish(behind int) {
	w.count++
	base := cassiatally.Version(max(len(w.winners)-1-behind, 0))
	text := []byte(fmt.Sprintf("sheet %d by %d", base+1, w.count))
	w.append(cassiatally.SheetRecord{Version: base + 1, BasedOn: base, Sheet: text, Digest: cassiatally.DigestOf(text)})
}

func (w *world) step() {
	i := rapid.IntRange(0, worldNodes-1).Draw(w.t, "node")
	switch rapid.SampledFrom([]string{"pass", "pass", "publish", "race", "restart", "restart all", "pause", "outage", "loss"}).Draw(w.t, "step") {
	case "pass":
		w.advance(time.Duration(rapid.IntRange(1, 300).Draw(w.t, "steps")) * worldStep)
	case "publish":
		w.publish(0)
	case "race":
		// The loser's record can become the first record of the truncated log.
		w.publish(0)
		w.advance(time.Duration(rapid.IntRange(0, 200).Draw(w.t, "gap")) * worldStep)
		w.publish(1)
	case "restart":
		w.restart(i)
	case "restart all":
		for i := range w.nodes {
			w.restart(i)
		}
	case "pause":
		w.nodes[i].paused = w.now.Add(time.Duration(rapid.IntRange(1, 100).Draw(w.t, "pause")) * worldStep)
	case "outage":
		// The log is up for a while between two outages, so that the record in force
		// can be appended again.
		if w.now.Reached(w.outage.Add(2 * maxOutage)) {
			w.outage = w.now.Add(maxOutage)
		}
	case "loss":
		w.loss = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(w.t, "share")
	}
}

// Guards against a version that decreases, the sheet of a racing loser in force,
// and nodes that do not converge on the log's winner after races, lost messages,
// outages and truncation of the log, pauses and restarts.
func TestAllNodesConvergeOnTheWinner(t *testing.T) {
	is := is.New(t)
	set := func(name, variable, value string) {
		if v, found := os.LookupEnv(variable); found {
			value = v
		}
		is.NoErr(flag.Set(name, value))
	}
	set("rapid.seed", "FOLLOWER_SEED", "1")
	set("rapid.checks", "FOLLOWER_CHECKS", exploreChecks)
	is.NoErr(flag.Set("rapid.nofailfile", "true"))
	truncated, raced := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(1, exploreSteps).Draw(t, "length") {
			w.step()
		}
		w.loss = 0
		w.outage = min(w.outage, w.now)
		w.advance(healTime)
		for _, n := range w.nodes {
			if int(n.Version()) != len(w.winners)-1 {
				t.Fatalf("node %s has version %d, the log accepted %d", n.ref, n.Version(), len(w.winners)-1)
			}
		}
		if w.first > 0 {
			truncated++
		}
		if len(w.log) > len(w.winners) {
			raced++
		}
	})
	t.Logf("log truncated in %d worlds, raced for in %d", truncated, raced)
	// Runs without truncated logs and races would not test the rules for them.
	is.True(truncated > 30)
	is.True(raced > 30)
}
