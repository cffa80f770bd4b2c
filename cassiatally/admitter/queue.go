package admitter

import (
	"container/heap"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// item is an entry in the queue with its index in each heap.
type item struct {
	entry cassiatally.Entry
	rank  cassiatally.Rank
	// key is the position within the rank, the lowest first: the order value, scaled up
	// for a tenant above its fair share, less onwardLead for onward calls.
	key float64
	// probe marks an entry that starts although the estimated run time is longer than
	// the time until its deadline.
	probe   bool
	seq     uint64
	indexes [heapCount]int
}

// heapKind numbers the heaps that an item is in.
type heapKind int

const (
	heapByKey heapKind = iota
	heapByKeyDescending
	heapByDeadline
	heapCount
)

// notInHeap is the index of an item that is not in a heap.
const notInHeap = -1

// indexedHeap is a heap that records the index of each item, so that an item can be
// removed from the middle.
type indexedHeap struct {
	items []*item
	kind  heapKind
	less  func(a, b *item) bool
}

var _ heap.Interface = (*indexedHeap)(nil)

// Len returns the number of items.
func (s *indexedHeap) Len() int { return len(s.items) }

// Less reports whether the item at i comes before the item at j.
func (s *indexedHeap) Less(i, j int) bool { return s.less(s.items[i], s.items[j]) }

// Swap exchanges two items.
func (s *indexedHeap) Swap(i, j int) {
	s.items[i], s.items[j] = s.items[j], s.items[i]
	s.items[i].indexes[s.kind] = i
	s.items[j].indexes[s.kind] = j
}

// Push appends an item; called by container/heap.
func (s *indexedHeap) Push(x any) {
	it := x.(*item)
	it.indexes[s.kind] = len(s.items)
	s.items = append(s.items, it)
}

// Pop removes the last item; called by container/heap.
func (s *indexedHeap) Pop() any {
	last := len(s.items) - 1
	it := s.items[last]
	s.items[last] = nil
	s.items = s.items[:last]
	it.indexes[s.kind] = notInHeap
	return it
}

func (s *indexedHeap) add(it *item) { heap.Push(s, it) }

func (s *indexedHeap) remove(it *item) {
	if at := it.indexes[s.kind]; at != notInHeap {
		heap.Remove(s, at)
	}
}

func (s *indexedHeap) top() *item {
	if len(s.items) == 0 {
		return nil
	}
	return s.items[0]
}

// queue holds the entries of all ranks, ordered by key and by deadline. Every change
// costs O(log n).
type queue struct {
	byKey           [cassiatally.MaxRanks]indexedHeap
	byKeyDescending [cassiatally.MaxRanks]indexedHeap
	byDeadline      [cassiatally.MaxRanks]indexedHeap
	byID            map[cassiatally.CallID]*item
	freeItems       []*item
	seq             uint64
}

func newQueue() *queue {
	q := &queue{
		byID: make(map[cassiatally.CallID]*item),
	}
	for r := range q.byKey {
		q.byKey[r] = indexedHeap{kind: heapByKey, less: keyLess}
		q.byKeyDescending[r] = indexedHeap{kind: heapByKeyDescending, less: keyGreater}
		q.byDeadline[r] = indexedHeap{kind: heapByDeadline, less: deadlineLess}
	}
	return q
}

func keyLess(a, b *item) bool {
	if a.key != b.key {
		return a.key < b.key
	}
	return a.seq < b.seq
}

func keyGreater(a, b *item) bool { return keyLess(b, a) }

func deadlineLess(a, b *item) bool { return a.entry.Deadline < b.entry.Deadline }

func (q *queue) add(e cassiatally.Entry, r cassiatally.Rank, key float64) *item {
	it := q.newItem()
	q.seq++
	*it = item{entry: e, rank: r, key: key, seq: q.seq, indexes: [heapCount]int{notInHeap, notInHeap, notInHeap}}
	q.byID[e.ID] = it
	q.byKey[r].add(it)
	q.byKeyDescending[r].add(it)
	if e.Deadline != 0 {
		q.byDeadline[r].add(it)
	}
	return it
}

func (q *queue) newItem() *item {
	if n := len(q.freeItems); n > 0 {
		it := q.freeItems[n-1]
		q.freeItems = q.freeItems[:n-1]
		return it
	}
	return &item{}
}

// remove takes an item out of all heaps and returns its entry. The item itself
// is reused by a later add.
func (q *queue) remove(it *item) cassiatally.Entry {
	q.byKey[it.rank].remove(it)
	q.byKeyDescending[it.rank].remove(it)
	q.byDeadline[it.rank].remove(it)
	delete(q.byID, it.entry.ID)
	q.freeItems = append(q.freeItems, it)
	return it.entry
}

func (q *queue) len() int { return len(q.byID) }

func (q *queue) rankLen(r cassiatally.Rank) int { return q.byKey[r].Len() }
