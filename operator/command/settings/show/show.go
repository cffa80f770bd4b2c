// Package show prints the settings of a node with defaults filled in.
//
// # Usage
//
//	err := show.New(env).Execute(ctx, env, args)
package show

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"github.com/cassiatally/cassiatally/cassiatally/flagparser"
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

// New returns the command.
func New(env environment.Environment) cli.Command {
	o := &Options{Env: env}
	p := flagparser.New("cassiatally settings show")
	p.Positional(&o.File, "FILE", "the settings", true)
	p.Flags.Bool(&o.JSON, "", "json", "print the settings as JSON")
	return cli.Command{
		Name:        "settings show",
		Arguments:   "FILE [--json]",
		Summary:     "Show the settings that a file puts in force.",
		Description: "Prints all settings as YAML, with defaults filled in.",
		Examples:    []string{"cassiatally settings show node.yaml"},
		Parser:      p,
		Run:         func(ctx context.Context) error { return Run(ctx, o) },
	}
}

// Run prints the settings.
func Run(_ context.Context, o *Options) error {
	s, problems, err := settingssource.Source{}.ReadFile(o.File)
	if err != nil {
		return err
	}
	if err := settingssource.SummaryError(o.File, problems); err != nil {
		return err
	}
	text := []byte(s.Describe())
	if o.JSON {
		if text, err = yaml.YAMLToJSON(text); err != nil {
			return errors.Wrap(err, "write the settings as JSON")
		}
	}
	_, err = fmt.Fprint(o.Env.Stdout, string(text))
	return err
}
