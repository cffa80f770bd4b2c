package router

import (
	"container/heap"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/faultswitch"
)

const expiredDetail = "the deadline passed before an answer came"

// Tick processes the timers that are due.
func (r *Router) Tick(now cassiatally.Instant) []cassiatally.Action {
	var actions []cassiatally.Action
	for len(r.wakes) > 0 && now.Reached(r.wakes[0].at) {
		w := heap.Pop(&r.wakes).(wake)
		if w.p.done {
			continue
		}
		actions = append(actions, r.wakeUp(now, w.p)...)
	}
	return actions
}

// NextWake returns when the next timer is due, if there is one.
func (r *Router) NextWake() (cassiatally.Instant, bool) {
	if len(r.wakes) == 0 {
		return 0, false
	}
	return r.wakes[0].at, true
}

func (r *Router) wakeUp(now cassiatally.Instant, p *pending) []cassiatally.Action {
	if now.Reached(p.req.Deadline.Add(answerGrace)) {
		return r.expire(now, p)
	}
	switch {
	case p.waiting && p.isClaim:
		return r.sendClaim(now, p)
	case p.waiting:
		p.waiting = false
		return r.sendRun(now, p)
	case p.querying:
		return r.queryRun(now, p)
	default:
		return nil
	}
}

func (r *Router) expire(now cassiatally.Instant, p *pending) []cassiatally.Action {
	answer := p.expiryAnswer()
	actions := p.cancelAttempts(cassiatally.Cancel{})
	r.finishAttempt(now, p, cassiatally.CallResult{Took: now.Sub(p.sentAt), Failed: true})
	return append(actions, r.deliver(now, p, answer)...)
}

// expiryAnswer is the answer to a request whose deadline passed without one.
func (p *pending) expiryAnswer() cassiatally.Answer {
	switch {
	case p.failure != nil && p.failure.Outcome == cassiatally.OutcomeRan:
		return *p.failure
	case len(p.silent) > 0:
		return unknownOutcome(cassiatally.KindExpired, expiredDetail)
	case p.target == "" && p.isClaim && p.req.Attempt != 1 && !faultswitch.Off(faultswitch.ClaimUnresolved):
		return unknownOutcome(cassiatally.KindUnavailable, "no holder of the key's shard is in reach; look the key up later")
	case p.target == "" && p.isClaim:
		return refusal(cassiatally.KindUnavailable, "no holder of the key's shard is in reach; send again later")
	case p.target == "":
		return refusal(cassiatally.KindUnreachable, "no node of a backend server could be reached")
	case p.isClaim || !p.req.Policy.Idempotent:
		return unknownOutcome(cassiatally.KindOutcomeUnknown, "the deadline passed before an answer came; look the key up")
	default:
		return unknownOutcome(cassiatally.KindExpired, expiredDetail)
	}
}

func (r *Router) scheduleWake(p *pending, at cassiatally.Instant) {
	heap.Push(&r.wakes, wake{at: at, p: p})
}

// wake is a timer of a pending request.
type wake struct {
	at cassiatally.Instant
	p  *pending
}

type wakeHeap []wake

func (h wakeHeap) Len() int           { return len(h) }
func (h wakeHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h wakeHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *wakeHeap) Push(x any)        { *h = append(*h, x.(wake)) }
func (h *wakeHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = wake{}
	*h = old[:len(old)-1]
	return last
}
