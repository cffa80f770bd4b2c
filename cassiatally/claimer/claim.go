package claimer

import (
	"slices"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// caller names a call of a node.
type caller struct {
	entry cassiatally.NodeID
	call  cassiatally.CallID
}

// waiter is a call that waits for the outcome of a key.
type waiter struct {
	caller
	tag cassiatally.RequestTag
}

// claim is what this node knows about a key.
type claim struct {
	key         cassiatally.Key
	epoch       cassiatally.Epoch
	fingerprint cassiatally.Fingerprint
	state       cassiatally.ClaimState
	answer      *cassiatally.Answer
	// need is the sequence number that the standby has to acknowledge before the
	// state is safe to act upon.
	need uint64
	// submitted is set once and for all when the request goes out to be run.
	submitted bool
	// orphaned tells that the shard passed to another holder during the run.
	orphaned bool
	// call is kept until the request is submitted or void.
	call     *cassiatally.Call
	deadline cassiatally.Instant
	// waitUntil is when the last waiting call is answered in any case.
	waitUntil cassiatally.Instant
	waiters   []waiter
}

// addWaiter adds a call that waits until the given time. It returns false when
// there are too many.
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

func (cl *claim) removeWaiter(c caller) {
	cl.waiters = slices.DeleteFunc(cl.waiters, func(w waiter) bool { return w.caller == c })
}

// request is what the router has to run for the claim.
func (cl *claim) request(id cassiatally.CallID) cassiatally.Request {
	c := cl.call
	if c == nil {
		// Only a switched off mechanism submits a claim of an earlier holder.
		c = &cassiatally.Call{}
	}
	return cassiatally.Request{
		ID: id, Root: c.Root, Service: c.Service, Work: c.Work, Tenant: c.Tenant,
		Policy: cassiatally.Policy{Rank: c.Rank}, Order: c.Order, Deadline: cl.deadline,
		Retries: c.Retries, Depth: c.Depth, Attempt: c.Attempt, Body: c.Body,
	}
}

func (cl *claim) record() cassiatally.Claim {
	return cassiatally.Claim{Key: cl.key, Fingerprint: cl.fingerprint, State: cl.state, Answer: cl.answer}
}

// result is the answer to a call for a finished key.
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

// running reports whether the request is submitted and not finished.
func (cl *claim) running() bool {
	return cl.submitted && cl.state == cassiatally.ClaimPending
}
