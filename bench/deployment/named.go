package deployment

import (
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/standin/loadplan"
)

const (
	kibi = 1 << 10
	// maxResends is how often callers send a request again after a timeout.
	maxResends = 2
	// maxLookups bounds how often callers query the outcome of a key.
	maxLookups = 3
)

// newClass returns a class whose callers time out at the target time and then send
// the request again.
func newClass(name, service, kind string, target time.Duration, weight float64) Class {
	return Class{Weight: weight, Class: loadplan.Class{
		Name: loadplan.ClassName(name), Service: cassiatally.Service(service), Kind: cassiatally.WorkKind(kind),
		Tenants: []cassiatally.Tenant{"north", "south", "east", "west"},
		Timeout: target, Target: target, BodySize: kibi,
		Resend: loadplan.Resend{Policy: loadplan.ResendHard, Count: maxResends},
	}}
}

// newKeyedClass returns a class of work that is not idempotent, whose requests
// carry idempotency keys.
func newKeyedClass(name, service, kind string, target time.Duration, weight float64) Class {
	c := newClass(name, service, kind, target, weight)
	c.Keyed = true
	c.Lookups = maxLookups
	return c
}

func barrier() Deployment {
	const check = "avail-svc/check"
	return Deployment{
		DataCentres: []cassiatally.DataCentre{"edinburgh", "glasgow", "stirling", "dundee"},
		Bottleneck:  "avail-svc",
		DeepestKind: "check",
		Services: []Service{
			{Name: "avail-svc", Slots: 15, Connections: 200, Work: []string{"check"}},
			{Name: "booking-svc", Slots: 110, Connections: 750, Work: []string{"confirm=" + check + ",dispatch-svc/schedule_delivery,depot-svc/reserve"}},
			{Name: "dispatch-svc", Slots: 110, Connections: 750, Work: []string{"schedule_delivery", "view_schedule=" + check}},
			{Name: "depot-svc", Slots: 110, Connections: 750, Work: []string{"reserve", "check_stock=" + check, "report"}},
		},
		Classes: []Class{
			// At 6 times capacity, the most urgent work alone is still below capacity.
			newKeyedClass("confirm", "booking-svc", "confirm", 2*time.Second, 0.1),
			newClass("check", "avail-svc", "check", 800*time.Millisecond, 0.25),
			newClass("stock", "depot-svc", "check_stock", 800*time.Millisecond, 0.25),
			newClass("view", "dispatch-svc", "view_schedule", 1500*time.Millisecond, 0.2),
			newClass("report", "depot-svc", "report", 10*time.Second, 0.2),
		},
		Bypassing:     []loadplan.ClassName{"report"},
		CallerLatency: time.Millisecond,
		Sheet:         "examples/barrier/sheet.csv",
	}
}

func intake() Deployment {
	const verify = "harapan/verify"
	return Deployment{
		DataCentres: []cassiatally.DataCentre{"manila", "quezon", "baguio", "batangas"},
		Bottleneck:  "harapan",
		DeepestKind: "verify",
		Services: []Service{
			{Name: "harapan", Slots: 10, Connections: 160, Work: []string{"verify"}},
			{Name: "archivo", Slots: 90, Connections: 630, Work: []string{"prior_filings=" + verify}},
			{Name: "kasunduan", Slots: 90, Connections: 630, Work: []string{"sign=archivo/prior_filings"}},
			{Name: "pormularyo", Slots: 90, Connections: 630, Work: []string{"fill=" + verify, "export=" + verify}},
		},
		Classes: []Class{
			// At 6 times capacity, the most urgent work alone is still below capacity.
			newClass("prior_filings", "archivo", "prior_filings", 800*time.Millisecond, 0.05),
			newKeyedClass("sign", "kasunduan", "sign", 2*time.Second, 0.05),
			newClass("fill", "pormularyo", "fill", 1500*time.Millisecond, 0.4),
			newClass("export", "pormularyo", "export", 10*time.Second, 0.5),
		},
		CallerLatency: 8 * time.Millisecond,
		Sheet:         "examples/intake/sheet.yaml",
	}
}
