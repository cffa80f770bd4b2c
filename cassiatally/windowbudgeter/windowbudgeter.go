// Package windowbudgeter bounds retries to a fraction of the requests for a service in
// any window of time.
//
// Each node bounds its own retries by its own requests, so that the fleet as a whole
// keeps the bound without coordination. A request that is sent because a run further
// up the call chain was repeated counts as a retry too.
//
// # Usage
//
//	b := &windowbudgeter.Budgeter{Ratio: 0.16, Slack: 1}
//	b.Requested(now, pair, false) // with the first send of each request
//	if b.TakeRetry(now, pair, rank, level) {
//		// send it once more
//	}
//
// A Budgeter is not safe for concurrent use.
package windowbudgeter

import (
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/slidingcounter"
)

const (
	// maxServices bounds the services that have an account. Others get no retries.
	maxServices = 1024
	// shortageLevel is the level below which a service is short of capacity. Retries
	// would take capacity from first attempts.
	shortageLevel = 0.9
	// lessUrgentFraction is the fraction of the retries that ranks below the most urgent
	// one may use. When all endpoints of a service refuse half of what they get, calls of
	// long chains need so many retries that they would leave none to the most urgent
	// rank, and are served no better with them.
	lessUrgentFraction = 0.5
)

// Budgeter bounds the retries of one node.
type Budgeter struct {
	// Ratio is the number of retries that are allowed in a window, as a fraction of the
	// requests for the service in it.
	Ratio float64
	// Slack is the number of retries that are allowed in a window in addition.
	Slack float64
	// Window is the span in which retries are bounded; 0 means 10 s.
	Window time.Duration

	services map[cassiatally.Service]*account
}

// account counts the requests and retries of a service in a window.
type account struct{ requests, retries slidingcounter.Counter }

var _ cassiatally.RetryBudget = (*Budgeter)(nil)

// Requested counts the first send of a request, or a retry if the request is repeated
// because a run further up the call chain was.
func (b *Budgeter) Requested(now cassiatally.Instant, p cassiatally.ServicePair, repeated bool) {
	a := b.accountOf(p.To)
	switch {
	case a == nil:
	case repeated:
		a.retries.Add(now, 1)
	default:
		a.requests.Add(now, 1)
	}
}

// Succeeded changes nothing, since requests count whether they succeed or not.
func (b *Budgeter) Succeeded(cassiatally.Instant, cassiatally.ServicePair) {}

// TakeRetry reports whether a retry may be sent and counts it if so.
func (b *Budgeter) TakeRetry(now cassiatally.Instant, p cassiatally.ServicePair, r cassiatally.Rank, level cassiatally.Level) bool {
	fraction := lessUrgentFraction
	if r == 0 {
		fraction = 1
	}
	return level >= shortageLevel && b.takeRetry(now, p, fraction)
}

// TakeLostRetry does the same for a request whose endpoint was lost, also when the
// service is short of capacity, and may use all retries at any rank.
func (b *Budgeter) TakeLostRetry(now cassiatally.Instant, p cassiatally.ServicePair) bool {
	return b.takeRetry(now, p, 1)
}

// takeRetry counts a retry and returns true, unless the retry would exceed that fraction
// of the allowed ones.
func (b *Budgeter) takeRetry(now cassiatally.Instant, p cassiatally.ServicePair, fraction float64) bool {
	a := b.accountOf(p.To)
	if a == nil || a.retries.Sum(now)+1 > fraction*(b.Ratio*a.requests.Sum(now)+b.Slack) {
		return false
	}
	a.retries.Add(now, 1)
	return true
}

// accountOf returns the account of a service, or nil if there are too many services.
func (b *Budgeter) accountOf(s cassiatally.Service) *account {
	a := b.services[s]
	if a == nil && len(b.services) < maxServices {
		if b.services == nil {
			b.services = make(map[cassiatally.Service]*account)
		}
		a = &account{requests: slidingcounter.Counter{Window: b.Window}, retries: slidingcounter.Counter{Window: b.Window}}
		b.services[s] = a
	}
	return a
}
