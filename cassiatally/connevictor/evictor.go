// Package connevictor keeps the account of the bytes that a front end holds for its
// clients, and chooses which connection to close when the account is full or there are
// too many connections.
//
// A transfer is a request that is being received or an answer that is being sent. Slow
// and stalled clients hold their bytes for as long as they like, so of the connections in
// a transfer that hold many bytes, the one whose last progress is the oldest is closed
// first. Bytes of requests that run are held without a transfer, and are never a reason
// to close a connection.
//
// # Usage
//
//	e := connevictor.New(capacity, maxConns)
//	victim, ok := e.Open(now, id)
//	victims, ok := e.Begin(now, id, bufferBytes) // the first byte of a request is there
//	victims, ok = e.Hold(now, id, n)             // before a buffer of n bytes is made
//	e.Progress(now, id, received)
//	e.End(id)                                    // the request is complete
//	e.Release(now, id, n)
//	e.Close(id)
//
// An Evictor is not safe for concurrent use.
package connevictor

import (
	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	// manyBytes is what a connection in a transfer holds at least to be among the first to
	// be closed. Requests without a body and with a short head hold less.
	manyBytes cassiatally.ByteCount = 12 << 10
	// progressBytes is what a connection has to transfer to count as having progressed. A
	// client that sends single bytes would otherwise look as busy as others.
	progressBytes cassiatally.ByteCount = 16 << 10
	// maxEvictedFactor bounds what connections hold together with those that were chosen to
	// be closed and have not ended yet, as a multiple of the capacity. On a busy machine a
	// closed connection keeps its buffers for a while.
	maxEvictedFactor = 2
)

// Evictor is the account. New makes one.
type Evictor struct {
	capacity cassiatally.ByteCount
	maxConns int
	held     cassiatally.ByteCount
	conns    map[cassiatally.ConnID]*conn
	// evicted has what victims hold until Close, and evictedHeld is its sum.
	evicted     map[cassiatally.ConnID]cassiatally.ByteCount
	evictedHeld cassiatally.ByteCount
}

// conn is the part of the account of one connection.
type conn struct {
	held      cassiatally.ByteCount
	transfers int
	// mark is when the connection last progressed, or when it last became idle; since
	// counts the bytes that were transferred after it.
	mark  cassiatally.Instant
	since cassiatally.ByteCount
}

// New returns an account with a capacity in bytes and a bound on the connections.
func New(capacity cassiatally.ByteCount, maxConns int) *Evictor {
	return &Evictor{
		capacity: capacity, maxConns: maxConns,
		conns: make(map[cassiatally.ConnID]*conn), evicted: make(map[cassiatally.ConnID]cassiatally.ByteCount),
	}
}

// Held returns the bytes that are held for all connections.
func (e *Evictor) Held() cassiatally.ByteCount { return e.held }

// Conns returns the number of connections.
func (e *Evictor) Conns() int { return len(e.conns) }

// Open adds a connection. When there are too many, victim is the one to close: the one
// that has been idle for the longest time, or the one in a transfer with the oldest
// progress. It returns false when no connection may be closed and the new one has to be.
func (e *Evictor) Open(now cassiatally.Instant, id cassiatally.ConnID) (victim cassiatally.ConnID, ok bool) {
	if len(e.conns) >= e.maxConns {
		var found bool
		victim, found = e.oldest(func(c *conn) bool { return c.held == 0 })
		if !found {
			victim, found = e.oldest(func(c *conn) bool { return c.transfers > 0 })
		}
		if !found {
			return 0, false
		}
		e.evict(victim)
	}
	e.conns[id] = &conn{mark: now}
	return victim, true
}

// Close removes a connection that has ended, and what it holds.
func (e *Evictor) Close(id cassiatally.ConnID) {
	if c, ok := e.conns[id]; ok {
		e.held -= c.held
		delete(e.conns, id)
	}
	e.evictedHeld -= e.evicted[id]
	delete(e.evicted, id)
}

// evict removes a connection that is to be closed. What it holds counts on until Close.
func (e *Evictor) evict(id cassiatally.ConnID) {
	held := e.conns[id].held
	e.held -= held
	delete(e.conns, id)
	e.evicted[id] = held
	e.evictedHeld += held
}

// Begin begins a transfer that holds n bytes. It returns as Hold does.
func (e *Evictor) Begin(now cassiatally.Instant, id cassiatally.ConnID, n cassiatally.ByteCount) (victims []cassiatally.ConnID, ok bool) {
	c, ok := e.conns[id]
	if !ok {
		return nil, false
	}
	if c.transfers == 0 {
		c.mark, c.since = now, 0
	}
	c.transfers++
	return e.Hold(now, id, n)
}

// End ends a transfer. What it held stays held until Release.
func (e *Evictor) End(id cassiatally.ConnID) {
	if c, ok := e.conns[id]; ok {
		c.transfers--
	}
}

// Hold adds n bytes to what a connection holds. The victims are closed for it and are no
// longer in the account, but when they have not given back what they hold, others may hold
// less. It returns false when there is no room, also because the connection itself is the
// one to close; its request then must not be run. A connection
// that is not in the account any more gets false too.
func (e *Evictor) Hold(_ cassiatally.Instant, id cassiatally.ConnID, n cassiatally.ByteCount) (victims []cassiatally.ConnID, ok bool) {
	c, ok := e.conns[id]
	if !ok {
		return nil, false
	}
	c.held += n
	e.held += n
	victims, ok = e.makeRoom(id)
	// Small holds are let through: a request without a body is not refused for others.
	if ok = ok && (n < manyBytes || e.held+e.evictedHeld <= maxEvictedFactor*e.capacity); !ok {
		c.held -= n
		e.held -= n
	}
	return victims, ok
}

// HoldAnswer adds the n bytes of an answer that is about to be sent. It is held in any
// case, since an answer that is ready has to be delivered.
func (e *Evictor) HoldAnswer(now cassiatally.Instant, id cassiatally.ConnID, n cassiatally.ByteCount) (victims []cassiatally.ConnID) {
	c, ok := e.conns[id]
	if !ok {
		return nil
	}
	if c.transfers == 0 {
		c.mark, c.since = now, 0
	}
	c.transfers++
	c.held += n
	e.held += n
	victims, _ = e.makeRoom(id)
	return victims
}

// makeRoom closes connections until the account is within its capacity, and returns them.
// It returns false when id would have to be closed, or when no connection may be.
func (e *Evictor) makeRoom(id cassiatally.ConnID) (victims []cassiatally.ConnID, ok bool) {
	for e.held > e.capacity {
		victim, found := e.oldest(func(c *conn) bool { return c.transfers > 0 && c.held >= manyBytes })
		if !found {
			victim, found = e.oldest(func(c *conn) bool { return c.transfers > 0 })
		}
		if !found || victim == id {
			return victims, false
		}
		e.evict(victim)
		victims = append(victims, victim)
	}
	return victims, true
}

// Release takes n bytes off what a connection holds.
func (e *Evictor) Release(now cassiatally.Instant, id cassiatally.ConnID, n cassiatally.ByteCount) {
	c, ok := e.conns[id]
	if !ok {
		return
	}
	c.held -= n
	e.held -= n
	if c.held == 0 {
		c.mark = now
	}
}

// Progress records that n bytes were received from a connection or sent to it.
func (e *Evictor) Progress(now cassiatally.Instant, id cassiatally.ConnID, n cassiatally.ByteCount) {
	c, ok := e.conns[id]
	if !ok {
		return
	}
	c.since += n
	if c.since >= progressBytes {
		c.mark, c.since = now, 0
	}
}

// oldest returns the connection with the oldest mark among those that match. Of equal
// marks the lower id counts as older.
func (e *Evictor) oldest(match func(*conn) bool) (id cassiatally.ConnID, found bool) {
	var mark cassiatally.Instant
	for i, c := range e.conns {
		if match(c) && (!found || c.mark < mark || c.mark == mark && i < id) {
			id, mark, found = i, c.mark, true
		}
	}
	return id, found
}
