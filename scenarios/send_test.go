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

// response is the answer to a request of a script, or the error when there is none.
type response struct {
	status string
	header http.Header
	body   []byte
	err    error
}

// cmdSend sends an HTTP request and prints status, headers and body:
//
//	[!] send METHOD URL [NAME:VALUE...] [@FILE|=BODY]
//
// It fails when there is no answer; with !, when there is one.
func cmdSend(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: send METHOD URL [NAME:VALUE...] [@FILE|=BODY]")
	}
	printResponse(ts, neg, args, sendRequest(buildRequest(ts, args)))
}

// cmdSending sends an HTTP request in the background:
//
//	sending NAME METHOD URL [NAME:VALUE...] [@FILE|=BODY]
func cmdSending(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 3 {
		ts.Fatalf("usage: sending NAME METHOD URL [NAME:VALUE...] [@FILE|=BODY]")
	}
	req := buildRequest(ts, args[1:])
	answer := make(chan response, 1)
	fleetOf(ts).pending[args[0]] = answer
	go func() { answer <- sendRequest(req) }()
}

// cmdAnswered waits for the answer to a request and prints it: [!] answered NAME.
func cmdAnswered(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) != 1 {
		ts.Fatalf("usage: [!] answered NAME")
	}
	answer, ok := fleetOf(ts).pending[args[0]]
	if !ok {
		ts.Fatalf("%s was not sent", args[0])
	}
	printResponse(ts, neg, args, <-answer)
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
	// Without GetBody, net/http does not retry a request with a key by itself.
	req.GetBody = nil
	req.Header = header
	if len(body) > 0 && header.Get("Content-Type") == "" {
		req.Header.Set("Content-Type", "application/json")
	}
	return req
}

func sendRequest(req *http.Request) response {
	client := http.Client{Timeout: conditionTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return response{status: resp.Status, header: resp.Header, body: data, err: err}
}

func printResponse(ts *testscript.TestScript, neg bool, args []string, s response) {
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
	pattern := compilePattern(ts, args[1])
	last := ""
	for deadline := time.Now().Add(conditionTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		body, err := fetch(args[0])
		last = string(body)
		if err == nil && pattern.Match(body) != neg {
			return
		}
	}
	ts.Fatalf("%s of %s was not met within %v; last body:\n%s", args[1], args[0], conditionTimeout, last)
}
