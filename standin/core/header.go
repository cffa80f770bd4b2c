package core

// The headers of requests and answers.
const (
	HeaderRun           = "Cassiatally-Run"
	HeaderRoot          = "Cassiatally-Root"
	HeaderTimeout       = "Cassiatally-Timeout"
	HeaderKind          = "Cassiatally-Kind"
	HeaderTenant        = "Cassiatally-Tenant"
	HeaderRank          = "Cassiatally-Rank"
	HeaderCall          = "Cassiatally-Call"
	HeaderAttempt       = "Cassiatally-Attempt"
	HeaderOutcome       = "Cassiatally-Outcome"
	HeaderRequest       = "Cassiatally-Request"
	HeaderKey           = "Idempotency-Key"
	HeaderContentDigest = "Content-Digest"
)
