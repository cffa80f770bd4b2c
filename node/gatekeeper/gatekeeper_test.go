package gatekeeper_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/sysclock"
	"github.com/cassiatally/cassiatally/node/gatekeeper"
)

// store keeps members and route tables in memory.
type store struct {
	mu      sync.Mutex
	members map[cassiatally.NodeID]cassiatally.Member
	table   cassiatally.RouteTable
	changed chan struct{}
}

func newStore() *store {
	return &store{members: make(map[cassiatally.NodeID]cassiatally.Member), changed: make(chan struct{})}
}

func (s *store) Load(context.Context) ([]cassiatally.Member, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []cassiatally.Member
	for _, m := range s.members {
		out = append(out, m)
	}
	return out, nil
}

func (s *store) Save(_ context.Context, m cassiatally.Member) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members[m.Ref.Node] = m
	return nil
}

func (s *store) publish(t cassiatally.RouteTable) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table = t
	close(s.changed)
	s.changed = make(chan struct{})
}

// source returns new tables of a store; one that is cut off returns none.
type source struct {
	store  *store
	cutOff bool
	last   cassiatally.Version
}

func (s *source) Next(ctx context.Context) (cassiatally.RouteTable, error) {
	for {
		s.store.mu.Lock()
		t, changed := s.store.table, s.store.changed
		s.store.mu.Unlock()
		if !s.cutOff && t.Version > s.last {
			s.last = t.Version
			return t, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return cassiatally.RouteTable{}, ctx.Err()
		}
	}
}

// backend runs calls with a function of the test.
type backend struct {
	run     func(ctx context.Context, c cassiatally.Call) cassiatally.RunResult
	healthy bool
	// omitSlots makes the health check omit the slots.
	omitSlots bool
	// failures is the number of health checks that fail before one succeeds.
	failures atomic.Int32
}

func (b *backend) Do(ctx context.Context, _ cassiatally.BackendTarget, c cassiatally.Call) cassiatally.RunResult {
	return b.run(ctx, c)
}

func (b *backend) Probe(context.Context, cassiatally.Address, string) (cassiatally.BackendHealth, error) {
	if b.failures.Add(-1) >= 0 {
		return cassiatally.BackendHealth{}, errors.New("no answer in time")
	}
	if b.omitSlots {
		return cassiatally.BackendHealth{Instance: "i-1", Healthy: b.healthy}, nil
	}
	return cassiatally.BackendHealth{Instance: "i-probed", Healthy: b.healthy, Slots: 8}, nil
}

// heldBackend is a backend server whose runs, while hold is set, last until release is
// closed.
type heldBackend struct {
	hold             atomic.Bool
	started, release chan struct{}
}

func newHeldBackend() *heldBackend {
	return &heldBackend{started: make(chan struct{}, 1), release: make(chan struct{})}
}

func (h *heldBackend) run(ctx context.Context, _ cassiatally.Call) cassiatally.RunResult {
	if h.hold.Load() {
		h.started <- struct{}{}
		select {
		case <-h.release:
		case <-ctx.Done():
		}
	}
	return answer("avail")
}

func answer(body string) cassiatally.RunResult {
	return cassiatally.RunResult{Kind: cassiatally.ResultAnswered, Status: 200, Body: []byte(body)}
}

func table(v cassiatally.Version) cassiatally.RouteTable {
	route := func(host string, s cassiatally.Service) cassiatally.Route {
		return cassiatally.Route{
			Name: cassiatally.WorkKind(host), Host: host, Prefix: "/", Idempotent: true, Attempts: 2,
			Services: []cassiatally.WeightedService{{Service: s, Weight: 1}},
		}
	}
	return cassiatally.RouteTable{
		Version:  v,
		Routes:   []cassiatally.Route{route("depot", "depot-svc"), route("avail", "avail-svc")},
		Services: []cassiatally.ServiceSpec{{Name: "depot-svc", Connections: 100}, {Name: "avail-svc", Connections: 100}},
	}
}

type fleet struct {
	store *store
	nodes []*gatekeeper.Gatekeeper
	// wall, when set, is the time of day of all nodes.
	wall time.Time
}

// fixedWall is a clock with a fixed time of day.
type fixedWall struct {
	cassiatally.Clock
	wall time.Time
}

func (c fixedWall) Wall() time.Time { return c.wall }

func (f *fleet) add(t testing.TB, s gatekeeper.Settings, b *backend, cutOff bool) *gatekeeper.Gatekeeper {
	t.Helper()
	s.Links, s.DataCentre, s.Heartbeat = "127.0.0.1:0", "here", time.Second
	s.RetryRatio, s.RetryWindow = 0.2, 10*time.Second
	var clock cassiatally.Clock = sysclock.New()
	if !f.wall.IsZero() {
		clock = fixedWall{clock, f.wall}
	}
	g := &gatekeeper.Gatekeeper{
		Settings: s, Clock: clock, Logger: log.New(io.Discard),
		Source: &source{store: f.store, cutOff: cutOff}, Store: f.store, Backend: b, Prober: b,
	}
	if err := g.Run(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	f.nodes = append(f.nodes, g)
	return g
}

func report(s cassiatally.Service, state cassiatally.EndpointState, seq uint64) cassiatally.InstanceReport {
	return cassiatally.InstanceReport{Instance: "i-1", StartedMs: 1, Sequence: seq, Service: s, Address: "127.0.0.1:1", Slots: 8, State: state}
}

func inbound(name cassiatally.RequestName, host string) cassiatally.Inbound {
	return cassiatally.Inbound{Name: name, Root: name, Host: host, Head: cassiatally.Head{Method: "GET", Target: "/x"}, Remaining: 5 * time.Second}
}

// eventually waits for a condition with a generous limit.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("not within 20 s: %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func served(g *gatekeeper.Gatekeeper, host string) func() bool {
	return func() bool {
		return g.Forward(context.Background(), inbound("probe", host)).Kind == cassiatally.KindNone
	}
}

// twoNodes starts an entry node for depot-svc and a node for avail-svc. Runs of
// depot-svc call avail-svc.
func twoNodes(t testing.TB, avail *backend) (*fleet, *gatekeeper.Gatekeeper, *gatekeeper.Gatekeeper) {
	return twoNodesWith(t, avail, func() {})
}

// twoNodesWith is twoNodes with a function that runs of depot-svc call before their
// onward call.
func twoNodesWith(t testing.TB, avail *backend, beforeOnward func()) (*fleet, *gatekeeper.Gatekeeper, *gatekeeper.Gatekeeper) {
	f := &fleet{store: newStore()}
	f.store.publish(table(3))
	depot := &backend{}
	a := f.add(t, gatekeeper.Settings{Node: "a", Service: "depot-svc"}, depot, false)
	b := f.add(t, gatekeeper.Settings{Node: "b", Service: "avail-svc"}, avail, false)
	depot.run = func(ctx context.Context, c cassiatally.Call) cassiatally.RunResult {
		beforeOnward()
		in := inbound(c.Name+".1", "avail")
		in.Root, in.Parent = c.Name, c.Name
		child := a.Forward(ctx, in)
		if child.Kind != cassiatally.KindNone {
			return cassiatally.RunResult{Kind: cassiatally.ResultAnswered, Status: 500}
		}
		return answer("depot:" + string(child.Body))
	}
	a.Report(context.Background(), report("depot-svc", cassiatally.EndpointReady, 1))
	b.Report(context.Background(), report("avail-svc", cassiatally.EndpointReady, 1))
	eventually(t, "both services are served", func() bool { return served(a, "depot")() && served(b, "depot")() })
	return f, a, b
}

// Guards against mistaking a call of one node for a copy of another node's call, whose
// caller then gets no answer: nodes that start in the same microsecond have equal
// incarnations.
func TestNodesStartedTogether(t *testing.T) {
	is := is.New(t)
	h := newHeldBackend()
	f := &fleet{store: newStore(), wall: time.UnixMicro(1_700_000_000_000_000)}
	f.store.publish(table(3))
	entries := []*gatekeeper.Gatekeeper{
		f.add(t, gatekeeper.Settings{Node: "a", Service: "depot-svc"}, &backend{}, false),
		f.add(t, gatekeeper.Settings{Node: "c", Service: "depot-svc"}, &backend{}, false),
	}
	target := f.add(t, gatekeeper.Settings{Node: "b", Service: "avail-svc"}, &backend{run: h.run}, false)
	target.Report(context.Background(), report("avail-svc", cassiatally.EndpointReady, 1))
	eventually(t, "both entries reach the service", func() bool { return served(entries[0], "avail")() && served(entries[1], "avail")() })

	const calls = 16
	got := make(chan cassiatally.ErrorKind, len(entries)*calls)
	for _, e := range entries {
		for i := range calls {
			go func() {
				a := e.Forward(context.Background(), inbound(cassiatally.RequestName(fmt.Sprintf("r-%d", i)), "avail"))
				got <- a.Kind
			}()
		}
	}
	for range cap(got) {
		is.Equal(<-got, cassiatally.KindNone)
	}
}

// Guards against a call chain that is not served from end to end: from the entry node to
// the run, and from the run's onward call through its node to the run of that call.
func TestWholePath(t *testing.T) {
	is := is.New(t)
	var calls []cassiatally.Call
	var mu sync.Mutex
	avail := &backend{run: func(_ context.Context, c cassiatally.Call) cassiatally.RunResult {
		mu.Lock()
		defer mu.Unlock()
		calls = append(calls, c)
		return answer("avail")
	}}
	_, _, b := twoNodes(t, avail)
	mu.Lock()
	calls = nil
	mu.Unlock()
	a := b.Forward(context.Background(), inbound("r", "depot"))
	is.Equal(string(a.Body), "depot:avail")
	mu.Lock()
	defer mu.Unlock()
	is.Equal(len(calls), 1)
	is.Equal(calls[0].Name, cassiatally.RequestName("r.1"))
	is.Equal(calls[0].Caller, cassiatally.Service("depot-svc"))
	is.Equal(calls[0].Depth, cassiatally.Depth(1))
	is.True(calls[0].Remaining < 5*time.Second)
}

// Guards against a node that is ready without routes, serves a route that does not
// exist, or stays on an older table when it is cut off from the source.
func TestRoutes(t *testing.T) {
	is := is.New(t)
	f := &fleet{store: newStore()}
	g := f.add(t, gatekeeper.Settings{Node: "a", Service: "depot-svc"}, &backend{}, false)
	is.True(!g.Ready())
	is.Equal(g.Forward(context.Background(), inbound("r", "depot")).Kind, cassiatally.KindNoBackend)
	f.store.publish(table(3))
	eventually(t, "the node is ready", g.Ready)
	is.Equal(g.Forward(context.Background(), inbound("r", "other")).Kind, cassiatally.KindUnknownKind)

	cut := f.add(t, gatekeeper.Settings{Node: "b", Service: "avail-svc"}, &backend{}, true)
	eventually(t, "a node that is cut off from the source gets the table from another", cut.Ready)
	next := table(7)
	next.Routes = next.Routes[:1]
	f.store.publish(next)
	routeDropped := func() bool {
		return cut.Forward(context.Background(), inbound("r", "avail")).Kind == cassiatally.KindUnknownKind
	}
	eventually(t, "it also gets the next version", routeDropped)
}

// Guards against a request that fails because its route is changed or dropped while it
// runs.
func TestRoutesChangeUnderARequest(t *testing.T) {
	is := is.New(t)
	h := newHeldBackend()
	avail := &backend{run: h.run}
	f, a, _ := twoNodes(t, avail)
	h.hold.Store(true)
	got := make(chan cassiatally.Answer, 1)
	go func() { got <- a.Forward(context.Background(), inbound("r", "avail")) }()
	<-h.started
	h.hold.Store(false) // requests that are sent before the route is dropped end at once
	next := table(4)
	next.Routes = next.Routes[:1]
	f.store.publish(next)
	eventually(t, "the route is dropped", func() bool {
		return a.Forward(context.Background(), inbound("s", "avail")).Kind == cassiatally.KindUnknownKind
	})
	close(h.release)
	is.Equal(string((<-got).Body), "avail")
}

// Guards against calls that reach a backend server after the node acknowledged its
// draining, and against answers to refused calls with another outcome than not run.
func TestDrainingBackend(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	acknowledged, late := false, 0
	avail := &backend{run: func(context.Context, cassiatally.Call) cassiatally.RunResult {
		mu.Lock()
		defer mu.Unlock()
		if acknowledged {
			late++
		}
		return answer("avail")
	}}
	_, a, b := twoNodes(t, avail)
	is.True(b.Report(context.Background(), report("avail-svc", cassiatally.EndpointDraining, 2)))
	mu.Lock()
	acknowledged = true
	mu.Unlock()
	for range 20 {
		got := a.Forward(context.Background(), inbound("r", "avail"))
		is.Equal(got.Outcome, cassiatally.OutcomeNotRun)
	}
	mu.Lock()
	defer mu.Unlock()
	is.Equal(late, 0)
}

// patientPlan refuses new requests at once and waits for the work in flight.
var patientPlan = gatekeeper.DrainPlan{RecallAfter: time.Minute, AnswerAfter: time.Minute}

// Guards against a node that loses requests when it stops.
func TestDrain(t *testing.T) {
	is := is.New(t)
	h := newHeldBackend()
	avail := &backend{run: h.run}
	_, a, b := twoNodes(t, avail)
	h.hold.Store(true)
	got := make(chan cassiatally.Answer, 1)
	go func() { got <- a.Forward(context.Background(), inbound("r", "avail")) }()
	select {
	case <-h.started:
	case a := <-got:
		t.Fatalf("answered before the run began: %+v", a)
	}
	done := make(chan struct{})
	go func() {
		b.Drain(context.Background(), patientPlan)
		close(done)
	}()
	eventually(t, "the node is not ready", func() bool { return !b.Ready() })
	select {
	case <-done:
		t.Fatal("drained with a run in flight")
	case <-time.After(50 * time.Millisecond):
	}
	close(h.release)
	is.Equal(string((<-got).Body), "avail")
	<-done
	// A request that arrives after the last check of the work in flight would be cut off.
	late := b.Forward(context.Background(), inbound("late", "depot"))
	is.Equal(late.Kind, cassiatally.KindDraining)
	is.Equal(late.Outcome, cassiatally.OutcomeNotRun)
	is.True(late.RetryAfter > 0)
}

// Guards against a run in flight that fails because the stopping node beside it refuses
// its onward call together with the new requests of callers.
func TestDrainServesOnwardCalls(t *testing.T) {
	is := is.New(t)
	avail := &backend{run: func(context.Context, cassiatally.Call) cassiatally.RunResult { return answer("avail") }}
	started, goOn := make(chan struct{}), make(chan struct{})
	var holding atomic.Bool
	_, a, b := twoNodesWith(t, avail, func() {
		if holding.CompareAndSwap(true, false) {
			close(started)
			<-goOn
		}
	})
	holding.Store(true)
	got := make(chan cassiatally.Answer, 1)
	go func() { got <- b.Forward(context.Background(), inbound("held", "depot")) }()
	<-started
	done := make(chan struct{})
	go func() {
		a.Drain(context.Background(), patientPlan)
		close(done)
	}()
	eventually(t, "new requests are refused", func() bool {
		return a.Forward(context.Background(), inbound("late", "avail")).Kind == cassiatally.KindDraining
	})
	close(goOn)
	is.Equal(string((<-got).Body), "depot:avail")
	<-done
}

// Guards against a restarted node that waits for the next report although its backend
// server is healthy, and against one that acts on a single report while the health check
// fails: the report may be older than one that the node received before the restart.
func TestRestartBesideABackend(t *testing.T) {
	for _, healthy := range []bool{true, false} {
		t.Run(fmt.Sprint("healthy ", healthy), func(t *testing.T) {
			is := is.New(t)
			f := &fleet{store: newStore()}
			f.store.publish(table(3))
			b := &backend{healthy: healthy, run: func(context.Context, cassiatally.Call) cassiatally.RunResult { return answer("ok") }}
			g := f.add(t, gatekeeper.Settings{Node: "a", Service: "avail-svc", Backend: "127.0.0.1:1", Restarted: true}, b, false)
			eventually(t, "the node is ready", g.Ready)
			if healthy {
				eventually(t, "the backend server is used", served(g, "avail"))
				return
			}
			is.True(g.Report(context.Background(), report("avail-svc", cassiatally.EndpointReady, 5)))
			is.True(!served(g, "avail")())
			for seq := uint64(6); seq < 8; seq++ {
				is.True(g.Report(context.Background(), report("avail-svc", cassiatally.EndpointReady, seq)))
			}
			eventually(t, "repeated reports are accepted", served(g, "avail"))
		})
	}
}

// Guards against sending a backend server an unbounded number of calls after a restart
// of the node, because its health check does not report its slots.
func TestRestartWithoutReportedSlots(t *testing.T) {
	is := is.New(t)
	f := &fleet{store: newStore()}
	f.store.publish(table(3))
	b := &backend{healthy: true, omitSlots: true, run: func(context.Context, cassiatally.Call) cassiatally.RunResult { return answer("ok") }}
	g := f.add(t, gatekeeper.Settings{Node: "a", Service: "avail-svc", Backend: "127.0.0.1:1", Restarted: true}, b, false)
	eventually(t, "the node is ready", g.Ready)
	time.Sleep(100 * time.Millisecond) // the health check starts with the table
	is.True(!served(g, "avail")())
	is.True(g.Report(context.Background(), report("avail-svc", cassiatally.EndpointReady, 5)))
	eventually(t, "the first report is confirmed", served(g, "avail"))
}

// Guards against a run that continues after its caller has cancelled the request.
func TestCallerLeaves(t *testing.T) {
	started, ended := make(chan struct{}, 1), make(chan struct{}, 1)
	hold := make(chan struct{})
	avail := &backend{run: func(ctx context.Context, _ cassiatally.Call) cassiatally.RunResult {
		select {
		case <-hold:
			started <- struct{}{}
			<-ctx.Done()
			ended <- struct{}{}
			return cassiatally.RunResult{Kind: cassiatally.ResultAborted}
		default:
			return answer("avail")
		}
	}}
	_, a, _ := twoNodes(t, avail)
	close(hold)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { a.Forward(ctx, inbound("r", "avail")) }()
	<-started
	cancel()
	select {
	case <-ended:
	case <-time.After(20 * time.Second):
		t.Fatal("the run was not cancelled")
	}
}

func BenchmarkForward(b *testing.B) {
	avail := &backend{run: func(context.Context, cassiatally.Call) cassiatally.RunResult { return answer("avail") }}
	_, a, _ := twoNodes(b, avail)
	in := inbound("bench", "avail")
	b.ReportAllocs()
	for b.Loop() {
		a.Forward(context.Background(), in)
	}
}

// BenchmarkHTTPHop measures a request over a persistent HTTP connection, for comparison
// with BenchmarkForward.
func BenchmarkHTTPHop(b *testing.B) {
	body := make([]byte, 1500)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) }))
	defer srv.Close()
	b.ReportAllocs()
	for b.Loop() {
		resp, err := http.Get(srv.URL)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}

// Guards against a node that, after a restart with a running backend server, leaves it
// unused until its next report because one health check failed.
func TestHealthCheckAfterARestartFailsOnce(t *testing.T) {
	f := &fleet{store: newStore()}
	f.store.publish(table(3))
	b := &backend{healthy: true, run: func(context.Context, cassiatally.Call) cassiatally.RunResult { return answer("avail") }}
	b.failures.Store(1)
	g := f.add(t, gatekeeper.Settings{Node: "a", Service: "avail-svc", Backend: "127.0.0.1:1", Restarted: true}, b, false)
	eventually(t, "the backend server is used without a report", served(g, "avail"))
}

// Guards against a report of another writer, for a service that no configuration names,
// which takes the endpoint of the host out of use.
func TestReportOfAnUnknownService(t *testing.T) {
	is := is.New(t)
	avail := &backend{run: func(context.Context, cassiatally.Call) cassiatally.RunResult { return answer("avail") }}
	_, a, b := twoNodes(t, avail)
	odd := report("no-such-svc", cassiatally.EndpointReady, 9)
	odd.Instance, odd.StartedMs = "i-odd", odd.StartedMs+1
	b.Report(context.Background(), odd)
	for range 20 {
		is.Equal(a.Forward(context.Background(), inbound("r", "avail")).Status, 200)
	}
}

// Guards against a run whose connection is closed at the moment of its deadline, when the
// backend server ends it by itself and answers.
func TestBackendServerEndsARunAtItsDeadline(t *testing.T) {
	const answerTime = 20 * time.Millisecond
	is := is.New(t)
	var began atomic.Pointer[time.Time]
	tooSoon := make(chan bool, 64)
	avail := &backend{run: func(ctx context.Context, c cassiatally.Call) cassiatally.RunResult {
		if at := began.Load(); at != nil {
			cutOff, _ := ctx.Deadline()
			tooSoon <- cutOff.Before(at.Add(c.Remaining + answerTime))
		}
		return answer("avail")
	}}
	_, a, _ := twoNodes(t, avail)
	now := time.Now()
	began.Store(&now)
	is.Equal(a.Forward(context.Background(), inbound("r", "avail")).Kind, cassiatally.KindNone)
	is.True(!<-tooSoon)
}
