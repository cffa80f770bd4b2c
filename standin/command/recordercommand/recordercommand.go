// Package recordercommand implements the command that runs the recorder.
//
// # Usage
//
//	cmd := recordercommand.New()
//	help, err := cmd.Parser.Parse(args)
//	err = cmd.Run(ctx, env)
package recordercommand

import (
	"context"

	"github.com/cassiatally/cassiatally/cassiatally/flagparser"
	"github.com/cassiatally/cassiatally/standin/command/environment"
	"github.com/cassiatally/cassiatally/standin/httpserver"
	"github.com/cassiatally/cassiatally/standin/recordbook"
	"github.com/cassiatally/cassiatally/standin/recorder"
)

// Options are the flags of the command.
type Options struct {
	Listen   string
	Capacity int
}

// Command is the recorder command.
type Command struct {
	Parser  *flagparser.Parser
	Options Options
}

// New returns the command with its flags attached.
func New() *Command {
	c := &Command{Parser: flagparser.New("cassiatally-standin recorder")}
	c.Options = Options{Listen: "127.0.0.1:0", Capacity: recordbook.DefaultCapacity}
	c.Parser.Flags.Description = "Keep the runs of backend servers and what callers were told"
	c.Parser.Flags.String(&c.Options.Listen, "", "listen", "address to listen on")
	c.Parser.Flags.Int(&c.Options.Capacity, "", "capacity", "runs and results that are kept; more are refused with 507")
	return c
}

// Run serves until the context ends.
func (c *Command) Run(ctx context.Context, env *environment.Environment) error {
	if c.Options.Capacity < 1 {
		return environment.UsageError("--capacity must be positive")
	}
	s := recorder.New(recordbook.New(c.Options.Capacity))
	defer s.Close()
	return env.Serve(ctx, &httpserver.Server{Listen: c.Options.Listen, Handler: s.Handler()})
}
