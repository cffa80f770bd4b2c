// Package observation holds the raw data recorded in one scenario with one control
// mode. Package measurer computes the measures from it.
//
// # Usage
//
//	o := observation.Observation{Mode: "adaptive", Scenario: s, Requests: results}
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

// ModeName names a column of the results: a control mode, or the mode with the node
// program of an earlier commit.
type ModeName string

// Observation is the raw data of one scenario with one mode.
type Observation struct {
	Mode     ModeName
	Scenario scenario.Scenario
	Start    time.Time
	// Requests has the result of each request that ended.
	Requests []collector.Result
	// Unsent counts requests that the load could not send in time.
	Unsent int
	// Runs are the executions recorded by the backend servers that are still alive.
	Runs []core.Run
	// LoadAverage is that of the machine when the scenario began.
	LoadAverage machine.LoadAverage
	// Cost is set for the cost scenario only.
	Cost *Cost
}

// Cost is the overhead of nodes, at rest and at half load.
type Cost struct {
	// Capacity is that of the bottleneck service, measured by a saturating run that
	// calls its backend servers directly.
	Capacity loadplan.Rate
	// AddedP50 and AddedP99 are the latency through two nodes minus that of direct
	// calls at the same time.
	AddedP50 time.Duration
	AddedP99 time.Duration
	// SheetPropagation is the time from the acceptance of a sheet until it is in
	// force on all nodes.
	SheetPropagation time.Duration
	Rest             Usage
	Busy             Usage
}

// Usage holds, for each resource, the highest usage of any node.
type Usage struct {
	// Cores is the processor time used, in cores.
	Cores         float64
	ResidentBytes float64
	// ControlBytesPerSecond is the control traffic, sent and received.
	ControlBytesPerSecond float64
}

// Due returns when a request was due to be sent, as the time since Start.
func (o Observation) Due(r collector.Result) time.Duration {
	return r.At.Sub(o.Start) - time.Duration(r.LatencyMS*float64(time.Millisecond))
}

// BelongsTo reports whether a run belongs to the load of the scenario.
func BelongsTo(r core.Run, name scenario.Name) bool {
	return strings.HasPrefix(string(r.ID), string(name)+"-")
}
