package core

import (
	"context"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

type (
	// RecordID identifies one execution of a request in one backend server process.
	RecordID string
	// RequestID is the id in the body of a caller's request.
	RequestID string
	// RunToken is the token that a node assigns to a run.
	RunToken string
	// Root is the id that a node assigns to a caller's request; all calls of its call
	// chain share it.
	Root string
	// RunState is the state of a run.
	RunState string
)

// The states of a run.
const (
	RunStarted  RunState = "started"
	RunFinished RunState = "finished"
	RunAborted  RunState = "aborted"
	RunFailed   RunState = "failed"
)

// Run is one execution of a request at a backend server. Its JSON form is
// shared by the backend server, the recorder and the reconciler.
type Run struct {
	Record  RecordID             `json:"record"`
	Run     RunToken             `json:"run"`
	Root    Root                 `json:"root"`
	Service cassiatally.Service  `json:"service"`
	Kind    cassiatally.WorkKind `json:"kind"`
	ID      RequestID            `json:"id"`
	Digest  string               `json:"digest"`
	Key     cassiatally.Key      `json:"key,omitempty"`
	Backend cassiatally.Address  `json:"backend"`
	State   RunState             `json:"state"`
	Start   time.Time            `json:"start"`
	End     time.Time            `json:"end,omitzero"`
}

// RunSink stores records of runs.
type RunSink interface {
	// Record stores the state of a run and returns once it is stored.
	Record(ctx context.Context, r Run) error
}

// Sampler draws service times.
type Sampler interface {
	// Sample returns a service time of the distribution with the given mean.
	Sample(mean time.Duration) time.Duration
}

// Fault is a defect that a caller found in an answer.
type Fault string

// The faults of an answer.
const (
	FaultNone Fault = ""
	// FaultForeign marks an answer to another request.
	FaultForeign Fault = "foreign"
	// FaultIncomplete marks an answer that is truncated or has no digest.
	FaultIncomplete Fault = "incomplete"
	// FaultCorrupted marks an answer that does not match its digest.
	FaultCorrupted Fault = "corrupted"
)

// The outcomes that are reported to callers.
const (
	ReportedRan     = "ran"
	ReportedNotRun  = "not_run"
	ReportedUnknown = "unknown"
)

// ReportedResult is the result of one request as it was reported to its caller.
// Its JSON form is shared by the callers, the recorder and the reconciler.
type ReportedResult struct {
	ID      RequestID            `json:"id"`
	Key     cassiatally.Key      `json:"key,omitempty"`
	Root    Root                 `json:"root,omitempty"`
	Class   string               `json:"class"`
	Phase   string               `json:"phase"`
	Service cassiatally.Service  `json:"service"`
	Kind    cassiatally.WorkKind `json:"kind"`
	Tenant  cassiatally.Tenant   `json:"tenant,omitempty"`
	Outcome string               `json:"outcome"`
	// LookedUp is the outcome that a later query for the key returned; empty
	// without a query.
	LookedUp  string  `json:"looked_up,omitempty"`
	ErrorKind string  `json:"error_kind,omitempty"`
	Status    int     `json:"status"`
	LatencyMS float64 `json:"latency_ms"`
	Attempts  int     `json:"attempts"`
	InTime    bool    `json:"in_time"`
	Fault     Fault   `json:"fault,omitempty"`
}

// ResultSink stores results reported to callers.
type ResultSink interface {
	RecordResults(ctx context.Context, results []ReportedResult) error
}
