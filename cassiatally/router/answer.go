package router

import (
	"slices"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/faultswitch"
)

// HandleAnswer takes an answer from a node.
func (r *Router) HandleAnswer(now cassiatally.Instant, from cassiatally.NodeID, a cassiatally.Answer) []cassiatally.Action {
	p, ok := r.attempts[a.ID]
	if !ok || p.target != from {
		r.counts.LateAnswers++
		return nil
	}
	if a.Request != 0 && a.Request != p.tag && !faultswitch.Off(faultswitch.AnswerTag) {
		// The own answer may still come; without it the call ends at its deadline.
		r.counts.Foreign++
		return nil
	}
	if hasBody(a) && cassiatally.DigestOf(a.Body) != a.Digest {
		r.counts.Incomplete++
		a = incomplete(a, p)
	}
	r.learn(now, p, a)
	p.settle(a)
	r.finishAttempt(now, p, cassiatally.CallResult{Took: now.Sub(p.sentAt), Failed: failedAt(a), Load: a.Endpoint})
	if a.Kind == cassiatally.KindNone {
		r.cfg.Budget.Succeeded(now, p.pair())
		return r.deliver(now, p, a)
	}
	if p.claim {
		return r.claimAnswered(now, p, a)
	}
	return r.afterFailure(now, p, a)
}

// hasBody reports whether the answer has a body, or lost the one that it had.
func hasBody(a cassiatally.Answer) bool {
	return len(a.Body) > 0 || a.Digest != cassiatally.Digest{}
}

func incomplete(a cassiatally.Answer, p *pending) cassiatally.Answer {
	out := cassiatally.Answer{
		ID:       a.ID,
		Outcome:  a.Outcome,
		Kind:     cassiatally.KindIncompleteAnswer,
		Detail:   "the body does not match its digest",
		Endpoint: a.Endpoint,
		Loads:    a.Loads,
	}
	if p.req.Policy.Idempotent {
		out.Outcome = cassiatally.OutcomeUnknown
	}
	return out
}

func (r *Router) learn(now cassiatally.Instant, p *pending, a cassiatally.Answer) {
	if len(a.Loads) > 0 {
		r.cfg.Loads.Learn(now, p.req.Service, p.req.Work, a.Loads)
	}
}

// settle takes back the retries that the call below did not spend.
func (p *pending) settle(a cassiatally.Answer) {
	spent := min(a.RetriesSpent, p.given)
	p.left += p.given - spent
	p.spent += spent
	p.given = 0
}

func (p *pending) pair() cassiatally.ServicePair {
	return cassiatally.ServicePair{From: p.req.Parent, To: p.req.Service}
}

// failedAt reports whether an answer speaks against the endpoint's health.
// Refusals under load do not.
func failedAt(a cassiatally.Answer) bool {
	switch a.Kind {
	case cassiatally.KindUnreachable, cassiatally.KindOutcomeUnknown, cassiatally.KindIncompleteAnswer, cassiatally.KindBackendRefused:
		return true
	case cassiatally.KindBackendFailed:
		return a.OwnFailure
	default:
		return false
	}
}

// claimAnswered handles a failed answer of a holder. A node that does not hold
// the shard any more is asked again once the shard table has changed.
func (r *Router) claimAnswered(now cassiatally.Instant, p *pending, a cassiatally.Answer) []cassiatally.Action {
	if a.Kind == cassiatally.KindUnavailable && now.Add(claimRetryPause).Before(p.req.Deadline) {
		if a.Outcome != cassiatally.OutcomeNotRun {
			p.notFirst()
		}
		return r.holdClaim(now, p)
	}
	return r.deliver(now, p, a)
}

func (r *Router) afterFailure(now cassiatally.Instant, p *pending, a cassiatally.Answer) []cassiatally.Action {
	if a.Outcome != cassiatally.OutcomeNotRun {
		p.mayHaveRun = true
		p.sends++
	}
	p.lost = p.lost || lostEndpoint(a.Kind)
	if (!r.mayRepeat(p, a) && !r.mayRedirect(p, a)) || now.Reached(p.req.Deadline) {
		return r.deliver(now, p, a)
	}
	if r.mayRedirect(p, a) {
		p.avoid = append(p.avoid, a.Endpoint.Node)
		return r.redirect(now, p)
	}
	if !r.takeRetry(now, p) {
		return r.deliver(now, p, a)
	}
	p.avoid = append(p.avoid, a.Endpoint.Node)
	return r.sendRun(now, p)
}

// mayRedirect reports whether a call that ran nothing goes to another endpoint
// without a retry. One that was turned away for load does so once: endpoints differ
// in speed and queue, but when two have no room, most have none.
func (r *Router) mayRedirect(p *pending, a cassiatally.Answer) bool {
	if a.Outcome != cassiatally.OutcomeNotRun {
		return false
	}
	switch a.Kind {
	case cassiatally.KindDraining:
		return p.redirects < maxRedirects
	case cassiatally.KindOverloaded, cassiatally.KindExpired:
		return p.redirects < r.cfg.LoadRedirects
	default:
		return false
	}
}

// redirect sends a call that ran nothing to another endpoint.
func (r *Router) redirect(now cassiatally.Instant, p *pending) []cassiatally.Action {
	p.redirects++
	r.counts.Redirects++
	return r.sendRun(now, p)
}

// holdRun keeps a call for which the only endpoint left is being dialled.
func (r *Router) holdRun(now cassiatally.Instant, p *pending) []cassiatally.Action {
	p.holds++
	p.waiting = true
	p.avoid = nil
	r.scheduleWake(p, now.Add(holdPause))
	return nil
}

// mayRepeat reports whether the request may be run by another endpoint. A
// non-idempotent one may only when it is certain that it was not run.
func (r *Router) mayRepeat(p *pending, a cassiatally.Answer) bool {
	if a.Outcome == cassiatally.OutcomeNotRun {
		return a.Kind.Spec().Retryable
	}
	if !p.req.Policy.Idempotent {
		return false
	}
	return lostEndpoint(a.Kind) || a.OwnFailure
}

// lostEndpoint reports whether a call failed because its endpoint, the node beside
// it or the connection was lost.
func lostEndpoint(k cassiatally.ErrorKind) bool {
	switch k {
	case cassiatally.KindOutcomeUnknown, cassiatally.KindIncompleteAnswer, cassiatally.KindUnreachable:
		return true
	default:
		return false
	}
}

func (r *Router) takeRetry(now cassiatally.Instant, p *pending) bool {
	if p.left == 0 || !r.sendsLeft(p, 0) || !r.budgetAllows(now, p) {
		r.counts.RetriesDenied++
		return false
	}
	p.left--
	p.spent++
	r.counts.Retries++
	return true
}

// sendsLeft reports whether the request may be sent to one more endpoint, besides
// those that an attempt in flight counts for.
func (r *Router) sendsLeft(p *pending, inFlight int) bool {
	return p.req.Sends <= 0 || p.sends+inFlight < p.req.Sends
}

// budgetAllows takes a token of the service pair. A request that has lost an
// endpoint stays one that has when the next endpoint refuses it.
func (r *Router) budgetAllows(now cassiatally.Instant, p *pending) bool {
	if p.lost && r.cfg.Budget.TakeLost(now, p.pair()) {
		return true
	}
	return r.cfg.Budget.Take(now, p.pair(), p.req.Policy.Rank, r.cfg.Loads.Level(now, p.req.Service, p.req.Policy.Rank))
}

// LinkLost takes the loss of the link to a node. Idempotent calls are repeated
// within the retry budget, claims are sent again, and all other calls are asked
// about.
func (r *Router) LinkLost(now cassiatally.Instant, peer cassiatally.NodeRef) []cassiatally.Action {
	var actions []cassiatally.Action
	for _, p := range r.attemptsTo(peer.Node) {
		actions = append(actions, r.lost(now, p, peer)...)
	}
	return actions
}

// LinkSilent takes that nothing is heard of a node to which a link is open. Idempotent
// calls that were sent there go to another endpoint if the retry budget allows it;
// the others wait on, since an answer may still come.
func (r *Router) LinkSilent(now cassiatally.Instant, peer cassiatally.NodeRef) []cassiatally.Action {
	r.cfg.Balancer.Silent(now, peer.Node)
	var actions []cassiatally.Action
	for _, p := range r.attemptsTo(peer.Node) {
		if !p.claim && p.req.Policy.Idempotent && r.sendsLeft(p, 1) && r.hasOther(now, p) && r.takeRetry(now, p) {
			actions = append(actions, r.leaveSilent(now, p)...)
		}
	}
	return actions
}

// hasOther reports whether an endpoint is left that a call was not sent to.
func (r *Router) hasOther(now cassiatally.Instant, p *pending) bool {
	_, ok := r.cfg.Balancer.Choose(now, p.req.Service, append(slices.Clone(p.avoid), p.target))
	return ok
}

// leaveSilent sends a call to another endpoint than the silent one that has it.
func (r *Router) leaveSilent(now cassiatally.Instant, p *pending) []cassiatally.Action {
	silent, attempt := p.target, p.attempt
	p.spent += p.given
	p.given = 0
	p.mayHaveRun = true
	p.sends++
	p.lost = true
	p.avoid = append(p.avoid, silent)
	r.finishAttempt(now, p, cassiatally.CallResult{Took: now.Sub(p.sentAt), Failed: true, Unreached: true})
	cancel := cassiatally.Send{To: silent, Message: cassiatally.Cancel{ID: attempt}}
	return append(r.sendRun(now, p), cancel)
}

func (r *Router) attemptsTo(n cassiatally.NodeID) []*pending {
	var out []*pending
	for _, p := range r.attempts {
		if p.target == n && !p.querying {
			out = append(out, p)
		}
	}
	return out
}

func (r *Router) lost(now cassiatally.Instant, p *pending, peer cassiatally.NodeRef) []cassiatally.Action {
	switch {
	case p.claim:
		r.finishAttempt(now, p, cassiatally.CallResult{Failed: true})
		// The holder may have given the retries away; they count as spent.
		p.spent += p.given
		p.given = 0
		p.notFirst()
		return r.holdClaim(now, p)
	case p.req.Policy.Idempotent:
		target := p.target
		p.spent += p.given
		p.given = 0
		r.finishAttempt(now, p, cassiatally.CallResult{Took: now.Sub(p.sentAt), Failed: true, Unreached: true})
		a := unresolved(cassiatally.KindOutcomeUnknown, "the connection to the backend server's node was lost")
		a.Endpoint.Node = target
		return r.afterFailure(now, p, a)
	case faultswitch.Off(faultswitch.RunQuery):
		r.finishAttempt(now, p, cassiatally.CallResult{Took: now.Sub(p.sentAt), Failed: true})
		return r.deliver(now, p, refusal(cassiatally.KindUnreachable, "the connection to the node was lost"))
	default:
		p.querying = true
		p.lostAt = peer.Incarnation
		return r.query(now, p)
	}
}

// notFirst records that an earlier copy of the claim may have arrived, so that
// the attempt number no longer proves that no other copy exists.
func (p *pending) notFirst() { p.req.Attempt = max(p.req.Attempt, 1) + 1 }

// query asks the node that had the call what became of it.
func (r *Router) query(now cassiatally.Instant, p *pending) []cassiatally.Action {
	r.counts.Queries++
	r.scheduleWake(p, now.Add(queryPause))
	return []cassiatally.Action{cassiatally.Send{
		To:      p.target,
		Message: cassiatally.RunQuery{ID: p.attempt, Target: p.lostAt, Request: p.tag},
	}}
}

// SendFailed takes a message that was certainly not delivered.
func (r *Router) SendFailed(now cassiatally.Instant, to cassiatally.NodeID, m cassiatally.Message) []cassiatally.Action {
	call, ok := m.(cassiatally.Call)
	if !ok {
		return nil
	}
	p, ok := r.attempts[call.ID]
	if !ok || p.target != to || p.querying {
		return nil
	}
	p.left += p.given
	p.given = 0
	r.finishAttempt(now, p, cassiatally.CallResult{Took: now.Sub(p.sentAt), Failed: true, Unreached: true})
	if p.claim {
		return r.holdClaim(now, p)
	}
	p.avoid = append(p.avoid, to)
	switch _, other := r.cfg.Balancer.Choose(now, p.req.Service, p.avoid); {
	case now.Reached(p.req.Deadline):
	case other && p.redirects < maxRedirects:
		return r.redirect(now, p)
	case !other && p.holds < maxHolds:
		return r.holdRun(now, p)
	}
	a := refusal(cassiatally.KindUnreachable, "the node of the backend server cannot be reached")
	a.Endpoint.Node = to
	return r.afterFailure(now, p, a)
}
