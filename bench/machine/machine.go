// Package machine reads the conditions under which results were measured: the cores
// and the load average of the machine, and the commit of the programs.
//
// # Usage
//
//	load, err := machine.Machine{}.LoadAverage()
//	commit := machine.Machine{}.Commit(ctx, ".")
package machine

import (
	"context"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

const loadAverageFile = "/proc/loadavg"

// LoadAverage is a load average over one minute.
type LoadAverage float64

// Machine is the machine that trials run on.
type Machine struct{}

// Cores returns the number of processor cores.
func (Machine) Cores() int { return runtime.NumCPU() }

// LoadAverage returns the load average over the last minute.
func (Machine) LoadAverage() (LoadAverage, error) {
	data, err := os.ReadFile(loadAverageFile)
	if err != nil {
		return 0, errors.Wrap(err, "reading the load average")
	}
	return parseLoadAverage(string(data))
}

func parseLoadAverage(text string) (LoadAverage, error) {
	first, _, _ := strings.Cut(text, " ")
	v, err := strconv.ParseFloat(first, 64)
	return LoadAverage(v), errors.Wrap(err, "reading the load average")
}

// Commit returns the commit of a work tree, with the suffix -dirty when files differ
// from it, or "unknown" outside a repository.
func (Machine) Commit(ctx context.Context, root string) string {
	out, err := exec.CommandContext(ctx, "git", "-C", root, "describe", "--always", "--dirty", "--exclude=*").Output()
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(out))
}
