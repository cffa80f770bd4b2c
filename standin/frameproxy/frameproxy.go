// Package frameproxy passes links between nodes on, frame by frame. It mixes up
// the answers on them and holds back a sheet. Frames of other types pass unchanged
// and in order.
//
// Up is the direction from the end that connects to the target, down the other
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
	"github.com/cassiatally/cassiatally/standin/owner"
)

const (
	inboxCapacity = 256
	dialTimeout   = 5 * time.Second
	linkPath      = "/v1/link"
	// dataCentreHeader is passed on, since nodes send it when they open a link.
	dataCentreHeader = "Cassiatally-Data-Centre"
)

// Mode tells what happens to answers.
type Mode string

const (
	// ModePass passes answers on, and first those that were held back.
	ModePass Mode = "pass"
	// ModeDouble passes each answer twice.
	ModeDouble Mode = "double"
	// ModeLate holds each answer back until two later ones have passed.
	ModeLate Mode = "late"
	// ModeCross holds an answer back until the next one, passes a copy of each with
	// the id of the other, and then both.
	ModeCross Mode = "cross"
	// ModeSwap holds an answer back until the next one and passes both with the id
	// of the other only.
	ModeSwap Mode = "swap"
)

// Valid reports whether the mode is known.
func (m Mode) Valid() bool {
	switch m {
	case ModePass, ModeDouble, ModeLate, ModeCross, ModeSwap:
		return true
	}
	return false
}

// Direction is that of the answers that a change is for.
type Direction string

const (
	// DirectionBoth is the empty value.
	DirectionBoth Direction = ""
	// DirectionUp is towards the target.
	DirectionUp Direction = "up"
	// DirectionDown is from the target.
	DirectionDown Direction = "down"
)

// Valid reports whether the direction is known.
func (d Direction) Valid() bool {
	return d == DirectionBoth || d == DirectionUp || d == DirectionDown
}

// Change is a change of what happens to answers.
type Change struct {
	// Answers is the new mode; empty keeps the one in force.
	Answers Mode
	// HoldSheet holds back the next sheet record in each direction of a link until
	// another change comes; later ones overtake it.
	HoldSheet bool
	// Direction limits the change to one direction.
	Direction Direction
	// Peer limits the change to the links that this node opened. Links that are
	// opened later are not changed.
	Peer cassiatally.NodeID
	// Target is where new links go from now on; empty keeps the target.
	Target cassiatally.Address
}

// Status is the state of a proxy. Mixed counts the answers that were doubled,
// held back or given the id of another call, and the sheets that were held back.
type Status struct {
	Target cassiatally.Address
	Links  int
	Mixed  uint64
}

// Proxy passes the links of one address on to one target.
type Proxy struct {
	Listen string
	// Target is where links go at first.
	Target cassiatally.Address

	listener net.Listener
	server   *http.Server
	codec    *protocol.Codec
	owner    *owner.Owner[state]
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// state is owned by the duty of the proxy.
type state struct {
	target   cassiatally.Address
	up, down faults
	links    map[*link]struct{}
	mixed    uint64
}

// faults are those of one direction.
type faults struct {
	answers   Mode
	holdSheet bool
}

// changed returns the faults after a change.
func (f faults) changed(c Change) faults {
	f.holdSheet = c.HoldSheet
	if c.Answers != "" {
		f.answers = c.Answers
	}
	return f
}

// Start listens and accepts until Close.
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

// Address returns the address on which the proxy accepts.
func (p *Proxy) Address() cassiatally.Address {
	return cassiatally.Address(p.listener.Addr().String())
}

// Close closes all links and waits for the end of all duties.
func (p *Proxy) Close() {
	_ = p.server.Close()
	p.cancel()
	p.wg.Wait()
	p.owner.Close()
}

// Apply changes what happens to answers.
func (p *Proxy) Apply(ctx context.Context, c Change) error {
	var told []*link
	err := p.owner.Do(ctx, func(s *state) {
		if c.Target != "" {
			s.target = c.Target
		}
		if c.Answers == "" && !c.HoldSheet {
			return
		}
		if c.Peer == "" {
			s.set(c)
		}
		for l := range s.links {
			told = append(told, l)
		}
	})
	for _, l := range told {
		l.apply(c)
	}
	return err
}

func (s *state) set(c Change) {
	if c.Direction != DirectionDown {
		s.up = s.up.changed(c)
	}
	if c.Direction != DirectionUp {
		s.down = s.down.changed(c)
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
		// Accept has written the HTTP error.
		return
	}
	defer func() { _ = near.CloseNow() }()
	ctx := r.Context()
	l := newLink(ctx, p.codec)
	defer l.cancel()
	target, err := p.admit(ctx, l)
	if err != nil {
		return
	}
	defer p.forget(ctx, l)
	far, err := dial(ctx, target, r.Header.Get(dataCentreHeader))
	if err != nil {
		return
	}
	defer func() { _ = far.CloseNow() }()
	l.run(near, far)
}

// admit has the duty take the link in, so that a later change reaches it.
func (p *Proxy) admit(ctx context.Context, l *link) (target cassiatally.Address, err error) {
	err = p.owner.Do(ctx, func(s *state) {
		target = s.target
		l.up.faults, l.down.faults = s.up, s.down
		s.links[l] = struct{}{}
	})
	return target, err
}

func (p *Proxy) forget(ctx context.Context, l *link) {
	// The owner outlives all links, so this always takes effect.
	_ = p.owner.Do(context.WithoutCancel(ctx), func(s *state) {
		delete(s.links, l)
		s.mixed += l.mixed()
	})
}

func dial(ctx context.Context, target cassiatally.Address, dataCentre string) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, resp, err := websocket.Dial(ctx, "ws://"+string(target)+linkPath, &websocket.DialOptions{
		CompressionMode: websocket.CompressionDisabled,
		HTTPHeader:      http.Header{dataCentreHeader: {dataCentre}},
	})
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	return conn, errors.Wrapf(err, "opening a link to %s", target)
}
