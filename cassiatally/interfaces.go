package cassiatally

import (
	"context"
	"time"
)

// Clock gives the time to duties. Tests inject their own.
type Clock interface {
	// Now returns a monotonic reading.
	Now() Instant
	// Wall returns the time of day, which the sheet's time windows need.
	Wall() time.Time
}

// Rand is a source of random numbers.
type Rand interface {
	Uint64() uint64
	IntN(n int) int
	Float64() float64
}

// Transport sends messages to other nodes. Send never blocks; a message that
// cannot be queued is refused with an Error of KindUnreachable.
type Transport interface {
	Send(to NodeID, m Message) error
}

// Batch is a run of records of a stream.
type Batch struct {
	// First is the oldest offset that the log still has.
	First Offset
	// Next is the offset to read from next.
	Next    Offset
	Records []LogRecord
}

// LogRecord is one record of a stream.
type LogRecord struct {
	Offset Offset
	// Expires is the time left until the log drops the record.
	Expires time.Duration
	Data    []byte
}

// Log is the platform's append-only log service.
type Log interface {
	// Append returns the offset of the record. After an error the record may or
	// may not have been written; the caller reads back before it appends again.
	Append(ctx context.Context, s Stream, data []byte) (Offset, error)
	// Read returns records from the offset on and waits up to wait for the first.
	Read(ctx context.Context, s Stream, from Offset, wait time.Duration) (Batch, error)
}

// Entry is a call in the queue before a backend server.
type Entry struct {
	ID       CallID
	Rank     Rank
	Share    Share
	Tenant   Tenant
	Order    Order
	Deadline Instant
	// Onward marks a call for which services further up have done work already.
	Onward bool
}

// Dropped is an entry that will not be started, with the reason.
type Dropped struct {
	ID   CallID
	Kind ErrorKind
}

// Admitter decides which calls a backend server runs, in which order, and which
// are refused.
type Admitter interface {
	// Offer queues the entry. It returns the entries refused because of it, which
	// may include the entry itself.
	Offer(now Instant, e Entry) []Dropped
	// Next returns up to free entries to start now, and the entries dropped
	// because their deadlines cannot be met.
	Next(now Instant, free int) (start []CallID, dropped []Dropped)
	// Remove takes a cancelled entry out of the queue.
	Remove(id CallID) bool
	// Done records the end of a run that occupied the backend server for busy.
	Done(now Instant, r Rank, busy time.Duration)
	// Cut records the end of a run that was broken off after busy.
	Cut(now Instant, r Rank, busy time.Duration)
	// Tick updates the levels. It is called at least every 100 ms.
	Tick(now Instant, limit Concurrency)
	// Levels returns the level of each rank.
	Levels() []Level
	// Len returns the number of entries in the queue.
	Len() int
}

// RunSample is the end of a run as the limiter sees it.
type RunSample struct {
	// Self is the run time less the time in which an onward call was outstanding.
	Self time.Duration
	// InFlight is the concurrency at the start of the run.
	InFlight Concurrency
	// Failed is set for crashes and refusals by the backend server. A run that was
	// cut off at its deadline has not failed; it took at least Self.
	Failed bool
}

// Limiter bounds the runs in flight at one backend server.
type Limiter interface {
	Limit() Concurrency
	// Resize sets the slots that the backend server announces.
	Resize(now Instant, slots Concurrency)
	Observe(now Instant, s RunSample)
	// Typical returns the typical self time of a run.
	Typical() time.Duration
}

// Candidate is an endpoint that the balancer may choose.
type Candidate struct {
	Ref         NodeRef
	DataCentre  DataCentre
	Service     Service
	Connections Concurrency
	State       EndpointState
	Load        EndpointLoad
}

// Balancer chooses the endpoint for a call.
type Balancer interface {
	// Update replaces the candidates of all services.
	Update(now Instant, candidates []Candidate)
	// Choose returns an endpoint of the service that is not in avoid.
	Choose(now Instant, s Service, avoid []NodeID) (NodeID, bool)
	// Started records that a call was sent to the endpoint.
	Started(now Instant, n NodeID)
	// Finished records the end of that call.
	Finished(now Instant, n NodeID, r CallResult)
	// Silent records that nothing is heard of the node of the endpoint.
	Silent(now Instant, n NodeID)
	// Heard records that the node of the endpoint is in reach.
	Heard(n NodeID)
	// Known reports whether any endpoint of the service is known, in any state.
	Known(s Service) bool
}

// CallResult is the end of a call as the balancer sees it.
type CallResult struct {
	Took   time.Duration
	Failed bool
	// Unreached tells that the node of the endpoint is out of reach.
	Unreached bool
	// Load is the endpoint's own report; its Node is empty when there is none.
	Load EndpointLoad
}

// ServicePair is a caller's service and the service it calls. From is empty at
// the entry.
type ServicePair struct{ From, To Service }

// RetryBudget bounds retries per pair of services.
type RetryBudget interface {
	// Take reports whether a retry of a request of the rank may be sent now and spends
	// it if so. The level of the target service shrinks the budget.
	Take(now Instant, p ServicePair, r Rank, level Level) bool
	// TakeLost does the same for a run that was cut off by the loss of an endpoint,
	// whatever the level.
	TakeLost(now Instant, p ServicePair) bool
	// Requested records the first send of a request. A repeated one belongs to a run
	// that was repeated further up the chain.
	Requested(now Instant, p ServicePair, repeated bool)
	// Succeeded feeds the budget of the pair.
	Succeeded(now Instant, p ServicePair)
}

// LoadTracker decides at the entry whether a call chain can finish.
type LoadTracker interface {
	// Learn records the levels of the services that a (service, kind) touched.
	Learn(now Instant, s Service, w WorkKind, loads []ServiceLoad)
	// Observe records the level that one endpoint had at an instant, as gossip
	// reports it. A report that is not newer than the last one changes nothing.
	Observe(at Instant, n NodeID, load ServiceLoad)
	// Admit reports whether the chain can serve the order value, and if not, the
	// service that cannot.
	Admit(now Instant, s Service, w WorkKind, r Rank, o Order) (bool, Service)
	// Level returns the level of a service for a rank.
	Level(now Instant, s Service, r Rank) Level
}

// Quarantine stops requests that crash backend servers.
type Quarantine interface {
	// Blocked reports whether the request must not be run.
	Blocked(now Instant, f Fingerprint) bool
	// Suspect reports whether the request was in flight in a crash and has not
	// completed since.
	Suspect(now Instant, f Fingerprint) bool
	// Crashed records a crash with these requests in flight.
	Crashed(now Instant, inFlight []Fingerprint)
	// Completed clears a request.
	Completed(now Instant, f Fingerprint)
	// Count returns how many requests are suspects and how many are quarantined.
	Count(now Instant) (suspects, quarantined int)
	// Reports returns what to tell other nodes.
	Reports(now Instant) []CrashReport
	// News returns all that is known of the crashes of some requests.
	News(now Instant, of []Fingerprint) []CrashReport
	// Merge records what another node told.
	Merge(now Instant, reports []CrashReport)
}

// Policies gives the policy of a request from the sheet in force.
type Policies interface {
	// Lookup returns the policy of a kind of work at a data centre and time.
	Lookup(s Service, w WorkKind, dc DataCentre, at time.Time) (Policy, error)
}

// ShardView tells which node holds a shard.
type ShardView interface {
	HolderOf(s ShardRef) (NodeRef, Epoch, bool)
}

// RouteSource is where operators publish route tables.
type RouteSource interface {
	// Next waits for a table that was published after the one that it returned last,
	// and returns the newest.
	Next(ctx context.Context) (RouteTable, error)
}

// MemberStore keeps where nodes can be found, so that a node that starts finds
// the others.
type MemberStore interface {
	Load(ctx context.Context) ([]Member, error)
	Save(ctx context.Context, m Member) error
}
