package router

import (
	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/faultswitch"
)

// HandleAnswer processes a node's answer to an attempt: it delivers the answer,
// retries or redirects the request, or drops an answer that matches no attempt.
func (r *Router) HandleAnswer(now cassiatally.Instant, from cassiatally.NodeID, a cassiatally.Answer) []cassiatally.Action {
	p, ok := r.attempts[a.ID]
	switch {
	case ok && a.ID != p.attempt:
		return r.handleSilentAnswer(now, from, p, a)
	case !ok || p.target != from:
		r.counts.LateAnswers++
		return nil
	}
	a, ok = r.checkAnswer(now, from, p, p.tag, a)
	if !ok {
		return nil
	}
	p.reclaimRetries(a)
	r.finishAttempt(now, p, cassiatally.CallResult{Took: now.Sub(p.sentAt), Failed: isEndpointFailure(a), Load: a.Endpoint})
	if a.Kind == cassiatally.KindNone {
		return r.succeed(now, p, a)
	}
	if p.isClaim {
		return r.handleClaimFailure(now, p, a)
	}
	return r.handleFailure(now, p, a)
}

// checkAnswer records what an answer to an attempt with the given tag states. It returns
// false for the answer to another call.
func (r *Router) checkAnswer(now cassiatally.Instant, from cassiatally.NodeID, p *pending, tag cassiatally.RequestTag, a cassiatally.Answer) (cassiatally.Answer, bool) {
	if a.Request != 0 && a.Request != tag && !faultswitch.Off(faultswitch.AnswerTag) {
		// The answer to this call may still arrive; without it the call ends at its deadline.
		r.counts.ForeignAnswers++
		return a, false
	}
	if sentWithBody(a) && cassiatally.DigestOf(a.Body) != a.Digest {
		r.counts.IncompleteAnswers++
		a = incompleteAnswer(a, p)
	}
	r.recordLoads(now, p, a)
	r.recordNotice(from, a)
	return a, true
}

// succeed delivers a successful answer and cancels the other attempts.
func (r *Router) succeed(now cassiatally.Instant, p *pending, a cassiatally.Answer) []cassiatally.Action {
	r.cfg.Budget.Succeeded(now, p.servicePair())
	actions := p.cancelAttempts(cassiatally.Cancel{})
	r.finishAttempt(now, p, cassiatally.CallResult{Took: now.Sub(p.sentAt)})
	return append(actions, r.deliver(now, p, a)...)
}

// sentWithBody reports whether the answer has a body or had one that was lost.
func sentWithBody(a cassiatally.Answer) bool {
	return len(a.Body) > 0 || a.Digest != cassiatally.Digest{}
}

func incompleteAnswer(a cassiatally.Answer, p *pending) cassiatally.Answer {
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

func (r *Router) recordLoads(now cassiatally.Instant, p *pending, a cassiatally.Answer) {
	if len(a.Loads) > 0 {
		r.cfg.Loads.RecordChain(now, p.req.Service, p.req.Work, a.Loads)
	}
}

// reclaimRetries takes back the delegated retries that the call did not spend.
func (p *pending) reclaimRetries(a cassiatally.Answer) {
	spent := min(a.RetriesSpent, p.retriesDelegated)
	p.retriesLeft += p.retriesDelegated - spent
	p.retriesSpent += spent
	p.retriesDelegated = 0
}

func (p *pending) servicePair() cassiatally.ServicePair {
	return cassiatally.ServicePair{From: p.req.Parent, To: p.req.Service}
}

// isEndpointFailure reports whether an answer counts against the endpoint's health.
// Refusals under load do not.
func isEndpointFailure(a cassiatally.Answer) bool {
	switch a.Kind {
	case cassiatally.KindUnreachable, cassiatally.KindOutcomeUnknown, cassiatally.KindIncompleteAnswer, cassiatally.KindBackendRefused:
		return true
	case cassiatally.KindBackendFailed:
		return a.OwnFailure
	default:
		return false
	}
}

// handleClaimFailure handles a failed answer to a claim. A claim that reached a node
// which no longer holds the shard is sent again after claimRetryInterval, to the
// holder by the shard table of that time.
func (r *Router) handleClaimFailure(now cassiatally.Instant, p *pending, a cassiatally.Answer) []cassiatally.Action {
	if a.Kind == cassiatally.KindUnavailable && now.Add(claimRetryInterval).Before(p.req.Deadline) {
		if a.Outcome != cassiatally.OutcomeNotRun {
			p.markResent()
		}
		return r.deferClaim(now, p)
	}
	return r.deliver(now, p, a)
}

func (r *Router) handleFailure(now cassiatally.Instant, p *pending, a cassiatally.Answer) []cassiatally.Action {
	if a.Outcome != cassiatally.OutcomeNotRun {
		p.mayHaveRun = true
		p.sends++
	}
	p.endpointLost = p.endpointLost || isEndpointLoss(a.Kind)
	if r.recalled {
		return r.fail(now, p, a)
	}
	if a.RetryGranted && a.Outcome == cassiatally.OutcomeNotRun && p.grants < maxGrants && now.Before(p.req.Deadline) {
		return r.resendGranted(now, p, a.Endpoint.Node)
	}
	if (!r.mayRetry(p, a) && !r.mayRedirect(p, a)) || now.Reached(p.req.Deadline) {
		return r.fail(now, p, a)
	}
	if r.mayRedirect(p, a) {
		p.avoid = append(p.avoid, a.Endpoint.Node)
		return r.redirect(now, p)
	}
	if !r.spendRetry(now, p) {
		return r.fail(now, p, a)
	}
	p.avoid = append(p.avoid, a.Endpoint.Node)
	return r.sendRun(now, p)
}

// resendGranted sends a call that an endpoint refused once more, preferably to another
// one, without a retry of the request or of the budget.
func (r *Router) resendGranted(now cassiatally.Instant, p *pending, refusedBy cassiatally.NodeID) []cassiatally.Action {
	p.grants++
	p.sendKind = cassiatally.SendGranted
	p.avoid = append(p.avoid, refusedBy)
	r.counts.Granted++
	return r.sendRun(now, p)
}

// mayRedirect reports whether a call that was not run may be sent to another endpoint
// without a retry. A call refused under load is redirected at most LoadRedirects times:
// endpoints differ in speed and queue, but when two have no room, most have none.
func (r *Router) mayRedirect(p *pending, a cassiatally.Answer) bool {
	if a.Outcome != cassiatally.OutcomeNotRun {
		return false
	}
	switch a.Kind {
	case cassiatally.KindDraining:
		return p.redirects < maxRedirects
	case cassiatally.KindOverloaded, cassiatally.KindExpired:
		return p.redirects < r.maxLoadRedirects(a)
	default:
		return false
	}
}

// maxLoadRedirects returns the bound of the redirects away from endpoints that refuse
// calls under load. That an endpoint has used up the rate that it states says nothing
// about the room at the others.
func (r *Router) maxLoadRedirects(a cassiatally.Answer) int {
	if a.Notice != nil && a.Notice.RateLimited {
		return max(r.cfg.LoadRedirects, maxRedirects)
	}
	return r.cfg.LoadRedirects
}

// redirect sends a call that was not run to another endpoint.
func (r *Router) redirect(now cassiatally.Instant, p *pending) []cassiatally.Action {
	p.redirects++
	r.counts.Redirects++
	return r.sendRun(now, p)
}

// deferRun delays a call while its only remaining endpoint is being dialled, or its
// service is being discovered.
func (r *Router) deferRun(now cassiatally.Instant, p *pending) []cassiatally.Action {
	p.deferrals++
	p.waiting = true
	p.avoid = nil
	r.scheduleWake(p, now.Add(deferralInterval))
	return nil
}

// mayRetry reports whether another endpoint may run the request. A non-idempotent
// request may be retried only when it is certain that it was not run.
func (r *Router) mayRetry(p *pending, a cassiatally.Answer) bool {
	if a.Outcome == cassiatally.OutcomeNotRun {
		return a.Kind.Spec().Retryable && !r.needsGrant(p, a.Kind)
	}
	if !p.req.Policy.Idempotent {
		return false
	}
	return isEndpointLoss(a.Kind) || a.OwnFailure
}

// needsGrant reports whether a refused call may only be sent once more when the node
// beside an endpoint grants it, since most endpoints of the service refuse calls.
func (r *Router) needsGrant(p *pending, kind cassiatally.ErrorKind) bool {
	return r.cfg.Granted && kind == cassiatally.KindBackendRefused && r.cfg.Balancer.FailureRate(p.req.Service) >= refusingRate
}

// isEndpointLoss reports whether a call with this kind of error failed because its
// endpoint, the node of the endpoint or the connection was lost.
func isEndpointLoss(k cassiatally.ErrorKind) bool {
	switch k {
	case cassiatally.KindOutcomeUnknown, cassiatally.KindIncompleteAnswer, cassiatally.KindUnreachable:
		return true
	default:
		return false
	}
}

func (r *Router) spendRetry(now cassiatally.Instant, p *pending) bool {
	if p.retriesLeft == 0 || !r.hasSendsLeft(p, 0) || !r.takeBudgetToken(now, p) {
		r.counts.RetriesDenied++
		return false
	}
	p.retriesLeft--
	p.retriesSpent++
	p.sendKind = cassiatally.SendRetry
	r.counts.Retries++
	return true
}

// hasSendsLeft reports whether the request may be sent to one more endpoint. inFlight
// is the number of endpoints that have it now and are not yet in sends.
func (r *Router) hasSendsLeft(p *pending, inFlight int) bool {
	return p.req.Sends <= 0 || p.sends+inFlight < p.req.Sends
}

// takeBudgetToken takes a token from the retry budget of the service pair. A request
// that lost an endpoint keeps its right to the allowance for lost requests also when a
// later endpoint refuses it.
func (r *Router) takeBudgetToken(now cassiatally.Instant, p *pending) bool {
	if p.endpointLost && r.cfg.Budget.TakeLostRetry(now, p.servicePair()) {
		return true
	}
	return r.cfg.Budget.TakeRetry(now, p.servicePair(), p.req.Policy.Rank, r.cfg.Loads.Level(now, p.req.Service, p.req.Policy.Rank))
}

// LinkOpened records that a link to a node was opened. Calls that were sent before may
// have gone to an earlier incarnation of the node, of which a later one knows nothing.
func (r *Router) LinkOpened(peer cassiatally.NodeRef) { r.incarnations[peer.Node] = peer.Incarnation }

// LinkLost handles the loss of the link to a node. Idempotent calls are retried
// within the retry budget, claims are sent again, and for all other calls the outcome
// is queried.
func (r *Router) LinkLost(now cassiatally.Instant, peer cassiatally.NodeRef) []cassiatally.Action {
	actions := r.dropSilentAttempts(now, peer.Node)
	for _, p := range r.attemptsTo(peer.Node) {
		actions = append(actions, r.handleLostAttempt(now, p)...)
	}
	return actions
}

func (r *Router) attemptsTo(n cassiatally.NodeID) []*pending {
	var out []*pending
	for id, p := range r.attempts {
		if id == p.attempt && p.target == n && !p.querying {
			out = append(out, p)
		}
	}
	return out
}

func (r *Router) handleLostAttempt(now cassiatally.Instant, p *pending) []cassiatally.Action {
	switch {
	case p.isClaim:
		r.finishAttempt(now, p, cassiatally.CallResult{Failed: true})
		// The holder may have delegated the retries further; they count as spent.
		p.retriesSpent += p.retriesDelegated
		p.retriesDelegated = 0
		p.markResent()
		return r.deferClaim(now, p)
	case p.req.Policy.Idempotent:
		target := p.target
		p.retriesSpent += p.retriesDelegated
		p.retriesDelegated = 0
		r.finishAttempt(now, p, cassiatally.CallResult{Took: now.Sub(p.sentAt), Failed: true, Unreachable: true})
		a := unknownOutcome(cassiatally.KindOutcomeUnknown, "the connection to the backend server's node was lost")
		a.Endpoint.Node = target
		return r.handleFailure(now, p, a)
	case faultswitch.Off(faultswitch.RunQuery):
		r.finishAttempt(now, p, cassiatally.CallResult{Took: now.Sub(p.sentAt), Failed: true})
		return r.deliver(now, p, refusal(cassiatally.KindUnreachable, "the connection to the node was lost"))
	default:
		p.querying = true
		return r.queryRun(now, p)
	}
}

// markResent records that an earlier copy of the claim may have arrived: the attempt
// number then no longer shows that this is the only copy.
func (p *pending) markResent() { p.req.Attempt = max(p.req.Attempt, 1) + 1 }

// queryRun queries the outcome of a call at the node that it was sent to.
func (r *Router) queryRun(now cassiatally.Instant, p *pending) []cassiatally.Action {
	r.counts.OutcomeQueries++
	r.scheduleWake(p, now.Add(queryInterval))
	return []cassiatally.Action{cassiatally.Send{
		To:      p.target,
		Message: cassiatally.RunQuery{ID: p.attempt, Target: p.sentTo, Request: p.tag},
	}}
}

// SendFailed handles a message that was certainly not delivered.
func (r *Router) SendFailed(now cassiatally.Instant, to cassiatally.NodeID, m cassiatally.Message) []cassiatally.Action {
	call, ok := m.(cassiatally.Call)
	if !ok {
		return nil
	}
	p, ok := r.attempts[call.ID]
	if ok && call.ID != p.attempt {
		return r.dropSilentAttempt(now, p, call.ID)
	}
	if !ok || p.target != to || p.querying {
		return nil
	}
	p.retriesLeft += p.retriesDelegated
	p.retriesDelegated = 0
	r.finishAttempt(now, p, cassiatally.CallResult{Took: now.Sub(p.sentAt), Failed: true, Unreachable: true})
	if p.isClaim {
		return r.deferClaim(now, p)
	}
	if r.recalled {
		return r.fail(now, p, p.stopAnswer())
	}
	p.avoid = append(p.avoid, to)
	switch _, other := r.cfg.Balancer.Choose(now, p.req.Service, p.avoid); {
	case now.Reached(p.req.Deadline):
	case other && p.redirects < maxRedirects:
		return r.redirect(now, p)
	case !other && p.deferrals < maxDeferrals:
		return r.deferRun(now, p)
	}
	a := refusal(cassiatally.KindUnreachable, "the node of the backend server cannot be reached")
	a.Endpoint.Node = to
	return r.handleFailure(now, p, a)
}
