// Package adviser has advice on what to do next for each kind of error.
//
// # Usage
//
//	text := adviser.Adviser{}.Advice("overloaded", false)
package adviser

import "github.com/cassiatally/cassiatally/cassiatally"

// Adviser returns the advice for error kinds.
type Adviser struct{}

const (
	lookUpAdvice = "look the key up with cassiatally key show; never send the work again under a new key on your own"
	resendAdvice = "send the request again later, or add --resend N"
)

// unkeyedAdvice replaces lookUpAdvice for requests without a key.
const unkeyedAdvice = "the kind of work is idempotent, so send the request again"

var advice = map[cassiatally.ErrorKind]string{
	cassiatally.KindBadRequest:         "correct the request",
	cassiatally.KindTooLarge:           "send a smaller body",
	cassiatally.KindUnknownService:     "check the name of the service; a backend server of it has to announce itself",
	cassiatally.KindUnknownKind:        "check the name of the kind of work, or add it to the sheet",
	cassiatally.KindKeyRequired:        "mint a key with cassiatally key mint and send it with --key",
	cassiatally.KindKeyInvalid:         "mint a key with cassiatally key mint",
	cassiatally.KindKeyConflict:        "the key was used for another request; mint one key for each request",
	cassiatally.KindKeyExpired:         "the key is too old to be answered for; find out at the service whether it was run",
	cassiatally.KindAnswerExpired:      "it was run; ask the service for its result",
	cassiatally.KindParentIdempotent:   "mark the parent's kind of work as not idempotent in the sheet, or have it send a minted key",
	cassiatally.KindUnknownParent:      "have the backend server pass on the Cassiatally-Run header of the run",
	cassiatally.KindOverloaded:         resendAdvice,
	cassiatally.KindExpired:            "allow more time with --timeout",
	cassiatally.KindCancelled:          "it was cancelled; send it again if it is still wanted",
	cassiatally.KindNoBackend:          "see cassiatally status for the endpoints of the service and the sheet in force; " + resendAdvice,
	cassiatally.KindDraining:           resendAdvice,
	cassiatally.KindRetryBudgetSpent:   resendAdvice,
	cassiatally.KindUnavailable:        lookUpAdvice,
	cassiatally.KindOutcomeUnknown:     lookUpAdvice,
	cassiatally.KindBackendFailed:      "see the body",
	cassiatally.KindBackendRefused:     resendAdvice,
	cassiatally.KindUnauthenticated:    "send the request with a valid key of a tenant",
	cassiatally.KindQuotaExceeded:      "send the request again after its Retry-After time, or have the quota of the tenant raised",
	cassiatally.KindIncompleteAnswer:   lookUpAdvice,
	cassiatally.KindQuarantined:        "do not send it again: it has crashed backend servers; see docs/OPERATIONS.md",
	cassiatally.KindProtocol:           "report it with the versions of the nodes",
	cassiatally.KindUnsupportedVersion: "update the older node",
	cassiatally.KindUnreachable:        "check that the node runs and that the address is its listen.callers; " + resendAdvice,
	cassiatally.KindInvalidSheet:       "correct the sheet; cassiatally sheet check shows every problem",
	cassiatally.KindVersionConflict:    "look at the sheet in force and publish again with its version in --based-on",
	cassiatally.KindLogUnavailable:     "try again when the log service answers",
	cassiatally.KindInvalidSettings:    "correct the settings; cassiatally settings check shows every problem",
	cassiatally.KindUsage:              "see --help",
	cassiatally.KindInternal:           "report it with the log of the node",
}

// Advice returns what to do after an error of the named kind. A request is keyed
// when it was sent with an idempotency key.
func (Adviser) Advice(kind string, keyed bool) string {
	for k, text := range advice {
		if k.String() != kind {
			continue
		}
		if text == lookUpAdvice && !keyed {
			return unkeyedAdvice
		}
		return text
	}
	return "see docs/http.md"
}
