// Package loadtracker decides at the entry whether a call chain can finish.
//
// A Tracker learns from answers which services a (service, kind) pair touches.
// It holds the level of each service and rank, weighted over the endpoints of
// the service, and refuses a request whose order value exceeds the lowest level
// on its way. Refusal at the entry costs no work in the chain.
//
// # Usage
//
//	t := &loadtracker.Tracker{}
//	t.Observe(now, member.Ref.Node, load)            // from gossip
//	t.Learn(now, answer.Service, answer.Work, loads) // from answers
//	ok, short := t.Admit(now, service, work, rank, order)
package loadtracker

import (
	"math"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	defaultFresh     = 2 * time.Second
	defaultDrift     = time.Second
	defaultForget    = 5 * time.Minute
	defaultMaxKinds  = 8192
	defaultMaxTouch  = 64
	defaultServices  = 1024
	defaultEndpoints = 64
	// sweepPeriod bounds how often full tables are searched for old entries.
	sweepPeriod = time.Second
	// learnedWeight smooths levels from answers, which come from one endpoint at
	// a time.
	learnedWeight = 0.18
	// learnedTime is the time in which the smoothed levels from answers follow where
	// answers are fewer than that weight needs. An entry with ten answers a second
	// went on refusing for two seconds after endpoints had recovered.
	learnedTime = 100 * time.Millisecond
	// answersWeight is the number of endpoints that the smoothed levels from answers
	// stand for. They are many endpoints' levels, though each answer has one.
	answersWeight = 4
	// leastLevel is the lowest level that endpoints report.
	leastLevel = 0.01
	// halfAge is the age at which a report counts half as much as a fresh one.
	// Gossip repeats every second, answers are fresh.
	halfAge = 250 * time.Millisecond
)

// Tracker holds the levels of services and the call graph.
type Tracker struct {
	// Fresh is the age up to which a level counts in full; 0 means 2 s.
	Fresh time.Duration
	// Drift is the time in which an older level returns to 1; 0 means 1 s.
	Drift time.Duration
	// Forget is the time after which unused entries are forgotten; 0 means 5 min.
	Forget time.Duration
	// MaxKinds bounds the (service, kind) pairs; 0 means 8192.
	MaxKinds int
	// MaxServices bounds the services; 0 means 1024.
	MaxServices int

	chains   map[work]*chain
	services map[cassiatally.Service]*service

	chainsSwept, servicesSwept cassiatally.Instant
}

type work struct {
	service cassiatally.Service
	kind    cassiatally.WorkKind
}

// chain is what a (service, kind) touches.
type chain struct {
	used    cassiatally.Instant
	touched map[cassiatally.Service]cassiatally.Instant
}

// service has the levels that endpoints reported by gossip, and the smoothed
// levels from answers.
type service struct {
	used      cassiatally.Instant
	endpoints map[cassiatally.NodeID]*report
	learned   report
}

type report struct {
	at     cassiatally.Instant
	weight float64
	levels [cassiatally.MaxRanks]cassiatally.Level
}

var _ cassiatally.LoadTracker = (*Tracker)(nil)

// Learn records the levels of the services that a (service, kind) touched.
func (t *Tracker) RecordChain(now cassiatally.Instant, s cassiatally.Service, w cassiatally.WorkKind, loads []cassiatally.ServiceLoad) {
	c := t.chain(now, work{s, w})
	for _, load := range loads {
		if c != nil {
			c.touch(now, load.Service, t.forget())
		}
		if v := t.service(now, load.Service); v != nil {
			v.learned.smooth(now, load, now.Sub(v.learned.at) <= t.fresh())
		}
	}
}

// Observe records the levels that one endpoint had at an instant. Gossip repeats
// old reports; only a newer one is news.
func (t *Tracker) RecordEndpoint(at cassiatally.Instant, n cassiatally.NodeID, load cassiatally.ServiceLoad) {
	v := t.service(at, load.Service)
	if v == nil {
		return
	}
	r := v.endpoints[n]
	if r == nil {
		v.dropStale(at, t.fresh()+t.drift())
		if len(v.endpoints) >= defaultEndpoints {
			return
		}
		r = &report{}
		v.endpoints[n] = r
	}
	if r.weight > 0 && at <= r.at {
		return
	}
	r.set(at, load)
}

// Admit reports whether every service that the work touches can serve the order
// value, and if not, the service with the lowest level.
func (t *Tracker) Admit(now cassiatally.Instant, s cassiatally.Service, w cassiatally.WorkKind, r cassiatally.Rank, o cassiatally.Order) (bool, cassiatally.Service) {
	lowest, short := t.Level(now, s, r), s
	c := t.chains[work{s, w}]
	if c != nil {
		c.used = now
		for touched, seen := range c.touched {
			if now.Sub(seen) > t.forget() {
				continue
			}
			l := t.Level(now, touched, r)
			if l < lowest || (l == lowest && touched < short) {
				lowest, short = l, touched
			}
		}
	}
	if float64(o) > float64(lowest) {
		return false, short
	}
	return true, ""
}

// Level returns the level of a service for a rank, as the weighted geometric mean
// over the endpoints that are known. An endpoint that saw few calls by chance
// reports too high a level, and one that saw many too low a one; the arithmetic
// mean of both is above the level that fits. A service without recent reports has level 1.
func (t *Tracker) Level(now cassiatally.Instant, s cassiatally.Service, r cassiatally.Rank) cassiatally.Level {
	v := t.services[s]
	if v == nil || r >= cassiatally.MaxRanks {
		return 1
	}
	sum, weight := t.aged(now, &v.learned, r)
	sum *= answersWeight
	weight *= answersWeight
	for _, e := range v.endpoints {
		es, ew := t.aged(now, e, r)
		sum += es
		weight += ew
	}
	if weight <= 0 {
		return 1
	}
	return cassiatally.Level(min(math.Exp(sum/weight), 1))
}

// aged returns the weighted level and the weight of a report. Newer reports count
// more than older ones. The level of a report older than Fresh drifts to 1; at the
// end of the drift it has no weight.
func (t *Tracker) aged(now cassiatally.Instant, r *report, rank cassiatally.Rank) (sum, weight float64) {
	if r.weight <= 0 {
		return 0, 0
	}
	level := float64(r.levels[rank])
	age := now.Sub(r.at)
	late := age - t.fresh()
	if late >= t.drift() {
		return 0, 0
	}
	if late > 0 {
		level += (1 - level) * float64(late) / float64(t.drift())
	}
	ratio := float64(age) / float64(halfAge)
	weight = r.weight / (1 + ratio*ratio*ratio*ratio)
	return math.Log(max(level, leastLevel)) * weight, weight
}

func (r *report) set(now cassiatally.Instant, load cassiatally.ServiceLoad) {
	r.at = now
	r.weight = max(load.Weight, 1)
	for i := range r.levels {
		r.levels[i] = levelAt(load.Levels, i)
	}
}

func (r *report) smooth(now cassiatally.Instant, load cassiatally.ServiceLoad, recent bool) {
	if r.weight <= 0 || !recent {
		r.set(now, load)
		return
	}
	weight := max(learnedWeight, 1-math.Exp(-float64(now.Sub(r.at))/float64(learnedTime)))
	r.at = now
	r.weight += weight * (max(load.Weight, 1) - r.weight)
	for i := range r.levels {
		from, to := max(r.levels[i], leastLevel), max(levelAt(load.Levels, i), leastLevel)
		if from == to {
			continue // most levels are 1 most of the time
		}
		r.levels[i] = from * cassiatally.Level(math.Pow(float64(to/from), weight))
	}
}

// levelAt returns the level of a rank; ranks that are not reported have level 1.
func levelAt(levels []cassiatally.Level, i int) cassiatally.Level {
	if i >= len(levels) {
		return 1
	}
	return min(max(levels[i], 0), 1)
}

func (c *chain) touch(now cassiatally.Instant, s cassiatally.Service, forget time.Duration) {
	if _, ok := c.touched[s]; !ok && len(c.touched) >= defaultMaxTouch {
		for old, seen := range c.touched {
			if now.Sub(seen) > forget {
				delete(c.touched, old)
			}
		}
		if len(c.touched) >= defaultMaxTouch {
			return
		}
	}
	c.touched[s] = now
}

func (v *service) dropStale(now cassiatally.Instant, age time.Duration) {
	if len(v.endpoints) < defaultEndpoints {
		return
	}
	for n, r := range v.endpoints {
		if now.Sub(r.at) > age {
			delete(v.endpoints, n)
		}
	}
}

func (t *Tracker) chain(now cassiatally.Instant, w work) *chain {
	c := t.chains[w]
	if c == nil {
		if t.chains == nil {
			t.chains = make(map[work]*chain)
		}
		if len(t.chains) >= orInt(t.MaxKinds, defaultMaxKinds) && !t.sweepChains(now) {
			return nil
		}
		c = &chain{touched: make(map[cassiatally.Service]cassiatally.Instant)}
		t.chains[w] = c
	}
	c.used = now
	return c
}

// sweepChains forgets unused pairs and reports whether there is room now.
func (t *Tracker) sweepChains(now cassiatally.Instant) bool {
	if t.chainsSwept != 0 && now.Sub(t.chainsSwept) < sweepPeriod {
		return false
	}
	t.chainsSwept = now
	before := len(t.chains)
	for w, c := range t.chains {
		if now.Sub(c.used) > t.forget() {
			delete(t.chains, w)
		}
	}
	return len(t.chains) < before
}

func (t *Tracker) service(now cassiatally.Instant, s cassiatally.Service) *service {
	v := t.services[s]
	if v == nil {
		if t.services == nil {
			t.services = make(map[cassiatally.Service]*service)
		}
		if len(t.services) >= orInt(t.MaxServices, defaultServices) && !t.sweepServices(now) {
			return nil
		}
		v = &service{endpoints: make(map[cassiatally.NodeID]*report)}
		t.services[s] = v
	}
	v.used = max(v.used, now)
	return v
}

func (t *Tracker) sweepServices(now cassiatally.Instant) bool {
	if t.servicesSwept != 0 && now.Sub(t.servicesSwept) < sweepPeriod {
		return false
	}
	t.servicesSwept = now
	before := len(t.services)
	for s, v := range t.services {
		if now.Sub(v.used) > t.forget() {
			delete(t.services, s)
		}
	}
	return len(t.services) < before
}

func (t *Tracker) fresh() time.Duration  { return orDuration(t.Fresh, defaultFresh) }
func (t *Tracker) drift() time.Duration  { return orDuration(t.Drift, defaultDrift) }
func (t *Tracker) forget() time.Duration { return orDuration(t.Forget, defaultForget) }

func orDuration(v, otherwise time.Duration) time.Duration {
	if v > 0 {
		return v
	}
	return otherwise
}

func orInt(v, otherwise int) int {
	if v > 0 {
		return v
	}
	return otherwise
}
