package cassiatally

import (
	"context"
	"time"
)

// Logger writes log lines: an event, whose text is a constant, and key-value pairs.
type Logger interface {
	Debug(event any, fields ...any)
	Info(event any, fields ...any)
	Warn(event any, fields ...any)
	Error(event any, fields ...any)
}

// Requests takes requests to route. The reply function is called once and must not
// block.
type Requests interface {
	// Submit returns false when there is no room; reply is then not called.
	Submit(req Request, reply func(Answer)) bool
	// Withdraw tells that nobody waits for a request any more.
	Withdraw(id CallID)
}

// KeyRequests takes the requests of a holder of idempotency keys.
type KeyRequests interface {
	Submit(req Request, reply func(Answer)) bool
	// Ask asks a node for the outcome of a key.
	Ask(to NodeID, q KeyQuery, timeout time.Duration, reply func(Answer)) bool
}

// Keys mints idempotency keys and looks up their outcomes.
type Keys interface {
	Mint(ctx context.Context) (Key, error)
	Lookup(ctx context.Context, k Key) Answer
}

// Observer records how requests end.
type Observer interface {
	Request(p Policy, t Tenant, a Answer, took time.Duration)
}

// Metrics takes values to show to operators.
type Metrics interface {
	Gauge(name string, value float64)
	RankGauge(name string, rank Rank, value float64)
	// Count adds to a counter with tags.
	Count(name string, tags map[string]string, delta int64)
}

// Links sends messages to nodes, and to addresses whose node is not yet known.
type Links interface {
	Transport
	SendAddress(to Address, m Message) error
}

// Inbound is a request as a front end received it.
type Inbound struct {
	Name RequestName
	Host string
	Head Head
	Body []byte
	// Remaining is the time that the caller will wait; 0 when it did not say.
	Remaining time.Duration
	// Root names the caller's request at the beginning of the call chain, and Parent
	// the request whose run makes the call; empty when there is none.
	Root, Parent RequestName
}

// Forwarder answers the requests of a front end. It returns an answer of
// KindCancelled when ctx ends first.
type Forwarder interface {
	Forward(ctx context.Context, in Inbound) Answer
}

// Announcement is what a backend server says about itself.
type Announcement struct {
	Address  Address
	Instance InstanceID
	Endpoint Endpoint
}

// BackendGate is told about the backend server that it lets calls through to.
type BackendGate interface {
	Announce(a Announcement) bool
	Withdraw()
}

// InstanceRegistry takes what instances of the backend server of this host say.
type InstanceRegistry interface {
	// Report and Left return true once what was said is in force.
	Report(ctx context.Context, r InstanceReport) bool
	Left(ctx context.Context, id InstanceID) bool
	// Ready reports whether callers may use the node.
	Ready() bool
}
