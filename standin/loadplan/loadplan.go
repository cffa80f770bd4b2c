// Package loadplan reads the plan of a load from YAML.
//
// # Usage
//
//	plan, err := loadplan.Parse(data)
//
// A plan has classes of requests, and phases with a rate for each class:
//
//	classes:
//	  - name: confirm
//	    service: booking-svc
//	    kind: confirm
//	    tenants: [club, school]
//	    timeout: 800ms
//	    keyed: true
//	    resend: {policy: hard, count: 2}
//	phases:
//	  - {name: base, duration: 10s, rates: {confirm: 20}}
package loadplan

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"github.com/cassiatally/cassiatally/cassiatally"
)

type (
	// ClassName names a class of requests.
	ClassName string
	// PhaseName names a phase.
	PhaseName string
	// Rate is a number of requests per second.
	Rate float64
	// Policy selects when a caller resends a request.
	Policy string
)

const (
	// ResendNone sends each request once.
	ResendNone Policy = "none"
	// ResendHard resends a request immediately after its timeout or after a lost
	// connection.
	ResendHard Policy = "hard"
)

// defaultTimeout applies to classes without a timeout.
const defaultTimeout = time.Second

// Resend defines when and how often a request is resent.
type Resend struct {
	Policy Policy
	// Count is the maximum number of copies after the first.
	Count int
	// OnRefusal also resends a request that was reported as not run; a request with a
	// key then gets a new key.
	OnRefusal bool
}

// Class is a class of requests.
type Class struct {
	Name    ClassName
	Service cassiatally.Service
	Kind    cassiatally.WorkKind
	Tenants []cassiatally.Tenant
	// Timeout is the timeout of each copy of a request.
	Timeout time.Duration
	// Target is the maximum latency of a request that counts as in time.
	Target time.Duration
	Resend Resend
	Keyed  bool
	// Lookups is the maximum number of queries for the outcome of a key after an
	// unknown outcome.
	Lookups int
	// Text is included in the body, for example to crash backend servers.
	Text string
	// BodySize is the size in bytes to which bodies are padded.
	BodySize int
	// AnswerSize is the minimum size in bytes of a complete answer.
	AnswerSize int
}

// Phase is a period with constant rates.
type Phase struct {
	Name     PhaseName
	Duration time.Duration
	Rates    map[ClassName]Rate
}

// Plan is the plan of a load.
type Plan struct {
	Classes []Class
	Phases  []Phase
}

type planFile struct {
	Classes []classFile `yaml:"classes"`
	Phases  []phaseFile `yaml:"phases"`
}

type classFile struct {
	Name       ClassName            `yaml:"name"`
	Service    cassiatally.Service  `yaml:"service"`
	Kind       cassiatally.WorkKind `yaml:"kind"`
	Tenants    []cassiatally.Tenant `yaml:"tenants"`
	Timeout    time.Duration        `yaml:"timeout"`
	Target     time.Duration        `yaml:"target"`
	Resend     resendFile           `yaml:"resend"`
	Keyed      bool                 `yaml:"keyed"`
	Lookups    int                  `yaml:"lookups"`
	Text       string               `yaml:"text"`
	BodySize   int                  `yaml:"body_size"`
	AnswerSize int                  `yaml:"answer_size"`
}

type resendFile struct {
	Policy    Policy `yaml:"policy"`
	Count     int    `yaml:"count"`
	OnRefusal bool   `yaml:"on_refusal"`
}

type phaseFile struct {
	Name     PhaseName          `yaml:"name"`
	Duration time.Duration      `yaml:"duration"`
	Rates    map[ClassName]Rate `yaml:"rates"`
}

// Parse decodes and validates a plan. The error lists all problems.
func Parse(data []byte) (Plan, error) {
	var file planFile
	if err := yaml.UnmarshalWithOptions(data, &file, yaml.Strict()); err != nil {
		return Plan{}, errors.Wrap(err, "reading the plan")
	}
	plan := file.plan()
	return plan, plan.check()
}

func (f planFile) plan() Plan {
	var plan Plan
	for _, c := range f.Classes {
		class := Class{
			Name: c.Name, Service: c.Service, Kind: c.Kind, Tenants: c.Tenants, Timeout: c.Timeout, Target: c.Target,
			Resend: Resend(c.Resend), Keyed: c.Keyed, Lookups: c.Lookups,
			Text: c.Text, BodySize: c.BodySize, AnswerSize: c.AnswerSize,
		}
		class.setDefaults()
		plan.Classes = append(plan.Classes, class)
	}
	for _, p := range f.Phases {
		plan.Phases = append(plan.Phases, Phase(p))
	}
	return plan
}

func (c *Class) setDefaults() {
	if c.Timeout == 0 {
		c.Timeout = defaultTimeout
	}
	if c.Target == 0 {
		c.Target = c.Timeout
	}
	if c.Resend.Policy == "" {
		c.Resend.Policy = ResendNone
	}
	if len(c.Tenants) == 0 {
		c.Tenants = []cassiatally.Tenant{"tenant"}
	}
}

func (p Plan) check() error {
	var problems []error
	if len(p.Classes) == 0 || len(p.Phases) == 0 {
		problems = append(problems, errors.New("the plan needs classes and phases"))
	}
	names := make(map[ClassName]bool)
	for _, c := range p.Classes {
		if names[c.Name] {
			problems = append(problems, errors.Newf("there are two classes %q", c.Name))
		}
		names[c.Name] = true
		problems = append(problems, c.check()...)
	}
	for _, ph := range p.Phases {
		problems = append(problems, ph.check(names)...)
	}
	return errors.Join(problems...)
}

func (c Class) check() []error {
	var problems []error
	if c.Name == "" || c.Service == "" || c.Kind == "" {
		problems = append(problems, errors.Newf("class %q needs a name, a service and a kind", c.Name))
	}
	if c.Timeout < 0 || c.Target < 0 || c.Resend.Count < 0 || c.Lookups < 0 || c.AnswerSize < 0 {
		problems = append(problems, errors.Newf("class %q has a negative number", c.Name))
	}
	if c.Resend.Policy != ResendNone && c.Resend.Policy != ResendHard {
		problems = append(problems, errors.Newf("class %q has a resend policy that is not none or hard", c.Name))
	}
	if c.Resend.Policy == ResendNone && c.Resend.Count > 0 {
		problems = append(problems, errors.Newf("class %q has a resend count without a policy", c.Name))
	}
	if c.BodySize < 0 || c.BodySize > cassiatally.MaxBodyBytes {
		problems = append(problems, errors.Newf("class %q has a body_size that is not between 0 and %d", c.Name, cassiatally.MaxBodyBytes))
	}
	return problems
}

func (ph Phase) check(names map[ClassName]bool) []error {
	var problems []error
	if ph.Name == "" || ph.Duration <= 0 {
		problems = append(problems, errors.Newf("phase %q needs a name and a positive duration", ph.Name))
	}
	for name, rate := range ph.Rates {
		if !names[name] {
			problems = append(problems, errors.Newf("phase %q has a rate for %q, which is no class", ph.Name, name))
		}
		if rate < 0 {
			problems = append(problems, errors.Newf("phase %q has a negative rate for %q", ph.Name, name))
		}
	}
	return problems
}
