package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// press sends requests of the clients of all machines that have some, at a steady rate, and
// waits for their answers. The name is that of their kind and begins their ids. Clients of a
// machine that is not ready send nothing.
func (f *fleet) press(r request, name string, interval, length time.Duration) {
	var sending sync.WaitGroup
	end := time.Now().Add(length)
	for i, m := range f.withClients {
		sending.Go(func() {
			tick := time.NewTicker(interval)
			defer tick.Stop()
			for n := 0; time.Now().Before(end); n++ {
				one := r
				one.id = fmt.Sprintf("%s%d-%d", name, i, n)
				if m.isReady.Load() {
					sending.Go(func() { f.answers.add(name, f.clients[m].send(one)) })
				}
				<-tick.C
			}
		})
	}
	sending.Wait()
}

// sendTogether sends requests at the same time and waits for their answers.
func (f *fleet) sendTogether(m *machine, r request, name string, n int) {
	var sending sync.WaitGroup
	for i := range n {
		one := r
		one.id = fmt.Sprintf("%s%d", name, i)
		sending.Go(func() { f.clients[m].send(one) })
	}
	sending.Wait()
}

// tally counts the answers to the requests of each kind.
type tally struct {
	mu       sync.Mutex
	statuses map[string]map[int]int
}

func newTally() *tally { return &tally{statuses: make(map[string]map[int]int)} }

func (t *tally) add(kind string, a answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.statuses[kind] == nil {
		t.statuses[kind] = make(map[int]int)
	}
	t.statuses[kind][a.status]++
}

// served returns the requests of a kind that were answered with 200, and all of them.
func (t *tally) served(kind string) (served, all int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range t.statuses[kind] {
		all += n
	}
	return t.statuses[kind][http.StatusOK], all
}

// String lists the kinds of requests with the number of answers of each status.
func (t *tally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprint(t.statuses)
}
