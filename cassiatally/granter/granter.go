// Package granter decides, at the node beside an endpoint, which of the calls that the
// endpoint refused may be sent once more.
//
// When all endpoints of a service refuse half of what they get, the retries that the
// fleet may send are far fewer than the refusals. A node that sends calls would have to
// divide them by its own few requests; the node beside an endpoint sees a large part of
// the calls of all nodes. It grants retries to the most urgent rank first, and of the
// onward calls of less urgent ones to those whose run is furthest: a chain of four calls
// needs four answers, and what it got so far is lost with one refusal.
//
// # Usage
//
//	g := &granter.Granter{Ratio: 0.16, Window: 10 * time.Second}
//	g.Arrived(now, call)        // with each call that is passed to the endpoint
//	if g.Grant(now, call) { ... } // when the endpoint refused it
//
// A Granter is not safe for concurrent use.
package granter

import (
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/slidingcounter"
)

const (
	// slack is the number of retries in a window that are granted regardless of the
	// number of calls.
	slack = 1
	// lessUrgentFraction is the fraction of the retries that ranks below the most urgent
	// one may use while that rank sends calls too.
	lessUrgentFraction = 0.5
	// fullProgress is the number of onward calls that a run has completed from which on
	// its next one may use all that its rank may. Fewer calls may use proportionally
	// less.
	fullProgress = 3
)

// Granter bounds the retries of the calls at one endpoint. Its fields are set before its
// first use.
type Granter struct {
	// Ratio is the number of retries that are allowed in a window, as a fraction of the
	// calls. Retries that other nodes decide upon count towards it.
	Ratio float64
	// Window is the span in which retries are bounded; 0 means 10 s.
	Window time.Duration

	ready                       bool
	calls, retries              slidingcounter.Counter
	urgentCalls, urgentRefusals slidingcounter.Counter
	lessUrgentGrants            slidingcounter.Counter
}

var _ cassiatally.RetryGranter = (*Granter)(nil)

func (g *Granter) init() {
	if g.ready {
		return
	}
	g.ready = true
	for _, c := range []*slidingcounter.Counter{&g.calls, &g.retries, &g.urgentCalls, &g.urgentRefusals, &g.lessUrgentGrants} {
		c.Window = g.Window
	}
}

// Arrived records a call that is passed to the endpoint. A granted retry was counted
// when it was granted.
func (g *Granter) Arrived(now cassiatally.Instant, c cassiatally.Call) {
	g.init()
	switch {
	case c.Send == cassiatally.SendGranted:
	case c.Send == cassiatally.SendRetry || c.Repeated:
		g.retries.Add(now, 1)
	default:
		g.calls.Add(now, 1)
		if c.Rank == 0 {
			g.urgentCalls.Add(now, 1)
		}
	}
}

// Grant reports whether a call that the endpoint refused may be sent once more, and
// counts the retry if so.
func (g *Granter) Grant(now cassiatally.Instant, c cassiatally.Call) bool {
	g.init()
	allowed := g.Ratio*g.calls.Sum(now) + slack
	if c.Rank == 0 {
		g.urgentRefusals.Add(now, 1)
	}
	if g.retries.Sum(now)+1 > allowed {
		return false
	}
	if c.Rank > 0 {
		if g.lessUrgentGrants.Sum(now)+1 > g.lessUrgentBound(now, c, allowed) {
			return false
		}
		g.lessUrgentGrants.Add(now, 1)
	}
	g.retries.Add(now, 1)
	return true
}

// lessUrgentBound returns the number of retries that calls of less urgent ranks may use,
// of those allowed.
func (g *Granter) lessUrgentBound(now cassiatally.Instant, c cassiatally.Call, allowed float64) float64 {
	bound := allowed
	if g.urgentCalls.Sum(now) > 0 {
		bound = min(lessUrgentFraction*allowed, allowed-g.urgentRefusals.Sum(now))
	}
	if c.Depth > 0 {
		bound *= float64(min(c.Progress, fullProgress)+1) / (fullProgress + 1)
	}
	return bound
}
