package main

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryLimit is that of a machine of the site, in MB.
	memoryLimit  = 284
	memoryPoll   = 50 * time.Millisecond
	restartDelay = 500 * time.Millisecond
	listingBytes = 400 << 10
	listingWork  = 150 * time.Millisecond
	listingRate  = 22 // requests a second to each endpoint
	// burstRate is added in a burst, which is then 2.6 times the usual.
	burstRate       = 40
	burstTime       = 5100 * time.Millisecond
	betweenBursts   = 8 * time.Second
	bursts          = 4
	minEnds         = 3
	minMachines     = 2
	kilobytesInAMeg = 1000
)

// memory sends requests with large answers, and bursts of them, while the platform ends
// processes that exceed the memory of their machine.
func memory(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec, 4)
	if err != nil {
		return false, err
	}
	defer f.close()
	var entries []*machine
	for _, zone := range []string{"luzon-a", "luzon-b"} {
		entries = append(entries, f.addMachine(zone, "archivo", 102, 60*time.Millisecond))
		m := f.addMachine(zone, "pormularyo", 102, listingWork)
		m.endpoint.BodyBytes = listingBytes
	}
	f.store.publish(configOf([]route{safeRoute("ledger", "pormularyo"), safeRoute("lookup", "archivo")}, "archivo", "pormularyo"))
	if err := f.start(); err != nil {
		return false, err
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(stability)
	platform := newEnforcer(rec, f.machines)
	defer platform.close()

	var loads []*load
	for _, m := range entries {
		loads = append(loads, newLoad(listingRate, m.outbound()))
	}
	for i := range bursts {
		time.Sleep(betweenBursts)
		if !trouble {
			time.Sleep(burstTime)
			continue
		}
		rec.add("burst    %d, %d requests a second more to each endpoint for %v", i+1, burstRate, burstTime)
		var more []*load
		for _, m := range entries {
			more = append(more, newLoad(burstRate, m.outbound()))
		}
		time.Sleep(burstTime)
		for _, l := range more {
			l.close()
			rec.add("burst    over: %d requests answered with 200, %d otherwise", l.served.Load(), l.failed.Load())
		}
	}
	for _, l := range loads {
		l.close()
		rec.add("load     %d requests answered with 200, %d otherwise", l.served.Load(), l.failed.Load())
	}
	machines := 0
	for _, m := range f.machines {
		rec.add("machine  %s: %d ends, most memory %d MB", m.Name, platform.ends[m.Name], platform.most[m.Name])
		if platform.ends[m.Name] >= minEnds {
			machines++
		}
	}
	return machines >= minMachines, nil
}

// enforcer ends and restarts processes that exceed the memory of their machine.
type enforcer struct {
	record  *record
	stop    chan struct{}
	running sync.WaitGroup

	mu         sync.Mutex
	ends, most map[string]int
}

func newEnforcer(rec *record, machines []*machine) *enforcer {
	p := &enforcer{record: rec, stop: make(chan struct{}), ends: make(map[string]int), most: make(map[string]int)}
	for _, m := range machines {
		p.running.Go(func() { p.watch(m) })
	}
	return p
}

func (p *enforcer) close() {
	close(p.stop)
	p.running.Wait()
}

func (p *enforcer) watch(m *machine) {
	for {
		select {
		case <-time.After(memoryPoll):
		case <-p.stop:
			return
		}
		used := residentMegabytes(m.cmd.Process.Pid)
		p.mu.Lock()
		p.most[m.Name] = max(p.most[m.Name], used)
		p.mu.Unlock()
		if used <= memoryLimit {
			continue
		}
		p.record.add("killed   %s, which uses %d MB of %d", m.Name, used, memoryLimit)
		m.signal(syscall.SIGKILL)
		<-m.exited
		p.mu.Lock()
		p.ends[m.Name]++
		p.mu.Unlock()
		time.Sleep(restartDelay)
		m.FirstStart = false
		if err := m.start(); err != nil {
			p.record.add("not restarted: %v", err)
			return
		}
	}
}

// residentMegabytes returns the resident memory of a process without the pages of its
// program file, 0 if it has ended.
func residentMegabytes(pid int) int {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer file.Close()
	for s := bufio.NewScanner(file); s.Scan(); {
		value, found := strings.CutPrefix(s.Text(), "RssAnon:")
		if !found {
			continue
		}
		kilobytes, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
		return kilobytes / kilobytesInAMeg
	}
	return 0
}
