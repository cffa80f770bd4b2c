package quarantiner_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/quarantiner"
)

const (
	poison    cassiatally.Fingerprint = 1
	unrelated cassiatally.Fingerprint = 2
	start                             = cassiatally.Instant(time.Hour)
)

func nodes(names ...cassiatally.NodeID) []*quarantiner.Quarantiner {
	var out []*quarantiner.Quarantiner
	for _, name := range names {
		out = append(out, quarantiner.New(cassiatally.NodeRef{Node: name, Incarnation: 1}))
	}
	return out
}

// exchange merges the reports of every node at every node, in two rounds and each
// time twice.
func exchange(now cassiatally.Instant, all []*quarantiner.Quarantiner) {
	for range 2 {
		for i, q := range all {
			reports := q.Reports(now)
			for j := range all {
				all[(i+j)%len(all)].Merge(now, reports)
				all[(i+j)%len(all)].Merge(now, reports)
			}
		}
	}
}

// Guards against a request that keeps crashing backend servers because no single
// node saw all its crashes, and against repeated reports that quarantine it too
// early.
func TestCrashesCountFleetWide(t *testing.T) {
	is := is.New(t)
	all := nodes("a", "b", "c", "d")
	for i := range 3 {
		is.True(!all[3].Blocked(start, poison))
		all[i].Crashed(start, []cassiatally.Fingerprint{poison, poison})
		exchange(start, all)
		is.True(all[3].Suspect(start, poison))
	}
	for _, q := range all {
		is.True(q.Blocked(start, poison))
	}
	all[0].Crashed(start, []cassiatally.Fingerprint{unrelated})
	suspects, quarantined := all[0].Count(start)
	is.Equal(suspects, 1) // a quarantined request must not count as a suspect too
	is.Equal(quarantined, 1)
	end := start.Add(10 * time.Minute)
	is.True(all[3].Blocked(end-1, poison))
	is.True(!all[3].Blocked(end, poison))
	all[3].Crashed(end, []cassiatally.Fingerprint{poison})
	is.True(!all[3].Blocked(end, poison)) // the count starts again at 0
}

// Guards against an unrelated request being quarantined because it is often in
// flight when another request crashes backend servers.
func TestUnrelatedRequestIsNeverBlocked(t *testing.T) {
	is := is.New(t)
	all := nodes("a", "b", "c", "d")
	now := start
	for i := range 12 {
		now = now.Add(time.Second)
		all[i%3].Crashed(now, []cassiatally.Fingerprint{unrelated})
		exchange(now, all)
		is.True(all[3].Suspect(now, unrelated))
		// The same node completes it each time, and the others must record each clear.
		all[0].Completed(now, unrelated)
		exchange(now, all)
		for _, q := range all {
			is.True(!q.Suspect(now, unrelated))
			is.True(!q.Blocked(now, unrelated))
		}
	}
}

// Guards against counting crashes again when a report from before a completed run
// arrives late.
func TestLateReportDoesNotCount(t *testing.T) {
	is := is.New(t)
	all := nodes("a", "b")
	all[0].Crashed(start, []cassiatally.Fingerprint{unrelated})
	all[0].Crashed(start, []cassiatally.Fingerprint{unrelated})
	late := all[0].Reports(start)
	all[0].Completed(start, unrelated)
	all[1].Merge(start, all[0].Reports(start))
	all[1].Merge(start, late)
	is.True(!all[1].Suspect(start, unrelated))
}

// Guards against a table that grows without bound, and against evicting a
// quarantined request.
func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	q := nodes("a")[0]
	for range 3 {
		q.Crashed(start, []cassiatally.Fingerprint{poison})
	}
	now := start.Add(time.Second)
	for f := range 3000 {
		q.Crashed(now, []cassiatally.Fingerprint{cassiatally.Fingerprint(100 + f)})
	}
	is.True(q.Blocked(now, poison))
	suspects := 0
	for f := range 3000 {
		if q.Suspect(now, cassiatally.Fingerprint(100+f)) {
			suspects++
		}
	}
	is.Equal(suspects, 1023)
	is.True(len(q.Reports(now)) <= 8)
}

// Guards against reports that are never sent because others of the same time fill
// each message, when the owner calls Reports more often than gossip sends messages.
func TestAllReportsAreSentInTurn(t *testing.T) {
	is := is.New(t)
	q := nodes("a")[0]
	var inFlight []cassiatally.Fingerprint
	for f := range 32 {
		inFlight = append(inFlight, cassiatally.Fingerprint(1+f))
	}
	q.Crashed(start, inFlight)
	sent := map[cassiatally.Fingerprint]bool{}
	for i := range 40 {
		reports := q.Reports(start.Add(time.Duration(i) * 100 * time.Millisecond))
		if i%10 == 0 {
			for _, r := range reports {
				sent[r.Fingerprint] = true
			}
		}
	}
	is.Equal(len(sent), 32)
}

// Guards against a node that suspects an unrelated request, or runs the cause of a
// crash, because a crash report contains only the crashes at the reporting node.
func TestCrashReportsContainCrashesOfOtherNodes(t *testing.T) {
	is := is.New(t)
	all := nodes("a", "b", "c")
	all[0].Crashed(start, []cassiatally.Fingerprint{poison, unrelated})
	all[1].Merge(start, all[0].Reports(start))
	all[1].Completed(start, unrelated)
	all[1].Crashed(start, []cassiatally.Fingerprint{poison, 3})
	all[1].Crashed(start, []cassiatally.Fingerprint{poison})
	is.Equal(len(all[1].ReportsOf(start, []cassiatally.Fingerprint{3, 3, 4})), 1)
	all[2].Merge(start, all[1].ReportsOf(start, []cassiatally.Fingerprint{poison, unrelated}))
	is.True(all[2].Blocked(start, poison))
	is.True(!all[2].Suspect(start, unrelated))
	is.True(!all[2].Suspect(start, 3)) // not among the requested fingerprints
}

// Guards against reports in an order in which a completed run clears crashes that
// happened after it, or does not clear those that happened before it.
func TestCrashReportsPreserveTheCount(t *testing.T) {
	for range 20 { // the order of a map varies
		is := is.New(t)
		all := nodes("a", "b", "c", "d")
		all[0].Crashed(start, []cassiatally.Fingerprint{poison})
		all[1].Merge(start, all[0].Reports(start))
		all[1].Completed(start, poison)
		for _, q := range []*quarantiner.Quarantiner{all[2], all[0]} {
			q.Crashed(start, []cassiatally.Fingerprint{poison})
			all[1].Merge(start, q.ReportsOf(start, []cassiatally.Fingerprint{poison}))
		}
		all[3].Merge(start, all[1].ReportsOf(start, []cassiatally.Fingerprint{poison}))
		is.True(all[1].Suspect(start, poison))
		is.Equal(all[3].Suspect(start, poison), all[1].Suspect(start, poison))
		is.Equal(all[3].Blocked(start, poison), all[1].Blocked(start, poison))
	}
}
