// Package logcommand implements the command that runs the stand-in for the
// platform's log service.
//
// # Usage
//
//	cmd := logcommand.New()
//	help, err := cmd.Parser.Parse(args)
//	err = cmd.Run(ctx, env)
package logcommand

import (
	"context"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally/flagparser"
	"github.com/cassiatally/cassiatally/standin/command/environment"
	"github.com/cassiatally/cassiatally/standin/httpserver"
	"github.com/cassiatally/cassiatally/standin/logserver"
	"github.com/cassiatally/cassiatally/standin/logstore"
)

const (
	defaultAppendsPerSecond = 300
	defaultRetention        = 24 * time.Hour
	// maxStoreBytes bounds the memory for records.
	maxStoreBytes = 256 << 20
)

// Options are the flags of the command.
type Options struct {
	Listen           string
	AppendsPerSecond int
	Retention        time.Duration
}

// Command is the log command.
type Command struct {
	Parser  *flagparser.Parser
	Options Options
}

// New returns the command with its flags attached.
func New() *Command {
	c := &Command{Parser: flagparser.New("cassiatally-standin log")}
	c.Options = Options{Listen: "127.0.0.1:0", AppendsPerSecond: defaultAppendsPerSecond, Retention: defaultRetention}
	c.Parser.Flags.Description = "Serve the HTTP interface of the log service"
	c.Parser.Flags.String(&c.Options.Listen, "", "listen", "address to listen on")
	c.Parser.Flags.Int(&c.Options.AppendsPerSecond, "", "appends-per-second", "appends accepted a second")
	c.Parser.Flags.Duration(&c.Options.Retention, "", "retention", "time after which a record is dropped")
	return c
}

// Run serves until the context ends.
func (c *Command) Run(ctx context.Context, env *environment.Environment) error {
	if c.Options.AppendsPerSecond < 1 || c.Options.Retention <= 0 {
		return environment.UsageError("--appends-per-second and --retention must be positive")
	}
	store := logstore.New(logstore.Limits{
		AppendsPerSecond: float64(c.Options.AppendsPerSecond),
		Retention:        c.Options.Retention,
		MaxBytes:         maxStoreBytes,
	})
	s := logserver.New(store, env.Clock)
	defer s.Close()
	return env.Serve(ctx, &httpserver.Server{Listen: c.Options.Listen, Handler: s.Handler()})
}
