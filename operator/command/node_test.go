package command_test

import (
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/operator/adviser"
)

const (
	firstKey  = "dc.0.1.0000000000000001"
	secondKey = "dc.0.1.0000000000000002"
)

// reply is one answer of a fake node.
type reply struct {
	outcome, kind string
	status        int
	body          string
	// damage changes the response after its digest was taken: "digest", "length" or
	// "none" for a connection that ends without a response.
	damage string
}

func (r reply) write(w http.ResponseWriter) {
	body := r.body
	if r.kind != "" {
		w.Header().Set("Content-Type", "application/problem+json")
		body = fmt.Sprintf(`{"kind":%q,"detail":"because"}`, r.kind)
	}
	sum := sha256.Sum256([]byte(body))
	w.Header().Set("Content-Digest", "sha-256=:"+base64.StdEncoding.EncodeToString(sum[:])+":")
	w.Header().Set("Cassiatally-Outcome", r.outcome)
	switch r.damage {
	case "digest":
		body += "x"
	case "length":
		w.Header().Set("Content-Length", fmt.Sprint(len(body)+1))
	case "none":
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(r.status)
	_, _ = w.Write([]byte(body))
}

// fakeNode answers calls and look-ups in the order of its lists. The last entry
// of a list repeats.
type fakeNode struct {
	calls, lookups []reply
	// received has key and attempt of each call, and the keys that were looked up.
	received []string
	minted   int

	mu sync.Mutex
}

func (f *fakeNode) next(list *[]reply) reply {
	r := (*list)[0]
	if len(*list) > 1 {
		*list = (*list)[1:]
	}
	return r
}

func (f *fakeNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/v1/keys":
		w.WriteHeader(http.StatusCreated)
		fmt.Fprintf(w, `{"key":"dc.0.1.%016x"}`, f.mint())
	case strings.HasPrefix(r.URL.Path, "/v1/keys/"):
		f.receive("lookup "+strings.TrimPrefix(r.URL.Path, "/v1/keys/"), &f.lookups).write(w)
	case r.URL.Path == "/v1/call/a/sign":
		f.receive(strings.TrimSpace("call "+r.Header.Get("Idempotency-Key")+" "+r.Header.Get("Cassiatally-Attempt")), &f.calls).write(w)
	default:
		http.NotFound(w, r)
	}
}

func (f *fakeNode) mint() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.minted++
	return f.minted
}

// receive records a request and returns the next reply of a list. A request whose caller
// has given up may still be in progress when the next one arrives.
func (f *fakeNode) receive(what string, list *[]reply) reply {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.received = append(f.received, what)
	return f.next(list)
}

func (f *fakeNode) start(t *testing.T) string {
	s := httptest.NewServer(f)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

var (
	keyRequiredReply = reply{outcome: "not_run", kind: "key_required", status: 428}
	ranReply         = reply{outcome: "ran", status: 200, body: "signed"}
	shedReply        = reply{outcome: "not_run", kind: "overloaded", status: 503}
	unknownReply     = reply{outcome: "unknown", kind: "outcome_unknown", status: 502}
)

// Guards against a request that a re-send runs twice, an unknown outcome that is
// not looked up, a damaged answer that is accepted, and a wrong exit code.
func TestCall(t *testing.T) {
	cases := []struct {
		name           string
		calls, lookups []reply
		flags          string
		code           cassiatally.ExitCode
		received       []string
		stdout, stderr string
	}{
		{"idempotent", []reply{ranReply}, nil, "", 0, []string{"call"}, "outcome\tran\nstatus\t200\n", ""},
		{"mints a key", []reply{keyRequiredReply, ranReply}, nil, "", 0, []string{"call", "call " + firstKey + " 1"}, "\n\nsigned\n", ""},
		{"given key has no attempt", []reply{ranReply}, nil, "--key " + secondKey, 0, []string{"call " + secondKey}, "key\t" + secondKey, ""},
		{"backend server failed", []reply{{outcome: "ran", status: 500, body: "no"}}, nil, "", 1, []string{"call"}, "outcome\tran", "status 500"},
		{"shed, no re-send", []reply{shedReply}, nil, "", 1, []string{"call"}, "kind\toverloaded", "send the request again later"},
		{"shed, re-send", []reply{shedReply, ranReply}, nil, "--resend 1", 0, []string{"call", "call"}, "sends\t2", ""},
		{
			"shed with a key, re-send under a new one",
			[]reply{keyRequiredReply, shedReply, ranReply},
			nil,
			"--resend 1", 0,
			[]string{"call", "call " + firstKey + " 1", "call " + secondKey + " 1"},
			"key\t" + secondKey, "",
		},
		{"given key is used up", []reply{shedReply}, nil, "--resend 2 --key " + firstKey, 1, []string{"call " + firstKey}, "not_run", "overloaded"},
		{"quarantined is not sent again", []reply{{outcome: "not_run", kind: "quarantined", status: 422}}, nil, "--resend 2", 1, []string{"call"}, "", "do not send it again"},
		{"malformed exits with 1", []reply{{outcome: "not_run", kind: "bad_request", status: 400}}, nil, "", 1, []string{"call"}, "", "bad_request: correct"},
		{
			"unknown, look-up finds that it ran",
			[]reply{keyRequiredReply, unknownReply},
			[]reply{ranReply},
			"", 0,
			[]string{"call", "call " + firstKey + " 1", "lookup " + firstKey},
			"outcome\tran", "",
		},
		{
			"unknown, same key again",
			[]reply{keyRequiredReply, unknownReply, ranReply},
			[]reply{unknownReply},
			"--resend 1", 0,
			[]string{"call", "call " + firstKey + " 1", "lookup " + firstKey, "call " + firstKey + " 2"},
			"outcome\tran", "",
		},
		{
			"stays unknown",
			[]reply{keyRequiredReply, unknownReply},
			[]reply{unknownReply},
			"", 1,
			[]string{"call", "call " + firstKey + " 1", "lookup " + firstKey},
			"outcome\tunknown", "never send the work again under a new key",
		},
		{"wrong digest", []reply{{outcome: "ran", status: 200, body: "b", damage: "digest"}}, nil, "", 1, []string{"call"}, "kind\tincomplete_answer", "idempotent"},
		{"cut off", []reply{{outcome: "ran", status: 200, body: "b", damage: "length"}}, nil, "", 1, []string{"call"}, "outcome\tunknown", "incomplete_answer"},
		{
			"no answer with a key",
			[]reply{keyRequiredReply, {damage: "none"}},
			[]reply{ranReply},
			"", 0,
			[]string{"call", "call " + firstKey + " 1", "lookup " + firstKey},
			"outcome\tran", "",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := &fakeNode{calls: c.calls, lookups: c.lookups}
			code, stdout, stderr := newProgram(t).run("call a sign --node " + f.start(t) + " --body b " + c.flags)
			is.Equal(code, c.code)
			is.Equal(f.received, c.received)
			is.True(strings.Contains(stdout, c.stdout))
			is.True(strings.Contains(stderr, c.stderr))
		})
	}
}

// Guards against JSON without fields that the text has, and against a wrong exit
// code of key show for an outcome.
func TestKeysAndCallAsJSON(t *testing.T) {
	is := is.New(t)
	f := &fakeNode{calls: []reply{ranReply}, lookups: []reply{ranReply, {outcome: "not_run", kind: "expired", status: 504}, unknownReply}}
	node := f.start(t)
	code, stdout, _ := newProgram(t).run("call a sign --json --node " + node)
	is.Equal(code, cassiatally.ExitSuccess)
	is.True(strings.HasPrefix(stdout, `{"outcome":"ran","status":200,"sends":1,"looked_up":false,`))
	code, stdout, _ = newProgram(t).run("key mint --node " + node)
	is.Equal(code, cassiatally.ExitSuccess)
	is.Equal(stdout, firstKey+"\n")
	code, stdout, _ = newProgram(t).run("key show " + firstKey + " --node " + node)
	is.Equal(code, cassiatally.ExitSuccess)
	is.Equal(stdout, "outcome\tran\nstatus\t200\ndata_centre\tdc\nshard\t0\nepoch\t1\n\nsigned\n")
	code, stdout, _ = newProgram(t).run("key show " + firstKey + " --json --node " + node)
	is.Equal(code, cassiatally.ExitSuccess)
	is.True(strings.Contains(stdout, `"outcome":"not_run","status":504,"kind":"expired"`))
	code, _, stderr := newProgram(t).run("key show " + firstKey + " --node " + node)
	is.Equal(code, cassiatally.ExitFailure)
	is.True(strings.Contains(stderr, "never send the work again under a new key"))
}

// Guards against an error kind without advice.
func TestEachErrorKindHasAdvice(t *testing.T) {
	is := is.New(t)
	for _, k := range cassiatally.ErrorKinds() {
		is.True(adviser.Adviser{}.Advice(k.String(), true) != "see docs/http.md")
	}
}

func statusJSON(node string) string {
	return `{"node":"` + node + `","data_centre":"north","control":"adaptive","sheet":{"version":7,"follows_log":true,"log_contact_seconds":0.5},
"members":[{"node":"n1","data_centre":"north","service":"a","state":"ready","limit":4,"slots":8,"sheet":7},
{"node":"n2","data_centre":"south","service":"b","state":"none","sheet":6,"suspect":true,"leaving":true}],
"services":[{"service":"a","data_centre":"north","endpoints":1,"capacity":8,"level":0.5,"levels":[1,0.25]}],
"local":{"service":"a","state":"ready","limit":4,"slots":8,"crashes":3,"suspect_requests":2,"quarantined_requests":1,"levels":[1,0.25],"sheds":[{"rank":1,"kind":"overloaded","count":9}],"queue":[{"rank":0,"started":4,"wait_seconds":0.1}]},
"shards":[{"shard":0,"epoch":3,"holder":"n1","standby":"","complete_from":2}],
"requests":{"refused":[{"rank":1,"kind":"expired","count":2}],"retries":5,"late_answers":6},
"traffic":{"links":2,"control_sent_bytes":1024},"refused_by_duty":{"executor":8,"claimkeeper":0}}`
}

func serveStatus(t *testing.T, node string) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/status" {
			http.NotFound(w, r)
			return
		}
		fmt.Fprint(w, statusJSON(node))
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// Guards against fields of a node's status that the command drops, and against a
// node without an answer that the command does not report.
func TestStatus(t *testing.T) {
	is := is.New(t)
	n1, n2 := serveStatus(t, "n1"), serveStatus(t, "n2")
	const unreachable = "127.0.0.1:1"
	p := newProgram(t)

	code, stdout, stderr := p.run("status --node " + unreachable + " --node " + n1)
	is.Equal(code, cassiatally.ExitSuccess)
	is.Equal(stderr, "")
	for _, line := range []string{
		"node\tn1\tnorth\ta\tready\t7\t0\t4\t8\t0\t-",
		"node\tn2\tsouth\tb\tnone\t6\t0\t0\t0\t0\tsuspect,leaving",
		"service\ta\tnorth\t1\t8\t1.00 0.25",
		"backend\tn1\ta\tready\t0\t4\t8\t0\t0s\t0\t3\t2\t1\t1.00 0.25",
		"shed\tn1\tbackend\t1\toverloaded\t9",
		"shed\tn1\tcaller\t1\texpired\t2",
		"queue\tn1\t0\t4\t25ms",
		"request\tn1\t0\t0\t5\t0\t0\t6\t0\t0",
		"shard\tnorth\t0\t3\tn1\t-\t2",
		"link\tn1\tadaptive\t7\tyes\t500ms ago\t2\t1024 B\t0 B\t0 B\t0 B\texecutor:8",
	} {
		is.True(strings.Contains(stdout, line+"\n"))
	}

	code, stdout, stderr = p.run("status --all --node " + n1 + " --node " + n2 + " --node " + unreachable)
	is.Equal(code, cassiatally.ExitFailure)
	is.True(strings.Contains(stderr, "1 of 3 nodes did not answer: "+unreachable))
	is.Equal(strings.Count(stdout, "\nlink\t")+strings.Count(stdout, "link\tn1"), 3)
	is.Equal(strings.Count("\n"+stdout, "\nnode\t"), 2) // each node only as it sees itself
	is.Equal(strings.Count(stdout, "shard\t"), 1)

	code, stdout, _ = p.run("status --json --all --node " + n1 + " --node " + unreachable)
	is.Equal(code, cassiatally.ExitFailure)
	is.True(strings.HasPrefix(stdout, `[{"address":"`+n1+`","status":{"node":"n1",`))
	is.True(strings.Contains(stdout, `{"address":"`+unreachable+`","error":"`))

	p.terminal = true
	_, stdout, _ = p.run("status --node " + n1)
	is.True(strings.HasPrefix(stdout, "Nodes\nNODE  DATA CENTRE  SERVICE"))
	code, _, stderr = p.run("status --node " + unreachable)
	is.Equal(code, cassiatally.ExitFailure)
	is.True(strings.Contains(stderr, "listen.admin"))
}
