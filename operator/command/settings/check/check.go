// Package check checks the settings of a node.
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
	"github.com/cassiatally/cassiatally/cassiatally/settingsloader"
	"github.com/cassiatally/cassiatally/operator/cli"
	"github.com/cassiatally/cassiatally/operator/environment"
	"github.com/cassiatally/cassiatally/operator/settingssource"
)

// Options are the inputs of the command.
type Options struct {
	Env  environment.Environment
	File string
	JSON bool
}

type output struct {
	Valid    bool            `json:"valid"`
	Problems []outputProblem `json:"problems"`
}

type outputProblem struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Key     string `json:"key"`
	Message string `json:"wrong"`
	Fix     string `json:"right"`
}

// New returns the command.
func New(env environment.Environment) cli.Command {
	o := &Options{Env: env}
	p := flagparser.New("cassiatally settings check")
	p.Positional(&o.File, "FILE", "the settings", true)
	p.Flags.Bool(&o.JSON, "", "json", "print the report as JSON")
	return cli.Command{
		Name:        "settings check",
		Arguments:   "FILE [--json]",
		Summary:     "Check the settings of a node.",
		Description: "Reports every problem with file, line, column, what is wrong and what would be right.",
		Examples:    []string{"cassiatally settings check node.yaml", "cassiatally settings check node.yaml --json"},
		Parser:      p,
		Run:         func(ctx context.Context) error { return Run(ctx, o) },
	}
}

// Run checks the settings.
func Run(_ context.Context, o *Options) error {
	_, problems, err := settingssource.Source{}.ReadFile(o.File)
	if err != nil {
		return err
	}
	if o.JSON {
		err = json.NewEncoder(o.Env.Stdout).Encode(newOutput(o.File, problems))
	} else {
		err = printText(o, problems)
	}
	if err != nil {
		return err
	}
	return settingssource.SummaryError(o.File, problems)
}

func newOutput(file string, problems []settingsloader.Problem) output {
	out := output{Valid: len(problems) == 0, Problems: []outputProblem{}}
	for _, p := range problems {
		out.Problems = append(out.Problems, outputProblem{file, p.Line, p.Column, p.Key, p.Message, p.Fix})
	}
	return out
}

func printText(o *Options, problems []settingsloader.Problem) error {
	for _, p := range problems {
		if _, err := fmt.Fprintf(o.Env.Stdout, "%s:%d:%d: error: %s: %s; %s\n", o.File, p.Line, p.Column, p.Key, p.Message, p.Fix); err != nil {
			return err
		}
	}
	if len(problems) > 0 {
		return nil
	}
	_, err := fmt.Fprintf(o.Env.Stdout, "%s: valid\n", o.File)
	return err
}
