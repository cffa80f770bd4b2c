package runner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/admitter"
	"github.com/cassiatally/cassiatally/cassiatally/fifo"
	"github.com/cassiatally/cassiatally/cassiatally/fixedlimiter"
	"github.com/cassiatally/cassiatally/cassiatally/runner"
)

const (
	start = cassiatally.Instant(time.Hour)
	entry = cassiatally.NodeID("entry")
)

// listQuarantine blocks and suspects the fingerprints that a test lists.
type listQuarantine struct {
	blocked, suspect map[cassiatally.Fingerprint]bool
	crashes          [][]cassiatally.Fingerprint
	merged           []cassiatally.CrashReport
}

func (q *listQuarantine) Count(cassiatally.Instant) (suspects, quarantined int) { return 0, 0 }
func (q *listQuarantine) Blocked(_ cassiatally.Instant, f cassiatally.Fingerprint) bool {
	return q.blocked[f]
}

func (q *listQuarantine) Suspect(_ cassiatally.Instant, f cassiatally.Fingerprint) bool {
	return q.suspect[f]
}

func (q *listQuarantine) Crashed(_ cassiatally.Instant, inFlight []cassiatally.Fingerprint) {
	q.crashes = append(q.crashes, inFlight)
}
func (q *listQuarantine) Completed(cassiatally.Instant, cassiatally.Fingerprint) {}
func (q *listQuarantine) Reports(cassiatally.Instant) []cassiatally.CrashReport  { return nil }
func (q *listQuarantine) ReportsOf(cassiatally.Instant, []cassiatally.Fingerprint) []cassiatally.CrashReport {
	return nil
}

func (q *listQuarantine) Merge(_ cassiatally.Instant, reports []cassiatally.CrashReport) {
	q.merged = reports
}

type harness struct {
	*runner.Runner
	quarantine *listQuarantine
	seq        uint64
}

func newHarness(limit cassiatally.Concurrency) *harness {
	h := &harness{quarantine: &listQuarantine{
		blocked: make(map[cassiatally.Fingerprint]bool),
		suspect: make(map[cassiatally.Fingerprint]bool),
	}}
	h.Runner = runner.New(
		cassiatally.NodeRef{Node: "depot-1", Incarnation: 1},
		&fifo.Queue{},
		&fixedlimiter.Limiter{Fixed: limit},
		h.quarantine,
		func() cassiatally.CallID {
			h.seq++
			return cassiatally.CallID{Origin: 1, Seq: h.seq}
		},
	)
	h.Announce(start, cassiatally.Endpoint{Service: "depot-svc", Slots: 10, State: cassiatally.EndpointReady}, 3*time.Second)
	return h
}

func call(seq uint64, body string) cassiatally.Call {
	return cassiatally.Call{
		ID:        cassiatally.CallID{Origin: 9, Seq: seq},
		Service:   "depot-svc",
		Work:      "reserve",
		Remaining: time.Second,
		Retries:   2,
		Body:      []byte(body),
	}
}

func started(actions []cassiatally.Action) []cassiatally.CallID {
	var out []cassiatally.CallID
	for _, a := range actions {
		if s, ok := a.(cassiatally.StartRun); ok {
			out = append(out, s.Call.ID)
		}
	}
	return out
}

func answers(actions []cassiatally.Action) []cassiatally.Answer {
	var out []cassiatally.Answer
	for _, a := range actions {
		if s, ok := a.(cassiatally.Send); ok {
			if m, ok := s.Message.(cassiatally.Answer); ok {
				out = append(out, m)
			}
		}
	}
	return out
}

// Guards against an outcome that claims more than the result proves.
func TestResultsAndOutcomes(t *testing.T) {
	cases := []struct {
		name    string
		result  cassiatally.RunResult
		outcome cassiatally.Outcome
		kind    cassiatally.ErrorKind
	}{
		{"whole answer", cassiatally.RunResult{Kind: cassiatally.ResultAnswered, Status: 200}, cassiatally.OutcomeRan, cassiatally.KindNone},
		{"failure reported", cassiatally.RunResult{Kind: cassiatally.ResultAnswered, Status: 500}, cassiatally.OutcomeRan, cassiatally.KindBackendFailed},
		{"shed by the backend server", cassiatally.RunResult{Kind: cassiatally.ResultRefused}, cassiatally.OutcomeNotRun, cassiatally.KindBackendRefused},
		{"no connection", cassiatally.RunResult{Kind: cassiatally.ResultUnreached}, cassiatally.OutcomeNotRun, cassiatally.KindUnreachable},
		{"another instance has the address", cassiatally.RunResult{Kind: cassiatally.ResultReplaced}, cassiatally.OutcomeNotRun, cassiatally.KindDraining},
		{"answer lost", cassiatally.RunResult{Kind: cassiatally.ResultLost}, cassiatally.OutcomeUnknown, cassiatally.KindOutcomeUnknown},
		{"connection broke", cassiatally.RunResult{Kind: cassiatally.ResultBroken}, cassiatally.OutcomeUnknown, cassiatally.KindOutcomeUnknown},
		{"deadline passed", cassiatally.RunResult{Kind: cassiatally.ResultTimedOut}, cassiatally.OutcomeUnknown, cassiatally.KindExpired},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(2)
			h.HandleCall(start, entry, call(1, "a"))
			got := answers(h.Finished(start, call(1, "a").ID, c.result))
			is.Equal(len(got), 1)
			is.Equal(got[0].Outcome, c.outcome)
			is.Equal(got[0].Kind, c.kind)
		})
	}
}

// Guards against a second run of one call, and against a wrong answer to a run
// query after a lost link.
func TestRepeatedCallsAndQueries(t *testing.T) {
	is := is.New(t)
	h := newHarness(2)
	c := call(1, "a")
	query := cassiatally.RunQuery{ID: c.ID, Target: 1}
	is.Equal(len(started(h.HandleCall(start, entry, c))), 1)
	is.Equal(len(started(h.HandleCall(start, "other", c))), 0)
	is.Equal(len(h.HandleRunQuery(start, entry, query)), 0) // still running: the answer follows
	h.Finished(start, c.ID, cassiatally.RunResult{Kind: cassiatally.ResultAnswered, Status: 200})
	is.Equal(answers(h.HandleRunQuery(start, entry, query))[0].Outcome, cassiatally.OutcomeRan)

	unseen := call(2, "b")
	is.Equal(answers(h.HandleRunQuery(start, entry, cassiatally.RunQuery{ID: unseen.ID, Target: 1}))[0].Outcome, cassiatally.OutcomeNotRun)
	is.Equal(len(started(h.HandleCall(start, entry, unseen))), 0) // voided by the query

	restarted := cassiatally.RunQuery{ID: call(3, "c").ID, Target: 99}
	is.Equal(answers(h.HandleRunQuery(start, entry, restarted))[0].Outcome, cassiatally.OutcomeUnknown)
}

// Guards against new work at a backend server that leaves or whose node stops, and
// against aborting the runs in flight there.
func TestLeaving(t *testing.T) {
	leave := map[string]func(h *harness){
		"drain announced": func(h *harness) {
			h.Announce(start, cassiatally.Endpoint{Service: "depot-svc", Slots: 10, State: cassiatally.EndpointDraining}, time.Second)
		},
		"withdrawn":            func(h *harness) { h.Withdraw(start) },
		"announcement expired": func(h *harness) { h.Tick(start.Add(4 * time.Second)) },
		"node stops":           func(h *harness) { h.Leave(start) },
	}
	for name, f := range leave {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(2)
			is.Equal(len(started(h.HandleCall(start, entry, call(1, "a")))), 1)
			f(h)
			got := answers(h.HandleCall(start, entry, call(2, "b")))
			is.Equal(got[0].Kind, cassiatally.KindDraining)
			is.Equal(got[0].Outcome, cassiatally.OutcomeNotRun)
			got = answers(h.Finished(start, call(1, "a").ID, cassiatally.RunResult{Kind: cassiatally.ResultAnswered, Status: 200}))
			is.Equal(got[0].Outcome, cassiatally.OutcomeRan)
		})
	}
}

// Guards against a crash that is counted once per broken connection, and against
// suspects that run at the same time.
func TestCrash(t *testing.T) {
	is := is.New(t)
	h := newHarness(4)
	h.HandleCall(start, entry, call(1, "poison"))
	h.HandleCall(start, entry, call(2, "unrelated"))
	h.Finished(start, call(1, "").ID, cassiatally.RunResult{Kind: cassiatally.ResultBroken})
	h.Finished(start.Add(time.Millisecond), call(2, "").ID, cassiatally.RunResult{Kind: cassiatally.ResultBroken})
	is.Equal(len(h.quarantine.crashes), 1)
	is.Equal(len(h.quarantine.crashes[0]), 2)

	h.Announce(start, cassiatally.Endpoint{Service: "depot-svc", Slots: 10, State: cassiatally.EndpointReady}, 3*time.Second)
	for _, f := range h.quarantine.crashes[0] {
		h.quarantine.suspect[f] = true
	}
	is.Equal(len(started(h.HandleCall(start, entry, call(3, "poison")))), 1)
	is.Equal(len(h.HandleCall(start, entry, call(4, "unrelated"))), 0) // waits
	is.Equal(len(h.HandleCall(start, entry, call(7, "unrelated"))), 0)
	is.Equal(len(started(h.Tick(start))), 0)
	is.Equal(len(started(h.HandleCall(start, entry, call(5, "not suspected")))), 1)
	is.Equal(started(h.Finished(start, call(3, "").ID, done)), []cassiatally.CallID{call(4, "").ID})
	is.Equal(len(answers(h.Tick(start))), 0)
	late := answers(h.Tick(start.Add(2 * time.Second)))
	is.Equal(len(late), 1) // its deadline passed behind the suspect that still runs
	is.Equal(late[0].ID, call(7, "").ID)
	is.Equal(late[0].Kind, cassiatally.KindExpired)

	h.quarantine.blocked[cassiatally.FingerprintOf("depot-svc", "reserve", []byte("poison"))] = true
	is.Equal(answers(h.HandleCall(start, entry, call(6, "poison")))[0].Kind, cassiatally.KindQuarantined)
}

var (
	broken = cassiatally.RunResult{Kind: cassiatally.ResultBroken}
	done   = cassiatally.RunResult{Kind: cassiatally.ResultAnswered, Status: 200}
	ready  = cassiatally.Endpoint{Service: "depot-svc", Slots: 10, State: cassiatally.EndpointReady}
)

func fingerprint(body string) cassiatally.Fingerprint {
	return cassiatally.FingerprintOf("depot-svc", "reserve", []byte(body))
}

// crashReportRecipients returns the nodes to which a crash is reported, and the
// number of the crash.
func crashReportRecipients(actions []cassiatally.Action) (to []cassiatally.NodeID, number cassiatally.CrashNumber) {
	for _, a := range actions {
		if s, ok := a.(cassiatally.Send); ok {
			if g, ok := s.Message.(cassiatally.Gossip); ok {
				to, number = append(to, s.To), g.CrashNumber
			}
		}
	}
	return to, number
}

// Guards against the cause of a crash being sent again, by the node that sent it or
// by its caller, to a node that has not received the crash report.
func TestAnswersOfBrokenRunsWaitForPeers(t *testing.T) {
	peers := map[cassiatally.Service][]cassiatally.NodeID{"depot-svc": {"b", "c"}, "other-svc": {"d"}}
	for _, c := range []struct {
		name    string
		release func(h *harness, number cassiatally.CrashNumber) []cassiatally.Action
	}{
		{"acknowledged", func(h *harness, number cassiatally.CrashNumber) []cassiatally.Action {
			return h.HandleCrashAck(start, "c", number)
		}},
		{"the peer is gone", func(h *harness, _ cassiatally.CrashNumber) []cassiatally.Action {
			return h.SetPeers(start, map[cassiatally.Service][]cassiatally.NodeID{"depot-svc": {"b"}})
		}},
		{"the peer is silent", func(h *harness, _ cassiatally.CrashNumber) []cassiatally.Action {
			return h.Tick(start.Add(500 * time.Millisecond))
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(4)
			h.SetPeers(start, peers)
			h.HandleCall(start, entry, call(1, "poison"))
			h.HandleCall(start, entry, call(2, "unrelated"))
			first := h.Finished(start, call(1, "").ID, broken)
			to, number := crashReportRecipients(first)
			is.Equal(to, []cassiatally.NodeID{"b", "c"})
			second := h.Finished(start.Add(time.Millisecond), call(2, "").ID, broken)
			to, _ = crashReportRecipients(second)
			is.Equal(len(to), 0) // one crash
			is.Equal(len(answers(append(first, second...))), 0)
			// A run query after a lost link must not return the withheld answer either.
			is.Equal(len(h.HandleRunQuery(start, entry, cassiatally.RunQuery{ID: call(1, "").ID, Target: 1})), 0)
			is.Equal(len(answers(h.HandleCrashAck(start, "b", number))), 0)
			is.Equal(len(answers(h.HandleCrashAck(start, "c", number+1))), 0)
			to, _ = crashReportRecipients(h.Tick(start.Add(150 * time.Millisecond)))
			is.Equal(to, []cassiatally.NodeID{"c"}) // sent again
			got := answers(c.release(h, number))
			is.Equal(len(got), 2)
			is.Equal(got[0].Kind, cassiatally.KindOutcomeUnknown)
			is.Equal(len(answers(h.Tick(start.Add(time.Second)))), 0)
		})
	}
}

// Guards against an acknowledgement of a crash report that was not merged.
func TestCrashReportIsAcknowledged(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	report := cassiatally.Gossip{CrashNumber: 7, Crashes: []cassiatally.CrashReport{{Fingerprint: 1, Crashes: 3}}}
	got := h.HandleCrashReports(start, "b", report)
	is.Equal(h.quarantine.merged, report.Crashes)
	is.Equal(got, []cassiatally.Action{cassiatally.Send{To: "b", Message: cassiatally.Gossip{
		From: cassiatally.NodeRef{Node: "depot-1", Incarnation: 1}, Reply: true, CrashAck: 7,
	}}})
}

// Guards against running quarantined requests, and suspects at the same time, when
// they were queued before the crash report arrived.
func TestCrashReportsApplyToQueuedCalls(t *testing.T) {
	is := is.New(t)
	h := newHarness(2)
	h.HandleCall(start, entry, call(1, "a"))
	h.HandleCall(start, entry, call(2, "b"))
	for seq, body := range []string{"poison", "c", "d", "e"} {
		is.Equal(len(h.HandleCall(start, entry, call(uint64(3+seq), body))), 0)
	}
	h.quarantine.blocked[fingerprint("poison")] = true
	for _, body := range []string{"b", "c", "d"} {
		h.quarantine.suspect[fingerprint(body)] = true
	}
	got := h.Finished(start, call(1, "").ID, done)
	is.Equal(answers(got)[1].Kind, cassiatally.KindQuarantined)
	is.Equal(started(got), []cassiatally.CallID{call(6, "").ID}) // c and d wait for b
	got = h.Finished(start, call(2, "").ID, done)
	is.Equal(started(got), []cassiatally.CallID{call(4, "").ID})
	got = h.Finished(start, call(4, "").ID, done)
	is.Equal(started(got), []cassiatally.CallID{call(5, "").ID})
}

// Guards against queued calls that wait for a backend server that is down until its
// announcement expires.
func TestQueuedCallsAreRefusedWhenTheBackendServerIsLost(t *testing.T) {
	for _, kind := range []cassiatally.RunResultKind{cassiatally.ResultBroken, cassiatally.ResultUnreached} {
		is := is.New(t)
		h := newHarness(1)
		h.HandleCall(start, entry, call(1, "a"))
		h.HandleCall(start, entry, call(2, "b"))
		got := answers(h.Finished(start, call(1, "").ID, cassiatally.RunResult{Kind: kind}))
		is.Equal(len(got), 2)
		is.Equal(got[1].ID, call(2, "").ID)
		is.Equal(got[1].Kind, cassiatally.KindDraining) // rerouted without using a retry
		is.Equal(got[1].Outcome, cassiatally.OutcomeNotRun)
	}
}

// Guards against a crash that is not counted because the backend server had only
// just restarted, and against runs that were cut off shortly before a crash and are
// not suspected although the backend server may still have been working on them.
func TestCrashCountsRunsThatMayHaveCausedIt(t *testing.T) {
	is := is.New(t)
	h := newHarness(4)
	h.HandleCall(start, entry, call(1, "a"))
	h.HandleCall(start, entry, call(2, "cut off"))
	h.Finished(start, call(2, "").ID, cassiatally.RunResult{Kind: cassiatally.ResultTimedOut})
	h.Finished(start, call(1, "").ID, broken)
	is.Equal(h.quarantine.crashes[0], []cassiatally.Fingerprint{fingerprint("a"), fingerprint("cut off")})
	soon := start.Add(50 * time.Millisecond)
	h.Announce(soon, ready, 3*time.Second)
	h.HandleCall(soon, entry, call(3, "a"))
	h.Finished(soon, call(3, "").ID, broken)
	is.Equal(len(h.quarantine.crashes), 2)
}

// Guards against levels of 1 that are sent with every answer, and against omitted
// levels that count as other than 1 when the levels of two endpoints are merged.
func TestLevelsOfOneAreOmitted(t *testing.T) {
	is := is.New(t)
	h := newHarness(2)
	h.Runner = runner.New(cassiatally.NodeRef{Node: "depot-1", Incarnation: 1}, &admitter.Admitter{}, &fixedlimiter.Limiter{Fixed: 2}, h.quarantine, func() cassiatally.CallID {
		h.seq++
		return cassiatally.CallID{Origin: 1, Seq: h.seq}
	})
	h.Announce(start, cassiatally.Endpoint{Service: "depot-svc", Slots: 2, State: cassiatally.EndpointReady}, time.Hour)
	parent := call(1, "a")
	h.HandleCall(start, entry, parent)
	for i, levels := range [][]cassiatally.Level{{0.5}, nil} {
		req := h.BeginChild(start, childOf(parent, uint64(i), true))[0].(cassiatally.Submit).Request
		h.ChildAnswered(start, req.ID, cassiatally.Answer{
			Outcome: cassiatally.OutcomeRan, Loads: []cassiatally.ServiceLoad{{Service: "dispatch-svc", Weight: 2, Levels: levels}},
		})
	}
	got := answers(h.Finished(start, parent.ID, cassiatally.RunResult{Kind: cassiatally.ResultAnswered, Status: 200}))
	is.Equal(got[0].Loads, []cassiatally.ServiceLoad{
		{Service: "depot-svc", Weight: 2, Levels: []cassiatally.Level{}},
		{Service: "dispatch-svc", Weight: 4, Levels: []cassiatally.Level{0.75}},
	})
}

// Guards against a backend server whose calls are all refused as too late after some
// of its runs were cut off at their deadline because a service that they call did
// not answer, although the runs themselves are short.
func TestRunsCutOffInAnOnwardCall(t *testing.T) {
	t.Run("by the node", func(t *testing.T) {
		cutOffInAnOnwardCall(t, cassiatally.RunResult{Kind: cassiatally.ResultTimedOut})
	})
	t.Run("by the backend server", func(t *testing.T) {
		cutOffInAnOnwardCall(t, cassiatally.RunResult{Kind: cassiatally.ResultAnswered, Status: 504})
	})
}

func cutOffInAnOnwardCall(t *testing.T, res cassiatally.RunResult) {
	t.Helper()
	is := is.New(t)
	h := newHarness(100)
	h.Runner = runner.New(cassiatally.NodeRef{Node: "depot-1", Incarnation: 1}, &admitter.Admitter{}, &fixedlimiter.Limiter{Fixed: 100}, h.quarantine, func() cassiatally.CallID {
		h.seq++
		return cassiatally.CallID{Origin: 1, Seq: h.seq}
	})
	h.Announce(start, cassiatally.Endpoint{Service: "depot-svc", Slots: 100, State: cassiatally.EndpointReady}, time.Hour)
	const runTime = 200 * time.Millisecond
	now, seq := start, uint64(0)
	next := func() cassiatally.Call {
		seq++
		return call(seq, fmt.Sprint(seq))
	}
	for range 20 {
		c := next()
		h.HandleCall(now, entry, c)
		now = now.Add(runTime)
		h.Finished(now, c.ID, cassiatally.RunResult{Kind: cassiatally.ResultAnswered, Status: 200})
		h.Tick(now)
	}
	var cut []cassiatally.Call
	for range 40 {
		c := next()
		h.HandleCall(now, entry, c)
		h.BeginChild(now.Add(runTime/2), childOf(c, seq, true))
		cut = append(cut, c)
	}
	now = now.Add(cut[0].Remaining)
	for _, c := range cut {
		h.Finished(now, c.ID, res)
	}
	anyStarted := false
	for _, a := range h.HandleCall(now, entry, next()) {
		_, isStart := a.(cassiatally.StartRun)
		anyStarted = anyStarted || isStart
	}
	is.True(anyStarted)
}

func childOf(parent cassiatally.Call, waiter uint64, idempotent bool) runner.ChildCall {
	return runner.ChildCall{
		Waiter:     cassiatally.CallID{Origin: 5, Seq: waiter},
		Parent:     parent.ID,
		Service:    "dispatch-svc",
		Work:       "schedule",
		Idempotent: idempotent,
		Body:       []byte("order"),
	}
}

// Guards against an onward call that runs twice because the backend server sent
// it twice, and against retries that multiply along the call chain.
func TestOnwardCalls(t *testing.T) {
	is := is.New(t)
	h := newHarness(2)
	parent := call(1, "a")
	h.HandleCall(start, entry, parent)
	first := h.BeginChild(start, childOf(parent, 1, false))
	req := first[0].(cassiatally.Submit).Request
	is.Equal(req.Depth, cassiatally.Depth(1))
	is.Equal(req.Retries, cassiatally.RetryCount(1))
	is.Equal(len(h.BeginChild(start, childOf(parent, 2, false))), 0) // joins the first

	granted := h.BeginChild(start, childOf(parent, 3, true))[0].(cassiatally.Submit).Request
	is.True(granted.Retries+req.Retries <= parent.Retries)

	delivered := h.ChildAnswered(start, req.ID, cassiatally.Answer{Outcome: cassiatally.OutcomeRan, RetriesSpent: 1})
	is.Equal(len(delivered), 2)
	late := h.BeginChild(start, childOf(parent, 4, false))
	is.Equal(late[0].(cassiatally.Deliver).Answer.Outcome, cassiatally.OutcomeRan)

	got := answers(h.Finished(start, parent.ID, cassiatally.RunResult{Kind: cassiatally.ResultAnswered, Status: 200}))
	is.Equal(got[0].RetriesSpent, cassiatally.RetryCount(1))
}

// Guards against retries of applications that multiply along the call chain instead
// of using up the retry budget of the root request.
func TestRetriesByTheBackendServer(t *testing.T) {
	failed := cassiatally.Answer{Outcome: cassiatally.OutcomeRan, Kind: cassiatally.KindBackendFailed}
	for _, c := range []struct {
		name      string
		callName  string
		first     *cassiatally.Answer
		submitted int
	}{
		{"after a failure", "1", &failed, 3},
		{"after a failure, without a name", "", &failed, 3},
		{"while the first copy is in flight", "1", nil, 2},
		{"equal calls in flight together, without a name", "", nil, 5},
		{"after a success", "1", &cassiatally.Answer{Outcome: cassiatally.OutcomeRan}, 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(2)
			parent := call(1, "a")
			h.HandleCall(start, entry, parent)
			submitted := 0
			for waiter := range uint64(5) {
				child := childOf(parent, waiter, true)
				child.Name = c.callName
				switch a := h.BeginChild(start, child)[0].(type) {
				case cassiatally.Submit:
					submitted++
					if c.first != nil {
						h.ChildAnswered(start, a.Request.ID, *c.first)
					}
				case cassiatally.Deliver:
					is.Equal(a.Answer.Kind, cassiatally.KindRetryBudgetSpent)
					is.Equal(a.Answer.Outcome, cassiatally.OutcomeNotRun)
				}
			}
			is.Equal(submitted, c.submitted)
			got := answers(h.Finished(start, parent.ID, cassiatally.RunResult{Kind: cassiatally.ResultAnswered, Status: 200}))
			is.True(got[0].RetriesSpent <= parent.Retries)
		})
	}
}

// Guards against accepting onward calls without a parent, or with side effects that
// a retry of the parent would repeat.
func TestRefusedOnwardCalls(t *testing.T) {
	is := is.New(t)
	h := newHarness(2)
	parent := call(1, "a")
	unknown := h.BeginChild(start, childOf(parent, 1, true))
	is.Equal(unknown[0].(cassiatally.Deliver).Answer.Kind, cassiatally.KindUnknownParent)
	parent.Idempotent = true
	h.HandleCall(start, entry, parent)
	unsafe := h.BeginChild(start, childOf(parent, 2, false))
	is.Equal(unsafe[0].(cassiatally.Deliver).Answer.Kind, cassiatally.KindParentIdempotent)
}

// Guards against a cancellation that turns the known outcome of a non-idempotent
// run into an unknown one.
func TestCancellation(t *testing.T) {
	is := is.New(t)
	h := newHarness(2)
	lookup := call(1, "a")
	lookup.Idempotent = true
	h.HandleCall(start, entry, lookup)
	h.HandleCall(start, entry, call(2, "b"))
	is.Equal(h.HandleCancel(start, lookup.ID), []cassiatally.Action{cassiatally.AbortRun{Call: lookup.ID}})
	is.Equal(len(h.HandleCancel(start, call(2, "b").ID)), 0)
	h.HandleCall(start, entry, call(3, "queued"))
	got := answers(h.HandleCancel(start, call(3, "").ID))
	is.Equal(got[0].Outcome, cassiatally.OutcomeNotRun)
}

// Guards against shed calls and queue time that are counted under the wrong reason
// or rank, or not at all.
func TestCountsOfShedCallsAndQueueTime(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	first, second, expired := call(1, "a"), call(2, "b"), call(3, "c")
	second.Rank, expired.Rank = 2, 3
	expired.Remaining = 0
	h.HandleCall(start, entry, first)
	h.HandleCall(start, entry, second)
	h.HandleCall(start, entry, expired)
	h.Finished(start.Add(time.Second/4), first.ID, cassiatally.RunResult{Kind: cassiatally.ResultAnswered, Status: 200})
	h.Finished(start.Add(time.Second/2), second.ID, cassiatally.RunResult{Kind: cassiatally.ResultRefused})
	h.Finished(start.Add(time.Second/2), second.ID, cassiatally.RunResult{Kind: cassiatally.ResultRefused})

	c := h.Counts()
	is.Equal(c.Sheds, []runner.Shed{
		{Kind: cassiatally.KindBackendRefused, Rank: 2, Count: 1},
		{Kind: cassiatally.KindExpired, Rank: 3, Count: 1},
	})
	is.Equal(c.QueueWait[0], runner.QueueWait{Started: 1})
	is.Equal(c.QueueWait[2], runner.QueueWait{Started: 1, Total: time.Second / 4})
	is.Equal(c.LateResults, uint64(1))
}

// Guards against queued calls that are started after the backend server was promised
// no further work.
func TestQueuedCallsAreRefusedWhenTheBackendServerDrains(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.HandleCall(start, entry, call(1, "a"))
	h.HandleCall(start, entry, call(2, "b"))
	got := answers(h.Announce(start, cassiatally.Endpoint{Service: "depot-svc", Slots: 10, State: cassiatally.EndpointDraining}, 3*time.Second))
	is.Equal(len(got), 1)
	is.Equal(got[0].ID, call(2, "").ID)
	is.Equal(got[0].Outcome, cassiatally.OutcomeNotRun)
	is.Equal(len(started(h.Finished(start, call(1, "").ID, cassiatally.RunResult{Kind: cassiatally.ResultAnswered, Status: 200}))), 0)
}

// Guards against a lost answer that counts as a crash: the other requests in flight
// would become suspects, and the backend server would get no work until its next
// report.
func TestLostAnswerIsNoCrash(t *testing.T) {
	is := is.New(t)
	h := newHarness(2)
	h.HandleCall(start, entry, call(1, "a"))
	h.HandleCall(start, entry, call(2, "b"))
	h.Finished(start, call(1, "").ID, cassiatally.RunResult{Kind: cassiatally.ResultLost})
	is.Equal(len(h.quarantine.crashes), 0)
	is.Equal(started(h.HandleCall(start, entry, call(3, "c"))), []cassiatally.CallID{call(3, "").ID})
}

// Guards against onward calls that are not assigned to the run that the front end
// names, and against those that exceed the deadline or rank of their parent.
func TestOnwardCallsNamedByTheFrontEnd(t *testing.T) {
	is := is.New(t)
	h := newHarness(2)
	parent := call(1, "a")
	parent.Name, parent.Rank = "p", 2
	h.HandleCall(start, entry, parent)
	child := runner.ChildCall{
		Waiter: cassiatally.CallID{Origin: 5, Seq: 1}, ParentName: "p", Name: "p.c", Idempotent: true,
		Onward: &cassiatally.Request{Service: "avail-svc", Work: "sync", Deadline: start.Add(time.Minute), Name: "p.c", Sends: 2},
	}
	req := h.BeginChild(start, child)[0].(cassiatally.Submit).Request
	is.Equal(req.Service, cassiatally.Service("avail-svc"))
	is.Equal(req.Policy.Rank, cassiatally.Rank(2))
	is.Equal(req.Deadline, start.Add(time.Second))
	is.Equal(req.Depth, cassiatally.Depth(1))
	is.Equal(h.AbandonChild(start, child.Waiter), []cassiatally.Action{cassiatally.Withdraw{Call: req.ID}})

	h.Finished(start, parent.ID, cassiatally.RunResult{Kind: cassiatally.ResultAnswered, Status: 200})
	late := h.BeginChild(start, child)
	is.Equal(late[0].(cassiatally.Deliver).Answer.Kind, cassiatally.KindUnknownParent)
}

// stubGranter grants all retries and counts the calls that arrive.
type stubGranter struct{ arrived int }

func (g *stubGranter) Arrived(cassiatally.Instant, cassiatally.Call)    { g.arrived++ }
func (g *stubGranter) Grant(cassiatally.Instant, cassiatally.Call) bool { return true }

// Guards against a retry that is granted for a call which may have run, and against calls
// that the granter does not see.
func TestGrantedRetry(t *testing.T) {
	for kind, granted := range map[cassiatally.RunResultKind]bool{
		cassiatally.ResultRefused: true, cassiatally.ResultLost: false, cassiatally.ResultAnswered: false,
	} {
		is := is.New(t)
		h := newHarness(2)
		g := &stubGranter{}
		h.Granter = g
		h.HandleCall(start, entry, call(1, "a"))
		got := answers(h.Finished(start, call(1, "a").ID, cassiatally.RunResult{Kind: kind, Status: 200}))
		is.Equal(got[0].RetryGranted, granted)
		is.Equal(g.arrived, 1)
	}
}

// Guards against a faulty backend server that reports no failures, and against failures
// that are not its own: cancelled runs, failed onward calls, and all runs being slow.
func TestFailureRate(t *testing.T) {
	const runs = 20
	cases := []struct {
		name   string
		result cassiatally.RunResult
		failed bool
	}{
		{"answer lost", cassiatally.RunResult{Kind: cassiatally.ResultLost}, true},
		{"refused", cassiatally.RunResult{Kind: cassiatally.ResultRefused}, true},
		{"failure of its own", cassiatally.RunResult{Kind: cassiatally.ResultAnswered, Status: 500}, true},
		{"cancelled", cassiatally.RunResult{Kind: cassiatally.ResultAborted}, false},
		{"cut off at the deadline", cassiatally.RunResult{Kind: cassiatally.ResultTimedOut}, false},
		{"answered", cassiatally.RunResult{Kind: cassiatally.ResultAnswered, Status: 200}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(2)
			now := start
			for i := range uint64(runs) {
				now = now.Add(10 * time.Millisecond)
				h.HandleCall(now, entry, call(i, "a"))
				h.Finished(now, call(i, "a").ID, c.result)
			}
			is.Equal(h.Endpoint().Load.FailureRate > 0.5, c.failed)
		})
	}
}
