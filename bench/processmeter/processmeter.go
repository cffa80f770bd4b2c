// Package processmeter reads the processor time and resident memory of
// processes from /proc.
//
// # Usage
//
//	before, err := processmeter.Meter{}.Read(pid)
//	after, err := processmeter.Meter{}.Read(pid)
//	cores := after.CoresSince(before)
package processmeter

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassiatally/cassiatally/bench/launcher"
)

const (
	// clockTick is the unit of processor times in /proc. Linux shows user space a
	// tick of 10 ms on all systems.
	clockTick = 10 * time.Millisecond
	kibi      = 1 << 10
	// userField and systemField are indices into the fields of /proc/PID/stat that
	// follow the name of the command.
	userField      = 11
	systemField    = 12
	residentPrefix = "VmRSS:"
)

// Bytes is a size in memory.
type Bytes uint64

// Usage is the processor time that a process has used since its start and its
// resident memory, both read at one time.
type Usage struct {
	At            time.Time
	ProcessorTime time.Duration
	Resident      Bytes
}

// CoresSince returns the mean number of cores that the process used since an
// earlier reading; 0 when no time has passed.
func (u Usage) CoresSince(earlier Usage) float64 {
	elapsed := u.At.Sub(earlier.At)
	if elapsed <= 0 {
		return 0
	}
	return float64(u.ProcessorTime-earlier.ProcessorTime) / float64(elapsed)
}

// Meter reads the usage of processes.
type Meter struct{}

// Read returns the usage of a process.
func (Meter) Read(pid launcher.PID) (Usage, error) {
	folder := fmt.Sprintf("/proc/%d/", pid)
	stat, err := os.ReadFile(folder + "stat")
	if err != nil {
		return Usage{}, errors.Wrap(err, "reading the processor time of a process")
	}
	status, err := os.ReadFile(folder + "status")
	if err != nil {
		return Usage{}, errors.Wrap(err, "reading the memory of a process")
	}
	u := Usage{At: time.Now()}
	if u.ProcessorTime, err = parseProcessorTime(string(stat)); err != nil {
		return u, err
	}
	u.Resident, err = parseResident(string(status))
	return u, err
}

func parseProcessorTime(text string) (time.Duration, error) {
	// The name of the command is in brackets and may contain blanks and brackets.
	fields := strings.Fields(text[strings.LastIndex(text, ")")+1:])
	if len(fields) <= systemField {
		return 0, errors.New("the processor times of a process are missing")
	}
	user, errUser := strconv.ParseInt(fields[userField], 10, 64)
	system, errSystem := strconv.ParseInt(fields[systemField], 10, 64)
	return time.Duration(user+system) * clockTick, errors.CombineErrors(errUser, errSystem)
}

func parseResident(text string) (Bytes, error) {
	for line := range strings.Lines(text) {
		rest, ok := strings.CutPrefix(line, residentPrefix)
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(strings.Fields(rest)[0], 10, 64)
		return Bytes(n * kibi), errors.Wrap(err, "reading the memory of a process")
	}
	return 0, errors.New("the memory of a process is missing")
}
