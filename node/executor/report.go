package executor

import (
	"slices"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// suspectCounts has the numbers of requests that are suspected of crashing backend
// servers and of those that are quarantined for it.
type suspectCounts struct{ suspects, quarantined int }

func (x *Executor) reportEndpoint(now cassiatally.Instant) {
	x.lastReport = now
	e := x.Runner.Endpoint()
	counts := x.Runner.Counts()
	x.counts.Store(&counts)
	x.countSuspects(now)
	if e.State != x.loggedState {
		x.loggedState = e.State
		x.Logger.Info("backend server state changed", "service", e.Service, "state", e.State)
	}
	reports := x.Quarantine.Reports(now)
	if len(reports) == 0 && !x.reportedCrashes && !now.Reached(x.nextReport) && sameEndpoint(e, x.reportedEndpoint) {
		return
	}
	x.reportedEndpoint, x.reportedCrashes, x.nextReport = e, len(reports) > 0, now.Add(reportInterval)
	x.OnEndpoint(e, reports)
}

func sameEndpoint(a, b cassiatally.Endpoint) bool {
	return a.Service == b.Service && a.Slots == b.Slots && a.Connections == b.Connections && a.State == b.State &&
		a.Load == b.Load && slices.Equal(a.Levels, b.Levels)
}

// countSuspects counts at most once a second, since it visits every suspect.
func (x *Executor) countSuspects(now cassiatally.Instant) {
	if !now.Reached(x.nextSuspectCount) {
		return
	}
	x.nextSuspectCount = now.Add(suspectCountInterval)
	var m suspectCounts
	m.suspects, m.quarantined = x.Quarantine.Count(now)
	x.suspects.Store(&m)
}

// reportNotice reports a change of what the backend server states about itself, and
// which request brought it.
func (x *Executor) reportNotice(now cassiatally.Instant, source string, name cassiatally.RequestName) {
	n := x.Runner.Notice()
	x.reportedNotice.Instance, x.reportedNotice.StartedMs = n.Instance, n.StartedMs
	if n == x.reportedNotice {
		return
	}
	leavingChanged := n.Leaving != x.reportedNotice.Leaving
	x.reportedNotice = n
	x.Logger.Info("backend server notice changed", "instance", n.Instance, "rate_limited", n.RateLimited, "rate_limit", n.RateLimit,
		"leaving", n.Leaving, "invalid_rate_limit", n.InvalidRateLimit, "source", source, "request", name)
	if x.OnNotice != nil {
		x.OnNotice(n)
	}
	if leavingChanged {
		x.reportEndpoint(now) // all members stop sending calls to it
	}
}

func (x *Executor) reportMachineLoad() {
	m := x.Runner.MachineLoad()
	if m == x.reportedMachineLoad || x.OnMachineLoad == nil {
		return
	}
	x.reportedMachineLoad = m
	x.OnMachineLoad(m)
}
