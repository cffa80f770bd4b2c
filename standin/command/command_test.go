package command_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/standin/command"
	"github.com/cassiatally/cassiatally/standin/command/environment"
	"github.com/cassiatally/cassiatally/standin/systemclock"
)

// fakeNode forwards calls to the backend servers that have announced themselves.
type fakeNode struct {
	mu        sync.Mutex
	addresses map[string]string
	withdrawn int
	keys      int
	runs      int
	// sendTwice makes the node send each call twice, which violates the guarantee for
	// requests with a key.
	sendTwice bool
}

func (n *fakeNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	switch parts[1] {
	case "announce":
		n.announce(r)
	case "keys":
		n.mu.Lock()
		n.keys++
		fmt.Fprintf(w, `{"key":"dc.0.1.%016x"}`, n.keys)
		n.mu.Unlock()
	case "call":
		body, _ := io.ReadAll(r.Body)
		n.mu.Lock()
		twice := n.sendTwice
		n.mu.Unlock()
		if twice {
			n.forward(httptest.NewRecorder(), r, parts[2], parts[3], body)
		}
		n.forward(w, r, parts[2], parts[3], body)
	}
}

func (n *fakeNode) announce(r *http.Request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r.Method == http.MethodDelete {
		n.withdrawn++
		return
	}
	var body struct{ Service, Address string }
	_ = json.NewDecoder(r.Body).Decode(&body)
	n.addresses[body.Service] = body.Address
}

func (n *fakeNode) forward(w http.ResponseWriter, r *http.Request, service, kind string, body []byte) {
	n.mu.Lock()
	address := n.addresses[service]
	n.runs++
	run := fmt.Sprintf("run-%d", n.runs)
	n.mu.Unlock()
	req, _ := http.NewRequestWithContext(r.Context(), http.MethodPost, "http://"+address+"/"+kind, bytes.NewReader(body))
	for _, h := range []string{"Cassiatally-Timeout", "Cassiatally-Tenant", "Idempotency-Key"} {
		if v := r.Header.Get(h); v != "" {
			req.Header.Set(h, v)
		}
	}
	req.Header.Set("Cassiatally-Run", run)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer resp.Body.Close()
	answer, _ := io.ReadAll(resp.Body)
	for h, v := range resp.Header {
		w.Header()[h] = v
	}
	w.WriteHeader(resp.StatusCode)
	_, _ = w.Write(answer)
}

func (n *fakeNode) waitFor(t *testing.T, reached func() bool) {
	t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for time.Now().Before(deadline) {
		n.mu.Lock()
		ok := reached()
		n.mu.Unlock()
		if ok {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the condition was not reached in 30 s")
}

// startServer runs a server command and returns its address and a function that stops
// it and returns its exit code.
func startServer(t *testing.T, args ...string) (string, func() cassiatally.ExitCode) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	r, w := io.Pipe()
	code := make(chan cassiatally.ExitCode, 1)
	go func() {
		code <- run(ctx, w, args...)
		_ = w.Close()
	}()
	line, err := bufio.NewReader(r).ReadString('\n')
	if err != nil {
		t.Fatalf("%s printed no address: %v", args[0], err)
	}
	address := strings.TrimPrefix(strings.TrimSpace(line), "listening address=")
	return address, func() cassiatally.ExitCode {
		cancel()
		return <-code
	}
}

func run(ctx context.Context, w io.Writer, args ...string) cassiatally.ExitCode {
	env := &environment.Environment{
		Stdin: strings.NewReader(""), Stdout: w, Stderr: io.Discard, Clock: systemclock.New(), Exit: func(int) {},
	}
	return command.Run(ctx, append([]string{"cassiatally-standin"}, args...), env)
}

const plan = `
classes:
  - {name: confirm, service: booking-svc, kind: confirm, tenants: [club, school], timeout: 30s, keyed: true, answer_size: 300}
phases:
  - {name: base, duration: 300ms, rates: {confirm: 100}}
`

// Guards against stand-ins that do not work together: announcements, onward calls,
// records and results have to match, and a duplicate run has to be reported as a
// violation.
func TestChainReconciles(t *testing.T) {
	cases := []struct {
		name  string
		twice bool
		want  cassiatally.ExitCode
	}{
		{"node that runs calls once", false, cassiatally.ExitSuccess},
		{"node that runs calls twice", true, cassiatally.ExitFailure},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			node := &fakeNode{addresses: make(map[string]string)}
			web := httptest.NewServer(node)
			defer web.Close()
			records, stopRecorder := startServer(t, "recorder")
			var stops []func() cassiatally.ExitCode
			for _, args := range [][]string{
				{"backend", "--service", "booking-svc", "--work", "confirm=[avail-svc/check,avail-svc/check]"},
				{"backend", "--service", "avail-svc", "--work", "check"},
			} {
				args = append(args, "--node", web.URL, "--recorder", "http://"+records, "--service-time", "1ms", "--answer-size", "300", "--queue", "1000")
				_, stop := startServer(t, args...)
				stops = append(stops, stop)
			}
			node.waitFor(t, func() bool { return len(node.addresses) == 2 })
			node.mu.Lock()
			node.sendTwice = c.twice
			node.mu.Unlock()
			path := filepath.Join(t.TempDir(), "plan.yaml")
			is.NoErr(os.WriteFile(path, []byte(plan), 0o600))
			var table bytes.Buffer
			is.Equal(run(t.Context(), &table, "load", "--node", web.URL, "--plan", path, "--recorder", "http://"+records, "--json"), cassiatally.ExitSuccess)
			var body struct {
				Rows []struct {
					Offered int `json:"offered"`
					InTime  int `json:"in_time"`
				}
			}
			is.NoErr(json.Unmarshal(table.Bytes(), &body))
			is.Equal(len(body.Rows), 1)
			is.True(body.Rows[0].Offered > 0)
			is.Equal(body.Rows[0].InTime, body.Rows[0].Offered)
			for _, stop := range stops {
				is.Equal(stop(), cassiatally.ExitSuccess)
			}
			is.Equal(node.withdrawn, len(stops)) // each drained backend server withdraws its announcement
			is.Equal(run(t.Context(), io.Discard, "reconcile", "--recorder", "http://"+records, "--json"), c.want)
			is.Equal(stopRecorder(), cassiatally.ExitSuccess)
		})
	}
}

// Guards against usage errors that exit with another status or that end the
// process, as flaggy does by default.
func TestExitCodes(t *testing.T) {
	cases := []struct {
		name string
		args []string
		want cassiatally.ExitCode
	}{
		{"no command", nil, cassiatally.ExitUsage},
		{"unknown command", []string{"nothing"}, cassiatally.ExitUsage},
		{"unknown flag", []string{"log", "--nothing", "1"}, cassiatally.ExitUsage},
		{"value of another type", []string{"log", "--retention", "long"}, cassiatally.ExitUsage},
		{"missing flag", []string{"backend"}, cassiatally.ExitUsage},
		{"onward calls without a node", []string{"backend", "--service", "a", "--work", "k=[b/k]"}, cassiatally.ExitUsage},
		{"malformed route", []string{"faults", "--route", "a=b"}, cassiatally.ExitUsage},
		{"help", []string{"load", "--help"}, cassiatally.ExitSuccess},
		{"recorder unreachable", []string{"reconcile", "--recorder", "http://127.0.0.1:1"}, cassiatally.ExitFailure},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(run(t.Context(), io.Discard, c.args...), c.want)
		})
	}
}
