package runner_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// stating is the answer of a backend server that states its occupancy and a slowdown.
func stating(occupancy cassiatally.Concurrency, slowdown cassiatally.Slowdown) cassiatally.RunResult {
	return cassiatally.RunResult{
		Kind: cassiatally.ResultAnswered, Status: 200,
		Notice: &cassiatally.Notice{Occupancy: occupancy, OccupancyKnown: true, Slowdown: slowdown},
	}
}

func idempotent(seq uint64) cassiatally.Call {
	c := call(seq, "")
	c.Idempotent = true
	return c
}

// Guards against a slowdown that is reported when it has become old, after the backend
// server was started again, or for one that states none.
func TestReportedSlowdown(t *testing.T) {
	is := is.New(t)
	h := newHarness(4)
	h.SetInstance(start, instance, 1)
	run := func(now cassiatally.Instant, seq uint64, s cassiatally.Slowdown) cassiatally.EndpointLoad {
		h.HandleCall(now, entry, call(seq, ""))
		return answers(h.Finished(now.Add(time.Millisecond), call(seq, "").ID, stating(1, s)))[0].Endpoint
	}
	l := run(start, 1, 2)
	is.Equal(l.Slowdown, cassiatally.Slowdown(2))
	is.Equal(l.TypicalSlowdown, cassiatally.Slowdown(2))
	l = run(start, 2, 1)
	is.Equal(l.Slowdown, cassiatally.Slowdown(1))
	is.Equal(l.TypicalSlowdown, cassiatally.Slowdown(1.9))
	is.Equal(run(start, 3, 0).TypicalSlowdown, cassiatally.Slowdown(0))
	is.True(run(start, 4, 1).Slowdown > 0)
	h.Tick(start.Add(900 * time.Millisecond))
	is.True(h.Endpoint().Load.Slowdown > 0)
	h.Tick(start.Add(1100 * time.Millisecond))
	is.Equal(h.Endpoint().Load.Slowdown, cassiatally.Slowdown(0))
	is.True(run(start, 5, 1).Slowdown > 0)
	h.SetInstance(start, instance, 2)
	is.Equal(h.Endpoint().Load.Slowdown, cassiatally.Slowdown(0))
}

// Guards against a cancelled run whose slot is used again while the backend server may
// still run it, and against one that keeps its slot beyond its deadline, after the backend
// server has shown that it ended, after a restart of it, or at a backend server that
// states no slowdown.
func TestCancelledRunKeepsItsSlot(t *testing.T) {
	const limit = 2
	cases := []struct {
		name     string
		slowdown cassiatally.Slowdown
		then     func(h *harness) []cassiatally.Action
		starts   int
	}{
		{"at once", 1, func(h *harness) []cassiatally.Action { return h.Tick(start) }, 0},
		{"no slowdown stated", 0, func(h *harness) []cassiatally.Action { return h.Tick(start) }, 1},
		{"still at the backend server", 1, func(h *harness) []cassiatally.Action {
			return h.Finished(start, call(3, "").ID, stating(1, 1))
		}, 1},
		{"gone from the backend server", 1, func(h *harness) []cassiatally.Action {
			return h.Finished(start, call(3, "").ID, stating(0, 1))
		}, 2},
		{"answer without a load", 1, func(h *harness) []cassiatally.Action {
			return h.Finished(start, call(3, "").ID, cassiatally.RunResult{Kind: cassiatally.ResultAnswered, Status: 500, Notice: &cassiatally.Notice{}})
		}, 1},
		{"answer with a load of three figures", 1, func(h *harness) []cassiatally.Action {
			return h.Finished(start, call(3, "").ID, stating(1, 0))
		}, 2},
		{"deadline", 1, func(h *harness) []cassiatally.Action { return h.Tick(start.Add(time.Second)) }, 1},
		{"new start of the backend server", 1, func(h *harness) []cassiatally.Action {
			h.SetInstance(start, instance, 2)
			return h.Tick(start)
		}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(limit)
			h.Announce(start, cassiatally.Endpoint{Service: "depot-svc", Slots: 10, State: cassiatally.EndpointReady}, time.Hour)
			h.SetInstance(start, instance, 1)
			h.HandleCall(start, entry, call(1, ""))
			h.Finished(start, call(1, "").ID, stating(1, c.slowdown))
			cancelled := idempotent(2)
			cancelled.Remaining = time.Second
			h.HandleCall(start, entry, cancelled)
			h.HandleCall(start, entry, call(3, ""))
			for seq := uint64(4); seq < 7; seq++ {
				queued := call(seq, "")
				queued.Remaining = time.Hour
				is.Equal(len(started(h.HandleCall(start, entry, queued))), 0)
			}
			h.HandleCancel(start, cancelled.ID)
			starts := len(started(h.Finished(start, cancelled.ID, cassiatally.RunResult{Kind: cassiatally.ResultAborted})))
			starts += len(started(c.then(h)))
			is.Equal(starts, c.starts)
		})
	}
}

// Guards against a node that starts beside a running backend server and sends it all its
// slots worth of requests while those of the earlier node still run there.
func TestOccupancyOfAnEarlierNode(t *testing.T) {
	is := is.New(t)
	h := newHarness(8)
	h.SetInstance(start, instance, 1)
	h.AdoptOccupancy(start, 6, 8)
	starts := 0
	for seq := range uint64(10) {
		starts += len(started(h.HandleCall(start, entry, call(seq+1, ""))))
	}
	is.Equal(starts, 2)
	// One of the two ends; the other one and three requests of the earlier node are left.
	is.Equal(len(started(h.Finished(start, call(1, "").ID, stating(4, 1)))), 4)
	is.Equal(len(started(h.Tick(start.Add(2*time.Second)))), 3)
}

// Guards against requests beyond what an endpoint can run and queue, which make it hang,
// and against slots that stay taken beyond the deadline of a request that it never
// answers. Replays calls at an endpoint that goes on with cancelled requests and hangs on
// one request in a hundred, beside a restart of the node.
func TestEndpointNeverGetsMoreThanItCanRun(t *testing.T) {
	const limit, step, interval, callTime = 8, time.Millisecond, 8 * time.Millisecond, 400 * time.Millisecond
	for seed := range uint64(10) {
		is := is.New(t)
		rng := rand.New(rand.NewPCG(seed, seed))
		type request struct{ ends, deadline cassiatally.Instant }
		atEndpoint := make(map[cassiatally.CallID]request)
		waiting := make(map[cassiatally.CallID]bool)
		seq, most, answered := uint64(0), 0, 0
		var h *harness
		restart := func(now cassiatally.Instant) {
			h = newHarness(limit)
			h.SetInstance(now, instance, 1)
			h.AdoptOccupancy(now, cassiatally.Concurrency(len(atEndpoint)), limit)
			h.Announce(now, cassiatally.Endpoint{Service: "depot-svc", Slots: limit, State: cassiatally.EndpointReady}, time.Hour)
			clear(waiting)
		}
		begin := func(now cassiatally.Instant, actions []cassiatally.Action) {
			for _, a := range actions {
				run, ok := a.(cassiatally.StartRun)
				if !ok {
					continue
				}
				ends := now.Add(time.Duration(20+rng.IntN(60)) * time.Millisecond)
				if rng.IntN(100) == 0 {
					ends = now.Add(time.Hour)
				}
				atEndpoint[run.Call.ID] = request{ends, now.Add(run.Call.Remaining)}
				waiting[run.Call.ID] = true
			}
			most = max(most, len(atEndpoint))
		}
		restart(start)
		for now := start; now.Before(start.Add(5 * time.Second)); now = now.Add(step) {
			if now == start.Add(2500*time.Millisecond) {
				restart(now)
			}
			for id := range seq {
				id := call(id+1, "").ID
				r, ok := atEndpoint[id]
				switch {
				case !ok:
				case now.Reached(r.ends):
					delete(atEndpoint, id)
					if waiting[id] {
						delete(waiting, id)
						answered++
						begin(now, h.Finished(now, id, stating(cassiatally.Concurrency(len(atEndpoint)), 1)))
					}
				case now.Reached(r.deadline):
					// The endpoint drops a request at its deadline.
					delete(atEndpoint, id)
					if waiting[id] {
						delete(waiting, id)
						begin(now, h.Finished(now, id, cassiatally.RunResult{Kind: cassiatally.ResultTimedOut}))
					}
				case waiting[id] && rng.IntN(200) == 0:
					h.HandleCancel(now, id)
					delete(waiting, id)
					begin(now, h.Finished(now, id, cassiatally.RunResult{Kind: cassiatally.ResultAborted}))
				}
			}
			if now.Sub(start)%interval == 0 {
				seq++
				c := idempotent(seq)
				c.Remaining = callTime
				begin(now, h.HandleCall(now, entry, c))
			}
			begin(now, h.Tick(now))
		}
		t.Logf("seed %d: at most %d requests at the endpoint, %d of %d answered", seed, most, answered, seq)
		// One request more than the limit after a restart; the limit leaves a slot for it.
		is.True(most <= limit+1)
		// One call in five is cancelled, and the slots suffice for the others.
		is.True(answered > int(seq)/2)
	}
}
