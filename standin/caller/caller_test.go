package caller_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/standin/answerchecker"
	"github.com/cassiatally/cassiatally/standin/caller"
	"github.com/cassiatally/cassiatally/standin/core"
	"github.com/cassiatally/cassiatally/standin/loadplan"
)

// reply selects how the fake node answers one copy of a request.
type reply string

const (
	replyOK      reply = "ok"
	replyForeign reply = "foreign"
	replyShort   reply = "short"
	replyRefused reply = "refused"
	replyLost    reply = "lost"
	replySilent  reply = "silent"
)

type fakeNode struct {
	mu           sync.Mutex
	replies      []reply
	copies       []string
	mintedKeys   int
	outcomeOfKey string
}

func (n *fakeNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/v1/keys":
		n.mu.Lock()
		n.mintedKeys++
		n.mu.Unlock()
		_, _ = io.WriteString(w, `{"key":"key-`+strings.Repeat("x", n.mintedKeys)+`"}`)
	case strings.HasPrefix(r.URL.Path, "/v1/keys/"):
		w.Header().Set(core.HeaderOutcome, n.outcomeOfKey)
	default:
		n.answer(w, r)
	}
}

func (n *fakeNode) answer(w http.ResponseWriter, r *http.Request) {
	_, _ = io.ReadAll(r.Body)
	n.mu.Lock()
	next := n.replies[0]
	n.replies = n.replies[1:]
	n.copies = append(n.copies, r.Header.Get(core.HeaderKey)+"/"+r.Header.Get(core.HeaderAttempt))
	n.mu.Unlock()
	body := `{"service":"s","kind":"k","id":"r1"}`
	switch next {
	case replyLost:
		panic(http.ErrAbortHandler)
	case replySilent:
		<-r.Context().Done()
		return
	case replyRefused:
		w.Header().Set(core.HeaderOutcome, core.ReportedNotRun)
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, `{"type":"about:blank","kind":"overloaded"}`)
		return
	case replyForeign:
		body = `{"service":"s","kind":"k","id":"r2"}`
	}
	w.Header().Set(core.HeaderContentDigest, answerchecker.Digest([]byte(body)))
	w.Header().Set(core.HeaderOutcome, core.ReportedRan)
	if next == replyShort {
		w.Header().Set("Content-Length", "100")
	}
	_, _ = io.WriteString(w, body)
}

// Guards against a result that claims more than the answers prove: only a node's
// answer for the key covers an earlier copy whose answer was lost.
func TestOutcomes(t *testing.T) {
	hard := loadplan.Resend{Policy: loadplan.ResendHard, Count: 1}
	onRefusal := loadplan.Resend{Policy: loadplan.ResendHard, Count: 1, OnRefusal: true}
	none := loadplan.Resend{Policy: loadplan.ResendNone}
	cases := []struct {
		name    string
		resend  loadplan.Resend
		keyed   bool
		replies []reply
		outcome string
		fault   core.Fault
		copies  []string
	}{
		{"answered", none, false, []reply{replyOK}, core.ReportedRan, core.FaultNone, []string{"/"}},
		{"answer of another request", none, false, []reply{replyForeign}, core.ReportedRan, core.FaultForeign, []string{"/"}},
		{"answer cut short", none, false, []reply{replyShort}, core.ReportedRan, core.FaultIncomplete, []string{"/"}},
		{"refused", none, false, []reply{replyRefused}, core.ReportedNotRun, core.FaultNone, []string{"/"}},
		{"connection lost", none, true, []reply{replyLost}, core.ReportedUnknown, core.FaultNone, []string{"key-x/1"}},
		{"timeout, then answered", hard, true, []reply{replySilent, replyOK}, core.ReportedRan, core.FaultNone, []string{"key-x/1", "key-x/2"}},
		{"lost without a key, then refused", hard, false, []reply{replyLost, replyRefused}, core.ReportedUnknown, core.FaultNone, []string{"/", "/"}},
		{"lost with a key, then refused", hard, true, []reply{replyLost, replyRefused}, core.ReportedNotRun, core.FaultNone, []string{"key-x/1", "key-x/2"}},
		{"refused, not sent again", hard, true, []reply{replyRefused}, core.ReportedNotRun, core.FaultNone, []string{"key-x/1"}},
		{"refused, then a new key", onRefusal, true, []reply{replyRefused, replyOK}, core.ReportedRan, core.FaultNone, []string{"key-x/1", "key-xx/1"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			node := &fakeNode{replies: c.replies}
			web := httptest.NewServer(node)
			defer web.Close()
			reported := doRequest(t, web.URL, loadplan.Class{Resend: c.resend, Keyed: c.keyed})
			is.Equal(reported.Outcome, c.outcome)
			is.Equal(reported.Fault, c.fault)
			is.Equal(reported.Attempts, len(c.copies))
			is.Equal(reported.InTime, c.outcome == core.ReportedRan && c.fault == core.FaultNone)
			node.mu.Lock()
			defer node.mu.Unlock()
			is.Equal(node.copies, c.copies)
		})
	}
}

func doRequest(t *testing.T, url string, class loadplan.Class) core.ReportedResult {
	t.Helper()
	class.Name, class.Service, class.Kind = "c", "s", "k"
	class.Timeout, class.Target = time.Second, time.Minute
	c := &caller.Caller{Nodes: []string{url}, Client: &http.Client{Transport: &http.Transport{}}}
	return c.Do(t.Context(), caller.Job{ID: "r1", Class: class, Phase: "p", Due: time.Now()})
}

// Guards against an unknown outcome that is not looked up.
func TestLookUp(t *testing.T) {
	is := is.New(t)
	node := &fakeNode{replies: []reply{replyLost}, outcomeOfKey: core.ReportedRan}
	web := httptest.NewServer(node)
	defer web.Close()
	reported := doRequest(t, web.URL, loadplan.Class{Keyed: true, Lookups: 1})
	is.Equal(reported.Outcome, core.ReportedUnknown)
	is.Equal(reported.LookedUp, core.ReportedRan)
}

// Guards against a request that could not be sent but whose outcome is reported as
// unknown.
func TestUnreachable(t *testing.T) {
	is := is.New(t)
	web := httptest.NewServer(http.NotFoundHandler())
	web.Close()
	reported := doRequest(t, web.URL, loadplan.Class{})
	is.Equal(reported.Outcome, core.ReportedNotRun)
	is.Equal(reported.ErrorKind, "caller_unreachable")
}
