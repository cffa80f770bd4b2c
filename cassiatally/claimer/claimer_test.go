package claimer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
)

var (
	holderRef  = cassiatally.NodeRef{Node: "holder", Incarnation: 1}
	standbyRef = cassiatally.NodeRef{Node: "standby", Incarnation: 2}
	spareRef   = cassiatally.NodeRef{Node: "spare", Incarnation: 3}
)

const entryNode cassiatally.NodeID = "entry"

func second(n int) cassiatally.Instant {
	return cassiatally.Instant(n) * cassiatally.Instant(time.Second)
}

// newHolder returns a holder whose standby has recorded the empty copy.
func newHolder() *Claimer {
	c := New(holderRef, testDC, 1)
	c.AssignmentsChanged(0, []cassiatally.Assignment{{
		Shard: testShard, Epoch: 1, Holder: holderRef, Standby: standbyRef, CompleteFrom: 1,
	}})
	c.MembersChanged(0, []cassiatally.Member{{Ref: holderRef}, {Ref: standbyRef}, {Ref: spareRef}})
	c.HandleClaimAck(0, standbyRef.Node, ackOf(1, standbyRef, 1))
	return c
}

func ackOf(e cassiatally.Epoch, from cassiatally.NodeRef, seq uint64) cassiatally.ClaimAck {
	return cassiatally.ClaimAck{Shard: testShard, Epoch: e, From: from, Seq: seq}
}

func keyOf(e cassiatally.Epoch, n uint64) cassiatally.Key {
	return cassiatally.KeyParts{Shard: testShard, Epoch: e, Random: n}.Key()
}

func callOf(id uint64, k cassiatally.Key, body string) cassiatally.Call {
	return cassiatally.Call{
		ID: cassiatally.CallID{Origin: 9, Seq: id}, Stage: cassiatally.StageClaim, Key: k,
		Remaining: time.Second, Body: []byte(body),
	}
}

// answers returns the answers among the actions.
func answers(actions []cassiatally.Action) []cassiatally.Answer {
	var all []cassiatally.Answer
	for _, a := range actions {
		if s, ok := a.(cassiatally.Send); ok {
			if answer, ok := s.Message.(cassiatally.Answer); ok {
				all = append(all, answer)
			}
		}
	}
	return all
}

func submitted(actions []cassiatally.Action) (cassiatally.Request, bool) {
	for _, a := range actions {
		if s, ok := a.(cassiatally.Submit); ok {
			return s.Request, true
		}
	}
	return cassiatally.Request{}, false
}

func proposed(actions []cassiatally.Action) cassiatally.Assignment {
	for _, a := range actions {
		if p, ok := a.(cassiatally.AppendAssignment); ok {
			return p.Assignment
		}
	}
	return cassiatally.Assignment{}
}

// Guards against a run on an acknowledgement that does not cover the claim, or
// that comes from another epoch or incarnation.
func TestOnlyTheStandbyOfTheEpochAcknowledges(t *testing.T) {
	cases := []struct {
		name string
		ack  cassiatally.ClaimAck
		runs bool
	}{
		{"standby of the epoch", ackOf(1, standbyRef, 2), true},
		{"earlier message only", ackOf(1, standbyRef, 1), false},
		{"message that was never sent", ackOf(1, standbyRef, 3), false},
		{"other epoch", ackOf(2, standbyRef, 2), false},
		{"other incarnation", ackOf(1, cassiatally.NodeRef{Node: "standby", Incarnation: 9}, 2), false},
		{"sealed", cassiatally.ClaimAck{Shard: testShard, Epoch: 1, From: standbyRef, Seq: 2, Sealed: true}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newHolder()
			_, early := submitted(h.HandleCall(0, entryNode, callOf(1, keyOf(1, 1), "a")))
			is.True(!early)
			r, runs := submitted(h.HandleClaimAck(0, "standby", c.ack))
			is.Equal(runs, c.runs)
			is.Equal(r.Key, cassiatally.Key(""))
		})
	}
}

// Guards against a run of a claimed key that the holder submits as if it entered the
// system there: the router then refuses it for lack of capacity, although the entry has
// admitted it and its key is claimed (scenario claims, line 73).
func TestRunOfAClaimedKeyIsMarked(t *testing.T) {
	for _, attempt := range []uint16{0, 1, 2} {
		is := is.New(t)
		h := newHolder()
		c := callOf(1, keyOf(1, 1), "a")
		c.Attempt = attempt
		h.HandleCall(0, entryNode, c)
		r, runs := submitted(h.HandleClaimAck(0, "standby", ackOf(1, standbyRef, 2)))
		is.True(runs)
		is.True(r.Claimed)
	}
}

// Guards against a refusal with a wrong outcome: not_run for a request that may
// have run elsewhere, or unknown for a key that cannot have been claimed.
func TestRefusals(t *testing.T) {
	cases := []struct {
		name    string
		call    cassiatally.Call
		kind    cassiatally.ErrorKind
		outcome cassiatally.Outcome
	}{
		{"key that no node minted", callOf(2, "dc.0.1.x", "a"), cassiatally.KindKeyInvalid, cassiatally.OutcomeNotRun},
		{"key of an epoch that was not read yet", callOf(2, keyOf(2, 1), "a"), cassiatally.KindUnavailable, cassiatally.OutcomeUnknown},
		{"key below the complete epochs", callOf(2, keyOf(0, 1), "a"), cassiatally.KindKeyExpired, cassiatally.OutcomeUnknown},
		{"other body before the claim is recorded", callOf(2, keyOf(1, 1), "b"), cassiatally.KindKeyConflict, cassiatally.OutcomeUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newHolder()
			h.HandleCall(0, entryNode, callOf(1, keyOf(1, 1), "a"))
			got := answers(h.HandleCall(0, entryNode, c.call))
			is.Equal(len(got), 1)
			is.Equal(got[0].ID, c.call.ID)
			is.Equal(got[0].Kind, c.kind)
			is.Equal(got[0].Outcome, c.outcome)
		})
	}
}

// Guards against a joined call that runs again or is never answered, against
// more than maxWaiters waiting calls, and against a cancel of one call that stops
// the run for the others.
func TestCallsJoinTheClaim(t *testing.T) {
	is := is.New(t)
	h := newHolder()
	k := keyOf(1, 1)
	for id := range uint64(maxWaiters) {
		h.HandleCall(0, entryNode, callOf(id, k, "a"))
		is.Equal(len(answers(h.HandleCall(0, entryNode, callOf(id, k, "a")))), 0) // a duplicate message
	}
	is.Equal(len(answers(h.HandleCall(0, entryNode, callOf(99, k, "a")))), 1)
	h.HandleCancel(0, entryNode, cassiatally.Cancel{ID: cassiatally.CallID{Origin: 9, Seq: 3}})
	r, ok := submitted(h.HandleClaimAck(0, "standby", ackOf(1, standbyRef, 2)))
	is.True(ok)
	done := h.RunFinished(0, r.ID, cassiatally.Answer{Outcome: cassiatally.OutcomeRan, Body: []byte("done")})
	is.Equal(len(answers(done)), maxWaiters-1)
	again := answers(h.HandleCall(0, entryNode, callOf(100, k, "a")))
	is.Equal(string(again[0].Body), "done")
	h.Tick(0 + cassiatally.Instant(answerTTL))
	again = answers(h.HandleCall(0, entryNode, callOf(101, k, "a")))
	is.Equal(again[0].Kind, cassiatally.KindAnswerExpired)
	is.Equal(again[0].Outcome, cassiatally.OutcomeRan)
}

// Guards against a not_run answer before the standby has recorded the void, for
// a run that never started and for a claim that was acknowledged after its
// deadline.
func TestVoidIsRecordedBeforeItIsAnswered(t *testing.T) {
	is := is.New(t)
	h := newHolder()
	h.HandleCall(0, entryNode, callOf(1, keyOf(1, 1), "a"))
	r, _ := submitted(h.HandleClaimAck(0, "standby", ackOf(1, standbyRef, 2)))
	is.Equal(len(answers(h.RunFinished(0, r.ID, cassiatally.Answer{Outcome: cassiatally.OutcomeNotRun, Kind: cassiatally.KindOverloaded}))), 0)
	got := answers(h.HandleClaimAck(0, "standby", ackOf(1, standbyRef, 3)))
	is.Equal(got[0].Kind, cassiatally.KindOverloaded)

	h.HandleCall(0, entryNode, callOf(2, keyOf(1, 2), "a"))
	late := h.HandleClaimAck(second(2), "standby", ackOf(1, standbyRef, 4))
	_, ran := submitted(late)
	is.True(!ran)
	is.Equal(len(answers(late)), 0)
	got = answers(h.HandleClaimAck(second(2), "standby", ackOf(1, standbyRef, 5)))
	is.Equal(got[0].Kind, cassiatally.KindExpired)
	is.Equal(got[0].Outcome, cassiatally.OutcomeNotRun)
}

// Guards against a holder that waits forever for a silent standby.
func TestSilentStandbyIsReplaced(t *testing.T) {
	is := is.New(t)
	h := newHolder()
	h.HandleCall(0, entryNode, callOf(1, keyOf(1, 1), "a"))
	is.Equal(len(h.Tick(second(1)-1)), 0)
	is.Equal(len(h.Tick(second(1))), 2) // the update again, and a void for the call that expired
	next := proposed(h.Tick(second(4)))
	is.Equal(next.Epoch, cassiatally.Epoch(2))
	is.Equal(next.Standby, spareRef)
	h.AppendFailed(second(4), next)
	is.Equal(proposed(h.Tick(second(4))), cassiatally.Assignment{})
	is.Equal(proposed(h.Tick(second(5))), next)
	refused := answers(h.HandleCall(second(5), entryNode, callOf(2, keyOf(1, 2), "a")))
	is.Equal(refused[0].Kind, cassiatally.KindUnavailable)
	is.Equal(refused[0].Outcome, cassiatally.OutcomeUnknown)
}

// Guards against a standby that acknowledges claims after it has begun a
// takeover, and against one with an incomplete copy that keeps the claims of earlier
// epochs. Keys of the epoch that it takes over from remain valid.
func TestStandbySealsBeforeTakeover(t *testing.T) {
	cases := []struct {
		name     string
		copied   bool
		complete cassiatally.Epoch
	}{
		{"with the complete copy", true, 1},
		{"with a part of the copy", false, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := New(standbyRef, testDC, 1)
			s.AssignmentsChanged(0, []cassiatally.Assignment{{
				Shard: testShard, Epoch: 3, Holder: holderRef, Standby: standbyRef, CompleteFrom: 1,
			}})
			s.HandleClaimCopy(0, "holder", cassiatally.ClaimCopy{Shard: testShard, Epoch: 3, From: holderRef, Seq: 1, Last: c.copied})
			next := proposed(s.MembersChanged(second(4), []cassiatally.Member{{Ref: standbyRef}, {Ref: spareRef}}))
			is.Equal(next.Holder, standbyRef)
			is.Equal(next.Standby, spareRef)
			is.Equal(next.CompleteFrom, c.complete)
			update := cassiatally.ClaimUpdate{Shard: testShard, Epoch: 3, From: holderRef, Seq: 2, Claim: cassiatally.Claim{Key: keyOf(3, 1)}}
			ack := s.HandleClaimUpdate(second(4), "holder", update)[0].(cassiatally.Send).Message.(cassiatally.ClaimAck)
			is.True(ack.Sealed)
		})
	}
}

// Guards against a new key that is answered key_expired after a takeover by a standby
// that had no complete copy: none of the keys of its epoch can have been run.
func TestKeysOfTheEpochTakenOverStayValid(t *testing.T) {
	is := is.New(t)
	s := New(standbyRef, testDC, 1)
	s.AssignmentsChanged(0, []cassiatally.Assignment{{
		Shard: testShard, Epoch: 3, Holder: holderRef, Standby: standbyRef, CompleteFrom: 1,
	}})
	next := proposed(s.MembersChanged(second(4), []cassiatally.Member{{Ref: standbyRef}, {Ref: spareRef}}))
	s.AssignmentsChanged(second(4), []cassiatally.Assignment{next})
	s.HandleClaimAck(second(4), spareRef.Node, ackOf(4, spareRef, 1))
	expired := answers(s.HandleCall(second(4), entryNode, callOf(1, keyOf(2, 1), "a")))
	is.Equal(expired[0].Kind, cassiatally.KindKeyExpired)
	s.HandleCall(second(4), entryNode, callOf(2, keyOf(3, 1), "a"))
	_, ran := submitted(s.HandleClaimAck(second(4), spareRef.Node, ackOf(4, spareRef, 2)))
	is.True(ran)
}

// Guards against a claim that waits for a standby which the holder already knows to
// be gone: the assignment is replaced at once, since the standby was seen live. It may
// have left between the proposal and the time at which it was read back.
func TestStandbyThatWasLiveIsReplacedAtOnce(t *testing.T) {
	cases := []struct {
		name               string
		live, leavesBefore bool
		replaced           bool
	}{
		{"seen live", true, false, true},
		{"seen live before the assignment", true, true, true},
		{"never seen", false, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := New(holderRef, testDC, 1)
			others := []cassiatally.Member{{Ref: holderRef}, {Ref: spareRef}}
			h.MembersChanged(0, others)
			if c.live {
				h.MembersChanged(0, append(others, cassiatally.Member{Ref: standbyRef}))
			}
			if c.leavesBefore {
				h.MembersChanged(0, others)
			}
			h.AssignmentsChanged(0, []cassiatally.Assignment{{
				Shard: testShard, Epoch: 1, Holder: holderRef, Standby: standbyRef, CompleteFrom: 1,
			}})
			next := proposed(h.MembersChanged(second(1), others))
			is.Equal(next.Standby == spareRef, c.replaced)
		})
	}
}

// Guards against a claim that waits for resendAfter because the standby learned of the
// assignment after the holder had sent the copy, and against a resend for each message
// that the standby drops.
func TestStandbyThatLearnsLateGetsTheCopyAtOnce(t *testing.T) {
	is := is.New(t)
	h := New(holderRef, testDC, 1)
	h.MembersChanged(0, []cassiatally.Member{{Ref: holderRef}, {Ref: standbyRef}})
	as := cassiatally.Assignment{Shard: testShard, Epoch: 1, Holder: holderRef, Standby: standbyRef, CompleteFrom: 1}
	h.AssignmentsChanged(0, []cassiatally.Assignment{as})
	s := New(standbyRef, testDC, 1)
	request := s.AssignmentsChanged(0, []cassiatally.Assignment{as})[0].(cassiatally.Send).Message.(cassiatally.ClaimAck)
	now := cassiatally.Instant(minResendInterval)
	is.Equal(len(h.HandleClaimAck(now-1, standbyRef.Node, request)), 0)
	again := h.HandleClaimAck(now, standbyRef.Node, request)
	is.Equal(len(again), 1)
	_, isCopy := again[0].(cassiatally.Send).Message.(cassiatally.ClaimCopy)
	is.True(isCopy)
	is.Equal(len(h.HandleClaimAck(now, standbyRef.Node, request)), 0)
}

// Guards against claims that are never dropped by a rotation, and against a node
// that leaves without handing over its shards.
func TestNextEpochs(t *testing.T) {
	is := is.New(t)
	h := newHolder()
	r := proposed(h.Tick(cassiatally.Instant(rotateAfter)))
	is.Equal(r.CompleteFrom, cassiatally.Epoch(1))
	h.AssignmentsChanged(cassiatally.Instant(rotateAfter), []cassiatally.Assignment{r})
	h.HandleClaimAck(cassiatally.Instant(rotateAfter), "standby", ackOf(2, standbyRef, 1))
	r = proposed(h.Tick(cassiatally.Instant(2 * rotateAfter)))
	is.Equal(r.CompleteFrom, cassiatally.Epoch(2))
	is.Equal(r.Holder, holderRef)

	h = newHolder()
	handover := proposed(h.Drain(second(4)))
	is.Equal(handover.Holder, standbyRef)
	is.Equal(handover.Standby, spareRef)
	is.True(!h.Drained())
	h.AssignmentsChanged(second(4), []cassiatally.Assignment{handover})
	is.True(h.Drained())

	// All members of the data centre leave together.
	h = newHolder()
	h.Drain(second(4))
	h.MembersChanged(second(4), []cassiatally.Member{
		{Ref: holderRef, Leaving: true}, {Ref: standbyRef, Leaving: true}, {Ref: spareRef, Leaving: true},
	})
	is.True(h.Drained())
}

// Guards against stored answers beyond maxAnswerBytes.
func TestStoredAnswersAreBounded(t *testing.T) {
	is := is.New(t)
	var st answerStore
	first := &claim{}
	st.put(0, first, cassiatally.Answer{Body: make([]byte, maxAnswerBodyBytes)})
	is.True(first.answer != nil)
	large := &claim{}
	st.put(0, large, cassiatally.Answer{Body: make([]byte, maxAnswerBodyBytes+1)})
	is.True(large.answer == nil)
	for range maxAnswerBytes / maxAnswerBodyBytes {
		st.put(0, &claim{}, cassiatally.Answer{Body: make([]byte, maxAnswerBodyBytes)})
	}
	is.True(first.answer == nil)
	is.True(st.bytes <= maxAnswerBytes)
}
