package connevictor_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/connevictor"
)

const kib cassiatally.ByteCount = 1 << 10

// Guards against stalled senders, and senders of single bytes, that crowd out one that
// makes progress.
func TestLeastProgressIsClosedFirst(t *testing.T) {
	is := is.New(t)
	e := connevictor.New(100*kib, 10)
	for id := range cassiatally.ConnID(3) {
		_, ok := e.Open(0, id)
		is.True(ok)
		_, ok = e.Begin(cassiatally.Instant(id), id, 30*kib)
		is.True(ok)
	}
	e.Progress(10, 0, 16*kib)
	e.Progress(11, 1, 1) // the oldest now
	victims, ok := e.Hold(12, 0, 30*kib)
	is.True(ok)
	is.Equal(victims, []cassiatally.ConnID{1})
	is.Equal(e.Held(), 90*kib)
	e.Release(13, 1, 30*kib) // it is not in the account any more
	is.Equal(e.Held(), 90*kib)
}

// Guards against closing a connection whose request runs, and against holding more than
// the capacity for requests.
func TestRunningRequestsAreKept(t *testing.T) {
	is := is.New(t)
	e := connevictor.New(100*kib, 10)
	for id := range cassiatally.ConnID(2) {
		_, _ = e.Open(0, id)
	}
	_, ok := e.Begin(0, 0, 90*kib)
	is.True(ok)
	e.End(0) // runs
	victims, ok := e.Begin(1, 1, 20*kib)
	is.True(!ok) // is refused
	is.Equal(len(victims), 0)
	is.Equal(len(e.HoldAnswer(2, 0, 20*kib)), 0) // an answer is held in any case
	is.Equal(e.Held(), 110*kib)
}

// Guards against an answer for a slow reader that stays while others need its bytes.
func TestSlowReaderIsClosed(t *testing.T) {
	is := is.New(t)
	e := connevictor.New(100*kib, 10)
	for id := range cassiatally.ConnID(2) {
		_, _ = e.Open(0, id)
	}
	e.HoldAnswer(0, 0, 90*kib)
	victims, ok := e.Begin(1, 1, 20*kib)
	is.True(ok)
	is.Equal(victims, []cassiatally.ConnID{0})
}

// Guards against too many connections, and against closing a busy one while one is idle.
func TestIdleConnectionsAreClosedFirst(t *testing.T) {
	is := is.New(t)
	e := connevictor.New(100*kib, 3)
	for id := range cassiatally.ConnID(3) {
		_, ok := e.Open(cassiatally.Instant(id), id)
		is.True(ok)
	}
	_, _ = e.Begin(3, 0, kib)
	victim, ok := e.Open(4, 3)
	is.True(ok)
	is.Equal(victim, cassiatally.ConnID(1))
	is.Equal(e.Conns(), 3)
	for id := range cassiatally.ConnID(4) {
		_, _ = e.Begin(5, id, kib)
		e.End(id) // runs
	}
	e.End(0)
	_, ok = e.Open(6, 4)
	is.True(!ok) // all of them run
}

// Guards against an account that drifts from what is held, or exceeds its capacity, over
// random operations of requests.
func TestAccountIsExact(t *testing.T) {
	is := is.New(t)
	const capacity = 1000 * kib
	r := rand.New(rand.NewPCG(1, 2))
	e := connevictor.New(capacity, 40)
	type state struct {
		held      cassiatally.ByteCount
		transfers int
	}
	open := make(map[cassiatally.ConnID]*state)
	drop := func(ids ...cassiatally.ConnID) {
		for _, id := range ids {
			delete(open, id)
		}
	}
	for step := range cassiatally.Instant(20_000) {
		id := cassiatally.ConnID(r.IntN(60))
		s, known := open[id]
		n := cassiatally.ByteCount(r.IntN(100)) * kib
		switch {
		case !known:
			before := e.Conns()
			victim, ok := e.Open(step, id)
			if ok {
				if e.Conns() == before {
					drop(victim)
				}
				open[id] = &state{}
			}
		case s.transfers == 0 && s.held == 0:
			victims, ok := e.Begin(step, id, n)
			drop(victims...)
			if ok {
				s.held += n
			}
			s.transfers++
		case r.IntN(3) == 0:
			victims, ok := e.Hold(step, id, n)
			drop(victims...)
			if ok {
				s.held += n
			}
		case s.transfers > 0:
			e.End(id)
			s.transfers--
		case r.IntN(2) == 0:
			e.Release(step, id, s.held)
			s.held = 0
		default:
			e.Close(id)
			drop(id)
		}
		sum := cassiatally.ByteCount(0)
		for _, s := range open {
			sum += s.held
		}
		is.Equal(e.Held(), sum)
		is.Equal(e.Conns(), len(open))
		is.True(e.Held() <= capacity)
	}
}

// Guards against memory beyond the capacity while connections that were chosen to be closed
// still keep their buffers, as on a busy machine.
func TestEvictedConnectionsHoldUntilTheyEnd(t *testing.T) {
	is := is.New(t)
	const capacity, body = 100 << 10, 50 << 10
	e := connevictor.New(capacity, 100)
	now := cassiatally.Instant(time.Hour)
	begin := func(id cassiatally.ConnID) bool {
		now = now.Add(time.Millisecond)
		_, ok := e.Open(now, id)
		is.True(ok)
		_, ok = e.Begin(now, id, body)
		return ok
	}
	for id := range cassiatally.ConnID(4) {
		is.True(begin(id + 1)) // the third and the fourth take the room of the first and the second
	}
	is.True(!begin(5)) // two that were closed have not ended
	e.Close(1)
	e.Close(2)
	is.True(begin(6))
}
