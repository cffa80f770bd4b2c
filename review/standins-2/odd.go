package main

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// oddHeader has a byte that is legal in a header field and is no UTF-8.
	oddHeader = "caf\xe9"
	// oddInterval is the time between two odd requests at each machine, and oddTime how long
	// the requests of all kinds are sent.
	oddInterval   = 100 * time.Millisecond
	oddTime       = 20 * time.Second
	usualInterval = 100 * time.Millisecond
	calendarWork  = 900 * time.Millisecond
	usualWork     = 100 * time.Millisecond
	// starvedPart is the part of the served share of all requests below which a kind of
	// request is starved.
	starvedPart = 0.25
)

// playOdd lets a few clients send requests with an odd header line beside ordinary clients.
func playOdd(r *recorder, trouble bool) error {
	f, err := newFleet(r, config{
		Version: "r1", Limits: usualLimits, Services: []service{newService("hall"), newService("depot")},
		Routes: []route{
			{Name: "calendar", Host: "hall.example", PathPrefix: "/calendar/", Kind: "safe", TimeoutMs: 3000, TargetLatencyMs: 1500, Priority: 0, Service: "hall", Attempts: 2},
			{Name: "book", Host: "hall.example", PathPrefix: "/book/", Kind: "unsafe", TimeoutMs: 3000, TargetLatencyMs: 1500, Priority: 0, Service: "hall", Attempts: 2},
			{Name: "note", Host: "hall.example", PathPrefix: "/note/", Kind: "safe", TimeoutMs: 3000, TargetLatencyMs: 1500, Priority: 2, Service: "hall", Attempts: 2},
			{Name: "view", Host: "depot.example", PathPrefix: "/view/", Kind: "safe", TimeoutMs: 3000, TargetLatencyMs: 1500, Priority: 1, Service: "depot", Attempts: 2},
		},
	})
	if err != nil {
		return err
	}
	defer f.close()
	for _, zone := range []string{"a", "b"} {
		f.add("sidecar-"+zone+"-1", "zone-"+zone, "hall", 73)
		for _, name := range []string{"-2", "-3"} {
			f.withClients = append(f.withClients, f.add("sidecar-"+zone+name, "zone-"+zone, "depot", 73))
		}
	}
	var mu sync.Mutex
	ended := make(map[string]bool)
	for _, e := range f.endpoints {
		e.onEnd = func(id string) {
			mu.Lock()
			defer mu.Unlock()
			ended[id] = strings.HasPrefix(id, "calendar")
		}
		e.work = func(id string) time.Duration {
			if strings.HasPrefix(id, "calendar") {
				return calendarWork
			}
			return usualWork
		}
	}
	if err := f.start(); err != nil {
		return err
	}
	view := request{host: "depot.example", path: "/view/1", method: http.MethodGet, deadline: 3 * time.Second}
	calendar := request{host: "hall.example", path: "/calendar/1", method: http.MethodGet, deadline: 3 * time.Second}
	book := request{host: "hall.example", path: "/book/1", method: http.MethodPost, deadline: 3 * time.Second, body: []byte("seat 1")}
	note := request{host: "hall.example", path: "/note/1", method: http.MethodGet, deadline: 3 * time.Second, note: "cafe"}
	if trouble {
		note.note = oddHeader
	}
	for _, probe := range []request{view, calendar} {
		if err := f.awaitServed(probe); err != nil {
			return err
		}
	}
	ordinary := map[string]request{"calendar": calendar, "book": book, "view": view}
	var sending sync.WaitGroup
	for name, one := range ordinary {
		sending.Go(func() { f.press(one, name, usualInterval, oddTime) })
	}
	sending.Go(func() { f.press(note, "note", oddInterval, oddTime) })
	sending.Wait()
	r.say("answers by kind and status: %v", f.answers)
	mu.Lock()
	defer mu.Unlock()
	completed := 0
	for _, isCalendar := range ended {
		if isCalendar {
			completed++
		}
	}
	served, _ := f.answers.served("calendar")
	r.say("calendar: endpoints completed %d requests, clients got the answers to %d", completed, served)
	return f.judgeStarved(slices.Sorted(maps.Keys(ordinary)))
}

// judgeStarved returns errBroken if one of the kinds of ordinary requests is served less
// than a quarter as often as all requests, the odd ones among them.
func (f *fleet) judgeStarved(kinds []string) error {
	served, all := f.answers.served("note")
	share := make(map[string]float64)
	for _, kind := range kinds {
		s, n := f.answers.served(kind)
		served, all = served+s, all+n
		share[kind] = float64(s) / float64(max(n, 1))
	}
	ofAll := float64(served) / float64(max(all, 1))
	var err error
	for _, kind := range kinds {
		f.record.say("%s: %.3f of its requests are served, %.3f of all requests", kind, share[kind], ofAll)
		if share[kind] < starvedPart*ofAll {
			err = errBroken
		}
	}
	return err
}
