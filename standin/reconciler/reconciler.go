// Package reconciler compares what callers were told with what backend servers
// ran, and counts the violations of what the system promises.
//
// # Usage
//
//	r := reconciler.New(runs)
//	report := r.Check(told)
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

// Rule names a promise that can be violated.
type Rule string

const (
	// RuleNotRunButRan is violated when a request that was told not to have been
	// run has a run.
	RuleNotRunButRan Rule = "not_run_but_ran"
	// RuleKeyedRanTwice is violated when a request with a key has several runs.
	RuleKeyedRanTwice Rule = "keyed_ran_twice"
	// RuleRanWithoutRun is violated when a request that was told to have been run
	// has no run.
	RuleRanWithoutRun Rule = "ran_without_run"
	// RuleForeignAnswer is violated by an answer to another request.
	RuleForeignAnswer Rule = "foreign_answer"
	// RuleIncompleteAnswer is violated by an answer that ends early or does not
	// match its digest.
	RuleIncompleteAnswer Rule = "incomplete_answer"
)

// Rules returns all rules in their order.
func Rules() []Rule {
	return []Rule{RuleNotRunButRan, RuleKeyedRanTwice, RuleRanWithoutRun, RuleForeignAnswer, RuleIncompleteAnswer}
}

// Violation is one violated promise. Runs are those of the request, or of the
// key when no caller's request is known.
type Violation struct {
	Rule  Rule
	ID    core.RequestID
	Key   cassiatally.Key
	Class string
	Runs  []core.RecordID
}

// Report is the result of a comparison.
type Report struct {
	Told int
	Runs int
	// Unfinished counts runs without an end, as a killed backend server leaves them.
	Unfinished int
	// Outcomes counts requests by what their callers were told.
	Outcomes map[string]int
	// Repeated counts requests without a key that have several runs, which is
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

// request names a caller's request at the first service. Onward calls carry the
// same id to other services or kinds of work.
type request struct {
	id      core.RequestID
	service cassiatally.Service
	kind    cassiatally.WorkKind
}

// Reconciler compares with the runs of one trial.
type Reconciler struct {
	runs       int
	unfinished int
	byRequest  map[request][]core.RecordID
	byKey      map[cassiatally.Key][]core.RecordID
}

// New returns a reconciler for the runs.
func New(runs []core.Run) *Reconciler {
	r := &Reconciler{
		runs:      len(runs),
		byRequest: make(map[request][]core.RecordID),
		byKey:     make(map[cassiatally.Key][]core.RecordID),
	}
	for _, run := range runs {
		if run.State == core.RunStarted {
			r.unfinished++
		}
		if run.ID != "" {
			name := request{run.ID, run.Service, run.Kind}
			r.byRequest[name] = append(r.byRequest[name], run.Record)
		}
		if run.Key != "" {
			r.byKey[run.Key] = append(r.byKey[run.Key], run.Record)
		}
	}
	return r
}

// Check compares what callers were told with the runs.
func (r *Reconciler) Check(told []core.Told) Report {
	report := Report{Told: len(told), Runs: r.runs, Unfinished: r.unfinished, Outcomes: make(map[string]int)}
	reported := make(map[cassiatally.Key]bool)
	for _, t := range told {
		report.Outcomes[t.Outcome]++
		runs := r.byRequest[request{t.ID, t.Service, t.Kind}]
		if t.Key == "" && len(runs) > 1 {
			report.Repeated++
		}
		for _, rule := range violated(t, len(runs)) {
			if rule == RuleKeyedRanTwice {
				reported[t.Key] = true
			}
			report.Violations = append(report.Violations, Violation{Rule: rule, ID: t.ID, Key: t.Key, Class: t.Class, Runs: runs})
		}
	}
	report.Violations = append(report.Violations, r.repeatedKeys(reported)...)
	return report
}

func violated(t core.Told, runs int) []Rule {
	var rules []Rule
	if (t.Outcome == core.ToldNotRun || t.LookedUp == core.ToldNotRun) && runs > 0 {
		rules = append(rules, RuleNotRunButRan)
	}
	if t.Key != "" && runs > 1 {
		rules = append(rules, RuleKeyedRanTwice)
	}
	if (t.Outcome == core.ToldRan || t.LookedUp == core.ToldRan) && runs == 0 {
		rules = append(rules, RuleRanWithoutRun)
	}
	switch t.Fault {
	case core.FaultForeign:
		rules = append(rules, RuleForeignAnswer)
	case core.FaultIncomplete, core.FaultCorrupted:
		rules = append(rules, RuleIncompleteAnswer)
	}
	return rules
}

// repeatedKeys finds keys with several runs whose callers are not known, such
// as the keys of onward calls.
func (r *Reconciler) repeatedKeys(reported map[cassiatally.Key]bool) []Violation {
	var found []Violation
	for key, runs := range r.byKey {
		if len(runs) > 1 && !reported[key] {
			found = append(found, Violation{Rule: RuleKeyedRanTwice, Key: key, Runs: runs})
		}
	}
	slices.SortFunc(found, func(x, y Violation) int { return cmp.Compare(x.Key, y.Key) })
	return found
}
