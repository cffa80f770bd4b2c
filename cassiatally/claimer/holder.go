package claimer

import (
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/faultswitch"
)

const (
	// maxWaiters bounds the calls that wait for one key.
	maxWaiters = 32
	// rotateAfter is the time between rotations: new epochs that the holder starts
	// to drop old claims.
	rotateAfter = 12 * time.Hour
	// claimsPerRotation is the number of claims after which the holder rotates
	// early, so that the claims of two rotations fit into the memory of a node.
	claimsPerRotation = 1 << 14
	// maxClaims is reached only by a shard that cannot rotate because the log is
	// down; it then accepts no new claims. A claim takes about 250 bytes at the
	// holder and at the standby.
	maxClaims = 3 * claimsPerRotation
	// maxHeldBytes bounds the bodies of the calls whose claims the standby has not
	// recorded yet, over all shards of the node.
	maxHeldBytes = 8 << 20
	// answerGrace is how long after its deadline a call still waits for the
	// acknowledgement of a void before it is answered as unknown.
	answerGrace = time.Second
	// queryWait is how long a look-up waits for the acknowledgement of a void. A
	// standby that is silent for that long is replaced.
	queryWait = replaceAfter
)

// HandleCall creates a claim for the key of a call, or joins the existing one.
func (c *Claimer) HandleCall(now cassiatally.Instant, from cassiatally.NodeID, call cassiatally.Call) []cassiatally.Action {
	w := waiter{callRef{from, call.ID}, call.Tag()}
	s, parts, refusal := c.locate(call.Key)
	if refusal != nil {
		c.answer(w, *refusal)
		return c.takeActions()
	}
	if call.Stage != cassiatally.StageClaim {
		c.answer(w, failure(cassiatally.KindProtocol, cassiatally.OutcomeUnknown, "the call does not ask for a claim"))
		return c.takeActions()
	}
	if cl := s.claims[call.Key]; cl != nil {
		until := now.Add(call.Remaining + answerGrace)
		c.joinClaim(w, until, s, cl, cassiatally.FingerprintOf(call.Service, call.Work, call.Body))
		return c.takeActions()
	}
	if c.rejectsNewClaims(now, s) {
		c.answer(w, unavailable())
		return c.takeActions()
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
	s.claimsSinceRotation++
	if call.Remaining <= 0 {
		c.voidExpired(now, cl)
	}
	c.replicate(now, s, cl)
	return c.takeActions()
}

// HandleKeyQuery answers with the outcome of a key. A key without a claim becomes
// void, so that a delayed copy of its request cannot run afterwards.
func (c *Claimer) HandleKeyQuery(now cassiatally.Instant, from cassiatally.NodeID, m cassiatally.KeyQuery) []cassiatally.Action {
	w := waiter{callRef{from, m.ID}, m.Tag()}
	s, parts, refusal := c.locate(m.Key)
	if refusal != nil {
		c.answer(w, *refusal)
		return c.takeActions()
	}
	cl := s.claims[m.Key]
	switch {
	case cl != nil && cl.state == cassiatally.ClaimPending:
		c.answer(w, failure(cassiatally.KindOutcomeUnknown, cassiatally.OutcomeUnknown, "the request is in flight; look the key up again"))
	case cl != nil:
		c.joinClaim(w, now.Add(queryWait), s, cl, cl.fingerprint)
	case c.rejectsNewClaims(now, s):
		c.answer(w, unavailable())
	default:
		cl = &claim{key: m.Key, epoch: parts.Epoch, state: cassiatally.ClaimVoid}
		cl.addWaiter(w, now.Add(queryWait))
		s.claims[m.Key] = cl
		s.claimsSinceRotation++
		c.replicate(now, s, cl)
	}
	return c.takeActions()
}

// HandleCancel removes a waiting call. The claim and its run continue.
func (c *Claimer) HandleCancel(_ cassiatally.Instant, from cassiatally.NodeID, m cassiatally.Cancel) []cassiatally.Action {
	w := callRef{from, m.ID}
	if cl := c.waiting[w]; cl != nil {
		cl.removeWaiter(w)
		delete(c.waiting, w)
	}
	return nil
}

// HandleClaimAck proceeds with the claims that the standby of the epoch in force
// has recorded.
func (c *Claimer) HandleClaimAck(now cassiatally.Instant, from cassiatally.NodeID, m cassiatally.ClaimAck) []cassiatally.Action {
	s := c.shard(m.Shard)
	if s == nil || s.role != roleHolder || !c.validAck(s, from, m) {
		return nil
	}
	if m.Sealed {
		s.standbySealed = true
		return nil
	}
	if m.Seq == 0 {
		s.outbox.resend(now)
	}
	for _, e := range s.outbox.ack(now, m.Seq) {
		for _, k := range e.keys {
			if cl := s.claims[k]; cl != nil {
				c.proceedIfDurable(now, s, cl)
			}
		}
	}
	c.sendDue(now, s)
	return c.takeActions()
}

// validAck reports whether an acknowledgement comes from the standby of the epoch
// in force.
func (c *Claimer) validAck(s *shard, from cassiatally.NodeID, m cassiatally.ClaimAck) bool {
	if c.faults.anyEpochAcks {
		return m.From.Node == s.inForce.Standby.Node
	}
	return m.Epoch == s.inForce.Epoch && m.From == s.inForce.Standby && m.From.Node == from
}

// RunFinished records the answer to the Submit with this ID.
func (c *Claimer) RunFinished(now cassiatally.Instant, id cassiatally.CallID, a cassiatally.Answer) []cassiatally.Action {
	cl := c.runs[id]
	if cl == nil {
		return nil
	}
	delete(c.runs, id)
	if cl.orphaned {
		c.finishOrphan(cl, a)
		return c.takeActions()
	}
	parts, _ := cassiatally.ParseKey(cl.key)
	s := c.shard(parts.Shard)
	c.recordOutcome(now, cl, a)
	if cl.state != cassiatally.ClaimVoid {
		c.answerWaiters(cl, a)
	}
	c.replicate(now, s, cl)
	return c.takeActions()
}

func (c *Claimer) recordOutcome(now cassiatally.Instant, cl *claim, a cassiatally.Answer) {
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

// finishOrphan answers the calls that wait for a run whose shard has another
// holder now. That holder answers every other caller that the outcome is unknown,
// so not_run is never answered here.
func (c *Claimer) finishOrphan(cl *claim, a cassiatally.Answer) {
	if a.Outcome != cassiatally.OutcomeRan {
		a = failure(cassiatally.KindOutcomeUnknown, cassiatally.OutcomeUnknown, "the shard passed to another holder during the run")
	}
	c.answerWaiters(cl, a)
}

// locate returns the shard of a key that this node holds, or the refusal when
// this node cannot answer for the key.
func (c *Claimer) locate(k cassiatally.Key) (*shard, cassiatally.KeyParts, *cassiatally.Answer) {
	parts, err := cassiatally.ParseKey(k)
	if err != nil {
		a := failure(cassiatally.KindKeyInvalid, cassiatally.OutcomeNotRun, err.Error())
		return nil, parts, &a
	}
	s := c.shard(parts.Shard)
	if s == nil || s.role != roleHolder || parts.Epoch > s.inForce.Epoch {
		a := unavailable()
		return nil, parts, &a
	}
	if parts.Epoch < s.completeFrom && !faultswitch.Off(faultswitch.CompleteFrom) {
		a := failure(cassiatally.KindKeyExpired, cassiatally.OutcomeUnknown, "the claims of the key's epoch are no longer known")
		return nil, parts, &a
	}
	return s, parts, nil
}

// joinClaim answers a further call for a claimed key, or adds it to the waiters.
func (c *Claimer) joinClaim(w waiter, until cassiatally.Instant, s *shard, cl *claim, f cassiatally.Fingerprint) {
	if cl.fingerprint != 0 && cl.fingerprint != f {
		c.answer(w, c.conflictAnswer(s, cl))
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
	c.waiting[w.callRef] = cl
}

// conflictAnswer refuses a different request under a claimed key. Until the
// standby has recorded the claim, a takeover may lose it and run the other
// request, so the outcome is unknown.
func (c *Claimer) conflictAnswer(s *shard, cl *claim) cassiatally.Answer {
	outcome := cassiatally.OutcomeUnknown
	if c.durable(s, cl) {
		outcome = cassiatally.OutcomeNotRun
	}
	return failure(cassiatally.KindKeyConflict, outcome, "the key belongs to another request; mint a new key")
}

// rejectsNewClaims reports whether the shard accepts no new claims.
func (c *Claimer) rejectsNewClaims(now cassiatally.Instant, s *shard) bool {
	return c.draining || s.standbySealed || s.inForce.Standby.IsZero() ||
		s.outbox.stalled(now) || len(s.outbox.entries) >= maxOutbox ||
		len(s.claims) >= maxClaims || c.heldBytes >= maxHeldBytes
}

// durable reports whether the standby has recorded the state of the claim.
func (c *Claimer) durable(s *shard, cl *claim) bool {
	early := c.faults.skipAck || c.faults.earlyNotRun && cl.state == cassiatally.ClaimVoid
	return s.outbox.acked >= cl.durableSeq || early
}

// replicate sends the state of a claim to the standby.
func (c *Claimer) replicate(now cassiatally.Instant, s *shard, cl *claim) {
	for _, w := range cl.waiters {
		c.waiting[w.callRef] = cl
	}
	cl.durableSeq = s.outbox.add(now, outboxEntry{keys: []cassiatally.Key{cl.key}})
	c.sendDue(now, s)
	if c.durable(s, cl) {
		c.proceedIfDurable(now, s, cl)
	}
}

// proceedIfDurable takes the next step of a claim whose state is durable: it
// answers a void, submits a pending claim, or voids one past its deadline.
func (c *Claimer) proceedIfDurable(now cassiatally.Instant, s *shard, cl *claim) {
	if !c.durable(s, cl) {
		return
	}
	switch {
	case cl.state == cassiatally.ClaimVoid:
		c.answerWaiters(cl, cl.result())
	case cl.state != cassiatally.ClaimPending || cl.submitted:
	case now.Reached(cl.deadline):
		c.voidExpired(now, cl)
		c.replicate(now, s, cl)
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

// sendDue sends the outbox entries that are due to the standby.
func (c *Claimer) sendDue(now cassiatally.Instant, s *shard) {
	if s.inForce.Standby.IsZero() || s.standbySealed {
		return
	}
	for _, e := range s.outbox.due(now) {
		c.send(s.inForce.Standby.Node, c.outboxMessage(s, e))
	}
}

func (c *Claimer) outboxMessage(s *shard, e outboxEntry) cassiatally.Message {
	var claims []cassiatally.Claim
	for _, k := range e.keys {
		if cl := s.claims[k]; cl != nil {
			claims = append(claims, cl.record())
		}
	}
	if e.isCopy {
		return cassiatally.ClaimCopy{
			Shard: s.ref, Epoch: s.inForce.Epoch, From: c.self, Seq: e.seq,
			CompleteFrom: s.completeFrom, Claims: claims, Last: e.lastPart,
		}
	}
	return cassiatally.ClaimUpdate{
		Shard: s.ref, Epoch: s.inForce.Epoch, From: c.self, Seq: e.seq, Claim: claims[0],
	}
}

// startCopy starts the message sequence of the epoch with a copy of all claims.
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
			s.outbox.add(now, outboxEntry{keys: part, isCopy: true})
			part, size = nil, 0
		}
	}
	last := s.outbox.add(now, outboxEntry{keys: part, isCopy: true, lastPart: true})
	for _, k := range keys {
		s.claims[k].durableSeq = last
	}
	c.sendDue(now, s)
}

// tickHolder resends to the standby, expires claims, and proposes the next epoch
// when the standby is gone or stalled, a rotation is due, or the node leaves.
func (c *Claimer) tickHolder(now cassiatally.Instant, s *shard) {
	c.expireWaiting(now, s)
	c.sendDue(now, s)
	next := s.inForce
	next.Epoch++
	next.CompleteFrom = s.completeFrom
	standby, _ := c.member(s.inForce.Standby)
	gone := c.standbyGone(now, s)
	synced := len(s.outbox.entries) == 0 && !s.standbySealed
	switch {
	case gone || c.memberTableReady(now, s) && (standby.Leaving || s.outbox.stalled(now)):
		next.Standby = c.standbyFor(s, c.self, s.inForce.Standby)
		if !next.Standby.IsZero() {
			c.propose(now, s, next)
		}
	case c.draining && synced && s.pendingCount() == 0:
		next.Holder = s.inForce.Standby
		next.Standby = c.standbyFor(s, next.Holder, c.self)
		c.propose(now, s, next)
	case synced && (now.Reached(s.rotatedAt.Add(rotateAfter)) || s.claimsSinceRotation >= claimsPerRotation):
		next.CompleteFrom = max(s.completeFrom, s.rotationEpoch)
		s.rotating = true
		c.propose(now, s, next)
	}
}

// expireWaiting voids claims that were not acknowledged before their deadline,
// and answers the calls whose void was not acknowledged by waitUntil either.
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
			c.answerWaiters(cl, unavailable())
		}
		if cl.state == cassiatally.ClaimPending && now.Reached(cl.deadline) {
			c.voidExpired(now, cl)
			c.replicate(now, s, cl)
		}
	}
}

func unavailable() cassiatally.Answer {
	return failure(cassiatally.KindUnavailable, cassiatally.OutcomeUnknown, "the shard of the key takes no claims here now; look the key up later")
}
