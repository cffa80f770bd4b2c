package quotataker

import (
	"slices"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/quotaowner"
)

const (
	// The floors of all nodes together are floorBase + floorOfBurst x burst +
	// floorOfRate x rate requests in a window. The bound leaves 20 + 0.1 x burst +
	// 0.25 x rate beside what owners grant, of which the buckets of owners use a part of
	// the 20 and the drift of clocks a part of the rate.
	floorBase    = 4
	floorOfBurst = 0.1
	floorOfRate  = 0.2
	// floorWindow is longer than the window of the bound, since clocks drift.
	floorWindow = cassiatally.QuotaWindow + 100*time.Millisecond
	// fleetMemory is how long the size of the fleet is remembered.
	fleetMemory = 60 * time.Second
)

// floor is the fallback allowance of a node while no owner grants.
type floor struct {
	// from is one window after the start: before it, the requests that the node admitted
	// before a restart may count.
	from    cassiatally.Instant
	fleet   int
	fleetAt cassiatally.Instant
}

// learn records the size of the fleet; 0 is unknown.
func (f *floor) learn(now cassiatally.Instant, fleet int) {
	if fleet > 0 && (fleet >= f.fleet || now.Sub(f.fleetAt) > fleetMemory) {
		f.fleet, f.fleetAt = fleet, now
	}
}

// takeFloor admits one request by the fallback allowance.
func (t *Taker) takeFloor(now cassiatally.Instant, s *tenant) bool {
	if now.Before(t.floor.from) || t.floor.fleet == 0 {
		return false
	}
	s.floorAt = slices.DeleteFunc(s.floorAt, func(at cassiatally.Instant) bool { return now.Sub(at) >= floorWindow })
	if len(s.floorAt) >= t.floorOf(s.spec) {
		return false
	}
	s.floorAt = append(s.floorAt, now)
	return true
}

// floorOf returns the allowance of this node in a window. What does not divide evenly
// goes to the first nodes of the data centre in the order of the tenant.
func (t *Taker) floorOf(spec *cassiatally.TenantSpec) int {
	if len(t.nodes) == 0 {
		return 0
	}
	all := floorBase + floorOfBurst*spec.Burst + floorOfRate*float64(spec.Rate)
	local := int(all * float64(len(t.nodes)) / float64(max(t.floor.fleet, len(t.nodes))))
	n := local / len(t.nodes)
	rank := 0
	self := quotaowner.Score(spec.Name, t.self)
	for _, node := range t.nodes {
		if quotaowner.Score(spec.Name, node) < self {
			rank++
		}
	}
	if rank < local%len(t.nodes) {
		n++
	}
	return n
}
