// Package faultproxy forwards TCP connections to a target and injects network
// faults between the two ends.
//
// Up is the direction from the connecting end to the target, down the opposite
// one. Data that a fault holds back stays in order and is forwarded once the fault
// ends, as TCP does after a partition; this includes the end of a connection.
//
// # Usage
//
//	p := &faultproxy.Proxy{Listen: "127.0.0.1:0", Target: "127.0.0.1:7001"}
//	if err := p.Start(ctx); err != nil {
//		return err
//	}
//	defer p.Close()
//	err := p.Apply(ctx, faultproxy.Change{Mode: faultproxy.ModeSilent, ExistingOnly: true})
package faultproxy

import (
	"bytes"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/standin/owner"
)

const (
	inboxCapacity = 256
	dialTimeout   = 5 * time.Second
)

// Mode is a network fault.
type Mode string

const (
	// ModePass forwards data in both directions.
	ModePass Mode = "pass"
	// ModeCut closes all connections and refuses new ones.
	ModeCut Mode = "cut"
	// ModeSilent holds data back in both directions.
	ModeSilent Mode = "silent"
	// ModeOneWayUp forwards data to the target only, and holds the rest back.
	ModeOneWayUp Mode = "one_way_up"
	// ModeOneWayDown forwards data from the target only, and holds the rest back.
	ModeOneWayDown Mode = "one_way_down"
	// ModeRefuse refuses new connections and does not affect open ones.
	ModeRefuse Mode = "refuse"
)

// Valid reports whether the mode is defined.
func (m Mode) Valid() bool {
	switch m {
	case ModePass, ModeCut, ModeSilent, ModeOneWayUp, ModeOneWayDown, ModeRefuse:
		return true
	}
	return false
}

func (m Mode) passesUp() bool   { return m == ModePass || m == ModeRefuse || m == ModeOneWayUp }
func (m Mode) passesDown() bool { return m == ModePass || m == ModeRefuse || m == ModeOneWayDown }
func (m Mode) refuses() bool    { return m == ModeCut || m == ModeRefuse }

// Change describes a change of the faults.
type Change struct {
	// Mode is the new mode; empty keeps the current one.
	Mode Mode
	// Delay is the new delay of each direction; nil keeps the current one.
	Delay *time.Duration
	// Matching limits the mode to connections, open and new, whose first data
	// contains this text. It applies until another change with the same text.
	Matching string
	// Target is the target of new connections; empty keeps the current one.
	Target cassiatally.Address
	// CutDownAfterBytes closes each new connection once that many bytes have been
	// forwarded from the target; zero removes the limit, nil keeps the current one.
	CutDownAfterBytes *int64
	// ExistingOnly applies the mode to the currently open connections permanently,
	// and leaves the mode of new connections unchanged. Only ModeCut still affects
	// these connections later.
	ExistingOnly bool
}

// Status is the state of a proxy.
type Status struct {
	Target      cassiatally.Address
	Mode        Mode
	Delay       time.Duration
	Connections int
	Accepted    uint64
	Refused     uint64
	BytesUp     uint64
	BytesDown   uint64
}

// Proxy listens on one address and forwards its connections to one target.
type Proxy struct {
	Listen string
	// Target is the initial target.
	Target cassiatally.Address

	listener          net.Listener
	owner             *owner.Owner[state]
	delay             atomic.Int64
	cutDownAfterBytes atomic.Int64
	bytesUp           atomic.Uint64
	bytesDown         atomic.Uint64
	ctx               context.Context
	cancel            context.CancelFunc
	wg                sync.WaitGroup
}

// state is owned by the duty of the proxy.
type state struct {
	mode       Mode
	target     cassiatally.Address
	modeByText map[string]Mode
	links      map[*link]struct{}
	accepted   uint64
	refused    uint64
}

// modeOf returns the mode for a text that the first data of the connection
// contains, or else the mode of the proxy.
func (s *state) modeOf(l *link) Mode {
	for text, mode := range s.modeByText {
		if bytes.Contains(l.firstData, []byte(text)) {
			return mode
		}
	}
	return s.mode
}

// Start listens and accepts connections until Close.
func (p *Proxy) Start(ctx context.Context) error {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", p.Listen)
	if err != nil {
		return errors.Wrapf(err, "listening on %s", p.Listen)
	}
	p.listener = l
	p.ctx, p.cancel = context.WithCancel(context.WithoutCancel(ctx))
	p.owner = owner.New(&state{
		mode: ModePass, target: p.Target, modeByText: make(map[string]Mode), links: make(map[*link]struct{}),
	}, inboxCapacity)
	p.wg.Go(p.accept)
	return nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() cassiatally.Address {
	return cassiatally.Address(p.listener.Addr().String())
}

// Close closes all connections and waits for all duties.
func (p *Proxy) Close() {
	p.cancel()
	p.listener.Close()
	p.wg.Wait()
	p.owner.Close()
}

// Apply changes the faults.
func (p *Proxy) Apply(ctx context.Context, c Change) error {
	if c.Delay != nil {
		p.delay.Store(int64(*c.Delay))
	}
	if c.CutDownAfterBytes != nil {
		p.cutDownAfterBytes.Store(*c.CutDownAfterBytes)
	}
	return p.owner.Do(ctx, func(s *state) { s.apply(c) })
}

func (s *state) apply(c Change) {
	if c.Target != "" {
		s.target = c.Target
	}
	switch {
	case c.Mode == "":
		return
	case c.ExistingOnly:
	case c.Matching != "":
		s.modeByText[c.Matching] = c.Mode
	default:
		s.mode = c.Mode
	}
	for l := range s.links {
		if bytes.Contains(l.firstData, []byte(c.Matching)) {
			l.apply(c.Mode, c.ExistingOnly)
		}
	}
}

// Status returns the state of the proxy.
func (p *Proxy) Status(ctx context.Context) (Status, error) {
	status := Status{Delay: time.Duration(p.delay.Load()), BytesUp: p.bytesUp.Load(), BytesDown: p.bytesDown.Load()}
	err := p.owner.Do(ctx, func(s *state) {
		status.Target, status.Mode, status.Connections = s.target, s.mode, len(s.links)
		status.Accepted, status.Refused = s.accepted, s.refused
	})
	return status, err
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.wg.Go(func() { p.serve(conn) })
	}
}

func (p *Proxy) serve(conn net.Conn) {
	l := newLink(p.ctx, conn)
	defer l.close()
	address, ok := p.register(l)
	if !ok {
		return
	}
	defer p.unregister(l)
	d := net.Dialer{Timeout: dialTimeout}
	target, err := d.DialContext(l.ctx, "tcp", string(address))
	if err != nil {
		reset(conn)
		return
	}
	l.run(target, p)
}

// register adds the connection to the state, so that later changes of the mode
// apply to it, and returns the target. It returns false when the connection is
// refused.
func (p *Proxy) register(l *link) (cassiatally.Address, bool) {
	var refused bool
	var target cassiatally.Address
	err := p.owner.Do(p.ctx, func(s *state) {
		refused = s.mode.refuses()
		if refused {
			s.refused++
			return
		}
		s.accepted++
		target = s.target
		s.links[l] = struct{}{}
		l.apply(s.mode, false)
	})
	if err != nil || refused {
		reset(l.near)
		return "", false
	}
	return target, true
}

// recordFirstData stores the first data of a connection and applies the mode that
// matches it.
func (p *Proxy) recordFirstData(l *link, data []byte) {
	_ = p.owner.Do(p.ctx, func(s *state) {
		l.firstData = data
		l.apply(s.modeOf(l), false)
	})
}

func (p *Proxy) unregister(l *link) {
	// The owner outlives all links, so the operation is always applied.
	_ = p.owner.Do(context.WithoutCancel(p.ctx), func(s *state) { delete(s.links, l) })
}

// reset closes a connection with a TCP reset, so that the other end sees an error
// instead of the end of the stream.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
