// Package loadcommand implements the command that generates the load of callers.
//
// # Usage
//
//	cmd := loadcommand.New()
//	help, err := cmd.Parser.Parse(args)
//	err = cmd.Run(ctx, env)
package loadcommand

import (
	"bufio"
	"context"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassiatally/cassiatally/cassiatally/flagparser"
	"github.com/cassiatally/cassiatally/cassiatally/roundtripper"
	"github.com/cassiatally/cassiatally/standin/caller"
	"github.com/cassiatally/cassiatally/standin/command/environment"
	"github.com/cassiatally/cassiatally/standin/core"
	"github.com/cassiatally/cassiatally/standin/loader"
	"github.com/cassiatally/cassiatally/standin/loadplan"
	"github.com/cassiatally/cassiatally/standin/recorder"
	"github.com/cassiatally/cassiatally/standin/resultwriter"
)

const defaultConnections = 512

// Options are the flags of the command.
type Options struct {
	Nodes       []string
	Plan        string
	Name        string
	Seed        uint64
	Latency     time.Duration
	Connections int
	Results     string
	Recorder    string
	Progress    bool
	JSON        bool
	Direct      bool
}

// Command is the load command.
type Command struct {
	Parser  *flagparser.Parser
	Options Options
}

// New returns the command with its flags attached.
func New() *Command {
	c := &Command{Parser: flagparser.New("cassiatally-standin load")}
	o := &c.Options
	*o = Options{Name: "load", Seed: 1, Connections: defaultConnections}
	s := c.Parser.Flags
	s.Description = "Send the requests of callers to nodes"
	s.StringSlice(&o.Nodes, "", "node", "URL of a node; repeatable")
	s.String(&o.Plan, "", "plan", "file with the plan, in YAML")
	s.String(&o.Name, "", "name", "beginning of the id of each request; loads that share a recorder need their own")
	s.UInt64(&o.Seed, "", "seed", "seed of the arrivals")
	s.Duration(&o.Latency, "", "latency", "delay of the callers' links in each direction")
	s.Int(&o.Connections, "", "connections", "requests in flight, each on a connection")
	s.String(&o.Results, "", "results", "file for one JSON line per request")
	s.String(&o.Recorder, "", "recorder", "URL of the recorder that keeps the results")
	s.Bool(&o.Progress, "", "progress", "print a line every 5 s")
	s.Bool(&o.Direct, "", "direct", "send to backend servers without a node, for comparison")
	s.Bool(&o.JSON, "", "json", "print the table as JSON")
	return c
}

// Run runs the plan and prints the table of results.
func (c *Command) Run(ctx context.Context, env *environment.Environment) (err error) {
	plan, err := c.Options.check()
	if err != nil {
		return err
	}
	var sinks []core.ResultSink
	if c.Options.Results != "" {
		lines, closeFile, err := openLines(c.Options.Results)
		if err != nil {
			return err
		}
		defer func() { err = errors.CombineErrors(err, closeFile()) }()
		sinks = append(sinks, lines)
	}
	client := newClient(c.Options.Connections)
	if c.Options.Recorder != "" {
		sinks = append(sinks, &recorder.Client{URL: strings.TrimSuffix(c.Options.Recorder, "/"), HTTP: client})
	}
	results := &resultwriter.Writer{Sinks: sinks}
	results.Start(ctx)
	l := &loader.Loader{
		Plan: plan, Name: c.Options.Name, Seed: c.Options.Seed, Workers: c.Options.Connections, Results: results,
		Caller: &caller.Caller{Nodes: trimSlashes(c.Options.Nodes), Client: client, Latency: c.Options.Latency, Direct: c.Options.Direct},
	}
	if c.Options.Progress {
		l.Progress = env.Logger()
	}
	rows := l.Run(ctx)
	if err := results.Close(); err != nil {
		return err
	}
	return printRows(env.Stdout, rows, c.Options.JSON)
}

func (o Options) check() (loadplan.Plan, error) {
	if len(o.Nodes) == 0 || o.Plan == "" {
		return loadplan.Plan{}, environment.UsageError("--node and --plan are needed")
	}
	if o.Connections < 1 || o.Latency < 0 {
		return loadplan.Plan{}, environment.UsageError("--connections must be positive, --latency must not be negative")
	}
	data, err := os.ReadFile(o.Plan)
	if err != nil {
		return loadplan.Plan{}, errors.Wrap(err, "reading the plan")
	}
	return loadplan.Parse(data)
}

func openLines(path string) (core.ResultSink, func() error, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, nil, errors.Wrap(err, "opening the file for results")
	}
	w := bufio.NewWriter(file)
	closeFile := func() error {
		err := w.Flush()
		return errors.Wrap(errors.CombineErrors(err, file.Close()), "closing the file for results")
	}
	return resultwriter.JSONLines{W: w}, closeFile, nil
}

func newClient(connections int) *http.Client {
	t := &http.Transport{MaxIdleConns: 0, MaxIdleConnsPerHost: connections}
	return &http.Client{Transport: &roundtripper.RoundTripper{Transport: t}}
}

func trimSlashes(urls []string) []string {
	out := make([]string, 0, len(urls))
	for _, u := range urls {
		out = append(out, strings.TrimSuffix(u, "/"))
	}
	return out
}
