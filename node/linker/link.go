package linker

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/faultswitch"
	"github.com/cassiatally/cassiatally/cassiatally/protocol"
	"github.com/cassiatally/cassiatally/cassiatally/ring"
)

type link struct {
	owner    *Linker
	addr     cassiatally.Address
	outbound bool
	// expected is the node that the address belongs to, when that is known.
	expected cassiatally.NodeID
	// doubtful is set when the last attempt to open a link to the address failed.
	doubtful bool
	// served is guarded by the mutex of the owner.
	served bool
	outbox *ring.Ring[cassiatally.Message]
	ctx    context.Context
	cancel context.CancelFunc
	peer   cassiatally.NodeRef
	// lastRequest and lastControl are when a message of a request, or any other but
	// a heartbeat, was last sent or received.
	lastRequest, lastControl atomic.Int64
	// lastRead is when anything last arrived.
	lastRead atomic.Int64
	// silent is set while the owner has been told that the link is silent.
	silent atomic.Bool

	mu sync.Mutex
	// woken tells the writer that the link became busy.
	woken chan struct{}
	// watchdog ends the link when it is silent; wokenAt is when it last started, and
	// checkAt when it fires next.
	watchdog         *time.Timer
	wokenAt, checkAt time.Time
	conn             *websocket.Conn
	why              string
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
		woken:    make(chan struct{}, 1),
	}
	k.lastControl.Store(time.Now().UnixNano())
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
	conn.SetReadLimit(protocol.MaxFrame)
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
	beat := time.NewTimer(k.beatTime())
	defer beat.Stop()
	var seq uint64
	wrote := time.Now()
	for {
		select {
		case <-k.outbox.Ready():
			if !k.writeQueued() {
				return
			}
			wrote = time.Now()
		case <-k.woken:
			beat.Reset(k.beatTime())
		case <-beat.C:
			if k.idle() {
				k.end("idle")
				return
			}
			// Counted from the last message, so that no more than one heartbeat passes
			// without any: the other end takes a longer silence for a fault.
			if left := k.beatTime() - time.Since(wrote); left > 0 {
				beat.Reset(left)
				continue
			}
			seq++
			if k.writeFrame(k.ctx, cassiatally.Ping{Seq: seq}) != nil {
				return
			}
			wrote = time.Now()
			beat.Reset(k.beatTime())
		case <-k.ctx.Done():
			return
		}
	}
}

// beatTime returns the time between heartbeats.
func (k *link) beatTime() time.Duration {
	if k.busy() {
		return k.owner.Heartbeat
	}
	return quietBeat
}

func (k *link) idle() bool {
	return k.outbound && k.quiet() && !k.owner.otherLinkActive(k)
}

func (k *link) quiet() bool {
	now := time.Now().UnixNano()
	return now-k.lastRequest.Load() > int64(requestIdle) && now-k.lastControl.Load() > int64(controlIdle)
}

func (k *link) touch(m cassiatally.Message) {
	now := time.Now().UnixNano()
	if !isAwaited(m) {
		k.lastControl.Store(now)
		return
	}
	if was := k.lastRequest.Swap(now); now-was > int64(requestIdle) {
		k.wake()
	}
}

// busy reports whether somebody waited for an answer on the link lately. Then its
// ends send heartbeats often.
func (k *link) busy() bool {
	return time.Now().UnixNano()-k.lastRequest.Load() <= int64(requestIdle)
}

// wake starts the watchdog, or starts it anew when the link becomes busy.
func (k *link) wake() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.wokenAt = time.Now()
	select {
	case k.woken <- struct{}{}:
	default:
	}
	k.checkAt = k.wokenAt.Add(k.owner.firstCheck())
	if k.watchdog == nil {
		k.watchdog = time.AfterFunc(k.owner.firstCheck(), k.checkSilence)
		return
	}
	k.watchdog.Reset(k.owner.firstCheck())
}

// checkIn has the watchdog look again after a time.
func (k *link) checkIn(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.checkAt = time.Now().Add(d)
	k.watchdog.Reset(d)
}

// firstCheck is the time of silence after which a busy link is looked at.
func (l *Linker) firstCheck() time.Duration {
	if l.SilentAfter > 0 {
		return l.SilentAfter
	}
	return l.DeadAfter
}

func (k *link) sleep() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.watchdog.Stop()
}

// checkSilence ends the link when nothing arrived for longer than its state
// allows.
func (k *link) checkSilence() {
	if faultswitch.Off(faultswitch.LinkSilence) || k.ctx.Err() != nil {
		return
	}
	k.mu.Lock()
	since, due := k.wokenAt, k.checkAt
	k.mu.Unlock()
	if time.Since(due) > stallTime {
		k.checkIn(stallTime)
		return
	}
	if read := time.Unix(0, k.lastRead.Load()); read.After(since) {
		since = read
	}
	passed := time.Since(since)
	allowed := quietSilence
	if k.busy() {
		allowed = k.owner.DeadAfter
	}
	if passed >= allowed {
		k.end("silent")
		return
	}
	left := allowed - passed
	if first := k.owner.firstCheck(); k.busy() && passed < first {
		left = first - passed
	} else if k.busy() && first < allowed && !k.silent.Swap(true) {
		k.owner.silent(k)
	}
	k.checkIn(left)
}

// writeQueued writes messages one by one, so that those not yet written are
// still in the ring when the link ends and can be reported as not sent.
func (k *link) writeQueued() bool {
	for k.outbox.Len() > 0 {
		m, ok := k.outbox.Pop(k.ctx)
		if !ok {
			return false
		}
		k.touch(m)
		if k.writeFrame(k.ctx, m) != nil {
			return false
		}
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
	ctx, cancel := context.WithTimeout(ctx, k.owner.DeadAfter)
	defer cancel()
	return k.conn.Write(ctx, websocket.MessageBinary, frame)
}

func (k *link) read() {
	defer k.end("reader ended")
	k.wake()
	defer k.sleep()
	for {
		m, err := k.readFrame(k.ctx)
		if err != nil {
			if cassiatally.KindOf(err) != cassiatally.KindInternal {
				k.owner.Logger.Warn("frame refused", "peer", k.peer, "error", err)
				k.end("malformed frame")
			}
			return
		}
		k.lastRead.Store(time.Now().UnixNano())
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
