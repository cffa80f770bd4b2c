package cassiatally

import (
	"context"
	"time"
)

// Clock is the source of time for duties. Tests inject their own.
type Clock interface {
	// Now returns a monotonic reading.
	Now() Instant
	// Wall returns the wall-clock time, which the sheet's time windows need.
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

// Batch has consecutive records of a stream.
type Batch struct {
	// Oldest is the oldest offset that the log still has.
	Oldest Offset
	// Next is the offset to read from next.
	Next    Offset
	Records []LogRecord
}

// LogRecord is one record of a stream.
type LogRecord struct {
	Offset Offset
	// Expires is the time left until the log deletes the record.
	Expires time.Duration
	Data    []byte
}

// Log is the platform's append-only log service.
type Log interface {
	// Append returns the offset of the record. After an error the record may or may
	// not have been written; the appender reads the stream back before it appends again.
	Append(ctx context.Context, s Stream, data []byte) (Offset, error)
	// Read returns records from the offset on. It blocks up to wait until there is one.
	Read(ctx context.Context, s Stream, from Offset, wait time.Duration) (Batch, error)
}

// RunClass groups the runs at a backend server that take about the same time.
type RunClass struct {
	Rank Rank
	Work WorkKind
}

// Entry is a call in the queue before a backend server.
type Entry struct {
	ID   CallID
	Rank Rank
	Work WorkKind
	// Share is the fraction of the capacity that is reserved for the rank.
	Share    Share
	Tenant   Tenant
	Order    Order
	Deadline Instant
	// Onward marks an onward call: services further up the chain have already done work
	// for its root request.
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
	Done(now Instant, c RunClass, busy time.Duration)
	// CutOff records the end of a run that was cut off after busy and would have taken
	// longer.
	CutOff(now Instant, c RunClass, busy time.Duration)
	// Tick updates the levels. It must be called at least every 100 ms.
	Tick(now Instant, limit Concurrency)
	// LimitRate bounds the capacity to a rate at which entries are started, whatever
	// number is free; 0 means no bound.
	LimitRate(rate Rate)
	// Levels returns the level of each rank.
	Levels() []Level
	// Len returns the number of entries in the queue.
	Len() int
}

// RunSample is the measurement of a finished run for the limiter.
type RunSample struct {
	// SelfTime is the run time less the time in which an onward call was outstanding.
	SelfTime time.Duration
	// InFlight is the concurrency at the start of the run.
	InFlight Concurrency
	// Failed is set for crashes and refusals by the backend server. A run that was
	// cut off at its deadline has not failed; it took at least SelfTime.
	Failed bool
}

// Limiter bounds the runs in flight at one backend server.
type Limiter interface {
	Limit() Concurrency
	// Resize sets the number of slots, the upper bound that the backend server announces.
	Resize(now Instant, slots Concurrency)
	// Observe records the end of a run.
	Observe(now Instant, s RunSample)
	// TypicalSelfTime returns the smoothed self time of a run.
	TypicalSelfTime() time.Duration
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
	// MarkSilent records that the node of the endpoint has sent nothing for some time.
	MarkSilent(now Instant, n NodeID)
	// MarkResponding records that the node of the endpoint sends again.
	MarkResponding(n NodeID)
	// HasEndpoint reports whether the service has an endpoint, in any state.
	HasEndpoint(s Service) bool
	// FailureRate returns the mean failure rate of the endpoints of the service that take
	// work, as their nodes report it.
	FailureRate(s Service) FailureRate
}

// CallResult is the measurement of a finished call for the balancer.
type CallResult struct {
	Took   time.Duration
	Failed bool
	// Unreachable is set when the node of the endpoint could not be reached.
	Unreachable bool
	// Load is the endpoint's own report; its Node is empty when there is none.
	Load EndpointLoad
}

// ServicePair is a caller's service and the service it calls. From is empty at
// the entry.
type ServicePair struct{ From, To Service }

// RetryBudget bounds retries per pair of services.
type RetryBudget interface {
	// TakeRetry reports whether a retry of a request of the rank may be sent now, and
	// spends a token if so. A lower level of the target service shrinks the budget.
	TakeRetry(now Instant, p ServicePair, r Rank, level Level) bool
	// TakeLostRetry does the same for a run that was cut off by the loss of an endpoint,
	// at any level.
	TakeLostRetry(now Instant, p ServicePair) bool
	// Requested records the first send of a request. A repeated one belongs to a run
	// that was retried further up the chain.
	Requested(now Instant, p ServicePair, repeated bool)
	// Succeeded records a successful answer, which refills the budget of the pair.
	Succeeded(now Instant, p ServicePair)
}

// RetryGranter decides, at the node beside an endpoint, which of the calls that the
// endpoint refused may be sent once more.
type RetryGranter interface {
	// Arrived records a call that is passed to the endpoint.
	Arrived(now Instant, c Call)
	// Grant reports whether a call that the endpoint refused may be sent once more, and
	// counts the retry if so.
	Grant(now Instant, c Call) bool
}

// LoadTracker decides at the entry whether the call chain of a request has the
// capacity to finish it.
type LoadTracker interface {
	// RecordChain records the levels of the services in the call chain of a kind of
	// work, as an answer reports them.
	RecordChain(now Instant, s Service, w WorkKind, loads []ServiceLoad)
	// RecordEndpoint records the levels that one endpoint had at an instant, as gossip
	// reports them. A report that is not newer than the last one is ignored.
	RecordEndpoint(at Instant, n NodeID, load ServiceLoad)
	// FairOrder returns the order value by which Admit and the services of the chain treat
	// a request of the tenant. It is above the given one for a tenant far above its fair
	// share, and below it for the others.
	FairOrder(now Instant, s Service, w WorkKind, r Rank, n Tenant, o Order) Order
	// Admit reports whether the whole chain serves the order value, and if not, the
	// service that lacks the capacity.
	Admit(now Instant, s Service, w WorkKind, r Rank, o Order) (bool, Service)
	// Level returns the level of a service for a rank.
	Level(now Instant, s Service, r Rank) Level
}

// Quarantine blocks requests that crash backend servers.
type Quarantine interface {
	// Blocked reports whether the request must not be run.
	Blocked(now Instant, f Fingerprint) bool
	// Suspect reports whether the request was in flight in a crash and has not
	// completed since.
	Suspect(now Instant, f Fingerprint) bool
	// Crashed records a crash with these requests in flight.
	Crashed(now Instant, inFlight []Fingerprint)
	// Completed records a completed run, which clears the request of suspicion.
	Completed(now Instant, f Fingerprint)
	// Count returns how many requests are suspects and how many are quarantined.
	Count(now Instant) (suspects, quarantined int)
	// Reports returns the crash reports to send to other nodes.
	Reports(now Instant) []CrashReport
	// ReportsOf returns all crash reports of some requests.
	ReportsOf(now Instant, of []Fingerprint) []CrashReport
	// Merge records the crash reports of another node.
	Merge(now Instant, reports []CrashReport)
}

// Policies looks up the policies of requests in the sheet in force.
type Policies interface {
	// Lookup returns the policy of a kind of work at a data centre and time.
	Lookup(s Service, w WorkKind, dc DataCentre, at time.Time) (Policy, error)
}

// ShardView is the shard table in force.
type ShardView interface {
	// HolderOf returns the holder of a shard and its epoch, or false when there is none.
	HolderOf(s ShardRef) (NodeRef, Epoch, bool)
}

// RouteSource provides the route tables that operators publish.
type RouteSource interface {
	// Next waits until a table newer than the last returned one is published, and
	// returns the newest.
	Next(ctx context.Context) (RouteTable, error)
}

// MemberStore stores members outside the nodes, so that a node that starts can connect
// to the others.
type MemberStore interface {
	Load(ctx context.Context) ([]Member, error)
	Save(ctx context.Context, m Member) error
}
