// Package introducer is the duty by which the nodes of a fleet find each other: it
// saves where this node is in a store that all nodes reach, and loads where the
// others are. Gossip does the rest, so that the store is read and written once at
// the start of a node, and read again while the node is alone.
//
// # Usage
//
//	i := &introducer.Introducer{Store: store, Self: member, Alone: alone, Found: found, Logger: logs}
//	i.Run()
//	defer i.Close()
package introducer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	// callTimeout bounds a call to the store.
	callTimeout = time.Second
	// retryPause is the pause after a call that failed. A node that starts while the
	// store is away has to be found within two seconds of its return.
	retryPause = 500 * time.Millisecond
	// lookEvery is how often a node that has been introduced checks whether it is alone.
	lookEvery = 3 * time.Second
)

// settlePauses are the times between the first looks whether the node is alone. Of
// the nodes that start together, the first loads before any other has saved where it
// is. Those that found one another tell the rest by gossip.
var settlePauses = []time.Duration{300 * time.Millisecond, 1500 * time.Millisecond}

// Introducer is the duty. Its fields are set before Run.
type Introducer struct {
	Store cassiatally.MemberStore
	Self  cassiatally.Member
	// Alone reports whether the node knows no live member besides itself.
	Alone func() bool
	// Found takes the members that the store knows; it must not block.
	Found  func([]cassiatally.Member)
	Logger cassiatally.Logger

	running sync.WaitGroup
	cancel  context.CancelFunc
}

// Run starts the duty.
func (i *Introducer) Run() {
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
	if !i.enrol(ctx) {
		return
	}
	for _, pause := range settlePauses {
		if !wait(ctx, pause) {
			return
		}
		if i.Alone() {
			_, _ = i.load(ctx)
		}
	}
	for wait(ctx, lookEvery) {
		if i.Alone() {
			_, _ = i.load(ctx)
		}
	}
}

// enrol loads the members and saves this one unless it is known at its address.
func (i *Introducer) enrol(ctx context.Context) bool {
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
		if !wait(ctx, retryPause) {
			return false
		}
	}
}

func (i *Introducer) isSelf(m cassiatally.Member) bool {
	return m.Ref.Node == i.Self.Ref.Node && m.Address == i.Self.Address && m.DataCentre == i.Self.DataCentre
}

func (i *Introducer) load(ctx context.Context) ([]cassiatally.Member, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	members, err := i.Store.Load(ctx)
	if err != nil {
		i.Logger.Warn("members not loaded", "error", err)
		return nil, err
	}
	i.Logger.Info("members loaded", "count", len(members))
	i.Found(members)
	return members, nil
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

// wait returns false when ctx ends first.
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
