package cassiatally

import (
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"
)

// ErrorKind is one of a closed list of ways in which a request or a command can
// fail. Spec returns its status, exit code and default outcome.
type ErrorKind uint8

// The kinds of error. Their numbers are part of the protocol between nodes.
const (
	KindNone ErrorKind = iota
	KindBadRequest
	KindTooLarge
	KindUnknownService
	KindUnknownKind
	KindKeyRequired
	KindKeyInvalid
	KindKeyConflict
	KindKeyExpired
	KindAnswerExpired
	KindParentIdempotent
	KindUnknownParent
	KindOverloaded
	KindExpired
	KindCancelled
	KindNoBackend
	KindDraining
	KindRetryBudgetSpent
	KindUnavailable
	KindOutcomeUnknown
	KindBackendFailed
	KindIncompleteAnswer
	KindQuarantined
	KindProtocol
	KindUnsupportedVersion
	KindUnreachable
	KindInvalidSheet
	KindVersionConflict
	KindLogUnavailable
	KindInvalidSettings
	KindUsage
	KindInternal
	KindBackendRefused
	KindUnauthenticated
	KindQuotaExceeded
	errorKindCount
)

// ExitCode is the exit status of a program.
type ExitCode int

// The exit codes of every program.
const (
	ExitSuccess ExitCode = 0
	ExitFailure ExitCode = 1
	ExitUsage   ExitCode = 2
)

// ErrorSpec is what callers get for an error kind.
type ErrorSpec struct {
	Name   string
	Title  string
	Status int
	Exit   ExitCode
	// Outcome is the default for errors that are raised without an outcome of their own.
	Outcome Outcome
	// Retryable allows the layer directly above to try another endpoint.
	Retryable bool
}

var errorSpecs = [errorKindCount]ErrorSpec{
	KindNone:               {"none", "No error", http.StatusOK, ExitSuccess, OutcomeRan, false},
	KindBadRequest:         {"bad_request", "The request is malformed", http.StatusBadRequest, ExitUsage, OutcomeNotRun, false},
	KindTooLarge:           {"too_large", "The request is too large", http.StatusRequestEntityTooLarge, ExitFailure, OutcomeNotRun, false},
	KindUnknownService:     {"unknown_service", "No such service", http.StatusNotFound, ExitFailure, OutcomeNotRun, false},
	KindUnknownKind:        {"unknown_kind", "The sheet has no such kind of work", http.StatusNotFound, ExitFailure, OutcomeNotRun, false},
	KindKeyRequired:        {"key_required", "The request needs an idempotency key", http.StatusPreconditionRequired, ExitFailure, OutcomeNotRun, false},
	KindKeyInvalid:         {"key_invalid", "The idempotency key was not minted by a node", http.StatusBadRequest, ExitFailure, OutcomeNotRun, false},
	KindKeyConflict:        {"key_conflict", "The idempotency key belongs to another request", http.StatusUnprocessableEntity, ExitFailure, OutcomeNotRun, false},
	KindKeyExpired:         {"key_expired", "The idempotency key is too old to be answered for", http.StatusGone, ExitFailure, OutcomeUnknown, false},
	KindAnswerExpired:      {"answer_expired", "The request was run; its answer is no longer stored", http.StatusGone, ExitFailure, OutcomeRan, false},
	KindParentIdempotent:   {"parent_idempotent", "An idempotent parent made a non-idempotent call without a key", http.StatusConflict, ExitFailure, OutcomeNotRun, false},
	KindUnknownParent:      {"unknown_parent", "The parent run is not known here", http.StatusConflict, ExitFailure, OutcomeNotRun, false},
	KindOverloaded:         {"overloaded", "Capacity is short", http.StatusServiceUnavailable, ExitFailure, OutcomeNotRun, true},
	KindExpired:            {"expired", "The deadline passed before the request was run", http.StatusGatewayTimeout, ExitFailure, OutcomeNotRun, false},
	KindCancelled:          {"cancelled", "The caller left before the request was run", statusClientClosedRequest, ExitFailure, OutcomeNotRun, false},
	KindNoBackend:          {"no_backend", "No backend server of the service is in reach", http.StatusServiceUnavailable, ExitFailure, OutcomeNotRun, false},
	KindDraining:           {"draining", "The backend server is leaving", http.StatusServiceUnavailable, ExitFailure, OutcomeNotRun, true},
	KindRetryBudgetSpent:   {"retry_budget_spent", "The retry budget is spent", http.StatusServiceUnavailable, ExitFailure, OutcomeNotRun, false},
	KindUnavailable:        {"unavailable", "The key's shard has neither standby nor log", http.StatusServiceUnavailable, ExitFailure, OutcomeUnknown, false},
	KindOutcomeUnknown:     {"outcome_unknown", "The request may have been run", http.StatusBadGateway, ExitFailure, OutcomeUnknown, false},
	KindBackendFailed:      {"backend_failed", "The backend server reported a failure", http.StatusBadGateway, ExitFailure, OutcomeRan, false},
	KindIncompleteAnswer:   {"incomplete_answer", "The answer was not complete", http.StatusBadGateway, ExitFailure, OutcomeUnknown, false},
	KindQuarantined:        {"quarantined", "The request has crashed backend servers", http.StatusUnprocessableEntity, ExitFailure, OutcomeNotRun, false},
	KindProtocol:           {"protocol", "The message violates the protocol", http.StatusBadRequest, ExitFailure, OutcomeNotRun, false},
	KindUnsupportedVersion: {"unsupported_version", "The protocol version is not supported", http.StatusUpgradeRequired, ExitFailure, OutcomeNotRun, false},
	KindUnreachable:        {"unreachable", "The node cannot be reached", http.StatusBadGateway, ExitFailure, OutcomeNotRun, true},
	KindInvalidSheet:       {"invalid_sheet", "The sheet is invalid", http.StatusUnprocessableEntity, ExitFailure, OutcomeNotRun, false},
	KindVersionConflict:    {"version_conflict", "Another sheet was accepted first", http.StatusConflict, ExitFailure, OutcomeNotRun, false},
	KindLogUnavailable:     {"log_unavailable", "The log service cannot be reached", http.StatusServiceUnavailable, ExitFailure, OutcomeUnknown, false},
	KindInvalidSettings:    {"invalid_settings", "The settings are invalid", http.StatusUnprocessableEntity, ExitFailure, OutcomeNotRun, false},
	KindUsage:              {"usage", "The command line is wrong", http.StatusBadRequest, ExitUsage, OutcomeNotRun, false},
	KindBackendRefused:     {"backend_refused", "The backend server refused the request", http.StatusServiceUnavailable, ExitFailure, OutcomeNotRun, true},
	KindUnauthenticated:    {"unauthenticated", "The request has no valid key of a tenant", http.StatusUnauthorized, ExitFailure, OutcomeNotRun, false},
	KindQuotaExceeded:      {"quota_exceeded", "The quota of the tenant is used up", http.StatusTooManyRequests, ExitFailure, OutcomeNotRun, false},
	KindInternal:           {"internal", "Internal error", http.StatusInternalServerError, ExitFailure, OutcomeUnknown, false},
}

// statusClientClosedRequest is commonly used for a client that closed its connection
// before the answer; net/http has no name for it.
const statusClientClosedRequest = 499

// Spec returns what callers get for the kind. Unknown kinds count as KindInternal.
func (k ErrorKind) Spec() ErrorSpec {
	if k >= errorKindCount {
		return errorSpecs[KindInternal]
	}
	return errorSpecs[k]
}

// Valid reports whether the kind is in the closed list.
func (k ErrorKind) Valid() bool { return k < errorKindCount }

// String returns the name of the kind as callers see it.
func (k ErrorKind) String() string { return k.Spec().Name }

// ErrorKinds returns all kinds but KindNone, in the order of their numbers.
func ErrorKinds() []ErrorKind {
	kinds := make([]ErrorKind, 0, errorKindCount-1)
	for k := KindNone + 1; k < errorKindCount; k++ {
		kinds = append(kinds, k)
	}
	return kinds
}

// Error is an error with one of the kinds. Detail describes the failure and, where
// there is something to do about it, the next step.
type Error struct {
	Kind    ErrorKind
	Outcome Outcome
	Detail  string
}

// NewError returns an error of the kind with the kind's default outcome.
func NewError(k ErrorKind, format string, args ...any) *Error {
	return &Error{Kind: k, Outcome: k.Spec().Outcome, Detail: fmt.Sprintf(format, args...)}
}

// Error returns the name of the kind and the detail.
func (e *Error) Error() string { return e.Kind.String() + ": " + e.Detail }

// KindOf returns the kind of the first Error in the chain of err, KindInternal when
// there is none, and KindNone when err is nil.
func KindOf(err error) ErrorKind {
	if err == nil {
		return KindNone
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindInternal
}
