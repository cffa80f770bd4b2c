// Package environment holds what a command takes from its process: streams,
// clock, stop signal and flag parser. Tests inject their own.
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

// ErrUsage marks a command line that is wrong.
var ErrUsage = errors.New("usage")

// Environment is what a command takes from its process.
type Environment struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	Clock  cassiatally.Clock
	// Exit ends the process at once; only a simulated crash uses it.
	Exit func(code int)
}

// Logger returns a logger on standard error with one event per line.
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

// Usage returns an error that exits with the status of a usage error.
func Usage(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), ErrUsage)
}
