package quotakeeper_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/registrar"
	"github.com/cassiatally/cassiatally/cassiatally/sysclock"
	"github.com/cassiatally/cassiatally/node/quotakeeper"
)

const waitLimit = 30 * time.Second

type silentLogger struct{}

func (silentLogger) Debug(any, ...any) {}
func (silentLogger) Info(any, ...any)  {}
func (silentLogger) Warn(any, ...any)  {}
func (silentLogger) Error(any, ...any) {}

// metrics discards gauges and sums up counters.
type metrics struct {
	mu     sync.Mutex
	counts map[string]int64
}

func (*metrics) Gauge(string, float64)                       {}
func (*metrics) RankGauge(string, cassiatally.Rank, float64) {}
func (m *metrics) Count(name string, _ map[string]string, n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts[name] += n
}

// network passes messages between keepers, except to those that are cut off.
type network struct {
	mu      sync.Mutex
	keepers map[cassiatally.NodeID]*quotakeeper.Keeper
	cutOff  map[cassiatally.NodeID]bool
	sent    int
}

// links is the network as a node sees it.
type links struct {
	*network
	self cassiatally.NodeID
}

func (l links) Send(to cassiatally.NodeID, m cassiatally.Message) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
	if l.cutOff[to] || l.cutOff[l.self] {
		return cassiatally.NewError(cassiatally.KindUnreachable, "%s is cut off", to)
	}
	l.keepers[to].Message(cassiatally.NodeRef{Node: l.self}, m)
	return nil
}

func (l links) SendAddress(to cassiatally.Address, m cassiatally.Message) error {
	return l.Send(cassiatally.NodeID(to), m)
}

// newNetwork starts keepers of a data centre, and ends them with the test.
func newNetwork(t *testing.T, m *metrics, names ...cassiatally.NodeID) *network {
	n := &network{keepers: map[cassiatally.NodeID]*quotakeeper.Keeper{}, cutOff: map[cassiatally.NodeID]bool{}}
	view := &registrar.View{}
	for _, name := range names {
		view.Members = append(view.Members, cassiatally.Member{Ref: cassiatally.NodeRef{Node: name}, DataCentre: "north"})
		n.keepers[name] = &quotakeeper.Keeper{
			Self:      cassiatally.QuotaCandidate{Node: name, DataCentre: "north"},
			Clock:     sysclock.New(),
			Links:     links{n, name},
			AddressOf: func(cassiatally.NodeID) (cassiatally.Address, bool) { return "", true },
			Rand:      rand.New(rand.NewPCG(1, 2)),
			Metrics:   m,
			Logger:    silentLogger{},
		}
		n.keepers[name].Open()
	}
	for _, k := range n.keepers {
		k.SetView(view)
		k.Run()
		t.Cleanup(k.Close)
	}
	return n
}

func (n *network) setTable(spec cassiatally.TenantSpec) {
	for _, k := range n.keepers {
		k.SetTable([]cassiatally.TenantSpec{spec})
	}
}

// Guards against messages while no tenant has a limit, requests that no node admits, and
// requests that wait for ever when the owner is cut off or the duty ends.
func TestKeepers(t *testing.T) {
	is := is.New(t)
	m := &metrics{counts: map[string]int64{}}
	n := newNetwork(t, m, "a", "b", "c")
	n.setTable(cassiatally.TenantSpec{Name: "t"})
	time.Sleep(1200 * time.Millisecond) // longer than the interval of an idle duty
	n.mu.Lock()
	is.Equal(n.sent, 0)
	n.mu.Unlock()

	spec := &cassiatally.TenantSpec{Name: "t", Rate: 5, Burst: 2}
	n.setTable(*spec)
	kinds := map[cassiatally.ErrorKind]int{}
	for deadline := time.Now().Add(waitLimit); kinds[cassiatally.KindQuotaExceeded] == 0 || kinds[cassiatally.KindNone] == 0; {
		is.True(time.Now().Before(deadline))
		for _, k := range n.keepers {
			d := k.Take(t.Context(), spec)
			is.Equal(d.Granted, d.Kind == cassiatally.KindNone)
			is.True(d.Granted || d.RetryAfter > 0)
			kinds[d.Kind]++
		}
	}
	n.mu.Lock()
	n.cutOff["a"], n.cutOff["b"], n.cutOff["c"] = true, true, true
	n.mu.Unlock()
	for deadline := time.Now().Add(waitLimit); kinds[cassiatally.KindUnavailable] == 0; {
		is.True(time.Now().Before(deadline))
		kinds[n.keepers["a"].Take(t.Context(), spec).Kind]++
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(!n.keepers["b"].Take(ctx, &cassiatally.TenantSpec{Name: "u", Rate: 1}).Granted)
	n.keepers["c"].Close()
	is.True(!n.keepers["c"].Take(t.Context(), spec).Granted)
	for _, k := range n.keepers {
		k.Close() // passes on what it has counted
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	is.True(m.counts["quota_granted"] > 0)
	is.True(m.counts["quota_refused"] > 0)
}
