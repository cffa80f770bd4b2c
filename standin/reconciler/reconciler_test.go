package reconciler_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/standin/core"
	"github.com/cassiatally/cassiatally/standin/reconciler"
)

func ran(record core.RecordID, service string) core.Run {
	r := core.Run{Record: record, ID: "r1", Kind: "confirm", State: core.RunFinished}
	r.Service = "booking-svc"
	if service != "" {
		r.Service = "avail-svc"
	}
	return r
}

func told(outcome string) core.Told {
	return core.Told{ID: "r1", Service: "booking-svc", Kind: "confirm", Outcome: outcome}
}

// Guards against a violation that goes unnoticed and against a truthful trial
// that is called a violation.
func TestCheck(t *testing.T) {
	keyed := told(core.ToldRan)
	keyed.Key = "dc.0.1.0"
	lookedUp := told(core.ToldUnknown)
	lookedUp.LookedUp = core.ToldNotRun
	foreign, incomplete, corrupted := told(core.ToldRan), told(core.ToldRan), told(core.ToldRan)
	foreign.Fault, incomplete.Fault, corrupted.Fault = core.FaultForeign, core.FaultIncomplete, core.FaultCorrupted
	childKey := ran("b", "avail-svc")
	childKey.Key = "dc.0.1.1"
	childKeyAgain := childKey
	childKeyAgain.Record = "c"
	aborted := ran("a", "")
	aborted.State = core.RunAborted
	cases := []struct {
		name string
		told core.Told
		runs []core.Run
		want []reconciler.Rule
	}{
		{"ran once", told(core.ToldRan), []core.Run{ran("a", "")}, nil},
		{"not run", told(core.ToldNotRun), nil, nil},
		{"unknown and run", told(core.ToldUnknown), []core.Run{ran("a", "")}, nil},
		{"unknown and not run", told(core.ToldUnknown), nil, nil},
		{"not run, but an onward call has the id", told(core.ToldNotRun), []core.Run{ran("a", "avail-svc")}, nil},
		{"without a key, run twice", told(core.ToldRan), []core.Run{ran("a", ""), ran("b", "")}, nil},
		{"not run, but run", told(core.ToldNotRun), []core.Run{ran("a", "")}, []reconciler.Rule{reconciler.RuleNotRunButRan}},
		{"not run, but begun", told(core.ToldNotRun), []core.Run{aborted}, []reconciler.Rule{reconciler.RuleNotRunButRan}},
		{"looked up as not run, but run", lookedUp, []core.Run{ran("a", "")}, []reconciler.Rule{reconciler.RuleNotRunButRan}},
		{"with a key, run twice", keyed, []core.Run{ran("a", ""), ran("b", "")}, []reconciler.Rule{reconciler.RuleKeyedRanTwice}},
		{"key of an onward call, run twice", told(core.ToldRan), []core.Run{ran("a", ""), childKey, childKeyAgain}, []reconciler.Rule{reconciler.RuleKeyedRanTwice}},
		{"ran without a run", told(core.ToldRan), nil, []reconciler.Rule{reconciler.RuleRanWithoutRun}},
		{"foreign answer", foreign, []core.Run{ran("a", "")}, []reconciler.Rule{reconciler.RuleForeignAnswer}},
		{"incomplete answer", incomplete, []core.Run{ran("a", "")}, []reconciler.Rule{reconciler.RuleIncompleteAnswer}},
		{"corrupted answer", corrupted, []core.Run{ran("a", "")}, []reconciler.Rule{reconciler.RuleIncompleteAnswer}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			report := reconciler.New(c.runs).Check([]core.Told{c.told})
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
