package fifo_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/fifo"
)

func id(n uint64) cassiatally.CallID { return cassiatally.CallID{Origin: 1, Seq: n} }

// Guards against a baseline that uses ranks or deadlines to order or drop calls,
// which would make comparisons meaningless.
func TestOrderOfArrival(t *testing.T) {
	is := is.New(t)
	q := &fifo.Queue{Capacity: 3}
	for n := range uint64(3) {
		is.Equal(len(q.Offer(0, cassiatally.Entry{ID: id(n), Rank: cassiatally.Rank(3 - n), Deadline: 1})), 0)
	}
	refused := q.Offer(0, cassiatally.Entry{ID: id(9)})
	is.Equal(refused, []cassiatally.Dropped{{ID: id(9), Kind: cassiatally.KindOverloaded}})
	is.True(q.Remove(id(1)))
	is.True(!q.Remove(id(1)))
	start, dropped := q.Next(100, 10)
	is.Equal(start, []cassiatally.CallID{id(0), id(2)})
	is.Equal(len(dropped), 0)
	is.Equal(q.Len(), 0)
}

// Guards against a bound when no capacity is set.
func TestUnbounded(t *testing.T) {
	is := is.New(t)
	q := &fifo.Queue{}
	for n := range uint64(10_000) {
		is.Equal(len(q.Offer(0, cassiatally.Entry{ID: id(n)})), 0)
	}
	start, _ := q.Next(0, 4000)
	is.Equal(len(start), 4000)
	is.Equal(q.Len(), 6000)
	is.Equal(q.Levels()[0], cassiatally.Level(1))
}
