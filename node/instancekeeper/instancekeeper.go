// Package instancekeeper is the duty that knows the backend server of the node's
// host: which instance is behind its address, and in which state.
//
// # Usage
//
//	k := &instancekeeper.Keeper{Tracker: tracker, Clock: clock, Backend: executor, Prober: prober, ...}
//	k.Run()
//	defer k.Close()
//	acknowledged := k.Report(ctx, report)
package instancekeeper

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/instancetracker"
	"github.com/cassiatally/cassiatally/cassiatally/looper"
	"github.com/cassiatally/cassiatally/cassiatally/matcher"
	"github.com/cassiatally/cassiatally/cassiatally/ring"
)

const (
	inboxSize    = 64
	tickEvery    = time.Second
	probeTimeout = time.Second
	// trustAfter is the number of reports after which a node that was restarted
	// believes an instance whose health check does not confirm it.
	trustAfter = 3
	// mostProbes bounds the health checks after a restart that no report asked for.
	mostProbes = 5
)

// Keeper is the duty. Its fields are set before Run.
type Keeper struct {
	Tracker *instancetracker.Tracker
	Clock   cassiatally.Clock
	Backend cassiatally.BackendGate
	Prober  cassiatally.BackendProber
	Logger  cassiatally.Logger
	// Service and Address are where the settings expect the backend server.
	Service cassiatally.Service
	Address cassiatally.Address
	// Restarted tells that the host ran a node before. The backend server may then
	// be running, and what it told the earlier node is not known.
	Restarted bool

	inbox   *ring.Ring[event]
	duty    looper.Looper[event]
	checks  sync.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc
	routes  *matcher.Matcher
	service atomic.Pointer[cassiatally.Service]
	// confirmed is the instance that was confirmed since the node started, and doubt
	// counts the reports of one that was not.
	confirmed cassiatally.InstanceID
	doubt     map[cassiatally.InstanceID]int
	// probes counts the health checks that no report asked for, and probing is set
	// while one of them is under way.
	probes  int
	probing bool
	// pending is the last report that waits for the health check.
	pending cassiatally.InstanceReport
}

type event interface {
	apply(k *Keeper, now cassiatally.Instant)
}

type (
	reportEvent struct {
		report cassiatally.InstanceReport
		done   chan struct{}
	}
	leftEvent struct {
		id   cassiatally.InstanceID
		done chan struct{}
	}
	routesEvent struct{ routes *matcher.Matcher }
	expectEvent struct {
		service cassiatally.Service
		address cassiatally.Address
	}
	probeEvent struct {
		health cassiatally.BackendHealth
		err    error
	}
)

// Run starts the duty.
func (k *Keeper) Run() {
	k.ctx, k.cancel = context.WithCancel(context.Background())
	k.inbox = ring.New[event](inboxSize, ring.Wait)
	k.doubt = make(map[cassiatally.InstanceID]int)
	service := k.Service
	k.service.Store(&service)
	k.duty = looper.Looper[event]{
		Clock:    k.Clock,
		Inbox:    k.inbox,
		Handle:   func(now cassiatally.Instant, e event) { e.apply(k, now) },
		Tick:     func(cassiatally.Instant) { k.probeExpected() },
		Interval: tickEvery,
	}
	k.duty.Run()
}

// Close stops the duty and waits for it and its health checks.
func (k *Keeper) Close() {
	k.cancel()
	k.checks.Wait()
	k.duty.Close()
}

// LocalService returns the service of the backend server of this host.
func (k *Keeper) LocalService() cassiatally.Service { return *k.service.Load() }

// Report hands over what an instance says about itself and waits until it is in
// force on this node.
func (k *Keeper) Report(ctx context.Context, r cassiatally.InstanceReport) bool {
	done := make(chan struct{})
	return k.inbox.Push(ctx, reportEvent{report: r, done: done}) && await(ctx, done)
}

// Left hands over that an instance leaves and waits until that is in force.
func (k *Keeper) Left(ctx context.Context, id cassiatally.InstanceID) bool {
	done := make(chan struct{})
	return k.inbox.Push(ctx, leftEvent{id: id, done: done}) && await(ctx, done)
}

// Expect hands over where the settings expect the backend server.
func (k *Keeper) Expect(s cassiatally.Service, a cassiatally.Address) {
	k.inbox.Push(k.ctx, expectEvent{service: s, address: a})
}

// Routes hands over the routes in force.
func (k *Keeper) Routes(m *matcher.Matcher) { k.inbox.Push(k.ctx, routesEvent{routes: m}) }

func await(ctx context.Context, done chan struct{}) bool {
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

func (e reportEvent) apply(k *Keeper, now cassiatally.Instant) {
	defer close(e.done)
	if !k.believes(e.report) {
		return
	}
	before, _ := k.Tracker.Current()
	if !k.Tracker.Observe(now, e.report) {
		k.Logger.Debug("instance report not used", "instance", e.report.Instance, "sequence", e.report.Sequence, "state", e.report.State, "in_place", before.Instance)
		return
	}
	if before.Instance != e.report.Instance || before.State != e.report.State || before.StartedMs != e.report.StartedMs {
		k.Logger.Info("instance in place", "instance", e.report.Instance, "service", e.report.Service, "state", e.report.State, "sequence", e.report.Sequence, "before", before.Instance)
	}
	k.announce()
}

// believes reports whether a report may be used. A restarted node has to confirm a
// ready instance first, since the report may have been sent before the instance
// told the earlier node that it leaves.
func (k *Keeper) believes(r cassiatally.InstanceReport) bool {
	if !k.Restarted || r.State != cassiatally.EndpointReady || r.Instance == k.confirmed {
		return true
	}
	k.doubt[r.Instance]++
	if k.doubt[r.Instance] >= trustAfter {
		k.confirmed = r.Instance
		return true
	}
	k.pending = r
	k.probe(r.Address, r.Service)
	return false
}

func (e leftEvent) apply(k *Keeper, now cassiatally.Instant) {
	defer close(e.done)
	if k.Tracker.RecordLeave(now, e.id) {
		k.Logger.Info("instance left", "instance", e.id)
		k.Backend.Withdraw()
	}
}

func (e routesEvent) apply(k *Keeper, _ cassiatally.Instant) {
	k.routes = e.routes
	k.probeExpected()
	k.announce()
}

// probeExpected checks, after a restart, the health of the backend server that the
// settings expect, until one is known. A check may fail because it comes too early or
// waits for a slot.
func (k *Keeper) probeExpected() {
	_, known := k.Tracker.Current()
	if !k.Restarted || known || k.probing || k.routes == nil || k.probes >= mostProbes {
		return
	}
	if k.probe(k.Address, k.Service) {
		k.probes++
		k.probing = true
	}
}

func (e expectEvent) apply(k *Keeper, _ cassiatally.Instant) {
	k.Service, k.Address = e.service, e.address
	if _, known := k.Tracker.Current(); !known {
		service := e.service
		k.service.Store(&service)
	}
}

// announce passes the instance in place to the executor.
func (k *Keeper) announce() {
	r, ok := k.Tracker.Current()
	if !ok || k.routes == nil {
		return
	}
	spec, _ := k.routes.Table().Service(r.Service)
	k.service.Store(&r.Service)
	k.Backend.Announce(cassiatally.Announcement{
		Address:  r.Address,
		Instance: r.Instance,
		Endpoint: cassiatally.Endpoint{Service: r.Service, Slots: r.Slots, Connections: spec.Connections, State: r.State},
	})
}

// probe starts a health check and reports whether it could.
func (k *Keeper) probe(a cassiatally.Address, s cassiatally.Service) bool {
	if k.routes == nil {
		return false
	}
	spec, ok := k.routes.Table().Service(s)
	if !ok || a == "" {
		return false
	}
	k.checks.Go(func() {
		ctx, cancel := context.WithTimeout(k.ctx, probeTimeout)
		defer cancel()
		h, err := k.Prober.Probe(ctx, a, spec.HealthPath)
		k.inbox.Push(k.ctx, probeEvent{health: h, err: err})
	})
	return true
}

func (e probeEvent) apply(k *Keeper, now cassiatally.Instant) {
	k.probing = false
	k.Logger.Info("health check of the backend server", "instance", e.health.Instance, "healthy", e.health.Healthy, "error", e.err)
	if e.err != nil || !e.health.Healthy || e.health.Instance == "" {
		return
	}
	k.confirmed = e.health.Instance
	if _, known := k.Tracker.Current(); known {
		return
	}
	r := k.pending
	if r.Instance != e.health.Instance {
		r = cassiatally.InstanceReport{
			Instance: e.health.Instance, Service: k.Service, Address: k.Address, Slots: e.health.Slots, State: cassiatally.EndpointReady,
		}
	}
	if r.Slots == 0 {
		// Not all backend servers tell their slots here; without them nothing would bound
		// what is sent before the next report.
		return
	}
	if k.Tracker.Observe(now, r) {
		k.announce()
	}
}
