package linker_test

import (
	"bufio"
	"context"
	"crypto/sha1"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/coder/websocket"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/protocol"
	"github.com/cassiatally/cassiatally/node/linker"
)

const testTimeout = 30 * time.Second

// peer is a linker that records what it receives and reports.
type peer struct {
	*linker.Linker
	received    chan cassiatally.Message
	lost        chan cassiatally.NodeRef
	events      chan event
	undelivered chan cassiatally.Message
}

// event is a change in the state of a link that a linker reports.
type event string

const (
	eventResponding event = "responding"
	eventSilent     event = "silent"
	eventLost       event = "lost"
)

// addressBook has the addresses at which nodes accept links.
type addressBook struct {
	mu        sync.Mutex
	addresses map[cassiatally.NodeID]cassiatally.Address
}

func (b *addressBook) set(n cassiatally.NodeID, a cassiatally.Address) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addresses[n] = a
}

func (b *addressBook) addressOf(n cassiatally.NodeID) (cassiatally.Address, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a, ok := b.addresses[n]
	return a, ok
}

func newPeer(t *testing.T, b *addressBook, id cassiatally.NodeID) *peer {
	t.Helper()
	return newPeerOf(t, "", b, id)
}

func newPeerOf(t *testing.T, f cassiatally.Fleet, b *addressBook, id cassiatally.NodeID) *peer {
	t.Helper()
	codec, err := protocol.New()
	if err != nil {
		t.Fatal(err)
	}
	p := &peer{
		received:    make(chan cassiatally.Message, 64),
		lost:        make(chan cassiatally.NodeRef, 64),
		events:      make(chan event, 64),
		undelivered: make(chan cassiatally.Message, 64),
	}
	p.Linker = &linker.Linker{
		Self:        cassiatally.NodeRef{Node: id, Incarnation: 1},
		Fleet:       f,
		Listen:      "127.0.0.1:0",
		Codec:       codec,
		Logger:      log.New(io.Discard),
		Heartbeat:   100 * time.Millisecond,
		DeadAfter:   500 * time.Millisecond,
		SilentAfter: 250 * time.Millisecond,
		RingSize:    8,
		AddressOf:   b.addressOf,
		Inbound:     func(_ cassiatally.NodeRef, m cassiatally.Message) { p.received <- m },
		Lost: func(ref cassiatally.NodeRef) {
			p.lost <- ref
			p.events <- eventLost
		},
		Silent:      func(cassiatally.NodeRef) { p.events <- eventSilent },
		Responding:  func(cassiatally.NodeRef) { p.events <- eventResponding },
		Undelivered: func(_ cassiatally.NodeID, m cassiatally.Message) { p.undelivered <- m },
	}
	if err := p.OpenListener(); err != nil {
		t.Fatal(err)
	}
	p.Run()
	b.set(id, p.Addr())
	return p
}

func receive[T any](t *testing.T, c chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(testTimeout):
		t.Fatal("nothing arrived")
		panic("unreachable")
	}
}

// proxy copies bytes between a client and a target. While dropping is set it discards
// them, as on a connection that silently drops all data.
type proxy struct {
	listener net.Listener
	target   string
	dropping atomic.Bool
	// hold stops reading while it is set.
	hold    atomic.Bool
	running sync.WaitGroup
	mu      sync.Mutex
	open    []net.Conn
}

func newProxy(t *testing.T, target cassiatally.Address) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: l, target: string(target)}
	p.running.Go(p.accept)
	return p
}

func (p *proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		p.mu.Lock()
		p.open = append(p.open, in, out)
		p.mu.Unlock()
		p.running.Go(func() { p.copy(out, in) })
		p.running.Go(func() { p.copy(in, out) })
	}
}

func (p *proxy) copy(to, from net.Conn) {
	buf := make([]byte, 4096)
	for {
		for p.hold.Load() {
			time.Sleep(time.Millisecond)
		}
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if !p.dropping.Load() {
			_, _ = to.Write(buf[:n])
		}
	}
}

func (p *proxy) close() {
	p.hold.Store(false)
	_ = p.listener.Close()
	p.mu.Lock()
	for _, c := range p.open {
		_ = c.Close()
	}
	p.mu.Unlock()
	p.running.Wait()
}

// Guards against messages that are lost or reordered on a link, against answers that
// need a second connection, and against goroutines that Close leaks.
func TestMessagesBothWays(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	b := &addressBook{addresses: make(map[cassiatally.NodeID]cassiatally.Address)}
	one, two := newPeer(t, b, "one"), newPeer(t, b, "two")
	defer one.Close()
	defer two.Close()
	for i := range 5 {
		is.NoErr(one.Send("two", cassiatally.SheetPull{Have: cassiatally.Version(i)}))
	}
	for i := range 5 {
		is.Equal(receive(t, two.received), cassiatally.Message(cassiatally.SheetPull{Have: cassiatally.Version(i)}))
	}
	b.set("one", "127.0.0.1:1") // the answer has to use the open link
	is.NoErr(two.Send("one", cassiatally.ShardPull{Have: 7}))
	is.Equal(receive(t, one.received), cassiatally.Message(cassiatally.ShardPull{Have: 7}))
	is.NoErr(one.Send("one", cassiatally.ShardPull{Have: 8})) // to itself
	is.Equal(receive(t, one.received), cassiatally.Message(cassiatally.ShardPull{Have: 8}))
}

// Guards against one message whose handling panics and that ends the process or the
// link, which other calls share.
func TestPanicOfAReceiver(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	b := &addressBook{addresses: make(map[cassiatally.NodeID]cassiatally.Address)}
	one, two := newPeer(t, b, "one"), newPeer(t, b, "two")
	defer one.Close()
	defer two.Close()
	deliver := two.Inbound
	two.Inbound = func(from cassiatally.NodeRef, m cassiatally.Message) {
		if _, ok := m.(cassiatally.ShardPull); ok {
			panic("a message that the receiver cannot process")
		}
		deliver(from, m)
	}
	is.NoErr(one.Send("two", cassiatally.ShardPull{}))
	is.NoErr(one.Send("two", cassiatally.SheetPull{Have: 1}))
	is.Equal(receive(t, two.received), cassiatally.Message(cassiatally.SheetPull{Have: 1}))
	is.Equal(one.Links(), 1)
}

// Guards against answers of the last runs that a stopping node has queued and never
// sends, or that a reset discards at the other end before they are read.
func TestCloseSendsWhatIsQueued(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	b := &addressBook{addresses: make(map[cassiatally.NodeID]cassiatally.Address)}
	one, two := newPeer(t, b, "one"), newPeer(t, b, "two")
	defer two.Close()
	one.FlushGrace = testTimeout
	is.NoErr(one.Send("two", cassiatally.SheetPull{}))
	receive(t, two.received)
	is.NoErr(two.Send("one", cassiatally.ShardPull{})) // stays unread at the stopping node
	const queued = 8                                   // the ring of a link is full
	body := make([]byte, 512<<10)
	for i := range uint64(queued) {
		is.NoErr(one.Send("two", cassiatally.Answer{ID: cassiatally.CallID{Origin: 1, Seq: i}, Body: body}))
	}
	one.Close()
	for i := range uint64(queued) {
		is.Equal(receive(t, two.received).(cassiatally.Answer).ID.Seq, i)
	}
}

// Guards against a sum of waiting answers that stays, or goes astray, when answers are
// written, when a link ends before they are, and when a queue has no room: the node would
// refuse calls for good, or keep bytes without a bound.
func TestUnsentAnswerBytes(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	b := &addressBook{addresses: make(map[cassiatally.NodeID]cassiatally.Address)}
	one, two := newPeer(t, b, "one"), newPeer(t, b, "two")
	defer one.Close()
	defer two.Close()
	held := newProxy(t, two.Addr())
	defer held.close()
	b.set("two", cassiatally.Address(held.listener.Addr().String()))
	settled := func() {
		t.Helper()
		for deadline := time.Now().Add(testTimeout); one.UnsentAnswerBytes() != 0; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%d bytes are left", one.UnsentAnswerBytes())
			}
		}
	}
	const bodyBytes = 512 << 10
	answer := cassiatally.Answer{ID: cassiatally.CallID{Origin: 1, Seq: 1}, Body: make([]byte, bodyBytes)}
	is.NoErr(one.Send("two", answer))
	is.True(one.UnsentAnswerBytes() <= bodyBytes)
	receive(t, two.received)
	settled()

	held.hold.Store(true)
	is.NoErr(one.Send("two", cassiatally.KeyQuery{Key: "north.0.1.1"}))
	refused := false
	for range 200 { // more than the buffers of a connection take
		if refused = one.Send("two", answer) != nil; refused {
			break
		}
		time.Sleep(time.Millisecond)
	}
	is.True(refused)
	is.True(one.UnsentAnswerBytes() >= 7*bodyBytes)
	is.True(one.UnsentAnswerBytes() <= 9*bodyBytes) // the ring, and one that is being written
	receive(t, one.lost)
	settled()
}

// Guards against a link that stays open after its connection has begun to drop all
// data silently, although new connections work.
func TestSilentConnection(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	b := &addressBook{addresses: make(map[cassiatally.NodeID]cassiatally.Address)}
	one, two := newPeer(t, b, "one"), newPeer(t, b, "two")
	defer one.Close()
	defer two.Close()
	dropped := newProxy(t, two.Addr())
	defer dropped.close()
	b.set("two", cassiatally.Address(dropped.listener.Addr().String()))
	is.NoErr(one.Send("two", cassiatally.KeyQuery{Key: "north.0.1.1"}))
	receive(t, two.received)
	is.Equal(receive(t, one.events), eventResponding)
	dropped.dropping.Store(true)
	is.Equal(receive(t, one.lost).Node, cassiatally.NodeID("two"))
	// The silence has to be reported before the link ends, while the calls have time left
	// for another endpoint. Other events may precede it, since a busy machine can delay
	// single heartbeats.
	var events []event
	for len(events) == 0 || events[len(events)-1] != eventLost {
		events = append(events, receive(t, one.events))
	}
	is.True(slices.Contains(events, eventSilent))
	is.Equal(receive(t, two.lost).Node, cassiatally.NodeID("one"))

	fresh := newProxy(t, two.Addr())
	defer fresh.close()
	b.set("two", cassiatally.Address(fresh.listener.Addr().String()))
	is.NoErr(one.Send("two", cassiatally.SheetPull{Have: 2}))
	is.Equal(receive(t, two.received), cassiatally.Message(cassiatally.SheetPull{Have: 2}))
}

// Guards against a message to a dead node that is dropped without a report.
func TestUndelivered(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	b := &addressBook{addresses: make(map[cassiatally.NodeID]cassiatally.Address)}
	one, two := newPeer(t, b, "one"), newPeer(t, b, "two")
	defer one.Close()
	two.Close()
	// A dial that has failed by the time of Send is reported by its error, and a later
	// failure through Undelivered.
	if err := one.Send("two", cassiatally.SheetPull{Have: 1}); err == nil {
		is.Equal(receive(t, one.undelivered), cassiatally.Message(cassiatally.SheetPull{Have: 1}))
	} else {
		is.Equal(cassiatally.KindOf(err), cassiatally.KindUnreachable)
		is.Equal(len(one.undelivered), 0)
	}
	err := one.Send("unknown", cassiatally.SheetPull{Have: 1})
	is.Equal(cassiatally.KindOf(err), cassiatally.KindUnreachable)
}

// Guards against calls that wait while a node is dialled to which the last dial failed,
// although another endpoint could serve them.
func TestCallToANodeThatWasNotReached(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	b := &addressBook{addresses: make(map[cassiatally.NodeID]cassiatally.Address)}
	one, two := newPeer(t, b, "one"), newPeer(t, b, "two")
	defer one.Close()
	address := two.Addr()
	two.Close()
	call := cassiatally.Call{ID: cassiatally.CallID{Origin: 1, Seq: 1}, Service: "avail-svc"}
	if one.Send("two", call) == nil {
		is.Equal(receive(t, one.undelivered), cassiatally.Message(call))
	}
	// A listener that never accepts looks like a partition: the dial hangs.
	l, err := net.Listen("tcp", string(address))
	is.NoErr(err)
	defer l.Close()
	time.Sleep(300 * time.Millisecond) // longer than the backoff before the next dial
	is.Equal(cassiatally.KindOf(one.Send("two", call)), cassiatally.KindUnreachable)
	is.Equal(len(one.undelivered), 0)
}

// Guards against a message that reaches a node other than its destination after that
// node has taken over the address of the destination.
func TestAddressOfAnotherNode(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	b := &addressBook{addresses: make(map[cassiatally.NodeID]cassiatally.Address)}
	one, two := newPeer(t, b, "one"), newPeer(t, b, "two")
	defer one.Close()
	defer two.Close()
	b.set("gone", two.Addr())
	if one.Send("gone", cassiatally.SheetPull{Have: 1}) == nil {
		receive(t, one.undelivered)
	}
	is.Equal(len(two.received), 0)
}

// Guards against malformed frames of one peer that end the links of others.
func TestMalformedFrames(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	b := &addressBook{addresses: make(map[cassiatally.NodeID]cassiatally.Address)}
	one, two := newPeer(t, b, "one"), newPeer(t, b, "two")
	defer one.Close()
	defer two.Close()
	is.NoErr(one.Send("two", cassiatally.SheetPull{Have: 1}))
	receive(t, two.received)
	for _, frame := range [][]byte{nil, []byte("junk"), {0x83, 9, 2, 0xa0}} {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		conn, resp, err := websocket.Dial(ctx, "ws://"+string(two.Addr())+"/v1/link", nil)
		is.NoErr(err)
		if resp.Body != nil {
			_ = resp.Body.Close()
		}
		is.NoErr(conn.Write(ctx, websocket.MessageBinary, frame))
		for err == nil {
			_, _, err = conn.Read(ctx)
		}
		is.NoErr(ctx.Err()) // the node closed the connection
		_ = conn.CloseNow()
		cancel()
	}
	is.NoErr(one.Send("two", cassiatally.SheetPull{Have: 2}))
	is.Equal(receive(t, two.received), cassiatally.Message(cassiatally.SheetPull{Have: 2}))
}

// Guards against a link that is opened although the answer to its handshake has a malformed
// field line.
func TestMalformedHandshake(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	is.Equal(answerHandshake(t, func(r *http.Request) string {
		digest := sha1.Sum([]byte(r.Header.Get("Sec-WebSocket-Key") + "258EAFA5-E914-47DA-95CA-C5AB0DC85B11"))
		return fmt.Sprintf("HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Accept: %s\r\nX Odd: 1\r\n\r\n",
			base64.StdEncoding.EncodeToString(digest[:]))
	}), io.EOF) // the node closes the connection and sends nothing more
}

// Guards against connections that are kept to addresses where no node answers any more.
func TestRefusedHandshake(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	is.Equal(answerHandshake(t, func(*http.Request) string {
		return "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
	}), io.EOF)
}

// answerHandshake has a node open a link to a server that gives an answer to the handshake,
// and returns the error of reading what the node sends next. The message that the node had
// for the link must be returned as undelivered.
func answerHandshake(t *testing.T, answer func(*http.Request) string) error {
	t.Helper()
	is := is.New(t)
	b := &addressBook{addresses: make(map[cassiatally.NodeID]cassiatally.Address)}
	one := newPeer(t, b, "one")
	defer one.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	b.set("two", cassiatally.Address(l.Addr().String()))
	is.NoErr(one.Send("two", cassiatally.SheetPull{Have: 1}))
	conn, err := l.Accept()
	is.NoErr(err)
	defer conn.Close()
	is.NoErr(conn.SetDeadline(time.Now().Add(testTimeout)))
	r := bufio.NewReader(conn)
	req, err := http.ReadRequest(r)
	is.NoErr(err)
	_, err = io.WriteString(conn, answer(req))
	is.NoErr(err)
	_, read := r.ReadByte()
	if read != nil {
		is.Equal(receive(t, one.undelivered), cassiatally.Message(cassiatally.SheetPull{Have: 1}))
	}
	return read
}

// Guards against a node that has taken over the address of another one, dials itself
// under the id of that one, and then reports its own link as lost, which would fail the
// calls to its own backend server.
func TestOwnAddressUnderAnotherName(t *testing.T) {
	is := is.New(t)
	b := &addressBook{addresses: map[cassiatally.NodeID]cassiatally.Address{}}
	a := newPeer(t, b, "a")
	b.set("before", a.Addr())
	is.NoErr(a.Send("before", cassiatally.Ping{Seq: 1}))
	is.Equal(receive(t, a.undelivered), cassiatally.Message(cassiatally.Ping{Seq: 1}))
	a.Close() // waits for both ends of the link
	is.Equal(len(a.lost), 0)
}

// Guards against a node that gets the address of an ended node of another fleet, and whose
// members are then mixed with those of that fleet. A node without the name of a fleet, such
// as one of an earlier version, is accepted.
func TestLinksToOtherFleets(t *testing.T) {
	cases := []struct {
		name     string
		one, two cassiatally.Fleet
		accepted bool
	}{
		{"two fleets", "barrier", "intake", false},
		{"the same fleet", "barrier", "barrier", true},
		{"no name here", "", "intake", true},
		{"no name there", "barrier", "", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			defer goleak.VerifyNone(t)
			is := is.New(t)
			b := &addressBook{addresses: make(map[cassiatally.NodeID]cassiatally.Address)}
			one, two := newPeerOf(t, c.one, b, "one"), newPeerOf(t, c.two, b, "two")
			defer one.Close()
			defer two.Close()
			message := cassiatally.Message(cassiatally.SheetPull{Have: 1})
			is.NoErr(one.SendAddress(two.Addr(), message)) // as to a seed, whose name is not known
			if c.accepted {
				is.Equal(receive(t, two.received), message)
				return
			}
			is.Equal(receive(t, one.undelivered), message)
			is.NoErr(two.Send("one", message))
			is.Equal(receive(t, two.undelivered), message)
			is.Equal(len(one.received)+len(two.received), 0)
		})
	}
}

// Guards against calls that fail because the node that runs them dialled this one
// under the id of another and closed that link again.
func TestWrongDialEndsNoCalls(t *testing.T) {
	is := is.New(t)
	b := &addressBook{addresses: map[cassiatally.NodeID]cassiatally.Address{}}
	a, c := newPeer(t, b, "a"), newPeer(t, b, "c")
	defer a.Close()
	defer c.Close()
	is.NoErr(a.Send("c", cassiatally.Call{ID: cassiatally.CallID{Seq: 1}}))
	receive(t, c.received)
	b.set("before", a.Addr())
	is.NoErr(c.Send("before", cassiatally.Cancel{}))
	receive(t, c.undelivered)
	is.NoErr(c.Send("a", cassiatally.Answer{ID: cassiatally.CallID{Seq: 1}}))
	receive(t, a.received)
	is.Equal(len(a.lost), 0)
}

// Guards against a link that is ended while a call takes long, and against frequent
// heartbeats on links on which no answer is awaited: with many nodes they were most of
// the messages.
func TestHeartbeatsFollowOpenCalls(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	b := &addressBook{addresses: make(map[cassiatally.NodeID]cassiatally.Address)}
	one, two := newPeer(t, b, "one"), newPeer(t, b, "two")
	defer one.Close()
	defer two.Close()
	id := cassiatally.CallID{Origin: 1, Seq: 1}
	is.NoErr(one.Send("two", cassiatally.Call{ID: id, Service: "avail-svc"}))
	receive(t, two.received)
	time.Sleep(3 * one.DeadAfter)
	is.Equal(len(one.lost)+len(two.lost), 0)
	is.True(heartbeats(one, two) > 0)

	is.NoErr(two.Send("one", cassiatally.Answer{ID: id}))
	receive(t, one.received)
	time.Sleep(2 * one.Heartbeat) // a heartbeat may still be due
	before := heartbeats(one, two)
	time.Sleep(3 * one.DeadAfter)
	is.Equal(heartbeats(one, two), before)
	is.Equal(len(one.lost)+len(two.lost), 0)
}

// heartbeats returns the bytes of control traffic that the peers have sent. Here they
// grow by heartbeats only.
func heartbeats(peers ...*peer) (n uint64) {
	for _, p := range peers {
		n += p.Bytes().ControlSent
	}
	return n
}
