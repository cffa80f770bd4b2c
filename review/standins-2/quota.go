package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	quotaRate   = 40
	quotaBurst  = 20
	quotaWindow = 5 * time.Second
	// quotaBound is (requestsPerS x window + burst) x (1 + quotaOvershoot) + quotaSlack.
	quotaBound = (quotaRate*5+quotaBurst)*1.1 + 20
	quotaKey   = "key-of-the-tenant"
	// cutTime is how long the zone is cut off.
	cutTime = 95 * time.Second
	// pressAfter is when the tenant begins to send more than its quota, and pressInterval
	// the time between two of its requests at each machine.
	pressAfter    = 68 * time.Second
	pressTime     = 26 * time.Second
	pressInterval = 40 * time.Millisecond
)

// playQuota cuts one of two zones off while a tenant sends more than its quota in both.
func playQuota(r *recorder, trouble bool) error {
	f, err := newFleet(r, config{
		Version: "r1", Limits: usualLimits, Services: []service{newService("lobby")},
		Routes: []route{
			{Name: "browse", Host: "lobby.example", PathPrefix: "/browse/", Kind: "safe", TimeoutMs: 2000, TargetLatencyMs: 1500, Priority: 0, Service: "lobby", Attempts: 2},
		},
		Tenants: []tenant{{Name: "club", Credentials: []string{quotaKey}, Priority: 1, RequestsPerS: quotaRate, Burst: quotaBurst}},
	})
	if err != nil {
		return err
	}
	defer f.close()
	for _, zone := range []string{"a", "b"} {
		for i := range 3 {
			f.withClients = append(f.withClients, f.add(fmt.Sprintf("sidecar-%s-%d", zone, i+1), "zone-"+zone, "lobby", 36))
		}
	}
	var mu sync.Mutex
	var runs []time.Time
	for _, e := range f.endpoints {
		e.onRun = func(_ *endpoint, id string) {
			if strings.HasPrefix(id, "club") {
				mu.Lock()
				runs = append(runs, time.Now())
				mu.Unlock()
			}
		}
	}
	if err := f.useLinkProxies(); err != nil {
		return err
	}
	if err := f.start(); err != nil {
		return err
	}
	browse := request{host: "lobby.example", path: "/browse/1", method: http.MethodGet, deadline: 2 * time.Second, key: quotaKey}
	if err := f.awaitServed(browse); err != nil {
		return err
	}
	time.Sleep(quotaWindow)
	began := time.Now()
	if trouble {
		r.say("zone-b is cut off from zone-a")
		f.partition.cutOff("zone-b", true)
	}
	time.Sleep(time.Until(began.Add(pressAfter)))
	r.say("the tenant sends %.0f requests a second, its quota is %d", float64(len(f.withClients))/pressInterval.Seconds(), quotaRate)
	f.press(browse, "club", pressInterval, pressTime)
	mu.Lock()
	defer mu.Unlock()
	most, at := mostWithin(runs, quotaWindow)
	r.say("%d requests of the tenant ran, at most %d in %s from %d ms on; the rule allows %.0f", len(runs), most, quotaWindow, r.since(at), quotaBound)
	if float64(most) > quotaBound {
		return errBroken
	}
	return nil
}

// mostWithin returns the largest number of times within a window, and when it begins.
func mostWithin(times []time.Time, window time.Duration) (most int, at time.Time) {
	slices.SortFunc(times, time.Time.Compare)
	first := 0
	for i := range times {
		for times[i].Sub(times[first]) >= window {
			first++
		}
		if n := i - first + 1; n > most {
			most, at = n, times[first]
		}
	}
	return most, at
}
