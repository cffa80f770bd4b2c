// Package history lists the sheets in the log.
//
// # Usage
//
//	err := history.New(env).Execute(ctx, env, args)
package history

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/flagparser"
	"github.com/cassiatally/cassiatally/cassiatally/sheetreader"
	"github.com/cassiatally/cassiatally/operator/cli"
	"github.com/cassiatally/cassiatally/operator/environment"
	"github.com/cassiatally/cassiatally/operator/sheetsource"
	"github.com/cassiatally/cassiatally/operator/tabler"
)

const (
	defaultTimeout = 10 * time.Second
	// shortDigestLen is the number of hexadecimal digits of a digest that the table
	// shows, enough to distinguish sheets.
	shortDigestLen = 12
)

// Options are the inputs of the command.
type Options struct {
	Env     environment.Environment
	Log     string
	Timeout time.Duration
	JSON    bool
}

type line struct {
	Offset    cassiatally.Offset  `json:"offset"`
	Version   cassiatally.Version `json:"version"`
	BasedOn   cassiatally.Version `json:"based_on"`
	State     string              `json:"state"`
	Publisher string              `json:"publisher"`
	Digest    string              `json:"digest"`
	Expires   string              `json:"expires"`
}

// New returns the command.
func New(env environment.Environment) cli.Command {
	o := &Options{Env: env, Timeout: defaultTimeout}
	p := flagparser.New("cassiatally sheet history")
	p.Flags.String(&o.Log, "", "log", "address of the log service (required)")
	p.Flags.Duration(&o.Timeout, "", "timeout", "time to wait for the log service (default: 10s)")
	p.Flags.Bool(&o.JSON, "", "json", "print one JSON object for each record")
	return cli.Command{
		Name:      "sheet history",
		Arguments: "--log ADDRESS [--timeout 10s] [--json]",
		Summary:   "List the sheets in the log, the oldest first.",
		Description: "The state of a record is accepted, rejected (it lost a race), reappended (a copy of\n" +
			"an accepted record that keeps it from expiring) or invalid.",
		Examples: []string{
			"cassiatally sheet history --log 10.1.0.5:7400",
			"cassiatally sheet history --log 10.1.0.5:7400 --json",
		},
		Parser: p,
		Run:    func(ctx context.Context) error { return Run(ctx, o) },
	}
}

// Run lists the sheets.
func Run(ctx context.Context, o *Options) error {
	if o.Log == "" {
		return cassiatally.NewError(cassiatally.KindUsage, "the address of the log service is missing; add --log ADDRESS")
	}
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	var lines []line
	source := sheetsource.Source{Log: o.Env.OpenLog(cassiatally.Address(o.Log), o.Timeout)}
	_, err := source.EachRecord(ctx, func(e sheetreader.Entry) { lines = append(lines, describeEntry(e)) })
	if err != nil {
		return err
	}
	if o.JSON {
		return printJSON(o, lines)
	}
	t := tabler.Table{Header: []string{"offset", "version", "based on", "state", "publisher", "digest", "expires"}}
	for _, l := range lines {
		t.Add(formatNumber(uint64(l.Offset)), formatNumber(uint64(l.Version)), formatNumber(uint64(l.BasedOn)), l.State, l.Publisher, l.Digest[:shortDigestLen], l.Expires)
	}
	return t.Print(o.Env.Stdout, o.Env.Terminal)
}

func formatNumber(n uint64) string { return strconv.FormatUint(n, 10) }

func printJSON(o *Options, lines []line) error {
	encoder := json.NewEncoder(o.Env.Stdout)
	for _, l := range lines {
		if err := encoder.Encode(l); err != nil {
			return err
		}
	}
	return nil
}

func describeEntry(e sheetreader.Entry) line {
	state := "rejected"
	switch {
	case !e.Valid:
		state = "invalid"
	case e.Record.Reappend:
		state = "reappended"
	case e.Accepted:
		state = "accepted"
	}
	return line{e.Offset, e.Record.Version, e.Record.BasedOn, state, e.Record.Publisher, e.Record.Digest.String(), e.Expires.String()}
}
