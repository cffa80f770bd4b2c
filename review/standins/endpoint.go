package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	// heartbeatTimeout is the time within which a heartbeat has to be acknowledged.
	heartbeatTimeout = time.Second
	// queueFactor is the number of requests that an endpoint queues for each slot.
	queueFactor = 0.7
	healthPath  = "/health"
)

// run is one run of a request at an endpoint.
type run struct {
	id, instance, caller string
	at                   time.Duration
}

// runLog has the runs at all endpoints.
type runLog struct {
	mu   sync.Mutex
	runs map[string][]run
}

func newRunLog() *runLog { return &runLog{runs: make(map[string][]run)} }

func (l *runLog) add(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[r.id] = append(l.runs[r.id], r)
}

func (l *runLog) of(id string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.runs[id]...)
}

// endpoint is a stand-in for the application endpoint of a machine. Its exported fields
// are set before start.
type endpoint struct {
	Service  string
	Instance string
	Address  string
	Control  string
	Zone     string
	Slots    int
	// Work is the time that a run takes, and BodyBytes the size of its answer. A request
	// may set them with the query values work_ms and body_bytes.
	Work      time.Duration
	BodyBytes int
	Runs      *runLog
	Record    *record
	// RecordRuns makes each run a line of the record.
	RecordRuns bool

	server   *http.Server
	born     int64
	slots    chan struct{}
	queued   atomic.Int64
	sequence atomic.Int64
	stop     chan struct{}
	stopped  sync.WaitGroup
}

func (e *endpoint) start() error {
	l, err := net.Listen("tcp", e.Address)
	if err != nil {
		return err
	}
	e.born = time.Now().UnixMilli()
	e.slots = make(chan struct{}, e.Slots)
	e.stop = make(chan struct{})
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	go func() { _ = e.server.Serve(l) }()
	e.stopped.Go(e.sendHeartbeats)
	return nil
}

func (e *endpoint) close() {
	close(e.stop)
	_ = e.server.Close()
	e.stopped.Wait()
}

func (e *endpoint) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Server-Load", fmt.Sprintf("%d,%d,%d", len(e.slots), e.queued.Load(), e.Slots))
	if r.URL.Path == healthPath {
		w.Header().Set("Instance-Id", e.Instance)
		return
	}
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != e.Instance {
		w.Header().Set("Instance-Id", e.Instance)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), remaining(r))
	defer cancel()
	if !e.takeSlot(ctx) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-e.slots }()
	e.run(ctx, w, r, id)
}

func remaining(r *http.Request) time.Duration {
	ms, err := strconv.ParseFloat(r.Header.Get("Deadline-Remaining"), 64)
	if err != nil || ms <= 0 {
		return time.Minute
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// takeSlot waits for a slot. It returns false when the queue is full or the deadline
// passes.
func (e *endpoint) takeSlot(ctx context.Context) bool {
	if e.queued.Add(1) > int64(queueFactor*float64(e.Slots))+1 {
		e.queued.Add(-1)
		return false
	}
	defer e.queued.Add(-1)
	select {
	case e.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (e *endpoint) run(ctx context.Context, w http.ResponseWriter, r *http.Request, id string) {
	caller := r.Header.Get("Caller-Service")
	e.Runs.add(run{id: id, instance: e.Instance, caller: caller, at: time.Since(e.Record.began)})
	if e.RecordRuns {
		e.Record.add("run      %s at %s, Caller-Service %q", id, e.Instance, caller)
	}
	work, size := e.Work, e.BodyBytes
	if ms, err := strconv.Atoi(r.URL.Query().Get("work_ms")); err == nil {
		work = time.Duration(ms) * time.Millisecond
	}
	if n, err := strconv.Atoi(r.URL.Query().Get("body_bytes")); err == nil {
		size = n
	}
	select {
	case <-time.After(work):
	case <-ctx.Done():
		w.Header().Set("Response-Signature", "late-"+id)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	w.Header().Set("Response-Signature", "signed-"+id)
	w.Header().Set("Content-Length", strconv.Itoa(size))
	_, _ = io.WriteString(w, strings.Repeat("x", size))
}

// heartbeat is the body of a report to a node.
type heartbeat struct {
	Address    string     `json:"address"`
	ServerInfo serverInfo `json:"serverInfo"`
	Status     status     `json:"status"`
	Born       int64      `json:"born"`
}

type serverInfo struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Zone    string `json:"zone"`
	Slots   int    `json:"slots"`
}

type status struct {
	State           string `json:"state"`
	Sequence        int64  `json:"sequence"`
	ColdRemainingMs int    `json:"coldRemainingMs"`
}

func (e *endpoint) sendHeartbeats() {
	for {
		e.report()
		select {
		case <-time.After(heartbeatInterval):
		case <-e.stop:
			return
		}
	}
}

// report sends one heartbeat.
func (e *endpoint) report() {
	h := heartbeat{
		Address:    e.Address,
		ServerInfo: serverInfo{Service: e.Service, Version: "v1", Zone: e.Zone, Slots: e.Slots},
		Status:     status{State: "ready", Sequence: e.sequence.Add(1)},
		Born:       e.born,
	}
	if code := postHeartbeat(e.Control, e.Instance, h); code != http.StatusOK {
		e.Record.add("heartbeat of %s not acknowledged: status %d", e.Instance, code)
	}
}

// postHeartbeat sends a heartbeat and returns the status of the answer, 0 if there was
// none.
func postHeartbeat(control, instance string, h heartbeat) int {
	body, err := json.Marshal(h)
	if err != nil {
		return 0
	}
	client := &http.Client{Timeout: heartbeatTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+control+"/rpc?call=instances.heartbeat&of="+instance, "application/json", strings.NewReader(string(body)))
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
