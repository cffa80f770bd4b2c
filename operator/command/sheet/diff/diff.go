// Package diff compares two sheets.
//
// # Usage
//
//	err := diff.New(env).Execute(ctx, env, args)
package diff

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/flagparser"
	"github.com/cassiatally/cassiatally/cassiatally/sheetdiffer"
	"github.com/cassiatally/cassiatally/operator/cli"
	"github.com/cassiatally/cassiatally/operator/environment"
	"github.com/cassiatally/cassiatally/operator/sheetsource"
)

const defaultTimeout = 10 * time.Second

// Options are the inputs of the command.
type Options struct {
	Env     environment.Environment
	Before  string
	After   string
	Log     string
	Timeout time.Duration
	JSON    bool
}

// New returns the command.
func New(env environment.Environment) cli.Command {
	o := &Options{Env: env, Timeout: defaultTimeout}
	p := flagparser.New("cassiatally sheet diff")
	p.Positional(&o.Before, "A", "file or version before the change", true)
	p.Positional(&o.After, "B", "file or version after the change", true)
	p.Flags.String(&o.Log, "", "log", "address of the log service (required for versions)")
	p.Flags.Duration(&o.Timeout, "", "timeout", "time to wait for the log service (default: 10s)")
	p.Flags.Bool(&o.JSON, "", "json", "print the changes as a JSON array")
	return cli.Command{
		Name:      "sheet diff",
		Arguments: "A B [--log ADDRESS] [--timeout 10s] [--json]",
		Summary:   "Show the difference of two sheets by row.",
		Description: "A and B are files, or numbers of versions in the log. Added rows start with +,\n" +
			"removed rows with - and changed rows with ~.",
		Examples: []string{
			"cassiatally sheet diff old.csv new.yaml",
			"cassiatally sheet diff 41 sheet.csv --log 10.1.0.5:7400",
		},
		Parser: p,
		Run:    func(ctx context.Context) error { return Run(ctx, o) },
	}
}

// Run prints the difference.
func Run(ctx context.Context, o *Options) error {
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	var source sheetsource.Source
	if o.Log != "" {
		source.Log = o.Env.OpenLog(cassiatally.Address(o.Log), o.Timeout)
	}
	before, err := source.Load(ctx, o.Before)
	if err != nil {
		return err
	}
	after, err := source.Load(ctx, o.After)
	if err != nil {
		return err
	}
	var d sheetdiffer.Differ
	changes := d.Diff(before, after)
	if o.JSON {
		return json.NewEncoder(o.Env.Stdout).Encode(sheetdiffer.ChangeRows(changes))
	}
	_, err = fmt.Fprint(o.Env.Stdout, d.Text(changes))
	return err
}
