package linker_test

import (
	"context"
	"io"
	"net"
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

const limit = 30 * time.Second

// peer is a linker with what it received.
type peer struct {
	*linker.Linker
	received    chan cassiatally.Message
	lost        chan cassiatally.NodeRef
	events      chan event
	undelivered chan cassiatally.Message
}

// event is what a linker tells about a link.
type event string

const (
	eventHeard  event = "heard"
	eventSilent event = "silent"
	eventLost   event = "lost"
)

// book tells linkers where nodes accept links.
type book struct {
	mu        sync.Mutex
	addresses map[cassiatally.NodeID]cassiatally.Address
}

func (b *book) set(n cassiatally.NodeID, a cassiatally.Address) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addresses[n] = a
}

func (b *book) addressOf(n cassiatally.NodeID) (cassiatally.Address, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a, ok := b.addresses[n]
	return a, ok
}

func newPeer(t *testing.T, b *book, id cassiatally.NodeID) *peer {
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
		Heard:       func(cassiatally.NodeRef) { p.events <- eventHeard },
		Undelivered: func(_ cassiatally.NodeID, m cassiatally.Message) { p.undelivered <- m },
	}
	if err := p.Listening(); err != nil {
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
	case <-time.After(limit):
		t.Fatal("nothing arrived")
		panic("unreachable")
	}
}

// pipe passes bytes between a caller and a target until it is told to swallow
// them, which is how a connection goes silent for good.
type pipe struct {
	listener net.Listener
	target   string
	silent   atomic.Bool
	running  sync.WaitGroup
	mu       sync.Mutex
	open     []net.Conn
}

func newPipe(t *testing.T, target cassiatally.Address) *pipe {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &pipe{listener: l, target: string(target)}
	p.running.Go(p.accept)
	return p
}

func (p *pipe) accept() {
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

func (p *pipe) copy(to, from net.Conn) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if !p.silent.Load() {
			_, _ = to.Write(buf[:n])
		}
	}
}

func (p *pipe) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	for _, c := range p.open {
		_ = c.Close()
	}
	p.mu.Unlock()
	p.running.Wait()
}

// Guards against messages that get lost or reordered on a link, against answers
// that need a second connection, and against goroutines that Close leaves behind.
func TestMessagesBothWays(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	b := &book{addresses: make(map[cassiatally.NodeID]cassiatally.Address)}
	one, two := newPeer(t, b, "one"), newPeer(t, b, "two")
	defer one.Close()
	defer two.Close()
	for i := range 5 {
		is.NoErr(one.Send("two", cassiatally.SheetPull{Have: cassiatally.Version(i)}))
	}
	for i := range 5 {
		is.Equal(receive(t, two.received), cassiatally.Message(cassiatally.SheetPull{Have: cassiatally.Version(i)}))
	}
	b.set("one", "127.0.0.1:1") // only the open link leads back
	is.NoErr(two.Send("one", cassiatally.ShardPull{Have: 7}))
	is.Equal(receive(t, one.received), cassiatally.Message(cassiatally.ShardPull{Have: 7}))
	is.NoErr(one.Send("one", cassiatally.ShardPull{Have: 8})) // to itself
	is.Equal(receive(t, one.received), cassiatally.Message(cassiatally.ShardPull{Have: 8}))
}

// Guards against a link that is taken for alive after its connection has gone
// silent for good while new connections work.
func TestSilentConnection(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	b := &book{addresses: make(map[cassiatally.NodeID]cassiatally.Address)}
	one, two := newPeer(t, b, "one"), newPeer(t, b, "two")
	defer one.Close()
	defer two.Close()
	silent := newPipe(t, two.Addr())
	defer silent.close()
	b.set("two", cassiatally.Address(silent.listener.Addr().String()))
	is.NoErr(one.Send("two", cassiatally.KeyQuery{Key: "north.0.1.1"}))
	receive(t, two.received)
	is.Equal(receive(t, one.events), eventHeard)
	silent.silent.Store(true)
	is.Equal(receive(t, one.lost).Node, cassiatally.NodeID("two"))
	// The node is told of the silence before the link ends, while its calls have time
	// left for another endpoint. A busy machine can delay single heartbeats before that.
	var told []event
	for len(told) == 0 || told[len(told)-1] != eventLost {
		told = append(told, receive(t, one.events))
	}
	is.True(slices.Contains(told, eventSilent))
	is.Equal(receive(t, two.lost).Node, cassiatally.NodeID("one"))

	fresh := newPipe(t, two.Addr())
	defer fresh.close()
	b.set("two", cassiatally.Address(fresh.listener.Addr().String()))
	is.NoErr(one.Send("two", cassiatally.SheetPull{Have: 2}))
	is.Equal(receive(t, two.received), cassiatally.Message(cassiatally.SheetPull{Have: 2}))
}

// Guards against a message to a dead node that disappears without a report.
func TestUndelivered(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	b := &book{addresses: make(map[cassiatally.NodeID]cassiatally.Address)}
	one, two := newPeer(t, b, "one"), newPeer(t, b, "two")
	defer one.Close()
	two.Close()
	// A dial that is refused at once is reported by Send itself, a later one
	// through Undelivered.
	if err := one.Send("two", cassiatally.SheetPull{Have: 1}); err == nil {
		is.Equal(receive(t, one.undelivered), cassiatally.Message(cassiatally.SheetPull{Have: 1}))
	} else {
		is.Equal(cassiatally.KindOf(err), cassiatally.KindUnreachable)
		is.Equal(len(one.undelivered), 0)
	}
	err := one.Send("unknown", cassiatally.SheetPull{Have: 1})
	is.Equal(cassiatally.KindOf(err), cassiatally.KindUnreachable)
}

// Guards against calls that wait for the dial of a node that could not be reached
// lately, while another endpoint could serve them.
func TestCallToANodeThatWasNotReached(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	b := &book{addresses: make(map[cassiatally.NodeID]cassiatally.Address)}
	one, two := newPeer(t, b, "one"), newPeer(t, b, "two")
	defer one.Close()
	address := two.Addr()
	two.Close()
	call := cassiatally.Call{ID: cassiatally.CallID{Origin: 1, Seq: 1}, Service: "avail-svc"}
	if one.Send("two", call) == nil {
		is.Equal(receive(t, one.undelivered), cassiatally.Message(call))
	}
	// A listener that accepts and says nothing is what a partition looks like.
	l, err := net.Listen("tcp", string(address))
	is.NoErr(err)
	defer l.Close()
	time.Sleep(300 * time.Millisecond) // the pause before the next dial
	is.Equal(cassiatally.KindOf(one.Send("two", call)), cassiatally.KindUnreachable)
	is.Equal(len(one.undelivered), 0)
}

// Guards against a message that reaches another node than the one it is for,
// after an address has changed hands.
func TestAddressOfAnotherNode(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	b := &book{addresses: make(map[cassiatally.NodeID]cassiatally.Address)}
	one, two := newPeer(t, b, "one"), newPeer(t, b, "two")
	defer one.Close()
	defer two.Close()
	b.set("gone", two.Addr())
	if one.Send("gone", cassiatally.SheetPull{Have: 1}) == nil {
		receive(t, one.undelivered)
	}
	is.Equal(len(two.received), 0)
}

// Guards against a peer whose malformed frames disturb the links of others.
func TestMalformedFrames(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	b := &book{addresses: make(map[cassiatally.NodeID]cassiatally.Address)}
	one, two := newPeer(t, b, "one"), newPeer(t, b, "two")
	defer one.Close()
	defer two.Close()
	is.NoErr(one.Send("two", cassiatally.SheetPull{Have: 1}))
	receive(t, two.received)
	for _, frame := range [][]byte{nil, []byte("junk"), {0x83, 9, 2, 0xa0}} {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
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

// Guards against a node that takes over the address of another one, dials itself
// under that name, and then gives up the calls to its own backend server.
func TestOwnAddressUnderAnotherName(t *testing.T) {
	is := is.New(t)
	b := &book{addresses: map[cassiatally.NodeID]cassiatally.Address{}}
	a := newPeer(t, b, "a")
	b.set("before", a.Addr())
	is.NoErr(a.Send("before", cassiatally.Ping{Seq: 1}))
	is.Equal(receive(t, a.undelivered), cassiatally.Message(cassiatally.Ping{Seq: 1}))
	a.Close() // waits for both ends
	is.Equal(len(a.lost), 0)
}

// Guards against calls that are given up because the node that runs them dialled
// this one under the name of another.
func TestWrongDialEndsNoCalls(t *testing.T) {
	is := is.New(t)
	b := &book{addresses: map[cassiatally.NodeID]cassiatally.Address{}}
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

// Guards against a link that is taken for dead while a call is answered late, and
// against frequent heartbeats on links on which nobody waits for an answer: with
// many nodes they were most of the messages.
func TestHeartbeatsFollowOpenCalls(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	b := &book{addresses: make(map[cassiatally.NodeID]cassiatally.Address)}
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
	time.Sleep(2 * one.Heartbeat) // one that was due
	before := heartbeats(one, two)
	time.Sleep(3 * one.DeadAfter)
	is.Equal(heartbeats(one, two), before)
	is.Equal(len(one.lost)+len(two.lost), 0)
}

// heartbeats returns the bytes that are not of requests.
func heartbeats(peers ...*peer) (n uint64) {
	for _, p := range peers {
		n += p.Bytes().ControlSent
	}
	return n
}
