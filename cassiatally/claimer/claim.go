package claimer

import (
	"slices"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// callRef identifies a call by the node that sent it and its ID there.
type callRef struct {
	entry cassiatally.NodeID
	call  cassiatally.CallID
}

// waiter is a call that waits for the outcome of a key. Its answer carries tag.
type waiter struct {
	callRef
	tag cassiatally.RequestTag
}

// claim is the state of a key at this node, as holder or as standby.
type claim struct {
	key         cassiatally.Key
	epoch       cassiatally.Epoch
	fingerprint cassiatally.Fingerprint
	state       cassiatally.ClaimState
	answer      *cassiatally.Answer
	// durableSeq is the sequence number that the standby has to acknowledge before
	// the holder may act on the state.
	durableSeq uint64
	// submitted is set when the request is passed to the router. It is never reset.
	submitted bool
	// orphaned is set when the shard moved to another holder during the run.
	orphaned bool
	// call is nil once the request was submitted or its claim voided.
	call     *cassiatally.Call
	deadline cassiatally.Instant
	// waitUntil is when the waiting calls are answered even without an acknowledgement.
	waitUntil cassiatally.Instant
	waiters   []waiter
}

// addWaiter adds a call that waits at most until the given time. It returns
// false when maxWaiters calls wait already.
func (cl *claim) addWaiter(w waiter, until cassiatally.Instant) bool {
	cl.waitUntil = max(cl.waitUntil, until)
	if slices.Contains(cl.waiters, w) {
		return true
	}
	if len(cl.waiters) >= maxWaiters {
		return false
	}
	cl.waiters = append(cl.waiters, w)
	return true
}

func (cl *claim) removeWaiter(c callRef) {
	cl.waiters = slices.DeleteFunc(cl.waiters, func(w waiter) bool { return w.callRef == c })
}

// request builds the request that the router runs for the claim.
func (cl *claim) request(id cassiatally.CallID) cassiatally.Request {
	c := cl.call
	if c == nil {
		// Claims of an earlier holder carry no call. They are submitted only when a
		// mechanism is switched off in a test.
		c = &cassiatally.Call{}
	}
	return cassiatally.Request{
		ID: id, Root: c.Root, Service: c.Service, Work: c.Work, Tenant: c.Tenant,
		Policy: cassiatally.Policy{Rank: c.Rank}, Order: c.Order, Claimed: true, Deadline: cl.deadline,
		Retries: c.Retries, Depth: c.Depth, Attempt: c.Attempt, Body: c.Body,
	}
}

func (cl *claim) record() cassiatally.Claim {
	return cassiatally.Claim{Key: cl.key, Fingerprint: cl.fingerprint, State: cl.state, Answer: cl.answer}
}

// result returns the answer to a call whose claim is no longer pending.
func (cl *claim) result() cassiatally.Answer {
	switch {
	case cl.state == cassiatally.ClaimRan && cl.answer == nil:
		return failure(cassiatally.KindAnswerExpired, cassiatally.OutcomeRan, "the answer is no longer stored; the request was run and must not be sent again")
	case cl.state == cassiatally.ClaimVoid && cl.answer == nil:
		return failure(cassiatally.KindExpired, cassiatally.OutcomeNotRun, "the request was not run; mint a new key to try again")
	case cl.state == cassiatally.ClaimUnknown:
		return failure(cassiatally.KindOutcomeUnknown, cassiatally.OutcomeUnknown, "the outcome of the key cannot be told; do not send the work under a new key")
	default:
		return *cl.answer
	}
}

func failure(k cassiatally.ErrorKind, o cassiatally.Outcome, detail string) cassiatally.Answer {
	return cassiatally.Answer{Outcome: o, Kind: k, Detail: detail, Status: k.Spec().Status}
}

// running reports whether the request was submitted and has no outcome yet.
func (cl *claim) running() bool {
	return cl.submitted && cl.state == cassiatally.ClaimPending
}
