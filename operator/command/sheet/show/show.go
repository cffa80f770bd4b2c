// Package show prints a sheet from the log.
//
// # Usage
//
//	err := show.New(env).Execute(ctx, env, args)
package show

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/flagparser"
	"github.com/cassiatally/cassiatally/cassiatally/sheet"
	"github.com/cassiatally/cassiatally/operator/cli"
	"github.com/cassiatally/cassiatally/operator/environment"
	"github.com/cassiatally/cassiatally/operator/sheetsource"
	"github.com/cassiatally/cassiatally/operator/tabler"
)

const defaultTimeout = 10 * time.Second

// Options are the inputs of the command.
type Options struct {
	Env     environment.Environment
	Version string
	Log     string
	Timeout time.Duration
	JSON    bool
}

type output struct {
	Version   cassiatally.Version       `json:"version"`
	BasedOn   cassiatally.Version       `json:"based_on"`
	Publisher string                    `json:"publisher"`
	Digest    string                    `json:"digest"`
	Rows      []map[sheet.Column]string `json:"rows"`
}

// New returns the command.
func New(env environment.Environment) cli.Command {
	o := &Options{Env: env, Timeout: defaultTimeout}
	p := flagparser.New("cassiatally sheet show")
	p.Positional(&o.Version, "VERSION", "the version; the one in force when left out", false)
	p.Flags.String(&o.Log, "", "log", "address of the log service (required)")
	p.Flags.Duration(&o.Timeout, "", "timeout", "time to wait for the log service (default: 10s)")
	p.Flags.Bool(&o.JSON, "", "json", "print the record as JSON")
	return cli.Command{
		Name:      "sheet show",
		Arguments: "[VERSION] --log ADDRESS [--timeout 10s] [--json]",
		Summary:   "Show the sheet in force, or a version of it.",
		Description: "Prints a table on a terminal. When the output is piped, it is the sheet as CSV,\n" +
			"which sheet publish accepts.",
		Examples: []string{
			"cassiatally sheet show --log 10.1.0.5:7400",
			"cassiatally sheet show 41 --log 10.1.0.5:7400 > sheet.csv",
		},
		Parser: p,
		Run:    func(ctx context.Context) error { return Run(ctx, o) },
	}
}

// Run prints the sheet.
func Run(ctx context.Context, o *Options) error {
	v, err := parseVersion(o)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	source := sheetsource.Source{Log: o.Env.OpenLog(cassiatally.Address(o.Log), o.Timeout)}
	record, err := source.ReadVersion(ctx, v)
	if err != nil {
		return err
	}
	s, err := sheetsource.Decode(record)
	if err != nil {
		return err
	}
	switch {
	case o.JSON:
		return json.NewEncoder(o.Env.Stdout).Encode(newOutput(record, s))
	case !o.Env.Terminal:
		_, err = o.Env.Stdout.Write(s.CSV())
		return err
	}
	return printTable(o, s)
}

func parseVersion(o *Options) (cassiatally.Version, error) {
	if o.Log == "" {
		return 0, cassiatally.NewError(cassiatally.KindUsage, "the address of the log service is missing; add --log ADDRESS")
	}
	if o.Version == "" {
		return 0, nil
	}
	v, err := strconv.ParseUint(o.Version, 10, 64)
	if err != nil {
		return 0, cassiatally.NewError(cassiatally.KindUsage, "%q is not a version; use a number that sheet history shows", o.Version)
	}
	return cassiatally.Version(v), nil
}

func newOutput(r cassiatally.SheetRecord, s sheet.Sheet) output {
	out := output{r.Version, r.BasedOn, r.Publisher, r.Digest.String(), nil}
	for _, row := range s.Rows {
		fields := map[sheet.Column]string{}
		for _, c := range sheet.Columns() {
			fields[c] = row.Field(c)
		}
		out.Rows = append(out.Rows, fields)
	}
	return out
}

func printTable(o *Options, s sheet.Sheet) error {
	var t tabler.Table
	for _, c := range sheet.Columns() {
		t.Header = append(t.Header, string(c))
	}
	for _, row := range s.Rows {
		t.Add(row.Fields()...)
	}
	return t.Print(o.Env.Stdout, true)
}
