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
	// Sends bounds the endpoints that this layer sends the request to; 0 means that
	// only Retries does.
	Sends int
	Depth Depth
	// Repeated tells that a run further up the chain was repeated and makes its calls
	// again.
	Repeated bool
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

// Onward makes the request one that a front end has prepared, within what its
// parent leaves it.
func (r *Request) Onward(in *Request) {
	r.Service, r.Work, r.Route = in.Service, in.Work, in.Route
	r.Policy.Idempotent, r.Policy.Version = in.Policy.Idempotent, in.Policy.Version
	r.Policy.Target = in.Policy.Target
	r.Deadline = min(r.Deadline, in.Deadline)
	r.Sends = in.Sends
	r.Head, r.Caller, r.Name, r.Body = in.Head, in.Caller, in.Name, in.Body
}
