// Package experimenter runs scenarios with each control mode, one after another
// on the same machine, and returns the observations.
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

// maxStartAttempts bounds the attempts to start a fleet.
const maxStartAttempts = 3

var errFleetNotStarted = errors.New("the fleet did not start")

// Mode is one configuration of the nodes that is compared with others.
type Mode struct {
	Name    observation.ModeName
	Control deployer.ControlMode
	// NodeBin is the folder of the node program; empty for that of the commit under
	// test.
	NodeBin string
}

// Experimenter runs scenarios with each mode.
type Experimenter struct {
	Deployment deployment.Deployment
	Modes      []Mode
	Scenarios  []scenario.Scenario
	// Root is the folder of the repository.
	Root string
	Seed uint64
	// Length is the length of a phase.
	Length time.Duration
	// SharedFleet runs all scenarios of a mode on one fleet, whose links have no
	// delay. Otherwise each scenario has a fleet of its own.
	SharedFleet bool
	Logger      *log.Logger
}

// Run runs all scenarios. Unless the fleet is shared, all modes of a scenario run
// before the next scenario, so that a change of the machine's load affects all of
// them alike.
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
			observations, err := e.runGroup(ctx, m, group)
			all = append(all, observations...)
			if err != nil {
				return all, errors.Wrapf(err, "mode %s", m.Name)
			}
		}
	}
	return all, nil
}

// runGroup runs scenarios on one fleet. It tries again when the fleet does not
// start, since another program of the machine can take a reserved port.
func (e *Experimenter) runGroup(ctx context.Context, m Mode, group []scenario.Scenario) ([]observation.Observation, error) {
	for attempt := 1; ; attempt++ {
		observations, err := e.tryGroup(ctx, m, group)
		if !errors.Is(err, errFleetNotStarted) || attempt == maxStartAttempts || ctx.Err() != nil {
			return observations, err
		}
		e.Logger.Warn("fleet not started", "mode", m.Name, "tries", attempt, "err", err)
	}
}

// tryGroup starts a fleet, runs scenarios on it, and stops it.
func (e *Experimenter) tryGroup(ctx context.Context, m Mode, group []scenario.Scenario) ([]observation.Observation, error) {
	folder, err := os.MkdirTemp("", "cassiatally-bench-")
	if err != nil {
		return nil, errors.Wrap(err, "making a folder for logs")
	}
	defer os.RemoveAll(folder)
	l := &launcher.Launcher{Logs: folder, Environment: launcher.SmallHostEnvironment()}
	l.Run()
	defer l.Close()
	p, err := e.startFleet(ctx, m, l, folder, group)
	if err != nil {
		return nil, errors.Mark(err, errFleetNotStarted)
	}
	var observations []observation.Observation
	for _, s := range group {
		o, err := e.observe(ctx, m, p, s)
		if err != nil {
			return observations, errors.Wrapf(err, "scenario %s", s.Name)
		}
		observations = append(observations, o)
	}
	return observations, nil
}

func (e *Experimenter) startFleet(ctx context.Context, m Mode, l *launcher.Launcher, folder string, group []scenario.Scenario) (*sheetpublisher.Publisher, error) {
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
	if _, err := p.Publish(ctx, e.sheetFile(), 0); err != nil {
		return nil, err
	}
	return p, f.WaitKeys(ctx)
}

func (e *Experimenter) sheetFile() string { return filepath.Join(e.Root, e.Deployment.Sheet) }

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
		meter := &costmeter.Meter{Fleet: p.Fleet, Publisher: p, Sheet: e.sheetFile(), Seed: e.Seed, Length: e.Length}
		o.Cost, err = meter.Measure(ctx)
		return o, err
	}
	if err := e.runLoad(ctx, p.Fleet, &o); err != nil {
		return o, err
	}
	o.Runs, err = readRuns(ctx, p.Fleet, s.Name)
	return o, err
}

func (e *Experimenter) runLoad(ctx context.Context, f *deployer.Fleet, o *observation.Observation) error {
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

// runEvents is the duty that applies the events of a scenario at their times.
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

// readRuns reads the runs of a scenario from the backend servers that are alive.
func readRuns(ctx context.Context, f *deployer.Fleet, name scenario.Name) ([]core.Run, error) {
	var all []core.Run
	for _, e := range f.Endpoints {
		if !e.Alive() {
			continue
		}
		body, err := readRecords(ctx, f.Client, "http://"+e.Backend.Listening["address"]+"/records")
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

func readRecords(ctx context.Context, client *http.Client, url string) (recordsBody, error) {
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
