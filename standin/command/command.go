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
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/standin/command/backendcommand"
	"github.com/cassiatally/cassiatally/standin/command/environment"
	"github.com/cassiatally/cassiatally/standin/command/faultscommand"
	"github.com/cassiatally/cassiatally/standin/command/loadcommand"
	"github.com/cassiatally/cassiatally/standin/command/logcommand"
	"github.com/cassiatally/cassiatally/standin/command/reconcilecommand"
	"github.com/cassiatally/cassiatally/standin/command/recordercommand"
	"github.com/cassiatally/cassiatally/standin/systemclock"
)

// flaggyPanic is the text with which flaggy panics in place of an exit, followed
// by the exit code.
const flaggyPanic = "Panic instead of exit with code: "

// parsing guards the state that flaggy keeps in its package.
var parsing sync.Mutex

// subcommand is one command of the program.
type subcommand struct {
	flags *flaggy.Subcommand
	run   func(context.Context, *environment.Environment) error
}

func subcommands() []subcommand {
	logs := logcommand.New()
	backend := backendcommand.New()
	records := recordercommand.New()
	faults := faultscommand.New()
	reconcile := reconcilecommand.New()
	load := loadcommand.New()
	return []subcommand{
		{logs.Subcommand, logs.Run},
		{backend.Subcommand, backend.Run},
		{records.Subcommand, records.Run},
		{faults.Subcommand, faults.Run},
		{load.Subcommand, load.Run},
		{reconcile.Subcommand, reconcile.Run},
	}
}

// Main runs the program and returns its exit code. The function exit ends the
// process at once; only a simulated crash calls it.
func Main(args []string, stdin io.Reader, stdout, stderr io.Writer, exit func(int)) cassiatally.ExitCode {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	env := &environment.Environment{Stdin: stdin, Stdout: stdout, Stderr: stderr, Clock: systemclock.New(), Exit: exit}
	return Run(ctx, args, env)
}

// Run runs one command in the environment until it ends or ctx ends.
func Run(ctx context.Context, args []string, env *environment.Environment) cassiatally.ExitCode {
	commands := subcommands()
	if code, done := parse(args, commands, env.Stderr); done {
		return code
	}
	for _, c := range commands {
		if c.flags.Used {
			return report(c.run(ctx, env), env.Stderr)
		}
	}
	return report(environment.Usage("a command is needed; see %s --help", args[0]), env.Stderr)
}

// parse reads the command line. flaggy ends the process by itself unless it is
// told to panic; the panic becomes an exit code here.
func parse(args []string, commands []subcommand, stderr io.Writer) (code cassiatally.ExitCode, done bool) {
	parser := flaggy.NewParser("cassiatally-standin")
	parser.Description = "Stand-ins for the systems around cassiatally"
	parser.ShowVersionWithVersionFlag = false
	for _, c := range commands {
		parser.AttachSubcommand(c.flags, 1)
	}
	parsing.Lock()
	defer parsing.Unlock()
	flaggy.PanicInsteadOfExit = true
	defer func() {
		if p := recover(); p != nil {
			code, done = exitOfPanic(p), true
		}
	}()
	if err := parser.ParseArgs(args[1:]); err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", args[0], err)
		return cassiatally.ExitUsage, true
	}
	return cassiatally.ExitSuccess, false
}

// exitOfPanic reads the exit code from the text that flaggy panics with. Only
// help ends with 0; all else is an error in the command line.
func exitOfPanic(p any) cassiatally.ExitCode {
	text, ok := p.(string)
	if !ok || !strings.HasPrefix(text, flaggyPanic) {
		panic(p)
	}
	if text == flaggyPanic+"0" {
		return cassiatally.ExitSuccess
	}
	return cassiatally.ExitUsage
}

func report(err error, stderr io.Writer) cassiatally.ExitCode {
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
