package cassiatally

// Outcome is whether a request was run.
type Outcome uint8

const (
	// OutcomeUnknown means that the request may or may not have been run.
	OutcomeUnknown Outcome = iota
	// OutcomeNotRun means that the request was not run and will not be run.
	OutcomeNotRun
	// OutcomeRan means that the request was run.
	OutcomeRan
)

// String returns the name of the outcome as callers see it.
func (o Outcome) String() string {
	switch o {
	case OutcomeNotRun:
		return "not_run"
	case OutcomeRan:
		return "ran"
	default:
		return "unknown"
	}
}
