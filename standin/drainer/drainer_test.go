package drainer_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/standin/announcer"
	"github.com/cassiatally/cassiatally/standin/drainer"
)

// fakeNode records the announcements and refuses the first one.
type fakeNode struct {
	mu   sync.Mutex
	seen []string
}

func (n *fakeNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.seen = append(n.seen, r.Method+" "+string(body))
	if len(n.seen) == 1 {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (n *fakeNode) last() (int, string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.seen) == 0 {
		return 0, ""
	}
	return len(n.seen), n.seen[len(n.seen)-1]
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

// Guards against a backend server that is not announced again after a refusal, is
// withdrawn while a run is in flight, or is announced again after its withdrawal.
func TestAnnounceDrainWithdraw(t *testing.T) {
	is := is.New(t)
	node := &fakeNode{}
	web := httptest.NewServer(node)
	defer web.Close()
	a := &announcer.Announcer{Node: web.URL, Client: http.DefaultClient, Logger: log.New(io.Discard)}
	a.Start(t.Context())
	defer a.Close()
	d := &drainer.Drainer{
		Announce: func(ctx context.Context, s cassiatally.EndpointState) {
			_ = a.Set(ctx, announcer.Announcement{Service: "avail-svc", Address: "127.0.0.1:1", Slots: 2, Connections: 3, State: s})
		},
		Withdraw: func(ctx context.Context) { is.NoErr(a.Withdraw(ctx)) },
	}
	d.Start(t.Context())
	defer d.Close()
	const ready = `PUT {"service":"avail-svc","address":"127.0.0.1:1","slots":2,"connections":3,"state":"ready"}`
	const draining = `PUT {"service":"avail-svc","address":"127.0.0.1:1","slots":2,"connections":3,"state":"draining"}`
	waitFor(t, func() bool { n, last := node.last(); return n >= 2 && last == ready }) // announced again after the refusal
	is.True(d.RunStarted(t.Context()))
	is.True(d.Drain(t.Context()))
	waitFor(t, func() bool { _, last := node.last(); return last == draining })
	before, _ := node.last()
	waitFor(t, func() bool { n, _ := node.last(); return n >= before+2 }) // two more intervals
	select {
	case <-d.Drained():
		t.Fatal("drained while a run is in flight")
	default:
	}
	d.RunEnded()
	<-d.Drained()
	n, last := node.last()
	is.Equal(last, "DELETE ")
	time.Sleep(1500 * time.Millisecond) // longer than the interval of announcements
	after, _ := node.last()
	is.Equal(after, n)
}
