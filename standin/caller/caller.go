// Package caller sends the requests of callers to nodes, resends them according to
// their policy, and returns the result that was reported to each caller.
//
// # Usage
//
//	c := &caller.Caller{Nodes: []string{"http://127.0.0.1:7000"}, Client: client}
//	result := c.Do(ctx, caller.Job{ID: id, Class: class, Due: time.Now()})
package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/standin/core"
	"github.com/cassiatally/cassiatally/standin/loadplan"
)

const (
	// answerGrace extends the wait of a caller that does not resend, so that a refusal
	// that is sent at the deadline still arrives.
	answerGrace = 500 * time.Millisecond
	// lookupPause is the time before each query for the outcome of a key,
	// lookupTimeout bounds the query.
	lookupPause   = 500 * time.Millisecond
	lookupTimeout = 2 * time.Second
)

// The error kinds that the caller itself sets, without an answer of a node.
const (
	errorTimeout     = "caller_timeout"
	errorConnection  = "caller_connection_lost"
	errorUnreachable = "caller_unreachable"
	errorKeyMint     = "caller_key_mint"
)

// Job is one request.
type Job struct {
	ID     core.RequestID
	Class  loadplan.Class
	Phase  loadplan.PhaseName
	Tenant cassiatally.Tenant
	// Due is the scheduled time of the request. Latency is measured from it, so that
	// slow answers are not hidden when the caller falls behind its schedule.
	Due time.Time
	// FirstNode is the index, modulo the number of nodes, of the node that receives
	// the first copy; further copies go to the following nodes.
	FirstNode int
}

// Caller sends requests.
type Caller struct {
	// Nodes are the base URLs of the nodes.
	Nodes  []string
	Client *http.Client
	// Latency is the simulated network delay of the callers in each direction.
	Latency time.Duration
	// Direct sends requests to backend servers instead of nodes, for comparison.
	Direct bool
}

// copyResult is the result of one copy of a request.
type copyResult struct {
	outcome   string
	errorKind string
	status    int
	fault     core.Fault
	root      core.Root
	// answered is set when a node sent any answer.
	answered bool
}

// Do sends a request, with the resends of its policy, and returns the result that
// is reported to the caller.
func (c *Caller) Do(ctx context.Context, j Job) core.ReportedResult {
	last, reported := c.sendAll(ctx, j)
	reported.Outcome, reported.ErrorKind, reported.Status, reported.Fault = last.outcome, last.errorKind, last.status, last.fault
	reported.Root = last.root
	latency := time.Since(j.Due)
	reported.LatencyMS = float64(latency.Microseconds()) / float64(time.Millisecond/time.Microsecond)
	reported.InTime = last.status == http.StatusOK && last.fault == core.FaultNone && latency <= j.Class.Target
	if reported.Outcome == core.ReportedUnknown && reported.Key != "" {
		reported.LookedUp = c.lookUpOutcome(ctx, j, reported.Key)
	}
	return reported
}

// sendAll sends the copies of a request. A copy without an answer makes the outcome
// uncertain, unless a node reports the outcome of the key in a later answer.
func (c *Caller) sendAll(ctx context.Context, j Job) (copyResult, core.ReportedResult) {
	reported := core.ReportedResult{
		ID: j.ID, Class: string(j.Class.Name), Phase: string(j.Phase),
		Service: j.Class.Service, Kind: j.Class.Kind, Tenant: j.Tenant,
	}
	var last copyResult
	uncertain := false
	keyAttempt := 0
	for copies := 0; copies <= j.Class.Resend.Count; copies++ {
		node := c.Nodes[(j.FirstNode+copies)%len(c.Nodes)]
		if j.Class.Keyed && reported.Key == "" {
			key, err := c.mintKey(ctx, node, j)
			if err != nil {
				last = copyResult{outcome: core.ReportedNotRun, errorKind: errorKeyMint}
				reported.Attempts++
				continue
			}
			reported.Key, keyAttempt = key, 0
		}
		keyAttempt++
		reported.Attempts++
		last = c.send(ctx, node, j, reported.Key, keyAttempt)
		if !shouldResend(j.Class.Resend, last) {
			break
		}
		uncertain = uncertain || last.outcome == core.ReportedUnknown
		if last.outcome == core.ReportedNotRun && last.answered && reported.Key != "" && copies < j.Class.Resend.Count {
			// A key that was reported as not run is void and will never run, so the next
			// copy needs a new key.
			reported.Key, uncertain = "", false
		}
	}
	resolveOutcome(&last, uncertain, reported.Key != "")
	return last, reported
}

// resolveOutcome turns the outcome not run of the last copy into unknown when an
// earlier copy is uncertain, since that copy may have run. An answer for a request
// with a key covers all copies of the key and is kept.
func resolveOutcome(last *copyResult, uncertain, keyed bool) {
	if !uncertain || last.outcome != core.ReportedNotRun {
		return
	}
	if keyed && last.answered {
		return
	}
	last.outcome = core.ReportedUnknown
}

func shouldResend(r loadplan.Resend, last copyResult) bool {
	if r.Policy != loadplan.ResendHard {
		return false
	}
	if !last.answered {
		return true
	}
	return r.OnRefusal && last.outcome == core.ReportedNotRun
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
