// Package faultscommand implements the command that runs fault proxies.
//
// # Usage
//
//	cmd := faultscommand.New()
//	help, err := cmd.Parser.Parse(args)
//	err = cmd.Run(ctx, env)
package faultscommand

import (
	"context"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/flagparser"
	"github.com/cassiatally/cassiatally/standin/command/environment"
	"github.com/cassiatally/cassiatally/standin/faultserver"
	"github.com/cassiatally/cassiatally/standin/httpserver"
)

// Options are the flags of the command.
type Options struct {
	Listen string
	Routes []string
}

// Command is the faults command.
type Command struct {
	Parser  *flagparser.Parser
	Options Options
}

// New returns the command with its flags attached.
func New() *Command {
	c := &Command{Parser: flagparser.New("cassiatally-standin faults")}
	c.Options = Options{Listen: "127.0.0.1:0"}
	c.Parser.Flags.Description = "Pass TCP connections on and bring about faults of the network"
	c.Parser.Flags.String(&c.Options.Listen, "", "listen", "address of the control interface")
	c.Parser.Flags.StringSlice(&c.Options.Routes, "", "route", "route to pass on, NAME=LISTEN,TARGET; repeatable")
	return c
}

// Run serves until the context ends. It prints a line for each route before the
// line with the address of the control interface.
func (c *Command) Run(ctx context.Context, env *environment.Environment) error {
	s := faultserver.New()
	defer s.Close(ctx)
	for _, r := range c.Options.Routes {
		name, ends, _ := strings.Cut(r, "=")
		listen, target, ok := strings.Cut(ends, ",")
		if !ok || name == "" || listen == "" || target == "" {
			return environment.UsageError("--route %s: it is not of the form NAME=LISTEN,TARGET", r)
		}
		address, err := s.AddRoute(ctx, faultserver.RouteName(name), listen, cassiatally.Address(target))
		if err != nil {
			return errors.Wrapf(err, "route %s", name)
		}
		fmt.Fprintf(env.Stdout, "route name=%s listen=%s target=%s\n", name, address, target)
	}
	return env.Serve(ctx, &httpserver.Server{Listen: c.Options.Listen, Handler: s.Handler()})
}
