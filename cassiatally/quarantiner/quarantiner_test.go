package quarantiner_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/quarantiner"
)

const (
	poison   cassiatally.Fingerprint = 1
	innocent cassiatally.Fingerprint = 2
	start                            = cassiatally.Instant(time.Hour)
)

func nodes(names ...cassiatally.NodeID) []*quarantiner.Quarantiner {
	var out []*quarantiner.Quarantiner
	for _, name := range names {
		out = append(out, quarantiner.New(cassiatally.NodeRef{Node: name, Incarnation: 1}))
	}
	return out
}

// exchange has every node tell every other, twice and in both orders.
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

// Guards against a poisonous request that travels on because no single node saw
// all its crashes, and against duplicates that quarantine it too early.
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
	all[0].Crashed(start, []cassiatally.Fingerprint{innocent})
	suspects, quarantined := all[0].Count(start)
	is.Equal(suspects, 1) // operators must not see the quarantined one here too
	is.Equal(quarantined, 1)
	end := start.Add(10 * time.Minute)
	is.True(all[3].Blocked(end-1, poison))
	is.True(!all[3].Blocked(end, poison))
	all[3].Crashed(end, []cassiatally.Fingerprint{poison})
	is.True(!all[3].Blocked(end, poison)) // counts from the start again
}

// Guards against an innocent request being blocked because it is often in flight
// when another request crashes backend servers.
func TestInnocentIsNeverBlocked(t *testing.T) {
	is := is.New(t)
	all := nodes("a", "b", "c", "d")
	now := start
	for i := range 12 {
		now = now.Add(time.Second)
		all[i%3].Crashed(now, []cassiatally.Fingerprint{innocent})
		exchange(now, all)
		is.True(all[3].Suspect(now, innocent))
		// The same node completes it each time, and the others must learn of each.
		all[0].Completed(now, innocent)
		exchange(now, all)
		for _, q := range all {
			is.True(!q.Suspect(now, innocent))
			is.True(!q.Blocked(now, innocent))
		}
	}
}

// Guards against a late report from before a completed run that counts again.
func TestLateReportDoesNotCount(t *testing.T) {
	is := is.New(t)
	all := nodes("a", "b")
	all[0].Crashed(start, []cassiatally.Fingerprint{innocent})
	all[0].Crashed(start, []cassiatally.Fingerprint{innocent})
	late := all[0].Reports(start)
	all[0].Completed(start, innocent)
	all[1].Merge(start, all[0].Reports(start))
	all[1].Merge(start, late)
	is.True(!all[1].Suspect(start, innocent))
}

// Guards against a table that grows without bound or drops what is quarantined.
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

// Guards against reports that are never told because others of the same time
// fill each message, when the owner asks more often than gossip sends.
func TestAllReportsAreToldInTurn(t *testing.T) {
	is := is.New(t)
	q := nodes("a")[0]
	var inFlight []cassiatally.Fingerprint
	for f := range 32 {
		inFlight = append(inFlight, cassiatally.Fingerprint(1+f))
	}
	q.Crashed(start, inFlight)
	told := map[cassiatally.Fingerprint]bool{}
	for i := range 40 {
		reports := q.Reports(start.Add(time.Duration(i) * 100 * time.Millisecond))
		if i%10 == 0 {
			for _, r := range reports {
				told[r.Fingerprint] = true
			}
		}
	}
	is.Equal(len(told), 32)
}

// Guards against a node that blames an innocent request, or lets the cause run,
// because a crash tells only what its own node saw.
func TestNewsTellsAllThatIsKnownOfTheRequests(t *testing.T) {
	is := is.New(t)
	all := nodes("a", "b", "c")
	all[0].Crashed(start, []cassiatally.Fingerprint{poison, innocent})
	all[1].Merge(start, all[0].Reports(start))
	all[1].Completed(start, innocent)
	all[1].Crashed(start, []cassiatally.Fingerprint{poison, 3})
	all[1].Crashed(start, []cassiatally.Fingerprint{poison})
	is.Equal(len(all[1].ReportsOf(start, []cassiatally.Fingerprint{3, 3, 4})), 1)
	all[2].Merge(start, all[1].ReportsOf(start, []cassiatally.Fingerprint{poison, innocent}))
	is.True(all[2].Blocked(start, poison))
	is.True(!all[2].Suspect(start, innocent))
	is.True(!all[2].Suspect(start, 3)) // was not asked about
}

// Guards against reports in an order in which a completed run settles crashes that
// came after it, or leaves those that came before it.
func TestNewsKeepsTheCount(t *testing.T) {
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
