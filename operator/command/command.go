// Package command parses the command line of the cassiatally program and runs the
// command that it names. Each command has a package below this one.
//
// # Usage
//
//	os.Exit(int(command.Main(os.Args, os.Stdin, os.Stdout, os.Stderr)))
package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/mattn/go-isatty"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/logclient"
	"github.com/cassiatally/cassiatally/cassiatally/sysclock"
	"github.com/cassiatally/cassiatally/operator/cli"
	"github.com/cassiatally/cassiatally/operator/command/call"
	"github.com/cassiatally/cassiatally/operator/command/completion"
	"github.com/cassiatally/cassiatally/operator/command/key/mint"
	keyshow "github.com/cassiatally/cassiatally/operator/command/key/show"
	settingscheck "github.com/cassiatally/cassiatally/operator/command/settings/check"
	settingsshow "github.com/cassiatally/cassiatally/operator/command/settings/show"
	"github.com/cassiatally/cassiatally/operator/command/sheet/check"
	"github.com/cassiatally/cassiatally/operator/command/sheet/diff"
	"github.com/cassiatally/cassiatally/operator/command/sheet/history"
	"github.com/cassiatally/cassiatally/operator/command/sheet/publish"
	"github.com/cassiatally/cassiatally/operator/command/sheet/show"
	"github.com/cassiatally/cassiatally/operator/command/status"
	"github.com/cassiatally/cassiatally/operator/command/trace"
	"github.com/cassiatally/cassiatally/operator/command/version"
	"github.com/cassiatally/cassiatally/operator/environment"
	"github.com/cassiatally/cassiatally/operator/nodeclient"
)

// Main runs the program and returns its exit code.
func Main(args []string, stdin io.Reader, stdout, stderr io.Writer) cassiatally.ExitCode {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	env := environment.Environment{
		Stdin:    pipedInput(stdin),
		Stdout:   stdout,
		Stderr:   stderr,
		Terminal: isTerminal(stdout),
		User:     os.Getenv("USER"),
		OpenLog: func(a cassiatally.Address, timeout time.Duration) cassiatally.Log {
			return &logclient.Client{Address: a, Timeout: timeout}
		},
		HTTP:  nodeclient.NewHTTP(),
		Clock: sysclock.New(),
	}
	return Execute(ctx, env, args[1:])
}

// Execute runs the command that the arguments name. It prints an error as one
// line and returns the exit code.
func Execute(ctx context.Context, env environment.Environment, args []string) cassiatally.ExitCode {
	err := dispatch(ctx, env, args)
	if err == nil {
		return cassiatally.ExitSuccess
	}
	fmt.Fprintf(env.Stderr, "cassiatally: %s\n", strings.Join(strings.Fields(err.Error()), " "))
	return cassiatally.KindOf(err).Spec().Exit
}

func commands(env environment.Environment) []cli.Command {
	all := []cli.Command{
		status.New(env),
		check.New(env),
		publish.New(env),
		show.New(env),
		history.New(env),
		diff.New(env),
		call.New(env),
		mint.New(env),
		keyshow.New(env),
		settingscheck.New(env),
		settingsshow.New(env),
		trace.New(env),
		version.New(env),
	}
	return append(all, completion.New(env, all))
}

func dispatch(ctx context.Context, env environment.Environment, args []string) error {
	all := commands(env)
	for _, c := range all {
		words := strings.Fields(c.Name)
		if len(args) >= len(words) && strings.Join(args[:len(words)], " ") == c.Name {
			return c.Execute(ctx, env, args[len(words):])
		}
	}
	if len(args) > 0 && isHelpArgument(args[len(args)-1]) {
		_, err := fmt.Fprint(env.Stdout, overview(all))
		return err
	}
	if len(args) == 0 {
		return cassiatally.NewError(cassiatally.KindUsage, "no command is given; see cassiatally --help")
	}
	return cassiatally.NewError(cassiatally.KindUsage, "%q is not a command; see cassiatally --help", strings.Join(args[:min(2, len(args))], " "))
}

func isHelpArgument(arg string) bool { return arg == "help" || arg == "--help" || arg == "-h" }

func overview(all []cli.Command) string {
	var b strings.Builder
	b.WriteString("Control the overload control layer.\n\nUsage:\n  cassiatally COMMAND [ARGUMENTS] [FLAGS]\n\nCommands:\n")
	for _, c := range all {
		fmt.Fprintf(&b, "  %-15s %s\n", c.Name, c.Summary)
	}
	b.WriteString("\nRun cassiatally COMMAND --help for the flags and examples of a command.\n")
	return b.String()
}

// pipedInput returns r, or nil when r is a terminal: log lines are piped in, not
// typed.
func pipedInput(r io.Reader) io.Reader {
	if f, ok := r.(*os.File); ok && isatty.IsTerminal(f.Fd()) {
		return nil
	}
	return r
}

func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	return ok && isatty.IsTerminal(f.Fd())
}
