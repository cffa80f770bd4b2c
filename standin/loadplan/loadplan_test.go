package loadplan_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/standin/loadplan"
)

// Guards against values of a plan that are decoded wrongly.
func TestParse(t *testing.T) {
	is := is.New(t)
	plan, err := loadplan.Parse([]byte(`
classes:
  - {name: confirm, service: booking-svc, kind: confirm, timeout: 800ms, keyed: true, resend: {policy: hard, count: 2, on_refusal: true}}
phases:
  - {name: base, duration: 10s, rates: {confirm: 20.5}}
`))
	is.NoErr(err)
	is.Equal(plan.Classes[0].Target, 800*time.Millisecond)
	is.Equal(plan.Classes[0].Resend, loadplan.Resend{Policy: loadplan.ResendHard, Count: 2, OnRefusal: true})
	is.Equal(plan.Phases[0].Duration, 10*time.Second)
	is.Equal(plan.Phases[0].Rates["confirm"], loadplan.Rate(20.5))
}

// Guards against a misspelt or incomplete plan that is accepted and generates
// another load than intended.
func TestParseRefuses(t *testing.T) {
	const class = "classes: [{name: a, service: s, kind: k%}]\n"
	const phase = "phases: [{name: p, duration: 1s, rates: {a: 1}}]\n"
	cases := []struct{ name, plan, want string }{
		{"empty", "{}", "needs classes and phases"},
		{"unknown field", strings.Replace(class, "%", ", timout: 1s", 1) + phase, "timout"},
		{"unknown policy", strings.Replace(class, "%", ", resend: {policy: soft}", 1) + phase, "none or hard"},
		{"count without policy", strings.Replace(class, "%", ", resend: {count: 1}", 1) + phase, "without a policy"},
		{"rate of no class", strings.Replace(class, "%", "", 1) + "phases: [{name: p, duration: 1s, rates: {b: 1}}]\n", "which is no class"},
		{"phase without duration", strings.Replace(class, "%", "", 1) + "phases: [{name: p}]\n", "positive duration"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := loadplan.Parse([]byte(c.plan))
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.want))
		})
	}
}
