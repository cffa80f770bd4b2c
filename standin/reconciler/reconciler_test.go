package reconciler_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/standin/core"
	"github.com/cassiatally/cassiatally/standin/reconciler"
)

// newRun returns a finished run at booking-svc, or at avail-svc if service is not
// empty.
func newRun(record core.RecordID, service string) core.Run {
	r := core.Run{Record: record, ID: "r1", Kind: "confirm", State: core.RunFinished}
	r.Service = "booking-svc"
	if service != "" {
		r.Service = "avail-svc"
	}
	return r
}

func newResult(outcome string) core.ReportedResult {
	return core.ReportedResult{ID: "r1", Service: "booking-svc", Kind: "confirm", Outcome: outcome}
}

// Guards against a violation that is not detected, and against a violation that
// is listed for a trial without one.
func TestCheck(t *testing.T) {
	keyed := newResult(core.ReportedRan)
	keyed.Key = "dc.0.1.0"
	lookedUp := newResult(core.ReportedUnknown)
	lookedUp.LookedUp = core.ReportedNotRun
	foreign, incomplete, corrupted := newResult(core.ReportedRan), newResult(core.ReportedRan), newResult(core.ReportedRan)
	foreign.Fault, incomplete.Fault, corrupted.Fault = core.FaultForeign, core.FaultIncomplete, core.FaultCorrupted
	childKey := newRun("b", "avail-svc")
	childKey.Key = "dc.0.1.1"
	childKeyAgain := childKey
	childKeyAgain.Record = "c"
	aborted := newRun("a", "")
	aborted.State = core.RunAborted
	cases := []struct {
		name   string
		result core.ReportedResult
		runs   []core.Run
		want   []reconciler.Rule
	}{
		{"ran once", newResult(core.ReportedRan), []core.Run{newRun("a", "")}, nil},
		{"not run", newResult(core.ReportedNotRun), nil, nil},
		{"unknown and run", newResult(core.ReportedUnknown), []core.Run{newRun("a", "")}, nil},
		{"unknown and not run", newResult(core.ReportedUnknown), nil, nil},
		{"not run, but an onward call has the id", newResult(core.ReportedNotRun), []core.Run{newRun("a", "avail-svc")}, nil},
		{"without a key, run twice", newResult(core.ReportedRan), []core.Run{newRun("a", ""), newRun("b", "")}, nil},
		{"not run, but run", newResult(core.ReportedNotRun), []core.Run{newRun("a", "")}, []reconciler.Rule{reconciler.RuleNotRunButRan}},
		{"not run, but begun", newResult(core.ReportedNotRun), []core.Run{aborted}, []reconciler.Rule{reconciler.RuleNotRunButRan}},
		{"looked up as not run, but run", lookedUp, []core.Run{newRun("a", "")}, []reconciler.Rule{reconciler.RuleNotRunButRan}},
		{"with a key, run twice", keyed, []core.Run{newRun("a", ""), newRun("b", "")}, []reconciler.Rule{reconciler.RuleKeyedRanTwice}},
		{"key of an onward call, run twice", newResult(core.ReportedRan), []core.Run{newRun("a", ""), childKey, childKeyAgain}, []reconciler.Rule{reconciler.RuleKeyedRanTwice}},
		{"ran without a run", newResult(core.ReportedRan), nil, []reconciler.Rule{reconciler.RuleRanWithoutRun}},
		{"foreign answer", foreign, []core.Run{newRun("a", "")}, []reconciler.Rule{reconciler.RuleForeignAnswer}},
		{"incomplete answer", incomplete, []core.Run{newRun("a", "")}, []reconciler.Rule{reconciler.RuleIncompleteAnswer}},
		{"corrupted answer", corrupted, []core.Run{newRun("a", "")}, []reconciler.Rule{reconciler.RuleIncompleteAnswer}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			report := reconciler.New(c.runs).Check([]core.ReportedResult{c.result})
			var got []reconciler.Rule
			for _, v := range report.Violations {
				got = append(got, v.Rule)
			}
			is.Equal(got, c.want)
			for _, rule := range c.want {
				is.Equal(report.Count(rule), 1)
			}
		})
	}
}
