// Package dispatcher is the duty that owns the router of a node: the calls that
// the node routes to endpoints, their retries and their timers.
//
// # Usage
//
//	d := &dispatcher.Dispatcher{Router: r, Clock: clock, Transport: links, ...}
//	d.Run()
//	defer d.Close()
//	d.Submit(request, func(a cassiatally.Answer) { ... })
//
// The reply function is called once, by the duty, and must not block.
package dispatcher

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/faultswitch"
	"github.com/cassiatally/cassiatally/cassiatally/looper"
	"github.com/cassiatally/cassiatally/cassiatally/recoverer"
	"github.com/cassiatally/cassiatally/cassiatally/registrar"
	"github.com/cassiatally/cassiatally/cassiatally/ring"
	"github.com/cassiatally/cassiatally/cassiatally/router"
	"github.com/cassiatally/cassiatally/cassiatally/splitter"
)

const (
	inboxSize = 4096
	// answerReserve is the inbox space that requests leave free for answers, since
	// answers complete work.
	answerReserve = 1024
	// tickInterval applies to the counts and the deadlines of queries. The router sets
	// its own wake times.
	tickInterval = 100 * time.Millisecond
)

// Reply receives the answer to a submitted request.
type Reply func(cassiatally.Answer)

// Dispatcher is the duty. Its fields are set before Run.
type Dispatcher struct {
	Router    *router.Router
	Balancer  cassiatally.Balancer
	Loads     cassiatally.LoadTracker
	Clock     cassiatally.Clock
	Transport cassiatally.Transport
	Logger    cassiatally.Logger
	// Splitter chooses the service of each request whose route has several.
	Splitter *splitter.Splitter

	inbox   *ring.Ring[event]
	duty    looper.Looper[event]
	replies map[cassiatally.CallID]Reply
	queries map[cassiatally.CallID]pendingQuery
	// foreignAnswers counts the answers to queries that carry the tag of another
	// request.
	foreignAnswers uint64
	counts         atomic.Pointer[router.Counts]
}

type pendingQuery struct {
	tag      cassiatally.RequestTag
	reply    Reply
	deadline cassiatally.Instant
}

type event interface {
	apply(d *Dispatcher, now cassiatally.Instant)
}

type (
	submitEvent struct {
		req   cassiatally.Request
		reply Reply
	}
	withdrawEvent struct{ id cassiatally.CallID }
	recallEvent   struct{}
	leaveEvent    struct{}
	stopEvent     struct{}
	answerEvent   struct {
		from   cassiatally.NodeID
		answer cassiatally.Answer
	}
	lostEvent       struct{ peer cassiatally.NodeRef }
	silentEvent     struct{ peer cassiatally.NodeRef }
	respondingEvent struct{ peer cassiatally.NodeRef }
	failedEvent     struct {
		to cassiatally.NodeID
		m  cassiatally.Message
	}
	endpointsEvent struct {
		candidates []cassiatally.Candidate
		loads      []EndpointLevels
	}
	queryEvent struct {
		to      cassiatally.NodeID
		query   cassiatally.KeyQuery
		timeout time.Duration
		reply   Reply
	}
)

// EndpointLevels are the levels that gossip reports for one endpoint.
type EndpointLevels struct {
	Node cassiatally.NodeID
	// At is when the endpoint had these levels.
	At   cassiatally.Instant
	Load cassiatally.ServiceLoad
}

// LevelsOf returns the levels in the loads of a view.
func LevelsOf(loads []registrar.Load) []EndpointLevels {
	levels := make([]EndpointLevels, 0, len(loads))
	for _, l := range loads {
		levels = append(levels, EndpointLevels{Node: l.Node, At: l.At, Load: l.Load})
	}
	return levels
}

// Run starts the duty.
func (d *Dispatcher) Run() {
	d.inbox = ring.New[event](inboxSize, ring.Wait)
	d.replies = make(map[cassiatally.CallID]Reply)
	d.queries = make(map[cassiatally.CallID]pendingQuery)
	d.counts.Store(&router.Counts{})
	d.duty = looper.Looper[event]{
		Clock:     d.Clock,
		Recoverer: &recoverer.Recoverer{Logger: d.Logger, Duty: "dispatcher"},
		Inbox:     d.inbox,
		Handle:    func(now cassiatally.Instant, e event) { e.apply(d, now) },
		Tick:      d.tick,
		Interval:  tickInterval,
		NextWake:  d.Router.NextWake,
	}
	d.duty.Run()
}

// Refused returns the number of messages that were dropped because the inbox was
// full.
func (d *Dispatcher) Refused() uint64 {
	refused, _ := d.inbox.LossCounts()
	return refused
}

// Close stops the duty and waits for it.
func (d *Dispatcher) Close() { d.duty.Close() }

// Counts returns the totals of the router as of the last tick.
func (d *Dispatcher) Counts() router.Counts { return *d.counts.Load() }

// Submit queues a request. It returns false when the inbox is full; reply is then not
// called.
func (d *Dispatcher) Submit(req cassiatally.Request, reply Reply) bool {
	return d.inbox.Offer(submitEvent{req: req, reply: reply}, answerReserve)
}

// Withdraw cancels a request whose submitter no longer waits for the answer.
func (d *Dispatcher) Withdraw(id cassiatally.CallID) {
	d.inbox.Offer(withdrawEvent{id: id}, 0)
}

// Leave queues the start of a stop: endpoints keep the runs of this node's calls until
// their deadlines. It blocks while the inbox is full.
func (d *Dispatcher) Leave() { d.inbox.Push(context.Background(), leaveEvent{}) }

// Recall queues the withdrawal of all requests that no endpoint has started, because the
// node is about to stop. It blocks while the inbox is full.
func (d *Dispatcher) Recall() { d.inbox.Push(context.Background(), recallEvent{}) }

// Stop queues answers to all requests that are left. It blocks while the inbox is full.
func (d *Dispatcher) Stop() { d.inbox.Push(context.Background(), stopEvent{}) }

// QueryKey queries the outcome of a key at a node. It returns false when the inbox is
// full; reply is then not called.
func (d *Dispatcher) QueryKey(to cassiatally.NodeID, q cassiatally.KeyQuery, timeout time.Duration, reply Reply) bool {
	return d.inbox.Offer(queryEvent{to: to, query: q, timeout: timeout, reply: reply}, answerReserve)
}

// Answer queues an answer from a node. It never blocks, since the executor of this
// node may be the sender. When the inbox is full the answer is dropped, and the call
// ends at its deadline.
func (d *Dispatcher) Answer(from cassiatally.NodeID, a cassiatally.Answer) {
	d.inbox.Offer(answerEvent{from: from, answer: a}, 0)
}

// LinkLost queues the loss of a link. It blocks while the inbox is full.
func (d *Dispatcher) LinkLost(peer cassiatally.NodeRef) {
	d.inbox.Push(context.Background(), lostEvent{peer: peer})
}

// LinkSilent queues the event that a node has sent nothing for some time on an open
// link. It is dropped when the inbox is full; a link that stays silent ends soon.
func (d *Dispatcher) LinkSilent(peer cassiatally.NodeRef) {
	d.inbox.Offer(silentEvent{peer: peer}, 0)
}

// LinkResponding queues the event that a link to a node has opened, or that a message
// has arrived on a silent one. It is dropped when the inbox is full; the endpoint is
// tried again later, and calls to a restarted node that have no outcome count as unknown.
func (d *Dispatcher) LinkResponding(peer cassiatally.NodeRef) {
	d.inbox.Offer(respondingEvent{peer: peer}, 0)
}

// SendFailed queues the failure to send a message, which was certainly not delivered.
func (d *Dispatcher) SendFailed(to cassiatally.NodeID, m cassiatally.Message) {
	// The duty itself may be the sender, so this must not block.
	d.inbox.Offer(failedEvent{to: to, m: m}, 0)
}

// SetEndpoints replaces the endpoints by those of the member table, with the loads
// that gossip reported for them.
func (d *Dispatcher) SetEndpoints(candidates []cassiatally.Candidate, loads []EndpointLevels) {
	d.inbox.Offer(endpointsEvent{candidates: candidates, loads: loads}, 0)
}

func (d *Dispatcher) tick(now cassiatally.Instant) {
	d.carryOut(now, d.Router.Tick(now))
	counts := d.Router.Counts()
	counts.ForeignAnswers += d.foreignAnswers
	d.counts.Store(&counts)
	for id, q := range d.queries {
		if now.Reached(q.deadline) {
			delete(d.queries, id)
			q.reply(cassiatally.Answer{ID: id, Kind: cassiatally.KindUnavailable, Detail: "the holder of the key's shard did not answer"})
		}
	}
}

func (e submitEvent) apply(d *Dispatcher, now cassiatally.Instant) {
	d.replies[e.req.ID] = e.reply
	if e.req.Route != nil {
		e.req.Service = d.Splitter.Choose(e.req.Route)
	}
	d.carryOut(now, d.Router.Submit(now, e.req))
}

func (e withdrawEvent) apply(d *Dispatcher, now cassiatally.Instant) {
	delete(d.replies, e.id)
	d.carryOut(now, d.Router.Cancel(now, e.id))
}

func (leaveEvent) apply(d *Dispatcher, now cassiatally.Instant) {
	d.carryOut(now, d.Router.Leave())
}

func (recallEvent) apply(d *Dispatcher, now cassiatally.Instant) {
	d.carryOut(now, d.Router.Recall(now))
}

func (stopEvent) apply(d *Dispatcher, now cassiatally.Instant) {
	d.carryOut(now, d.Router.Stop(now))
}

func (e answerEvent) apply(d *Dispatcher, now cassiatally.Instant) {
	if q, ok := d.queries[e.answer.ID]; ok {
		if e.answer.Request != 0 && e.answer.Request != q.tag && !faultswitch.Off(faultswitch.AnswerTag) {
			d.foreignAnswers++
			return
		}
		delete(d.queries, e.answer.ID)
		q.reply(e.answer)
		return
	}
	d.carryOut(now, d.Router.HandleAnswer(now, e.from, e.answer))
}

func (e lostEvent) apply(d *Dispatcher, now cassiatally.Instant) {
	d.carryOut(now, d.Router.LinkLost(now, e.peer))
}

func (e silentEvent) apply(d *Dispatcher, now cassiatally.Instant) {
	d.carryOut(now, d.Router.LinkSilent(now, e.peer))
}

func (e respondingEvent) apply(d *Dispatcher, _ cassiatally.Instant) {
	d.Router.LinkOpened(e.peer)
	d.Balancer.MarkResponding(e.peer.Node)
}

func (e failedEvent) apply(d *Dispatcher, now cassiatally.Instant) {
	d.carryOut(now, d.Router.SendFailed(now, e.to, e.m))
}

func (e endpointsEvent) apply(d *Dispatcher, now cassiatally.Instant) {
	d.Balancer.Update(now, e.candidates)
	for _, l := range e.loads {
		d.Loads.RecordEndpoint(l.At, l.Node, l.Load)
	}
}

func (e queryEvent) apply(d *Dispatcher, now cassiatally.Instant) {
	d.queries[e.query.ID] = pendingQuery{tag: e.query.Tag(), reply: e.reply, deadline: now.Add(e.timeout)}
	if err := d.Transport.Send(e.to, e.query); err != nil {
		delete(d.queries, e.query.ID)
		e.reply(cassiatally.Answer{ID: e.query.ID, Kind: cassiatally.KindUnavailable, Detail: err.Error()})
	}
}

func (d *Dispatcher) carryOut(now cassiatally.Instant, actions []cassiatally.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case cassiatally.Send:
			d.logRetry(a)
			if err := d.Transport.Send(a.To, a.Message); err != nil {
				d.carryOut(now, d.Router.SendFailed(now, a.To, a.Message))
			}
		case cassiatally.Deliver:
			reply, ok := d.replies[a.Call]
			delete(d.replies, a.Call)
			if ok {
				reply(a.Answer)
			}
		default:
		}
	}
}

// logRetry logs a call that is sent once more, as a retry of this node or a granted one.
func (d *Dispatcher) logRetry(s cassiatally.Send) {
	if c, ok := s.Message.(cassiatally.Call); ok && c.Send != cassiatally.SendFirst {
		d.Logger.Info("call sent again", "request", c.Name, "call", c.ID, "to", s.To, "work", c.Work, "granted", c.Send == cassiatally.SendGranted, "may_have_run", c.Repeated, "left", c.Remaining)
	}
}
