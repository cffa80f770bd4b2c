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
	// expected is the node to which the address belongs; empty if it is unknown.
	expected cassiatally.NodeID
	// redialling is set if the last attempt to open a link to the address failed.
	redialling bool
	// established is set after the handshake. It is guarded by the mutex of the owner.
	established bool
	outbox      *ring.Ring[cassiatally.Message]
	ctx         context.Context
	cancel      context.CancelFunc
	peer        cassiatally.NodeRef
	// lastRequest is when a message whose answer is awaited, or such an answer, was
	// last sent or received; 0 for never. lastControl is the same for all other
	// messages but heartbeats.
	lastRequest, lastControl atomic.Int64
	// lastRead and lastWrite are when a frame was last read or written.
	lastRead, lastWrite atomic.Int64
	// writeBegan is when the write under way began; 0 when there is none. The timer
	// bounds its duration, since a context with a deadline for each frame costs more
	// than the frame.
	writeBegan atomic.Int64
	// silent is set while the link is reported to the owner as silent.
	silent atomic.Bool
	calls  openCalls
	// unsentAnswers counts the answers that are queued or being written.
	unsentAnswers atomic.Int64
	// flushed is closed when the writer has ended.
	flushed chan struct{}
	// readBegan is when the read of the last frame began, and delay returns how long a
	// call may have waited in the buffer; only the reader uses them.
	readBegan time.Time
	delay     func(began, ended time.Time) time.Duration
	// opened is when the reader of the link started.
	opened time.Time
	// heartbeats counts the heartbeats sent; only the timer uses it.
	heartbeats uint64

	mu sync.Mutex
	// timer sends heartbeats and detects a silent peer; firesAt is when it fires next.
	timer     *time.Timer
	firesAt   time.Time
	conn      *websocket.Conn
	endReason string
}

func newLink(l *Linker, addr cassiatally.Address) *link {
	ctx, cancel := context.WithCancel(l.ctx)
	k := &link{
		owner:    l,
		addr:     addr,
		outbound: addr != "",
		outbox:   ring.New[cassiatally.Message](l.RingSize, ring.RefuseNewest),
		flushed:  make(chan struct{}),
		ctx:      ctx,
		cancel:   cancel,
	}
	k.lastControl.Store(monotonic())
	return k
}

func (k *link) push(m cassiatally.Message) error {
	k.countUnsent(m, 1)
	if !k.outbox.Push(k.ctx, m) {
		k.countUnsent(m, -1)
		return cassiatally.NewError(cassiatally.KindUnreachable, "the link to %s is full or has ended", k.peer.Node)
	}
	return nil
}

func (k *link) countUnsent(m cassiatally.Message, delta int64) {
	if a, ok := m.(cassiatally.Answer); ok {
		k.unsentAnswers.Add(delta)
		k.owner.unsentAnswerBytes.Add(delta * int64(len(a.Body)))
	}
}

// handshake exchanges Hello frames, which identify the nodes at both ends.
func (k *link) handshake(ctx context.Context, conn *websocket.Conn) error {
	conn.SetReadLimit(protocol.MaxFrameBytes)
	k.mu.Lock()
	k.conn = conn
	k.mu.Unlock()
	hello := cassiatally.Hello{From: k.owner.Self, DataCentre: k.owner.DataCentre, Address: k.owner.Advertise, Fleet: k.owner.Fleet}
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
		// A node that has taken over the address of another one may still have that one
		// under this address in its member table, and so dial itself.
		return cassiatally.NewError(cassiatally.KindUnreachable, "the address is that of this node")
	}
	if !k.owner.Fleet.Accepts(theirs.Fleet) {
		// An address of a node that has ended may now be that of a node of another fleet. One
		// link to it would merge the member tables of both.
		return cassiatally.NewError(cassiatally.KindUnreachable, "node %s belongs to fleet %s, not to %s", theirs.From.Node, theirs.Fleet, k.owner.Fleet)
	}
	k.peer = theirs.From
	return nil
}

// end closes the link and records why, unless it has been ended before.
func (k *link) end(reason string) {
	k.mu.Lock()
	if k.endReason == "" {
		k.endReason = reason
	}
	conn := k.conn
	k.mu.Unlock()
	// The writer must not take messages for a link that has ended.
	k.cancel()
	k.outbox.Close()
	if conn != nil {
		_ = conn.CloseNow()
	}
}

func (k *link) reason() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.endReason
}

func (k *link) write() {
	defer k.end("writer ended")
	defer close(k.flushed)
	for {
		select {
		case <-k.outbox.Ready():
			if !k.writeQueued() {
				return
			}
		case <-k.outbox.Done():
			if k.ctx.Err() == nil && k.writeQueued() {
				_ = k.conn.Close(websocket.StatusGoingAway, "node stops")
			}
			return
		case <-k.ctx.Done():
			return
		}
	}
}

// flush closes the link after the messages that are queued, and waits for that until ctx
// ends.
func (k *link) flush(ctx context.Context) {
	k.outbox.Close()
	k.owner.mu.Lock()
	established := k.established
	k.owner.mu.Unlock()
	if !established {
		return
	}
	select {
	case <-k.flushed:
	case <-ctx.Done():
	}
}

// idle reports whether this end should close the link: it opened the link, and neither
// this link nor another one to the same node is in use.
func (k *link) idle() bool {
	return k.outbound && k.unused() && !k.owner.otherLinkInUse(k)
}

// unused reports whether there was no request for requestIdleTimeout and no other
// message but heartbeats for controlIdleTimeout.
func (k *link) unused() bool {
	now, requested := monotonic(), k.lastRequest.Load()
	return (requested == 0 || now-requested > int64(requestIdleTimeout)) && now-k.lastControl.Load() > int64(controlIdleTimeout)
}

// recordUse records a message that is written or was read.
func (k *link) recordUse(m cassiatally.Message) {
	now := time.Now()
	if inAwaitedExchange(m) {
		k.lastRequest.Store(monotonic())
	} else {
		k.lastControl.Store(monotonic())
	}
	if k.calls.record(now, m) {
		k.fireWithin(k.owner.Heartbeat)
	}
}

// writeQueued takes messages from the ring one by one, so that those not yet written
// are still in the ring when the link ends and can be reported as undelivered.
func (k *link) writeQueued() bool {
	for k.outbox.Len() > 0 {
		m, ok := k.outbox.Pop(k.ctx)
		if !ok {
			return false
		}
		if _, isPing := m.(cassiatally.Ping); !isPing {
			k.recordUse(m)
		}
		err := k.writeFrame(k.ctx, m)
		k.countUnsent(m, -1)
		if err != nil {
			return false
		}
		k.lastWrite.Store(monotonic())
	}
	return true
}

func (k *link) writeFrame(ctx context.Context, m cassiatally.Message) error {
	frame, err := k.owner.Codec.Encode(m)
	if err != nil {
		// A message that cannot be encoded must not end the link, which others share.
		k.owner.Logger.Error("message not encoded", "peer", k.peer, "error", err)
		return nil
	}
	k.owner.bytes.addSent(m, len(frame))
	k.writeBegan.Store(monotonic())
	err = k.conn.Write(ctx, websocket.MessageBinary, frame)
	k.writeBegan.Store(0)
	return err
}

func (k *link) read() {
	defer k.end("reader ended")
	k.startTimer()
	defer k.stopTimer()
	if k.owner.NewDelay != nil {
		k.delay = k.owner.NewDelay()
	}
	for {
		k.readBegan = time.Now()
		m, err := k.readFrame(k.ctx)
		if err != nil {
			if cassiatally.KindOf(err) != cassiatally.KindInternal {
				k.owner.Logger.Warn("frame refused", "peer", k.peer, "error", err)
				k.end("malformed frame")
			}
			return
		}
		k.lastRead.Store(monotonic())
		if k.silent.Load() && k.silent.Swap(false) {
			k.owner.notifyResponding(k)
		}
		k.handle(m)
	}
}

func (k *link) readFrame(ctx context.Context) (cassiatally.Message, error) {
	_, frame, err := k.conn.Read(ctx)
	if err != nil {
		return nil, err
	}
	m, err := k.decode(frame)
	if err != nil {
		return nil, err
	}
	k.owner.bytes.addReceived(m, len(frame))
	return m, nil
}

// decode returns the message of a frame. A panic of the decoder ends the link only.
func (k *link) decode(frame []byte) (m cassiatally.Message, err error) {
	err = cassiatally.NewError(cassiatally.KindProtocol, "the frame could not be decoded")
	defer k.owner.recoverer.Recover()
	return k.owner.Codec.Decode(frame)
}

// handle passes a message on. A panic of its receiver drops the message only.
func (k *link) handle(m cassiatally.Message) {
	defer k.owner.recoverer.Recover()
	switch m := m.(type) {
	case cassiatally.Ping, cassiatally.Hello:
		return
	case cassiatally.Call:
		k.recordUse(m)
		if k.delay != nil {
			m.Remaining -= k.delay(k.readBegan, time.Now())
		}
		k.owner.Inbound(k.peer, m)
	default:
		k.recordUse(m)
		k.owner.Inbound(k.peer, m)
	}
}
