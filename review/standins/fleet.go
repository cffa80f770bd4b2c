package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

const (
	startTimeout = 20 * time.Second
	pollInterval = 50 * time.Millisecond
	// stability is longer than the window after which machines are in touch (3 s).
	stability = 4 * time.Second
)

// machine is a machine of a fleet: a node and the endpoint beside it.
type machine struct {
	*node
	endpoint *endpoint
}

// fleet has all stand-ins and processes of a case.
type fleet struct {
	record   *record
	runs     *runLog
	store    *store
	machines []*machine
	network  string
	dir      string
}

// newFleet starts the store. Machines are added with addMachine.
func newFleet(rec *record, machines int) (*fleet, error) {
	network, err := freeNetwork(machines + 1)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: rec, runs: newRunLog(), network: network, dir: dir}
	f.store, err = newStore(fmt.Sprintf("%s.%d:8309", network, machines+1))
	return f, err
}

// addMachine returns a further machine, which is not started. It has slots places for
// runs that take work each.
func (f *fleet) addMachine(zone, service string, slots int, work time.Duration) *machine {
	number := len(f.machines) + 1
	n := &node{
		Name: fmt.Sprintf("sidecar-%s-%d", zone, number), Zone: zone, Service: service,
		IP: fmt.Sprintf("%s.%d", f.network, number), Store: f.store.address(), FirstStart: true, Dir: f.dir,
	}
	e := &endpoint{
		Service: service, Instance: fmt.Sprintf("i-%s-%d", service, number), Address: n.application(), Control: n.control(),
		Zone: zone, Slots: slots, Work: work, BodyBytes: 600, Runs: f.runs, Record: f.record,
	}
	m := &machine{node: n, endpoint: e}
	f.machines = append(f.machines, m)
	return m
}

// start starts all nodes and endpoints.
func (f *fleet) start() error {
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			return err
		}
		if err := m.endpoint.start(); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until all nodes are ready.
func (f *fleet) awaitReady() error {
	for limit := time.Now().Add(startTimeout); time.Now().Before(limit); time.Sleep(pollInterval) {
		ready := 0
		for _, m := range f.machines {
			if m.isReady() {
				ready++
			}
		}
		if ready == len(f.machines) {
			return nil
		}
	}
	return errors.New("not all nodes became ready")
}

// close ends all processes and stand-ins.
func (f *fleet) close() {
	for _, m := range f.machines {
		if m.cmd != nil && m.cmd.Process != nil {
			m.kill()
		}
		if m.endpoint.server != nil {
			m.endpoint.close()
		}
	}
	f.store.close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(f.dir)
	}
}
