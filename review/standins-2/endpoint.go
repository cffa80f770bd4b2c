package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const ackTimeout = time.Second

// endpoint stands in for the application server of a machine.
type endpoint struct {
	machine *machine
	id      string
	slots   int
	// work returns how long a request runs, and loses whether its answer is lost: the
	// connection is closed instead. They are set before the first request.
	work  func(id string) time.Duration
	loses func(id string) bool
	// onRun is called when a run begins, and onEnd when it has come to a good end.
	onRun func(e *endpoint, id string)
	onEnd func(id string)

	record   *recorder
	server   *http.Server
	born     int64
	sequence atomic.Int64
	running  atomic.Int64
	slot     chan struct{}
	leaving  atomic.Bool
	stop     chan struct{}
	beats    sync.WaitGroup
	ending   sync.Once
}

func newEndpoint(m *machine, slots int) *endpoint {
	return &endpoint{
		machine: m, id: fmt.Sprintf("i-%s-%d", m.name, rand.Uint32()), slots: slots, record: m.record,
		born: time.Now().UnixMilli(), slot: make(chan struct{}, slots), stop: make(chan struct{}),
		work: func(string) time.Duration { return 20 * time.Millisecond }, loses: func(string) bool { return false },
		onRun: func(*endpoint, string) {}, onEnd: func(string) {},
	}
}

// start begins to serve and to send heartbeats.
func (e *endpoint) start() error {
	listener, err := net.Listen("tcp", e.machine.application())
	if err != nil {
		return err
	}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	go func() { _ = e.server.Serve(listener) }()
	e.beats.Go(e.sendHeartbeats)
	return nil
}

// exit ends the endpoint with the requests that still run there.
func (e *endpoint) exit() {
	e.ending.Do(func() {
		e.record.note("endpoint %s exits", e.id)
		close(e.stop)
		if e.server != nil {
			_ = e.server.Close()
		}
		e.beats.Wait()
	})
}

func (e *endpoint) stateLoad(h http.Header) {
	running := e.running.Load()
	h.Set("Server-Load", fmt.Sprintf("%d,%d,%d", min(running, int64(e.slots)), max(running-int64(e.slots), 0), e.slots))
}

func (e *endpoint) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", e.id)
		e.stateLoad(w.Header())
		if e.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.running.Add(1)
	defer e.running.Add(-1)
	select {
	case e.slot <- struct{}{}:
		defer func() { <-e.slot }()
	case <-r.Context().Done():
		return
	}
	e.record.note("run %s at %s, %d bytes, Deadline-Remaining %s", id, e.id, len(body), r.Header.Get("Deadline-Remaining"))
	e.onRun(e, id)
	select {
	case <-time.After(e.work(id)):
	case <-r.Context().Done():
		e.record.note("run %s at %s dropped, its connection was closed", id, e.id)
		return
	}
	if e.loses(id) {
		e.record.note("run %s at %s ended, its answer is lost", id, e.id)
		hangUp(w)
		return
	}
	e.onEnd(id)
	e.stateLoad(w.Header())
	w.Header().Set("Keep-Alive", "timeout=10")
	w.Header().Set("Response-Signature", "signed-"+id)
	_, _ = io.WriteString(w, e.machine.service+" "+id)
	e.record.note("run %s at %s answered", id, e.id)
}

// hangUp closes the connection of a request without an answer.
func hangUp(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

func (e *endpoint) sendHeartbeats() {
	for {
		e.report(e.stateName())
		select {
		case <-time.After(heartbeatMs * time.Millisecond):
		case <-e.stop:
			return
		}
	}
}

func (e *endpoint) stateName() string {
	if e.leaving.Load() {
		return "draining"
	}
	return "ready"
}

// report sends a heartbeat and returns whether it was acknowledged.
func (e *endpoint) report(state string) bool {
	body := fmt.Sprintf(`{"address":%q,"serverInfo":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":%q,"sequence":%d,"coldRemainingMs":0},"born":%d}`,
		e.machine.application(), e.machine.service, e.machine.zone, e.slots, state, e.sequence.Add(1), e.born)
	return e.call("instances.heartbeat", body)
}

func (e *endpoint) call(name, body string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), ackTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/rpc?call=%s&of=%s", e.machine.control(), name, e.id)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode >= 200 && resp.StatusCode < 300
}

// drain reports that the endpoint is leaving until that is acknowledged, and returns when
// it was.
func (e *endpoint) drain() (acknowledged time.Time, ok bool) {
	e.leaving.Store(true)
	for range 5 {
		if e.report("draining") {
			at := time.Now()
			e.record.note("endpoint %s: draining is acknowledged", e.id)
			return at, true
		}
		time.Sleep(heartbeatMs * time.Millisecond / 2)
	}
	return time.Time{}, false
}
