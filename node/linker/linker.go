// Package linker carries messages between nodes over WebSocket. Two nodes share a
// link that either of them opens. An answer returns on the link of its call, so that
// the node that waits for it detects the loss of the link.
//
// Each link has two duties: a writer that takes messages from a bounded ring, and a
// reader that passes messages to Inbound. While an answer is awaited on a link, both
// ends send a Ping when they have nothing else to send, and close the link when
// nothing arrives for DeadAfter. This detects connections that silently drop all
// data. Other links have few heartbeats.
//
// # Usage
//
//	l := &linker.Linker{Self: self, Listen: addr, Codec: codec, Inbound: f, ...}
//	if err := l.OpenListener(); err != nil { ... }
//	l.Run()
//	defer l.Close()
//	err := l.Send("node-2", cassiatally.Ping{Seq: 1})
package linker

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"github.com/labstack/echo/v4"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/protocol"
	"github.com/cassiatally/cassiatally/cassiatally/recoverer"
	"github.com/cassiatally/cassiatally/cassiatally/roundtripper"
)

const (
	// dialTimeout bounds the opening of a link, including the handshake: three round
	// trips of 110 ms between regions, and a margin. Calls wait while a link is opened.
	dialTimeout = 500 * time.Millisecond
	// minRedialBackoff is the time from the first failed attempt to open a link to the
	// next one. The backoff doubles up to maxRedialBackoff. Without it each call to a dead
	// node would cost a dial.
	minRedialBackoff = 200 * time.Millisecond
	maxRedialBackoff = 2 * time.Second
	// The node that opened a link closes it after requestIdleTimeout without a request
	// and controlIdleTimeout without any other message but heartbeats.
	// requestIdleTimeout exceeds the longest timeout of a request, so that no call is
	// in flight. Gossip uses the links to its partners every few seconds, and other
	// links rarely.
	requestIdleTimeout = time.Minute
	controlIdleTimeout = 15 * time.Second
	// inactiveHeartbeat and inactiveDeadAfter apply to links on which no answer is
	// awaited. With frequent heartbeats on all links, an idle node used 3 to 5% of a
	// core, and heartbeats were most of the frames of a fleet of 80 nodes.
	inactiveHeartbeat = 5 * time.Second
	inactiveDeadAfter = 15 * time.Second
	// stallThreshold is how late the timer of a link may fire. After a longer stall of
	// this process, what has arrived meanwhile is read before the link is checked.
	stallThreshold = 100 * time.Millisecond
	// minCheckInterval is the minimum time between two checks of a link.
	minCheckInterval = 5 * time.Millisecond
	// linkPath is the HTTP path at which nodes accept links.
	linkPath = "/v1/link"
	// dataCentreHeader carries the data centre of the node that opens a link, so that a
	// proxy between two nodes can identify the data centres that the link connects.
	dataCentreHeader = "Cassiatally-Data-Centre"
	// nodeHeader carries the id of the node that opens a link, for the same reason.
	nodeHeader = "Cassiatally-Node"
	// shutdownGrace bounds the shutdown of the HTTP server. The only requests that it
	// waits for are links that are being opened.
	shutdownGrace = 200 * time.Millisecond
	// defaultFlushGrace leaves the rest of the grace period of a process to its servers.
	defaultFlushGrace = 300 * time.Millisecond
)

// Linker owns the links of a node. Its fields are set before Run.
type Linker struct {
	Self       cassiatally.NodeRef
	DataCentre cassiatally.DataCentre
	// Fleet is the fleet of this node. Links to nodes of other fleets are refused.
	Fleet cassiatally.Fleet
	// Advertise is the address to which other nodes connect; empty means the address of
	// the listener.
	Advertise cassiatally.Address
	Listen    cassiatally.Address
	Codec     *protocol.Codec
	Logger    cassiatally.Logger
	Heartbeat time.Duration
	DeadAfter time.Duration
	// SilentAfter is the time without any message after which a link on which an answer
	// is awaited counts as silent; 0 means never.
	SilentAfter time.Duration
	// FlushGrace bounds the time in which Close writes the messages that are queued, among
	// them the answers of the last runs; 0 means 300 ms.
	FlushGrace time.Duration
	// RingSize is the number of messages that can be queued for one link.
	RingSize int
	// AddressOf returns the address at which a node accepts links.
	AddressOf func(cassiatally.NodeID) (cassiatally.Address, bool)
	// Inbound receives each message; it must not block. Messages that a node sends to
	// itself are passed to it directly.
	Inbound func(from cassiatally.NodeRef, m cassiatally.Message)
	// Lost is called when a link that has carried requests has ended.
	Lost func(peer cassiatally.NodeRef)
	// Silent is called when a link on which an answer is awaited becomes silent, and
	// Responding when a link opens or a message arrives on a silent one. They must not
	// block; nil is allowed.
	Silent, Responding func(peer cassiatally.NodeRef)
	// NewDelay returns a function for each link. It returns how long a message may have
	// waited while this process was paused, given when its read began and ended. Calls
	// have that much less time; nil means that it is not known.
	NewDelay func() func(began, ended time.Time) time.Duration
	// Undelivered is called with each message that was certainly not sent.
	Undelivered func(to cassiatally.NodeID, m cassiatally.Message)

	ctx      context.Context
	cancel   context.CancelFunc
	listener net.Listener
	server   *http.Server
	// dialer sends the requests that open links.
	dialer  *http.Client
	running sync.WaitGroup
	bytes   counters
	// unsentAnswerBytes is the size of the bodies of the answers that are queued or being
	// written on all links.
	unsentAnswerBytes atomic.Int64
	// recoverer handles panics of the readers of links.
	recoverer recoverer.Recoverer

	mu       sync.Mutex
	closed   bool
	byNode   map[cassiatally.NodeID]*link
	byAddr   map[cassiatally.Address]*link
	all      map[*link]struct{}
	failures map[cassiatally.Address]dialFailure
}

// dialFailure is the last failed attempt to open a link to an address.
type dialFailure struct {
	at      time.Time
	backoff time.Duration
}

// OpenListener opens the listener, which sets the address of this node before the first
// message can arrive.
func (l *Linker) OpenListener() error {
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.recoverer = recoverer.Recoverer{Logger: l.Logger, Duty: "link reader"}
	l.byNode = make(map[cassiatally.NodeID]*link)
	l.byAddr = make(map[cassiatally.Address]*link)
	l.all = make(map[*link]struct{})
	l.failures = make(map[cassiatally.Address]dialFailure)
	// Without keep-alives, connections to what is no node are not kept.
	l.dialer = &http.Client{Transport: &roundtripper.RoundTripper{Transport: &http.Transport{DisableKeepAlives: true}}}
	lc := net.ListenConfig{}
	listener, err := lc.Listen(l.ctx, "tcp", string(l.Listen))
	if err != nil {
		return errors.Wrapf(err, "listen for links on %s", l.Listen)
	}
	l.listener = listener
	if l.Advertise == "" {
		l.Advertise = cassiatally.Address(listener.Addr().String())
	}
	return nil
}

// Run starts to accept links. OpenListener has to be called first.
func (l *Linker) Run() {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.GET(linkPath, l.accept)
	l.server = &http.Server{Handler: e, ReadHeaderTimeout: dialTimeout}
	l.running.Go(func() { _ = l.server.Serve(l.listener) })
}

// Addr returns the address on which links are accepted.
func (l *Linker) Addr() cassiatally.Address {
	return cassiatally.Address(l.listener.Addr().String())
}

// Close writes the messages that are queued, ends all links and waits for their duties.
func (l *Linker) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	var stopping sync.WaitGroup
	stopping.Go(l.stopServer)
	l.flush()
	l.cancel()
	stopping.Wait()
	for _, k := range l.openLinks() {
		k.end("node stops")
	}
	l.running.Wait()
}

// stopServer stops to accept links.
func (l *Linker) stopServer() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownGrace)
	defer cancel()
	_ = l.server.Shutdown(ctx)
}

// flush closes all links in an orderly way after their queued messages. A link that is
// ended abruptly may be reset, which discards what the other end has not read yet.
func (l *Linker) flush() {
	ctx, cancel := context.WithTimeout(l.ctx, cmp.Or(l.FlushGrace, defaultFlushGrace))
	defer cancel()
	var flushing sync.WaitGroup
	for _, k := range l.openLinks() {
		flushing.Go(func() { k.flush(ctx) })
	}
	flushing.Wait()
}

// openLinks returns the links that are open or being opened.
func (l *Linker) openLinks() []*link {
	l.mu.Lock()
	defer l.mu.Unlock()
	links := make([]*link, 0, len(l.all))
	for k := range l.all {
		links = append(links, k)
	}
	return links
}

// Bytes returns the bytes of frames sent and received so far. The bodies of calls and
// answers are part of their frames and not counted separately.
func (l *Linker) Bytes() Traffic { return l.bytes.totals() }

// Links returns the number of open links.
func (l *Linker) Links() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.all)
}

// UnsentAnswerBytes returns the size of the bodies of the answers that are queued or being
// written.
func (l *Linker) UnsentAnswerBytes() int64 { return l.unsentAnswerBytes.Load() }

// UnsentAnswers returns the number of answers that are queued or being written on open
// links.
func (l *Linker) UnsentAnswers() int {
	n := int64(0)
	for _, k := range l.openLinks() {
		n += k.unsentAnswers.Load()
	}
	return int(n)
}

// Send queues a message for a node. It never blocks.
func (l *Linker) Send(to cassiatally.NodeID, m cassiatally.Message) error {
	if to == l.Self.Node {
		l.Inbound(l.Self, m)
		return nil
	}
	l.mu.Lock()
	k, ok := l.byNode[to]
	l.mu.Unlock()
	if ok {
		return k.push(m)
	}
	addr, ok := l.AddressOf(to)
	if !ok {
		return cassiatally.NewError(cassiatally.KindUnreachable, "no address is known for node %s", to)
	}
	k, err := l.linkTo(addr, to)
	if err != nil {
		return err
	}
	if _, isCall := m.(cassiatally.Call); isCall && k.redialling {
		// Another endpoint can serve the call while this node is dialled.
		return cassiatally.NewError(cassiatally.KindUnreachable, "node %s could not be reached lately", to)
	}
	return k.push(m)
}

// SendAddress queues a message for the node that accepts links at an address.
func (l *Linker) SendAddress(to cassiatally.Address, m cassiatally.Message) error {
	k, err := l.linkTo(to, "")
	if err != nil {
		return err
	}
	return k.push(m)
}

// linkTo returns the link to an address, and starts to open one if there is none.
func (l *Linker) linkTo(to cassiatally.Address, node cassiatally.NodeID) (*link, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k, ok := l.byAddr[to]; ok {
		return k, nil
	}
	if l.closed {
		return nil, cassiatally.NewError(cassiatally.KindUnreachable, "the node stops")
	}
	f, failed := l.failures[to]
	if failed && time.Since(f.at) < f.backoff {
		return nil, cassiatally.NewError(cassiatally.KindUnreachable, "address %s could not be reached a moment ago", to)
	}
	k := newLink(l, to)
	k.expected, k.redialling = node, failed
	l.byAddr[to] = k
	l.all[k] = struct{}{}
	l.running.Go(func() { l.open(k) })
	return k, nil
}

// open dials a link and serves it until it ends.
func (l *Linker) open(k *link) {
	ctx, cancel := context.WithTimeout(l.ctx, dialTimeout)
	conn, resp, err := websocket.Dial(ctx, "ws://"+string(k.addr)+linkPath, &websocket.DialOptions{
		HTTPClient:      l.dialer,
		CompressionMode: websocket.CompressionDisabled,
		HTTPHeader:      http.Header{dataCentreHeader: {string(l.DataCentre)}, nodeHeader: {string(l.Self.Node)}},
	})
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	if err == nil {
		err = k.handshake(ctx, conn)
	}
	if err == nil && k.expected != "" && k.expected != k.peer.Node {
		err = cassiatally.NewError(cassiatally.KindUnreachable, "node %s answers at the address of node %s", k.peer.Node, k.expected)
	}
	cancel()
	if err != nil {
		l.dialFailed(k, err)
		return
	}
	l.serve(k)
}

func (l *Linker) dialFailed(k *link, err error) {
	l.mu.Lock()
	backoff := min(2*l.failures[k.addr].backoff, maxRedialBackoff)
	l.failures[k.addr] = dialFailure{at: time.Now(), backoff: max(backoff, minRedialBackoff)}
	if len(l.failures) > maxFailedAddresses {
		clear(l.failures)
	}
	l.mu.Unlock()
	l.Logger.Debug("link not opened", "address", k.addr, "error", err)
	k.end("dial failed")
	l.remove(k)
}

// otherLinkInUse reports whether another link to the same node is in use.
func (l *Linker) otherLinkInUse(k *link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for other := range l.all {
		if other != k && other.established && other.peer.Node == k.peer.Node && !other.unused() {
			return true
		}
	}
	return false
}

// maxFailedAddresses bounds the number of addresses for which a failure is stored.
const maxFailedAddresses = 4096

func (l *Linker) accept(c echo.Context) error {
	conn, err := websocket.Accept(c.Response(), c.Request(), &websocket.AcceptOptions{
		CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		// Accept has written the HTTP error.
		return nil
	}
	k := newLink(l, "")
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return conn.Close(websocket.StatusGoingAway, "node stops")
	}
	l.all[k] = struct{}{}
	l.running.Add(1)
	l.mu.Unlock()
	defer l.running.Done()
	ctx, cancel := context.WithTimeout(l.ctx, dialTimeout)
	err = k.handshake(ctx, conn)
	cancel()
	if err != nil {
		l.Logger.Warn("link refused", "remote", c.RealIP(), "error", err)
		k.end("handshake failed")
		l.remove(k)
		return nil
	}
	l.serve(k)
	return nil
}

// serve runs the reader and the writer of an established link until it ends.
func (l *Linker) serve(k *link) {
	l.mu.Lock()
	l.byNode[k.peer.Node] = k
	k.established = true
	delete(l.failures, k.addr)
	l.mu.Unlock()
	l.notifyResponding(k)
	l.Logger.Debug("link opened", "peer", k.peer, "address", k.addr)
	var reader sync.WaitGroup
	reader.Go(k.read)
	k.write()
	reader.Wait()
	l.remove(k)
	l.Logger.Debug("link ended", "peer", k.peer, "reason", k.reason())
	if k.lastRequest.Load() == 0 {
		// No answer is awaited on this link. A node that has dialled a wrong address closes
		// such a link, while calls on its other links continue.
		return
	}
	l.Lost(k.peer)
}

func (l *Linker) notifyResponding(k *link) {
	if l.Responding != nil {
		l.Responding(k.peer)
	}
}

// notifySilent reports a link on which nothing has arrived for silence, while an answer has
// been awaited for active.
func (l *Linker) notifySilent(k *link, silence, active time.Duration) {
	l.Logger.Info("link silent", "peer", k.peer, "outbound", k.outbound, "silence", silence, "active", active, "open_calls", k.calls.count())
	if l.Silent != nil {
		l.Silent(k.peer)
	}
}

// remove removes an ended link and passes the messages that were not sent to
// Undelivered.
func (l *Linker) remove(k *link) {
	l.mu.Lock()
	delete(l.all, k)
	if l.byNode[k.peer.Node] == k {
		delete(l.byNode, k.peer.Node)
		for other := range l.all {
			if other.established && other.peer.Node == k.peer.Node {
				l.byNode[k.peer.Node] = other
			}
		}
	}
	if k.addr != "" && l.byAddr[k.addr] == k {
		delete(l.byAddr, k.addr)
	}
	l.mu.Unlock()
	to := k.expected
	if to == "" {
		to = k.peer.Node
	}
	for _, m := range k.outbox.TakeAll(nil) {
		k.countUnsent(m, -1)
		l.Undelivered(to, m)
	}
}
