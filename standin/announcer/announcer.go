// Package announcer announces the backend server of a host to its node: once a
// second, immediately after a change, and with a withdrawal when it leaves.
//
// # Usage
//
//	a := &announcer.Announcer{Node: "http://127.0.0.1:7001", Client: client, Logger: logger}
//	a.Start(ctx)
//	a.Set(ctx, announcer.Announcement{Service: "avail-svc", Slots: 15})
//	a.Withdraw(ctx)
//	a.Close()
package announcer

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/ring"
)

const (
	// interval is a third of the time after which the node expires an announcement.
	interval = time.Second
	// requestTimeout is shorter than interval, so that a node that does not respond
	// does not delay the next announcement.
	requestTimeout = 800 * time.Millisecond
	inboxCapacity  = 64
	announcePath   = "/v1/announce"
)

// Announcement describes a backend server to its node.
type Announcement struct {
	Service     cassiatally.Service
	Address     cassiatally.Address
	Slots       cassiatally.Concurrency
	Connections cassiatally.Concurrency
	State       cassiatally.EndpointState
}

type announcementBody struct {
	Service     cassiatally.Service     `json:"service"`
	Address     cassiatally.Address     `json:"address"`
	Slots       cassiatally.Concurrency `json:"slots"`
	Connections cassiatally.Concurrency `json:"connections"`
	State       string                  `json:"state"`
}

// Announcer is the duty that announces one backend server.
type Announcer struct {
	// Node is the base URL of the node's listener for backend servers.
	Node   string
	Client *http.Client
	Logger *log.Logger

	inbox  *ring.Ring[update]
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

type update struct {
	announcement Announcement
	withdraw     bool
	done         chan error
}

// Start starts the duty, which runs until Close even when ctx ends.
func (a *Announcer) Start(ctx context.Context) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	a.cancel = cancel
	a.inbox = ring.New[update](inboxCapacity, ring.Wait)
	a.wg.Go(func() { a.run(ctx) })
}

// Set replaces the announcement, sends it once and returns the error of that
// attempt. Later attempts follow at every interval.
func (a *Announcer) Set(ctx context.Context, v Announcement) error {
	return a.push(ctx, update{announcement: v, done: make(chan error, 1)})
}

// Withdraw stops the announcements and sends a withdrawal to the node.
func (a *Announcer) Withdraw(ctx context.Context) error {
	return a.push(ctx, update{withdraw: true, done: make(chan error, 1)})
}

// Close ends the duty and waits for it.
func (a *Announcer) Close() {
	a.inbox.Close()
	a.cancel()
	a.wg.Wait()
}

func (a *Announcer) push(ctx context.Context, u update) error {
	if !a.inbox.Push(ctx, u) {
		return errors.New("the announcer is closed")
	}
	select {
	case err := <-u.done:
		return err
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "waiting for the announcement")
	case <-a.inbox.Done():
		return errors.New("the announcer is closed")
	}
}

func (a *Announcer) run(ctx context.Context) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var current *Announcement
	var failing bool
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if current != nil {
				failing = a.logChange(a.put(ctx, *current), failing)
			}
		case <-a.inbox.Ready():
			for _, u := range a.inbox.TakeAll(nil) {
				current = a.apply(ctx, u)
			}
		}
	}
}

func (a *Announcer) apply(ctx context.Context, u update) *Announcement {
	if u.withdraw {
		u.done <- a.send(ctx, http.MethodDelete, nil)
		return nil
	}
	u.done <- a.put(ctx, u.announcement)
	return &u.announcement
}

func (a *Announcer) logChange(err error, failing bool) bool {
	switch {
	case err != nil && !failing:
		a.Logger.Warn("announcement failed", "node", a.Node, "err", err)
	case err == nil && failing:
		a.Logger.Info("announcement accepted", "node", a.Node)
	}
	return err != nil
}

func (a *Announcer) put(ctx context.Context, v Announcement) error {
	body, err := json.Marshal(announcementBody{
		Service: v.Service, Address: v.Address, Slots: v.Slots, Connections: v.Connections, State: v.State.String(),
	})
	if err != nil {
		return errors.Wrap(err, "encoding the announcement")
	}
	return a.send(ctx, http.MethodPut, body)
}

func (a *Announcer) send(ctx context.Context, method string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, a.Node+announcePath, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "building the announcement")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := a.Client.Do(req)
	if err != nil {
		return errors.Wrap(err, "sending the announcement")
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return errors.Newf("the node answered %s to the announcement", resp.Status)
	}
	return nil
}
