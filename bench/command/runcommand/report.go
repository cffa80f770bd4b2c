package runcommand

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassiatally/cassiatally/bench/experimenter"
	"github.com/cassiatally/cassiatally/bench/machine"
	"github.com/cassiatally/cassiatally/bench/measurer"
	"github.com/cassiatally/cassiatally/bench/observation"
	"github.com/cassiatally/cassiatally/bench/plotter"
	"github.com/cassiatally/cassiatally/bench/scenario"
	"github.com/cassiatally/cassiatally/bench/scorecard"
	"github.com/cassiatally/cassiatally/bench/sheetbook"
	"github.com/cassiatally/cassiatally/standin/loadplan"
)

const (
	filePermissions   = 0o644
	folderPermissions = 0o755
)

// report writes the results of one run of the command.
type report struct {
	options      *Options
	experimenter *experimenter.Experimenter
	book         *sheetbook.Book
	observations []observation.Observation
	started      time.Time
	commit       string
}

func (r *report) write() error {
	card := r.newCard()
	if err := r.writeText(r.options.Env.Stdout, card); err != nil {
		return err
	}
	if err := os.MkdirAll(r.options.Out, folderPermissions); err != nil {
		return errors.Wrap(err, "making the folder for results")
	}
	if err := r.writeFile(".txt", func(w io.Writer) error { return r.writeText(w, card) }); err != nil {
		return err
	}
	if err := r.writeFile(".csv", card.CSV); err != nil {
		return err
	}
	return r.writePlots()
}

func (r *report) resultPath(ending string) string {
	name := r.options.Deployment
	if r.options.Quick {
		name += "-quick"
	}
	return filepath.Join(r.options.Out, name+ending)
}

func (r *report) writeFile(ending string, write func(io.Writer) error) (err error) {
	f, err := os.OpenFile(r.resultPath(ending), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, filePermissions)
	if err != nil {
		return errors.Wrap(err, "writing the results")
	}
	defer func() { err = errors.CombineErrors(err, f.Close()) }()
	return write(f)
}

func (r *report) newCard() *scorecard.Card {
	card := &scorecard.Card{}
	for _, m := range r.experimenter.Modes {
		card.Modes = append(card.Modes, m.Name)
	}
	m := &measurer.Measurer{Deployment: r.experimenter.Deployment, Policies: r.book, Capacity: r.measuredCapacity()}
	for _, o := range r.observations {
		card.Add(m.Measure(o))
	}
	return card
}

// measuredCapacity returns the greatest capacity that a direct run measured, or 0.
// Direct calls pass no nodes, so differences between modes are noise of the machine.
func (r *report) measuredCapacity() loadplan.Rate {
	var highest loadplan.Rate
	for _, o := range r.observations {
		if o.Cost != nil {
			highest = max(highest, o.Cost.Capacity)
		}
	}
	return highest
}

func (r *report) writeText(w io.Writer, card *scorecard.Card) error {
	o, dep := r.options, r.experimenter.Deployment
	bottleneck := dep.BottleneckService()
	fmt.Fprintf(w, "command:  %s\n", o.commandLine())
	fmt.Fprintf(w, "commit:   %s\n", r.commit)
	fmt.Fprintf(w, "time:     %s, %v\n", r.started.UTC().Format(time.RFC3339), time.Since(r.started).Round(time.Second))
	fmt.Fprintf(w, "seed:     %d\n", o.Seed)
	fmt.Fprintf(w, "scale:    %g of the stated rates; %s takes %v a request, so that the shared machine is not the bottleneck\n", o.Scale, bottleneck.Name, bottleneck.ServiceTime)
	fmt.Fprintf(w, "capacity: %s %.0f requests/s by slots over service time", bottleneck.Name, float64(dep.Capacity()))
	if c := r.measuredCapacity(); c > 0 {
		fmt.Fprintf(w, ", %.0f measured by a saturating direct run", float64(c))
	}
	fmt.Fprintln(w)
	fmt.Fprintf(w, "callers:  send a request again after its target time, at most %v, up to twice; phases of %v\n", o.maxCallerTimeout(), o.phaseLength())
	fmt.Fprintf(w, "links:    %s\n", r.describeLinks())
	r.writeMachine(w)
	if _, err := fmt.Fprintln(w); err != nil {
		return errors.Wrap(err, "writing the results")
	}
	if err := card.Text(w); err != nil {
		return err
	}
	_, err := fmt.Fprint(w, r.notes())
	return errors.Wrap(err, "writing the results")
}

// notes explains how to read the table.
func (r *report) notes() string {
	var b strings.Builder
	for _, s := range r.experimenter.Scenarios {
		if from, to := s.PhaseSpan(scenario.PhaseAfter); to > from {
			fmt.Fprintf(&b, "A time back of %v after the scenario %s means that there was no return while it was observed.\n", (to - from).Seconds(), s.Name)
		}
	}
	return b.String()
}

func (r *report) describeLinks() string {
	dep := r.experimenter.Deployment
	if r.experimenter.SharedFleet {
		return fmt.Sprintf("no delay between nodes (quick), %v one way to callers", dep.CallerLatency)
	}
	return fmt.Sprintf("%v one way between nodes (none in the scenario cost), %v one way to callers", dep.LinkLatency, dep.CallerLatency)
}

// writeMachine writes the range of load averages at the beginning of scenarios, and
// warnings when the machine or the load may have distorted the results.
func (r *report) writeMachine(w io.Writer) {
	lowest, highest := machine.LoadAverage(-1), machine.LoadAverage(0)
	unsent := 0
	for _, o := range r.observations {
		if lowest < 0 || o.LoadAverage < lowest {
			lowest = o.LoadAverage
		}
		highest = max(highest, o.LoadAverage)
		unsent += o.Unsent
	}
	cores := machine.Machine{}.Cores()
	fmt.Fprintf(w, "machine:  %d cores, shared; load average %.1f to %.1f before scenarios; processes of the trial have GOMAXPROCS=2\n", cores, float64(lowest), float64(highest))
	if float64(highest) > float64(cores) {
		fmt.Fprintln(w, "warning:  the load average was above the number of cores; latencies are those of a busy machine")
	}
	if unsent > 0 {
		fmt.Fprintf(w, "warning:  the load could not send %d requests in time\n", unsent)
	}
}

func (r *report) writePlots() error {
	for _, name := range scenario.Names() {
		var matching []observation.Observation
		for _, o := range r.observations {
			if o.Scenario.Name == name && o.Cost == nil {
				matching = append(matching, o)
			}
		}
		if len(matching) == 0 {
			continue
		}
		if err := (plotter.Plotter{}).Draw(r.resultPath("-"+string(name)+".svg"), matching); err != nil {
			return err
		}
	}
	return nil
}
