package introducer_test

import (
	"context"
	"io"
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

// store keeps members and counts the calls to it.
type store struct {
	mu           sync.Mutex
	members      []cassiatally.Member
	loads, saves int
	away         bool
}

func (s *store) Load(context.Context) ([]cassiatally.Member, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads++
	if s.away {
		return nil, errors.New("the store is away")
	}
	return append([]cassiatally.Member(nil), s.members...), nil
}

func (s *store) Save(_ context.Context, m cassiatally.Member) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.saves++
	if s.away {
		return errors.New("the store is away")
	}
	s.members = append(s.members, m)
	return nil
}

func (s *store) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

// node is an introducer with the members that it found.
type node struct {
	introducer.Introducer
	mu    sync.Mutex
	found map[cassiatally.NodeID]bool
}

func newNode(s *store, id cassiatally.NodeID) *node {
	n := &node{found: make(map[cassiatally.NodeID]bool)}
	n.Introducer = introducer.Introducer{
		Store: s, Self: cassiatally.Member{Ref: cassiatally.NodeRef{Node: id, Incarnation: 1}, Address: cassiatally.Address(id)},
		Alone: func() bool { return n.knows() == 0 },
		Found: n.add, Logger: log.New(io.Discard),
	}
	return n
}

func (n *node) add(members []cassiatally.Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range members {
		if m.Ref.Node != n.Self.Ref.Node {
			n.found[m.Ref.Node] = true
		}
	}
}

func (n *node) knows() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.found)
}

// Guards against a node that reads the store again and again although it has found
// others: the calls of all nodes are paid for and bounded together.
func TestNodeThatFindsOthersLoadsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &store{members: []cassiatally.Member{{Ref: cassiatally.NodeRef{Node: "b"}}}}
		n := newNode(s, "a")
		n.Run()
		time.Sleep(time.Minute)
		n.Close()
		is.Equal(s.loads, 1)
		is.Equal(s.saves, 1)
		is.Equal(n.knows(), 1)
	})
}

// Guards against a node that stays alone because it loaded before the others of its
// fleet had saved where they are.
func TestFirstNodeFindsTheOthers(t *testing.T) {
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
		is.Equal(first.knows(), 1)
		is.Equal(second.knows(), 1)
	})
}

// Guards against a node that is not found for more than two seconds after the store
// has come back.
func TestStoreIsAwayAtTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &store{away: true}
		n := newNode(s, "a")
		n.Run()
		time.Sleep(30 * time.Second)
		s.setAway(false)
		time.Sleep(2 * time.Second)
		n.Close()
		is.Equal(len(s.members), 1)
	})
}
