package runner

import (
	"cmp"
	"slices"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// detachedHold is how long the requests of an earlier node may still be at the backend
// server. Their deadlines are unknown, and a restart takes part of their time.
const detachedHold = 2 * time.Second

// detachedRun is a request that may be at the backend server although this node does not
// wait for it: its connection was closed when its run was cancelled, or an earlier node
// of this host sent it.
type detachedRun struct{ started, until cassiatally.Instant }

// detached holds the detached runs, ordered by until. Backend servers that state a slowdown
// share their machine and hang when they get more than they can run and queue, so that a
// detached run keeps its slot until an answer shows that it has ended, or until its
// deadline.
type detached struct{ runs []detachedRun }

func (d *detached) add(n int, r detachedRun) {
	for range n {
		d.runs = append(d.runs, r)
	}
	slices.SortStableFunc(d.runs, func(a, b detachedRun) int { return cmp.Compare(a.until, b.until) })
}

// expire removes the runs whose deadlines have passed.
func (d *detached) expire(now cassiatally.Instant) {
	if len(d.runs) > 0 {
		d.runs = slices.DeleteFunc(d.runs, func(r detachedRun) bool { return now.Reached(r.until) })
	}
}

// trim removes the runs that have to end first until at most n are left of those that
// started before a run whose answer shows that number.
func (d *detached) trim(before cassiatally.Instant, n int) {
	excess := -n
	for _, r := range d.runs {
		if r.started <= before {
			excess++
		}
	}
	d.runs = slices.DeleteFunc(d.runs, func(r detachedRun) bool {
		if r.started > before || excess <= 0 {
			return false
		}
		excess--
		return true
	})
}

// AdoptOccupancy records how many requests an earlier node of this host has left at the
// backend server. It is called between SetInstance and Announce. One slot stays free in any
// case, since only the answers to runs show when those requests have ended. The earlier
// node had no more than the limit there, so that this makes one more than that.
func (r *Runner) AdoptOccupancy(now cassiatally.Instant, n, slots cassiatally.Concurrency) {
	r.limiter.Resize(now, slots)
	r.detached.add(min(int(n), int(r.limiter.Limit())-1), detachedRun{until: now.Add(detachedHold)})
}

// detachCancelled keeps the slot of a run that was cancelled before its deadline, unless
// the backend server has answered without a slowdown.
func (r *Runner) detachCancelled(rec *record, res cassiatally.RunResult) {
	if res.Kind == cassiatally.ResultAborted && !r.slowdowns.none && rec.serverStart == r.notices.Start() {
		r.detached.add(1, detachedRun{started: rec.started, until: rec.deadline})
	}
}

// observeOccupancy compares the occupancy in the answer to a run with the runs that
// started before it. Requests beyond those are detached. The occupancy may or may not
// count the run itself, so that one request may be kept for too long.
func (r *Runner) observeOccupancy(rec *record, n cassiatally.Notice) {
	if len(r.detached.runs) == 0 {
		return
	}
	if n.Slowdown == 0 {
		r.detached.runs = nil
		return
	}
	if !n.OccupancyKnown {
		return
	}
	own := 0
	for _, other := range r.records {
		if other != rec && other.phase == phaseRunning && other.started <= rec.started {
			own++
		}
	}
	r.detached.trim(rec.started, max(int(n.Occupancy)-own, 0))
}

// occupied returns the number of slots that are not free.
func (r *Runner) occupied() int { return r.running + len(r.detached.runs) }
