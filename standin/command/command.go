// Package command runs the cassiatally-standin program.
//
// # Usage
//
//	os.Exit(int(command.Main(os.Args, os.Stdin, os.Stdout, os.Stderr, os.Exit)))
package command

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/flagparser"
	"github.com/cassiatally/cassiatally/standin/command/backendcommand"
	"github.com/cassiatally/cassiatally/standin/command/environment"
	"github.com/cassiatally/cassiatally/standin/command/faultscommand"
	"github.com/cassiatally/cassiatally/standin/command/loadcommand"
	"github.com/cassiatally/cassiatally/standin/command/logcommand"
	"github.com/cassiatally/cassiatally/standin/command/reconcilecommand"
	"github.com/cassiatally/cassiatally/standin/command/recordercommand"
	"github.com/cassiatally/cassiatally/standin/systemclock"
)

const name = "cassiatally-standin"

// subcommand is one command of the program with its flags.
type subcommand struct {
	name   string
	parser *flagparser.Parser
	run    func(context.Context, *environment.Environment) error
}

func subcommands() []subcommand {
	logs := logcommand.New()
	backend := backendcommand.New()
	records := recordercommand.New()
	faults := faultscommand.New()
	reconcile := reconcilecommand.New()
	load := loadcommand.New()
	return []subcommand{
		{"log", logs.Parser, logs.Run},
		{"backend", backend.Parser, backend.Run},
		{"recorder", records.Parser, records.Run},
		{"faults", faults.Parser, faults.Run},
		{"load", load.Parser, load.Run},
		{"reconcile", reconcile.Parser, reconcile.Run},
	}
}

// Main runs the program until it ends or receives SIGTERM or SIGINT, and returns
// its exit code. Only a simulated crash calls exit, which ends the process
// immediately.
func Main(args []string, stdin io.Reader, stdout, stderr io.Writer, exit func(int)) cassiatally.ExitCode {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	env := &environment.Environment{Stdin: stdin, Stdout: stdout, Stderr: stderr, Clock: systemclock.New(), Exit: exit}
	return Run(ctx, args, env)
}

// Run runs the command of args until it ends or ctx ends.
func Run(ctx context.Context, args []string, env *environment.Environment) cassiatally.ExitCode {
	commands := subcommands()
	if len(args) < 2 {
		return reportError(environment.UsageError("a command is needed; see %s --help", name), env.Stderr)
	}
	if args[1] == "--help" || args[1] == "-h" {
		return reportError(printOverview(env.Stdout, commands), env.Stderr)
	}
	for _, c := range commands {
		if c.name == args[1] {
			return reportError(c.execute(ctx, env, args[2:]), env.Stderr)
		}
	}
	return reportError(environment.UsageError("%q is not a command; see %s --help", args[1], name), env.Stderr)
}

func (c subcommand) execute(ctx context.Context, env *environment.Environment, args []string) error {
	help, err := c.parser.Parse(args)
	if err != nil {
		return environment.UsageError("%v", err)
	}
	if help {
		_, err := fmt.Fprintf(env.Stdout, "%s\n\nFlags:\n%s", c.parser.Flags.Description, c.parser.Describe())
		return errors.Wrap(err, "printing the help")
	}
	return c.run(ctx, env)
}

func printOverview(w io.Writer, commands []subcommand) error {
	var b strings.Builder
	b.WriteString("Stand-ins for the systems around cassiatally.\n\nCommands:\n")
	for _, c := range commands {
		fmt.Fprintf(&b, "  %-10s %s\n", c.name, c.parser.Flags.Description)
	}
	_, err := io.WriteString(w, b.String())
	return errors.Wrap(err, "printing the help")
}

func reportError(err error, stderr io.Writer) cassiatally.ExitCode {
	switch {
	case err == nil:
		return cassiatally.ExitSuccess
	case errors.Is(err, environment.ErrUsage):
		fmt.Fprintln(stderr, err)
		return cassiatally.ExitUsage
	default:
		fmt.Fprintln(stderr, err)
		return cassiatally.ExitFailure
	}
}
