// Package supervisor builds a node from its settings: the duties, the rings that
// connect them, and the servers.
//
// # Usage
//
//	s := &supervisor.Supervisor{Settings: settings, Clock: clock, Logger: logger}
//	if err := s.Run(); err != nil { ... }
//	s.Drain(timeout)
//	s.Close()
package supervisor

import (
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/assigner"
	"github.com/cassiatally/cassiatally/cassiatally/claimer"
	"github.com/cassiatally/cassiatally/cassiatally/follower"
	"github.com/cassiatally/cassiatally/cassiatally/logclient"
	"github.com/cassiatally/cassiatally/cassiatally/protocol"
	"github.com/cassiatally/cassiatally/cassiatally/quarantiner"
	"github.com/cassiatally/cassiatally/cassiatally/registrar"
	"github.com/cassiatally/cassiatally/cassiatally/router"
	"github.com/cassiatally/cassiatally/cassiatally/runner"
	"github.com/cassiatally/cassiatally/cassiatally/settingsloader"
	"github.com/cassiatally/cassiatally/node/adminserver"
	"github.com/cassiatally/cassiatally/node/backendclient"
	"github.com/cassiatally/cassiatally/node/backendserver"
	"github.com/cassiatally/cassiatally/node/callerserver"
	"github.com/cassiatally/cassiatally/node/claimkeeper"
	"github.com/cassiatally/cassiatally/node/dispatcher"
	"github.com/cassiatally/cassiatally/node/executor"
	"github.com/cassiatally/cassiatally/node/linker"
	"github.com/cassiatally/cassiatally/node/logdriver"
	"github.com/cassiatally/cassiatally/node/loglimiter"
	"github.com/cassiatally/cassiatally/node/memberkeeper"
	"github.com/cassiatally/cassiatally/node/pausemeter"
	"github.com/cassiatally/cassiatally/node/reporter"
	"github.com/cassiatally/cassiatally/node/requestreader"
	"github.com/cassiatally/cassiatally/node/sampler"
	"github.com/cassiatally/cassiatally/node/sheetkeeper"
)

// outboxSize bounds the messages that wait to be written to one link.
const outboxSize = 1024

// Supervisor runs a complete node. Its fields are set before Run.
type Supervisor struct {
	Settings settingsloader.Settings
	Clock    cassiatally.Clock
	Logger   *log.Logger

	logs    *loglimiter.Limiter
	self    cassiatally.NodeRef
	origin  cassiatally.CallOrigin
	seq     atomic.Uint64
	leaving atomic.Bool

	codec      *protocol.Codec
	logClient  *logclient.Client
	links      *linker.Linker
	metrics    *reporter.Reporter
	members    *memberkeeper.Keeper
	sheets     *sheetkeeper.Keeper
	claims     *claimkeeper.Keeper
	pauses     *pausemeter.Meter
	dispatcher *dispatcher.Dispatcher
	executor   *executor.Executor
	callers    *callerserver.Server
	backend    *backendserver.Server
	admin      *adminserver.Server
	samples    *sampler.Sampler
	closers    []func()
}

// Run starts the node. On error it stops everything that has started.
func (s *Supervisor) Run() error {
	s.logs = loglimiter.New(s.Logger, s.Clock)
	s.self = cassiatally.NodeRef{
		Node: s.Settings.Node.ID,
		// From the time of day, so that a later incarnation is greater: gossip
		// recognises the latest one by that.
		Incarnation: cassiatally.Incarnation(s.Clock.Wall().UnixMicro()),
	}
	s.origin = cassiatally.CallOriginOf(s.self)
	steps := []func() error{
		s.buildBase, s.openLinks, s.buildRegistrar, s.startDuties, s.startServers,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			s.Close()
			return err
		}
	}
	return nil
}

// Close stops everything in the reverse order of the start.
func (s *Supervisor) Close() {
	for i := len(s.closers) - 1; i >= 0; i-- {
		s.closers[i]()
	}
	s.closers = nil
}

func (s *Supervisor) onClose(f func()) { s.closers = append(s.closers, f) }

// nextID returns a new id for a call. Ids of the claimer have the highest bit of Seq set.
func (s *Supervisor) nextID() cassiatally.CallID {
	return cassiatally.CallID{Origin: s.origin, Seq: s.seq.Add(1)}
}

// newRand returns a random source for one duty; duties must not share one.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func (s *Supervisor) buildBase() error {
	var err error
	if s.codec, err = protocol.New(); err != nil {
		return err
	}
	if s.metrics, err = reporter.New(s.Settings.Node.ID, s.Settings.Node.DataCentre); err != nil {
		return err
	}
	s.onClose(s.metrics.Close)
	logAddress := strings.TrimPrefix(s.Settings.Log.Address, "http://")
	s.logClient = &logclient.Client{Address: cassiatally.Address(logAddress), Timeout: s.Settings.Log.Timeout}
	s.onClose(s.logClient.Close)
	return nil
}

// openLinks builds the linker and the duties, and opens the listener for links.
func (s *Supervisor) openLinks() error {
	cfg := s.Settings
	s.links = &linker.Linker{
		Self:        s.self,
		DataCentre:  cfg.Node.DataCentre,
		Fleet:       cfg.Node.Fleet,
		Advertise:   cfg.Advertise.Links,
		Listen:      cfg.Listen.Links,
		Codec:       s.codec,
		Logger:      s.logs,
		Heartbeat:   cfg.Links.Heartbeat,
		DeadAfter:   cfg.Links.DeadAfter,
		RingSize:    outboxSize,
		AddressOf:   func(n cassiatally.NodeID) (cassiatally.Address, bool) { return s.members.AddressOf(n) },
		Inbound:     s.inbound,
		Lost:        func(peer cassiatally.NodeRef) { s.dispatcher.LinkLost(peer) },
		Responding:  func(peer cassiatally.NodeRef) { s.dispatcher.LinkResponding(peer) },
		NewDelay:    func() func(began, ended time.Time) time.Duration { return s.pauses.NewDelay() },
		Undelivered: func(to cassiatally.NodeID, m cassiatally.Message) { s.dispatcher.SendFailed(to, m) },
	}
	s.buildDuties()
	if err := s.links.OpenListener(); err != nil {
		return err
	}
	return nil
}

// buildDuties builds all duties before the first of them starts, since they refer to
// each other. The registrar, which the member keeper needs, is built later.
func (s *Supervisor) buildDuties() {
	s.members = &memberkeeper.Keeper{
		Clock:    s.Clock,
		Links:    s.links,
		Logger:   s.logs,
		OnView:   s.viewChanged,
		OnGossip: s.gossipReceived,
	}
	s.buildDispatcher()
	s.buildExecutor()
	s.buildKeepers()
}

func (s *Supervisor) buildDispatcher() {
	cfg := s.Settings
	balancer, loads, budget := routing(cfg, newRand())
	s.dispatcher = &dispatcher.Dispatcher{
		Balancer:  balancer,
		Loads:     loads,
		Clock:     s.Clock,
		Transport: s.links,
		Logger:    s.logs,
		Router: router.New(router.Config{
			Self:     s.self,
			Balancer: balancer,
			Budget:   budget,
			Loads:    loads,
			Shards:   func() cassiatally.ShardView { return s.claims.Shards() },
			NextID:   s.nextID,
		}),
	}
}

func (s *Supervisor) buildExecutor() {
	quarantine := quarantiner.New(s.self)
	admitter, limiter := admission(s.Settings)
	s.executor = &executor.Executor{
		Runner:      runner.New(s.self, admitter, limiter, quarantine, s.nextID),
		Quarantine:  quarantine,
		Clock:       s.Clock,
		Transport:   s.links,
		Requests:    requests{s.dispatcher},
		Backend:     &backendclient.Client{},
		Logger:      s.logs,
		OnEndpoint:  s.members.SetEndpoint,
		OnQueueWait: s.metrics.QueueWait,
	}
}

func (s *Supervisor) buildKeepers() {
	cfg := s.Settings
	dc := cfg.Node.DataCentre
	log := &logdriver.Driver{Log: s.logClient, Codec: s.codec}
	s.sheets = &sheetkeeper.Keeper{
		Self:      s.self,
		Follower:  follower.New(follower.Config{Self: s.self}, newRand()),
		Clock:     s.Clock,
		Transport: s.links,
		Log:       log,
		Codec:     s.codec,
		Logger:    s.logs,
		OnSheet:   s.sheetAdopted,
	}
	s.claims = &claimkeeper.Keeper{
		Self:       s.self,
		DataCentre: dc,
		Claimer:    claimer.New(s.self, dc, cfg.Keys.Shards),
		Assigner:   assigner.New(s.self, dc, cfg.Keys.Shards),
		Clock:      s.Clock,
		Rand:       newRand(),
		Transport:  s.links,
		Requests:   requests{s.dispatcher},
		Log:        log,
		Codec:      s.codec,
		Logger:     s.logs,
		NextID:     s.nextID,
		OnEpochs:   func(sum cassiatally.Epoch) { s.members.SetShardEpochs(sum) },
	}
}

// buildRegistrar builds the registrar, which needs the address that the kernel chose for
// links.
func (s *Supervisor) buildRegistrar() error {
	cfg := s.Settings
	s.members.Registrar = registrar.New(registrar.Config{
		Self:         s.self,
		DataCentre:   cfg.Node.DataCentre,
		Address:      s.links.Advertise,
		Seeds:        cfg.Seeds,
		Interval:     cfg.Gossip.Interval,
		SuspectAfter: cfg.Gossip.SuspectAfter,
		RemoveAfter:  cfg.Gossip.RemoveAfter,
	}, newRand())
	return nil
}

// startDuties starts all duties. Links come last, so that every duty runs before the
// first message arrives.
func (s *Supervisor) startDuties() error {
	s.members.Open()
	s.pauses = &pausemeter.Meter{Clock: s.Clock, Uptime: pausemeter.Uptime}
	s.pauses.Run()
	s.onClose(s.pauses.Close)
	s.dispatcher.Run()
	s.onClose(s.dispatcher.Close)
	s.executor.Run()
	s.onClose(s.executor.Close)
	s.sheets.Run()
	s.onClose(s.sheets.Close)
	s.claims.Run()
	s.onClose(s.claims.Close)
	s.members.Run()
	s.onClose(s.members.Close)
	s.links.Run()
	s.onClose(s.links.Close)
	return nil
}

func (s *Supervisor) startServers() error {
	cfg := s.Settings
	reader := requestreader.Reader{
		MaxBodyBytes:   int64(cfg.Requests.MaxBody),
		DefaultTimeout: cfg.Requests.DefaultTimeout,
		MaxTimeout:     cfg.Requests.MaxTimeout,
	}
	s.admin = &adminserver.Server{Listen: cfg.Listen.Admin, Status: s.Status, Metrics: s.metrics.Handler()}
	s.backend = &backendserver.Server{
		Listen: cfg.Listen.Backend, DataCentre: cfg.Node.DataCentre, Reader: reader, Clock: s.Clock,
		Executor: s.executor, Policies: s.sheets.Policies, NextID: s.nextID,
	}
	s.callers = &callerserver.Server{
		Listen: cfg.Listen.Callers, DataCentre: cfg.Node.DataCentre, Reader: reader, Clock: s.Clock,
		Requests: requests{s.dispatcher}, Keys: s.claims, Observer: s.metrics, Policies: s.sheets.Policies,
		NextID: s.nextID, Retries: cfg.Retries.PerRoot, MaxInFlight: cfg.Requests.MaxInFlight,
	}
	servers := []interface {
		Run() error
		Close()
	}{s.admin, s.backend, s.callers}
	for _, server := range servers {
		if err := server.Run(); err != nil {
			return err
		}
		s.onClose(server.Close)
	}
	s.samples = &sampler.Sampler{Clock: s.Clock, Status: s.Status, Metrics: s.metrics, AfterSample: s.logs.Flush}
	s.samples.Run()
	s.onClose(s.samples.Close)
	return nil
}

// Addresses are the addresses on which a node listens, with the ports that the kernel
// chose.
type Addresses struct {
	Callers, Backend, Links, Admin cassiatally.Address
}

// Addresses returns the addresses on which the node listens.
func (s *Supervisor) Addresses() Addresses {
	return Addresses{
		Callers: s.callers.Addr(), Backend: s.backend.Addr(), Links: s.links.Addr(), Admin: s.admin.Addr(),
	}
}

// requests adapts the dispatcher to the interfaces of its users.
type requests struct{ *dispatcher.Dispatcher }

// Submit passes a request to the dispatcher.
func (r requests) Submit(req cassiatally.Request, reply func(cassiatally.Answer)) bool {
	return r.Dispatcher.Submit(req, reply)
}

// QueryKey sends a key query through the dispatcher.
func (r requests) QueryKey(to cassiatally.NodeID, q cassiatally.KeyQuery, timeout time.Duration, reply func(cassiatally.Answer)) bool {
	return r.Dispatcher.QueryKey(to, q, timeout, reply)
}
