// Package introducer is the duty by which the nodes of a fleet discover each other: it
// saves this node with its address in a store that all nodes reach, and loads the other
// nodes. Further changes spread by gossip, so that a node reads and writes the store
// once at its start, and reads it again only while it is alone or after the store has lost
// records.
//
// # Usage
//
//	i := &introducer.Introducer{Store: store, Self: member, Alone: alone, OnLoad: merge, Logger: logs}
//	i.Run()
//	defer i.Close()
//	i.Reintroduce() // when the store may have lost the member
package introducer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/recoverer"
)

const (
	// callTimeout bounds a call to the store.
	callTimeout = time.Second
	// retryInterval is the time to the next call after a failed one. A node that starts
	// while the store is unavailable has to be discovered within two seconds of the
	// store's return.
	retryInterval = 500 * time.Millisecond
	// aloneCheckInterval is the time between checks whether the node is alone, after those
	// of earlyCheckIntervals.
	aloneCheckInterval = 3 * time.Second
)

// earlyCheckIntervals are the times before the first checks whether the node is alone.
// Of the nodes that start together, the first one loads the members before any other has
// saved its address. Nodes that have discovered each other spread that by gossip.
var earlyCheckIntervals = []time.Duration{300 * time.Millisecond, 1500 * time.Millisecond}

// Introducer is the duty. Its fields are set before Run.
type Introducer struct {
	Store cassiatally.MemberStore
	Self  cassiatally.Member
	// Alone reports whether the node has no live member other than itself in its member
	// table.
	Alone func() bool
	// OnLoad is called with the members in the store after each load; it must not block.
	OnLoad func([]cassiatally.Member)
	Logger cassiatally.Logger

	setUp   sync.Once
	again   chan struct{}
	running sync.WaitGroup
	cancel  context.CancelFunc
}

// Reintroduce makes the duty load the members again, and save this one again if the store
// no longer has it. It does not block.
func (i *Introducer) Reintroduce() {
	i.init()
	select {
	case i.again <- struct{}{}:
	default: // one that has not begun covers this one
	}
}

func (i *Introducer) init() {
	i.setUp.Do(func() { i.again = make(chan struct{}, 1) })
}

// Run starts the duty.
func (i *Introducer) Run() {
	i.init()
	ctx, cancel := context.WithCancel(context.Background())
	i.cancel = cancel
	i.running.Go(func() { i.introduce(ctx) })
}

// Close stops the duty and waits for it.
func (i *Introducer) Close() {
	i.cancel()
	i.running.Wait()
}

func (i *Introducer) introduce(ctx context.Context) {
	if !i.register(ctx) {
		return
	}
	for _, interval := range earlyCheckIntervals {
		if !i.check(ctx, interval) {
			return
		}
	}
	for i.check(ctx, aloneCheckInterval) {
	}
}

// check waits for an interval and then loads the members if the node is alone, or registers
// again as soon as that is asked for. It returns false when ctx ends first.
func (i *Introducer) check(ctx context.Context, interval time.Duration) bool {
	t := time.NewTimer(interval)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-i.again:
		return i.register(ctx)
	case <-t.C:
	}
	if i.Alone() {
		_, _ = i.load(ctx)
	}
	return true
}

// register loads the members, and saves this one unless the store has it with its
// current address and data centre. It repeats that after a failure.
func (i *Introducer) register(ctx context.Context) bool {
	for {
		members, err := i.load(ctx)
		if err == nil && slices.ContainsFunc(members, i.isSelf) {
			return true
		}
		if err == nil {
			err = i.save(ctx)
		}
		if err == nil {
			return true
		}
		if !wait(ctx, retryInterval) {
			return false
		}
	}
}

func (i *Introducer) isSelf(m cassiatally.Member) bool {
	return m.Ref.Node == i.Self.Ref.Node && m.Address == i.Self.Address && m.DataCentre == i.Self.DataCentre
}

func (i *Introducer) load(ctx context.Context) ([]cassiatally.Member, error) {
	members, err := i.readStore(ctx)
	if err != nil {
		i.Logger.Warn("members not loaded", "error", err)
		return nil, err
	}
	i.Logger.Info("members loaded", "count", len(members))
	i.OnLoad(members)
	return members, nil
}

// readStore loads the members. A record that cannot be processed is an error.
func (i *Introducer) readStore(ctx context.Context) (members []cassiatally.Member, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err = cassiatally.NewError(cassiatally.KindProtocol, "the records of the store could not be processed")
	r := recoverer.Recoverer{Logger: i.Logger, Duty: "introducer"}
	defer r.Recover()
	return i.Store.Load(ctx)
}

func (i *Introducer) save(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := i.Store.Save(ctx, i.Self)
	if err != nil {
		i.Logger.Warn("member not saved", "error", err)
	}
	return err
}

// wait waits for a duration. It returns false when ctx ends first.
func wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
