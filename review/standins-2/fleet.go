package main

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

const (
	startLimit    = 20 * time.Second
	startInterval = 50 * time.Millisecond
)

// fleet has the machines of a case and all stand-ins around them.
type fleet struct {
	record    *recorder
	store     *store
	partition *partition
	ports     ports
	dir       string
	machines  []*machine
	endpoints map[*machine]*endpoint
	clients   map[*machine]*client
	proxies   []*linkProxy
	// withClients has the machines whose clients send requests.
	withClients []*machine
	// answers counts the answers to the requests of press.
	answers *tally
}

func newFleet(r *recorder, c config) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, dir: dir, partition: newPartition(), answers: newTally(), endpoints: make(map[*machine]*endpoint), clients: make(map[*machine]*client)}
	if f.ports, err = freePorts(); err != nil {
		return nil, err
	}
	if f.store, err = newStore(); err != nil {
		return nil, err
	}
	f.store.publish(c.encode())
	return f, nil
}

// add adds a machine with an endpoint, which is not started yet.
func (f *fleet) add(name, zone, service string, slots int) *machine {
	m := newMachine(name, zone, service, f.ports)
	m.dir, m.storeAt, m.record = f.dir, f.store.address(), f.record
	f.machines = append(f.machines, m)
	f.endpoints[m] = newEndpoint(m, slots)
	f.clients[m] = newClient(m)
	return m
}

// useLinkProxies puts a stand-in of the network in front of the links of all machines.
func (f *fleet) useLinkProxies() error {
	for _, m := range f.machines {
		x, err := newLinkProxy(m, f.partition)
		if err != nil {
			return err
		}
		f.proxies = append(f.proxies, x)
	}
	return nil
}

// start starts all processes and endpoints, and waits until all machines are ready.
func (f *fleet) start() error {
	for _, m := range f.machines {
		if err := m.startProcess(); err != nil {
			return err
		}
		go m.watchReadiness()
	}
	for _, e := range f.endpoints {
		if err := e.start(); err != nil {
			return err
		}
	}
	return f.await("all machines are ready", func() bool {
		for _, m := range f.machines {
			if !m.isReady.Load() {
				return false
			}
		}
		return true
	})
}

// await waits until a condition holds.
func (f *fleet) await(what string, ok func() bool) error {
	for deadline := time.Now().Add(startLimit); time.Now().Before(deadline); time.Sleep(startInterval) {
		if ok() {
			f.record.note("%s", what)
			return nil
		}
	}
	return fmt.Errorf("not within %s: %s", startLimit, what)
}

// awaitServed waits until a probe of each machine is answered with 200.
func (f *fleet) awaitServed(probe request) error {
	n := 0
	return f.await("a probe of each machine is served", func() bool {
		for _, m := range f.machines {
			n++
			p := probe
			p.id = fmt.Sprintf("probe%d", n)
			if f.clients[m].send(p).status != 200 {
				return false
			}
		}
		return true
	})
}

// close ends everything that the case started.
func (f *fleet) close() {
	var ending sync.WaitGroup
	for _, m := range f.machines {
		close(m.stop)
		ending.Go(m.kill)
	}
	ending.Wait()
	for _, e := range f.endpoints {
		e.exit()
	}
	for _, x := range f.proxies {
		x.close()
	}
	f.store.close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(f.dir)
		return
	}
	fmt.Println("logs in", f.dir)
}

var errBroken = errors.New("the rule was broken")
