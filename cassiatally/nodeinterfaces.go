package cassiatally

import (
	"context"
	"time"
)

// Logger writes log lines. An event is a constant text; fields are key-value pairs.
type Logger interface {
	Debug(event any, fields ...any)
	Info(event any, fields ...any)
	Warn(event any, fields ...any)
	Error(event any, fields ...any)
}

// Requests routes requests. The reply function is called once and must not block.
type Requests interface {
	// Submit returns false when the queue is full; reply is then not called.
	Submit(req Request, reply func(Answer)) bool
	// Withdraw cancels a request whose submitter no longer waits for the answer.
	Withdraw(id CallID)
}

// KeyRequests routes the requests of a holder of idempotency keys.
type KeyRequests interface {
	Submit(req Request, reply func(Answer)) bool
	// QueryKey queries the outcome of a key at a node. It returns false when the queue
	// is full; reply is then not called.
	QueryKey(to NodeID, q KeyQuery, timeout time.Duration, reply func(Answer)) bool
}

// Keys mints idempotency keys and looks up their outcomes.
type Keys interface {
	Mint(ctx context.Context) (Key, error)
	Lookup(ctx context.Context, k Key) Answer
}

// Observer records the outcomes and times of requests.
type Observer interface {
	Request(p Policy, t Tenant, a Answer, took time.Duration)
}

// Metrics records gauges and counters for operators.
type Metrics interface {
	Gauge(name string, value float64)
	RankGauge(name string, rank Rank, value float64)
	// Count adds to a counter with tags.
	Count(name string, tags map[string]string, delta int64)
}

// Links sends messages to nodes, and to addresses whose node is not yet identified.
type Links interface {
	Transport
	SendAddress(to Address, m Message) error
}

// Inbound is a request that a front end received, before it is routed.
type Inbound struct {
	Name RequestName
	Host string
	Head Head
	Body []byte
	// Remaining is the time until the caller's deadline; 0 when the caller sent none.
	Remaining time.Duration
	// Root is the name of the caller's request at the start of the call chain, and
	// Parent that of the request whose run makes this call; empty when there is none.
	Root, Parent RequestName
	// Key is the digest of the tenant's key; nil when the request has none.
	Key *KeyDigest
	// Identity has the header fields that identify the caller or its tenant. They are
	// forwarded only while the route table has no tenants.
	Identity []Field
}

// QuotaDecision is whether a request is within the quota of its tenant.
type QuotaDecision struct {
	Granted bool
	// Kind and RetryAfter are set when Granted is not. The request has not run.
	Kind       ErrorKind
	RetryAfter time.Duration
}

// Quotas admits requests within the quotas of their tenants.
type Quotas interface {
	// Take waits until the quota is known to have room for one request, or not. It
	// returns at once for a tenant without a limit.
	Take(ctx context.Context, t *TenantSpec) QuotaDecision
}

// Forwarder answers the requests of a front end. It returns an answer of
// KindCancelled when ctx ends first.
type Forwarder interface {
	Forward(ctx context.Context, in Inbound) Answer
}

// Announcement is the state that a backend server announces to its node.
type Announcement struct {
	Address  Address
	Instance InstanceID
	// StartedMs is when the instance started, in milliseconds of the Unix epoch; 0 when
	// that is unknown.
	StartedMs int64
	Endpoint  Endpoint
	// Occupancy is the number of requests that an earlier node of this host has left at
	// the backend server. Only the first announcement after a restart states it.
	Occupancy Concurrency
}

// BackendGate admits calls to the announced backend server.
type BackendGate interface {
	// Announce submits an announcement. It returns false when the queue is full.
	Announce(a Announcement) bool
	// Withdraw ends the announcement in force.
	Withdraw()
}

// InstanceRegistry records the instances of the backend server of this host.
type InstanceRegistry interface {
	// Report and Deregister return true once the change is in force.
	Report(ctx context.Context, r InstanceReport) bool
	Deregister(ctx context.Context, id InstanceID) bool
	// Ready reports whether callers may use the node.
	Ready() bool
}
