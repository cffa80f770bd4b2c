// Package faultswitch disables single mechanisms, to verify that scenarios fail
// without them. Only builds with the tag faultinjection have the switches; in
// other builds Off is constant and the compiler removes its branches.
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

// Mechanism names a mechanism that can be switched off.
type Mechanism string

// Each comment describes the behaviour while the mechanism is switched off.
const (
	// Claims sends requests with a key to backend servers without a claim.
	Claims Mechanism = "claims"
	// ClaimAck runs a claimed request before the standby has recorded the claim.
	ClaimAck Mechanism = "claim_ack"
	// StandbyRecord acknowledges claims at the standby without recording them.
	StandbyRecord Mechanism = "standby_record"
	// CompleteFrom runs keys of epochs of which the holder lacks claims.
	CompleteFrom Mechanism = "complete_from"
	// ClaimUnresolved answers not_run for a re-sent key whose holder is unreachable.
	ClaimUnresolved Mechanism = "claim_unresolved"
	// LogBase folds a truncated log as if it began with its first record.
	LogBase Mechanism = "log_base"
	// WinningRecord applies a takeover before its record is read back from the log
	// as the winner.
	WinningRecord Mechanism = "winning_record"
	// VersionGrowth puts a peer's sheet in force even if its version is lower.
	VersionGrowth Mechanism = "version_growth"
	// LinkSilence keeps links open on which nothing arrives.
	LinkSilence Mechanism = "link_silence"
	// RunQuery treats a call on a lost link as not run.
	RunQuery Mechanism = "run_query"
	// RetryBudget lets every failed call be retried while its root request has
	// retries left.
	RetryBudget Mechanism = "retry_budget"
	// AnswerLength accepts a truncated answer of a backend server as complete.
	AnswerLength Mechanism = "answer_length"
	// AnswerTag accepts an answer that is tagged as that of another request.
	AnswerTag Mechanism = "answer_tag"
	// CrashReports answers the runs that a crash ended before the other nodes have
	// received the crash report.
	CrashReports Mechanism = "crash_news"
	// SuspectsWait runs requests that were in flight in a crash concurrently.
	SuspectsWait Mechanism = "suspects_wait"
	// LostRetries charges retries of requests that lost their endpoint to the retry
	// budget of refused requests.
	LostRetries Mechanism = "lost_retries"
)
