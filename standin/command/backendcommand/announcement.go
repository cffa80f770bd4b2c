package backendcommand

import (
	"context"
	"net/http"
	"strings"
	"sync"

	"github.com/charmbracelet/log"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/standin/announcer"
	"github.com/cassiatally/cassiatally/standin/backendserver"
)

// announcement holds the current announcement and passes its changes to the
// announcer. Without a node there is no announcer and changes are ignored.
type announcement struct {
	announcer *announcer.Announcer
	logger    *log.Logger
	actual    announcer.Announcement

	mu      sync.Mutex
	current announcer.Announcement
}

func newAnnouncement(o Options, address cassiatally.Address, client *http.Client, logger *log.Logger) *announcement {
	a := &announcement{logger: logger}
	if o.Advertise != "" {
		address = cassiatally.Address(o.Advertise)
	}
	a.actual = announcer.Announcement{
		Service: cassiatally.Service(o.Service), Address: address,
		Slots: cassiatally.Concurrency(o.Slots), Connections: cassiatally.Concurrency(o.Connections),
	}
	a.current = a.actual
	if o.ReportedSlots > 0 {
		a.current.Slots = cassiatally.Concurrency(o.ReportedSlots)
	}
	if o.Node != "" {
		a.announcer = &announcer.Announcer{Node: strings.TrimSuffix(o.Node, "/"), Client: client, Logger: logger}
	}
	return a
}

func (a *announcement) start(ctx context.Context) {
	if a.announcer != nil {
		a.announcer.Start(ctx)
	}
}

func (a *announcement) close() {
	if a.announcer != nil {
		a.announcer.Close()
	}
}

func (a *announcement) setState(ctx context.Context, s cassiatally.EndpointState) {
	a.update(ctx, func(v *announcer.Announcement) { v.State = s })
}

func (a *announcement) setFalseAnnouncement(ctx context.Context, f backendserver.FalseAnnouncement) {
	a.update(ctx, func(v *announcer.Announcement) {
		v.Slots, v.Connections = a.actual.Slots, a.actual.Connections
		if f.Slots > 0 {
			v.Slots = f.Slots
		}
		if f.Connections > 0 {
			v.Connections = f.Connections
		}
	})
}

func (a *announcement) update(ctx context.Context, apply func(*announcer.Announcement)) {
	if a.announcer == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	apply(&a.current)
	if err := a.announcer.Set(ctx, a.current); err != nil {
		a.logger.Warn("announcement failed", "state", a.current.State, "err", err)
	}
}

func (a *announcement) withdraw(ctx context.Context) {
	if a.announcer == nil {
		return
	}
	if err := a.announcer.Withdraw(ctx); err != nil {
		a.logger.Warn("withdrawal failed", "err", err)
	}
}
