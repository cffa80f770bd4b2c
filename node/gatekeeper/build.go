package gatekeeper

import (
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/admitter"
	"github.com/cassiatally/cassiatally/cassiatally/balancer"
	"github.com/cassiatally/cassiatally/cassiatally/fixedlimiter"
	"github.com/cassiatally/cassiatally/cassiatally/granter"
	"github.com/cassiatally/cassiatally/cassiatally/instancetracker"
	"github.com/cassiatally/cassiatally/cassiatally/loadtracker"
	"github.com/cassiatally/cassiatally/cassiatally/matcher"
	"github.com/cassiatally/cassiatally/cassiatally/outcomekeeper"
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
	"github.com/cassiatally/cassiatally/node/memberkeeper"
	"github.com/cassiatally/cassiatally/node/pausemeter"
	"github.com/cassiatally/cassiatally/node/quotakeeper"
	"github.com/cassiatally/cassiatally/node/reporter"
	"github.com/cassiatally/cassiatally/node/routekeeper"
)

func (g *Gatekeeper) build() error {
	codec, err := protocol.New()
	if err != nil {
		return err
	}
	if g.metrics, err = reporter.New(g.Settings.Node, g.Settings.DataCentre); err != nil {
		return err
	}
	g.onClose(g.metrics.Close)
	g.links = &linker.Linker{
		Self:        g.self,
		DataCentre:  g.Settings.DataCentre,
		Fleet:       g.Settings.Fleet,
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
		Lost:        g.linkLost,
		Silent:      func(peer cassiatally.NodeRef) { g.dispatcher.LinkSilent(peer) },
		Responding:  func(peer cassiatally.NodeRef) { g.dispatcher.LinkResponding(peer) },
		NewDelay:    func() func(began, ended time.Time) time.Duration { return g.pauses.NewDelay() },
		Undelivered: g.undelivered,
	}
	if err := g.links.OpenListener(); err != nil {
		return err
	}
	g.buildMembers()
	g.buildQuotas()
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
		OnGossip: g.gossipReceived,
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

func (g *Gatekeeper) buildQuotas() {
	g.quotas = &quotakeeper.Keeper{
		Self:      cassiatally.QuotaCandidate{Node: g.self.Node, DataCentre: g.Settings.DataCentre, Address: g.links.Advertise},
		Clock:     g.Clock,
		Links:     g.links,
		AddressOf: g.members.AddressOf,
		Rand:      newRand(),
		Metrics:   g.metrics,
		Logger:    g.logs,
	}
}

func (g *Gatekeeper) buildDispatcher() {
	b := &balancer.Balancer{Rand: newRand(), DataCentre: g.Settings.DataCentre, RelativeMargin: remoteMargin, SlowStart: noSlowStart}
	loads := &loadtracker.Tracker{FairTenants: true}
	g.dispatcher = &dispatcher.Dispatcher{
		Balancer:  b,
		Loads:     loads,
		Clock:     g.Clock,
		Transport: g.links,
		Logger:    g.logs,
		Splitter:  splitter.New(newRand()),
		Router: router.New(router.Config{
			Self:     g.self,
			Balancer: b,
			Budget:   &windowbudgeter.Budgeter{Ratio: g.Settings.RetryRatio, Slack: retrySlack, Window: g.Settings.RetryWindow},
			Loads:    loads,
			Shards:   func() cassiatally.ShardView { return noShards{} },
			NextID:   g.nextID,
			// The nodes of a service differ in speed and queue length, and a call that one
			// of them refuses has not reached an endpoint.
			LoadRedirects: 1,
			Granted:       true,
			Discovery:     discoveryPeriod,
		}),
	}
	g.forwarder = &forwarder.Forwarder{
		Routes:       func() (*matcher.Matcher, bool) { return g.routes.Routes() },
		Requests:     requests{g.dispatcher},
		Runs:         runs{g},
		Clock:        g.Clock,
		Observer:     g.metrics,
		Logger:       g.logs,
		NextID:       g.nextID,
		Quotas:       g.quotas,
		LocalService: func() cassiatally.Service { return g.instances.LocalService() },
	}
}

func (g *Gatekeeper) buildExecutor() {
	quarantine := quarantiner.New(g.self)
	r := runner.New(g.self, &admitter.Admitter{Proportion: reservedProportion}, &fixedlimiter.Limiter{UseSlots: true, Fraction: usedSlots}, quarantine, g.nextID)
	r.Outcomes = &outcomekeeper.Keeper{MaxBytes: int64(g.Settings.Memory) / keptAnswersDivisor}
	r.Granter = &granter.Granter{Ratio: g.Settings.RetryRatio, Window: g.Settings.RetryWindow}
	g.executor = &executor.Executor{
		Runner:      r,
		Quarantine:  quarantine,
		Clock:       g.Clock,
		Transport:   g.links,
		Requests:    requests{g.dispatcher},
		Backend:     g.Backend,
		AnnounceTTL: maxMissedHeartbeats * g.Settings.Heartbeat,
		AnswerGrace: answerGrace,
		Logger:      g.logs,
		OnEndpoint:  g.members.SetEndpoint,
		OnQueueWait: g.metrics.QueueWait,
		OnNotice:    g.reportNotice,
		OnMachineLoad: func(m runner.MachineLoad) {
			g.metrics.Gauge("backend_slowdown", float64(m.Slowdown))
			g.metrics.Gauge("backend_detached_requests", float64(m.Detached))
		},

		UnsentAnswerBytes: g.links.UnsentAnswerBytes,
	}
}

// reportNotice sets the gauges of what the backend server states about itself. Without a
// rate limit the gauge is -1.
func (g *Gatekeeper) reportNotice(n cassiatally.Notice) {
	limit, leaving := -1.0, 0.0
	if n.RateLimited {
		limit = float64(n.RateLimit)
	}
	if n.Leaving {
		leaving = 1
	}
	g.metrics.Gauge("backend_rate_limit", limit)
	g.metrics.Gauge("backend_leaving", leaving)
}

// reportAnswerBytes sets the gauge of the answers that this node holds.
func (g *Gatekeeper) reportAnswerBytes() {
	g.metrics.Gauge("answer_bytes", float64(g.executor.Counts().KeptAnswerBytes+g.links.UnsentAnswerBytes()))
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
	g.flusher = &flusher{clock: g.Clock, flush: func() {
		g.logs.Flush()
		g.reportAnswerBytes()
	}}
	g.pauses = &pausemeter.Meter{Clock: g.Clock, Uptime: pausemeter.Uptime}
}

// start starts all duties; those that receive messages start before the links.
func (g *Gatekeeper) start() error {
	g.members.Open()
	g.quotas.Open()
	for _, d := range []interface {
		Run()
		Close()
	}{g.flusher, g.pauses, g.quotas, g.dispatcher, g.executor, g.instances, g.routes, g.members, g.links, g.introducer} {
		d.Run()
		g.onClose(d.Close)
	}
	return nil
}
