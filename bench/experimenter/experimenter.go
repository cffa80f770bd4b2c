// Package experimenter runs scenarios with each control mode, one after another
// on the same machine, and keeps what was seen.
//
// # Usage
//
//	e := &experimenter.Experimenter{Deployment: dep, Modes: modes, Scenarios: scenarios, Root: ".", Seed: 1, Logger: logger}
//	observations, err := e.Run(ctx)
package experimenter

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/cassiatally/cassiatally/bench/costmeter"
	"github.com/cassiatally/cassiatally/bench/deployer"
	"github.com/cassiatally/cassiatally/bench/deployment"
	"github.com/cassiatally/cassiatally/bench/launcher"
	"github.com/cassiatally/cassiatally/bench/machine"
	"github.com/cassiatally/cassiatally/bench/observation"
	"github.com/cassiatally/cassiatally/bench/scenario"
	"github.com/cassiatally/cassiatally/bench/sheetpublisher"
	"github.com/cassiatally/cassiatally/bench/trial"
	"github.com/cassiatally/cassiatally/standin/core"
)

// startTries bounds the starts of a fleet.
const startTries = 3

var errNotStarted = errors.New("the fleet did not start")

// Mode is one way to run the nodes.
type Mode struct {
	Name    observation.Mode
	Control deployer.ControlMode
	// NodeBin is the folder of the node program; empty for that of this commit.
	NodeBin string
}

// Experimenter runs scenarios.
type Experimenter struct {
	Deployment deployment.Deployment
	Modes      []Mode
	Scenarios  []scenario.Scenario
	// Root is the folder of the repository.
	Root string
	Seed uint64
	// Length is the length of a phase.
	Length time.Duration
	// Shared runs all scenarios of a mode on one fleet, whose links have no delay.
	// Otherwise each scenario has a fleet of its own.
	SharedFleet bool
	Logger      *log.Logger
}

// Run runs all scenarios. Modes alternate within a scenario, so that a change of
// the machine's load meets all of them.
func (e *Experimenter) Run(ctx context.Context) ([]observation.Observation, error) {
	groups := [][]scenario.Scenario{e.Scenarios}
	if !e.SharedFleet {
		groups = nil
		for _, s := range e.Scenarios {
			groups = append(groups, []scenario.Scenario{s})
		}
	}
	var all []observation.Observation
	for _, group := range groups {
		for _, m := range e.Modes {
			seen, err := e.runOn(ctx, m, group)
			all = append(all, seen...)
			if err != nil {
				return all, errors.Wrapf(err, "mode %s", m.Name)
			}
		}
	}
	return all, nil
}

// runOn runs scenarios on one fleet. A fleet that does not start is started again,
// since another program of the machine can take a reserved port.
func (e *Experimenter) runOn(ctx context.Context, m Mode, group []scenario.Scenario) ([]observation.Observation, error) {
	for tries := 1; ; tries++ {
		seen, err := e.tryOn(ctx, m, group)
		if !errors.Is(err, errNotStarted) || tries == startTries || ctx.Err() != nil {
			return seen, err
		}
		e.Logger.Warn("fleet not started", "mode", m.Name, "tries", tries, "err", err)
	}
}

// tryOn runs scenarios on one fleet, which it ends.
func (e *Experimenter) tryOn(ctx context.Context, m Mode, group []scenario.Scenario) ([]observation.Observation, error) {
	folder, err := os.MkdirTemp("", "cassiatally-bench-")
	if err != nil {
		return nil, errors.Wrap(err, "making a folder for logs")
	}
	defer os.RemoveAll(folder)
	l := &launcher.Launcher{Logs: folder, Environment: launcher.SmallHostEnvironment()}
	l.Run()
	defer l.Close()
	p, err := e.start(ctx, m, l, folder, group)
	if err != nil {
		return nil, errors.Mark(err, errNotStarted)
	}
	var seen []observation.Observation
	for _, s := range group {
		o, err := e.observe(ctx, m, p, s)
		if err != nil {
			return seen, errors.Wrapf(err, "scenario %s", s.Name)
		}
		seen = append(seen, o)
	}
	return seen, nil
}

func (e *Experimenter) start(ctx context.Context, m Mode, l *launcher.Launcher, folder string, group []scenario.Scenario) (*sheetpublisher.Publisher, error) {
	dep := e.Deployment
	if e.SharedFleet || group[0].Name == scenario.Cost {
		dep.LinkLatency = 0
	}
	bin := filepath.Join(e.Root, "bin")
	d := &deployer.Deployer{
		Deployment: dep, Launcher: l, Bin: bin, NodeBin: m.NodeBin, Control: m.Control, Folder: folder, Seed: e.Seed,
	}
	f, err := d.Deploy(ctx)
	if err != nil {
		return nil, err
	}
	if err := f.WaitMembers(ctx); err != nil {
		return nil, err
	}
	p := &sheetpublisher.Publisher{Program: filepath.Join(bin, "cassiatally"), Fleet: f}
	if _, err := p.Publish(ctx, e.sheet(), 0); err != nil {
		return nil, err
	}
	return p, f.WaitKeys(ctx)
}

func (e *Experimenter) sheet() string { return filepath.Join(e.Root, e.Deployment.Sheet) }

func (e *Experimenter) observe(ctx context.Context, m Mode, p *sheetpublisher.Publisher, s scenario.Scenario) (observation.Observation, error) {
	o := observation.Observation{Mode: m.Name, Scenario: s}
	var err error
	if o.LoadAverage, err = (machine.Machine{}).LoadAverage(); err != nil {
		return o, err
	}
	e.Logger.Info("scenario", "name", s.Name, "mode", m.Name, "load_average", float64(o.LoadAverage))
	if cores := (machine.Machine{}).Cores(); float64(o.LoadAverage) > float64(cores) {
		e.Logger.Warn("load average above the number of cores", "load_average", float64(o.LoadAverage), "cores", cores)
	}
	if s.Name == scenario.Cost {
		meter := &costmeter.Meter{Fleet: p.Fleet, Publisher: p, Sheet: e.sheet(), Seed: e.Seed, Length: e.Length}
		o.Cost, err = meter.Measure(ctx)
		return o, err
	}
	if err := e.load(ctx, p.Fleet, &o); err != nil {
		return o, err
	}
	o.Runs, err = runs(ctx, p.Fleet, s.Name)
	return o, err
}

func (e *Experimenter) load(ctx context.Context, f *deployer.Fleet, o *observation.Observation) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	var errEvents error
	wg.Go(func() { errEvents = runEvents(ctx, f, o.Scenario.Events) })
	t := &trial.Trial{Fleet: f, Name: string(o.Scenario.Name), Seed: e.Seed, Progress: e.Logger}
	results := t.Run(ctx, o.Scenario.Phases)
	wg.Wait()
	o.Start, o.Requests, o.Unsent = results.Start, results.Requests, results.Unsent
	if err := ctx.Err(); err != nil {
		return errors.Wrap(err, "the load was stopped")
	}
	return errEvents
}

// runEvents is the duty that brings about the disturbances.
func runEvents(ctx context.Context, f *deployer.Fleet, events []scenario.Event) error {
	start := time.Now()
	var err error
	for _, event := range events {
		timer := time.NewTimer(time.Until(start.Add(event.At)))
		select {
		case <-timer.C:
			err = errors.CombineErrors(err, event.Do(ctx, f))
		case <-ctx.Done():
			timer.Stop()
			return err
		}
	}
	return err
}

type recordsBody struct {
	Runs []core.Run `json:"runs"`
}

// runs reads the runs of a scenario from the backend servers that are alive.
func runs(ctx context.Context, f *deployer.Fleet, name scenario.Name) ([]core.Run, error) {
	var all []core.Run
	for _, e := range f.Endpoints {
		if !e.Alive() {
			continue
		}
		body, err := records(ctx, f.Client, "http://"+e.Backend.Listening["address"]+"/records")
		if err != nil {
			return nil, err
		}
		for _, r := range body.Runs {
			if observation.BelongsTo(r, name) {
				all = append(all, r)
			}
		}
	}
	return all, nil
}

func records(ctx context.Context, client *http.Client, url string) (recordsBody, error) {
	var body recordsBody
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return body, errors.Wrap(err, "building a request for runs")
	}
	resp, err := client.Do(req)
	if err != nil {
		return body, errors.Wrap(err, "reading the runs of a backend server")
	}
	defer resp.Body.Close()
	return body, errors.Wrap(json.NewDecoder(resp.Body).Decode(&body), "decoding the runs of a backend server")
}
