package faultproxy

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassiatally/cassiatally/cassiatally/ring"
	"github.com/cassiatally/cassiatally/standin/gate"
)

const (
	chunkBytes = 32 << 10
	// ringCapacity bounds the data in transit to 2 MiB per direction. A reader that
	// finds the ring full stops reading, so that the sender sees TCP flow control.
	ringCapacity = 64
)

// errCut ends a connection that has reached its byte limit.
var errCut = errors.New("the connection has reached its byte limit")

// link is one connection through the proxy.
type link struct {
	ctx    context.Context
	cancel context.CancelFunc
	near   net.Conn
	up     *gate.Gate
	down   *gate.Gate
	// firstData is the first data towards the target; only the proxy's duty uses it.
	firstData []byte
	// permanent is set once a fault applies permanently; only the proxy's duty uses
	// it.
	permanent bool
}

// chunk is data in transit. A chunk with an error ends its direction.
type chunk struct {
	due  time.Time
	data []byte
	err  error
}

// relay forwards one direction of a link.
type relay struct {
	from, to net.Conn
	gate     *gate.Gate
	bytes    *atomic.Uint64
	ring     *ring.Ring[chunk]
	// bytesUntilCut, if positive, is the number of bytes that are still forwarded
	// before the link is cut.
	bytesUntilCut int64
	// onFirstData, if set, is called with the first data before it is forwarded.
	onFirstData func(data []byte)
}

func newLink(ctx context.Context, near net.Conn) *link {
	ctx, cancel := context.WithCancel(ctx)
	return &link{ctx: ctx, cancel: cancel, near: near, up: gate.New(false), down: gate.New(false)}
}

func (l *link) apply(m Mode, permanent bool) {
	switch {
	case m == ModeCut:
		// Closes the gates first, since data that is still in a ring must not be
		// delivered after the cut.
		l.up.SetOpen(false)
		l.down.SetOpen(false)
		l.cancel()
	case l.permanent:
	default:
		l.permanent = permanent
		l.up.SetOpen(m.passesUp())
		l.down.SetOpen(m.passesDown())
	}
}

func (l *link) close() {
	l.cancel()
	_ = l.near.Close()
}

// run forwards data until both directions have ended or the link is cancelled.
func (l *link) run(far net.Conn, p *Proxy) {
	stop := context.AfterFunc(l.ctx, func() {
		reset(l.near)
		reset(far)
	})
	defer stop()
	defer far.Close()
	up := &relay{from: l.near, to: far, gate: l.up, bytes: &p.bytesUp, ring: ring.New[chunk](ringCapacity, ring.Wait)}
	up.onFirstData = func(data []byte) { p.recordFirstData(l, data) }
	down := &relay{from: far, to: l.near, gate: l.down, bytes: &p.bytesDown, ring: ring.New[chunk](ringCapacity, ring.Wait)}
	down.bytesUntilCut = p.cutDownAfterBytes.Load()
	var wg sync.WaitGroup
	for _, r := range []*relay{up, down} {
		wg.Go(func() { r.read(l.ctx, &p.delay) })
		wg.Go(func() {
			if err := r.write(l.ctx); err != nil {
				l.cancel()
			}
		})
	}
	wg.Wait()
}

// read pushes data and the end of the connection into the ring.
func (r *relay) read(ctx context.Context, delay *atomic.Int64) {
	buf := make([]byte, chunkBytes)
	for {
		n, err := r.from.Read(buf)
		c := chunk{due: time.Now().Add(time.Duration(delay.Load())), data: append([]byte(nil), buf[:n]...), err: err}
		if r.onFirstData != nil && n > 0 {
			r.onFirstData(c.data)
			r.onFirstData = nil
		}
		if !r.ring.Push(ctx, c) || err != nil {
			return
		}
	}
}

// write forwards data when it is due and the gate is open. It returns an error when
// both directions of the link have to be closed.
func (r *relay) write(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		c, ok := r.ring.Pop(ctx)
		if !ok {
			return ctx.Err()
		}
		if err := waitUntil(ctx, timer, c.due); err != nil {
			return err
		}
		if err := r.gate.Wait(ctx); err != nil {
			return err
		}
		if err := r.deliver(c); err != nil {
			return err
		}
		if c.err != nil {
			return nil
		}
	}
}

func (r *relay) deliver(c chunk) error {
	if len(c.data) > 0 {
		cut := r.bytesUntilCut > 0 && int64(len(c.data)) >= r.bytesUntilCut
		if cut {
			c.data = c.data[:r.bytesUntilCut]
		}
		if _, err := r.to.Write(c.data); err != nil {
			return errors.Wrap(err, "forwarding data")
		}
		r.bytes.Add(uint64(len(c.data)))
		r.bytesUntilCut -= int64(len(c.data))
		if cut {
			return errCut
		}
	}
	if c.err == nil {
		return nil
	}
	if !errors.Is(c.err, io.EOF) {
		return c.err
	}
	tcp, ok := r.to.(*net.TCPConn)
	if !ok {
		return c.err
	}
	return errors.Wrap(tcp.CloseWrite(), "ending a direction")
}

func waitUntil(ctx context.Context, timer *time.Timer, due time.Time) error {
	wait := time.Until(due)
	if wait <= 0 {
		return nil
	}
	timer.Reset(wait)
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "waiting for the delay")
	}
}
