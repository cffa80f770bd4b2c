package cassiatally

import "time"

// QuotaWindow is the window of the bound on the requests of a tenant.
const QuotaWindow = 5 * time.Second

// QuotaCandidate is a node that may own the quotas of tenants. The address is included
// because nodes know only some members of other data centres.
type QuotaCandidate struct {
	Node       NodeID
	DataCentre DataCentre
	Address    Address
}

// QuotaRequest asks a candidate for tokens of a tenant's quota. Each token admits one
// request.
type QuotaRequest struct {
	Seq    uint64
	Tenant Tenant
	Want   int
}

// QuotaGrant answers a QuotaRequest.
type QuotaGrant struct {
	Seq     uint64
	Tenant  Tenant
	Granted int
	// Next is the time until the bucket has another token. RetryAfter is the time after
	// which callers that got none may come back. Both are set when Granted is less than
	// what was asked for.
	Next, RetryAfter time.Duration
	// Declined is set when the node does not grant tokens of the tenant. Better is then
	// the candidate that does, or empty when none is known.
	Declined bool
	Better   QuotaCandidate
	// Fleet is the number of members of all data centres; 0 when that is unknown.
	Fleet int
}

// QuotaBeat states to a candidate that another one is live. Nodes that are not candidates
// answer it with the candidates of their data centre.
type QuotaBeat struct {
	From QuotaCandidate
	// Eligible is set while the sender grants tokens of the tenants it owns.
	Eligible bool
	// Live is the number of members of the sender's data centre, and Known the greatest
	// one in the last 60 s. Known is 0 when the sender is no candidate.
	Live, Known int
	// Alive has the candidates that are live and eligible for the sender.
	Alive []NodeID
	// Candidates are those of the sender's data centre.
	Candidates []QuotaCandidate
}

func (QuotaRequest) message() {}
func (QuotaGrant) message()   {}
func (QuotaBeat) message()    {}
