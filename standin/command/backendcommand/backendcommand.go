// Package backendcommand implements the command that runs a backend server.
//
// # Usage
//
//	cmd := backendcommand.New()
//	help, err := cmd.Parser.Parse(args)
//	err = cmd.Run(ctx, env)
package backendcommand

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/flagparser"
	"github.com/cassiatally/cassiatally/cassiatally/roundtripper"
	"github.com/cassiatally/cassiatally/standin/backendserver"
	"github.com/cassiatally/cassiatally/standin/childcaller"
	"github.com/cassiatally/cassiatally/standin/command/environment"
	"github.com/cassiatally/cassiatally/standin/drainer"
	"github.com/cassiatally/cassiatally/standin/httpserver"
	"github.com/cassiatally/cassiatally/standin/recorder"
	"github.com/cassiatally/cassiatally/standin/reporter"
	"github.com/cassiatally/cassiatally/standin/sampler"
	"github.com/cassiatally/cassiatally/standin/slotqueue"
)

const (
	defaultSlots       = 10
	defaultConnections = 100
	defaultServiceTime = 20 * time.Millisecond
	// drainGrace bounds the drain after a stop signal.
	drainGrace = 30 * time.Second
	// clientConnections bounds the idle connections to each of the node and the
	// recorder. The default of net/http, two per host, would open a new connection
	// for most calls.
	clientConnections = 256
)

// Options are the flags of the command.
type Options struct {
	Listen        string
	Advertise     string
	Service       string
	Node          string
	Recorder      string
	Slots         int
	ReportedSlots int
	Connections   int
	Queue         int
	ServiceTime   time.Duration
	Distribution  string
	Seed          uint64
	Work          []string
	ColdStart     time.Duration
	CrashOn       string
	AnswerSize    int
	RetryChildren int
}

// Command is the backend command.
type Command struct {
	Parser  *flagparser.Parser
	Options Options
}

// New returns the command with its flags attached.
func New() *Command {
	c := &Command{Parser: flagparser.New("cassiatally-standin backend")}
	o := &c.Options
	*o = Options{
		Listen: "127.0.0.1:0", Slots: defaultSlots, Connections: defaultConnections,
		ServiceTime: defaultServiceTime, Distribution: sampler.Fixed, Seed: 1,
	}
	s := c.Parser.Flags
	s.Description = "Serve the requests of one service"
	s.String(&o.Listen, "", "listen", "address to listen on")
	s.String(&o.Advertise, "", "advertise", "address to announce in place of the own one, such as that of a fault proxy")
	s.String(&o.Service, "", "service", "name of the service")
	s.String(&o.Node, "", "node", "URL of the node's address for backend servers")
	s.String(&o.Recorder, "", "recorder", "URL of the recorder that keeps the runs")
	s.Int(&o.Slots, "", "slots", "requests that run at one time")
	s.Int(&o.ReportedSlots, "", "reported-slots", "slots to announce in place of the true number")
	s.Int(&o.Connections, "", "connections", "connections to announce")
	s.Int(&o.Queue, "", "queue", "requests that wait for a slot; more are refused with 503")
	s.Duration(&o.ServiceTime, "", "service-time", "mean time of a request without its onward calls")
	s.String(&o.Distribution, "", "distribution", "distribution of the service time: fixed or exponential")
	s.UInt64(&o.Seed, "", "seed", "seed of the distribution")
	s.StringSlice(&o.Work, "", "work", "kind of work and its onward calls, KIND=[svc/kind,svc/kind]; repeatable")
	s.Duration(&o.ColdStart, "", "cold-start", "time from the first request on in which requests take five times as long")
	s.String(&o.CrashOn, "", "crash-on", "text in a body that ends the process with status 3")
	s.Int(&o.AnswerSize, "", "answer-size", "size in bytes to which answers are padded")
	s.Int(&o.RetryChildren, "", "retry-children", "times that a failed onward call is sent again")
	return c
}

// Run serves until the context ends, then drains.
func (c *Command) Run(ctx context.Context, env *environment.Environment) error {
	o := c.Options
	work, err := o.check()
	if err != nil {
		return err
	}
	samples, err := sampler.New(o.Distribution, o.Seed)
	if err != nil {
		return environment.UsageError("%v", err)
	}
	web := &httpserver.Server{Listen: o.Listen, Stdout: env.Stdout}
	if err := web.Bind(ctx); err != nil {
		return err
	}
	client := newClient()
	announce := newAnnouncement(o, web.Address(), client, env.Logger())
	lifecycle := &drainer.Drainer{Announce: announce.setState, Withdraw: announce.withdraw}
	server := &backendserver.Server{
		Service: cassiatally.Service(o.Service), Address: web.Address(),
		Incarnation: cassiatally.Incarnation(rand.Uint64()), Work: work,
		Queue: slotqueue.New(cassiatally.Concurrency(o.Slots), o.Queue), Sampler: samples,
		ServiceTime: o.ServiceTime, ColdStart: o.ColdStart, AnswerSize: o.AnswerSize, CrashOn: o.CrashOn,
		Children:  &childcaller.Caller{Node: strings.TrimSuffix(o.Node, "/"), Client: client, Retries: o.RetryChildren},
		Lifecycle: lifecycle, Clock: env.Clock, Exit: env.Exit, SetFalseAnnouncement: announce.setFalseAnnouncement,
	}
	if o.Recorder != "" {
		sink := &recorder.Client{URL: strings.TrimSuffix(o.Recorder, "/"), HTTP: client}
		ends := &reporter.Reporter{Sink: sink, Logger: env.Logger()}
		ends.Start()
		defer ends.Close()
		server.RunStarts, server.RunEnds = sink, ends
	}
	return serve(ctx, web, server, announce, lifecycle)
}

func serve(ctx context.Context, web *httpserver.Server, server *backendserver.Server, announce *announcement, lifecycle *drainer.Drainer) error {
	server.Start()
	defer server.Close()
	announce.start(ctx)
	defer announce.close()
	lifecycle.Start(ctx)
	defer lifecycle.Close()
	web.Handler, web.ConnState = server.Handler(), server.ConnState
	if err := web.Start(ctx); err != nil {
		return err
	}
	<-ctx.Done()
	drain(ctx, lifecycle)
	return web.Close(ctx)
}

func drain(ctx context.Context, lifecycle *drainer.Drainer) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainGrace)
	defer cancel()
	lifecycle.Drain(ctx)
	select {
	case <-lifecycle.Drained():
	case <-ctx.Done():
	}
}

func newClient() *http.Client {
	t := &http.Transport{MaxIdleConns: 2 * clientConnections, MaxIdleConnsPerHost: clientConnections}
	return &http.Client{Transport: &roundtripper.RoundTripper{Transport: t}}
}

func (o Options) check() (backendserver.Work, error) {
	if o.Service == "" {
		return nil, environment.UsageError("--service is needed")
	}
	if o.Slots < 1 || o.Queue < 0 || o.Connections < 1 {
		return nil, environment.UsageError("--slots and --connections must be positive, --queue must not be negative")
	}
	if o.ServiceTime < 0 || o.ColdStart < 0 || o.RetryChildren < 0 {
		return nil, environment.UsageError("--service-time, --cold-start and --retry-children must not be negative")
	}
	return parseWork(o.Work, o.Node != "")
}

// parseWork parses entries of the form KIND=[svc/kind,svc/kind]. The brackets are
// optional.
func parseWork(entries []string, hasNode bool) (backendserver.Work, error) {
	work := make(backendserver.Work)
	for _, entry := range entries {
		kind, list, _ := strings.Cut(entry, "=")
		list = strings.TrimSuffix(strings.TrimPrefix(list, "["), "]")
		var targets []backendserver.Target
		for call := range strings.SplitSeq(list, ",") {
			if call == "" {
				continue
			}
			svc, k, ok := strings.Cut(call, "/")
			if !ok || svc == "" || k == "" {
				return nil, environment.UsageError("--work %s: %q is not of the form service/kind", entry, call)
			}
			targets = append(targets, backendserver.Target{Service: cassiatally.Service(svc), Kind: cassiatally.WorkKind(k)})
		}
		if kind == "" || len(targets) > 0 && !hasNode {
			return nil, environment.UsageError("--work %s: it needs a kind, and onward calls need --node", entry)
		}
		work[cassiatally.WorkKind(kind)] = targets
	}
	if len(work) == 0 {
		return nil, environment.UsageError("--work is needed at least once")
	}
	return work, nil
}
