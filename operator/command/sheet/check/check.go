// Package check checks a sheet without publishing it.
//
// # Usage
//
//	err := check.New(env).Execute(ctx, env, args)
package check

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cassiatally/cassiatally/cassiatally/flagparser"
	"github.com/cassiatally/cassiatally/cassiatally/sheetparser"
	"github.com/cassiatally/cassiatally/operator/cli"
	"github.com/cassiatally/cassiatally/operator/environment"
	"github.com/cassiatally/cassiatally/operator/sheetsource"
)

// Options are the inputs of the command.
type Options struct {
	Env  environment.Environment
	File string
	JSON bool
}

type output struct {
	Valid bool `json:"valid"`
	Rows  int  `json:"rows"`
	sheetparser.Report
}

// New returns the command.
func New(env environment.Environment) cli.Command {
	o := &Options{Env: env}
	p := flagparser.New("cassiatally sheet check")
	p.Positional(&o.File, "FILE", "the sheet", true)
	p.Flags.Bool(&o.JSON, "", "json", "print the report as JSON")
	return cli.Command{
		Name:      "sheet check",
		Arguments: "FILE [--json]",
		Summary:   "Check a sheet without publishing it.",
		Description: "Reads a sheet from CSV or YAML and reports every problem with file, line, column,\n" +
			"what is wrong and what would be right. Errors keep a sheet from being published;\n" +
			"warnings tell of gaps, overlaps and large shares.",
		Examples: []string{"cassiatally sheet check sheet.csv", "cassiatally sheet check sheet.yaml --json"},
		Parser:   p,
		Run:      func(ctx context.Context) error { return Run(ctx, o) },
	}
}

// Run checks the sheet.
func Run(_ context.Context, o *Options) error {
	s, report, err := sheetsource.Source{}.ReadFile(o.File)
	if err != nil {
		return err
	}
	if o.JSON {
		err = json.NewEncoder(o.Env.Stdout).Encode(output{len(report.Errors) == 0, len(s.Rows), report})
	} else {
		err = printText(o, len(s.Rows), report)
	}
	if err != nil {
		return err
	}
	return sheetsource.SummaryError(o.File, report)
}

func printText(o *Options, rows int, r sheetparser.Report) error {
	for _, p := range r.Problems() {
		if _, err := fmt.Fprintln(o.Env.Stdout, p); err != nil {
			return err
		}
	}
	if r.More > 0 {
		fmt.Fprintf(o.Env.Stdout, "%s: %d more problems are not shown\n", o.File, r.More)
	}
	if len(r.Errors) > 0 {
		return nil
	}
	_, err := fmt.Fprintf(o.Env.Stdout, "%s: valid, %d rows, %d warnings\n", o.File, rows, len(r.Warnings))
	return err
}
