// Package loadtracker decides at the entry whether a call chain can finish.
//
// A Tracker records from answers which services a (service, kind) pair touches. It
// holds the level of each service and rank, weighted over the endpoints of the
// service, and refuses a request whose order value exceeds the lowest level in its
// chain. A refusal at the entry costs no work in the chain.
//
// # Usage
//
//	t := &loadtracker.Tracker{}
//	t.RecordEndpoint(now, member.Ref.Node, load)           // from gossip
//	t.RecordChain(now, answer.Service, answer.Work, loads) // from answers
//	ok, short := t.Admit(now, service, work, rank, order)
package loadtracker

import (
	"math"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	defaultFresh       = 2 * time.Second
	defaultDrift       = time.Second
	defaultExpiry      = 5 * time.Minute
	defaultMaxKinds    = 8192
	maxTouched         = 64
	defaultMaxServices = 1024
	maxEndpoints       = 64
	// sweepPeriod is the shortest time between searches of a full table for old
	// entries.
	sweepPeriod = time.Second
	// answerWeight is the lowest weight of one answer in the smoothed levels. Each
	// answer has the level of one endpoint only.
	answerWeight = 0.18
	// answerSmoothing is the time constant of the smoothed levels where answers are few.
	// With answerWeight alone, an entry with ten answers a second kept refusing for
	// two seconds after endpoints had recovered.
	answerSmoothing = 100 * time.Millisecond
	// The smoothed levels from answers count as much as the reports of answerEndpoints
	// endpoints: each answer has the level of one endpoint, but the smoothed levels come
	// from many.
	answerEndpoints = 4
	// minLevel is the lowest level that endpoints report.
	minLevel = 0.01
	// halfWeightAge is the age at which a report counts half as much as a new one.
	// Gossip repeats every second, while the levels of answers are always new.
	halfWeightAge = 250 * time.Millisecond
)

// Tracker holds the levels of services and the call graph.
type Tracker struct {
	// Fresh is the age up to which a level counts in full; 0 means 2 s.
	Fresh time.Duration
	// Drift is the time in which a level older than Fresh returns to 1; 0 means 1 s.
	Drift time.Duration
	// Expiry is the time after which unused entries are evicted; 0 means 5 min.
	Expiry time.Duration
	// MaxKinds bounds the (service, kind) pairs; 0 means 8192.
	MaxKinds int
	// MaxServices bounds the services; 0 means 1024.
	MaxServices int
	// FairTenants divides a shortage fairly among tenants. It is set where the tenants of
	// requests are authenticated; otherwise a caller could claim another tenant's share.
	FairTenants bool

	chains    map[work]*chain
	services  map[cassiatally.Service]*service
	shortages map[shortageKey]*shortage

	chainsSweptAt, servicesSweptAt cassiatally.Instant
}

type work struct {
	service cassiatally.Service
	kind    cassiatally.WorkKind
}

// chain records the services that a (service, kind) touches, and when each was last
// touched.
type chain struct {
	lastUsed cassiatally.Instant
	touched  map[cassiatally.Service]cassiatally.Instant
}

// service holds the levels that endpoints reported by gossip, and the smoothed levels
// from answers.
type service struct {
	lastUsed    cassiatally.Instant
	endpoints   map[cassiatally.NodeID]*report
	fromAnswers report
}

type report struct {
	at     cassiatally.Instant
	weight float64
	levels [cassiatally.MaxRanks]cassiatally.Level
}

var _ cassiatally.LoadTracker = (*Tracker)(nil)

// RecordChain records which services a (service, kind) touched, and their levels.
func (t *Tracker) RecordChain(now cassiatally.Instant, s cassiatally.Service, w cassiatally.WorkKind, loads []cassiatally.ServiceLoad) {
	c := t.chain(now, work{s, w})
	for _, load := range loads {
		if c != nil {
			c.touch(now, load.Service, t.expiry())
		}
		if v := t.service(now, load.Service); v != nil {
			v.fromAnswers.smooth(now, load, now.Sub(v.fromAnswers.at) <= t.fresh())
		}
	}
}

// RecordEndpoint records the levels that one endpoint had at an instant. Gossip
// repeats old reports; a report that is not newer than the last one changes nothing.
func (t *Tracker) RecordEndpoint(at cassiatally.Instant, n cassiatally.NodeID, load cassiatally.ServiceLoad) {
	v := t.service(at, load.Service)
	if v == nil {
		return
	}
	r := v.endpoints[n]
	if r == nil {
		v.dropStale(at, t.fresh()+t.drift())
		if len(v.endpoints) >= maxEndpoints {
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
	lowest, short := t.lowestLevel(now, s, w, r)
	if float64(o) > float64(lowest) {
		return false, short
	}
	return true, ""
}

// lowestLevel returns the lowest level among the services that the work touches, and the
// service that has it.
func (t *Tracker) lowestLevel(now cassiatally.Instant, s cassiatally.Service, w cassiatally.WorkKind, r cassiatally.Rank) (cassiatally.Level, cassiatally.Service) {
	lowest, short := t.Level(now, s, r), s
	c := t.chains[work{s, w}]
	if c != nil {
		c.lastUsed = now
		for touched, seen := range c.touched {
			if now.Sub(seen) > t.expiry() {
				continue
			}
			l := t.Level(now, touched, r)
			if l < lowest || (l == lowest && touched < short) {
				lowest, short = l, touched
			}
		}
	}
	return lowest, short
}

// Level returns the level of a service for a rank, as the weighted geometric mean
// over the endpoints with recent reports. An endpoint that got few calls by chance
// reports too high a level, and one that got many too low a level; the arithmetic mean
// of both would be above the level that fits. A service without recent reports has
// level 1.
func (t *Tracker) Level(now cassiatally.Instant, s cassiatally.Service, r cassiatally.Rank) cassiatally.Level {
	v := t.services[s]
	if v == nil || r >= cassiatally.MaxRanks {
		return 1
	}
	m := geometricMean{}
	m.add(t.levelAt(now, &v.fromAnswers, r), answerEndpoints*t.weightAt(now, &v.fromAnswers))
	for _, e := range v.endpoints {
		m.add(t.levelAt(now, e, r), t.weightAt(now, e))
	}
	return m.level()
}

// levelAt returns the level of a report, which drifts to 1 once the report is older than
// Fresh.
func (t *Tracker) levelAt(now cassiatally.Instant, r *report, rank cassiatally.Rank) float64 {
	level := float64(r.levels[rank])
	if drifted := now.Sub(r.at) - t.fresh(); drifted > 0 {
		level += (1 - level) * float64(drifted) / float64(t.drift())
	}
	return max(level, minLevel)
}

// weightAt returns the weight of a report. Newer reports count more than older ones; at
// the end of its drift a report has no weight.
func (t *Tracker) weightAt(now cassiatally.Instant, r *report) float64 {
	age := now.Sub(r.at)
	if r.weight <= 0 || age-t.fresh() >= t.drift() {
		return 0
	}
	ratio := float64(age) / float64(halfWeightAge)
	return r.weight / (1 + ratio*ratio*ratio*ratio)
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
	weight := max(answerWeight, 1-math.Exp(-float64(now.Sub(r.at))/float64(answerSmoothing)))
	// An endpoint that has little room beside the others, as one that limits the rate of
	// its requests, says little about the service.
	weight *= min(max(load.Weight, 1)/r.weight, 1)
	r.at = now
	r.weight += weight * (max(load.Weight, 1) - r.weight)
	for i := range r.levels {
		from, to := max(r.levels[i], minLevel), max(levelAt(load.Levels, i), minLevel)
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

func (c *chain) touch(now cassiatally.Instant, s cassiatally.Service, expiry time.Duration) {
	if _, ok := c.touched[s]; !ok && len(c.touched) >= maxTouched {
		for old, seen := range c.touched {
			if now.Sub(seen) > expiry {
				delete(c.touched, old)
			}
		}
		if len(c.touched) >= maxTouched {
			return
		}
	}
	c.touched[s] = now
}

func (v *service) dropStale(now cassiatally.Instant, age time.Duration) {
	if len(v.endpoints) < maxEndpoints {
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
		if len(t.chains) >= intOr(t.MaxKinds, defaultMaxKinds) && !t.sweepChains(now) {
			return nil
		}
		c = &chain{touched: make(map[cassiatally.Service]cassiatally.Instant)}
		t.chains[w] = c
	}
	c.lastUsed = now
	return c
}

// sweepChains evicts expired pairs and reports whether there is room now.
func (t *Tracker) sweepChains(now cassiatally.Instant) bool {
	if t.chainsSweptAt != 0 && now.Sub(t.chainsSweptAt) < sweepPeriod {
		return false
	}
	t.chainsSweptAt = now
	before := len(t.chains)
	for w, c := range t.chains {
		if now.Sub(c.lastUsed) > t.expiry() {
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
		if len(t.services) >= intOr(t.MaxServices, defaultMaxServices) && !t.sweepServices(now) {
			return nil
		}
		v = &service{endpoints: make(map[cassiatally.NodeID]*report)}
		t.services[s] = v
	}
	v.lastUsed = max(v.lastUsed, now)
	return v
}

func (t *Tracker) sweepServices(now cassiatally.Instant) bool {
	if t.servicesSweptAt != 0 && now.Sub(t.servicesSweptAt) < sweepPeriod {
		return false
	}
	t.servicesSweptAt = now
	before := len(t.services)
	for s, v := range t.services {
		if now.Sub(v.lastUsed) > t.expiry() {
			delete(t.services, s)
		}
	}
	return len(t.services) < before
}

func (t *Tracker) fresh() time.Duration  { return durationOr(t.Fresh, defaultFresh) }
func (t *Tracker) drift() time.Duration  { return durationOr(t.Drift, defaultDrift) }
func (t *Tracker) expiry() time.Duration { return durationOr(t.Expiry, defaultExpiry) }

func durationOr(v, fallback time.Duration) time.Duration {
	if v > 0 {
		return v
	}
	return fallback
}

func intOr(v, fallback int) int {
	if v > 0 {
		return v
	}
	return fallback
}
