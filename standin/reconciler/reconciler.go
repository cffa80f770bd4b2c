// Package reconciler compares the results reported to callers with the runs at
// backend servers, and lists violations of the guarantees of the system.
//
// # Usage
//
//	r := reconciler.New(runs)
//	report := r.Check(results)
//	if len(report.Violations) > 0 {
//		return err
//	}
package reconciler

import (
	"cmp"
	"slices"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/standin/core"
)

// Rule identifies a guarantee that is checked.
type Rule string

const (
	// RuleNotRunButRan is violated when a request that was reported as not run has
	// a run.
	RuleNotRunButRan Rule = "not_run_but_ran"
	// RuleKeyedRanTwice is violated when a request with a key has more than one run.
	RuleKeyedRanTwice Rule = "keyed_ran_twice"
	// RuleRanWithoutRun is violated when a request that was reported as run has no
	// run.
	RuleRanWithoutRun Rule = "ran_without_run"
	// RuleForeignAnswer is violated by an answer to another request.
	RuleForeignAnswer Rule = "foreign_answer"
	// RuleIncompleteAnswer is violated by an answer that is truncated or does not
	// match its digest.
	RuleIncompleteAnswer Rule = "incomplete_answer"
)

// Rules returns all rules in the order of the report.
func Rules() []Rule {
	return []Rule{RuleNotRunButRan, RuleKeyedRanTwice, RuleRanWithoutRun, RuleForeignAnswer, RuleIncompleteAnswer}
}

// Violation is one violation of a rule. Runs are the runs of the request, or of
// the key when no reported result has that key.
type Violation struct {
	Rule  Rule
	ID    core.RequestID
	Key   cassiatally.Key
	Class string
	Runs  []core.RecordID
}

// Report is the result of a comparison.
type Report struct {
	ReportedResults int
	Runs            int
	// Unfinished counts runs without a recorded end, such as those of a killed
	// backend server.
	Unfinished int
	// Outcomes counts requests by the outcome reported to their callers.
	Outcomes map[string]int
	// Repeated counts requests without a key that have more than one run, which is
	// allowed.
	Repeated   int
	Violations []Violation
}

// Count returns the number of violations of a rule.
func (r Report) Count(rule Rule) int {
	n := 0
	for _, v := range r.Violations {
		if v.Rule == rule {
			n++
		}
	}
	return n
}

// requestKey identifies a caller's request at the service that it was sent to.
// Service and kind are part of it since onward calls carry the same id to other
// services or kinds of work.
type requestKey struct {
	id      core.RequestID
	service cassiatally.Service
	kind    cassiatally.WorkKind
}

// Reconciler checks reported results against the runs of one trial.
type Reconciler struct {
	runs       int
	unfinished int
	byRequest  map[requestKey][]core.RecordID
	byKey      map[cassiatally.Key][]core.RecordID
}

// New returns a reconciler for the runs.
func New(runs []core.Run) *Reconciler {
	r := &Reconciler{
		runs:      len(runs),
		byRequest: make(map[requestKey][]core.RecordID),
		byKey:     make(map[cassiatally.Key][]core.RecordID),
	}
	for _, run := range runs {
		if run.State == core.RunStarted {
			r.unfinished++
		}
		if run.ID != "" {
			key := requestKey{run.ID, run.Service, run.Kind}
			r.byRequest[key] = append(r.byRequest[key], run.Record)
		}
		if run.Key != "" {
			r.byKey[run.Key] = append(r.byKey[run.Key], run.Record)
		}
	}
	return r
}

// Check compares the reported results with the runs.
func (r *Reconciler) Check(results []core.ReportedResult) Report {
	report := Report{ReportedResults: len(results), Runs: r.runs, Unfinished: r.unfinished, Outcomes: make(map[string]int)}
	listedKeys := make(map[cassiatally.Key]bool)
	for _, result := range results {
		report.Outcomes[result.Outcome]++
		runs := r.byRequest[requestKey{result.ID, result.Service, result.Kind}]
		if result.Key == "" && len(runs) > 1 {
			report.Repeated++
		}
		for _, rule := range violatedRules(result, len(runs)) {
			if rule == RuleKeyedRanTwice {
				listedKeys[result.Key] = true
			}
			report.Violations = append(report.Violations, Violation{Rule: rule, ID: result.ID, Key: result.Key, Class: result.Class, Runs: runs})
		}
	}
	report.Violations = append(report.Violations, r.unlistedRepeatedKeys(listedKeys)...)
	return report
}

func violatedRules(result core.ReportedResult, runs int) []Rule {
	var rules []Rule
	if (result.Outcome == core.ReportedNotRun || result.LookedUp == core.ReportedNotRun) && runs > 0 {
		rules = append(rules, RuleNotRunButRan)
	}
	if result.Key != "" && runs > 1 {
		rules = append(rules, RuleKeyedRanTwice)
	}
	if (result.Outcome == core.ReportedRan || result.LookedUp == core.ReportedRan) && runs == 0 {
		rules = append(rules, RuleRanWithoutRun)
	}
	switch result.Fault {
	case core.FaultForeign:
		rules = append(rules, RuleForeignAnswer)
	case core.FaultIncomplete, core.FaultCorrupted:
		rules = append(rules, RuleIncompleteAnswer)
	}
	return rules
}

// unlistedRepeatedKeys returns violations for keys with more than one run that no
// reported result has, such as the keys of onward calls.
func (r *Reconciler) unlistedRepeatedKeys(listedKeys map[cassiatally.Key]bool) []Violation {
	var found []Violation
	for key, runs := range r.byKey {
		if len(runs) > 1 && !listedKeys[key] {
			found = append(found, Violation{Rule: RuleKeyedRanTwice, Key: key, Runs: runs})
		}
	}
	slices.SortFunc(found, func(x, y Violation) int { return cmp.Compare(x.Key, y.Key) })
	return found
}
