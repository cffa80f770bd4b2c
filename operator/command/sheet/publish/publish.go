// Package publish publishes a sheet in the log service.
//
// # Usage
//
//	err := publish.New(env).Execute(ctx, env, args)
package publish

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/flagparser"
	"github.com/cassiatally/cassiatally/cassiatally/protocol"
	"github.com/cassiatally/cassiatally/cassiatally/publisher"
	"github.com/cassiatally/cassiatally/cassiatally/sheet"
	"github.com/cassiatally/cassiatally/cassiatally/sheetdiffer"
	"github.com/cassiatally/cassiatally/operator/cli"
	"github.com/cassiatally/cassiatally/operator/environment"
	"github.com/cassiatally/cassiatally/operator/sheetsource"
)

const (
	defaultTimeout = 10 * time.Second
	// requestsPerTimeout limits a single request to the log to a fraction of the
	// command's timeout, so that time is left to read the log back after a request
	// without an answer.
	requestsPerTimeout = 4
	// noVersion means that --based-on was not given; 0 is a valid version.
	noVersion = -1
)

// Options are the inputs of the command.
type Options struct {
	Env       environment.Environment
	File      string
	Log       string
	BasedOn   int64
	Publisher string
	Timeout   time.Duration
	JSON      bool
}

type output struct {
	Accepted  bool                    `json:"accepted"`
	Version   cassiatally.Version     `json:"version"`
	Digest    string                  `json:"digest"`
	Publisher string                  `json:"publisher"`
	Changes   []sheetdiffer.ChangeRow `json:"changes,omitempty"`
}

// New returns the command.
func New(env environment.Environment) cli.Command {
	o := &Options{Env: env, BasedOn: noVersion, Publisher: env.User, Timeout: defaultTimeout}
	p := flagparser.New("cassiatally sheet publish")
	p.Positional(&o.File, "FILE", "the sheet", true)
	p.Flags.String(&o.Log, "", "log", "address of the log service (required)")
	p.Flags.Int64(&o.BasedOn, "", "based-on", "version that the sheet was made from; 0 for the first sheet (required)")
	p.Flags.String(&o.Publisher, "", "publisher", "name that the record bears (default: your user name)")
	p.Flags.Duration(&o.Timeout, "", "timeout", "time to wait for the log service (default: 10s)")
	p.Flags.Bool(&o.JSON, "", "json", "print the result as JSON")
	return cli.Command{
		Name:      "sheet publish",
		Arguments: "FILE --log ADDRESS --based-on N [--publisher NAME] [--timeout 10s] [--json]",
		Summary:   "Publish a sheet, so that it takes effect everywhere.",
		Description: "Checks the sheet, appends it to the log as version N+1, and reads the log back to\n" +
			"learn whether it was accepted. When another sheet was accepted first, it shows what\n" +
			"publishing yours would change in the sheet in force. A sheet with errors is never published.",
		Examples: []string{
			"cassiatally sheet publish sheet.csv --log 10.1.0.5:7400 --based-on 41",
			"cassiatally sheet publish sheet.csv --log 10.1.0.5:7400 --based-on 0 --publisher planning --json",
		},
		Parser: p,
		Run:    func(ctx context.Context) error { return Run(ctx, o) },
	}
}

// Run publishes the sheet.
func Run(ctx context.Context, o *Options) error {
	if err := validate(o); err != nil {
		return err
	}
	s, report, err := sheetsource.Source{}.ReadFile(o.File)
	if err != nil {
		return err
	}
	if err := sheetsource.SummaryError(o.File, report); err != nil {
		return errors.Wrap(err, "nothing was published")
	}
	for _, w := range report.Warnings {
		fmt.Fprintln(o.Env.Stderr, w)
	}
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	return publishSheet(ctx, o, s)
}

func validate(o *Options) error {
	switch {
	case o.Log == "":
		return cassiatally.NewError(cassiatally.KindUsage, "the address of the log service is missing; add --log ADDRESS")
	case o.BasedOn < 0:
		return cassiatally.NewError(cassiatally.KindUsage, "the version that the sheet was made from is missing; add --based-on N with the version that sheet history shows last, or 0")
	case o.Publisher == "":
		return cassiatally.NewError(cassiatally.KindUsage, "your user name is not known; add --publisher NAME")
	case o.Timeout <= 0:
		return cassiatally.NewError(cassiatally.KindUsage, "the timeout must be above 0; try --timeout 10s")
	}
	return nil
}

func publishSheet(ctx context.Context, o *Options, s sheet.Sheet) error {
	codec, err := protocol.New()
	if err != nil {
		return err
	}
	p := publisher.Publisher{
		Log:   o.Env.OpenLog(cassiatally.Address(o.Log), o.Timeout/requestsPerTimeout),
		Codec: codec,
		Name:  o.Publisher,
	}
	result, err := p.Publish(ctx, cassiatally.Version(o.BasedOn), s)
	var conflict *publisher.Conflict
	if errors.As(err, &conflict) {
		return printConflict(o, conflict, s)
	}
	if err != nil {
		return err
	}
	return printAccepted(o, result)
}

func printAccepted(o *Options, r publisher.Result) error {
	if o.JSON {
		return json.NewEncoder(o.Env.Stdout).Encode(output{true, r.Record.Version, r.Record.Digest.String(), r.Record.Publisher, nil})
	}
	verb := "accepted"
	if r.AlreadyAccepted {
		verb = "was accepted before"
	}
	_, err := fmt.Fprintf(o.Env.Stdout, "version %d %s at offset %d\n", r.Record.Version, verb, r.Offset)
	return err
}

// printConflict prints the changes that publishing the sheet would make to the sheet
// in force, and returns the conflict.
func printConflict(o *Options, c *publisher.Conflict, s sheet.Sheet) error {
	var changes []sheetdiffer.Change
	var d sheetdiffer.Differ
	if c.Winner.Version > 0 {
		winner, err := sheetsource.Decode(c.Winner)
		if err != nil {
			return errors.CombineErrors(c, err)
		}
		changes = d.Diff(winner, s)
	}
	if o.JSON {
		out := output{false, c.Winner.Version, c.Winner.Digest.String(), c.Winner.Publisher, sheetdiffer.ChangeRows(changes)}
		return errors.CombineErrors(c, json.NewEncoder(o.Env.Stdout).Encode(out))
	}
	fmt.Fprint(o.Env.Stdout, d.Text(changes))
	return c
}
