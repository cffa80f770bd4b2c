// Package capacitycommand implements the command capacity, which measures nodes at
// rest in fleets of several sizes.
//
// # Usage
//
//	err := capacitycommand.New(env).Execute(ctx, env, args)
package capacitycommand

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassiatally/cassiatally/bench/capacitymeter"
	"github.com/cassiatally/cassiatally/bench/cli"
	"github.com/cassiatally/cassiatally/bench/environment"
	"github.com/cassiatally/cassiatally/bench/launcher"
	"github.com/cassiatally/cassiatally/bench/machine"
	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/flagparser"
)

const (
	defaultSizes  = "2,8,16,32,64"
	defaultLength = 10 * time.Second
	maxNodes      = 128
	mebi          = 1 << 20
)

// Options are the flags of the command and its environment.
type Options struct {
	Env    environment.Environment
	Root   string
	Sizes  string
	Length time.Duration
	// DataCentres is the number of data centres of each fleet.
	DataCentres int
}

// New returns the command.
func New(env environment.Environment) cli.Command {
	o := &Options{Env: env, Root: ".", Sizes: defaultSizes, Length: defaultLength, DataCentres: 1}
	p := flagparser.New("cassiatally-bench capacity")
	p.Flags.String(&o.Root, "", "root", "folder of the repository, with bin")
	p.Flags.String(&o.Sizes, "", "sizes", "numbers of nodes, separated by commas")
	p.Flags.Int(&o.DataCentres, "", "data-centres", "number of data centres over which the nodes of a fleet are spread")
	p.Flags.Duration(&o.Length, "", "length", "time of each reading")
	return cli.Command{
		Name:    "capacity",
		Summary: "Measure nodes at rest in fleets of several sizes.",
		Parser:  p,
		Run:     o.run,
	}
}

func (o *Options) run(ctx context.Context) error {
	sizes, err := parseSizes(o.Sizes)
	if err != nil {
		return err
	}
	if o.DataCentres < 1 {
		return cassiatally.NewError(cassiatally.KindUsage, "--data-centres %d: at least 1 is needed", o.DataCentres)
	}
	folder, err := os.MkdirTemp("", "cassiatally-capacity-")
	if err != nil {
		return errors.Wrap(err, "making a folder for logs")
	}
	defer os.RemoveAll(folder)
	l := &launcher.Launcher{Logs: folder, Environment: launcher.SmallHostEnvironment()}
	l.Run()
	defer l.Close()
	m := &capacitymeter.Meter{Launcher: l, Bin: filepath.Join(o.Root, "bin"), Folder: folder, Length: o.Length, DataCentres: o.DataCentres}
	w := tabwriter.NewWriter(o.Env.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NODES\tCORE\tMEMORY\tSENT\tRECEIVED\tMOST SENT\tAPPENDS\tJOINED\tLOAD")
	for _, size := range sizes {
		row, err := m.Measure(ctx, size)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "%d\t%.2f%%\t%.1f MiB\t%.0f B/s\t%.0f B/s\t%.0f B/s\t%d\t%v\t%s\n",
			row.Nodes, 100*row.Cores, float64(row.MaxResident)/mebi, row.SentBytesPerSecond, row.ReceivedBytesPerSecond, row.MaxSentBytesPerSecond, row.Appends, row.JoinTime.Round(time.Millisecond), formatLoadAverage())
	}
	return w.Flush()
}

func formatLoadAverage() string {
	load, err := machine.Machine{}.LoadAverage()
	if err != nil {
		return "unknown"
	}
	return fmt.Sprintf("%.1f", float64(load))
}

func parseSizes(text string) ([]int, error) {
	var sizes []int
	for _, field := range strings.Split(text, ",") {
		n, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil || n < 2 || n > maxNodes {
			return nil, cassiatally.NewError(cassiatally.KindUsage, "--sizes %q: each size is a number from 2 to %d", text, maxNodes)
		}
		sizes = append(sizes, n)
	}
	return sizes, nil
}
