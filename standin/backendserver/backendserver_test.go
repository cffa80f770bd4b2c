package backendserver_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/standin/answerchecker"
	"github.com/cassiatally/cassiatally/standin/backendserver"
	"github.com/cassiatally/cassiatally/standin/childcaller"
	"github.com/cassiatally/cassiatally/standin/core"
	"github.com/cassiatally/cassiatally/standin/sampler"
	"github.com/cassiatally/cassiatally/standin/slotqueue"
	"github.com/cassiatally/cassiatally/standin/systemclock"
)

type idleLifecycle struct{}

func (idleLifecycle) RunStarted(context.Context) bool { return true }
func (idleLifecycle) RunEnded()                       {}
func (idleLifecycle) Drain(context.Context) bool      { return true }
func (idleLifecycle) MarkReady(context.Context) bool  { return true }

// sink stores the recorded states in order and returns err.
type sink struct {
	mu     sync.Mutex
	states []core.RunState
	err    error
}

func (s *sink) Record(_ context.Context, r core.Run) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.states = append(s.states, r.State)
	return s.err
}

func (s *sink) Push(ctx context.Context, r core.Run) bool { return s.Record(ctx, r) == nil }

func (s *sink) recordedStates() []core.RunState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]core.RunState(nil), s.states...)
}

func startServer(t *testing.T, change func(*backendserver.Server)) (string, *backendserver.Server) {
	t.Helper()
	fixed, err := sampler.New(sampler.Fixed, 1)
	if err != nil {
		t.Fatal(err)
	}
	s := &backendserver.Server{
		Service: "avail-svc", Work: backendserver.Work{"check": nil}, Queue: slotqueue.New(1, 0), Sampler: fixed,
		Lifecycle: idleLifecycle{}, Clock: systemclock.New(), Exit: func(int) {},
	}
	change(s)
	s.Start()
	web := httptest.NewServer(s.Handler())
	t.Cleanup(func() {
		web.Close()
		s.Close()
	})
	return web.URL, s
}

type answer struct {
	status  int
	header  http.Header
	body    []byte
	problem struct{ Kind string }
}

func call(ctx context.Context, url, kind, body, timeout string) (answer, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/"+kind, bytes.NewReader([]byte(body)))
	if err != nil {
		return answer{}, err
	}
	req.Header.Set(core.HeaderRun, "run-1")
	if timeout != "" {
		req.Header.Set(core.HeaderTimeout, timeout)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	a := answer{status: resp.StatusCode, header: resp.Header}
	a.body, err = io.ReadAll(resp.Body)
	_ = json.Unmarshal(a.body, &a.problem)
	return a, err
}

func waitFor(t *testing.T, reached func() bool) {
	t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for !reached() {
		if time.Now().After(deadline) {
			t.Fatal("the condition was not reached in 30 s")
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against answers and records that do not match the outcome of a request.
func TestRequests(t *testing.T) {
	const long = time.Hour
	cases := []struct {
		name    string
		change  func(*backendserver.Server)
		kind    string
		timeout string
		status  int
		notRun  bool
		states  []core.RunState
	}{
		{"answered", func(*backendserver.Server) {}, "check", "", http.StatusOK, false, []core.RunState{core.RunStarted, core.RunFinished}},
		{"kind that is not offered", func(*backendserver.Server) {}, "other", "", http.StatusNotFound, true, nil},
		{"malformed timeout", func(*backendserver.Server) {}, "check", "soon", http.StatusBadRequest, true, nil},
		{"timeout expired", func(s *backendserver.Server) { s.ServiceTime = long }, "check", "20ms", http.StatusGatewayTimeout, false, []core.RunState{core.RunStarted, core.RunAborted}},
		{"crash after the record", func(s *backendserver.Server) {
			s.CrashOn = "r1"
			s.Exit = func(int) { panic(http.ErrAbortHandler) }
		}, "check", "", 0, false, []core.RunState{core.RunStarted}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			records := &sink{}
			url, s := startServer(t, func(s *backendserver.Server) {
				s.RunStarts, s.RunEnds = records, records
				c.change(s)
			})
			a, err := call(t.Context(), url, c.kind, `{"id":"r1"}`, c.timeout)
			is.Equal(err == nil, c.status != 0)
			is.Equal(a.status, c.status)
			is.Equal(a.header.Get(core.HeaderOutcome) == core.ReportedNotRun, c.notRun)
			is.Equal(records.recordedStates(), c.states)
			waitFor(t, func() bool { return s.Queue.Pending() == 0 }) // the slot is free again
		})
	}
}

// Guards against work that starts although the recorder has not accepted its
// record.
func TestNoWorkWithoutRecord(t *testing.T) {
	is := is.New(t)
	records := &sink{err: errors.New("recorder unreachable")}
	url, _ := startServer(t, func(s *backendserver.Server) { s.RunStarts, s.ServiceTime = records, time.Hour })
	a, err := call(t.Context(), url, "check", `{"id":"r1"}`, "")
	is.NoErr(err)
	is.Equal(a.status, http.StatusServiceUnavailable)
	is.Equal(a.header.Get(core.HeaderOutcome), "") // the record may have been stored
}

// Guards against a full backend server that queues without bound or records a
// refused request, and against a slot that stays occupied after its caller has
// disconnected.
func TestFullAndCancelled(t *testing.T) {
	is := is.New(t)
	records := &sink{}
	url, s := startServer(t, func(s *backendserver.Server) {
		s.RunStarts, s.RunEnds, s.ServiceTime = records, records, time.Hour
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		_, err := call(ctx, url, "check", `{"id":"r1"}`, "")
		ended <- err
	}()
	waitFor(t, func() bool { return len(records.recordedStates()) == 1 })
	a, err := call(t.Context(), url, "check", `{"id":"r2"}`, "")
	is.NoErr(err)
	is.Equal(a.status, http.StatusServiceUnavailable)
	is.Equal(a.header.Get(core.HeaderOutcome), core.ReportedNotRun)
	is.Equal(len(records.recordedStates()), 1)
	cancel()
	is.True(<-ended != nil)
	waitFor(t, func() bool { return s.Queue.Pending() == 0 })
	waitFor(t, func() bool { return len(records.recordedStates()) == 2 })
	is.Equal(records.recordedStates()[1], core.RunAborted)
}

// Guards against onward calls that a node cannot match to their parent run, and
// against an answer whose digest, size or id its caller cannot verify.
func TestOnwardCalls(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var seen []string
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d, err := time.ParseDuration(r.Header.Get(core.HeaderTimeout))
		mu.Lock()
		seen = append(seen, r.URL.Path+" "+r.Header.Get(core.HeaderRun)+" "+r.Header.Get(core.HeaderCall))
		is.NoErr(err)
		is.True(d > 0 && d <= time.Minute)
		mu.Unlock()
		_, _ = io.WriteString(w, `{"id":"r1"}`)
	}))
	defer node.Close()
	url, _ := startServer(t, func(s *backendserver.Server) {
		s.Work = backendserver.Work{"check": {{Service: "a", Kind: "x"}, {Service: "b", Kind: "y"}}}
		s.Children = &childcaller.Caller{Node: node.URL, Client: http.DefaultClient}
		s.AnswerSize = 500
	})
	a, err := call(t.Context(), url, "check", `{"id":"r1"}`, "1m")
	is.NoErr(err)
	is.Equal(seen, []string{"/v1/call/a/x run-1 1", "/v1/call/b/y run-1 2"})
	is.Equal(len(a.body), 500)
	check := answerchecker.Checker{ID: "r1", Service: "avail-svc", Kind: "check", MinSizeBytes: 500}
	is.Equal(check.Check(a.header.Get(core.HeaderContentDigest), a.body), core.FaultNone)
	check.ID = "r2"
	is.Equal(check.Check(a.header.Get(core.HeaderContentDigest), a.body), core.FaultForeign)
	is.Equal(check.Check(a.header.Get(core.HeaderContentDigest), a.body[:499]), core.FaultIncomplete)
	is.Equal(check.Check(answerchecker.Digest(nil), a.body), core.FaultCorrupted)
}

// Guards against a cold start that does not multiply the service time.
func TestColdStart(t *testing.T) {
	is := is.New(t)
	const serviceTime = 20 * time.Millisecond
	url, _ := startServer(t, func(s *backendserver.Server) { s.ServiceTime, s.ColdStart = serviceTime, time.Hour })
	begin := time.Now()
	a, err := call(t.Context(), url, "check", `{"id":"r1"}`, "")
	is.NoErr(err)
	is.Equal(a.status, http.StatusOK)
	is.True(time.Since(begin) >= 5*serviceTime)
}

// Guards against retries of onward calls that are not sent, or that are sent
// under another number than the call that failed.
func TestRetriedOnwardCall(t *testing.T) {
	cases := []struct {
		name    string
		retries int
		status  int
		numbers []string
	}{
		{"no retry", 0, http.StatusBadGateway, []string{"1"}},
		{"one retry", 1, http.StatusOK, []string{"1", "1"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var mu sync.Mutex
			var numbers []string
			node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				defer mu.Unlock()
				numbers = append(numbers, r.Header.Get(core.HeaderCall))
				if len(numbers) == 1 {
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				}
				_, _ = io.WriteString(w, `{"id":"r1"}`)
			}))
			defer node.Close()
			url, _ := startServer(t, func(s *backendserver.Server) {
				s.Work = backendserver.Work{"check": {{Service: "a", Kind: "x"}}}
				s.Children = &childcaller.Caller{Node: node.URL, Client: http.DefaultClient, Retries: c.retries}
			})
			a, err := call(t.Context(), url, "check", `{"id":"r1"}`, "1m")
			is.NoErr(err)
			is.Equal(a.status, c.status)
			mu.Lock()
			defer mu.Unlock()
			is.Equal(numbers, c.numbers)
		})
	}
}

// Guards against control values that are accepted but have no effect.
func TestControl(t *testing.T) {
	is := is.New(t)
	announced := make(chan backendserver.FalseAnnouncement, 1)
	url, _ := startServer(t, func(s *backendserver.Server) {
		s.ServiceTime = time.Hour
		s.SetFalseAnnouncement = func(_ context.Context, a backendserver.FalseAnnouncement) { announced <- a }
	})
	put := func(body string) int {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, url+"/control", bytes.NewReader([]byte(body)))
		is.NoErr(err)
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		defer resp.Body.Close()
		return resp.StatusCode
	}
	is.Equal(put(`{"service_time":"1ms","fail_rate":1}`), http.StatusOK)
	a, err := call(t.Context(), url, "check", `{"id":"r1"}`, "")
	is.NoErr(err)
	is.Equal(a.problem.Kind, cassiatally.KindBackendFailed.String())
	is.Equal(put(`{"lie":{"slots":500}}`), http.StatusOK)
	is.Equal(<-announced, backendserver.FalseAnnouncement{Slots: 500})
	is.Equal(put(`{"servicetime":"1ms"}`), http.StatusBadRequest)
	is.Equal(put(`{"state":"gone"}`), http.StatusBadRequest)
	is.Equal(put(`{"fail_rate":2}`), http.StatusBadRequest)
}
