// Package environment holds what a command takes from its process: the standard
// streams, the clock and the exit function. Tests inject their own.
//
// # Usage
//
//	env := &environment.Environment{Stdout: os.Stdout, Stderr: os.Stderr, Clock: systemclock.New(), Exit: os.Exit}
//	if err := env.Serve(ctx, server); err != nil {
//		return err
//	}
package environment

import (
	"context"
	"io"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/standin/httpserver"
)

// ErrUsage marks errors of the command line.
var ErrUsage = errors.New("usage")

// Environment is what a command takes from its process.
type Environment struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	Clock  cassiatally.Clock
	// Exit ends the process immediately; only a simulated crash calls it.
	Exit func(code int)
}

// Logger returns a logger that writes one line per event to standard error.
func (e *Environment) Logger() *log.Logger {
	return log.NewWithOptions(e.Stderr, log.Options{Formatter: log.LogfmtFormatter, ReportTimestamp: true})
}

// Serve runs a server until the context ends.
func (e *Environment) Serve(ctx context.Context, s *httpserver.Server) error {
	s.Stdout = e.Stdout
	if err := s.Start(ctx); err != nil {
		return err
	}
	<-ctx.Done()
	return s.Close(ctx)
}

// UsageError returns an error that makes the program exit with the status for usage
// errors.
func UsageError(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), ErrUsage)
}
