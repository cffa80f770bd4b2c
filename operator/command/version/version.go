// Package version prints the version of the program.
//
// # Usage
//
//	err := version.New(env).Execute(ctx, env, args)
package version

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime/debug"

	"github.com/cassiatally/cassiatally/cassiatally/flagparser"
	"github.com/cassiatally/cassiatally/cassiatally/protocol"
	"github.com/cassiatally/cassiatally/operator/cli"
	"github.com/cassiatally/cassiatally/operator/environment"
)

// Options are the inputs of the command.
type Options struct {
	Env  environment.Environment
	JSON bool
}

type output struct {
	Version  string `json:"version"`
	Go       string `json:"go"`
	Protocol int    `json:"protocol"`
}

// New returns the command.
func New(env environment.Environment) cli.Command {
	o := &Options{Env: env}
	p := flagparser.New("cassiatally version")
	p.Flags.Bool(&o.JSON, "", "json", "print JSON")
	return cli.Command{
		Name:        "version",
		Arguments:   "[--json]",
		Summary:     "Print the version of the program.",
		Description: "The protocol version is that of the records in the log.",
		Examples:    []string{"cassiatally version"},
		Parser:      p,
		Run:         func(ctx context.Context) error { return Run(ctx, o) },
	}
}

// Run prints the version.
func Run(_ context.Context, o *Options) error {
	out := output{Version: "unknown", Protocol: protocol.Version}
	if info, ok := debug.ReadBuildInfo(); ok {
		out.Version, out.Go = info.Main.Version, info.GoVersion
	}
	if o.JSON {
		return json.NewEncoder(o.Env.Stdout).Encode(out)
	}
	_, err := fmt.Fprintf(o.Env.Stdout, "cassiatally %s (%s, protocol %d)\n", out.Version, out.Go, out.Protocol)
	return err
}
