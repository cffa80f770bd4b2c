package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	drainBound = 2 * time.Second
	// servesOn is how long an endpoint serves after the acknowledgement of its departure.
	servesOn = 6 * time.Second
)

// drain sends one heartbeat of another writer with fields missing, and then drains the
// endpoint.
func drain(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec, 2)
	if err != nil {
		return false, err
	}
	defer f.close()
	entry := f.addMachine("luzon-a", "archivo", 102, 60*time.Millisecond)
	leaving := f.addMachine("luzon-b", "kasunduan", 102, 78*time.Millisecond)
	f.store.publish(configOf("r7", []route{safeRoute("lookup", "archivo"), unsafeRoute("sign", "kasunduan")}, "archivo", "kasunduan"))
	if err := f.start(); err != nil {
		return false, err
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(stability)
	if trouble {
		body := map[string]any{
			"address": leaving.application(), "serverInfo": map[string]any{"service": "kasunduan", "slots": 102},
			"status": map[string]any{"state": "ready", "sequence": 100000},
		}
		rec.add("heartbeat of another writer: status %d", postRaw(leaving.control(), leaving.endpoint.Instance, body))
	}
	time.Sleep(200 * time.Millisecond)
	leaving.endpoint.draining.Store(true)
	rec.add("draining %s", leaving.endpoint.Instance)
	late := 0
	began := time.Now()
	for i := 0; time.Since(began) < servesOn; i++ {
		id := fmt.Sprintf("d%d", i)
		sent := time.Since(rec.began)
		a := send(entry.outbound(), request{
			Method: http.MethodPost, Host: "sign.example", Target: fmt.Sprintf("/sign/%d", i), ID: id, Body: "letter", Remaining: clientDeadline,
		})
		acknowledged := time.Duration(leaving.endpoint.acknowledged.Load())
		for _, r := range f.runs.of(id) {
			if acknowledged != 0 && r.at > acknowledged+drainBound {
				late++
				rec.add("run      %s sent at %.3f, %.2f s after the acknowledgement: %v", id, sent.Seconds(), (r.at - acknowledged).Seconds(), a)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	rec.add("%d requests reached %s later than %v after the acknowledgement", late, leaving.endpoint.Instance, drainBound)
	return late > 0, nil
}
