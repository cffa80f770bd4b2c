// Package completion prints a completion script for a shell.
//
// # Usage
//
//	err := completion.New(env, commands).Execute(ctx, env, args)
package completion

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/flagparser"
	"github.com/cassiatally/cassiatally/operator/cli"
	"github.com/cassiatally/cassiatally/operator/environment"
)

// Options are the inputs of the command.
type Options struct {
	Env environment.Environment
	// Commands are the commands that the script completes.
	Commands []cli.Command
	Shell    string
}

var generators = map[string]func(*flaggy.Parser) string{
	"bash":       flaggy.GenerateBashCompletion,
	"zsh":        flaggy.GenerateZshCompletion,
	"fish":       flaggy.GenerateFishCompletion,
	"powershell": flaggy.GeneratePowerShellCompletion,
	"nushell":    flaggy.GenerateNushellCompletion,
}

// New returns the command.
func New(env environment.Environment, commands []cli.Command) cli.Command {
	o := &Options{Env: env, Commands: commands}
	p := flagparser.New("cassiatally completion")
	p.Positional(&o.Shell, "SHELL", "bash, zsh, fish, powershell or nushell", true)
	return cli.Command{
		Name:        "completion",
		Arguments:   "SHELL",
		Summary:     "Print a completion script for a shell.",
		Description: "The script completes commands and flags. SHELL is " + shellNames() + ".",
		Examples:    []string{"source <(cassiatally completion bash)"},
		Parser:      p,
		Run:         func(ctx context.Context) error { return Run(ctx, o) },
	}
}

// Run prints the script.
func Run(_ context.Context, o *Options) error {
	generate, ok := generators[o.Shell]
	if !ok {
		return cassiatally.NewError(cassiatally.KindUsage, "%q is not a known shell; use %s", o.Shell, shellNames())
	}
	_, err := fmt.Fprint(o.Env.Stdout, generate(completionParser(o.Commands)))
	return err
}

func shellNames() string {
	return strings.Join(slices.Sorted(maps.Keys(generators)), ", ")
}

// completionParser joins the separate parsers of the commands into one, from
// which flaggy generates a script.
func completionParser(commands []cli.Command) *flaggy.Parser {
	root := flaggy.NewParser("cassiatally")
	groups := map[string]*flaggy.Subcommand{}
	for _, c := range commands {
		group, name, nested := strings.Cut(c.Name, " ")
		if !nested {
			name = group
		}
		leaf := flaggy.NewSubcommand(name)
		leaf.Flags = c.Parser.Flags.Flags
		if !nested {
			root.AttachSubcommand(leaf, 1)
			continue
		}
		if groups[group] == nil {
			groups[group] = flaggy.NewSubcommand(group)
			root.AttachSubcommand(groups[group], 1)
		}
		groups[group].AttachSubcommand(leaf, 1)
	}
	return root
}
