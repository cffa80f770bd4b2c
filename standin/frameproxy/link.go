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
	// ringCapacity bounds the frames in transit of a direction. A reader that finds
	// the ring full stops reading.
	ringCapacity = 64
	// lateBy is how many answers overtake one that is held back.
	lateBy = 2
)

// link is one link through the proxy.
type link struct {
	ctx      context.Context
	cancel   context.CancelFunc
	up, down *mixer
	// opener is the node that opened the link, once its Hello has passed.
	opener atomic.Pointer[cassiatally.NodeID]
}

// item is a frame in transit or a change.
type item struct {
	frame  []byte
	change *Change
}

// mixer is one direction of a link. The duty that writes owns faults, held and
// sheet.
type mixer struct {
	faults faults
	codec  *protocol.Codec
	ring   *ring.Ring[item]
	held   []cassiatally.Answer
	// sheet is the frame that is held back, if any.
	sheet []byte
	mixed atomic.Uint64
	hello func(cassiatally.NodeID)
}

func newLink(ctx context.Context, codec *protocol.Codec) *link {
	ctx, cancel := context.WithCancel(ctx)
	l := &link{ctx: ctx, cancel: cancel}
	l.up = &mixer{codec: codec, ring: ring.New[item](ringCapacity, ring.Wait)}
	l.up.hello = func(n cassiatally.NodeID) { l.opener.Store(&n) }
	l.down = &mixer{codec: codec, ring: ring.New[item](ringCapacity, ring.Wait)}
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

// run passes frames until one of the connections ends.
func (l *link) run(near, far *websocket.Conn) {
	var wg sync.WaitGroup
	for _, d := range []struct {
		m        *mixer
		from, to *websocket.Conn
	}{{l.up, near, far}, {l.down, far, near}} {
		d.from.SetReadLimit(protocol.MaxFrameBytes)
		wg.Go(func() {
			defer l.cancel()
			d.m.read(l.ctx, d.from)
		})
		wg.Go(func() {
			defer l.cancel()
			d.m.write(l.ctx, d.to)
		})
	}
	wg.Wait()
}

func (m *mixer) read(ctx context.Context, from *websocket.Conn) {
	for {
		_, frame, err := from.Read(ctx)
		if err != nil || !m.ring.Push(ctx, item{frame: frame}) {
			return
		}
	}
}

func (m *mixer) write(ctx context.Context, to *websocket.Conn) {
	for {
		i, ok := m.ring.Pop(ctx)
		if !ok {
			return
		}
		for _, frame := range m.next(i) {
			if to.Write(ctx, websocket.MessageBinary, frame) != nil {
				return
			}
		}
	}
}

// next returns the frames to write after an item.
func (m *mixer) next(i item) [][]byte {
	if i.change != nil {
		return m.change(*i.change)
	}
	message, err := m.codec.Decode(i.frame)
	if err != nil {
		// The node at the end refuses the frame.
		return [][]byte{i.frame}
	}
	switch message := message.(type) {
	case cassiatally.Hello:
		if m.hello != nil {
			m.hello(message.From.Node)
		}
	case cassiatally.Answer:
		if m.faults.answers != ModePass {
			return m.encode(m.mix(message))
		}
	case cassiatally.SheetRecord:
		if m.faults.holdSheet && m.sheet == nil {
			m.mixed.Add(1)
			m.sheet = i.frame
			return nil
		}
	}
	return [][]byte{i.frame}
}

// change returns what was held back.
func (m *mixer) change(c Change) [][]byte {
	m.faults = m.faults.changed(c)
	out := m.encode(m.release())
	if m.sheet != nil {
		out = append(out, m.sheet)
		m.sheet = nil
	}
	return out
}

func (m *mixer) release() []cassiatally.Answer {
	out := m.held
	m.held = nil
	return out
}

func (m *mixer) mix(a cassiatally.Answer) []cassiatally.Answer {
	m.mixed.Add(1)
	if m.faults.answers == ModeDouble {
		return []cassiatally.Answer{a, a}
	}
	if m.faults.answers == ModeLate {
		m.held = append(m.held, a)
		if len(m.held) <= lateBy {
			return nil
		}
		return m.overtake()
	}
	if len(m.held) == 0 {
		m.held = append(m.held, a)
		return nil
	}
	first := m.release()[0]
	crossed := []cassiatally.Answer{first, a}
	crossed[0].ID, crossed[1].ID = a.ID, first.ID
	if m.faults.answers == ModeSwap {
		return crossed
	}
	return append(crossed, first, a)
}

// overtake passes the answers that are held back, with the first one last.
func (m *mixer) overtake() []cassiatally.Answer {
	held := m.release()
	return append(held[1:], held[0])
}

func (m *mixer) encode(answers []cassiatally.Answer) [][]byte {
	var frames [][]byte
	for _, a := range answers {
		if frame, err := m.codec.Encode(a); err == nil {
			frames = append(frames, frame)
		}
	}
	return frames
}
