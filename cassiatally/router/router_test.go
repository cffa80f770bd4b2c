package router_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/router"
)

const (
	start = cassiatally.Instant(time.Hour)
	self  = cassiatally.NodeID("entry")
)

// listBalancer chooses the first node that is not in the list of nodes to avoid.
type listBalancer struct {
	nodes, silent []cassiatally.NodeID
	failureRate   cassiatally.FailureRate
}

func (b *listBalancer) FailureRate(cassiatally.Service) cassiatally.FailureRate { return b.failureRate }

func (b *listBalancer) MarkSilent(_ cassiatally.Instant, n cassiatally.NodeID) {
	b.silent = append(b.silent, n)
}

func (b *listBalancer) MarkResponding(cassiatally.NodeID) {}

func (b *listBalancer) Update(cassiatally.Instant, []cassiatally.Candidate)                      {}
func (b *listBalancer) Started(cassiatally.Instant, cassiatally.NodeID)                          {}
func (b *listBalancer) Finished(cassiatally.Instant, cassiatally.NodeID, cassiatally.CallResult) {}
func (b *listBalancer) HasEndpoint(cassiatally.Service) bool                                     { return len(b.nodes) > 0 }

func (b *listBalancer) Choose(_ cassiatally.Instant, _ cassiatally.Service, avoid []cassiatally.NodeID) (cassiatally.NodeID, bool) {
	for _, n := range b.nodes {
		avoided := false
		for _, a := range avoid {
			avoided = avoided || a == n
		}
		if !avoided {
			return n, true
		}
	}
	return "", false
}

// stubBudget allows all retries. With denied set it allows only those of lost
// requests, and these only with lostAllowed set.
type stubBudget struct{ denied, lostAllowed bool }

func (b stubBudget) TakeRetry(cassiatally.Instant, cassiatally.ServicePair, cassiatally.Rank, cassiatally.Level) bool {
	return !b.denied
}

func (b stubBudget) TakeLostRetry(cassiatally.Instant, cassiatally.ServicePair) bool {
	return b.lostAllowed
}
func (b stubBudget) Requested(cassiatally.Instant, cassiatally.ServicePair, bool) {}

func (b stubBudget) Succeeded(cassiatally.Instant, cassiatally.ServicePair) {}

type stubLoads struct{ short bool }

func (l stubLoads) RecordChain(cassiatally.Instant, cassiatally.Service, cassiatally.WorkKind, []cassiatally.ServiceLoad) {
}

func (l stubLoads) RecordEndpoint(cassiatally.Instant, cassiatally.NodeID, cassiatally.ServiceLoad) {}

func (l stubLoads) FairOrder(_ cassiatally.Instant, _ cassiatally.Service, _ cassiatally.WorkKind, _ cassiatally.Rank, _ cassiatally.Tenant, o cassiatally.Order) cassiatally.Order {
	return o
}

func (l stubLoads) Admit(cassiatally.Instant, cassiatally.Service, cassiatally.WorkKind, cassiatally.Rank, cassiatally.Order) (bool, cassiatally.Service) {
	return !l.short, "avail-svc"
}

func (l stubLoads) Level(cassiatally.Instant, cassiatally.Service, cassiatally.Rank) cassiatally.Level {
	return 1
}

type oneHolder struct{ holder cassiatally.NodeRef }

func (h oneHolder) HolderOf(cassiatally.ShardRef) (cassiatally.NodeRef, cassiatally.Epoch, bool) {
	return h.holder, 1, !h.holder.IsZero()
}

type harness struct {
	*router.Router
	config func(loadRedirects int) router.Config
	seq    uint64
	holder cassiatally.NodeRef
}

func newHarness(nodes []cassiatally.NodeID, budget cassiatally.RetryBudget, loads cassiatally.LoadTracker) *harness {
	h := &harness{}
	h.config = func(loadRedirects int) router.Config {
		return router.Config{
			Self:     cassiatally.NodeRef{Node: self, Incarnation: 1},
			Balancer: &listBalancer{nodes: nodes},
			Budget:   budget,
			Loads:    loads,
			Shards:   func() cassiatally.ShardView { return oneHolder{h.holder} },
			NextID: func() cassiatally.CallID {
				h.seq++
				return cassiatally.CallID{Origin: 1, Seq: h.seq}
			},
			LoadRedirects: loadRedirects,
		}
	}
	h.Router = router.New(h.config(0))
	return h
}

func request(idempotent bool) cassiatally.Request {
	return cassiatally.Request{
		ID:       cassiatally.CallID{Origin: 1, Seq: 1000},
		Service:  "avail-svc",
		Work:     "check",
		Policy:   cassiatally.Policy{Idempotent: idempotent},
		Deadline: start.Add(time.Second),
		Retries:  2,
	}
}

// sent returns the only Call among the actions and its receiver.
func sent(t *testing.T, actions []cassiatally.Action) (cassiatally.NodeID, cassiatally.Call) {
	t.Helper()
	for _, a := range actions {
		if s, ok := a.(cassiatally.Send); ok {
			if c, ok := s.Message.(cassiatally.Call); ok {
				return s.To, c
			}
		}
	}
	t.Fatalf("no call in %v", actions)
	return "", cassiatally.Call{}
}

func delivered(t *testing.T, actions []cassiatally.Action) cassiatally.Answer {
	t.Helper()
	for _, a := range actions {
		if d, ok := a.(cassiatally.Deliver); ok {
			return d.Answer
		}
	}
	t.Fatalf("no answer in %v", actions)
	return cassiatally.Answer{}
}

// Guards against a second run of a non-idempotent request: it may be retried only
// after a refusal that states that it was not run.
func TestRetryAfterFailure(t *testing.T) {
	cases := []struct {
		name       string
		idempotent bool
		outcome    cassiatally.Outcome
		kind       cassiatally.ErrorKind
		repeated   bool
	}{
		{"idempotent refused by an overloaded endpoint", true, cassiatally.OutcomeNotRun, cassiatally.KindOverloaded, true},
		{"non-idempotent refused by an overloaded endpoint", false, cassiatally.OutcomeNotRun, cassiatally.KindOverloaded, true},
		{"non-idempotent refused by a draining endpoint", false, cassiatally.OutcomeNotRun, cassiatally.KindDraining, true},
		{"idempotent with a lost connection", true, cassiatally.OutcomeUnknown, cassiatally.KindOutcomeUnknown, true},
		{"non-idempotent with a lost connection", false, cassiatally.OutcomeUnknown, cassiatally.KindOutcomeUnknown, false},
		{"idempotent failed by the backend server", true, cassiatally.OutcomeRan, cassiatally.KindBackendFailed, false},
		{"quarantined", true, cassiatally.OutcomeNotRun, cassiatally.KindQuarantined, false},
		{"expired while it ran", true, cassiatally.OutcomeUnknown, cassiatally.KindExpired, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness([]cassiatally.NodeID{"a", "b"}, stubBudget{}, stubLoads{})
			to, call := sent(t, h.Submit(start, request(c.idempotent)))
			answer := cassiatally.Answer{ID: call.ID, Outcome: c.outcome, Kind: c.kind, Endpoint: cassiatally.EndpointLoad{Node: to}}
			actions := h.HandleAnswer(start, to, answer)
			if !c.repeated {
				is.Equal(delivered(t, actions).Kind, c.kind)
				return
			}
			again, second := sent(t, actions)
			is.Equal(again, cassiatally.NodeID("b"))
			is.True(second.ID != call.ID)
		})
	}
}

// Guards against retries that multiply along the call chain: all retries after
// refusals together must stay within the budget of the root request.
func TestRetriesStayWithinTheRootBudget(t *testing.T) {
	is := is.New(t)
	h := newHarness([]cassiatally.NodeID{"a", "b", "c", "d", "e"}, stubBudget{}, stubLoads{})
	actions := h.Submit(start, request(true))
	calls := 0
	for {
		if _, ok := actions[0].(cassiatally.Deliver); ok {
			break
		}
		to, call := sent(t, actions)
		calls++
		is.True(int(call.Retries)+calls-1 <= 2) // delegated plus spent
		actions = h.HandleAnswer(start, to, cassiatally.Answer{
			ID: call.ID, Outcome: cassiatally.OutcomeNotRun, Kind: cassiatally.KindOverloaded, Endpoint: cassiatally.EndpointLoad{Node: to},
		})
	}
	is.Equal(calls, 3)
	is.Equal(delivered(t, actions).RetriesSpent, cassiatally.RetryCount(2))
}

// Guards against retries while the service pair's budget is empty.
func TestEmptyPairBudgetStopsRetries(t *testing.T) {
	is := is.New(t)
	h := newHarness([]cassiatally.NodeID{"a", "b"}, stubBudget{denied: true}, stubLoads{})
	to, call := sent(t, h.Submit(start, request(true)))
	actions := h.HandleAnswer(start, to, cassiatally.Answer{ID: call.ID, Outcome: cassiatally.OutcomeNotRun, Kind: cassiatally.KindOverloaded})
	is.Equal(delivered(t, actions).Kind, cassiatally.KindOverloaded)
	is.Equal(h.Counts().RetriesDenied, uint64(1))
}

// Guards against the answer "unknown" for a request whose endpoint was lost while the
// service is short of capacity, and against refused requests that use the allowance
// for lost ones.
func TestLostRequestsAreRetriedInAShortage(t *testing.T) {
	overloaded := cassiatally.Answer{Outcome: cassiatally.OutcomeNotRun, Kind: cassiatally.KindOverloaded}
	broken := cassiatally.Answer{Outcome: cassiatally.OutcomeUnknown, Kind: cassiatally.KindOutcomeUnknown}
	for _, c := range []struct {
		name    string
		answers []cassiatally.Answer
		calls   int
	}{
		{"refused", []cassiatally.Answer{overloaded}, 1},
		{"connection lost", []cassiatally.Answer{broken, broken, broken}, 3},
		{"connection lost, then refused", []cassiatally.Answer{broken, overloaded, overloaded}, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness([]cassiatally.NodeID{"a", "b", "c", "d"}, stubBudget{denied: true, lostAllowed: true}, stubLoads{})
			actions := h.Submit(start, request(true))
			for i, a := range c.answers {
				var call cassiatally.Call
				a.Endpoint.Node, call = sent(t, actions)
				a.ID = call.ID
				actions = h.HandleAnswer(start, a.Endpoint.Node, a)
				is.Equal(h.Counts().Retries, uint64(min(i+1, c.calls-1)))
			}
			is.Equal(delivered(t, actions).RetriesSpent, cassiatally.RetryCount(c.calls-1))
		})
	}
}

// Guards against the delivery of an answer that is not the request's own: for another
// call, from another node, damaged in transit, or a duplicate.
func TestForeignAndDamagedAnswers(t *testing.T) {
	is := is.New(t)
	h := newHarness([]cassiatally.NodeID{"a", "b"}, stubBudget{denied: true}, stubLoads{})
	to, call := sent(t, h.Submit(start, request(true)))
	whole := cassiatally.Answer{ID: call.ID, Outcome: cassiatally.OutcomeRan, Body: []byte("own"), Digest: cassiatally.DigestOf([]byte("own"))}
	other := whole
	other.ID.Seq += 50
	is.Equal(len(h.HandleAnswer(start, to, other)), 0)
	is.Equal(len(h.HandleAnswer(start, "stranger", whole)), 0)
	damaged := whole
	damaged.Body = []byte("cut")
	is.Equal(delivered(t, h.HandleAnswer(start, to, damaged)).Kind, cassiatally.KindIncompleteAnswer)
	is.Equal(len(h.HandleAnswer(start, to, whole)), 0)
	is.Equal(h.Counts().LateAnswers, uint64(3))
}

// Guards against an answer that lost its whole body in transit and is delivered as
// an empty one.
func TestAnswerWithoutItsBody(t *testing.T) {
	is := is.New(t)
	h := newHarness([]cassiatally.NodeID{"a", "b"}, stubBudget{denied: true}, stubLoads{})
	to, call := sent(t, h.Submit(start, request(true)))
	empty := cassiatally.Answer{ID: call.ID, Outcome: cassiatally.OutcomeRan, Digest: cassiatally.DigestOf([]byte("own"))}
	is.Equal(delivered(t, h.HandleAnswer(start, to, empty)).Kind, cassiatally.KindIncompleteAnswer)
}

// Guards against the delivery of another request's answer that got this call's id in
// transit, and against the loss of the right answer that follows it.
func TestAnswerWithAnotherRequestsTag(t *testing.T) {
	is := is.New(t)
	h := newHarness([]cassiatally.NodeID{"a", "b"}, stubBudget{}, stubLoads{})
	to, call := sent(t, h.Submit(start, request(false)))
	other := call
	other.ID.Seq += 50
	crossed := cassiatally.Answer{ID: call.ID, Request: other.Tag(), Outcome: cassiatally.OutcomeRan, Body: []byte("other"), Digest: cassiatally.DigestOf([]byte("other"))}
	is.Equal(len(h.HandleAnswer(start, to, crossed)), 0)
	own := cassiatally.Answer{ID: call.ID, Request: call.Tag(), Outcome: cassiatally.OutcomeRan, Body: []byte("own"), Digest: cassiatally.DigestOf([]byte("own"))}
	is.Equal(string(delivered(t, h.HandleAnswer(start, to, own)).Body), "own")
	is.Equal(h.Counts().ForeignAnswers, uint64(1))
}

// Guards against a refusal, or a spent retry, for a call that could not be sent while
// another endpoint is reachable.
func TestUnreachableEndpoint(t *testing.T) {
	is := is.New(t)
	h := newHarness([]cassiatally.NodeID{"a", "b", "c", "d", "e"}, stubBudget{denied: true}, stubLoads{})
	first, call := sent(t, h.Submit(start, request(false)))
	second, call := sent(t, h.SendFailed(start, first, call))
	is.True(second != first)
	is.Equal(call.Retries, cassiatally.RetryCount(1)) // half of the two retries
	for range 2 {
		second, call = sent(t, h.SendFailed(start, second, call))
	}
	refused := delivered(t, h.SendFailed(start, second, call))
	is.Equal(refused.Kind, cassiatally.KindUnreachable)
	is.Equal(refused.Outcome, cassiatally.OutcomeNotRun)
}

// Guards against a refusal while the only remaining endpoint is being dialled, and
// against an unbounded wait for it.
func TestOnlyRemainingEndpointIsDialled(t *testing.T) {
	is := is.New(t)
	h := newHarness([]cassiatally.NodeID{"a"}, stubBudget{denied: true}, stubLoads{})
	to, call := sent(t, h.Submit(start, request(false)))
	now := start
	deferrals := 0
	for {
		actions := h.SendFailed(now, to, call)
		if len(actions) > 0 {
			refused := delivered(t, actions)
			is.Equal(refused.Kind, cassiatally.KindUnreachable)
			is.Equal(refused.Outcome, cassiatally.OutcomeNotRun)
			break
		}
		deferrals++
		at, ok := h.NextWake()
		is.True(ok && at.Before(start.Add(time.Second)))
		now = at
		to, call = sent(t, h.Tick(now))
	}
	is.True(deferrals > 0 && deferrals < 10)
}

// Guards against idempotent calls that wait until their deadline for a node that sends
// nothing, and against a second run of a call that is not idempotent.
func TestSilentLink(t *testing.T) {
	peer := cassiatally.NodeRef{Node: "a", Incarnation: 4}
	cases := []struct {
		name       string
		nodes      []cassiatally.NodeID
		idempotent bool
		budget     stubBudget
		sends      int
		moves      bool
	}{
		{"idempotent", []cassiatally.NodeID{"a", "b"}, true, stubBudget{}, 2, true},
		{"not idempotent", []cassiatally.NodeID{"a", "b"}, false, stubBudget{}, 2, false},
		{"without another endpoint", []cassiatally.NodeID{"a"}, true, stubBudget{}, 2, false},
		{"without retries", []cassiatally.NodeID{"a", "b"}, true, stubBudget{denied: true}, 2, false},
		{"with all sends used", []cassiatally.NodeID{"a", "b"}, true, stubBudget{}, 1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(c.nodes, c.budget, stubLoads{})
			req := request(c.idempotent)
			req.Sends = c.sends
			to, call := sent(t, h.Submit(start, req))
			is.Equal(to, peer.Node)
			actions := h.LinkSilent(start, peer)
			ran := cassiatally.Answer{ID: call.ID, Outcome: cassiatally.OutcomeRan, Status: 200}
			if !c.moves {
				is.Equal(len(actions), 0)
				is.Equal(delivered(t, h.HandleAnswer(start, to, ran)).Outcome, cassiatally.OutcomeRan)
				return
			}
			other, again := sent(t, actions)
			is.Equal(other, cassiatally.NodeID("b"))
			is.Equal(len(actions), 1) // the silent endpoint may be at work
			ran.ID = again.ID
			actions = h.HandleAnswer(start, other, ran)
			is.Equal(delivered(t, actions).Outcome, cassiatally.OutcomeRan)
			is.Equal(cancelled(actions), map[cassiatally.NodeID]cassiatally.Cancel{to: {ID: call.ID}})
			ran.ID = call.ID
			is.Equal(len(h.HandleAnswer(start, to, ran)), 0) // too late
		})
	}
}

// Guards against a non-idempotent call that is retried or dropped when its link is
// lost, instead of its outcome being queried.
func TestLostLink(t *testing.T) {
	is := is.New(t)
	h := newHarness([]cassiatally.NodeID{"a", "b"}, stubBudget{}, stubLoads{})
	h.LinkOpened(cassiatally.NodeRef{Node: "a", Incarnation: 4})
	to, call := sent(t, h.Submit(start, request(false)))
	actions := h.LinkLost(start, cassiatally.NodeRef{Node: to, Incarnation: 4})
	is.Equal(len(actions), 1)
	is.Equal(actions[0], cassiatally.Action(cassiatally.Send{To: to, Message: cassiatally.RunQuery{ID: call.ID, Target: 4, Request: call.Tag()}}))
	ran := cassiatally.Answer{ID: call.ID, Outcome: cassiatally.OutcomeRan, Status: 200}
	is.Equal(delivered(t, h.HandleAnswer(start, to, ran)).Outcome, cassiatally.OutcomeRan)
}

// Guards against a later incarnation, which has no record of the call, being asked as if
// the call had been sent to it: it would state that the call never arrived. The link to
// the later one may be lost before the end of the link that the call was sent on is
// noticed.
func TestQueryNamesTheIncarnationOfTheCall(t *testing.T) {
	for name, c := range map[string]struct {
		opened []cassiatally.Incarnation
		target cassiatally.Incarnation
	}{
		"restarted since": {[]cassiatally.Incarnation{4}, 4},
		"not known":       {nil, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness([]cassiatally.NodeID{"a", "b"}, stubBudget{}, stubLoads{})
			for _, i := range c.opened {
				h.LinkOpened(cassiatally.NodeRef{Node: "a", Incarnation: i})
			}
			to, call := sent(t, h.Submit(start, request(false)))
			h.LinkOpened(cassiatally.NodeRef{Node: to, Incarnation: 5})
			actions := h.LinkLost(start, cassiatally.NodeRef{Node: to, Incarnation: 5})
			is.Equal(actions[0], cassiatally.Action(cassiatally.Send{To: to, Message: cassiatally.RunQuery{ID: call.ID, Target: c.target, Request: call.Tag()}}))
		})
	}
}

// Guards against a claim that fails although another holder can accept it.
func TestClaimFollowsItsHolder(t *testing.T) {
	is := is.New(t)
	h := newHarness(nil, stubBudget{}, stubLoads{})
	req := request(false)
	req.Key = "north.0.1.00000000000000aa"
	req.Attempt = 1
	is.Equal(len(h.Submit(start, req)), 0) // no holder yet
	h.holder = cassiatally.NodeRef{Node: "h1", Incarnation: 1}
	to, first := sent(t, h.Tick(start.Add(100*time.Millisecond)))
	is.Equal(to, cassiatally.NodeID("h1"))
	is.Equal(first.Attempt, uint16(1))
	h.LinkLost(start.Add(200*time.Millisecond), cassiatally.NodeRef{Node: "h1", Incarnation: 1})
	h.holder = cassiatally.NodeRef{Node: "h2", Incarnation: 1}
	to, second := sent(t, h.Tick(start.Add(300*time.Millisecond)))
	is.Equal(to, cassiatally.NodeID("h2"))
	is.True(second.Attempt > 1) // the first copy may have arrived
	expired := h.Tick(start.Add(2 * time.Second))
	is.Equal(delivered(t, expired).Outcome, cassiatally.OutcomeUnknown)
}

// Guards against the answer "not run" for a request that was sent on and may have been
// run. First sends of a key whose holder did not answer in time got it.
func TestExpiry(t *testing.T) {
	holder := cassiatally.NodeRef{Node: "h1", Incarnation: 1}
	cases := []struct {
		name    string
		key     cassiatally.Key
		attempt uint16
		holder  cassiatally.NodeRef
		outcome cassiatally.Outcome
	}{
		{"first send to a holder", "north.0.1.00000000000000aa", 1, holder, cassiatally.OutcomeUnknown},
		{"further send to a holder", "north.0.1.00000000000000aa", 2, holder, cassiatally.OutcomeUnknown},
		{"first send without a holder", "north.0.1.00000000000000aa", 1, cassiatally.NodeRef{}, cassiatally.OutcomeNotRun},
		{"further send without a holder", "north.0.1.00000000000000aa", 2, cassiatally.NodeRef{}, cassiatally.OutcomeUnknown},
		{"run of a claimed request", "", 0, holder, cassiatally.OutcomeUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness([]cassiatally.NodeID{"a"}, stubBudget{}, stubLoads{})
			h.holder = c.holder
			req := request(false)
			req.Key, req.Attempt = c.key, c.attempt
			h.Submit(start, req)
			is.Equal(delivered(t, h.Tick(start.Add(2*time.Second))).Outcome, c.outcome)
		})
	}
}

// Guards against a refusal with "not run" at the entry for a re-sent key: it may have
// run already, so only the holder can refuse it. Guards also against a second decision
// at the holder about a request that was admitted where it entered.
func TestRefusalAtTheEntry(t *testing.T) {
	cases := []struct {
		name    string
		key     cassiatally.Key
		attempt uint16
		parent  cassiatally.Service
		claimed bool
		refused bool
	}{
		{"idempotent request", "", 0, "", false, true},
		{"first send of a key", "north.0.1.00000000000000aa", 1, "", false, true},
		{"further send of a key", "north.0.1.00000000000000aa", 2, "", false, false},
		{"send of a key without a count", "north.0.1.00000000000000aa", 0, "", false, false},
		{"onward call of an admitted request", "", 0, "booking-svc", false, false},
		{"run of a claimed key", "", 1, "", true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness([]cassiatally.NodeID{"a"}, stubBudget{}, stubLoads{short: true})
			h.holder = cassiatally.NodeRef{Node: "h1", Incarnation: 1}
			req := request(c.key == "")
			req.Key, req.Attempt, req.Parent, req.Claimed = c.key, c.attempt, c.parent, c.claimed
			actions := h.Submit(start, req)
			_, refused := actions[0].(cassiatally.Deliver)
			is.Equal(refused, c.refused)
			if refused {
				a := delivered(t, actions)
				is.Equal(a.Outcome, cassiatally.OutcomeNotRun)
				is.Equal(a.Kind, cassiatally.KindOverloaded)
			}
		})
	}
}

// Guards against the answer "not run" for a re-sent key that arrives after its
// deadline, when an earlier copy may have run.
func TestClaimAfterItsDeadline(t *testing.T) {
	cases := []struct {
		attempt uint16
		want    cassiatally.Outcome
	}{
		{1, cassiatally.OutcomeNotRun},
		{2, cassiatally.OutcomeUnknown},
		{0, cassiatally.OutcomeUnknown},
	}
	for _, c := range cases {
		is := is.New(t)
		h := newHarness(nil, stubBudget{}, stubLoads{})
		req := request(false)
		req.Key, req.Attempt = "north.0.1.38519750480300e0", c.attempt
		actions := h.Submit(req.Deadline, req)
		is.Equal(len(actions), 1)
		is.Equal(actions[0].(cassiatally.Deliver).Answer.Outcome, c.want)
	}
}

// Guards against the answer "not run" for a request whose first attempt may have been
// run, because a later attempt was refused.
func TestRefusalAfterAnUncertainAttempt(t *testing.T) {
	cases := []struct {
		name  string
		first cassiatally.Outcome
		kind  cassiatally.ErrorKind
		want  cassiatally.Outcome
	}{
		{"connection lost, then refused", cassiatally.OutcomeUnknown, cassiatally.KindOutcomeUnknown, cassiatally.OutcomeUnknown},
		{"refused twice", cassiatally.OutcomeNotRun, cassiatally.KindOverloaded, cassiatally.OutcomeNotRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness([]cassiatally.NodeID{"a", "b"}, stubBudget{}, stubLoads{})
			to, call := sent(t, h.Submit(start, request(true)))
			first := cassiatally.Answer{ID: call.ID, Outcome: c.first, Kind: c.kind, Endpoint: cassiatally.EndpointLoad{Node: to}}
			to, call = sent(t, h.HandleAnswer(start, to, first))
			refused := cassiatally.Answer{ID: call.ID, Outcome: cassiatally.OutcomeNotRun, Kind: cassiatally.KindQuarantined, Endpoint: cassiatally.EndpointLoad{Node: to}}
			is.Equal(delivered(t, h.HandleAnswer(start, to, refused)).Outcome, c.want)
		})
	}
}

// Guards against a request that fails because one endpoint of a service has no room
// while another has, and against one that is redirected again and again between
// endpoints that have none.
func TestLoadRedirect(t *testing.T) {
	for _, kind := range []cassiatally.ErrorKind{cassiatally.KindOverloaded, cassiatally.KindExpired} {
		is := is.New(t)
		h := newHarness([]cassiatally.NodeID{"a", "b", "c"}, stubBudget{denied: true}, stubLoads{})
		h.Router = router.New(h.config(1))
		to, call := sent(t, h.Submit(start, request(false)))
		full := func(id cassiatally.CallID, n cassiatally.NodeID) cassiatally.Answer {
			return cassiatally.Answer{ID: id, Outcome: cassiatally.OutcomeNotRun, Kind: kind, Endpoint: cassiatally.EndpointLoad{Node: n}}
		}
		again, second := sent(t, h.HandleAnswer(start, to, full(call.ID, to)))
		is.Equal(again, cassiatally.NodeID("b"))
		a := delivered(t, h.HandleAnswer(start, again, full(second.ID, again)))
		is.Equal(a.Outcome, cassiatally.OutcomeNotRun)
	}
}

// Guards against a failure of one backend server that is reported to the caller
// although another one could have answered, and against a retry of a run whose onward
// calls failed: it would fail again and load the services below.
func TestOwnFailureIsRetried(t *testing.T) {
	for _, c := range []struct {
		name            string
		own, idempotent bool
		repeated        bool
	}{
		{"own failure", true, true, true},
		{"failure of an onward call", false, true, false},
		{"not idempotent", true, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness([]cassiatally.NodeID{"a", "b"}, stubBudget{}, stubLoads{})
			to, call := sent(t, h.Submit(start, request(c.idempotent)))
			failed := cassiatally.Answer{
				ID: call.ID, Outcome: cassiatally.OutcomeRan, Kind: cassiatally.KindBackendFailed, Status: 500, OwnFailure: c.own,
				Endpoint: cassiatally.EndpointLoad{Node: to},
			}
			actions := h.HandleAnswer(start, to, failed)
			if !c.repeated {
				is.Equal(delivered(t, actions).Status, 500)
				return
			}
			_, again := sent(t, actions)
			is.True(again.Repeated) // its onward calls count as retries
		})
	}
}

// Guards against a request that is sent to more endpoints than its route's Attempts
// allow.
func TestSendsAreBounded(t *testing.T) {
	is := is.New(t)
	h := newHarness([]cassiatally.NodeID{"a", "b", "c"}, stubBudget{}, stubLoads{})
	req := request(true)
	req.Retries, req.Sends = 8, 2
	to, call := sent(t, h.Submit(start, req))
	lost := func(id cassiatally.CallID, n cassiatally.NodeID) cassiatally.Answer {
		return cassiatally.Answer{ID: id, Kind: cassiatally.KindOutcomeUnknown, Endpoint: cassiatally.EndpointLoad{Node: n}}
	}
	to, call = sent(t, h.HandleAnswer(start, to, lost(call.ID, to)))
	is.Equal(delivered(t, h.HandleAnswer(start, to, lost(call.ID, to))).Kind, cassiatally.KindOutcomeUnknown)
}

// Guards against answers that make refused callers retry all at the same time, or so
// late that no time remains.
func TestRetryAfterIsSpread(t *testing.T) {
	is := is.New(t)
	var earliest, latest time.Duration
	for i := range 100 {
		h := newHarness(nil, stubBudget{}, stubLoads{})
		req := request(true)
		req.Order = cassiatally.Order(float64(i) / 100)
		after := delivered(t, h.Submit(start, req)).RetryAfter
		is.True(after <= time.Second/3)
		if i == 0 {
			earliest = after
		}
		latest = after
	}
	is.True(earliest > 0)
	is.True(latest >= 3*earliest)
}

// Guards against a granted retry that the sender's budget denies, that is not marked as
// granted, or that is repeated without end, and against retries of the sender's own while
// the whole service refuses calls.
func TestGrantedRetries(t *testing.T) {
	refused := func(c cassiatally.Call, granted bool) cassiatally.Answer {
		return cassiatally.Answer{
			ID: c.ID, Outcome: cassiatally.OutcomeNotRun, Kind: cassiatally.KindBackendRefused, RetryGranted: granted,
		}
	}
	newRouter := func(denied bool, rate cassiatally.FailureRate) *router.Router {
		h := newHarness([]cassiatally.NodeID{"a", "b"}, stubBudget{denied: denied}, stubLoads{})
		cfg := h.config(0)
		cfg.Granted = true
		cfg.Balancer = &listBalancer{nodes: []cassiatally.NodeID{"a", "b"}, failureRate: rate}
		return router.New(cfg)
	}
	t.Run("granted", func(t *testing.T) {
		is := is.New(t)
		r := newRouter(true, 0.5)
		to, c := sent(t, r.Submit(start, request(false)))
		is.Equal(c.Send, cassiatally.SendFirst)
		grants := 0
		for {
			actions := r.HandleAnswer(start, to, refused(c, true))
			if r.InFlight() == 0 {
				is.Equal(delivered(t, actions).Outcome, cassiatally.OutcomeNotRun)
				break
			}
			grants++
			to, c = sent(t, actions)
			is.Equal(c.Send, cassiatally.SendGranted)
		}
		is.True(grants > 2)
		is.True(grants < 10)
	})
	t.Run("not granted by a service that refuses", func(t *testing.T) {
		is := is.New(t)
		r := newRouter(false, 0.5)
		to, c := sent(t, r.Submit(start, request(false)))
		is.Equal(delivered(t, r.HandleAnswer(start, to, refused(c, false))).Kind, cassiatally.KindBackendRefused)
	})
	t.Run("not granted by one endpoint", func(t *testing.T) {
		is := is.New(t)
		r := newRouter(false, 0.1)
		to, c := sent(t, r.Submit(start, request(false)))
		_, again := sent(t, r.HandleAnswer(start, to, refused(c, false)))
		is.Equal(again.Send, cassiatally.SendRetry)
	})
}

// Guards against a call of a run in flight that fails because the node beside it was
// restarted and does not know the service yet, and against a call that waits for a
// service which nobody has announced.
func TestServiceIsDiscovered(t *testing.T) {
	h := newHarness(nil, stubBudget{}, stubLoads{})
	cfg := h.config(0)
	cfg.Discovery = 5 * time.Second
	t.Run("becomes known", func(t *testing.T) {
		is := is.New(t)
		b := &listBalancer{}
		cfg.Balancer = b
		r := router.New(cfg)
		is.Equal(len(r.Submit(start, request(true))), 0)
		b.nodes = []cassiatally.NodeID{"a"}
		to, _ := sent(t, r.Tick(start.Add(60*time.Millisecond)))
		is.Equal(to, cassiatally.NodeID("a"))
	})
	t.Run("stays unknown", func(t *testing.T) {
		is := is.New(t)
		cfg.Balancer = &listBalancer{}
		r := router.New(cfg)
		now := start
		actions := r.Submit(now, request(true))
		for i := 0; i < 10 && len(actions) == 0; i++ {
			now = now.Add(60 * time.Millisecond)
			actions = r.Tick(now)
		}
		is.Equal(delivered(t, actions).Kind, cassiatally.KindUnknownService)
		later := request(true)
		later.ID.Seq++
		later.Deadline = start.Add(10 * time.Second)
		is.Equal(delivered(t, r.Submit(start.Add(6*time.Second), later)).Kind, cassiatally.KindUnknownService)
	})
}

// Guards against a rate limit that is lost when the node beside the backend server
// restarts: the next call carries what the last answer stated, a refusal of a node that
// knows of nothing takes nothing back, and an answer of the backend server does.
func TestCallsCarryTheNotice(t *testing.T) {
	stated := &cassiatally.Notice{Instance: "i-1", RateLimited: true, RateLimit: 30}
	cases := []struct {
		name   string
		answer cassiatally.Answer
		want   *cassiatally.Notice
	}{
		{"stated again", cassiatally.Answer{Outcome: cassiatally.OutcomeRan, Status: 200, Notice: stated}, stated},
		{"refused by a node that knows of nothing", cassiatally.Answer{Outcome: cassiatally.OutcomeNotRun, Kind: cassiatally.KindQuarantined}, stated},
		{"answered without a notice", cassiatally.Answer{Outcome: cassiatally.OutcomeRan, Status: 200}, nil},
		{"refused by the backend server without a notice", cassiatally.Answer{Outcome: cassiatally.OutcomeNotRun, Kind: cassiatally.KindBackendRefused}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness([]cassiatally.NodeID{"n1"}, stubBudget{denied: true}, stubLoads{})
			next := func(seq uint64) cassiatally.Call {
				req := request(true)
				req.ID.Seq = seq
				_, c := sent(t, h.Submit(start, req))
				return c
			}
			first := next(1001)
			is.True(first.Notice == nil)
			h.HandleAnswer(start, "n1", cassiatally.Answer{ID: first.ID, Outcome: cassiatally.OutcomeRan, Status: 200, Notice: stated})
			second := next(1002)
			is.Equal(second.Notice, stated)
			c.answer.ID = second.ID
			h.HandleAnswer(start, "n1", c.answer)
			is.Equal(next(1003).Notice, c.want)
		})
	}
}

// Guards against a refusal of a request that another endpoint has room for, because two
// endpoints in a row have used up the rate that they state.
func TestRedirectsAwayFromRateLimits(t *testing.T) {
	is := is.New(t)
	h := newHarness([]cassiatally.NodeID{"n1", "n2", "n3", "n4"}, stubBudget{denied: true}, stubLoads{})
	refused := cassiatally.Answer{Outcome: cassiatally.OutcomeNotRun, Kind: cassiatally.KindOverloaded, Notice: &cassiatally.Notice{RateLimited: true, RateLimit: 30}}
	actions := h.Submit(start, request(true))
	for _, n := range []cassiatally.NodeID{"n1", "n2", "n3"} {
		a := refused
		_, c := sent(t, actions)
		a.ID, a.Endpoint.Node = c.ID, n
		actions = h.HandleAnswer(start, n, a)
	}
	to, _ := sent(t, actions)
	is.Equal(to, cassiatally.NodeID("n4"))
}
