// Package cli defines the type of the program's commands and prints their help.
//
// # Usage
//
//	c := check.New(env)
//	err := c.Execute(ctx, env, args)
package cli

import (
	"context"
	"fmt"
	"strings"

	"github.com/cassiatally/cassiatally/cassiatally/flagparser"
	"github.com/cassiatally/cassiatally/operator/environment"
)

// Command is one command of the program.
type Command struct {
	// Name is the words after the program's name, such as "sheet check".
	Name string
	// Arguments follows the name in the usage line.
	Arguments   string
	Summary     string
	Description string
	Examples    []string
	Parser      *flagparser.Parser
	Run         func(ctx context.Context) error
}

// Execute parses the arguments and runs the command or prints its help.
func (c Command) Execute(ctx context.Context, env environment.Environment, args []string) error {
	help, err := c.Parser.Parse(args)
	if err != nil {
		return err
	}
	if help {
		_, err := fmt.Fprint(env.Stdout, c.Help())
		return err
	}
	return c.Run(ctx)
}

// Help returns the help text.
func (c Command) Help() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s\n\nUsage:\n  %s\n\n%s\n", c.Summary, strings.TrimSpace("cassiatally "+c.Name+" "+c.Arguments), c.Description)
	fmt.Fprintf(&b, "\nFlags:\n%s\nExamples:\n", c.Parser.Describe())
	for _, e := range c.Examples {
		fmt.Fprintf(&b, "  %s\n", e)
	}
	return b.String()
}
