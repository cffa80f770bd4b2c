// Package command is the entry point of the cassiatally-bench program. Each command
// has a package below it.
//
// # Usage
//
//	os.Exit(int(command.Main(os.Args, os.Stdin, os.Stdout, os.Stderr)))
package command

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"strings"
	"syscall"

	"github.com/cassiatally/cassiatally/bench/cli"
	"github.com/cassiatally/cassiatally/bench/command/capacitycommand"
	"github.com/cassiatally/cassiatally/bench/command/democommand"
	"github.com/cassiatally/cassiatally/bench/command/runcommand"
	"github.com/cassiatally/cassiatally/bench/environment"
	"github.com/cassiatally/cassiatally/cassiatally"
)

const name = "cassiatally-bench"

// Main runs the program and returns its exit code. SIGINT, SIGTERM and SIGHUP end
// the command and all processes that it started.
func Main(args []string, _ io.Reader, stdout, stderr io.Writer) cassiatally.ExitCode {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	defer stop()
	env := environment.Environment{Stdout: stdout, Stderr: stderr}
	err := dispatch(ctx, env, args[1:])
	if err == nil {
		return cassiatally.ExitSuccess
	}
	fmt.Fprintf(stderr, "%s: %s\n", name, strings.Join(strings.Fields(err.Error()), " "))
	return cassiatally.KindOf(err).Spec().Exit
}

func commands(env environment.Environment) []cli.Command {
	return []cli.Command{democommand.New(env), runcommand.New(env), capacitycommand.New(env)}
}

func dispatch(ctx context.Context, env environment.Environment, args []string) error {
	all := commands(env)
	for _, c := range all {
		if len(args) > 0 && args[0] == c.Name {
			return c.Execute(ctx, env, args[1:])
		}
	}
	if len(args) > 0 && (args[0] == "--help" || args[0] == "-h" || args[0] == "help") {
		_, err := fmt.Fprint(env.Stdout, helpText(all))
		return err
	}
	return cassiatally.NewError(cassiatally.KindUsage, "a command is needed; see %s --help", name)
}

func helpText(all []cli.Command) string {
	var b strings.Builder
	b.WriteString("Drive a fleet of real processes on loopback.\n\nCommands:\n")
	for _, c := range all {
		fmt.Fprintf(&b, "  %-9s %s\n", c.Name, c.Summary)
	}
	return b.String()
}
