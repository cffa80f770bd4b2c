package router

import (
	"slices"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// silentAttempt is an attempt at a node whose link was silent, so that the request was sent
// to another endpoint as well.
type silentAttempt struct {
	id     cassiatally.CallID
	tag    cassiatally.RequestTag
	target cassiatally.NodeID
}

// LinkSilent handles a node that sends nothing on an open link. Idempotent calls that
// were sent there are also sent to another endpoint if the retry budget allows it. All of
// them keep waiting: one lost packet makes a link silent, and its endpoint is at work.
func (r *Router) LinkSilent(now cassiatally.Instant, peer cassiatally.NodeRef) []cassiatally.Action {
	r.cfg.Balancer.MarkSilent(now, peer.Node)
	if r.recalled {
		return nil
	}
	var actions []cassiatally.Action
	for _, p := range r.attemptsTo(peer.Node) {
		if !p.isClaim && p.req.Policy.Idempotent && r.hasSendsLeft(p, 1) && r.hasOtherEndpoint(now, p) && r.spendRetry(now, p) {
			actions = append(actions, r.resendFromSilent(now, p)...)
		}
	}
	return actions
}

// hasOtherEndpoint reports whether there is an endpoint that the request was not sent
// to.
func (r *Router) hasOtherEndpoint(now cassiatally.Instant, p *pending) bool {
	_, ok := r.cfg.Balancer.Choose(now, p.req.Service, append(slices.Clone(p.avoid), p.target))
	return ok
}

// resendFromSilent sends a call to another endpoint as well. The silent one may be at work,
// and its answer still counts.
func (r *Router) resendFromSilent(now cassiatally.Instant, p *pending) []cassiatally.Action {
	s := silentAttempt{id: p.attempt, tag: p.tag, target: p.target}
	p.retriesSpent += p.retriesDelegated
	p.retriesDelegated = 0
	p.mayHaveRun = true
	p.sends++
	p.endpointLost = true
	p.avoid = append(p.avoid, s.target)
	r.finishAttempt(now, p, cassiatally.CallResult{Took: now.Sub(p.sentAt), Failed: true, Unreachable: true})
	p.attempt = cassiatally.CallID{}
	p.silent = append(p.silent, s)
	r.attempts[s.id] = p
	return r.sendRun(now, p)
}

// handleSilentAnswer processes the answer to an attempt after the request was sent to
// another endpoint as well.
func (r *Router) handleSilentAnswer(now cassiatally.Instant, from cassiatally.NodeID, p *pending, a cassiatally.Answer) []cassiatally.Action {
	i := slices.IndexFunc(p.silent, func(s silentAttempt) bool { return s.id == a.ID && s.target == from })
	if i < 0 {
		r.counts.LateAnswers++
		return nil
	}
	a, ok := r.checkAnswer(now, from, p, p.silent[i].tag, a)
	if !ok {
		return nil
	}
	if a.Kind != cassiatally.KindNone {
		p.recordFailure(a)
		return r.dropSilentAttempt(now, p, a.ID)
	}
	r.removeSilentAttempt(p, a.ID)
	return r.succeed(now, p, a)
}

func (r *Router) removeSilentAttempt(p *pending, id cassiatally.CallID) {
	delete(r.attempts, id)
	p.silent = slices.DeleteFunc(p.silent, func(s silentAttempt) bool { return s.id == id })
}

// dropSilentAttempt handles a silent attempt that cannot succeed any more.
func (r *Router) dropSilentAttempt(now cassiatally.Instant, p *pending, id cassiatally.CallID) []cassiatally.Action {
	r.removeSilentAttempt(p, id)
	return r.failUnlessAwaited(now, p)
}

// dropSilentAttempts drops the silent attempts at a node whose link was lost.
func (r *Router) dropSilentAttempts(now cassiatally.Instant, n cassiatally.NodeID) []cassiatally.Action {
	var actions []cassiatally.Action
	for id, p := range r.attempts {
		if slices.ContainsFunc(p.silent, func(s silentAttempt) bool { return s.id == id && s.target == n }) {
			actions = append(actions, r.dropSilentAttempt(now, p, id)...)
		}
	}
	return actions
}

// fail delivers a failed answer, unless a silent attempt may still be answered.
func (r *Router) fail(now cassiatally.Instant, p *pending, a cassiatally.Answer) []cassiatally.Action {
	p.recordFailure(a)
	return r.failUnlessAwaited(now, p)
}

// recordFailure keeps the failed answer to deliver. That of an endpoint tells the caller
// more than one of a node.
func (p *pending) recordFailure(a cassiatally.Answer) {
	if p.failure == nil || p.failure.Outcome != cassiatally.OutcomeRan {
		p.failure = &a
	}
}

// failUnlessAwaited delivers the failed answer if no attempt is awaited or about to be
// sent.
func (r *Router) failUnlessAwaited(now cassiatally.Instant, p *pending) []cassiatally.Action {
	if p.target != "" || p.waiting || len(p.silent) > 0 || p.failure == nil {
		return nil
	}
	return r.deliver(now, p, *p.failure)
}
