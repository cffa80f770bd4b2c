package cassiatally

import "time"

// Policy is how a request is treated, as the sheet or its route specifies.
type Policy struct {
	Rank Rank
	// Share is the fraction of the capacity that is reserved for the rank.
	Share      Share
	Target     time.Duration
	Idempotent bool
	Version    Version
}

// Request is a request submitted to the router of a node: a caller's, an onward call
// of a backend server, or the run of a claimed key.
type Request struct {
	ID      CallID
	Root    RootID
	Service Service
	Work    WorkKind
	Tenant  Tenant
	Policy  Policy
	Order   Order
	// Key is empty for idempotent requests and for runs of a claimed key.
	Key Key
	// Claimed is set for the run of a claimed key, which was admitted at the node where the
	// request entered.
	Claimed  bool
	Deadline Instant
	Retries  RetryCount
	// Sends bounds the number of endpoints that this layer sends the request to; 0 means
	// that only Retries bounds it.
	Sends int
	Depth Depth
	// Repeated is set when a run further up the chain was retried and makes its calls
	// again.
	Repeated bool
	// Progress is the number of onward calls that the parent's run has completed.
	Progress uint8
	Attempt  uint16
	// Parent is the service whose backend server makes the call; empty at the entry.
	Parent Service
	Head   Head
	Caller Service
	// Name is the caller's own id of the request, for logs.
	Name RequestName
	// Route has the services of which one is chosen for Service when the request is
	// submitted. It is nil when Service is already set.
	Route *Route
	Body  []byte
}

// ApplyPrepared copies into an onward call what a front end prepared for it. Rank,
// retries and depth stay those that the parent run gave, and the earlier of the two
// deadlines applies.
func (r *Request) ApplyPrepared(in *Request) {
	r.Service, r.Work, r.Route = in.Service, in.Work, in.Route
	r.Policy.Idempotent, r.Policy.Version = in.Policy.Idempotent, in.Policy.Version
	r.Policy.Target = in.Policy.Target
	r.Deadline = min(r.Deadline, in.Deadline)
	r.Sends = in.Sends
	r.Head, r.Caller, r.Name, r.Body = in.Head, in.Caller, in.Name, in.Body
}
