// Package windowbudgeter bounds retries to a part of the requests for a service in
// any window of time.
//
// Each node bounds its own retries by its own requests, so that the fleet as a
// whole keeps the bound without agreeing on anything. A request that is sent
// because a run further up was repeated counts as a retry too.
//
// # Usage
//
//	b := &windowbudgeter.Budgeter{Ratio: 0.16, Slack: 1}
//	b.Requested(now, pair, false) // with the first send of each request
//	if b.Take(now, pair, rank, level) {
//		// send it once more
//	}
//
// A Budgeter is not safe for concurrent use.
package windowbudgeter

import (
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	// slots divide the window. Requests and retries of the slot that is under way
	// count in full.
	slots         = 10
	defaultWindow = 10 * time.Second
	// maxServices bounds the services that are remembered.
	maxServices = 1024
	// shortBelow is the level below which a service is short of capacity. Retries
	// into it would take room from first tries.
	shortBelow = 0.9
	// othersPart is the part of the retries that requests of less than the most urgent
	// rank may use. Calls of long chains need so many that they leave none, when all
	// endpoints of a service refuse half of what they get, and are served no better.
	othersPart = 0.5
)

// Budgeter bounds the retries of one node.
type Budgeter struct {
	// Ratio is the part of the requests for a service in a window that may be
	// retried.
	Ratio float64
	// Slack is the number of retries in a window that are allowed besides.
	Slack float64
	// Window is the span in which retries are bounded; 0 means 10 s.
	Window time.Duration

	services map[cassiatally.Service]*account
}

// account counts the requests and retries of a window, by slot.
type account struct {
	slot              int64
	requests, retries [slots]float64
}

var _ cassiatally.RetryBudget = (*Budgeter)(nil)

// Requested counts the first send of a request. A repeated one belongs to a run that
// was repeated further up.
func (b *Budgeter) Requested(now cassiatally.Instant, p cassiatally.ServicePair, repeated bool) {
	a := b.account(now, p.To)
	if a == nil {
		return
	}
	if repeated {
		a.retries[a.slot%slots]++
		return
	}
	a.requests[a.slot%slots]++
}

// Succeeded changes nothing, since requests pay for retries whether they succeed
// or not.
func (b *Budgeter) Succeeded(cassiatally.Instant, cassiatally.ServicePair) {}

// Take reports whether a retry may be sent and counts it if so.
func (b *Budgeter) TakeRetry(now cassiatally.Instant, p cassiatally.ServicePair, r cassiatally.Rank, level cassiatally.Level) bool {
	part := othersPart
	if r == 0 {
		part = 1
	}
	return level >= shortBelow && b.take(now, p, part)
}

// TakeLost does the same for a request whose endpoint was lost, also when the
// service is short.
func (b *Budgeter) TakeLostRetry(now cassiatally.Instant, p cassiatally.ServicePair) bool {
	return b.take(now, p, 1)
}

// take counts a retry if, with it, no more than a part of those allowed are used.
func (b *Budgeter) take(now cassiatally.Instant, p cassiatally.ServicePair, part float64) bool {
	a := b.account(now, p.To)
	if a == nil || sum(a.retries)+1 > part*(b.Ratio*sum(a.requests)+b.Slack) {
		return false
	}
	a.retries[a.slot%slots]++
	return true
}

func sum(counts [slots]float64) float64 {
	total := 0.0
	for _, n := range counts {
		total += n
	}
	return total
}

// account returns the counts of a service with the slots before the window cleared.
func (b *Budgeter) account(now cassiatally.Instant, s cassiatally.Service) *account {
	window := b.Window
	if window <= 0 {
		window = defaultWindow
	}
	slot := int64(time.Duration(now) / (window / slots))
	a := b.services[s]
	if a == nil {
		if b.services == nil {
			b.services = make(map[cassiatally.Service]*account)
		}
		if len(b.services) >= maxServices {
			return nil
		}
		a = &account{slot: slot}
		b.services[s] = a
	}
	for past := max(a.slot+1, slot-slots+1); past <= slot; past++ {
		a.requests[past%slots], a.retries[past%slots] = 0, 0
	}
	a.slot = max(a.slot, slot)
	return a
}
