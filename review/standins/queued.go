package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	queuedClients = 60
	queuedSlots   = 6
	queuedWork    = 520 * time.Millisecond
	// afterSignal is when the clients send. The platform asks for the readiness once a
	// second, so that it cannot have missed two answers yet.
	afterSignal = 900 * time.Millisecond
	lossSlack   = 200 * time.Millisecond
	// betweenBatches is longer than all requests of a batch last.
	betweenBatches = 7 * time.Second
)

// queued stops the node of the clients' machine while their requests wait for an
// endpoint on another machine that has more work than slots.
func queued(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec, 2)
	if err != nil {
		return false, err
	}
	defer f.close()
	entry := f.addMachine("luzon-a", "archivo", 102, 60*time.Millisecond)
	busy := f.addMachine("luzon-b", "harapan", queuedSlots, queuedWork)
	busy.endpoint.RecordRuns = true
	sign := signRoute("harapan")
	sign.Priority = 0
	f.store.publish(configOf([]route{safeRoute("lookup", "archivo"), sign}, "archivo", "harapan"))
	if err := f.start(); err != nil {
		return false, err
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(stability)
	// The clients send a batch now and then; the first one shows that all is well.
	cut := sendBatch(rec, f, entry, "first")
	time.Sleep(betweenBatches)
	if trouble {
		rec.add("SIGTERM  to %s", entry.Name)
		entry.signal(syscall.SIGTERM)
	}
	time.Sleep(afterSignal)
	cut += sendBatch(rec, f, entry, "second")
	rec.add("%d requests that waited for an endpoint ended without an answer", cut)
	return cut > 0, nil
}

// sendBatch sends one request of each client at the same time. It returns how many ended
// without an answer although a process had read them and their deadline was not reached.
func sendBatch(rec *record, f *fleet, entry *machine, batch string) int {
	var mu sync.Mutex
	cut, statuses := 0, map[int]int{}
	var running sync.WaitGroup
	for c := range queuedClients {
		running.Go(func() {
			id := fmt.Sprintf("%s%d", batch, c)
			rec.add("sent     %s", id)
			sent := time.Now()
			a := send(entry.outbound(), request{
				Method: http.MethodPost, Host: "sign.example", Target: "/sign/" + id, ID: id, Body: "letter", Remaining: clientDeadline,
			})
			took := time.Since(sent)
			rec.add("answered %s after %.2f s, run %d times: %v", id, took.Seconds(), len(f.runs.of(id)), a)
			mu.Lock()
			defer mu.Unlock()
			statuses[a.status]++
			if a.sent && a.err != nil && took > lossSlack && took < clientDeadline && len(f.runs.of(id)) == 0 {
				cut++
			}
		})
	}
	running.Wait()
	rec.add("batch %s: answers by status %v (0: none)", batch, statuses)
	return cut
}
