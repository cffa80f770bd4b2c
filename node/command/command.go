// Package command runs the cassiatally-node program: it reads the settings, runs
// the node, and drains it on SIGTERM or SIGINT.
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
	"syscall"

	"github.com/charmbracelet/log"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/exitreporter"
	"github.com/cassiatally/cassiatally/cassiatally/flagparser"
	"github.com/cassiatally/cassiatally/cassiatally/settingsloader"
	"github.com/cassiatally/cassiatally/cassiatally/sysclock"
	"github.com/cassiatally/cassiatally/node/logopener"
	"github.com/cassiatally/cassiatally/node/supervisor"
)

const name = "cassiatally-node"

// options has the flags, the streams and the stop signal of one run of the program.
type options struct {
	settings string
	// help is the text to print instead of running the node; empty unless requested.
	help   string
	stdout io.Writer
	stderr io.Writer
	// stop is done on SIGTERM or SIGINT.
	stop context.Context
}

// Main runs the program and returns its exit code.
func Main(args []string, _ io.Reader, stdout, stderr io.Writer) cassiatally.ExitCode {
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	o := &options{stdout: stdout, stderr: stderr, stop: stop}
	report := exitreporter.Reporter{Program: name, Stderr: stderr}
	if err := o.parse(args[1:]); err != nil {
		return report.Report(err)
	}
	return report.Report(o.run())
}

func (o *options) parse(args []string) error {
	p := flagparser.New(name)
	p.Flags.String(&o.settings, "s", "settings", "file with the settings of the node, in YAML")
	help, err := p.Parse(args)
	if err != nil {
		return err
	}
	if help {
		o.help = fmt.Sprintf("Runs beside a backend server and controls its load.\n\nFlags:\n%s", p.Describe())
		return nil
	}
	if o.settings == "" {
		return cassiatally.NewError(cassiatally.KindUsage, "name a settings file with --settings; examples/ has annotated ones")
	}
	return nil
}

func (o *options) run() error {
	if o.help != "" {
		_, err := fmt.Fprint(o.stdout, o.help)
		return err
	}
	data, err := os.ReadFile(o.settings)
	if err != nil {
		return cassiatally.NewError(cassiatally.KindInvalidSettings, "%v", err)
	}
	cfg, err := settingsloader.Loader{File: o.settings}.Load(data)
	if err != nil {
		return err
	}
	logger := logopener.Opener{Node: cfg.Node.ID, Level: levels[cfg.LogLevel]}.Open(o.stderr)
	s := &supervisor.Supervisor{Settings: cfg, Clock: sysclock.New(), Logger: logger}
	if err := s.Run(); err != nil {
		return err
	}
	defer s.Close()
	at := s.Addresses()
	fmt.Fprintf(o.stdout, "listening callers=%s backend=%s links=%s admin=%s\n", at.Callers, at.Backend, at.Links, at.Admin)
	<-o.stop.Done()
	logger.Info("draining", "timeout", cfg.Drain.Timeout)
	s.Drain(cfg.Drain.Timeout)
	logger.Info("stopped")
	return nil
}

var levels = map[settingsloader.LogLevel]log.Level{
	settingsloader.LevelDebug: log.DebugLevel,
	settingsloader.LevelInfo:  log.InfoLevel,
	settingsloader.LevelWarn:  log.WarnLevel,
	settingsloader.LevelError: log.ErrorLevel,
}
