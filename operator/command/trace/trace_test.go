package trace_test

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/operator/command/trace"
	"github.com/cassiatally/cassiatally/operator/environment"
)

const logs = `time=10:02 level=info msg="request failed" node=b request=r1.c kind=expired detail="too late"
not a log line r1
time=10:01 level=info msg="call refused" node=a request=r1 kind=overloaded queued=4
time=10:03 level=info msg="request answered" node=a request=r12 kind=none
`

func run(request, input string, json bool) (string, error) {
	var out bytes.Buffer
	env := environment.Environment{Stdin: strings.NewReader(input), Stdout: &out}
	err := trace.Run(context.Background(), &trace.Options{Env: env, Request: request, JSON: json})
	return out.String(), err
}

// Guards against lines of other requests in the output, and against lines that are
// not sorted by time.
func TestTrace(t *testing.T) {
	is := is.New(t)
	out, err := run("r1", logs, false)
	is.NoErr(err)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	is.Equal(len(lines), 2)
	is.True(strings.Contains(lines[0], "call refused") && strings.Contains(lines[0], "kind=overloaded queued=4"))
	is.True(strings.Contains(lines[1], ".c") && strings.Contains(lines[1], "detail=too late"))
	out, err = run("r1", logs, true)
	is.NoErr(err)
	is.True(strings.Contains(out, `"event":"call refused"`))
}

// Guards against an empty output without an error for a request that no line
// names, which reads as if nothing went wrong.
func TestUnknownRequest(t *testing.T) {
	is := is.New(t)
	_, err := run("r9", logs, false)
	is.True(err != nil)
	err = trace.Run(context.Background(), &trace.Options{Request: "r1"})
	is.Equal(cassiatally.KindOf(err), cassiatally.KindUsage)
}
