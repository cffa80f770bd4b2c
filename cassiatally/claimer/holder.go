package claimer

import (
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/faultswitch"
)

const (
	// maxWaiters bounds the calls that wait for one key.
	maxWaiters = 32
	// rotateAfter is how long a holder keeps an epoch before it starts a new one
	// to drop old claims.
	rotateAfter = 12 * time.Hour
	// claimsPerRotation starts a new epoch early, so that the claims of two
	// rotations stay within the memory of a node.
	claimsPerRotation = 1 << 14
	// maxClaims closes a shard that cannot rotate because the log is down. A claim
	// takes about 250 bytes at the holder and at the standby.
	maxClaims = 3 * claimsPerRotation
	// maxHeldBytes bounds the bodies of the calls whose claims are not recorded
	// yet, over all shards of the node.
	maxHeldBytes = 8 << 20
	// answerGrace is how long after its deadline a call still waits for a void to
	// be acknowledged before it is answered as unknown.
	answerGrace = time.Second
	// queryWait is how long a look-up waits for a void to be acknowledged. A
	// standby that is silent for so long is replaced.
	queryWait = replaceAfter
)

// HandleCall claims the key of a call, or joins the claim that exists.
func (c *Claimer) HandleCall(now cassiatally.Instant, from cassiatally.NodeID, call cassiatally.Call) []cassiatally.Action {
	w := waiter{caller{from, call.ID}, call.Tag()}
	s, parts, refusal := c.locate(call.Key)
	if refusal != nil {
		c.answer(w, *refusal)
		return c.take()
	}
	if call.Stage != cassiatally.StageClaim {
		c.answer(w, failure(cassiatally.KindProtocol, cassiatally.OutcomeUnknown, "the call does not ask for a claim"))
		return c.take()
	}
	if cl := s.claims[call.Key]; cl != nil {
		until := now.Add(call.Remaining + answerGrace)
		c.join(w, until, s, cl, cassiatally.FingerprintOf(call.Service, call.Work, call.Body))
		return c.take()
	}
	if c.closed(now, s) {
		c.answer(w, unavailable())
		return c.take()
	}
	cl := &claim{
		key:         call.Key,
		epoch:       parts.Epoch,
		fingerprint: cassiatally.FingerprintOf(call.Service, call.Work, call.Body),
		call:        &call,
		deadline:    now.Add(call.Remaining),
		waitUntil:   now.Add(call.Remaining + answerGrace),
		waiters:     []waiter{w},
	}
	c.heldBytes += len(call.Body)
	s.claims[cl.key] = cl
	s.minted++
	if call.Remaining <= 0 {
		c.voidExpired(now, cl)
	}
	c.update(now, s, cl)
	return c.take()
}

// HandleKeyQuery answers for the outcome of a key. A key that was never seen
// becomes void, so that a delayed copy of its request cannot run afterwards.
func (c *Claimer) HandleKeyQuery(now cassiatally.Instant, from cassiatally.NodeID, m cassiatally.KeyQuery) []cassiatally.Action {
	w := waiter{caller{from, m.ID}, m.Tag()}
	s, parts, refusal := c.locate(m.Key)
	if refusal != nil {
		c.answer(w, *refusal)
		return c.take()
	}
	cl := s.claims[m.Key]
	switch {
	case cl != nil && cl.state == cassiatally.ClaimPending:
		c.answer(w, failure(cassiatally.KindOutcomeUnknown, cassiatally.OutcomeUnknown, "the request is in flight; look the key up again"))
	case cl != nil:
		c.join(w, now.Add(queryWait), s, cl, cl.fingerprint)
	case c.closed(now, s):
		c.answer(w, unavailable())
	default:
		cl = &claim{key: m.Key, epoch: parts.Epoch, state: cassiatally.ClaimVoid}
		cl.addWaiter(w, now.Add(queryWait))
		s.claims[m.Key] = cl
		s.minted++
		c.update(now, s, cl)
	}
	return c.take()
}

// HandleCancel drops a waiting call. The claim itself goes on.
func (c *Claimer) HandleCancel(_ cassiatally.Instant, from cassiatally.NodeID, m cassiatally.Cancel) []cassiatally.Action {
	w := caller{from, m.ID}
	if cl := c.waiting[w]; cl != nil {
		cl.removeWaiter(w)
		delete(c.waiting, w)
	}
	return nil
}

// HandleClaimAck acts on the claims that the standby of the epoch in force has
// recorded.
func (c *Claimer) HandleClaimAck(now cassiatally.Instant, from cassiatally.NodeID, m cassiatally.ClaimAck) []cassiatally.Action {
	s := c.shard(m.Shard)
	if s == nil || s.role != roleHolder || !c.valid(s, from, m) {
		return nil
	}
	if m.Sealed {
		s.peerSealed = true
		return nil
	}
	for _, e := range s.outbox.ack(now, m.Seq) {
		for _, k := range e.keys {
			if cl := s.claims[k]; cl != nil {
				c.settle(now, s, cl)
			}
		}
	}
	c.pump(now, s)
	return c.take()
}

// valid reports whether an acknowledgement comes from the standby of the epoch
// in force.
func (c *Claimer) valid(s *shard, from cassiatally.NodeID, m cassiatally.ClaimAck) bool {
	if c.faults.anyEpochAcks {
		return m.From.Node == s.current.Standby.Node
	}
	return m.Epoch == s.current.Epoch && m.From == s.current.Standby && m.From.Node == from
}

// RunFinished records the answer to a Submit.
func (c *Claimer) RunFinished(now cassiatally.Instant, id cassiatally.CallID, a cassiatally.Answer) []cassiatally.Action {
	cl := c.runs[id]
	if cl == nil {
		return nil
	}
	delete(c.runs, id)
	if cl.orphaned {
		c.finishOrphan(cl, a)
		return c.take()
	}
	parts, _ := cassiatally.ParseKey(cl.key)
	s := c.shard(parts.Shard)
	c.finish(now, cl, a)
	if cl.state != cassiatally.ClaimVoid {
		c.release(cl, a)
	}
	c.update(now, s, cl)
	return c.take()
}

func (c *Claimer) finish(now cassiatally.Instant, cl *claim, a cassiatally.Answer) {
	switch a.Outcome {
	case cassiatally.OutcomeRan:
		cl.state = cassiatally.ClaimRan
		c.answers.put(now, cl, a)
	case cassiatally.OutcomeNotRun:
		cl.state = cassiatally.ClaimVoid
		c.answers.put(now, cl, a)
	default:
		cl.state = cassiatally.ClaimUnknown
	}
}

// finishOrphan answers for a run whose shard has another holder now. That holder
// tells every other caller that the outcome is unknown, so not_run is not said.
func (c *Claimer) finishOrphan(cl *claim, a cassiatally.Answer) {
	if a.Outcome != cassiatally.OutcomeRan {
		a = failure(cassiatally.KindOutcomeUnknown, cassiatally.OutcomeUnknown, "the shard passed to another holder during the run")
	}
	c.release(cl, a)
}

// locate finds the shard that answers for a key, or the reason why this node
// does not.
func (c *Claimer) locate(k cassiatally.Key) (*shard, cassiatally.KeyParts, *cassiatally.Answer) {
	parts, err := cassiatally.ParseKey(k)
	if err != nil {
		a := failure(cassiatally.KindKeyInvalid, cassiatally.OutcomeNotRun, err.Error())
		return nil, parts, &a
	}
	s := c.shard(parts.Shard)
	if s == nil || s.role != roleHolder || parts.Epoch > s.current.Epoch {
		a := unavailable()
		return nil, parts, &a
	}
	if parts.Epoch < s.completeFrom && !faultswitch.Off(faultswitch.CompleteFrom) {
		a := failure(cassiatally.KindKeyExpired, cassiatally.OutcomeUnknown, "the claims of the key's epoch are no longer known")
		return nil, parts, &a
	}
	return s, parts, nil
}

// join answers a further call for a known key, or lets it wait.
func (c *Claimer) join(w waiter, until cassiatally.Instant, s *shard, cl *claim, f cassiatally.Fingerprint) {
	if cl.fingerprint != 0 && cl.fingerprint != f {
		c.answer(w, c.conflict(s, cl))
		return
	}
	waits := cl.state == cassiatally.ClaimPending || (cl.state == cassiatally.ClaimVoid && !c.durable(s, cl))
	if !waits {
		c.answer(w, cl.result())
		return
	}
	if !cl.addWaiter(w, until) {
		c.answer(w, failure(cassiatally.KindUnavailable, cassiatally.OutcomeUnknown, "too many calls wait for the key; look it up later"))
		return
	}
	c.waiting[w.caller] = cl
}

// conflict refuses another request under a known key. Until the claim is
// recorded at the standby, a takeover may forget it and run the other request.
func (c *Claimer) conflict(s *shard, cl *claim) cassiatally.Answer {
	outcome := cassiatally.OutcomeUnknown
	if c.durable(s, cl) {
		outcome = cassiatally.OutcomeNotRun
	}
	return failure(cassiatally.KindKeyConflict, outcome, "the key belongs to another request; mint a new key")
}

// closed reports whether the shard takes no new claims.
func (c *Claimer) closed(now cassiatally.Instant, s *shard) bool {
	return c.draining || s.peerSealed || s.current.Standby.IsZero() ||
		s.outbox.stalled(now) || len(s.outbox.entries) >= maxOutbox ||
		len(s.claims) >= maxClaims || c.heldBytes >= maxHeldBytes
}

// durable reports whether the standby has recorded the state of the claim.
func (c *Claimer) durable(s *shard, cl *claim) bool {
	early := c.faults.skipAck || c.faults.earlyNotRun && cl.state == cassiatally.ClaimVoid
	return s.outbox.acked >= cl.need || early
}

// update has the standby record the state of a claim.
func (c *Claimer) update(now cassiatally.Instant, s *shard, cl *claim) {
	for _, w := range cl.waiters {
		c.waiting[w.caller] = cl
	}
	cl.need = s.outbox.add(now, outboxEntry{keys: []cassiatally.Key{cl.key}})
	c.pump(now, s)
	if c.durable(s, cl) {
		c.settle(now, s, cl)
	}
}

// settle acts on a claim whose state may have become durable.
func (c *Claimer) settle(now cassiatally.Instant, s *shard, cl *claim) {
	if !c.durable(s, cl) {
		return
	}
	switch {
	case cl.state == cassiatally.ClaimVoid:
		c.release(cl, cl.result())
	case cl.state != cassiatally.ClaimPending || cl.submitted:
	case now.Reached(cl.deadline):
		c.voidExpired(now, cl)
		c.update(now, s, cl)
	default:
		c.submit(cl)
	}
}

func (c *Claimer) submit(cl *claim) {
	c.seq++
	id := cassiatally.CallID{Origin: cassiatally.CallOriginOf(c.self), Seq: c.seq}
	c.runs[id] = cl
	c.out = append(c.out, cassiatally.Submit{Request: cl.request(id)})
	cl.submitted = true
	c.dropCall(cl)
}

func (c *Claimer) dropCall(cl *claim) {
	if cl.call != nil {
		c.heldBytes -= len(cl.call.Body)
		cl.call = nil
	}
}

func (c *Claimer) voidExpired(now cassiatally.Instant, cl *claim) {
	cl.state = cassiatally.ClaimVoid
	c.dropCall(cl)
	c.answers.put(now, cl, failure(cassiatally.KindExpired, cassiatally.OutcomeNotRun, "the deadline passed before the claim was acknowledged"))
}

// pump sends what is due to the standby.
func (c *Claimer) pump(now cassiatally.Instant, s *shard) {
	if s.current.Standby.IsZero() || s.peerSealed {
		return
	}
	for _, e := range s.outbox.due(now) {
		c.send(s.current.Standby.Node, c.message(s, e))
	}
}

func (c *Claimer) message(s *shard, e outboxEntry) cassiatally.Message {
	var claims []cassiatally.Claim
	for _, k := range e.keys {
		if cl := s.claims[k]; cl != nil {
			claims = append(claims, cl.record())
		}
	}
	if e.copied {
		return cassiatally.ClaimCopy{
			Shard: s.ref, Epoch: s.current.Epoch, From: c.self, Seq: e.seq,
			CompleteFrom: s.completeFrom, Claims: claims, Last: e.last,
		}
	}
	return cassiatally.ClaimUpdate{
		Shard: s.ref, Epoch: s.current.Epoch, From: c.self, Seq: e.seq, Claim: claims[0],
	}
}

// startCopy begins the sequence of the epoch with a copy of all claims.
func (c *Claimer) startCopy(now cassiatally.Instant, s *shard) {
	s.outbox = outbox{progressAt: now}
	var part []cassiatally.Key
	size := 0
	keys := s.keys()
	for _, k := range keys {
		if a := s.claims[k].answer; a != nil {
			size += len(a.Body)
		}
		part = append(part, k)
		if len(part) == copyKeys || size >= copyBytes {
			s.outbox.add(now, outboxEntry{keys: part, copied: true})
			part, size = nil, 0
		}
	}
	last := s.outbox.add(now, outboxEntry{keys: part, copied: true, last: true})
	for _, k := range keys {
		s.claims[k].need = last
	}
	c.pump(now, s)
}

// tickHolder sends again, expires claims, and proposes the next epoch when the
// standby is gone, a rotation is due, or the node leaves.
func (c *Claimer) tickHolder(now cassiatally.Instant, s *shard) {
	c.expireWaiting(now, s)
	c.pump(now, s)
	next := s.current
	next.Epoch++
	next.CompleteFrom = s.completeFrom
	standby, live := c.member(s.current.Standby)
	synced := len(s.outbox.entries) == 0 && !s.peerSealed
	switch {
	case c.trusts(now, s) && (!live || standby.Leaving || s.outbox.stalled(now)):
		next.Standby = c.standbyFor(s, c.self, s.current.Standby)
		if !next.Standby.IsZero() {
			c.propose(now, s, next)
		}
	case c.draining && synced && s.pending() == 0:
		next.Holder = s.current.Standby
		next.Standby = c.standbyFor(s, next.Holder, c.self)
		c.propose(now, s, next)
	case synced && (now.Reached(s.rotatedAt.Add(rotateAfter)) || s.minted >= claimsPerRotation):
		next.CompleteFrom = max(s.completeFrom, s.rotation)
		s.rotating = true
		c.propose(now, s, next)
	}
}

// expireWaiting voids claims that were not acknowledged before their deadline,
// and answers the calls for which even the void is not acknowledged in time.
func (c *Claimer) expireWaiting(now cassiatally.Instant, s *shard) {
	var expired []*claim
	for _, e := range s.outbox.entries {
		for _, k := range e.keys {
			if cl := s.claims[k]; cl != nil && !cl.running() {
				expired = append(expired, cl)
			}
		}
	}
	for _, cl := range expired {
		if now.Reached(cl.waitUntil) {
			c.release(cl, unavailable())
		}
		if cl.state == cassiatally.ClaimPending && now.Reached(cl.deadline) {
			c.voidExpired(now, cl)
			c.update(now, s, cl)
		}
	}
}

func unavailable() cassiatally.Answer {
	return failure(cassiatally.KindUnavailable, cassiatally.OutcomeUnknown, "the shard of the key takes no claims here now; look the key up later")
}
