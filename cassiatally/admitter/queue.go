package admitter

import (
	"container/heap"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// item is an entry in the queue with its place in each heap.
type item struct {
	entry cassiatally.Entry
	rank  cassiatally.Rank
	// key is the order value scaled by the tenant's use; the lowest goes first.
	key float64
	// probe marks an entry that starts although its deadline seems out of reach.
	probe  bool
	seq    uint64
	places [placeCount]int
}

// place numbers the heaps that an item is in.
type place int

const (
	placeFirst place = iota
	placeLast
	placeDue
	placeCount
)

// absent marks an item that is not in a heap.
const absent = -1

// sorted is a heap that records the place of each item, so that an item can be
// removed from the middle.
type sorted struct {
	items  []*item
	place  place
	before func(a, b *item) bool
}

var _ heap.Interface = (*sorted)(nil)

// Len returns the number of items.
func (s *sorted) Len() int { return len(s.items) }

// Less reports whether the item at i comes before the item at j.
func (s *sorted) Less(i, j int) bool { return s.before(s.items[i], s.items[j]) }

// Swap exchanges two items.
func (s *sorted) Swap(i, j int) {
	s.items[i], s.items[j] = s.items[j], s.items[i]
	s.items[i].places[s.place] = i
	s.items[j].places[s.place] = j
}

// Push appends an item; called by container/heap.
func (s *sorted) Push(x any) {
	it := x.(*item)
	it.places[s.place] = len(s.items)
	s.items = append(s.items, it)
}

// Pop removes the last item; called by container/heap.
func (s *sorted) Pop() any {
	last := len(s.items) - 1
	it := s.items[last]
	s.items[last] = nil
	s.items = s.items[:last]
	it.places[s.place] = absent
	return it
}

func (s *sorted) add(it *item) { heap.Push(s, it) }

func (s *sorted) remove(it *item) {
	if at := it.places[s.place]; at != absent {
		heap.Remove(s, at)
	}
}

func (s *sorted) top() *item {
	if len(s.items) == 0 {
		return nil
	}
	return s.items[0]
}

// queue holds the entries of all ranks. Every change costs O(log n).
type queue struct {
	first [cassiatally.MaxRanks]sorted
	last  [cassiatally.MaxRanks]sorted
	due   [cassiatally.MaxRanks]sorted
	byID  map[cassiatally.CallID]*item
	spare []*item
	seq   uint64
}

func newQueue() *queue {
	q := &queue{
		byID: make(map[cassiatally.CallID]*item),
	}
	for r := range q.first {
		q.first[r] = sorted{place: placeFirst, before: keyBefore}
		q.last[r] = sorted{place: placeLast, before: keyAfter}
		q.due[r] = sorted{place: placeDue, before: dueBefore}
	}
	return q
}

func keyBefore(a, b *item) bool {
	if a.key != b.key {
		return a.key < b.key
	}
	return a.seq < b.seq
}

func keyAfter(a, b *item) bool { return keyBefore(b, a) }

func dueBefore(a, b *item) bool { return a.entry.Deadline < b.entry.Deadline }

func (q *queue) add(e cassiatally.Entry, r cassiatally.Rank, key float64) *item {
	it := q.take()
	q.seq++
	*it = item{entry: e, rank: r, key: key, seq: q.seq, places: [placeCount]int{absent, absent, absent}}
	q.byID[e.ID] = it
	q.first[r].add(it)
	q.last[r].add(it)
	if e.Deadline != 0 {
		q.due[r].add(it)
	}
	return it
}

func (q *queue) take() *item {
	if n := len(q.spare); n > 0 {
		it := q.spare[n-1]
		q.spare = q.spare[:n-1]
		return it
	}
	return &item{}
}

// remove takes an item out of all heaps and returns its entry. The item itself
// is used again.
func (q *queue) remove(it *item) cassiatally.Entry {
	q.first[it.rank].remove(it)
	q.last[it.rank].remove(it)
	q.due[it.rank].remove(it)
	delete(q.byID, it.entry.ID)
	q.spare = append(q.spare, it)
	return it.entry
}

func (q *queue) len() int { return len(q.byID) }

func (q *queue) rankLen(r cassiatally.Rank) int { return q.first[r].Len() }
