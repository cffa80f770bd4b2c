package main

import (
	"fmt"
	"net/http"
	"time"
)

// callerService sends one heartbeat of another writer to a node before the first
// configuration is written. It names a service that is not in the configuration.
func callerService(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec, 2)
	if err != nil {
		return false, err
	}
	defer f.close()
	entry := f.addMachine("luzon-a", "archivo", 102, 60*time.Millisecond)
	serving := f.addMachine("luzon-b", "kasunduan", 102, 78*time.Millisecond)
	serving.endpoint.RecordRuns = true
	if err := f.start(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		h := heartbeat{
			Address: entry.IP + ":8311", ServerInfo: serverInfo{Service: "other-svc", Version: "v1", Zone: "luzon-a", Slots: 8},
			Status: status{State: "ready", Sequence: 1}, Born: time.Now().UnixMilli(),
		}
		rec.add("heartbeat of another writer to %s, service %s: status %d", entry.Name, h.ServerInfo.Service, postHeartbeat(entry.control(), "i-other-1", h))
	}
	time.Sleep(2 * time.Second)
	f.store.publish(configOf([]route{safeRoute("lookup", "archivo"), signRoute("kasunduan")}, "archivo", "kasunduan"))
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second) // traffic starts later than the machines do
	wrong := 0
	const requests = 50
	for i := range requests {
		id := fmt.Sprintf("call%d", i)
		a := send(entry.outbound(), request{
			Method: http.MethodPost, Host: "sign.example", Target: fmt.Sprintf("/sign/%d", i), ID: id, Body: "letter", Remaining: clientDeadline,
		})
		rec.add("answered %s: %v", id, a)
		for _, r := range f.runs.of(id) {
			if r.caller != entry.Service {
				wrong++
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	rec.add("%d of %d requests from the machine of %s ran with another Caller-Service", wrong, requests, entry.Service)
	return wrong > 0, nil
}
