package instancekeeper_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/instancetracker"
	"github.com/cassiatally/cassiatally/cassiatally/matcher"
	"github.com/cassiatally/cassiatally/cassiatally/sysclock"
	"github.com/cassiatally/cassiatally/node/instancekeeper"
)

// gate records announcements, and refuses them while full is set.
type gate struct {
	announced []cassiatally.Announcement
	full      bool
}

func (g *gate) Announce(a cassiatally.Announcement) bool {
	if !g.full {
		g.announced = append(g.announced, a)
	}
	return !g.full
}
func (g *gate) Withdraw() {}

func (g *gate) last() cassiatally.Announcement {
	if len(g.announced) == 0 {
		return cassiatally.Announcement{}
	}
	return g.announced[len(g.announced)-1]
}

// prober confirms one instance, whichever address is checked.
type prober struct {
	instance cassiatally.InstanceID
	probed   chan cassiatally.Address
}

func (p prober) Probe(_ context.Context, a cassiatally.Address, _ string) (cassiatally.BackendHealth, error) {
	if p.probed != nil {
		p.probed <- a
	}
	if p.instance == "" {
		return cassiatally.BackendHealth{}, errors.New("no answer")
	}
	return cassiatally.BackendHealth{Instance: p.instance, Healthy: true, Slots: 8}, nil
}

func keeper(t *testing.T, g *gate, p prober) *instancekeeper.Keeper {
	t.Helper()
	k := &instancekeeper.Keeper{
		Tracker: &instancetracker.Tracker{}, Clock: sysclock.New(), Backend: g, Prober: p, Logger: log.New(io.Discard),
		Service: "own-svc", Address: "10.0.0.1:80",
	}
	k.Run()
	t.Cleanup(k.Close)
	return k
}

func routes(services ...cassiatally.Service) *matcher.Matcher {
	table := cassiatally.RouteTable{Version: 1}
	for _, s := range services {
		table.Services = append(table.Services, cassiatally.ServiceSpec{Name: s, Connections: 10})
	}
	return matcher.New(table)
}

func report(seq uint64, change func(*cassiatally.InstanceReport)) cassiatally.InstanceReport {
	r := cassiatally.InstanceReport{
		Instance: "i-own", StartedMs: 5, Sequence: seq, Service: "own-svc", Address: "10.0.0.1:80", Slots: 8, State: cassiatally.EndpointReady,
	}
	if change != nil {
		change(&r)
	}
	return r
}

// Guards against the report of another writer that is used before the first
// configuration: all requests of the host then carried its service (review/2).
func TestForeignReportBeforeTheFirstRoutes(t *testing.T) {
	foreign := map[string]func(*cassiatally.InstanceReport){
		"other service": func(r *cassiatally.InstanceReport) { r.Service = "other-svc" },
		"other address": func(r *cassiatally.InstanceReport) { r.Address = "10.0.0.1:81" },
		"other host":    func(r *cassiatally.InstanceReport) { r.Address = "10.0.0.2:80" },
	}
	for name, change := range foreign {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := &gate{}
			k := keeper(t, g, prober{instance: "i-own"})
			odd := report(1, change)
			odd.Instance, odd.StartedMs = "i-odd", 9
			is.True(!k.Report(context.Background(), odd))
			is.True(k.Report(context.Background(), report(1, nil)))
			is.Equal(len(g.announced), 0)
			k.SetRoutes(routes("own-svc", "third-svc"))
			is.True(!k.Report(context.Background(), odd))
			is.True(k.Report(context.Background(), report(2, nil)))
			is.Equal(g.last().Instance, cassiatally.InstanceID("i-own"))
			is.Equal(k.LocalService(), cassiatally.Service("own-svc"))
		})
	}
}

// Guards against an instance that was recorded before the first configuration and whose
// service the configuration does not name.
func TestRoutesWithoutTheServiceOfTheInstance(t *testing.T) {
	is := is.New(t)
	g := &gate{}
	k := keeper(t, g, prober{})
	is.True(k.Report(context.Background(), report(1, nil)))
	k.SetRoutes(routes("other-svc"))
	is.True(k.Report(context.Background(), report(2, nil))) // it gets no work, as it may not
	is.Equal(len(g.announced), 0)
	k.SetRoutes(routes("own-svc"))
	is.True(k.Report(context.Background(), report(3, nil)))
	is.Equal(g.last().Endpoint.State, cassiatally.EndpointReady)
	k.SetRoutes(routes("other-svc")) // the instance in place may outlive its service
	is.True(k.Report(context.Background(), report(4, func(r *cassiatally.InstanceReport) { r.State = cassiatally.EndpointDraining })))
	is.Equal(g.last().Endpoint.State, cassiatally.EndpointDraining)
}

// Guards against a report under the id of the endpoint that is incomplete, or of another
// service, and that advances the sequence: the node then acknowledged that the endpoint
// drains, and ignored it.
func TestForeignReportUnderTheIDOfTheEndpoint(t *testing.T) {
	changes := map[string]func(*cassiatally.InstanceReport){
		"without start":    func(r *cassiatally.InstanceReport) { r.StartedMs = 0 },
		"negative start":   func(r *cassiatally.InstanceReport) { r.StartedMs = -1 },
		"without service":  func(r *cassiatally.InstanceReport) { r.Service = "" },
		"other service":    func(r *cassiatally.InstanceReport) { r.Service = "third-svc" },
		"unknown service":  func(r *cassiatally.InstanceReport) { r.Service = "no-svc" },
		"without address":  func(r *cassiatally.InstanceReport) { r.Address = "" },
		"invalid address":  func(r *cassiatally.InstanceReport) { r.Address = "x" },
		"other address":    func(r *cassiatally.InstanceReport) { r.Address = "10.0.0.2:80" },
		"without slots":    func(r *cassiatally.InstanceReport) { r.Slots = 0 },
		"without state":    func(r *cassiatally.InstanceReport) { r.State = cassiatally.EndpointNone },
		"without instance": func(r *cassiatally.InstanceReport) { r.Instance = "" },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := &gate{}
			k := keeper(t, g, prober{})
			k.SetRoutes(routes("own-svc", "third-svc"))
			is.True(k.Report(context.Background(), report(1, nil)))
			is.True(!k.Report(context.Background(), report(1000, change)))
			is.True(k.Report(context.Background(), report(2, func(r *cassiatally.InstanceReport) { r.State = cassiatally.EndpointDraining })))
			is.Equal(g.last().Endpoint.State, cassiatally.EndpointDraining)
			is.Equal(g.last().Endpoint.Service, cassiatally.Service("own-svc"))
		})
	}
}

// Guards against an acknowledged report that is not in force: a draining one whose
// sequence was overtaken, and one that the executor has no room for.
func TestAcknowledgedDrainIsInForce(t *testing.T) {
	is := is.New(t)
	g := &gate{}
	k := keeper(t, g, prober{})
	k.SetRoutes(routes("own-svc"))
	draining := report(2, func(r *cassiatally.InstanceReport) { r.State = cassiatally.EndpointDraining })
	is.True(k.Report(context.Background(), report(1000, nil)))
	g.full = true
	is.True(!k.Report(context.Background(), draining))
	g.full = false
	is.True(k.Report(context.Background(), draining))
	is.Equal(g.last().Endpoint.State, cassiatally.EndpointDraining)
}

// Guards against an endpoint that is out of use because it has started at another port
// than the settings name, and against another writer that names a port at which another
// instance, or none, answers.
func TestInstanceIsConfirmedAtItsAddress(t *testing.T) {
	moved := report(1, func(r *cassiatally.InstanceReport) { r.Instance, r.Address = "i-new", "10.0.0.1:81" })
	for _, confirmed := range []cassiatally.InstanceID{"i-new", "i-own", ""} {
		t.Run(string("at that port: "+confirmed), func(t *testing.T) {
			is := is.New(t)
			g := &gate{}
			probed := make(chan cassiatally.Address, 64)
			k := keeper(t, g, prober{instance: confirmed, probed: probed})
			is.True(!k.Report(context.Background(), moved)) // the health path is not known yet
			k.SetRoutes(routes("own-svc"))
			for range 3 {
				k.Report(context.Background(), moved)
				is.Equal(<-probed, moved.Address)
				if confirmed == "i-new" {
					break
				}
			}
			is.True(!k.Report(context.Background(), report(9, func(r *cassiatally.InstanceReport) { r.Address = "10.0.0.2:80" })))
			if confirmed != "i-new" {
				is.True(!k.Report(context.Background(), moved))
				is.Equal(len(g.announced), 0)
				return
			}
			for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline) && !k.Report(context.Background(), moved); {
				time.Sleep(time.Millisecond)
			}
			is.Equal(g.last().Address, moved.Address)
		})
	}
}
