package scenarios_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// sent is the end of a request of a script.
type sent struct {
	status string
	header http.Header
	body   []byte
	err    error
}

// cmdSend sends an HTTP request and prints status, headers and body:
//
//	[!] send METHOD URL [NAME:VALUE...] [@FILE|=BODY]
//
// It fails when no answer comes; with ! when one does.
func cmdSend(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: send METHOD URL [NAME:VALUE...] [@FILE|=BODY]")
	}
	report(ts, neg, args, do(buildRequest(ts, args)))
}

// cmdSending sends an HTTP request and goes on without its answer:
//
//	sending NAME METHOD URL [NAME:VALUE...] [@FILE|=BODY]
func cmdSending(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 3 {
		ts.Fatalf("usage: sending NAME METHOD URL [NAME:VALUE...] [@FILE|=BODY]")
	}
	req := buildRequest(ts, args[1:])
	answer := make(chan sent, 1)
	fleetOf(ts).sendings[args[0]] = answer
	go func() { answer <- do(req) }()
}

// cmdAnswered waits for the answer to a request and prints it: [!] answered NAME.
func cmdAnswered(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) != 1 {
		ts.Fatalf("usage: [!] answered NAME")
	}
	answer, ok := fleetOf(ts).sendings[args[0]]
	if !ok {
		ts.Fatalf("%s was not sent", args[0])
	}
	report(ts, neg, args, <-answer)
}

func buildRequest(ts *testscript.TestScript, args []string) *http.Request {
	var body []byte
	header := http.Header{}
	for _, a := range args[2:] {
		switch {
		case strings.HasPrefix(a, "="):
			body = []byte(a[1:])
		case strings.HasPrefix(a, "@"):
			body = []byte(ts.ReadFile(a[1:]))
		default:
			name, value, _ := strings.Cut(a, ":")
			header.Set(name, value)
		}
	}
	req, err := http.NewRequest(args[0], args[1], bytes.NewReader(body))
	ts.Check(err)
	// Without GetBody, net/http does not send a request with a key again by itself.
	req.GetBody = nil
	req.Header = header
	if len(body) > 0 && header.Get("Content-Type") == "" {
		req.Header.Set("Content-Type", "application/json")
	}
	return req
}

func do(req *http.Request) sent {
	client := http.Client{Timeout: conditionLimit, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return sent{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return sent{status: resp.Status, header: resp.Header, body: data, err: err}
}

func report(ts *testscript.TestScript, neg bool, args []string, s sent) {
	switch {
	case s.err != nil && !neg:
		ts.Fatalf("%s: %v", strings.Join(args, " "), s.err)
	case s.err != nil:
		return
	case neg:
		ts.Fatalf("%s was answered with %s", strings.Join(args, " "), s.status)
	}
	fmt.Fprintln(ts.Stdout(), s.status)
	_ = s.header.Write(ts.Stdout())
	fmt.Fprintf(ts.Stdout(), "\n%s\n", s.body)
}

// cmdAwait repeats a GET until the body matches: [!] await URL PATTERN.
// With ! it waits until the pattern no longer matches.
func cmdAwait(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: [!] await URL PATTERN")
	}
	pattern := compile(ts, args[1])
	last := ""
	for deadline := time.Now().Add(conditionLimit); time.Now().Before(deadline); time.Sleep(pollPause) {
		body, err := fetch(args[0])
		last = string(body)
		if err == nil && pattern.Match(body) != neg {
			return
		}
	}
	ts.Fatalf("%s of %s did not come true within %v; last body:\n%s", args[1], args[0], conditionLimit, last)
}
