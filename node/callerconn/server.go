// Package callerconn serves the connections of untrusted clients. It owns the bytes of each
// connection: it bounds what one client may send, keeps one account of what is held for all
// of them, and closes the connections with the least progress when that account is full. A
// front end translates requests and answers.
//
// Messages are parsed by net/http. This package decides when a message is read, how much
// of it, and what happens to the connection afterwards.
//
// # Usage
//
//	s := &callerconn.Server{Listen: addr, Capacity: bytes, MaxConns: n, Clock: clock, Serve: serve}
//	if err := s.Run(); err != nil { ... }
//	defer s.Close()
//	s.Leave()    // each further answer closes its connection
//	s.Drain(ctx) // accept no more connections, wait for the answers
//
// Requests on one connection are answered in their order. A request is read while others
// before it are being answered only when Repeatable accepts all of them.
package callerconn

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/connevictor"
	"github.com/cassiatally/cassiatally/cassiatally/recoverer"
)

const (
	// defaultCapacity and defaultMaxConns apply when Capacity and MaxConns are 0.
	defaultCapacity cassiatally.ByteCount = 56 << 20
	defaultMaxConns                       = 3072
	// acceptRetryDelay is the wait after a connection could not be accepted, as when the
	// process has no descriptor left.
	acceptRetryDelay = 5 * time.Millisecond
	// acceptTimeout bounds the wait for a connection that has arrived. It is taken at once
	// unless its client has reset it.
	acceptTimeout = 100 * time.Millisecond
)

// Request is a request that was read as a whole.
type Request struct {
	*http.Request
	Content []byte
}

// Response is the answer to a request.
type Response struct {
	Status int
	Fields []cassiatally.Field
	Body   []byte
}

// Server serves clients. Its fields are set before Run.
type Server struct {
	Listen cassiatally.Address
	Clock  cassiatally.Clock
	// Serve answers a request. Its context ends when the client disconnects.
	Serve func(ctx context.Context, r Request) Response
	// Repeatable reports whether a request without a body may be read and run while
	// requests before it are being answered, and the other way round. Nil accepts none.
	Repeatable func(r *http.Request) bool
	// Capacity bounds the bytes that are held for all clients, and MaxConns their
	// connections; 0 means a default.
	Capacity cassiatally.ByteCount
	MaxConns int
	// HeaderTimeout bounds the time from the first byte of a request to the end of its
	// head. IdleTimeout bounds the time between requests, and between two reads of a body.
	HeaderTimeout, IdleTimeout time.Duration
	// Recoverer is optional. With it, a panic of Serve ends only its connection.
	Recoverer *recoverer.Recoverer

	listener *net.TCPListener
	leaving  atomic.Bool
	running  sync.WaitGroup
	closing  chan struct{}
	// accepted is closed once no more connections are accepted.
	accepted chan struct{}

	mu      sync.Mutex
	account *connevictor.Evictor
	conns   map[cassiatally.ConnID]*conn
	lastID  cassiatally.ConnID
	closed  bool
	// idle is closed when no connection is busy, once somebody waits for that.
	idle chan struct{}

	// busy is the number of connections with a request: from its first byte until its
	// answer is written.
	busy     atomic.Int64
	draining atomic.Bool
}

// Run starts to serve.
func (s *Server) Run() error {
	lc := net.ListenConfig{}
	listener, err := lc.Listen(context.Background(), "tcp", string(s.Listen))
	if err != nil {
		return errors.Wrapf(err, "listen for requests on %s", s.Listen)
	}
	if s.Capacity == 0 {
		s.Capacity = defaultCapacity
	}
	if s.MaxConns == 0 {
		s.MaxConns = defaultMaxConns
	}
	s.listener = listener.(*net.TCPListener)
	s.closing, s.accepted = make(chan struct{}), make(chan struct{})
	s.account = connevictor.New(s.Capacity, s.MaxConns)
	s.conns = make(map[cassiatally.ConnID]*conn)
	s.running.Go(s.accept)
	return nil
}

// Leave makes each further answer close its connection, unless a request behind it has
// been read.
func (s *Server) Leave() { s.leaving.Store(true) }

// Drain stops to accept connections after those that have arrived, closes those without a
// request and waits until all requests whose first byte has arrived are answered and the
// answers are written, or until ctx is done.
func (s *Server) Drain(ctx context.Context) {
	s.Leave()
	s.draining.Store(true)
	_ = s.listener.SetDeadline(longAgo)
	<-s.accepted
	idle := make(chan struct{})
	s.mu.Lock()
	conns := s.openConns()
	s.mu.Unlock()
	for _, c := range conns {
		c.closeIfIdle()
	}
	s.mu.Lock()
	s.idle = idle
	s.notifyIdle()
	s.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
	}
}

// Close ends all connections and waits for them.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.closing)
	}
	conns := s.openConns()
	s.mu.Unlock()
	for _, c := range conns {
		c.abort()
	}
	s.running.Wait()
}

// Held returns the bytes that are held for clients.
func (s *Server) Held() cassiatally.ByteCount {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.account.Held()
}

// Conns returns the number of open connections.
func (s *Server) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.account.Conns()
}

func (s *Server) openConns() []*conn {
	out := make([]*conn, 0, len(s.conns))
	for _, c := range s.conns {
		out = append(out, c)
	}
	return out
}

func (s *Server) accept() {
	defer close(s.accepted)
	for {
		nc, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil && s.draining.Load() {
			s.acceptArrived()
			_ = s.listener.Close()
			return
		}
		if err != nil {
			select {
			case <-time.After(acceptRetryDelay):
				continue
			case <-s.closing:
				return
			}
		}
		s.open(nc)
	}
}

// acceptArrived accepts the connections that clients have already opened. Their requests
// may be on them, and closing the listener would reset them.
func (s *Server) acceptArrived() {
	raw, err := s.listener.SyscallConn()
	if err != nil {
		return
	}
	for range s.MaxConns {
		arrived := false
		if err := raw.Control(func(fd uintptr) { arrived = readable(fd) }); err != nil || !arrived {
			return
		}
		_ = s.listener.SetDeadline(time.Now().Add(acceptTimeout))
		nc, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.open(nc)
	}
}

// readable reports whether a listener has a connection to accept.
func readable(fd uintptr) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0
}

// open starts to serve a connection. It may close another one for it.
func (s *Server) open(nc net.Conn) {
	raw, err := nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		_ = nc.Close()
		return
	}
	c := newConn(s, nc, raw)
	s.mu.Lock()
	s.lastID++
	c.id = s.lastID
	victim, ok := s.account.Open(s.Clock.Now(), c.id)
	evicted := s.conns[victim]
	if ok = ok && !s.closed; ok {
		s.conns[c.id] = c
		s.running.Go(c.run)
	} else {
		s.account.Close(c.id)
	}
	s.mu.Unlock()
	if evicted != nil {
		evicted.abort()
	}
	if !ok {
		_ = nc.Close()
	}
}

// remove forgets a connection that has ended.
func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account.Close(c.id)
	delete(s.conns, c.id)
}

// setBusy counts the connections with a request.
func (s *Server) setBusy(delta int64) {
	if s.busy.Add(delta) == 0 && s.draining.Load() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.notifyIdle()
	}
}

func (s *Server) notifyIdle() {
	if s.idle != nil && s.busy.Load() == 0 {
		close(s.idle)
		s.idle = nil
	}
}

// begin records the first byte of a request. It returns false when there is no room.
func (s *Server) begin(c *conn, n cassiatally.ByteCount) bool {
	s.mu.Lock()
	victims, ok := s.account.Begin(s.Clock.Now(), c.id, n)
	evicted := s.victims(victims)
	s.mu.Unlock()
	abortAll(evicted)
	return ok
}

// hold charges n bytes to a connection. It returns false when there is no room.
func (s *Server) hold(c *conn, n cassiatally.ByteCount) bool {
	s.mu.Lock()
	victims, ok := s.account.Hold(s.Clock.Now(), c.id, n)
	evicted := s.victims(victims)
	s.mu.Unlock()
	abortAll(evicted)
	return ok
}

// holdAnswer charges an answer that is about to be sent.
func (s *Server) holdAnswer(c *conn, n cassiatally.ByteCount) {
	s.mu.Lock()
	evicted := s.victims(s.account.HoldAnswer(s.Clock.Now(), c.id, n))
	s.mu.Unlock()
	abortAll(evicted)
}

// end records that a request was received.
func (s *Server) end(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account.End(c.id)
}

// release takes back bytes that were charged, and ends a transfer.
func (s *Server) release(c *conn, n cassiatally.ByteCount, endTransfer bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if endTransfer {
		s.account.End(c.id)
	}
	s.account.Release(s.Clock.Now(), c.id, n)
}

func (s *Server) progress(c *conn, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account.Progress(s.Clock.Now(), c.id, cassiatally.ByteCount(n))
}

// victims returns the connections with these ids.
func (s *Server) victims(ids []cassiatally.ConnID) []*conn {
	if len(ids) == 0 {
		return nil
	}
	out := make([]*conn, 0, len(ids))
	for _, id := range ids {
		if c, ok := s.conns[id]; ok {
			out = append(out, c)
		}
	}
	return out
}

func abortAll(conns []*conn) {
	for _, c := range conns {
		c.abort()
	}
}
