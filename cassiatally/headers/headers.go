// Package headers names the HTTP headers that callers, nodes and backend servers
// exchange. docs/http.md defines their meaning.
//
// # Usage
//
//	req.Header.Set(headers.Timeout, "800ms")
package headers

// The headers, in their canonical form.
const (
	// Outcome is the outcome of the request: ran, not_run or unknown.
	Outcome = "Cassiatally-Outcome"
	// Timeout is the time left for the request, as a duration such as 800ms.
	Timeout = "Cassiatally-Timeout"
	// Tenant names the organisation on whose behalf a request is sent.
	Tenant = "Cassiatally-Tenant"
	// Attempt is the number of times that the caller has sent the key, from 1.
	Attempt = "Cassiatally-Attempt"
	// Request is the id of the root request.
	Request = "Cassiatally-Request"
	// Run is the token of a run at a backend server.
	Run = "Cassiatally-Run"
	// Root is the id of the root request, towards backend servers.
	Root = "Cassiatally-Root"
	// Kind is the kind of work, towards backend servers.
	Kind = "Cassiatally-Kind"
	// Rank is the rank of the request, towards backend servers.
	Rank = "Cassiatally-Rank"
	// Call distinguishes the onward calls of one run.
	Call = "Cassiatally-Call"
	// Key is the idempotency key.
	Key = "Idempotency-Key"
	// Digest is the digest of the body, RFC 9530.
	Digest = "Content-Digest"
	// RetryAfter is the time to wait before sending again, in seconds.
	RetryAfter = "Retry-After"
)
