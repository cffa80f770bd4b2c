// Package adviser tells callers what to do next after each kind of error.
//
// # Usage
//
//	text := adviser.Adviser{}.Advice("overloaded", false)
package adviser

import "github.com/cassiatally/cassiatally/cassiatally"

// Adviser knows what to do for each error kind.
type Adviser struct{}

const (
	lookUp    = "look the key up with cassiatally key show; never send the work again under a new key on your own"
	sendAgain = "send the request again later, or add --resend N"
)

// unkeyed replaces the advice to look a key up for requests that have none.
const unkeyed = "the kind of work is idempotent, so send the request again"

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
	cassiatally.KindOverloaded:         sendAgain,
	cassiatally.KindExpired:            "allow more time with --timeout",
	cassiatally.KindCancelled:          "it was cancelled; send it again if it is still wanted",
	cassiatally.KindNoBackend:          "see cassiatally status for the endpoints of the service and the sheet in force; " + sendAgain,
	cassiatally.KindDraining:           sendAgain,
	cassiatally.KindRetryBudgetSpent:   sendAgain,
	cassiatally.KindUnavailable:        lookUp,
	cassiatally.KindOutcomeUnknown:     lookUp,
	cassiatally.KindBackendFailed:      "see the body",
	cassiatally.KindBackendRefused:     sendAgain,
	cassiatally.KindIncompleteAnswer:   lookUp,
	cassiatally.KindQuarantined:        "do not send it again: it has crashed backend servers; see docs/OPERATIONS.md",
	cassiatally.KindProtocol:           "report it with the versions of the nodes",
	cassiatally.KindUnsupportedVersion: "update the older node",
	cassiatally.KindUnreachable:        "check that the node runs and that the address is its listen.callers; " + sendAgain,
	cassiatally.KindInvalidSheet:       "correct the sheet; cassiatally sheet check shows every problem",
	cassiatally.KindVersionConflict:    "look at the sheet in force and publish again with its version in --based-on",
	cassiatally.KindLogUnavailable:     "try again when the log service answers",
	cassiatally.KindInvalidSettings:    "correct the settings; cassiatally settings check shows every problem",
	cassiatally.KindUsage:              "see --help",
	cassiatally.KindInternal:           "report it with the log of the node",
}

// Advice returns what to do after an error of the named kind.
func (Adviser) Advice(kind string, keyed bool) string {
	for k, text := range advice {
		if k.String() != kind {
			continue
		}
		if text == lookUp && !keyed {
			return unkeyed
		}
		return text
	}
	return "see docs/http.md"
}
