// Package trace prints the log lines of nodes about one request and about the
// calls that its runs made.
//
// # Usage
//
//	err := trace.New(env).Execute(ctx, env, args)
package trace

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-logfmt/logfmt"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/flagparser"
	"github.com/cassiatally/cassiatally/operator/cli"
	"github.com/cassiatally/cassiatally/operator/environment"
	"github.com/cassiatally/cassiatally/operator/tabler"
)

// maxLineBytes bounds a log line.
const maxLineBytes = 1 << 20

// Options are the inputs of the command.
type Options struct {
	Env     environment.Environment
	Request string
	JSON    bool
}

// event is one log line about the request.
type event struct {
	Time       string            `json:"time"`
	Node       string            `json:"node"`
	Request    string            `json:"request"`
	Event      string            `json:"event"`
	Fields     map[string]string `json:"fields"`
	fieldNames []string
}

// New returns the command.
func New(env environment.Environment) cli.Command {
	o := &Options{Env: env}
	p := flagparser.New("cassiatally trace")
	p.Positional(&o.Request, "REQUEST", "the id of the request, as its caller sent it", true)
	p.Flags.Bool(&o.JSON, "", "json", "print one JSON object a line")
	return cli.Command{
		Name:      "trace",
		Arguments: "REQUEST [--json] < LOGS",
		Summary:   "Show what the logs say about a request.",
		Description: "Reads log lines of any number of nodes on standard input and prints those about\n" +
			"the request and about the calls of its runs, by time. Lines that are left out\n" +
			"under load are not there; the nodes' lines \"log lines left out\" count them.",
		Examples: []string{"cat *.log | cassiatally trace 1590d21c7863a5fd"},
		Parser:   p,
		Run:      func(ctx context.Context) error { return Run(ctx, o) },
	}
}

// Run prints the lines about the request.
func Run(_ context.Context, o *Options) error {
	if o.Env.Stdin == nil {
		return cassiatally.NewError(cassiatally.KindUsage, "no log lines are given; pass them on standard input")
	}
	events, err := readEvents(o)
	if err != nil {
		return err
	}
	if len(events) == 0 {
		return errors.Newf("no line names request %s; pass the logs of all nodes of its time", o.Request)
	}
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.Time, b.Time) })
	if o.JSON {
		enc := json.NewEncoder(o.Env.Stdout)
		for _, e := range events {
			if err := enc.Encode(e); err != nil {
				return err
			}
		}
		return nil
	}
	t := tabler.Table{Header: []string{"time", "node", "call", "event", "why"}}
	for _, e := range events {
		t.Add(e.Time, e.Node, callLabel(o.Request, e.Request), e.Event, e.reason())
	}
	return t.Print(o.Env.Stdout, o.Env.Terminal)
}

func readEvents(o *Options) ([]event, error) {
	var events []event
	lines := bufio.NewScanner(o.Env.Stdin)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		if !bytes.Contains(lines.Bytes(), []byte(o.Request)) {
			continue
		}
		if e := parseLine(lines.Bytes()); e.Request == o.Request || strings.HasPrefix(e.Request, o.Request+".") {
			events = append(events, e)
		}
	}
	return events, errors.Wrap(lines.Err(), "read log lines")
}

func parseLine(line []byte) event {
	e := event{Fields: make(map[string]string)}
	d := logfmt.NewDecoder(bytes.NewReader(line))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			e.setField(string(d.Key()), string(d.Value()))
		}
	}
	return e
}

func (e *event) setField(name, value string) {
	switch name {
	case "time":
		e.Time = value
	case "node":
		e.Node = value
	case "request":
		e.Request = value
	case "msg":
		e.Event = value
	case "level":
	default:
		if value != "" {
			e.Fields[name] = value
			e.fieldNames = append(e.fieldNames, name)
		}
	}
}

// reason returns the fields that explain the event, in the order of the line.
func (e *event) reason() string {
	parts := make([]string, 0, len(e.fieldNames))
	for _, n := range e.fieldNames {
		parts = append(parts, n+"="+e.Fields[n])
	}
	return strings.Join(parts, " ")
}

// callLabel identifies a call below the request by the last part of its id, after
// one dot for each level.
func callLabel(request, id string) string {
	below := strings.TrimPrefix(id, request)
	if below == "" {
		return "-"
	}
	last := below[strings.LastIndexByte(below, '.')+1:]
	return strings.Repeat(".", strings.Count(below, ".")) + last
}
