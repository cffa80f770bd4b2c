package introducer_test

import (
	"context"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/node/introducer"
)

// store stores members in memory and counts the calls.
type store struct {
	mu           sync.Mutex
	members      []cassiatally.Member
	loads, saves int
	unavailable  bool
}

func (s *store) Load(context.Context) ([]cassiatally.Member, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads++
	if s.unavailable {
		return nil, errors.New("the store is unavailable")
	}
	return append([]cassiatally.Member(nil), s.members...), nil
}

func (s *store) Save(_ context.Context, m cassiatally.Member) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.saves++
	if s.unavailable {
		return errors.New("the store is unavailable")
	}
	s.members = append(s.members, m)
	return nil
}

func (s *store) setUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
}

// node is an introducer that records the other members it has loaded.
type node struct {
	introducer.Introducer
	mu     sync.Mutex
	loaded map[cassiatally.NodeID]bool
}

func newNode(s *store, id cassiatally.NodeID) *node {
	n := &node{loaded: make(map[cassiatally.NodeID]bool)}
	n.Introducer = introducer.Introducer{
		Store: s, Self: cassiatally.Member{Ref: cassiatally.NodeRef{Node: id, Incarnation: 1}, Address: cassiatally.Address(id)},
		Alone:  func() bool { return n.loadedCount() == 0 },
		OnLoad: n.add, Logger: log.New(io.Discard),
	}
	return n
}

func (n *node) add(members []cassiatally.Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range members {
		if m.Ref.Node != n.Self.Ref.Node {
			n.loaded[m.Ref.Node] = true
		}
	}
}

func (n *node) loadedCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.loaded)
}

// Guards against a node that keeps reading the store after it has discovered others: the
// calls of all nodes to the store share one cost and one rate limit.
func TestNodeThatIsNotAloneLoadsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &store{members: []cassiatally.Member{{Ref: cassiatally.NodeRef{Node: "b"}}}}
		n := newNode(s, "a")
		n.Run()
		time.Sleep(time.Minute)
		n.Close()
		is.Equal(s.loads, 1)
		is.Equal(s.saves, 1)
		is.Equal(n.loadedCount(), 1)
	})
}

// Guards against a node that stays alone because it loaded the members before the other
// nodes had saved their addresses.
func TestFirstNodeDiscoversTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &store{}
		first, second := newNode(s, "a"), newNode(s, "b")
		first.Run()
		time.Sleep(100 * time.Millisecond)
		second.Run()
		time.Sleep(time.Second)
		first.Close()
		second.Close()
		is.Equal(first.loadedCount(), 1)
		is.Equal(second.loadedCount(), 1)
	})
}

// Guards against a node that starts while the store is unavailable and is not saved
// within two seconds of the store's return.
func TestStoreUnavailableAtStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &store{unavailable: true}
		n := newNode(s, "a")
		n.Run()
		time.Sleep(30 * time.Second)
		s.setUnavailable(false)
		time.Sleep(2 * time.Second)
		n.Close()
		is.Equal(len(s.members), 1)
	})
}

// remove removes the records of a node, as a store does that is restored from a copy.
func (s *store) remove(id cassiatally.NodeID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members = slices.DeleteFunc(s.members, func(m cassiatally.Member) bool { return m.Ref.Node == id })
}

func (s *store) has(id cassiatally.NodeID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.members, func(m cassiatally.Member) bool { return m.Ref.Node == id })
}

// Guards against a member record that stays missing after the store lost it, in each state
// of the duty, and against writing a record that the store still has.
func TestReintroduction(t *testing.T) {
	cases := []struct {
		name string
		// before is what happens from the start of the node to its reintroduction.
		before       func(s *store, n *node)
		loads, saves int
	}{
		{"record lost", func(s *store, _ *node) {
			time.Sleep(time.Minute)
			s.remove("a")
		}, 2, 2},
		{"record kept", func(*store, *node) { time.Sleep(time.Minute) }, 2, 1},
		{"between the checks at the start", func(s *store, _ *node) {
			time.Sleep(time.Second)
			s.remove("a")
		}, 2, 2},
		{"several times at once", func(s *store, n *node) {
			time.Sleep(time.Minute)
			s.remove("a")
			for range 10 {
				n.Reintroduce()
			}
		}, 3, 2}, // at the start, one that has begun, and one that covers the others
		{"before the start has ended", func(s *store, n *node) {
			s.setUnavailable(true)
			time.Sleep(2300 * time.Millisecond)
			n.Reintroduce()
			s.setUnavailable(false)
		}, 7, 2},
		{"store unavailable meanwhile", func(s *store, n *node) {
			time.Sleep(time.Minute)
			s.remove("a")
			s.setUnavailable(true)
			n.Reintroduce()
			time.Sleep(2300 * time.Millisecond)
			s.setUnavailable(false)
		}, 8, 2}, // at the start, six until the store is back, and the second one
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &store{members: []cassiatally.Member{{Ref: cassiatally.NodeRef{Node: "b"}}}}
				n := newNode(s, "a")
				n.Run()
				c.before(s, n)
				n.Reintroduce()
				time.Sleep(5 * time.Second)
				n.Close()
				is.True(s.has("a"))
				t.Logf("%d loads, %d saves", s.loads, s.saves)
				is.True(s.loads <= c.loads)
				is.True(s.saves <= c.saves)
			})
		})
	}
}

// Guards against a reintroduction that is lost because it is asked for before the duty runs,
// and against one after its end that blocks.
func TestReintroductionOutsideARun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &store{}
		n := newNode(s, "a")
		n.Reintroduce()
		n.Run()
		time.Sleep(200 * time.Millisecond)
		n.Close()
		n.Reintroduce()
		n.Reintroduce()
		is.True(s.has("a"))
	})
}
