package linker

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/protocol"
	"github.com/cassiatally/cassiatally/cassiatally/ring"
)

type link struct {
	owner    *Linker
	addr     cassiatally.Address
	outbound bool
	// expected is the node that the address belongs to, when that is known.
	expected cassiatally.NodeID
	// redialling is set when the last attempt to open a link to the address failed.
	redialling bool
	// served is guarded by the mutex of the owner.
	served bool
	outbox *ring.Ring[cassiatally.Message]
	ctx    context.Context
	cancel context.CancelFunc
	peer   cassiatally.NodeRef
	// lastRequest and lastControl are when a message of a request, or any other but
	// a heartbeat, was last sent or received.
	lastRequest, lastControl atomic.Int64
	// lastRead and lastWrite are when anything last arrived or was written.
	lastRead, lastWrite atomic.Int64
	// writeBegan is when the write under way began; 0 when there is none. The timer
	// bounds its time, since a context with a deadline for each frame costs more than
	// the frame.
	writeBegan atomic.Int64
	// silent is set while the owner has been told that the link is silent.
	silent atomic.Bool
	calls  openCalls
	// opened is when the link began to carry messages.
	opened time.Time
	// beats counts the heartbeats; only the timer uses it.
	beats uint64

	mu sync.Mutex
	// timer sends heartbeats and watches for silence; firesAt is when it fires next.
	timer   *time.Timer
	firesAt time.Time
	conn    *websocket.Conn
	why     string
}

func newLink(l *Linker, addr cassiatally.Address) *link {
	ctx, cancel := context.WithCancel(l.ctx)
	k := &link{
		owner:    l,
		addr:     addr,
		outbound: addr != "",
		outbox:   ring.New[cassiatally.Message](l.RingSize, ring.RefuseNewest),
		ctx:      ctx,
		cancel:   cancel,
	}
	k.lastControl.Store(steady())
	return k
}

func (k *link) push(m cassiatally.Message) error {
	if !k.outbox.Push(k.ctx, m) {
		return cassiatally.NewError(cassiatally.KindUnreachable, "the link to %s is full or has ended", k.peer.Node)
	}
	return nil
}

// greet exchanges Hello frames.
func (k *link) greet(ctx context.Context, conn *websocket.Conn) error {
	conn.SetReadLimit(protocol.MaxFrameBytes)
	k.mu.Lock()
	k.conn = conn
	k.mu.Unlock()
	hello := cassiatally.Hello{From: k.owner.Self, DataCentre: k.owner.DataCentre, Address: k.owner.Advertise}
	if err := k.writeFrame(ctx, hello); err != nil {
		return err
	}
	m, err := k.readFrame(ctx)
	if err != nil {
		return err
	}
	theirs, ok := m.(cassiatally.Hello)
	if !ok || theirs.From.IsZero() {
		return cassiatally.NewError(cassiatally.KindProtocol, "the first frame of a link is not a hello")
	}
	if theirs.From.Node == k.owner.Self.Node {
		// A node that takes over the address of another one is still known there under
		// the name of that one.
		return cassiatally.NewError(cassiatally.KindUnreachable, "the address is that of this node")
	}
	k.peer = theirs.From
	return nil
}

// end closes the link for a reason; the first reason stays.
func (k *link) end(why string) {
	k.mu.Lock()
	if k.why == "" {
		k.why = why
	}
	conn := k.conn
	k.mu.Unlock()
	k.outbox.Close()
	k.cancel()
	if conn != nil {
		_ = conn.CloseNow()
	}
}

func (k *link) reason() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.why
}

func (k *link) write() {
	defer k.end("writer ended")
	for {
		select {
		case <-k.outbox.Ready():
			if !k.writeQueued() {
				return
			}
		case <-k.ctx.Done():
			return
		}
	}
}

func (k *link) idle() bool {
	return k.outbound && k.quiet() && !k.owner.otherLinkActive(k)
}

func (k *link) quiet() bool {
	now, requested := steady(), k.lastRequest.Load()
	return (requested == 0 || now-requested > int64(requestIdle)) && now-k.lastControl.Load() > int64(controlIdle)
}

// touch records a message that is written or was read.
func (k *link) touch(m cassiatally.Message) {
	now := time.Now()
	if isAwaited(m) {
		k.lastRequest.Store(steady())
	} else {
		k.lastControl.Store(steady())
	}
	if k.calls.pass(now, m) {
		k.fireWithin(k.owner.Heartbeat)
	}
}

// writeQueued writes messages one by one, so that those not yet written are
// still in the ring when the link ends and can be reported as not sent.
func (k *link) writeQueued() bool {
	for k.outbox.Len() > 0 {
		m, ok := k.outbox.Pop(k.ctx)
		if !ok {
			return false
		}
		if _, isPing := m.(cassiatally.Ping); !isPing {
			k.touch(m)
		}
		if k.writeFrame(k.ctx, m) != nil {
			return false
		}
		k.lastWrite.Store(steady())
	}
	return true
}

func (k *link) writeFrame(ctx context.Context, m cassiatally.Message) error {
	frame, err := k.owner.Codec.Encode(m)
	if err != nil {
		// One message that cannot be encoded must not end the link of the others.
		k.owner.Logger.Error("message not encoded", "peer", k.peer, "error", err)
		return nil
	}
	k.owner.bytes.sent(m, len(frame))
	k.writeBegan.Store(steady())
	err = k.conn.Write(ctx, websocket.MessageBinary, frame)
	k.writeBegan.Store(0)
	return err
}

func (k *link) read() {
	defer k.end("reader ended")
	k.startTimer()
	defer k.stopTimer()
	for {
		m, err := k.readFrame(k.ctx)
		if err != nil {
			if cassiatally.KindOf(err) != cassiatally.KindInternal {
				k.owner.Logger.Warn("frame refused", "peer", k.peer, "error", err)
				k.end("malformed frame")
			}
			return
		}
		k.lastRead.Store(steady())
		if k.silent.Load() && k.silent.Swap(false) {
			k.owner.heard(k)
		}
		k.handle(m)
	}
}

func (k *link) readFrame(ctx context.Context) (cassiatally.Message, error) {
	_, frame, err := k.conn.Read(ctx)
	if err != nil {
		return nil, err
	}
	m, err := k.owner.Codec.Decode(frame)
	if err != nil {
		return nil, err
	}
	k.owner.bytes.received(m, len(frame))
	return m, nil
}

func (k *link) handle(m cassiatally.Message) {
	switch m := m.(type) {
	case cassiatally.Ping, cassiatally.Hello:
	default:
		k.touch(m)
		k.owner.Inbound(k.peer, m)
	}
}
