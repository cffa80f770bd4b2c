// Package democommand implements the command demo, which shows the barrier agency
// under overload, in about a minute.
//
// # Usage
//
//	err := democommand.New(env).Execute(ctx, env, args)
package democommand

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/cassiatally/cassiatally/bench/cli"
	"github.com/cassiatally/cassiatally/bench/deployer"
	"github.com/cassiatally/cassiatally/bench/deployment"
	"github.com/cassiatally/cassiatally/bench/environment"
	"github.com/cassiatally/cassiatally/bench/launcher"
	"github.com/cassiatally/cassiatally/bench/ranktable"
	"github.com/cassiatally/cassiatally/bench/sheetbook"
	"github.com/cassiatally/cassiatally/bench/sheetpublisher"
	"github.com/cassiatally/cassiatally/bench/trial"
	"github.com/cassiatally/cassiatally/cassiatally/flagparser"
	"github.com/cassiatally/cassiatally/standin/core"
	"github.com/cassiatally/cassiatally/standin/loadplan"
	"github.com/cassiatally/cassiatally/standin/reconciler"
	"github.com/cassiatally/cassiatally/standin/recorder"
)

const (
	scale = 0.1
	// The loads of the phases, in multiples of the bottleneck service's capacity.
	startLoad    = 0.2
	calmLoad     = 0.5
	overloadLoad = 3

	startDuration    = 5 * time.Second
	calmDuration     = 12 * time.Second
	overloadDuration = 15 * time.Second
	// recorderDelay is the time in which backend servers send the ends of their runs
	// to the recorder.
	recorderDelay = time.Second
	// readTimeout bounds reading all runs from the recorder.
	readTimeout         = time.Minute
	maxListedViolations = 10
)

// Options are the flags of the command and its environment.
type Options struct {
	Env  environment.Environment
	Root string
	Seed uint64
	Keep bool
}

// New returns the command.
func New(env environment.Environment) cli.Command {
	o := &Options{Env: env, Root: ".", Seed: 1}
	p := flagparser.New("cassiatally-bench demo")
	p.Flags.String(&o.Root, "", "root", "folder of the repository, with bin and examples")
	p.Flags.UInt64(&o.Seed, "", "seed", "seed of the arrivals")
	p.Flags.Bool(&o.Keep, "", "keep", "keep the folder with the logs of the processes")
	return cli.Command{
		Name:    "demo",
		Summary: "Show the barrier agency at half load, in overload, and back.",
		Parser:  p,
		Run:     o.run,
	}
}

// demo is the state of one run of the command.
type demo struct {
	*Options
	logger *log.Logger
	fleet  *deployer.Fleet
	book   *sheetbook.Book
}

func (o *Options) run(ctx context.Context) error {
	folder, err := os.MkdirTemp("", "cassiatally-demo-")
	if err != nil {
		return errors.Wrap(err, "making a folder for logs")
	}
	if o.Keep {
		fmt.Fprintf(o.Env.Stdout, "logs of the processes: %s\n", folder)
	} else {
		defer os.RemoveAll(folder)
	}
	l := &launcher.Launcher{Logs: folder, Environment: launcher.SmallHostEnvironment()}
	l.Run()
	defer l.Close()
	d := &demo{Options: o, logger: o.Env.Logger()}
	if err := d.startFleet(ctx, l, folder); err != nil {
		return err
	}
	return d.runLoad(ctx)
}

func (d *demo) startFleet(ctx context.Context, l *launcher.Launcher, folder string) error {
	dep, err := deployment.Named(deployment.Barrier, scale)
	if err != nil {
		return err
	}
	bin := filepath.Join(d.Root, "bin")
	d.logger.Info("start", "data_centres", len(dep.DataCentres), "services", len(dep.Services), "nodes", len(dep.DataCentres)*len(dep.Services))
	fleetDeployer := &deployer.Deployer{
		Deployment: dep, Launcher: l, Bin: bin, Control: deployer.ControlAdaptive, Folder: folder, WithRecorder: true, Seed: d.Seed,
	}
	if d.fleet, err = fleetDeployer.Deploy(ctx); err != nil {
		return err
	}
	if err := d.fleet.WaitMembers(ctx); err != nil {
		return err
	}
	d.logger.Info("members", "known_by_all", len(d.fleet.Endpoints))
	return d.publishSheet(ctx, bin)
}

func (d *demo) publishSheet(ctx context.Context, bin string) error {
	dep := d.fleet.Deployment
	sheet := filepath.Join(d.Root, dep.Sheet)
	var err error
	if d.book, err = sheetbook.Open(sheet, dep.DataCentres[0], time.Now()); err != nil {
		return err
	}
	p := &sheetpublisher.Publisher{Program: filepath.Join(bin, "cassiatally"), Fleet: d.fleet}
	took, err := p.Publish(ctx, sheet, 0)
	if err != nil {
		return err
	}
	d.logger.Info("sheet", "file", dep.Sheet, "in_force_on_all_nodes_after", took.Round(time.Millisecond))
	return d.fleet.WaitKeys(ctx)
}

func (d *demo) runLoad(ctx context.Context) error {
	dep := d.fleet.Deployment
	phases := []loadplan.Phase{
		{Name: "start", Duration: startDuration, Rates: dep.MixedRates(startLoad)},
		{Name: "calm", Duration: calmDuration, Rates: dep.MixedRates(calmLoad)},
		{Name: "overload", Duration: overloadDuration, Rates: dep.MixedRates(overloadLoad)},
		{Name: "after", Duration: calmDuration, Rates: dep.MixedRates(calmLoad)},
	}
	t := &trial.Trial{Fleet: d.fleet, Name: "demo", Seed: d.Seed, Progress: d.logger}
	results := t.Run(ctx, phases)
	if err := ctx.Err(); err != nil {
		return errors.Wrap(err, "the demo was stopped")
	}
	timer := time.NewTimer(recorderDelay)
	<-timer.C
	runs, err := d.readRuns(ctx)
	if err != nil {
		return err
	}
	table := ranktable.New(d.book)
	table.Add(results.ReportedResults())
	table.AddRuns(runs)
	bottleneck := dep.BottleneckService()
	fmt.Fprintf(
		d.Env.Stdout, "\nLoad as a part of the capacity of %s (%d slots, %v a request, %.0f requests/s): start %.1f, calm %.1f, overload %.1f, after %.1f.\n\n",
		bottleneck.Name, len(dep.DataCentres)*int(bottleneck.Slots), bottleneck.ServiceTime, float64(dep.Capacity()), startLoad, calmLoad, float64(overloadLoad), calmLoad,
	)
	if err := table.Print(d.Env.Stdout); err != nil {
		return err
	}
	if results.Unsent > 0 {
		fmt.Fprintf(d.Env.Stdout, "The load could not send %d requests in time.\n", results.Unsent)
	}
	return d.reconcile(results.ReportedResults(), runs)
}

func (d *demo) readRuns(ctx context.Context) ([]core.Run, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	client := &recorder.Client{URL: d.fleet.RecorderURL, HTTP: http.DefaultClient}
	return client.Runs(ctx)
}

// reconcile compares the results reported to callers with the runs at backend
// servers, and prints the violations.
func (d *demo) reconcile(reported []core.ReportedResult, runs []core.Run) error {
	report := reconciler.New(runs).Check(reported)
	w := d.Env.Stdout
	fmt.Fprintf(w, "\nReconciliation of %d requests with %d runs at backend servers:\n", report.ReportedResults, report.Runs)
	for _, rule := range reconciler.Rules() {
		fmt.Fprintf(w, "  %-20s %d\n", rule, report.Count(rule))
	}
	for _, v := range report.Violations[:min(len(report.Violations), maxListedViolations)] {
		fmt.Fprintf(w, "  %s: id %s, class %s, key %s, %d runs\n", v.Rule, v.ID, v.Class, v.Key, len(v.Runs))
	}
	if n := len(report.Violations); n > 0 {
		return errors.Newf("%d violations", n)
	}
	fmt.Fprintln(w, "No promise was broken.")
	return nil
}
