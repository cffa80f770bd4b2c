// Package caller sends the requests of callers to nodes, sends them again by
// their policy, and tells what each caller was told.
//
// # Usage
//
//	c := &caller.Caller{Nodes: []string{"http://127.0.0.1:7000"}, Client: client}
//	told := c.Do(ctx, caller.Job{ID: id, Class: class, Due: time.Now()})
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
	// answerGrace is how much longer a caller that does not send again waits, so
	// that a refusal sent at the deadline still reaches it.
	answerGrace = 500 * time.Millisecond
	// lookupPause and lookupTimeout bound the queries for the outcome of a key.
	lookupPause   = 500 * time.Millisecond
	lookupTimeout = 2 * time.Second
)

// The error kinds that a caller states by itself.
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
	// Due is the time at which the request was to be sent. Latency counts from it,
	// so that a caller which falls behind does not hide slow answers.
	Due time.Time
	// First is the index of the node that gets the first copy.
	First int
}

// Caller sends requests.
type Caller struct {
	// Nodes are the URLs of the nodes.
	Nodes  []string
	Client *http.Client
	// Latency is the delay of the callers' links in each direction.
	Latency time.Duration
	// Direct sends requests to backend servers, as a node does, for comparison.
	Direct bool
}

// result is the end of one copy of a request.
type result struct {
	outcome   string
	errorKind string
	status    int
	fault     core.Fault
	root      core.Root
	// answered is set when a node answered at all.
	answered bool
}

// Do sends a request until its policy ends and returns what the caller was told.
func (c *Caller) Do(ctx context.Context, j Job) core.Told {
	last, told := c.sendAll(ctx, j)
	told.Outcome, told.ErrorKind, told.Status, told.Fault = last.outcome, last.errorKind, last.status, last.fault
	told.Root = last.root
	latency := time.Since(j.Due)
	told.LatencyMS = float64(latency.Microseconds()) / float64(time.Millisecond/time.Microsecond)
	told.InTime = last.status == http.StatusOK && last.fault == core.FaultNone && latency <= j.Class.Target
	if told.Outcome == core.ToldUnknown && told.Key != "" {
		told.LookedUp = c.lookUp(ctx, j, told.Key)
	}
	return told
}

// sendAll sends the copies of a request. A copy that was not answered leaves the
// outcome uncertain, unless a node answers for the key later.
func (c *Caller) sendAll(ctx context.Context, j Job) (result, core.Told) {
	told := core.Told{
		ID: j.ID, Class: string(j.Class.Name), Phase: string(j.Phase),
		Service: j.Class.Service, Kind: j.Class.Kind, Tenant: j.Tenant,
	}
	var last result
	uncertain := false
	keyAttempt := 0
	for copies := 0; copies <= j.Class.Resend.Count; copies++ {
		node := c.Nodes[(j.First+copies)%len(c.Nodes)]
		if j.Class.Keyed && told.Key == "" {
			key, err := c.mint(ctx, node, j)
			if err != nil {
				last = result{outcome: core.ToldNotRun, errorKind: errorKeyMint}
				told.Attempts++
				continue
			}
			told.Key, keyAttempt = key, 0
		}
		keyAttempt++
		told.Attempts++
		last = c.send(ctx, node, j, told.Key, keyAttempt)
		if !again(j.Class.Resend, last) {
			break
		}
		uncertain = uncertain || last.outcome == core.ToldUnknown
		if last.outcome == core.ToldNotRun && last.answered && told.Key != "" && copies < j.Class.Resend.Count {
			// A void key is never run, so another copy needs a new one.
			told.Key, uncertain = "", false
		}
	}
	settle(&last, uncertain, told.Key != "")
	return last, told
}

// settle keeps an earlier uncertain copy in the outcome. Only a node that answers
// for the key speaks for all copies.
func settle(last *result, uncertain, keyed bool) {
	if !uncertain || last.outcome != core.ToldNotRun {
		return
	}
	if keyed && last.answered {
		return
	}
	last.outcome = core.ToldUnknown
}

func again(r loadplan.Resend, last result) bool {
	if r.Policy != loadplan.ResendHard {
		return false
	}
	if !last.answered {
		return true
	}
	return r.OnRefusal && last.outcome == core.ToldNotRun
}

func wait(ctx context.Context, d time.Duration) {
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
