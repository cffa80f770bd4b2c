// Package instancekeeper is the duty that tracks the backend server of the node's host:
// which instance is behind its address, and in which state.
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
	"github.com/cassiatally/cassiatally/cassiatally/recoverer"
	"github.com/cassiatally/cassiatally/cassiatally/ring"
)

const (
	inboxSize    = 64
	tickInterval = time.Second
	probeTimeout = time.Second
	// acceptAfterReports is the number of reports after which a restarted node accepts an
	// instance that no health check has confirmed.
	acceptAfterReports = 3
	// maxStartupProbes bounds the health checks that a restarted node makes without a
	// report.
	maxStartupProbes = 5
)

// Keeper is the duty. Its fields are set before Run.
type Keeper struct {
	Tracker *instancetracker.Tracker
	Clock   cassiatally.Clock
	Backend cassiatally.BackendGate
	Prober  cassiatally.BackendProber
	Logger  cassiatally.Logger
	// Service and Address are those of the backend server in the settings.
	Service cassiatally.Service
	Address cassiatally.Address
	// Restarted is set if the host ran a node before. The backend server may then be
	// running, and its reports to the earlier node are lost.
	Restarted bool

	inbox   *ring.Ring[event]
	duty    looper.Looper[event]
	checks  sync.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc
	routes  *matcher.Matcher
	service atomic.Pointer[cassiatally.Service]
	// confirmed is the last instance that was confirmed since the node started.
	// unconfirmed counts the reports of each instance that was not.
	confirmed cassiatally.InstanceID
	// confirmedAddress is where the last health check that succeeded was made.
	confirmedAddress cassiatally.Address
	unconfirmed      map[cassiatally.InstanceID]int
	// startupProbes counts the health checks that were made without a report, and
	// startupProbing is set while one of them is in progress.
	startupProbes  int
	startupProbing bool
	// pending is the last report that was not accepted because its instance has to be
	// confirmed by a health check first.
	pending cassiatally.InstanceReport
}

type event interface {
	apply(k *Keeper, now cassiatally.Instant)
}

type (
	reportEvent struct {
		report cassiatally.InstanceReport
		done   chan bool
	}
	deregisterEvent struct {
		id   cassiatally.InstanceID
		done chan bool
	}
	routesEvent struct{ routes *matcher.Matcher }
	expectEvent struct {
		service cassiatally.Service
		address cassiatally.Address
	}
	probeEvent struct {
		address cassiatally.Address
		health  cassiatally.BackendHealth
		err     error
	}
)

// Run starts the duty.
func (k *Keeper) Run() {
	k.ctx, k.cancel = context.WithCancel(context.Background())
	k.inbox = ring.New[event](inboxSize, ring.Wait)
	k.unconfirmed = make(map[cassiatally.InstanceID]int)
	service := k.Service
	k.service.Store(&service)
	k.duty = looper.Looper[event]{
		Clock:     k.Clock,
		Recoverer: &recoverer.Recoverer{Logger: k.Logger, Duty: "instancekeeper"},
		Inbox:     k.inbox,
		Handle:    func(now cassiatally.Instant, e event) { e.apply(k, now) },
		Tick:      func(cassiatally.Instant) { k.probeExpected() },
		Interval:  tickInterval,
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

// Report queues the report of an instance and waits until it is processed. It returns
// false when the report is refused or could not be put in force.
func (k *Keeper) Report(ctx context.Context, r cassiatally.InstanceReport) bool {
	done := make(chan bool, 1)
	return k.inbox.Push(ctx, reportEvent{report: r, done: done}) && await(ctx, done)
}

// Deregister queues the departure of an instance and waits until it is processed.
func (k *Keeper) Deregister(ctx context.Context, id cassiatally.InstanceID) bool {
	done := make(chan bool, 1)
	return k.inbox.Push(ctx, deregisterEvent{id: id, done: done}) && await(ctx, done)
}

// Expect queues a change of the service and the address in the settings.
func (k *Keeper) Expect(s cassiatally.Service, a cassiatally.Address) {
	k.inbox.Push(k.ctx, expectEvent{service: s, address: a})
}

// SetRoutes queues the routes in force.
func (k *Keeper) SetRoutes(m *matcher.Matcher) { k.inbox.Push(k.ctx, routesEvent{routes: m}) }

func await(ctx context.Context, done chan bool) bool {
	select {
	case inForce := <-done:
		return inForce
	case <-ctx.Done():
		return false
	}
}

func (e reportEvent) apply(k *Keeper, now cassiatally.Instant) {
	defer close(e.done)
	r := e.report
	if reason := k.refusal(r); reason != "" {
		k.Logger.Warn("instance report refused", "reason", reason, "instance", r.Instance, "service", r.Service, "address", r.Address, "sequence", r.Sequence)
		return
	}
	if !k.inPlace(r) && !k.knowsService(r.Service) {
		// It is acknowledged, since it gets no work. The one in place may outlive its
		// service, and has to be able to leave.
		k.Logger.Warn("instance report of a service that the routes do not name", "instance", r.Instance, "service", r.Service, "version", k.routes.Table().Version)
		e.done <- true
		return
	}
	if k.mustBeConfirmed(r) {
		e.done <- true
		return
	}
	e.done <- k.use(now, r)
}

// use passes a report on and returns whether what it states is in force.
func (k *Keeper) use(now cassiatally.Instant, r cassiatally.InstanceReport) bool {
	before, _ := k.Tracker.Current()
	if !k.Tracker.Observe(now, r) {
		k.Logger.Debug("instance report not used", "instance", r.Instance, "sequence", r.Sequence, "state", r.State, "in_place", before.Instance)
		// The executor may have had no room for the same statement in an earlier report.
		return before.Instance != r.Instance || before.State != cassiatally.EndpointDraining || k.announce(0)
	}
	if before.Instance != r.Instance || before.State != r.State || before.StartedMs != r.StartedMs {
		k.Logger.Info("instance in place", "instance", r.Instance, "service", r.Service, "state", r.State, "sequence", r.Sequence, "before", before.Instance)
	}
	return k.announce(0)
}

// mustBeConfirmed reports whether a report of a ready instance may not be used yet. After
// a restart of the node it may have been sent before the instance deregistered at the
// earlier node, so that a health check or repeated reports have to confirm it.
func (k *Keeper) mustBeConfirmed(r cassiatally.InstanceReport) bool {
	if !k.Restarted || r.State != cassiatally.EndpointReady || r.Instance == k.confirmed {
		return false
	}
	k.unconfirmed[r.Instance]++
	if k.unconfirmed[r.Instance] >= acceptAfterReports {
		k.confirmed = r.Instance
		return false
	}
	k.pending = r
	k.probe(r.Address, r.Service)
	return true
}

func (e deregisterEvent) apply(k *Keeper, now cassiatally.Instant) {
	defer close(e.done)
	if k.Tracker.RecordLeave(now, e.id) {
		k.Logger.Info("instance left", "instance", e.id)
		k.Backend.Withdraw()
	}
	e.done <- true
}

func (e routesEvent) apply(k *Keeper, _ cassiatally.Instant) {
	first := k.routes == nil
	k.routes = e.routes
	if r, ok := k.Tracker.Current(); ok && first && !k.knowsService(r.Service) {
		k.Logger.Warn("instance dropped, since the routes do not name its service", "instance", r.Instance, "service", r.Service)
		k.Tracker.Discard()
	}
	k.probeExpected()
	k.announce(0)
}

// probeExpected checks, after a restart, the health of the backend server in the
// settings until there is a current instance. It repeats the check, since one may fail
// because the backend server is still starting or the check has to wait for a slot.
func (k *Keeper) probeExpected() {
	_, hasCurrent := k.Tracker.Current()
	if !k.Restarted || hasCurrent || k.startupProbing || k.routes == nil || k.startupProbes >= maxStartupProbes {
		return
	}
	if k.probe(k.Address, k.Service) {
		k.startupProbes++
		k.startupProbing = true
	}
}

func (e expectEvent) apply(k *Keeper, _ cassiatally.Instant) {
	k.Service, k.Address = e.service, e.address
	if _, hasCurrent := k.Tracker.Current(); !hasCurrent {
		service := e.service
		k.service.Store(&service)
	}
}

// announce announces the current instance to the executor, with the number of requests of
// an earlier node that it has. It returns false when the executor has no room for the
// announcement.
func (k *Keeper) announce(occupancy cassiatally.Concurrency) bool {
	r, ok := k.Tracker.Current()
	if !ok || k.routes == nil {
		return true
	}
	spec, _ := k.routes.Table().Service(r.Service)
	k.service.Store(&r.Service)
	return k.Backend.Announce(cassiatally.Announcement{
		Address:   r.Address,
		Instance:  r.Instance,
		StartedMs: r.StartedMs,
		Endpoint:  cassiatally.Endpoint{Service: r.Service, Slots: r.Slots, Connections: spec.Connections, State: r.State},
		Occupancy: occupancy,
	})
}

// probe starts a health check. It returns false when there is no address, or when the
// routes in force do not have the service.
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
		k.inbox.Push(k.ctx, probeEvent{address: a, health: h, err: err})
	})
	return true
}

func (e probeEvent) apply(k *Keeper, now cassiatally.Instant) {
	k.startupProbing = false
	k.Logger.Info("health check of the backend server", "instance", e.health.Instance, "healthy", e.health.Healthy, "error", e.err)
	if e.err != nil || !e.health.Healthy || e.health.Instance == "" {
		return
	}
	k.confirmed = e.health.Instance
	k.confirmedAddress = e.address
	if _, hasCurrent := k.Tracker.Current(); hasCurrent {
		return
	}
	r := k.pending
	if r.Instance != e.health.Instance {
		if !k.Restarted || e.address != k.Address {
			return
		}
		r = cassiatally.InstanceReport{
			Instance: e.health.Instance, Service: k.Service, Address: k.Address, Slots: e.health.Slots, State: cassiatally.EndpointReady,
		}
	}
	if r.Slots == 0 {
		// Not all backend servers report their slots in the health check. Without them
		// nothing would limit the calls in flight before the next report.
		return
	}
	if k.Tracker.Observe(now, r) {
		k.announce(remainingOccupancy(e.health))
	}
}

// remainingOccupancy returns the number of requests that a health check found at the
// backend server before this node sent any. It counts only where the backend server states
// a slowdown: those hang when they get more than they can run and queue.
func remainingOccupancy(h cassiatally.BackendHealth) cassiatally.Concurrency {
	if h.Slowdown == 0 {
		return 0
	}
	return h.Occupancy
}
