package router

import "github.com/cassiatally/cassiatally/cassiatally"

// Leave is called when the node begins to stop. The runs of its calls, also of later ones,
// are kept until their deadlines: it must not give up what an endpoint is working on.
func (r *Router) Leave() []cassiatally.Action {
	r.leaving = true
	var actions []cassiatally.Action
	for _, p := range r.pending {
		if !p.isClaim {
			actions = append(actions, p.cancelAttempts(cassiatally.Cancel{QueuedOnly: true, Keep: true})...)
		}
	}
	return actions
}

// Recall is called when the node is about to stop, while runs in flight may still end in
// time. Requests that wait at this node are refused, and those that were sent to an
// endpoint are withdrawn unless they have been started; the node beside the endpoint
// states which. From then on nothing is sent to an endpoint.
func (r *Router) Recall(now cassiatally.Instant) []cassiatally.Action {
	r.recalled = true
	var actions []cassiatally.Action
	for _, p := range r.pending {
		switch {
		case p.isClaim:
			// The holder of the key has the claim, whatever becomes of this node.
		case p.target == "":
			p.waiting = false
			actions = append(actions, p.cancelAttempts(cassiatally.Cancel{QueuedOnly: true})...)
			actions = append(actions, r.fail(now, p, p.stopAnswer())...)
		default:
			actions = append(actions, p.cancelAttempts(cassiatally.Cancel{QueuedOnly: true})...)
		}
	}
	return actions
}

// Stop answers all requests that are left, and cancels those of them that an endpoint may
// be running. Recall has to be called before.
func (r *Router) Stop(now cassiatally.Instant) []cassiatally.Action {
	var actions []cassiatally.Action
	for _, p := range r.pending {
		a := p.stopAnswer()
		if p.target != "" || len(p.silent) > 0 {
			a = unknownOutcome(cassiatally.KindOutcomeUnknown, "the node stopped before an answer came")
			actions = append(actions, p.cancelAttempts(cassiatally.Cancel{})...)
		}
		r.finishAttempt(now, p, cassiatally.CallResult{Took: now.Sub(p.sentAt)})
		actions = append(actions, r.deliver(now, p, a)...)
	}
	return actions
}

// stopAnswer is the answer to a request that the stopping node has not sent, or whose
// last send certainly did not arrive. Earlier copies of a re-sent claim may have run.
func (p *pending) stopAnswer() cassiatally.Answer {
	const detail = "the node stops; send again to another one"
	if p.isClaim && p.req.Attempt != 1 {
		return unknownOutcome(cassiatally.KindDraining, detail)
	}
	return refusal(cassiatally.KindDraining, detail)
}
