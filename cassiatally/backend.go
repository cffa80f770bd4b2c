package cassiatally

import (
	"context"
	"net/http"
	"time"
)

// InstanceID identifies one run of a backend server process.
type InstanceID string

// BackendTarget is the address of the backend server of this host and the instance
// that calls are for.
type BackendTarget struct {
	Address     Address
	Instance    InstanceID
	Connections Concurrency
}

// RunResultKind classifies how a run at the backend server ended.
type RunResultKind uint8

const (
	// ResultAnswered means that a whole answer arrived.
	ResultAnswered RunResultKind = iota
	// ResultRefused means that the backend server stated that it did not run the
	// request.
	ResultRefused
	// ResultUnreached means that no connection could be opened.
	ResultUnreached
	// ResultBroken means that the connection was lost before the whole answer and that
	// the backend server seems to have crashed.
	ResultBroken
	// ResultTimedOut means that the deadline passed before the answer.
	ResultTimedOut
	// ResultAborted means that the run was cancelled.
	ResultAborted
	// ResultLost means that no whole answer arrived although the backend server still
	// accepts connections.
	ResultLost
	// ResultReplaced means that another instance has the address; it did not run
	// the request.
	ResultReplaced
)

// String returns the name of the kind.
func (k RunResultKind) String() string {
	names := [...]string{"answered", "refused", "unreached", "broken", "timed_out", "aborted", "lost", "replaced"}
	if int(k) >= len(names) {
		return "unknown"
	}
	return names[k]
}

// IsInterimStatus reports whether an answer with this status is followed by another one. A
// switch of protocols, which no request asks for, is not.
func IsInterimStatus(status int) bool {
	return status >= 100 && status < 200 && status != http.StatusSwitchingProtocols
}

// IsFinalStatus reports whether a status may be that of an answer. Faulty backend servers
// send others, which must not reach callers.
func IsFinalStatus(status int) bool { return status >= 200 && status < 600 }

// RunResult is the end of a run at the backend server.
type RunResult struct {
	Kind        RunResultKind
	Status      int
	ContentType string
	Fields      []Field
	Body        []byte
	Detail      string
	// Notice is what the backend server states about itself in its answer; nil when no
	// answer arrived.
	Notice *Notice
}

// BackendClient sends calls to the backend server of this host.
type BackendClient interface {
	// Do runs a call and returns how it ended. It aborts the run when ctx ends.
	Do(ctx context.Context, t BackendTarget, c Call) RunResult
}

// BackendHealth is the answer of a backend server to a health check.
type BackendHealth struct {
	Instance InstanceID
	Healthy  bool
	Slots    Concurrency
	// Occupancy is the number of requests that the backend server runs and queues.
	Occupancy Concurrency
	// Slowdown is the one of its machine.
	Slowdown Slowdown
}

// BackendProber checks the health of the backend server of this host.
type BackendProber interface {
	Probe(ctx context.Context, a Address, path string) (BackendHealth, error)
}

// InstanceReport is the state that an instance of a backend server reports.
type InstanceReport struct {
	Instance InstanceID
	// StartedMs is when the instance started, in milliseconds of the Unix epoch; 0 when
	// that is unknown.
	StartedMs int64
	// Sequence grows with each report of an instance.
	Sequence uint64
	Service  Service
	Address  Address
	Slots    Concurrency
	State    EndpointState
	// ColdRemaining is how much longer the instance expects to be slow after its start.
	ColdRemaining time.Duration
}
