// Package runcommand implements the command run, which runs experiments with each
// control mode and compares the results with the targets.
//
// # Usage
//
//	err := runcommand.New(env).Execute(ctx, env, args)
package runcommand

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"time"

	"github.com/cassiatally/cassiatally/bench/cli"
	"github.com/cassiatally/cassiatally/bench/deployer"
	"github.com/cassiatally/cassiatally/bench/deployment"
	"github.com/cassiatally/cassiatally/bench/environment"
	"github.com/cassiatally/cassiatally/bench/experimenter"
	"github.com/cassiatally/cassiatally/bench/machine"
	"github.com/cassiatally/cassiatally/bench/observation"
	"github.com/cassiatally/cassiatally/bench/scenario"
	"github.com/cassiatally/cassiatally/bench/sheetbook"
	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/flagparser"
	"github.com/cassiatally/cassiatally/standin/loadplan"
)

const (
	defaultScale  = 0.1
	defaultLength = 5 * time.Second
	quickLength   = 1500 * time.Millisecond
	// defaultCallerTimeout bounds the time that callers wait, so that a trial ends
	// soon after its load.
	defaultCallerTimeout = 2 * time.Second
	quickCallerTimeout   = time.Second
	// previousMode is the mode with the node program of an earlier commit.
	previousMode observation.ModeName = "previous"
)

// Options are the flags of the command and its environment.
type Options struct {
	Env        environment.Environment
	Deployment string
	Scenarios  []string
	Controls   []string
	Previous   string
	Seed       uint64
	Scale      float64
	Seconds    int
	Quick      bool
	Out        string
	Root       string
}

// New returns the command.
func New(env environment.Environment) cli.Command {
	o := &Options{
		Env: env, Deployment: string(deployment.Barrier), Seed: 1, Scale: defaultScale, Out: "docs/results", Root: ".",
	}
	p := flagparser.New("cassiatally-bench run")
	p.Flags.String(&o.Deployment, "", "deployment", "barrier or intake (default: barrier)")
	p.Flags.StringSlice(&o.Scenarios, "", "scenario", "scenario to run; repeatable (default: all)")
	p.Flags.StringSlice(&o.Controls, "", "control", "control mode: off, fixed or adaptive; repeatable (default: all)")
	p.Flags.String(&o.Previous, "", "previous", "folder with the node program of an earlier commit, to compare with")
	p.Flags.UInt64(&o.Seed, "", "seed", "seed of arrivals and service times")
	p.Flags.Float64(&o.Scale, "", "scale", "part of the stated rates to run at; service times grow as it shrinks")
	p.Flags.Int(&o.Seconds, "", "seconds", "length of a phase (default: 5, with --quick 1.5)")
	p.Flags.Bool(&o.Quick, "", "quick", "short phases, and one fleet for all scenarios of a mode")
	p.Flags.String(&o.Out, "", "out", "folder for the results")
	p.Flags.String(&o.Root, "", "root", "folder of the repository, with bin and examples")
	return cli.Command{
		Name:    "run",
		Summary: "Run scenarios with each control mode and compare them with the targets.",
		Parser:  p,
		Run:     o.run,
	}
}

func (o *Options) run(ctx context.Context) error {
	e, book, err := o.newExperimenter()
	if err != nil {
		return err
	}
	started := time.Now()
	// The commit is read first, since it may change during the run, which takes
	// minutes.
	commit := machine.Machine{}.Commit(ctx, o.Root)
	logger := e.Logger
	logger.Info("experiments", "deployment", e.Deployment.Name, "modes", len(e.Modes), "scenarios", len(e.Scenarios), "seed", o.Seed)
	observations, err := e.Run(ctx)
	if err != nil {
		return err
	}
	r := &report{options: o, experimenter: e, book: book, observations: observations, started: started, commit: commit}
	return r.write()
}

// newExperimenter checks the options and returns the experimenter and the sheet.
func (o *Options) newExperimenter() (*experimenter.Experimenter, *sheetbook.Book, error) {
	dep, err := deployment.Named(deployment.Name(o.Deployment), o.Scale)
	if err != nil {
		return nil, nil, usageError(err)
	}
	dep = dep.AllThroughBottleneck(o.maxCallerTimeout())
	book, err := sheetbook.Open(filepath.Join(o.Root, dep.Sheet), dep.DataCentres[0], time.Now())
	if err != nil {
		return nil, nil, err
	}
	modes, err := o.selectModes()
	if err != nil {
		return nil, nil, err
	}
	scenarios, err := o.selectScenarios(dep, book)
	if err != nil {
		return nil, nil, usageError(err)
	}
	e := &experimenter.Experimenter{
		Deployment: dep, Modes: modes, Scenarios: scenarios, Root: o.Root, Seed: o.Seed,
		Length: o.phaseLength(), SharedFleet: o.Quick, Logger: o.Env.Logger(),
	}
	return e, book, nil
}

func (o *Options) phaseLength() time.Duration {
	switch {
	case o.Seconds > 0:
		return time.Duration(o.Seconds) * time.Second
	case o.Quick:
		return quickLength
	}
	return defaultLength
}

func (o *Options) maxCallerTimeout() time.Duration {
	if o.Quick {
		return quickCallerTimeout
	}
	return defaultCallerTimeout
}

func (o *Options) selectModes() ([]experimenter.Mode, error) {
	valid := []deployer.ControlMode{deployer.ControlOff, deployer.ControlFixed, deployer.ControlAdaptive}
	var modes []experimenter.Mode
	for _, c := range valid {
		if len(o.Controls) == 0 || slices.Contains(o.Controls, string(c)) {
			modes = append(modes, experimenter.Mode{Name: observation.ModeName(c), Control: c})
		}
	}
	for _, c := range o.Controls {
		if !slices.Contains(valid, deployer.ControlMode(c)) {
			return nil, cassiatally.NewError(cassiatally.KindUsage, "%q is no control mode; there are %v", c, valid)
		}
	}
	if o.Previous != "" {
		modes = append(modes, experimenter.Mode{Name: previousMode, Control: deployer.ControlAdaptive, NodeBin: o.Previous})
	}
	return modes, nil
}

func (o *Options) selectScenarios(dep deployment.Deployment, book *sheetbook.Book) ([]scenario.Scenario, error) {
	urgent, least := extremeClasses(dep, book)
	c := scenario.Catalogue{Deployment: dep, Length: o.phaseLength(), Quick: o.Quick, Urgent: urgent, Least: least}
	names := scenario.Names()
	if len(o.Scenarios) > 0 {
		names = nil
		for _, n := range o.Scenarios {
			names = append(names, scenario.Name(n))
		}
	}
	var all []scenario.Scenario
	for _, n := range names {
		s, err := c.Named(n)
		if err != nil {
			return nil, err
		}
		all = append(all, s)
	}
	slices.SortStableFunc(all, func(x, y scenario.Scenario) int {
		return slices.Index(scenario.Names(), x.Name) - slices.Index(scenario.Names(), y.Name)
	})
	return all, nil
}

// extremeClasses returns the first class of the most urgent rank and the last class
// of the least urgent rank.
func extremeClasses(dep deployment.Deployment, book *sheetbook.Book) (urgent, least loadplan.ClassName) {
	rank := func(c deployment.Class) cassiatally.Rank { return book.Rank(c.Service, c.Kind) }
	first, last := dep.Classes[0], dep.Classes[0]
	for _, c := range dep.Classes {
		if rank(c) < rank(first) {
			first = c
		}
		if rank(c) >= rank(last) {
			last = c
		}
	}
	return first.Name, last.Name
}

func usageError(err error) error { return cassiatally.NewError(cassiatally.KindUsage, "%v", err) }

// commandLine returns a command line that repeats the run.
func (o *Options) commandLine() string {
	line := fmt.Sprintf("cassiatally-bench run --deployment %s --seed %d --scale %g", o.Deployment, o.Seed, o.Scale)
	if o.Seconds > 0 {
		line += fmt.Sprintf(" --seconds %d", o.Seconds)
	}
	for _, s := range o.Scenarios {
		line += " --scenario " + s
	}
	for _, c := range o.Controls {
		line += " --control " + c
	}
	if o.Quick {
		line += " --quick"
	}
	if o.Previous != "" {
		line += " --previous DIR"
	}
	return line
}
