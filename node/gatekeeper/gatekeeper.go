// Package gatekeeper assembles the duties of a node that receives its callers, its
// backend server, its routes and the addresses of other nodes through interfaces. It
// runs what cassiatally-node runs except sheets and idempotency keys: a request enters
// at one node only, so nodes do not have to agree on it before it is run.
//
// # Usage
//
//	g := &gatekeeper.Gatekeeper{Settings: settings, Clock: clock, Logger: logger, Source: source, ...}
//	if err := g.Run(); err != nil { ... }
//	defer g.Close()
//	answer := g.Forward(ctx, inbound)
//	g.Drain(ctx, gatekeeper.DrainPlan{RefuseAfter: refuse, RecallAfter: recall, AnswerAfter: answer})
package gatekeeper

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/runner"
	"github.com/cassiatally/cassiatally/node/dispatcher"
	"github.com/cassiatally/cassiatally/node/executor"
	"github.com/cassiatally/cassiatally/node/forwarder"
	"github.com/cassiatally/cassiatally/node/instancekeeper"
	"github.com/cassiatally/cassiatally/node/introducer"
	"github.com/cassiatally/cassiatally/node/linker"
	"github.com/cassiatally/cassiatally/node/loglimiter"
	"github.com/cassiatally/cassiatally/node/memberkeeper"
	"github.com/cassiatally/cassiatally/node/pausemeter"
	"github.com/cassiatally/cassiatally/node/quotakeeper"
	"github.com/cassiatally/cassiatally/node/reporter"
	"github.com/cassiatally/cassiatally/node/routekeeper"
)

const (
	// keptAnswersDivisor sets the bound of the answers that are kept for senders, and of
	// those that wait to be written, as a part of the memory. Live bytes may take twice their
	// size between collections, so that each of the two takes a quarter at most.
	keptAnswersDivisor = 8
	// outboxSize bounds the messages that wait to be written to one link.
	outboxSize = 4096
	// When a data centre is cut off, requests in flight lose linkDeadAfter of their
	// deadlines, which are 400 ms to 6 s. Gossip has the timing of cassiatally-node.
	linkHeartbeat = 300 * time.Millisecond
	linkDeadAfter = time.Second
	// linkSilentAfter is one and a half heartbeats, so that a slightly late heartbeat is
	// tolerated. It leaves calls with deadlines of 400 to 700 ms time for another
	// endpoint.
	linkSilentAfter = linkHeartbeat * 3 / 2
	gossipInterval  = time.Second
	suspectAfter    = 3 * time.Second
	removeAfter     = 10 * time.Second
	// maxMissedHeartbeats is the number of missed heartbeats after which the announcement
	// of a backend server expires.
	maxMissedHeartbeats = 4
	flushInterval       = time.Second
	// answerGrace is for the answer of a backend server that ends a run at its deadline by
	// itself. It is shorter than routers wait for an answer after a deadline.
	answerGrace = 25 * time.Millisecond
	// reservedProportion is the fraction of its proportional share that is reserved for
	// each less urgent rank while capacity does not suffice for all.
	reservedProportion = 0.85
	// discoveryPeriod is how long after its start a node may not know all services. Gossip
	// completes its member table in a few rounds.
	discoveryPeriod = 5 * time.Second
	// usedSlots is the fraction of an endpoint's slots that is used. Some endpoints become
	// slower when they are nearly full, and then complete less than with a slot to spare.
	usedSlots = 0.95
	// remoteMargin keeps calls in their data centre while the endpoints there take less
	// than two and a half times as long as others. Endpoints of a service differ in speed
	// by a factor of two, and traffic between data centres costs more than that time.
	remoteMargin = 1.5
	// noSlowStart turns slow start off: nodes restart while their endpoints keep
	// running, and a cold endpoint is recognised by the run times of its first answers.
	noSlowStart time.Duration = -1
	// retrySlack is the number of retries per window that a node may send regardless of
	// its number of requests.
	retrySlack = 1
)

// Settings describe the host of a gatekeeper and bound its retries.
type Settings struct {
	Node       cassiatally.NodeID
	DataCentre cassiatally.DataCentre
	// Fleet is the fleet of the node. Links to nodes of other fleets are refused.
	Fleet cassiatally.Fleet
	// Links is the address on which the node accepts links of other nodes.
	Links cassiatally.Address
	// Advertise is the address at which other nodes reach Links; empty means Links.
	Advertise cassiatally.Address
	Seeds     []cassiatally.Address
	// Service and Backend are those of the backend server of this host.
	Service cassiatally.Service
	Backend cassiatally.Address
	// Heartbeat is the interval between reports of the backend server.
	Heartbeat time.Duration
	// Restarted is set when a node ran on this host before.
	Restarted bool
	// RetryRatio bounds the retries to a service, as a fraction of its requests within
	// RetryWindow.
	RetryRatio  float64
	RetryWindow time.Duration
	// Memory is that of the host for this process; 0 means a default for each bound.
	Memory cassiatally.ByteCount
}

// Gatekeeper is a node with its duties. Its fields are set before Run.
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
	metrics    *reporter.Reporter
	links      *linker.Linker
	members    *memberkeeper.Keeper
	dispatcher *dispatcher.Dispatcher
	executor   *executor.Executor
	routes     *routekeeper.Keeper
	instances  *instancekeeper.Keeper
	quotas     *quotakeeper.Keeper
	introducer *introducer.Introducer
	forwarder  *forwarder.Forwarder
	flusher    *flusher
	pauses     *pausemeter.Meter
	closers    []func()
}

// Run starts the node. On error it stops everything that has started.
func (g *Gatekeeper) Run() error {
	g.logs = loglimiter.New(g.Logger, g.Clock)
	g.self = cassiatally.NodeRef{
		Node: g.Settings.Node,
		// From the time of day, so that a later incarnation is greater: gossip
		// recognises the latest one by that.
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

// Close stops everything in the reverse order of the start.
func (g *Gatekeeper) Close() {
	for i := len(g.closers) - 1; i >= 0; i-- {
		g.closers[i]()
	}
	g.closers = nil
}

// Forward sends a front end's request into the mesh and returns its answer.
func (g *Gatekeeper) Forward(ctx context.Context, in cassiatally.Inbound) cassiatally.Answer {
	return g.forwarder.Forward(ctx, in)
}

// Idempotent reports whether a request for a host and target may run more than once.
func (g *Gatekeeper) Idempotent(host, target string) bool {
	routes, ok := g.routes.Routes()
	if !ok {
		return false
	}
	path, _, _ := strings.Cut(target, "?")
	route, ok := routes.Match(host, path)
	return ok && route.Idempotent
}

// Report records a report of the backend server, and returns true once it is in force.
func (g *Gatekeeper) Report(ctx context.Context, r cassiatally.InstanceReport) bool {
	return g.instances.Report(ctx, r)
}

// Deregister records that an instance of the backend server is leaving, and returns
// true once that is in force.
func (g *Gatekeeper) Deregister(ctx context.Context, id cassiatally.InstanceID) bool {
	return g.instances.Deregister(ctx, id)
}

// Reload sets the service and the address of the backend server of this host,
// which may change while the node runs.
func (g *Gatekeeper) Reload(s cassiatally.Service, a cassiatally.Address) { g.instances.Expect(s, a) }

// Reintroduce saves the member record of the node again if the store has lost it. Store may
// call it once Run has begun; it does not block.
func (g *Gatekeeper) Reintroduce() { g.introducer.Reintroduce() }

// Ready reports whether callers may use the node.
func (g *Gatekeeper) Ready() bool {
	_, ok := g.routes.Routes()
	return ok && !g.leaving.Load()
}

// Limits returns the request limits in force.
func (g *Gatekeeper) Limits() cassiatally.RequestLimits {
	if m, ok := g.routes.Routes(); ok {
		return m.Table().Limits
	}
	return cassiatally.RequestLimits{}
}

// Metrics serves the metrics of the node.
func (g *Gatekeeper) Metrics() http.Handler { return g.metrics.Handler() }

func (g *Gatekeeper) onClose(f func()) { g.closers = append(g.closers, f) }

func (g *Gatekeeper) nextID() cassiatally.CallID {
	return cassiatally.CallID{Origin: g.origin, Seq: g.seq.Add(1)}
}

// newRand returns a random source for one duty; duties must not share one.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// requests adapts the dispatcher to the interfaces of its users.
type requests struct{ *dispatcher.Dispatcher }

// Submit passes a request to the dispatcher.
func (r requests) Submit(req cassiatally.Request, reply func(cassiatally.Answer)) bool {
	return r.Dispatcher.Submit(req, reply)
}

// runs gives the forwarder access to the executor, which is built after it.
type runs struct{ g *Gatekeeper }

// BeginChild passes an onward call of the backend server to the executor.
func (r runs) BeginChild(c runner.ChildCall, reply func(cassiatally.Answer)) bool {
	return r.g.executor.BeginChild(c, reply)
}

// AbandonChild cancels an onward call for which the backend server does not wait any
// more.
func (r runs) AbandonChild(waiter cassiatally.CallID) { r.g.executor.AbandonChild(waiter) }

// noShards is the shard view of nodes that hold no idempotency keys.
type noShards struct{}

// HolderOf reports that the shard has no holder.
func (noShards) HolderOf(cassiatally.ShardRef) (cassiatally.NodeRef, cassiatally.Epoch, bool) {
	return cassiatally.NodeRef{}, 0, false
}
