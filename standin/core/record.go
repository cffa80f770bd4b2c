package core

import (
	"context"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

type (
	// RecordID names one execution of a request at one backend server process.
	RecordID string
	// RequestID is the id that a caller puts into the body of its request.
	RequestID string
	// RunToken is the token that a node gives to a run.
	RunToken string
	// Root is the id of a caller's request across its call chain, as text.
	Root string
	// RunState is the state of an execution.
	RunState string
)

// The states of an execution.
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

// RunSink keeps records of executions.
type RunSink interface {
	// Record keeps the state of an execution and returns once it is kept.
	Record(ctx context.Context, r Run) error
}

// Sampler draws service times.
type Sampler interface {
	// Sample returns a service time of the distribution with the given mean.
	Sample(mean time.Duration) time.Duration
}
