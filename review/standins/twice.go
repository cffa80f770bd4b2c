package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// busyRate is the number of requests a second that the busy endpoint gets, and
	// busyWork the time of their runs.
	busyRate = 1050
	busyWork = 15 * time.Millisecond
	// signWork is the time of a run of the request that is not idempotent.
	signWork = 300 * time.Millisecond
	// cutAfter is when the client's machine is cut off after the request was sent, and
	// cutFor for how long.
	cutAfter = 150 * time.Millisecond
	cutFor   = 4800 * time.Millisecond
	signs    = 10
)

// twice cuts the client's machine off while requests that are not idempotent run at an
// endpoint with much other work.
func twice(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec, 2)
	if err != nil {
		return false, err
	}
	defer f.close()
	entry := f.addMachine("luzon-a", "archivo", 102, 60*time.Millisecond)
	busy := f.addMachine("luzon-b", "kasunduan", 102, busyWork)
	links := newNetwork()
	for _, m := range f.machines {
		m.Advertise = m.IP + ":7720"
		p, err := links.newProxy(m.Name, m.Advertise, m.links())
		if err != nil {
			return false, err
		}
		defer p.close()
	}
	f.store.publish(configOf([]route{safeRoute("ledger", "kasunduan"), signRoute("kasunduan")}, "archivo", "kasunduan"))
	if err := f.start(); err != nil {
		return false, err
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(stability)
	load := newLoad(busyRate, busy.outbound())
	defer load.close()
	time.Sleep(2 * time.Second)

	var clients sync.WaitGroup
	for i := range signs {
		clients.Go(func() {
			q := request{
				Method: http.MethodPost, Host: "sign.example", Target: fmt.Sprintf("/sign/%d?work_ms=%d", i, signWork.Milliseconds()),
				ID: fmt.Sprintf("sign%d", i), Body: "letter", Remaining: clientDeadline,
			}
			rec.add("sent     %s", q.ID)
			rec.add("answered %s: %v", q.ID, send(entry.outbound(), q))
		})
	}
	time.Sleep(cutAfter)
	if trouble {
		rec.add("cut      %s is cut off from the other nodes", entry.Name)
		links.setCut(entry.Name, true)
	}
	time.Sleep(cutFor)
	if trouble {
		rec.add("healed   %s", entry.Name)
		links.setCut(entry.Name, false)
	}
	clients.Wait()
	time.Sleep(time.Second)
	rec.add("load     %d requests answered with 200, %d otherwise", load.served.Load(), load.failed.Load())
	broken := 0
	for i := range signs {
		id := fmt.Sprintf("sign%d", i)
		runs := f.runs.of(id)
		for _, r := range runs {
			rec.add("run      %s at %s, at %.3f s", id, r.instance, r.at.Seconds())
		}
		if len(runs) > 1 {
			broken++
		}
	}
	rec.add("%d of %d requests that are not idempotent ran more than once", broken, signs)
	return broken > 0, nil
}

// load sends idempotent requests at a rate.
type load struct {
	http    *http.Client
	stop    chan struct{}
	running sync.WaitGroup

	sent, served, failed atomic.Int64
}

// newLoad starts a load of rate requests a second in all, shared by the addresses.
func newLoad(rate int, addresses ...string) *load {
	transport := &http.Transport{MaxIdleConnsPerHost: 512, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	l := &load{http: &http.Client{Transport: transport, Timeout: clientDeadline}, stop: make(chan struct{})}
	l.running.Go(func() {
		began, sent := time.Now(), 0
		tick := time.NewTicker(2 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
			case <-l.stop:
				return
			}
			for due := int(time.Since(began).Seconds() * float64(rate)); sent < due; sent++ {
				address := addresses[sent%len(addresses)]
				l.running.Go(func() { l.request(address) })
			}
		}
	})
	return l
}

func (l *load) request(address string) {
	n := l.sent.Add(1)
	req, err := http.NewRequest(http.MethodGet, "http://"+address+"/ledger/"+fmt.Sprint(n), nil)
	if err != nil {
		return
	}
	req.Host = "ledger.example"
	req.Header.Set("Attempt-Id", fmt.Sprintf("ledger%d", n))
	req.Header.Set("Deadline-Remaining", "3000")
	resp, err := l.http.Do(req)
	if err != nil {
		l.failed.Add(1)
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		l.served.Add(1)
		return
	}
	l.failed.Add(1)
}

func (l *load) close() {
	close(l.stop)
	l.running.Wait()
}
