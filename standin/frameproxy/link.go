package frameproxy

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/coder/websocket"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/protocol"
	"github.com/cassiatally/cassiatally/cassiatally/ring"
)

const (
	// ringCapacity bounds the frames in transit per direction. A reader that finds
	// the ring full stops reading.
	ringCapacity = 64
	// lateByAnswers is the number of answers that overtake a held one in ModeLate.
	lateByAnswers = 2
)

// link is one link through the proxy.
type link struct {
	ctx      context.Context
	cancel   context.CancelFunc
	up, down *relay
	// opener is the node that opened the link; nil until its Hello has been read.
	opener atomic.Pointer[cassiatally.NodeID]
}

// item is either a frame in transit or a change of the faults.
type item struct {
	frame  []byte
	change *Change
}

// relay forwards one direction of a link. The duty that writes owns faults,
// heldAnswers and heldSheet.
type relay struct {
	faults      faults
	codec       *protocol.Codec
	ring        *ring.Ring[item]
	heldAnswers []cassiatally.Answer
	// heldSheet is the frame of the sheet record that is held back, if any.
	heldSheet []byte
	mixed     atomic.Uint64
	onHello   func(cassiatally.NodeID)
}

func newLink(ctx context.Context, codec *protocol.Codec) *link {
	ctx, cancel := context.WithCancel(ctx)
	l := &link{ctx: ctx, cancel: cancel}
	l.up = &relay{codec: codec, ring: ring.New[item](ringCapacity, ring.Wait)}
	l.up.onHello = func(n cassiatally.NodeID) { l.opener.Store(&n) }
	l.down = &relay{codec: codec, ring: ring.New[item](ringCapacity, ring.Wait)}
	return l
}

func (l *link) mixed() uint64 { return l.up.mixed.Load() + l.down.mixed.Load() }

func (l *link) apply(c Change) {
	opener := l.opener.Load()
	if c.Peer != "" && (opener == nil || *opener != c.Peer) {
		return
	}
	if c.Direction != DirectionDown {
		l.up.ring.Push(l.ctx, item{change: &c})
	}
	if c.Direction != DirectionUp {
		l.down.ring.Push(l.ctx, item{change: &c})
	}
}

// run forwards frames until one of the connections ends.
func (l *link) run(near, far *websocket.Conn) {
	var wg sync.WaitGroup
	for _, d := range []struct {
		relay    *relay
		from, to *websocket.Conn
	}{{l.up, near, far}, {l.down, far, near}} {
		d.from.SetReadLimit(protocol.MaxFrameBytes)
		wg.Go(func() {
			defer l.cancel()
			d.relay.read(l.ctx, d.from)
		})
		wg.Go(func() {
			defer l.cancel()
			d.relay.write(l.ctx, d.to)
		})
	}
	wg.Wait()
}

func (r *relay) read(ctx context.Context, from *websocket.Conn) {
	for {
		_, frame, err := from.Read(ctx)
		if err != nil || !r.ring.Push(ctx, item{frame: frame}) {
			return
		}
	}
}

func (r *relay) write(ctx context.Context, to *websocket.Conn) {
	for {
		i, ok := r.ring.Pop(ctx)
		if !ok {
			return
		}
		for _, frame := range r.process(i) {
			if to.Write(ctx, websocket.MessageBinary, frame) != nil {
				return
			}
		}
	}
}

// process returns the frames to write after an item.
func (r *relay) process(i item) [][]byte {
	if i.change != nil {
		return r.applyChange(*i.change)
	}
	message, err := r.codec.Decode(i.frame)
	if err != nil {
		// The receiving node refuses the frame.
		return [][]byte{i.frame}
	}
	switch message := message.(type) {
	case cassiatally.Hello:
		if r.onHello != nil {
			r.onHello(message.From.Node)
		}
	case cassiatally.Answer:
		if r.faults.answers != ModePass {
			return r.encode(r.alterAnswer(message))
		}
	case cassiatally.SheetRecord:
		if r.faults.holdSheet && r.heldSheet == nil {
			r.mixed.Add(1)
			r.heldSheet = i.frame
			return nil
		}
	}
	return [][]byte{i.frame}
}

// applyChange changes the faults and returns the frames that were held back.
func (r *relay) applyChange(c Change) [][]byte {
	r.faults = r.faults.withChange(c)
	out := r.encode(r.takeHeldAnswers())
	if r.heldSheet != nil {
		out = append(out, r.heldSheet)
		r.heldSheet = nil
	}
	return out
}

func (r *relay) takeHeldAnswers() []cassiatally.Answer {
	out := r.heldAnswers
	r.heldAnswers = nil
	return out
}

func (r *relay) alterAnswer(a cassiatally.Answer) []cassiatally.Answer {
	r.mixed.Add(1)
	if r.faults.answers == ModeDouble {
		return []cassiatally.Answer{a, a}
	}
	if r.faults.answers == ModeLate {
		r.heldAnswers = append(r.heldAnswers, a)
		if len(r.heldAnswers) <= lateByAnswers {
			return nil
		}
		return r.takeHeldAnswersRotated()
	}
	if len(r.heldAnswers) == 0 {
		r.heldAnswers = append(r.heldAnswers, a)
		return nil
	}
	first := r.takeHeldAnswers()[0]
	crossed := []cassiatally.Answer{first, a}
	crossed[0].ID, crossed[1].ID = a.ID, first.ID
	if r.faults.answers == ModeSwap {
		return crossed
	}
	return append(crossed, first, a)
}

// takeHeldAnswersRotated removes the held answers and returns them with the first
// one moved to the end.
func (r *relay) takeHeldAnswersRotated() []cassiatally.Answer {
	held := r.takeHeldAnswers()
	return append(held[1:], held[0])
}

func (r *relay) encode(answers []cassiatally.Answer) [][]byte {
	var frames [][]byte
	for _, a := range answers {
		if frame, err := r.codec.Encode(a); err == nil {
			frames = append(frames, frame)
		}
	}
	return frames
}
