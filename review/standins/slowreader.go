package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	slowClients    = 6
	slowBodyBytes  = 900 << 10
	slowReadRate   = 170 << 10
	beforeSignal   = 500 * time.Millisecond
	clientDeadline = 6 * time.Second
)

// slowReader has clients read their answers slowly while the node of their machine gets
// a SIGTERM. All of them could finish well before the end of the grace period.
func slowReader(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec, 2)
	if err != nil {
		return false, err
	}
	defer f.close()
	entry := f.addMachine("luzon-a", "archivo", 102, 60*time.Millisecond)
	serving := f.addMachine("luzon-b", "kasunduan", 102, 78*time.Millisecond)
	serving.endpoint.RecordRuns = true
	f.store.publish(configOf([]route{signRoute("kasunduan"), safeRoute("lookup", "archivo")}, "archivo", "kasunduan"))
	if err := f.start(); err != nil {
		return false, err
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(stability)
	type result struct {
		id   string
		sent time.Time
		a    answer
		took time.Duration
	}
	results := make(chan result, slowClients)
	for i := range slowClients {
		q := request{
			Method: http.MethodPost, Host: "sign.example", Target: fmt.Sprintf("/sign/%d?body_bytes=%d", i, slowBodyBytes),
			ID: fmt.Sprintf("slow%d", i), Body: "letter", Remaining: clientDeadline,
		}
		go func() {
			sent := time.Now()
			c, err := dial(entry.outbound(), slowReadRate)
			if err != nil {
				results <- result{id: q.ID, sent: sent, a: answer{err: err}}
				return
			}
			defer c.close()
			rec.add("sent     %s %s %s", q.ID, q.Method, q.Target)
			a := c.do(q)
			results <- result{id: q.ID, sent: sent, a: a, took: time.Since(sent)}
		}()
	}
	time.Sleep(beforeSignal)
	signalled := time.Now()
	if trouble {
		rec.add("SIGTERM  to %s", entry.Name)
		entry.signal(syscall.SIGTERM)
		go func() {
			<-entry.exited
			rec.add("exited   %s, %.1f s after the signal", entry.Name, time.Since(signalled).Seconds())
		}()
	}
	cut := 0
	for range slowClients {
		r := <-results
		rec.add("answered %s after %.2f s: %v", r.id, r.took.Seconds(), r.a)
		if r.a.sent && r.a.err != nil && len(f.runs.of(r.id)) == 1 && r.took < clientDeadline {
			cut++
		}
	}
	rec.add("%d of %d answers ended before they were complete", cut, slowClients)
	return cut > 0, nil
}
