// Package frameproxy forwards links between nodes frame by frame. It can duplicate,
// delay and swap the answers on them and hold back a sheet. Frames of other types
// are forwarded unchanged and in order.
//
// Up is the direction from the connecting end to the target, down the opposite
// one.
//
// # Usage
//
//	p := &frameproxy.Proxy{Listen: "127.0.0.1:0", Target: "127.0.0.1:7001"}
//	if err := p.Start(ctx); err != nil {
//		return err
//	}
//	defer p.Close()
//	err := p.Apply(ctx, frameproxy.Change{Answers: frameproxy.ModeCross, Direction: frameproxy.DirectionDown})
package frameproxy

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/protocol"
	"github.com/cassiatally/cassiatally/cassiatally/roundtripper"
	"github.com/cassiatally/cassiatally/standin/owner"
)

const (
	inboxCapacity = 256
	dialTimeout   = 5 * time.Second
	linkPath      = "/v1/link"
	// dataCentreHeader is forwarded, since nodes send it when they open a link.
	dataCentreHeader = "Cassiatally-Data-Centre"
)

// Mode selects how answers are altered.
type Mode string

const (
	// ModePass forwards answers unchanged, after those that were held back.
	ModePass Mode = "pass"
	// ModeDouble forwards each answer twice.
	ModeDouble Mode = "double"
	// ModeLate holds an answer back until the next two have arrived, and forwards it
	// after them.
	ModeLate Mode = "late"
	// ModeCross holds an answer back until the next one arrives, forwards a copy of
	// each with the id of the other, and then both unchanged.
	ModeCross Mode = "cross"
	// ModeSwap holds an answer back until the next one arrives and forwards each with
	// the id of the other.
	ModeSwap Mode = "swap"
)

// Valid reports whether the mode is defined.
func (m Mode) Valid() bool {
	switch m {
	case ModePass, ModeDouble, ModeLate, ModeCross, ModeSwap:
		return true
	}
	return false
}

// Direction selects the direction of a link that a change applies to.
type Direction string

const (
	// DirectionBoth selects both directions.
	DirectionBoth Direction = ""
	// DirectionUp selects frames towards the target.
	DirectionUp Direction = "up"
	// DirectionDown selects frames from the target.
	DirectionDown Direction = "down"
)

// Valid reports whether the direction is defined.
func (d Direction) Valid() bool {
	return d == DirectionBoth || d == DirectionUp || d == DirectionDown
}

// Change describes a change of the faults.
type Change struct {
	// Answers is the new mode; empty keeps the current one.
	Answers Mode
	// HoldSheet holds back the next sheet record in each direction of a link until
	// the next change; later sheet records overtake it.
	HoldSheet bool
	// Direction limits the change to one direction.
	Direction Direction
	// Peer limits the change to the open links that this node opened. It does not
	// apply to links that are opened later.
	Peer cassiatally.NodeID
	// Target is the target of new links; empty keeps the current one.
	Target cassiatally.Address
}

// Status is the state of a proxy. Mixed counts the answers that were duplicated,
// held back or given the id of another call, and the sheets that were held back.
type Status struct {
	Target cassiatally.Address
	Links  int
	Mixed  uint64
}

// Proxy listens on one address and forwards its links to one target.
type Proxy struct {
	Listen string
	// Target is the initial target.
	Target cassiatally.Address

	listener net.Listener
	server   *http.Server
	// dialer sends the requests that open links to the target.
	dialer *http.Client
	codec  *protocol.Codec
	owner  *owner.Owner[state]
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// state is owned by the duty of the proxy.
type state struct {
	target   cassiatally.Address
	up, down faults
	links    map[*link]struct{}
	mixed    uint64
}

// faults are the faults of one direction.
type faults struct {
	answers   Mode
	holdSheet bool
}

// withChange returns the faults after a change.
func (f faults) withChange(c Change) faults {
	f.holdSheet = c.HoldSheet
	if c.Answers != "" {
		f.answers = c.Answers
	}
	return f
}

// Start listens and accepts links until Close.
func (p *Proxy) Start(ctx context.Context) error {
	codec, err := protocol.New()
	if err != nil {
		return err
	}
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", p.Listen)
	if err != nil {
		return errors.Wrapf(err, "listening on %s", p.Listen)
	}
	p.codec, p.listener = codec, listener
	p.dialer = &http.Client{Transport: &roundtripper.RoundTripper{Transport: &http.Transport{DisableKeepAlives: true}}}
	p.ctx, p.cancel = context.WithCancel(context.WithoutCancel(ctx))
	p.owner = owner.New(&state{
		target: p.Target, up: faults{answers: ModePass}, down: faults{answers: ModePass}, links: make(map[*link]struct{}),
	}, inboxCapacity)
	mux := http.NewServeMux()
	mux.HandleFunc(linkPath, p.accept)
	p.server = &http.Server{Handler: mux, ReadHeaderTimeout: dialTimeout, BaseContext: func(net.Listener) context.Context { return p.ctx }}
	p.wg.Go(func() { _ = p.server.Serve(listener) })
	return nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() cassiatally.Address {
	return cassiatally.Address(p.listener.Addr().String())
}

// Close closes all links and waits for all duties.
func (p *Proxy) Close() {
	_ = p.server.Close()
	p.cancel()
	p.wg.Wait()
	p.owner.Close()
}

// Apply changes the faults.
func (p *Proxy) Apply(ctx context.Context, c Change) error {
	var links []*link
	err := p.owner.Do(ctx, func(s *state) {
		if c.Target != "" {
			s.target = c.Target
		}
		if c.Answers == "" && !c.HoldSheet {
			return
		}
		if c.Peer == "" {
			s.setFaults(c)
		}
		for l := range s.links {
			links = append(links, l)
		}
	})
	for _, l := range links {
		l.apply(c)
	}
	return err
}

func (s *state) setFaults(c Change) {
	if c.Direction != DirectionDown {
		s.up = s.up.withChange(c)
	}
	if c.Direction != DirectionUp {
		s.down = s.down.withChange(c)
	}
}

// Status returns the state of the proxy.
func (p *Proxy) Status(ctx context.Context) (Status, error) {
	var status Status
	err := p.owner.Do(ctx, func(s *state) {
		status = Status{Target: s.target, Links: len(s.links), Mixed: s.mixed}
		for l := range s.links {
			status.Mixed += l.mixed()
		}
	})
	return status, err
}

func (p *Proxy) accept(w http.ResponseWriter, r *http.Request) {
	p.wg.Add(1)
	defer p.wg.Done()
	near, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		// Accept has already written the HTTP error.
		return
	}
	defer func() { _ = near.CloseNow() }()
	ctx := r.Context()
	l := newLink(ctx, p.codec)
	defer l.cancel()
	target, err := p.register(ctx, l)
	if err != nil {
		return
	}
	defer p.unregister(ctx, l)
	far, err := p.dial(ctx, target, r.Header.Get(dataCentreHeader))
	if err != nil {
		return
	}
	defer func() { _ = far.CloseNow() }()
	l.run(near, far)
}

// register adds the link to the state, so that later changes apply to it, and
// returns the target.
func (p *Proxy) register(ctx context.Context, l *link) (target cassiatally.Address, err error) {
	err = p.owner.Do(ctx, func(s *state) {
		target = s.target
		l.up.faults, l.down.faults = s.up, s.down
		s.links[l] = struct{}{}
	})
	return target, err
}

func (p *Proxy) unregister(ctx context.Context, l *link) {
	// The owner outlives all links, so the operation is always applied.
	_ = p.owner.Do(context.WithoutCancel(ctx), func(s *state) {
		delete(s.links, l)
		s.mixed += l.mixed()
	})
}

func (p *Proxy) dial(ctx context.Context, target cassiatally.Address, dataCentre string) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, resp, err := websocket.Dial(ctx, "ws://"+string(target)+linkPath, &websocket.DialOptions{
		HTTPClient:      p.dialer,
		CompressionMode: websocket.CompressionDisabled,
		HTTPHeader:      http.Header{dataCentreHeader: {dataCentre}},
	})
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	return conn, errors.Wrapf(err, "opening a link to %s", target)
}
