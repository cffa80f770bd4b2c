// Package gatekeeper assembles the duties of a node that takes its callers, its
// backend server, its routes and the places of other nodes through interfaces. It
// runs what cassiatally-node runs but for sheets and idempotency keys: a request
// enters at one node only, so that nothing has to be agreed before it is run.
//
// # Usage
//
//	g := &gatekeeper.Gatekeeper{Settings: settings, Clock: clock, Logger: logger, Routes: source, ...}
//	if err := g.Run(); err != nil { ... }
//	defer g.Close()
//	answer := g.Forward(ctx, inbound)
//	g.Drain(ctx)
package gatekeeper

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/admitter"
	"github.com/cassiatally/cassiatally/cassiatally/balancer"
	"github.com/cassiatally/cassiatally/cassiatally/fixedlimiter"
	"github.com/cassiatally/cassiatally/cassiatally/instancetracker"
	"github.com/cassiatally/cassiatally/cassiatally/loadtracker"
	"github.com/cassiatally/cassiatally/cassiatally/matcher"
	"github.com/cassiatally/cassiatally/cassiatally/protocol"
	"github.com/cassiatally/cassiatally/cassiatally/quarantiner"
	"github.com/cassiatally/cassiatally/cassiatally/registrar"
	"github.com/cassiatally/cassiatally/cassiatally/router"
	"github.com/cassiatally/cassiatally/cassiatally/runner"
	"github.com/cassiatally/cassiatally/cassiatally/splitter"
	"github.com/cassiatally/cassiatally/cassiatally/windowbudgeter"
	"github.com/cassiatally/cassiatally/node/dispatcher"
	"github.com/cassiatally/cassiatally/node/executor"
	"github.com/cassiatally/cassiatally/node/forwarder"
	"github.com/cassiatally/cassiatally/node/instancekeeper"
	"github.com/cassiatally/cassiatally/node/introducer"
	"github.com/cassiatally/cassiatally/node/linker"
	"github.com/cassiatally/cassiatally/node/loglimiter"
	"github.com/cassiatally/cassiatally/node/memberkeeper"
	"github.com/cassiatally/cassiatally/node/reporter"
	"github.com/cassiatally/cassiatally/node/routekeeper"
)

const (
	outboxSize = 4096
	// Requests in flight wait for linkDeadAfter when a data centre is cut off, of
	// deadlines of 400 ms to 6 s. The timing of gossip is that of cassiatally-node.
	linkHeartbeat = 300 * time.Millisecond
	linkDeadAfter = time.Second
	// linkSilentAfter is a heartbeat and half of one more, for a link on which one was
	// late. Calls of 400 to 700 ms have time left for another endpoint then.
	linkSilentAfter = linkHeartbeat * 3 / 2
	gossipInterval  = time.Second
	suspectAfter    = 3 * time.Second
	removeAfter     = 10 * time.Second
	// drainPoll is how often Drain looks whether the work in flight has ended.
	drainPoll = 20 * time.Millisecond
	// heartbeatsMissed is the number of reports of the backend server that may be
	// late before it counts as gone.
	heartbeatsMissed = 4
	flushEvery       = time.Second
	// keptProportion is how much less urgent work keeps in a shortage, as a part of its
	// proportional share.
	keptProportion = 0.85
	// farMargin keeps calls in their data centre while the endpoints there take less
	// than two and a half times as long as others. Endpoints of a service differ
	// twofold in speed, and bytes between data centres cost more than that time.
	farMargin = 1.5
	// noSlowStart: nodes start again beside endpoints that go on running, and a cold
	// endpoint shows its run times with its first answers.
	noSlowStart time.Duration = -1
	// retrySlack is the retries that a node may send in a window whatever its requests.
	retrySlack = 1
)

// Settings are what a gatekeeper has to know about its host.
type Settings struct {
	Node       cassiatally.NodeID
	DataCentre cassiatally.DataCentre
	// Links is where the node accepts links of other nodes.
	Links cassiatally.Address
	// Advertise is where other nodes reach Links; empty means Links.
	Advertise cassiatally.Address
	Seeds     []cassiatally.Address
	// Service and Backend are those of the backend server of this host.
	Service cassiatally.Service
	Backend cassiatally.Address
	// Heartbeat is how often the backend server reports.
	Heartbeat time.Duration
	// Restarted tells that a node ran on this host before.
	Restarted bool
	// RetryRatio bounds the retries to a service as a part of its requests.
	RetryRatio  float64
	RetryWindow time.Duration
}

// Gatekeeper runs the duties. Its fields are set before Run.
type Gatekeeper struct {
	Settings Settings
	Clock    cassiatally.Clock
	Logger   *log.Logger
	Source   cassiatally.RouteSource
	Store    cassiatally.MemberStore
	Backend  cassiatally.BackendClient
	Prober   cassiatally.BackendProber

	self       cassiatally.NodeRef
	origin     cassiatally.CallOrigin
	seq        atomic.Uint64
	leaving    atomic.Bool
	logs       *loglimiter.Limiter
	reports    *reporter.Reporter
	links      *linker.Linker
	members    *memberkeeper.Keeper
	dispatcher *dispatcher.Dispatcher
	executor   *executor.Executor
	routes     *routekeeper.Keeper
	instances  *instancekeeper.Keeper
	introducer *introducer.Introducer
	forwarder  *forwarder.Forwarder
	flusher    *flusher
	closers    []func()
}

// Run starts the node. After an error everything that had started is stopped.
func (g *Gatekeeper) Run() error {
	g.logs = loglimiter.New(g.Logger, g.Clock)
	g.self = cassiatally.NodeRef{
		Node: g.Settings.Node,
		// The time of day makes incarnations of a node grow, which gossip needs to
		// tell the latest one.
		Incarnation: cassiatally.Incarnation(g.Clock.Wall().UnixMicro()),
	}
	g.origin = cassiatally.CallOriginOf(g.self)
	for _, step := range []func() error{g.build, g.start} {
		if err := step(); err != nil {
			g.Close()
			return err
		}
	}
	return nil
}

// Close stops everything in the opposite order of the start.
func (g *Gatekeeper) Close() {
	for i := len(g.closers) - 1; i >= 0; i-- {
		g.closers[i]()
	}
	g.closers = nil
}

// Forward returns the answer to a request of a front end.
func (g *Gatekeeper) Forward(ctx context.Context, in cassiatally.Inbound) cassiatally.Answer {
	return g.forwarder.Forward(ctx, in)
}

// Report hands over what the backend server says about itself and waits until it
// is in force.
func (g *Gatekeeper) Report(ctx context.Context, r cassiatally.InstanceReport) bool {
	return g.instances.Report(ctx, r)
}

// Deregister hands over that an instance of the backend server leaves.
func (g *Gatekeeper) Deregister(ctx context.Context, id cassiatally.InstanceID) bool {
	return g.instances.Deregister(ctx, id)
}

// Reload takes over what may change while the node runs: where the backend server
// of this host is expected.
func (g *Gatekeeper) Reload(s cassiatally.Service, a cassiatally.Address) { g.instances.Expect(s, a) }

// Ready reports whether callers may use the node.
func (g *Gatekeeper) Ready() bool {
	_, ok := g.routes.Routes()
	return ok && !g.leaving.Load()
}

// Limits returns the limits of requests in force.
func (g *Gatekeeper) Limits() cassiatally.RequestLimits {
	if m, ok := g.routes.Routes(); ok {
		return m.Table().Limits
	}
	return cassiatally.RequestLimits{}
}

// Metrics serves the metrics of the node.
func (g *Gatekeeper) Metrics() http.Handler { return g.reports.Handler() }

// Drain tells other nodes that this one leaves, refuses new runs, and waits until
// the work in flight has ended, and at least as long as callers take to notice.
func (g *Gatekeeper) Drain(ctx context.Context, least time.Duration) {
	g.leaving.Store(true)
	g.members.Leave()
	g.executor.Leave()
	look := time.NewTicker(drainPoll)
	defer look.Stop()
	noticed := g.Clock.Now().Add(least)
	for {
		if g.Clock.Now().Reached(noticed) && g.idle() {
			return
		}
		select {
		case <-look.C:
		case <-ctx.Done():
			g.logs.Warn("drain not finished", "runs_in_flight", g.executor.Running(), "requests", g.forwarder.InFlight())
			return
		}
	}
}

func (g *Gatekeeper) idle() bool { return g.executor.Running() == 0 && g.forwarder.InFlight() == 0 }

func (g *Gatekeeper) onClose(f func()) { g.closers = append(g.closers, f) }

func (g *Gatekeeper) nextID() cassiatally.CallID {
	return cassiatally.CallID{Origin: g.origin, Seq: g.seq.Add(1)}
}

// newRand returns a source for one duty; sources are not shared between duties.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func (g *Gatekeeper) build() error {
	codec, err := protocol.New()
	if err != nil {
		return err
	}
	if g.reports, err = reporter.New(g.Settings.Node, g.Settings.DataCentre); err != nil {
		return err
	}
	g.onClose(g.reports.Close)
	g.links = &linker.Linker{
		Self:        g.self,
		DataCentre:  g.Settings.DataCentre,
		Listen:      g.Settings.Links,
		Advertise:   g.Settings.Advertise,
		Codec:       codec,
		Logger:      g.logs,
		Heartbeat:   linkHeartbeat,
		DeadAfter:   linkDeadAfter,
		SilentAfter: linkSilentAfter,
		RingSize:    outboxSize,
		AddressOf:   func(n cassiatally.NodeID) (cassiatally.Address, bool) { return g.members.AddressOf(n) },
		Inbound:     g.inbound,
		Lost:        func(peer cassiatally.NodeRef) { g.dispatcher.LinkLost(peer) },
		Silent:      func(peer cassiatally.NodeRef) { g.dispatcher.LinkSilent(peer) },
		Responding:  func(peer cassiatally.NodeRef) { g.dispatcher.LinkResponding(peer) },
		Undelivered: func(to cassiatally.NodeID, m cassiatally.Message) { g.dispatcher.SendFailed(to, m) },
	}
	if err := g.links.OpenListener(); err != nil {
		return err
	}
	g.buildMembers()
	g.buildDispatcher()
	g.buildExecutor()
	g.buildKeepers()
	return nil
}

func (g *Gatekeeper) buildMembers() {
	g.members = &memberkeeper.Keeper{
		Registrar: registrar.New(registrar.Config{
			Self:         g.self,
			DataCentre:   g.Settings.DataCentre,
			Address:      g.links.Advertise,
			Seeds:        g.Settings.Seeds,
			Interval:     gossipInterval,
			SuspectAfter: suspectAfter,
			RemoveAfter:  removeAfter,
		}, newRand()),
		Clock:    g.Clock,
		Links:    g.links,
		Logger:   g.logs,
		OnView:   g.viewChanged,
		OnGossip: g.gossiped,
	}
	g.introducer = &introducer.Introducer{
		Store: g.Store,
		Self: cassiatally.Member{
			Ref: g.self, DataCentre: g.Settings.DataCentre, Address: g.links.Advertise, Heartbeat: 1, Revision: 1,
		},
		Alone:  g.alone,
		OnLoad: g.members.MergeStored,
		Logger: g.logs,
	}
}

func (g *Gatekeeper) buildDispatcher() {
	b := &balancer.Balancer{Rand: newRand(), DataCentre: g.Settings.DataCentre, RelativeMargin: farMargin, SlowStart: noSlowStart}
	loads := &loadtracker.Tracker{}
	g.dispatcher = &dispatcher.Dispatcher{
		Balancer:  b,
		Loads:     loads,
		Clock:     g.Clock,
		Transport: g.links,
		Splitter:  splitter.New(newRand()),
		Router: router.New(router.Config{
			Self:     g.self,
			Balancer: b,
			Budget:   &windowbudgeter.Budgeter{Ratio: g.Settings.RetryRatio, Slack: retrySlack, Window: g.Settings.RetryWindow},
			Loads:    loads,
			Shards:   func() cassiatally.ShardView { return noShards{} },
			NextID:   g.nextID,
			// The gates of a service differ in speed and queue; a refusal by one costs no
			// arrival at an endpoint.
			LoadRedirects: 1,
		}),
	}
	g.forwarder = &forwarder.Forwarder{
		Routes:       func() (*matcher.Matcher, bool) { return g.routes.Routes() },
		Requests:     requests{g.dispatcher},
		Runs:         runs{g},
		Clock:        g.Clock,
		Observer:     g.reports,
		Logger:       g.logs,
		NextID:       g.nextID,
		LocalService: func() cassiatally.Service { return g.instances.LocalService() },
	}
}

func (g *Gatekeeper) buildExecutor() {
	quarantine := quarantiner.New(g.self)
	g.executor = &executor.Executor{
		Runner:      runner.New(g.self, &admitter.Admitter{Proportion: keptProportion}, &fixedlimiter.Limiter{UseSlots: true}, quarantine, g.nextID),
		Quarantine:  quarantine,
		Clock:       g.Clock,
		Transport:   g.links,
		Requests:    requests{g.dispatcher},
		Backend:     g.Backend,
		AnnounceTTL: heartbeatsMissed * g.Settings.Heartbeat,
		Logger:      g.logs,
		OnEndpoint:  g.members.SetEndpoint,
		OnQueueWait: g.reports.Wait,
	}
}

func (g *Gatekeeper) buildKeepers() {
	g.routes = &routekeeper.Keeper{
		Source:    g.Source,
		Clock:     g.Clock,
		Transport: g.links,
		Logger:    g.logs,
		OnTable:   g.tableInForce,
	}
	g.instances = &instancekeeper.Keeper{
		Tracker:   &instancetracker.Tracker{},
		Clock:     g.Clock,
		Backend:   g.executor,
		Prober:    g.Prober,
		Logger:    g.logs,
		Service:   g.Settings.Service,
		Address:   g.Settings.Backend,
		Restarted: g.Settings.Restarted,
	}
	g.flusher = &flusher{clock: g.Clock, flush: g.logs.Flush}
}

// start starts all duties before the first message can arrive.
func (g *Gatekeeper) start() error {
	g.members.Open()
	for _, d := range []interface {
		Run()
		Close()
	}{g.flusher, g.dispatcher, g.executor, g.instances, g.members, g.links, g.routes, g.introducer} {
		d.Run()
		g.onClose(d.Close)
	}
	return nil
}

// requests adapts the dispatcher to the interfaces of its users.
type requests struct{ *dispatcher.Dispatcher }

// Submit hands over a request.
func (r requests) Submit(req cassiatally.Request, reply func(cassiatally.Answer)) bool {
	return r.Dispatcher.Submit(req, reply)
}

// runs gives the forwarder the executor, which is built after it.
type runs struct{ g *Gatekeeper }

// Child hands over an onward call of the backend server.
func (r runs) BeginChild(c runner.ChildCall, reply func(cassiatally.Answer)) bool {
	return r.g.executor.BeginChild(c, reply)
}

// ChildGone tells that nobody waits for an onward call any more.
func (r runs) AbandonChild(waiter cassiatally.CallID) { r.g.executor.AbandonChild(waiter) }

// noShards is the shard view of nodes that hold no idempotency keys.
type noShards struct{}

// HolderOf returns no holder.
func (noShards) HolderOf(cassiatally.ShardRef) (cassiatally.NodeRef, cassiatally.Epoch, bool) {
	return cassiatally.NodeRef{}, 0, false
}
