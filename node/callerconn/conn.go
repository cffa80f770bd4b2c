package callerconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	// maxAhead bounds the requests of a connection that are read and not yet answered.
	maxAhead = 16
	// lingerTime bounds how long bytes are discarded after the last answer. A client that
	// is still sending when the connection is closed would lose the answer.
	lingerTime = 500 * time.Millisecond
)

// longAgo is a deadline that ends a read at once.
var longAgo = time.Unix(1, 0)

// conn is a connection of a client. One goroutine receives its requests; each request is
// answered by a goroutine of its own, and the answers are written in order.
type conn struct {
	server   *Server
	id       cassiatally.ConnID
	nc       net.Conn
	raw      syscall.RawConn
	ctx      context.Context
	cancel   context.CancelFunc
	handlers sync.WaitGroup

	// The receiving goroutine owns the fields from here to mu. reader is nil while no
	// bytes are buffered, and grown is what its buffer holds beyond the usual size.
	reader *reader
	grown  cassiatally.ByteCount
	// empty counts the bytes of empty lines since the last request.
	empty   int
	fill    func(fd uintptr) bool
	fillErr error
	closed  func(fd uintptr) bool
	body    bool
	gone    bool
	expired bool

	mu sync.Mutex
	// queue has the requests that were read and not yet answered, in order.
	queue   []*exchange
	writing bool
	// reading is set from the first byte of a request until it is queued; waiting while
	// there is no byte of it; watching while the queue has to become shorter first.
	reading, waiting, watching bool
	// last is set when no request is read after those in the queue.
	last bool
	// ending is set while a drain waits for what an idle connection has already received.
	ending bool
	busy   bool
}

func newConn(s *Server, nc net.Conn, raw syscall.RawConn) *conn {
	c := &conn{server: s, nc: nc, raw: raw}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.fill, c.closed = c.receiveNow, closedByPeer
	return c
}

// run serves the connection until it ends.
func (c *conn) run() {
	defer c.end()
	defer c.server.Recoverer.Recover()
	for c.awaitRequest() && c.readRequest() {
	}
	c.awaitAnswers()
	if !c.gone && !c.expired {
		c.linger()
	}
}

// end waits for the requests of the connection and closes it. A client that sends nothing
// more may still read the answer that is being written.
func (c *conn) end() {
	c.cancel()
	c.dropReader()
	c.handlers.Wait()
	c.abort()
	c.mu.Lock()
	c.reading, c.ending, c.queue = false, false, nil
	c.updateBusy()
	c.mu.Unlock()
	c.server.remove(c)
}

// abort closes the connection and ends the context of its requests.
func (c *conn) abort() {
	c.cancel()
	_ = c.nc.Close()
}

// closeIfIdle ends the connection when it has no request and none has arrived.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endIfIdle()
}

// endIfIdle wakes an idle connection, which then ends unless bytes have arrived. It counts
// as busy until then. The caller holds mu.
func (c *conn) endIfIdle() {
	if c.reading || len(c.queue) > 0 || c.last {
		return
	}
	c.ending = true
	c.updateBusy()
	_ = c.nc.SetReadDeadline(longAgo)
}

// awaitRequest waits for the first byte of a request that may be read now. It returns
// false when there will be none.
func (c *conn) awaitRequest() bool {
	for {
		if (c.reader == nil || c.reader.Buffered() == 0) && !c.awaitBytes() {
			return false
		}
		c.skipEmptyLines()
		if c.reader.Buffered() > 0 {
			return c.awaitTurn()
		}
	}
}

// awaitBytes waits until the buffer has bytes. It returns false when there will be none.
func (c *conn) awaitBytes() bool {
	c.dropReader()
	if !c.setWaiting() {
		return false
	}
	err := c.raw.Read(c.fill)
	if err == nil {
		err = c.fillErr
	}
	if c.stopWaiting() && err != nil {
		err = c.receiveArrived()
	}
	if err != nil {
		c.readFailed(err)
		return false
	}
	return true
}

// setWaiting prepares the wait for a first byte. The idle time counts only while no
// request is being answered.
func (c *conn) setWaiting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last {
		return false
	}
	c.waiting = true
	switch {
	case c.ending:
		_ = c.nc.SetReadDeadline(longAgo)
	case len(c.queue) == 0:
		_ = c.nc.SetReadDeadline(time.Now().Add(c.server.IdleTimeout))
	default:
		_ = c.nc.SetReadDeadline(time.Time{})
	}
	return true
}

// stopWaiting ends the wait for a first byte. It reports whether the connection is ending.
func (c *conn) stopWaiting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
	return c.ending
}

// receiveArrived receives what has arrived at a connection that is ending. Without any
// bytes, no request is read any more.
func (c *conn) receiveArrived() error {
	err := c.raw.Control(func(fd uintptr) { c.fill(fd) })
	if err == nil {
		err = c.fillErr
	}
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.last, c.ending = true, false
		c.updateBusy()
	}
	if errors.Is(err, errNothingYet) {
		return os.ErrDeadlineExceeded
	}
	return err
}

// receiveNow receives what has arrived, in a buffer that is taken for it only if there is
// something. It returns false when there is nothing yet.
func (c *conn) receiveNow(fd uintptr) bool {
	r := readers.Get().(*reader)
	r.source = source{conn: c.nc, fd: int(fd)}
	_, err := r.Peek(1)
	if err == nil {
		r.source = source{conn: c.nc, fd: noFD, before: c.beforeRead, after: c.afterRead}
		c.reader, c.fillErr = r, nil
		return true
	}
	blocked := r.source.blocked
	r.release()
	c.fillErr = err
	return !blocked
}

func (c *conn) beforeRead() {
	if c.body {
		c.setReadDeadline(c.server.IdleTimeout)
	}
}

func (c *conn) afterRead(n int) { c.server.progress(c, n) }

// setReadDeadline bounds a read of a request that may still be run.
func (c *conn) setReadDeadline(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last {
		_ = c.nc.SetReadDeadline(longAgo)
		return
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(d))
}

// readFailed records why no more bytes can be read.
func (c *conn) readFailed(err error) {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		c.mu.Lock()
		c.expired = !c.last
		c.mu.Unlock()
		return
	}
	c.gone = true
	c.cancel()
}

// awaitTurn waits until the next request may be read beside those in the queue. It
// returns false when it must not be read any more.
func (c *conn) awaitTurn() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.last && len(c.queue) > 0 {
		if c.server.leaving.Load() && !c.lastKeeps() {
			// The answer to the last request of the queue will close the connection.
			c.last = true
			break
		}
		if len(c.queue) < maxAhead && c.allRepeatable() {
			break
		}
		if !c.watch() {
			return false
		}
	}
	if c.last {
		return false
	}
	c.reading, c.ending = true, false
	c.updateBusy()
	return true
}

// lastKeeps reports whether the answer to the last request of the queue is being written
// with a head that keeps the connection. The caller holds mu.
func (c *conn) lastKeeps() bool { return c.writing && len(c.queue) == 1 && !c.queue[0].closes }

// watch waits until an answer was written. It returns false when the client has
// disconnected, also when there are bytes that were not read. The caller holds mu.
func (c *conn) watch() bool {
	c.watching = true
	_ = c.nc.SetReadDeadline(time.Time{})
	c.mu.Unlock()
	err := c.raw.Read(c.closed)
	c.mu.Lock()
	c.watching = false
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return true
	}
	c.gone = true
	c.cancel()
	return false
}

// closedByPeer reports whether the peer has closed or reset a connection.
func closedByPeer(fd uintptr) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0 && fds[0].Revents != 0
}

// awaitEmpty waits until all requests before the one being read are answered. It returns
// false when that one must not be run.
func (c *conn) awaitEmpty() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.last && len(c.queue) > 0 {
		if !c.watch() {
			return false
		}
	}
	return !c.last
}

// awaitAnswers waits until all requests are answered or the client is gone.
func (c *conn) awaitAnswers() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = true
	for len(c.queue) > 0 && !c.gone {
		if !c.watch() {
			return
		}
	}
}

// linger ends the answers to the client and discards what it still sends.
func (c *conn) linger() {
	c.dropReader()
	if tcp, ok := c.nc.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
		_ = c.nc.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.Copy(io.Discard, c.nc)
	}
}

// dropReader frees the buffer.
func (c *conn) dropReader() {
	if c.reader == nil {
		return
	}
	c.reader.release()
	c.reader = nil
	if c.grown > 0 {
		c.server.release(c, c.grown, false)
		c.grown = 0
	}
}

// allRepeatable reports whether all requests in the queue may be answered beside others.
func (c *conn) allRepeatable() bool {
	for _, ex := range c.queue {
		if !ex.checked {
			ex.checked, ex.repeatable = true, c.repeatable(ex.request.Request)
		}
		if !ex.repeatable {
			return false
		}
	}
	return true
}

// repeatable reports whether a request may be read ahead.
func (c *conn) repeatable(r *http.Request) bool {
	if r == nil || r.ContentLength != 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		return false
	}
	return c.server.Repeatable != nil && c.server.Repeatable(r)
}

// updateBusy reports to the server whether the connection has a request. The caller holds mu.
func (c *conn) updateBusy() {
	busy := c.reading || c.ending || len(c.queue) > 0
	if busy == c.busy {
		return
	}
	c.busy = busy
	if busy {
		c.server.setBusy(1)
	} else {
		c.server.setBusy(-1)
	}
}
