package cassiatally

import "time"

// Policy is what the sheet says about a request.
type Policy struct {
	Rank       Rank
	Share      Share
	Target     time.Duration
	Idempotent bool
	Version    Version
}

// Request is a request that a node has to get an answer for: a caller's, an
// onward call of a backend server, or a claimed one.
type Request struct {
	ID      CallID
	Root    RootID
	Service Service
	Work    WorkKind
	Tenant  Tenant
	Policy  Policy
	Order   Order
	// Key is empty for idempotent requests and for runs of a claimed key.
	Key      Key
	Deadline Instant
	Retries  RetryCount
	Depth    Depth
	Attempt  uint16
	// Parent is the service whose backend server makes the call; empty at the entry.
	Parent Service
	Head   Head
	Caller Service
	// Name is the caller's own id of the request, for logs.
	Name RequestName
	// Route has the services among which the request is divided; Service is chosen
	// when it is submitted. It is nil when Service is set already.
	Route *Route
	Body  []byte
}
