// Package cli defines the form of a command of cassiatally-bench.
//
// # Usage
//
//	c := democommand.New(env)
//	err := c.Execute(ctx, env, args)
package cli

import (
	"context"
	"fmt"

	"github.com/cassiatally/cassiatally/bench/environment"
	"github.com/cassiatally/cassiatally/cassiatally/flagparser"
)

// Command is one command of the program.
type Command struct {
	// Name is the first argument of the program, which selects the command.
	Name    string
	Summary string
	Parser  *flagparser.Parser
	Run     func(ctx context.Context) error
}

// Execute parses the arguments and runs the command or prints its help.
func (c Command) Execute(ctx context.Context, env environment.Environment, args []string) error {
	help, err := c.Parser.Parse(args)
	if err != nil {
		return err
	}
	if help {
		_, err := fmt.Fprintf(env.Stdout, "%s\n\nFlags:\n%s", c.Summary, c.Parser.Describe())
		return err
	}
	return c.Run(ctx)
}
