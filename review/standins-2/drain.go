package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	drainTime = 2000 * time.Millisecond // the bound drainMs
	// longWork is how long the requests of the case run, and stayTime how long the endpoint
	// serves after its acknowledgement.
	longWork = 2800 * time.Millisecond
	stayTime = 3500 * time.Millisecond
	// longRequests are sent together; of each five, lostOfFive lose their answer (x = 0.4).
	longRequests = 30
	lostOfFive   = 2
)

// playDrain lets an endpoint leave in the planned way while requests run there, some of
// whose answers are lost.
func playDrain(r *recorder, trouble bool) error {
	f, err := newFleet(r, config{
		Version: "r1", Limits: usualLimits, Services: []service{newService("depot"), newService("desk")},
		Routes: []route{
			{Name: "view", Host: "depot.example", PathPrefix: "/view/", Kind: "safe", TimeoutMs: 10000, TargetLatencyMs: 5000, Priority: 1, Service: "depot", Attempts: 2},
		},
	})
	if err != nil {
		return err
	}
	defer f.close()
	leaver := f.add("sidecar-a-1", "zone-a", "depot", 127)
	f.add("sidecar-b-1", "zone-b", "depot", 127)
	entry := f.add("sidecar-a-2", "zone-a", "desk", 127)
	f.add("sidecar-b-2", "zone-b", "desk", 127)

	var mu sync.Mutex
	acknowledged := time.Time{}
	late, ran, lost := 0, 0, map[string]bool{}
	for _, e := range f.endpoints {
		e.work = func(id string) time.Duration {
			if strings.HasPrefix(id, "long") {
				return longWork
			}
			return 50 * time.Millisecond
		}
		e.onRun = func(e *endpoint, id string) {
			mu.Lock()
			defer mu.Unlock()
			if e.machine != leaver {
				return
			}
			ran++
			if after := time.Since(acknowledged); !acknowledged.IsZero() && after > drainTime {
				late++
				r.say("request %s reached the endpoint %d ms after its leaving was acknowledged", id, after.Milliseconds())
			}
		}
	}
	f.endpoints[leaver].loses = func(id string) bool {
		var n int
		if _, err := fmt.Sscanf(id, "long%d", &n); err != nil || !trouble || n%5 >= lostOfFive {
			return false
		}
		mu.Lock()
		defer mu.Unlock()
		if lost[id] {
			return false // one answer of a request is lost, not each
		}
		lost[id] = true
		return true
	}
	if err := f.start(); err != nil {
		return err
	}
	view := request{host: "depot.example", path: "/view/1", method: http.MethodGet, deadline: 9 * time.Second}
	if err := f.awaitServed(view); err != nil {
		return err
	}
	// Ordinary requests, after which the processes keep connections to the endpoints.
	f.sendTogether(entry, view, "usual", 80)
	time.Sleep(4 * time.Second)
	f.sendTogether(entry, view, "again", 80)

	var answers sync.WaitGroup
	answers.Go(func() { f.sendTogether(entry, view, "long", longRequests) })
	time.Sleep(200 * time.Millisecond)
	at, ok := f.endpoints[leaver].drain()
	if !ok {
		return fmt.Errorf("the leaving of the endpoint was not acknowledged")
	}
	mu.Lock()
	acknowledged = at
	mu.Unlock()
	time.Sleep(time.Until(at.Add(stayTime)))
	f.endpoints[leaver].call("instances.leave", "{}")
	f.endpoints[leaver].exit()
	answers.Wait()
	mu.Lock()
	defer mu.Unlock()
	r.say("%d runs at the leaving endpoint, %d answers lost, %d requests reached it later than drainMs after its acknowledgement", ran, len(lost), late)
	if late > 0 {
		return errBroken
	}
	return nil
}
