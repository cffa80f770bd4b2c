package runner

import (
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// maxChildren bounds the onward calls of one run.
const maxChildren = 256

// ChildCall is an onward call as the backend server makes it.
type ChildCall struct {
	// Waiter identifies who waits for the answer on this node.
	Waiter cassiatally.CallID
	// Parent is the run that makes the call. When it is zero, ParentName names it by
	// its caller's id.
	Parent     cassiatally.CallID
	ParentName cassiatally.RequestName
	// Onward is set instead of Service and Work when a front end has prepared the
	// request. It is then a call of its own kind of work, which the application may
	// repeat as it likes.
	Onward  *cassiatally.Request
	Service cassiatally.Service
	Work    cassiatally.WorkKind
	// Name tells two calls of one parent apart; empty means by body.
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
	id      cassiatally.CallID
	waiters []cassiatally.CallID
	granted cassiatally.RetryCount
	// answer is kept for non-idempotent calls, so that a repetition by the backend
	// server gets the first result.
	answer *cassiatally.Answer
}

type childRef struct {
	parent cassiatally.CallID
	key    childKey
	// made is the key of the call as the backend server made it.
	made childKey
}

// madeState tells what is known of the latest of several equal onward calls.
type madeState uint8

const (
	madeNone madeState = iota
	madeInFlight
	madeFailed
)

// children are the onward calls of one run.
type children struct {
	known map[childKey]*child
	// made has the idempotent calls that have not succeeded.
	made        map[childKey]madeState
	outstanding int
	// failed is set once an onward call was not answered with a success.
	failed bool
	since  cassiatally.Instant
	waited time.Duration
	left   cassiatally.RetryCount
	spent  cassiatally.RetryCount
	loads  []cassiatally.ServiceLoad
}

func (c *children) begin(now cassiatally.Instant) {
	if c.outstanding == 0 {
		c.since = now
	}
	c.outstanding++
}

func (c *children) end(now cassiatally.Instant) {
	c.outstanding--
	if c.outstanding == 0 {
		c.waited += now.Sub(c.since)
	}
}

func (c *children) selfTime(started, now cassiatally.Instant) time.Duration {
	waited := c.waited
	if c.outstanding > 0 {
		waited += now.Sub(c.since)
	}
	return now.Sub(started) - waited
}

// grant hands half of the remaining retries, rounded up, to a child. What the
// child does not spend comes back with its answer.
func (c *children) grant() cassiatally.RetryCount {
	g := (c.left + 1) / 2
	c.left -= g
	return g
}

// BeginChild takes an onward call of a run in flight. It submits the call, joins
// it to an equal one, or delivers a refusal to the waiter.
func (r *Runner) BeginChild(now cassiatally.Instant, c ChildCall) []cassiatally.Action {
	if c.Parent == (cassiatally.CallID{}) {
		c.Parent = r.named[c.ParentName]
	}
	parent, ok := r.records[c.Parent]
	if !ok || parent.phase != phaseRunning {
		return deliverRefusal(c.Waiter, cassiatally.KindUnknownParent, "no run with this token is in flight on this host")
	}
	if kind, detail := childRefusal(parent, c); kind != cassiatally.KindNone {
		return deliverRefusal(c.Waiter, kind, detail)
	}
	key := childKeyOf(c)
	if known, ok := parent.children.known[key]; ok && !c.Idempotent {
		return joinChild(known, c.Waiter)
	}
	if parent.children.repeats(key, c) && !parent.children.takeRetry() {
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
	case len(parent.children.known) >= maxChildren:
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

// repeats reports whether an idempotent call is a retry by the backend server.
// Equal calls without a name may be in flight side by side, but one that follows
// a failure is a retry.
func (c *children) repeats(key childKey, call ChildCall) bool {
	if !call.Idempotent {
		return false
	}
	switch c.made[key] {
	case madeFailed:
		return true
	case madeInFlight:
		return call.Name != ""
	default:
		return false
	}
}

// takeRetry spends a retry of the root request. Retries by backend servers
// multiply along the chain unless they come out of the same budget as those of
// the nodes.
func (c *children) takeRetry() bool {
	if c.left == 0 {
		return false
	}
	c.left--
	c.spent++
	return true
}

func (c *children) settle(made childKey, a cassiatally.Answer) {
	switch {
	case c.made[made] == madeNone:
	case a.Kind == cassiatally.KindNone:
		delete(c.made, made)
	default:
		c.made[made] = madeFailed
	}
}

func joinChild(known *child, waiter cassiatally.CallID) []cassiatally.Action {
	if known.answer != nil {
		return []cassiatally.Action{cassiatally.Deliver{Call: waiter, Answer: *known.answer}}
	}
	known.waiters = append(known.waiters, waiter)
	return nil
}

func (r *Runner) submitChild(now cassiatally.Instant, parent *record, key childKey, c ChildCall) []cassiatally.Action {
	id := r.nextID()
	granted := parent.children.grant()
	if parent.children.known == nil {
		parent.children.known = make(map[childKey]*child)
		parent.children.made = make(map[childKey]madeState)
	}
	made := key
	if c.Idempotent {
		parent.children.made[made] = madeInFlight
		// Each idempotent call is tracked on its own, also when two are equal.
		key.name = id.String()
	}
	parent.children.known[key] = &child{id: id, waiters: []cassiatally.CallID{c.Waiter}, granted: granted}
	parent.children.begin(now)
	r.progress(now)
	r.childRuns[id] = childRef{parent: c.Parent, key: key, made: made}
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
		Attempt:  c.Attempt,
		Parent:   parent.call.Service,
		Body:     c.Body,
	}
	if c.Onward != nil {
		req.ApplyPrepared(c.Onward)
	}
	return []cassiatally.Action{cassiatally.Submit{Request: req}}
}

// ChildAnswered takes the answer of an onward call.
func (r *Runner) ChildAnswered(now cassiatally.Instant, id cassiatally.CallID, a cassiatally.Answer) []cassiatally.Action {
	ref, ok := r.childRuns[id]
	if !ok {
		return nil
	}
	delete(r.childRuns, id)
	parent, ok := r.records[ref.parent]
	if !ok || parent.phase != phaseRunning {
		return nil
	}
	known := parent.children.known[ref.key]
	parent.children.end(now)
	parent.children.settle(ref.made, a)
	parent.children.failed = parent.children.failed || a.Kind != cassiatally.KindNone
	spent := min(a.RetriesSpent, known.granted)
	parent.children.left += known.granted - spent
	parent.children.spent += spent
	parent.children.loads = mergeLoads(parent.children.loads, a.Loads)
	actions := make([]cassiatally.Action, 0, len(known.waiters))
	for _, w := range known.waiters {
		actions = append(actions, cassiatally.Deliver{Call: w, Answer: a})
	}
	known.waiters = nil
	known.answer = &a
	return actions
}

// AbandonChild withdraws an onward call for which the backend server does not wait
// any more.
func (r *Runner) AbandonChild(now cassiatally.Instant, waiter cassiatally.CallID) []cassiatally.Action {
	for id, ref := range r.childRuns {
		parent := r.records[ref.parent]
		if parent == nil {
			continue
		}
		c := parent.children.known[ref.key]
		if c == nil || len(c.waiters) != 1 || c.waiters[0] != waiter {
			continue
		}
		delete(r.childRuns, id)
		c.waiters = nil
		parent.children.end(now)
		return []cassiatally.Action{cassiatally.Withdraw{Call: id}}
	}
	return nil
}

// abandonChildren withdraws the onward calls of a parent that has ended.
func (r *Runner) abandonChildren(parent *record) []cassiatally.Action {
	var actions []cassiatally.Action
	for _, c := range parent.children.known {
		if len(c.waiters) == 0 {
			continue
		}
		delete(r.childRuns, c.id)
		actions = append(actions, cassiatally.Withdraw{Call: c.id})
		for _, w := range c.waiters {
			actions = append(actions, cassiatally.Deliver{
				Call:   w,
				Answer: unknown(w, cassiatally.KindCancelled, "the parent run ended"),
			})
		}
	}
	return actions
}

func deliverRefusal(waiter cassiatally.CallID, kind cassiatally.ErrorKind, detail string) []cassiatally.Action {
	return []cassiatally.Action{cassiatally.Deliver{Call: waiter, Answer: notRun(waiter, kind, detail)}}
}

// mergeLoads adds the levels of further services. For a service that both know,
// the weighted mean stands for its endpoints.
func mergeLoads(base, more []cassiatally.ServiceLoad) []cassiatally.ServiceLoad {
	out := append([]cassiatally.ServiceLoad(nil), base...)
	for _, m := range more {
		if at := indexOf(out, m.Service); at >= 0 {
			out[at] = blend(out[at], m)
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

func blend(a, b cassiatally.ServiceLoad) cassiatally.ServiceLoad {
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

// levelAt returns the level of a rank, which is 1 when it is left out.
func levelAt(l cassiatally.ServiceLoad, rank int) float64 {
	if rank >= len(l.Levels) {
		return 1
	}
	return float64(l.Levels[rank])
}
