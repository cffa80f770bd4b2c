// Package observation holds what was seen in one scenario with one control mode.
// It takes no decisions; measurer works out the measures.
//
// # Usage
//
//	o := observation.Observation{Mode: "adaptive", Scenario: s, Results: results}
package observation

import (
	"strings"
	"time"

	"github.com/cassiatally/cassiatally/bench/collector"
	"github.com/cassiatally/cassiatally/bench/machine"
	"github.com/cassiatally/cassiatally/bench/scenario"
	"github.com/cassiatally/cassiatally/standin/core"
	"github.com/cassiatally/cassiatally/standin/loadplan"
)

// Mode names a column of the results: a control mode, or the previous release.
type Mode string

// Observation is what was seen in one scenario with one mode.
type Observation struct {
	Mode     Mode
	Scenario scenario.Scenario
	Start    time.Time
	Requests []collector.Result
	// Unsent counts requests that the load could not send in time.
	Unsent int
	// Runs are the executions at backend servers that are still alive.
	Runs []core.Run
	// Load is the load average when the scenario began.
	LoadAverage machine.LoadAverage
	// Cost is set for the cost scenario only.
	Cost *Cost
}

// Cost is what a node costs, at rest and at half load.
type Cost struct {
	// Capacity is that of the narrow service, measured by a saturating direct run.
	Capacity loadplan.Rate
	// AddedP50 and AddedP99 are the latency through two nodes less that of direct
	// calls in the same time.
	AddedP50 time.Duration
	AddedP99 time.Duration
	// Sheet is the time from the acceptance of a sheet until it is in force on all
	// nodes.
	SheetPropagation time.Duration
	Rest             Usage
	Busy             Usage
}

// Usage is the use of the node that uses most.
type Usage struct {
	// Processor is the part of one core.
	Cores float64
	// Resident is the resident memory in bytes.
	ResidentBytes float64
	// Control is the control traffic, sent and received, in bytes a second.
	ControlBytesPerSecond float64
}

// Due returns when a request was due, since the start.
func (o Observation) Due(r collector.Result) time.Duration {
	return r.At.Sub(o.Start) - time.Duration(r.LatencyMS*float64(time.Millisecond))
}

// Own reports whether a run belongs to the load of the scenario.
func BelongsTo(r core.Run, name scenario.Name) bool {
	return strings.HasPrefix(string(r.ID), string(name)+"-")
}
