// Package faultswitch switches off single mechanisms, so that scenarios can be
// seen to fail without them. Only builds with the tag faultinjection have the
// switches; in other builds Off is a constant and the compiler drops its branches.
//
// # Usage
//
//	if faultswitch.Off(faultswitch.ClaimAck) {
//		return true
//	}
//
// A build with the tag reads the mechanisms to switch off, separated by commas,
// from the environment:
//
//	CASSIATALLY_SWITCH_OFF=claim_ack go test -count=1 ./scenarios/...
package faultswitch

// Mechanism names what can be switched off.
type Mechanism string

const (
	// Claims sends requests with a key to backend servers without a claim.
	Claims Mechanism = "claims"
	// ClaimAck runs a claimed request before the standby has recorded the claim.
	ClaimAck Mechanism = "claim_ack"
	// StandbyRecord acknowledges claims at the standby without recording them.
	StandbyRecord Mechanism = "standby_record"
	// CompleteFrom runs keys of epochs whose claims are not all known.
	CompleteFrom Mechanism = "complete_from"
	// ClaimUnresolved tells not_run for a re-sent key whose holder is out of reach.
	ClaimUnresolved Mechanism = "claim_unresolved"
	// LogBase judges a log whose beginning was dropped as if it were whole.
	LogBase Mechanism = "log_base"
	// WinningRecord acts on a takeover before its record is read back from the log
	// as the winner.
	WinningRecord Mechanism = "winning_record"
	// VersionGrowth puts a sheet of a peer in force although its version is lower.
	VersionGrowth Mechanism = "version_growth"
	// LinkSilence leaves links open on which nothing arrives.
	LinkSilence Mechanism = "link_silence"
	// RunQuery takes a call on a lost link as not run.
	RunQuery Mechanism = "run_query"
	// RetryBudget lets every failed call be retried while its root request has
	// retries left.
	RetryBudget Mechanism = "retry_budget"
	// AnswerLength takes an answer of a backend server that ends early as whole.
	AnswerLength Mechanism = "answer_length"
	// AnswerTag takes an answer that is tagged as that of another request.
	AnswerTag Mechanism = "answer_tag"
	// CrashReports answers broken runs before the other nodes know of the crash.
	CrashReports Mechanism = "crash_news"
	// SuspectsWait runs requests that were in flight in a crash side by side.
	SuspectsWait Mechanism = "suspects_wait"
	// LostRetries leaves requests that lost their endpoint to the retry budget of
	// refused ones.
	LostRetries Mechanism = "lost_retries"
)
