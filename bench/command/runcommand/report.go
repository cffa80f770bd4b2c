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

// report writes the results of one run.
type report struct {
	options      *Options
	experimenter *experimenter.Experimenter
	book         *sheetbook.Book
	observations []observation.Observation
	started      time.Time
	commit       string
}

func (r *report) write() error {
	card := r.card()
	if err := r.text(r.options.Env.Stdout, card); err != nil {
		return err
	}
	if err := os.MkdirAll(r.options.Out, folderPermissions); err != nil {
		return errors.Wrap(err, "making the folder for results")
	}
	if err := r.file(".txt", func(w io.Writer) error { return r.text(w, card) }); err != nil {
		return err
	}
	if err := r.file(".csv", card.CSV); err != nil {
		return err
	}
	return r.plots()
}

func (r *report) name(ending string) string {
	name := r.options.Deployment
	if r.options.Quick {
		name += "-quick"
	}
	return filepath.Join(r.options.Out, name+ending)
}

func (r *report) file(ending string, write func(io.Writer) error) (err error) {
	f, err := os.OpenFile(r.name(ending), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, filePermissions)
	if err != nil {
		return errors.Wrap(err, "writing the results")
	}
	defer func() { err = errors.CombineErrors(err, f.Close()) }()
	return write(f)
}

func (r *report) card() *scorecard.Card {
	card := &scorecard.Card{}
	for _, m := range r.experimenter.Modes {
		card.Modes = append(card.Modes, m.Name)
	}
	m := &measurer.Measurer{Deployment: r.experimenter.Deployment, Policies: r.book, Capacity: r.capacity()}
	for _, o := range r.observations {
		card.Add(m.Measure(o))
	}
	return card
}

// capacity returns the greatest capacity that a direct run measured. Nodes have no
// part in it, so differences between modes are noise of the machine.
func (r *report) capacity() loadplan.Rate {
	var most loadplan.Rate
	for _, o := range r.observations {
		if o.Cost != nil {
			most = max(most, o.Cost.Capacity)
		}
	}
	return most
}

func (r *report) text(w io.Writer, card *scorecard.Card) error {
	o, dep := r.options, r.experimenter.Deployment
	narrow := dep.BottleneckService()
	fmt.Fprintf(w, "command:  %s\n", o.commandLine())
	fmt.Fprintf(w, "commit:   %s\n", r.commit)
	fmt.Fprintf(w, "time:     %s, %v\n", r.started.UTC().Format(time.RFC3339), time.Since(r.started).Round(time.Second))
	fmt.Fprintf(w, "seed:     %d\n", o.Seed)
	fmt.Fprintf(w, "scale:    %g of the stated rates; %s takes %v a request, so that the shared machine is not the bottleneck\n", o.Scale, narrow.Name, narrow.ServiceTime)
	fmt.Fprintf(w, "capacity: %s %.0f requests/s by slots over service time", narrow.Name, float64(dep.Capacity()))
	if c := r.capacity(); c > 0 {
		fmt.Fprintf(w, ", %.0f measured by a saturating direct run", float64(c))
	}
	fmt.Fprintln(w)
	fmt.Fprintf(w, "callers:  send a request again after its target time, at most %v, up to twice; phases of %v\n", o.callerLimit(), o.phase())
	fmt.Fprintf(w, "links:    %s\n", r.links())
	r.load(w)
	if _, err := fmt.Fprintln(w); err != nil {
		return errors.Wrap(err, "writing the results")
	}
	if err := card.Text(w); err != nil {
		return err
	}
	_, err := fmt.Fprint(w, r.notes())
	return errors.Wrap(err, "writing the results")
}

// notes says how to read the table.
func (r *report) notes() string {
	var b strings.Builder
	for _, s := range r.experimenter.Scenarios {
		if from, to := s.PhaseSpan(scenario.PhaseAfter); to > from {
			fmt.Fprintf(&b, "A time back of %v after the scenario %s means that there was no return while it was observed.\n", (to - from).Seconds(), s.Name)
		}
	}
	return b.String()
}

func (r *report) links() string {
	dep := r.experimenter.Deployment
	if r.experimenter.SharedFleet {
		return fmt.Sprintf("no delay between nodes (quick), %v one way to callers", dep.CallerLatency)
	}
	return fmt.Sprintf("%v one way between nodes (none in the scenario cost), %v one way to callers", dep.LinkLatency, dep.CallerLatency)
}

// load prints the load average at the beginning of each scenario and mode, and
// warns of what weakens the figures.
func (r *report) load(w io.Writer) {
	least, most := machine.LoadAverage(-1), machine.LoadAverage(0)
	unsent := 0
	for _, o := range r.observations {
		if least < 0 || o.LoadAverage < least {
			least = o.LoadAverage
		}
		most = max(most, o.LoadAverage)
		unsent += o.Unsent
	}
	cores := machine.Machine{}.Cores()
	fmt.Fprintf(w, "machine:  %d cores, shared; load average %.1f to %.1f before scenarios; processes of the trial have GOMAXPROCS=2\n", cores, float64(least), float64(most))
	if float64(most) > float64(cores) {
		fmt.Fprintln(w, "warning:  the load average was above the number of cores; latencies are those of a busy machine")
	}
	if unsent > 0 {
		fmt.Fprintf(w, "warning:  the load could not send %d requests in time\n", unsent)
	}
}

func (r *report) plots() error {
	for _, name := range scenario.Names() {
		var same []observation.Observation
		for _, o := range r.observations {
			if o.Scenario.Name == name && o.Cost == nil {
				same = append(same, o)
			}
		}
		if len(same) == 0 {
			continue
		}
		if err := (plotter.Plotter{}).Draw(r.name("-"+string(name)+".svg"), same); err != nil {
			return err
		}
	}
	return nil
}
