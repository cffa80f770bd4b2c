package runner

import (
	"math"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// maxChildren bounds the onward calls of one run.
const maxChildren = 256

// ChildCall is an onward call as the backend server sends it.
type ChildCall struct {
	// Waiter identifies the local request that waits for the answer.
	Waiter cassiatally.CallID
	// Parent is the run that makes the call. When it is zero, ParentName identifies
	// the run by the id that its caller gave to the request.
	Parent     cassiatally.CallID
	ParentName cassiatally.RequestName
	// Onward is set instead of Service and Work when a front end has prepared the
	// request. Such a call has its own kind of work, so it may be non-idempotent even
	// when its parent is idempotent, and the application may repeat it.
	Onward  *cassiatally.Request
	Service cassiatally.Service
	Work    cassiatally.WorkKind
	// Name distinguishes calls of one parent; without it their bodies do.
	Name       string
	Key        cassiatally.Key
	Idempotent bool
	Remaining  time.Duration
	Attempt    uint16
	Body       []byte
}

type childKey struct {
	service cassiatally.Service
	work    cassiatally.WorkKind
	name    string
	body    cassiatally.Fingerprint
}

type child struct {
	id             cassiatally.CallID
	waiters        []cassiatally.CallID
	retriesGranted cassiatally.RetryCount
	// answer is kept for non-idempotent calls, so that a repetition by the backend
	// server gets the first result.
	answer *cassiatally.Answer
}

type childRef struct {
	parent cassiatally.CallID
	key    childKey
	// attemptKey is the key of the call before it was made unique.
	attemptKey childKey
}

// attemptState is the state of the latest of several equal onward calls.
type attemptState uint8

const (
	attemptNone attemptState = iota
	attemptInFlight
	attemptFailed
)

// children are the onward calls of one run.
type children struct {
	calls map[childKey]*child
	// attempts holds the idempotent calls that have not succeeded.
	attempts    map[childKey]attemptState
	outstanding int
	// anyFailed is set once an onward call has failed; completed counts those that have
	// not.
	anyFailed    bool
	completed    uint8
	waitingSince cassiatally.Instant
	waited       time.Duration
	retriesLeft  cassiatally.RetryCount
	retriesSpent cassiatally.RetryCount
	loads        []cassiatally.ServiceLoad
}

func (c *children) callStarted(now cassiatally.Instant) {
	if c.outstanding == 0 {
		c.waitingSince = now
	}
	c.outstanding++
}

func (c *children) callEnded(now cassiatally.Instant) {
	c.outstanding--
	if c.outstanding == 0 {
		c.waited += now.Sub(c.waitingSince)
	}
}

func (c *children) selfTime(started, now cassiatally.Instant) time.Duration {
	waited := c.waited
	if c.outstanding > 0 {
		waited += now.Sub(c.waitingSince)
	}
	return now.Sub(started) - waited
}

// grantRetries hands half of the remaining retries, rounded up, to a child. Those
// that the child does not spend are returned with its answer.
func (c *children) grantRetries() cassiatally.RetryCount {
	g := (c.retriesLeft + 1) / 2
	c.retriesLeft -= g
	return g
}

// BeginChild handles an onward call of a run in flight. It submits the call, joins
// it to an equal one, or delivers a refusal to the waiter.
func (r *Runner) BeginChild(now cassiatally.Instant, c ChildCall) []cassiatally.Action {
	if c.Parent == (cassiatally.CallID{}) {
		c.Parent = r.runsByName[c.ParentName]
	}
	parent, ok := r.records[c.Parent]
	if !ok || parent.phase != phaseRunning {
		return deliverRefusal(c.Waiter, cassiatally.KindUnknownParent, "no run with this token is in flight on this host")
	}
	if kind, detail := childRefusal(parent, c); kind != cassiatally.KindNone {
		return deliverRefusal(c.Waiter, kind, detail)
	}
	key := childKeyOf(c)
	if equal, ok := parent.children.calls[key]; ok && !c.Idempotent {
		return joinChild(equal, c.Waiter)
	}
	if parent.children.isRetry(key, c) && !parent.children.spendRetry() {
		return deliverRefusal(c.Waiter, cassiatally.KindRetryBudgetSpent, "the application sent the call again, and the root request has no retries left")
	}
	return r.submitChild(now, parent, key, c)
}

func childRefusal(parent *record, c ChildCall) (cassiatally.ErrorKind, string) {
	switch {
	case parent.call.Depth+1 >= cassiatally.MaxDepth:
		return cassiatally.KindBadRequest, "the call chain is too deep"
	case parent.cancelled:
		return cassiatally.KindCancelled, "the caller of the parent left"
	case !c.Idempotent && parent.call.Idempotent && c.Key == "" && c.Onward == nil:
		return cassiatally.KindParentIdempotent, "mark the parent's kind of work as non-idempotent in the sheet, or send a minted key"
	case len(parent.children.calls) >= maxChildren:
		return cassiatally.KindBadRequest, "the run makes too many onward calls"
	default:
		return cassiatally.KindNone, ""
	}
}

func childKeyOf(c ChildCall) childKey {
	return childKey{
		service: c.Service,
		work:    c.Work,
		name:    c.Name,
		body:    cassiatally.FingerprintOf(c.Service, c.Work, c.Body),
	}
}

// isRetry reports whether an idempotent call is a retry by the backend server.
// Equal calls without a name may be in flight at the same time, but one that
// follows a failure is a retry.
func (c *children) isRetry(key childKey, call ChildCall) bool {
	if !call.Idempotent {
		return false
	}
	switch c.attempts[key] {
	case attemptFailed:
		return true
	case attemptInFlight:
		return call.Name != ""
	default:
		return false
	}
}

// spendRetry spends a retry of the root request and reports whether one remained.
// Retries by backend servers multiply along the call chain unless they come out
// of the same budget as those of the nodes.
func (c *children) spendRetry() bool {
	if c.retriesLeft == 0 {
		return false
	}
	c.retriesLeft--
	c.retriesSpent++
	return true
}

func (c *children) recordAttempt(key childKey, a cassiatally.Answer) {
	switch {
	case c.attempts[key] == attemptNone:
	case a.Kind == cassiatally.KindNone:
		delete(c.attempts, key)
	default:
		c.attempts[key] = attemptFailed
	}
}

func joinChild(c *child, waiter cassiatally.CallID) []cassiatally.Action {
	if c.answer != nil {
		return []cassiatally.Action{cassiatally.Deliver{Call: waiter, Answer: *c.answer}}
	}
	c.waiters = append(c.waiters, waiter)
	return nil
}

func (r *Runner) submitChild(now cassiatally.Instant, parent *record, key childKey, c ChildCall) []cassiatally.Action {
	id := r.nextID()
	granted := parent.children.grantRetries()
	if parent.children.calls == nil {
		parent.children.calls = make(map[childKey]*child)
		parent.children.attempts = make(map[childKey]attemptState)
	}
	attemptKey := key
	if c.Idempotent {
		parent.children.attempts[attemptKey] = attemptInFlight
		// Each idempotent call is tracked separately, even when two are equal.
		key.name = id.String()
	}
	parent.children.calls[key] = &child{id: id, waiters: []cassiatally.CallID{c.Waiter}, retriesGranted: granted}
	parent.children.callStarted(now)
	r.recordProgress(now)
	r.childRefs[id] = childRef{parent: c.Parent, key: key, attemptKey: attemptKey}
	deadline := parent.deadline
	if c.Remaining > 0 && now.Add(c.Remaining).Before(deadline) {
		deadline = now.Add(c.Remaining)
	}
	req := cassiatally.Request{
		ID:      id,
		Root:    parent.call.Root,
		Service: c.Service,
		Work:    c.Work,
		Tenant:  parent.call.Tenant,
		// An onward call keeps the rank of its root, so that an admitted call tree
		// finishes whole.
		Policy:   cassiatally.Policy{Rank: parent.call.Rank, Idempotent: c.Idempotent},
		Order:    parent.call.Order,
		Key:      c.Key,
		Deadline: deadline,
		Retries:  granted,
		Depth:    parent.call.Depth + 1,
		Repeated: parent.call.Repeated,
		Progress: parent.children.completed,
		Attempt:  c.Attempt,
		Parent:   parent.call.Service,
		Body:     c.Body,
	}
	if c.Onward != nil {
		req.ApplyPrepared(c.Onward)
	}
	return []cassiatally.Action{cassiatally.Submit{Request: req}}
}

// ChildAnswered records the answer of an onward call and delivers it to all who
// wait for it.
func (r *Runner) ChildAnswered(now cassiatally.Instant, id cassiatally.CallID, a cassiatally.Answer) []cassiatally.Action {
	ref, ok := r.childRefs[id]
	if !ok {
		return nil
	}
	delete(r.childRefs, id)
	parent, ok := r.records[ref.parent]
	if !ok || parent.phase != phaseRunning {
		return nil
	}
	answered := parent.children.calls[ref.key]
	parent.children.callEnded(now)
	parent.children.recordAttempt(ref.attemptKey, a)
	if a.Kind != cassiatally.KindNone {
		parent.children.anyFailed = true
	} else if parent.children.completed < math.MaxUint8 {
		parent.children.completed++
	}
	spent := min(a.RetriesSpent, answered.retriesGranted)
	parent.children.retriesLeft += answered.retriesGranted - spent
	parent.children.retriesSpent += spent
	parent.children.loads = mergeLoads(parent.children.loads, a.Loads)
	actions := make([]cassiatally.Action, 0, len(answered.waiters))
	for _, w := range answered.waiters {
		actions = append(actions, cassiatally.Deliver{Call: w, Answer: a})
	}
	answered.waiters = nil
	answered.answer = &a
	return actions
}

// AbandonChild withdraws an onward call for which the backend server does not wait
// any more.
func (r *Runner) AbandonChild(now cassiatally.Instant, waiter cassiatally.CallID) []cassiatally.Action {
	for id, ref := range r.childRefs {
		parent := r.records[ref.parent]
		if parent == nil {
			continue
		}
		c := parent.children.calls[ref.key]
		if c == nil || len(c.waiters) != 1 || c.waiters[0] != waiter {
			continue
		}
		delete(r.childRefs, id)
		c.waiters = nil
		parent.children.callEnded(now)
		return []cassiatally.Action{cassiatally.Withdraw{Call: id}}
	}
	return nil
}

// abandonChildren withdraws the onward calls of a parent that has ended.
func (r *Runner) abandonChildren(parent *record) []cassiatally.Action {
	var actions []cassiatally.Action
	for _, c := range parent.children.calls {
		if len(c.waiters) == 0 {
			continue
		}
		delete(r.childRefs, c.id)
		actions = append(actions, cassiatally.Withdraw{Call: c.id})
		for _, w := range c.waiters {
			actions = append(actions, cassiatally.Deliver{
				Call:   w,
				Answer: unknownOutcome(w, cassiatally.KindCancelled, "the parent run ended"),
			})
		}
	}
	return actions
}

func deliverRefusal(waiter cassiatally.CallID, kind cassiatally.ErrorKind, detail string) []cassiatally.Action {
	return []cassiatally.Action{cassiatally.Deliver{Call: waiter, Answer: notRun(waiter, kind, detail)}}
}

// mergeLoads returns base with the loads of more added. A service that is in both
// gets the weighted mean of their levels.
func mergeLoads(base, more []cassiatally.ServiceLoad) []cassiatally.ServiceLoad {
	out := append([]cassiatally.ServiceLoad(nil), base...)
	for _, m := range more {
		if at := indexOf(out, m.Service); at >= 0 {
			out[at] = weightedMean(out[at], m)
			continue
		}
		out = append(out, m)
	}
	return out
}

func indexOf(loads []cassiatally.ServiceLoad, s cassiatally.Service) int {
	for i := range loads {
		if loads[i].Service == s {
			return i
		}
	}
	return -1
}

func weightedMean(a, b cassiatally.ServiceLoad) cassiatally.ServiceLoad {
	total := a.Weight + b.Weight
	if total <= 0 {
		return b
	}
	levels := make([]cassiatally.Level, max(len(a.Levels), len(b.Levels)))
	for i := range levels {
		levels[i] = cassiatally.Level((levelAt(a, i)*a.Weight + levelAt(b, i)*b.Weight) / total)
	}
	return cassiatally.ServiceLoad{Service: a.Service, Weight: total, Levels: levels}
}

// levelAt returns the level of a rank, which is 1 when it is omitted.
func levelAt(l cassiatally.ServiceLoad, rank int) float64 {
	if rank >= len(l.Levels) {
		return 1
	}
	return float64(l.Levels[rank])
}
