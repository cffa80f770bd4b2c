package runner_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const instance = "i-1"

// callsAt has a call arrive every interval from an instant on, each of which runs for
// took and is answered with a notice, and returns when the runs started.
func (h *harness) callsAt(from cassiatally.Instant, n int, interval, took time.Duration, notice func(cassiatally.Instant) cassiatally.Notice) (starts []cassiatally.Instant) {
	const step = 5 * time.Millisecond
	type run struct {
		id  cassiatally.CallID
		end cassiatally.Instant
	}
	var running []run
	begin := func(now cassiatally.Instant, actions []cassiatally.Action) {
		for _, id := range started(actions) {
			starts = append(starts, now)
			running = append(running, run{id, now.Add(took)})
		}
	}
	begin(from, h.Announce(from, cassiatally.Endpoint{Service: "depot-svc", Slots: 10, State: cassiatally.EndpointReady}, time.Hour))
	sent := 0
	for now := from; now.Before(from.Add(time.Duration(n) * interval)); now = now.Add(step) {
		for len(running) > 0 && now.Reached(running[0].end) {
			answer := notice(now)
			id := running[0].id
			running = running[1:]
			begin(now, h.Finished(now, id, cassiatally.RunResult{Kind: cassiatally.ResultAnswered, Status: 200, Notice: &answer}))
		}
		for ; sent < n && now.Reached(from.Add(time.Duration(sent)*interval)); sent++ {
			h.seq++
			begin(now, h.HandleCall(now, "entry-1", call(h.seq, "")))
		}
		begin(now, h.Tick(now))
	}
	return starts
}

// mostIn returns the highest number of instants in a span of the given length.
func mostIn(span time.Duration, at []cassiatally.Instant) int {
	most, first := 0, 0
	for i := range at {
		for at[i].Sub(at[first]) > span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// allowed is the number of requests that an endpoint with a rate limit may get in a span.
func allowed(rate float64, span time.Duration) int { return int(1.5*rate*span.Seconds()) + 5 }

// Guards against an endpoint that gets more requests than the rate that it states, which
// happened while only the runs in flight were bounded.
func TestStatedRateLimitIsKept(t *testing.T) {
	const span = 4 * time.Second
	for _, rate := range []float64{0, 0.4, 3, 30.1, 77} {
		is := is.New(t)
		h := newHarness(100)
		h.SetInstance(start, instance, 1)
		limited := func(cassiatally.Instant) cassiatally.Notice {
			return cassiatally.Notice{RateLimited: true, RateLimit: cassiatally.Rate(rate)}
		}
		const settled = time.Second
		starts := h.callsAt(start, 2000, 5*time.Millisecond, 60*time.Millisecond, limited)
		for len(starts) > 0 && starts[0].Before(start.Add(settled)) {
			starts = starts[1:]
		}
		is.True(mostIn(span, starts) <= allowed(rate, span))
		is.True(len(starts) >= int(0.9*rate*9)) // the rate is used
		is.True(len(starts) > 0)                // or the end of the limit would never be seen
	}
}

// Guards against a rate limit that stays in force when the endpoint no longer states it.
func TestEndOfARateLimit(t *testing.T) {
	is := is.New(t)
	h := newHarness(100)
	h.SetInstance(start, instance, 1)
	ends := start.Add(2 * time.Second)
	notice := func(now cassiatally.Instant) cassiatally.Notice {
		return cassiatally.Notice{RateLimited: now.Before(ends), RateLimit: 2}
	}
	starts := h.callsAt(start, 1000, 5*time.Millisecond, 60*time.Millisecond, notice)
	after := 0
	for _, at := range starts {
		if at.Reached(start.Add(4 * time.Second)) {
			after++
		}
	}
	is.True(after >= 190) // of the 200 that arrive in the last second
}

// Guards against runs that start after the endpoint has stated that it is leaving: calls
// in the queue, new calls, and all calls once a report that was sent before says again
// that it is ready. A later start with the same id is used.
func TestStatedDeparture(t *testing.T) {
	leaving := cassiatally.Notice{Instance: instance, StartedMs: 1, Leaving: true}
	ready := cassiatally.Endpoint{Service: "depot-svc", Slots: 10, State: cassiatally.EndpointReady}
	cases := []struct {
		name  string
		learn func(h *harness) []cassiatally.Action
	}{
		{"in an answer", func(h *harness) []cassiatally.Action {
			return h.Finished(start, call(1, "").ID, cassiatally.RunResult{Kind: cassiatally.ResultAnswered, Status: 200, Notice: &cassiatally.Notice{Leaving: true}})
		}},
		{"from the sender of a call", func(h *harness) []cassiatally.Action {
			c := call(3, "")
			c.Notice = &leaving
			return h.HandleCall(start, "entry-2", c)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(1)
			h.SetInstance(start, instance, 1)
			is.Equal(len(started(h.HandleCall(start, "entry-1", call(1, "")))), 1)
			is.Equal(len(h.HandleCall(start, "entry-1", call(2, ""))), 0) // queued
			actions := c.learn(h)
			is.Equal(len(started(actions)), 0)
			refused := 0
			for _, a := range answers(actions) {
				if a.Kind == cassiatally.KindDraining && a.Outcome == cassiatally.OutcomeNotRun && a.Notice.Leaving {
					refused++
				}
			}
			is.True(refused >= 1)
			is.Equal(h.Endpoint().State, cassiatally.EndpointDraining)

			h.SetInstance(start, instance, 1)
			h.Announce(start, ready, time.Hour)
			is.Equal(answers(h.HandleCall(start, "entry-1", call(4, "")))[0].Kind, cassiatally.KindDraining)

			h.SetInstance(start, instance, 2)
			h.Announce(start, ready, time.Hour)
			is.Equal(h.Endpoint().State, cassiatally.EndpointReady)
		})
	}
}
