// Package reporter collects the metrics of a node and serves them for scraping.
//
// # Usage
//
//	rep, err := reporter.New(node, dataCentre)
//	defer rep.Close()
//	rep.Request(policy, tenant, answer, took)
//	http.Handle("/metrics", rep.Handler())
package reporter

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	reportInterval = time.Second
	// maxTenants bounds the number of tenants with a histogram of their own; further
	// tenants share one.
	maxTenants   = 32
	otherTenant  = "other"
	firstBucket  = time.Millisecond
	bucketFactor = 1.6
	bucketCount  = 20
)

// Reporter collects the metrics of a node. It is safe for concurrent use.
type Reporter struct {
	scope          tally.Scope
	closer         io.Closer
	handler        http.Handler
	latencyBuckets tally.Buckets

	mu      sync.Mutex
	tenants map[cassiatally.Tenant]tally.Scope
	ranks   [cassiatally.MaxRanks]tally.Scope
	// refusals counts requests that were answered as not run.
	refusals map[refusalKey]uint64
}

type refusalKey struct {
	rank cassiatally.Rank
	kind cassiatally.ErrorKind
}

// Refusal counts the requests of a rank that were not run for one reason.
type Refusal struct {
	Rank  cassiatally.Rank
	Kind  cassiatally.ErrorKind
	Count uint64
}

// New returns a reporter whose metrics are labelled with the node and its data centre.
func New(node cassiatally.NodeID, dc cassiatally.DataCentre) (*Reporter, error) {
	registry := prometheus.NewRegistry()
	prom := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "cassiatally",
		Tags:                   map[string]string{"node": string(node), "data_centre": string(dc)},
		CachedReporter:         prom,
		Separator:              tallyprom.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	latency, err := tally.ExponentialDurationBuckets(firstBucket, bucketFactor, bucketCount)
	if err != nil {
		return nil, errors.Wrap(err, "latency buckets")
	}
	r := &Reporter{
		scope:          scope,
		closer:         closer,
		handler:        prom.HTTPHandler(),
		latencyBuckets: latency,
		tenants:        make(map[cassiatally.Tenant]tally.Scope),
		refusals:       make(map[refusalKey]uint64),
	}
	for i := range r.ranks {
		r.ranks[i] = scope.Tagged(map[string]string{"rank": fmt.Sprint(i)})
	}
	return r, nil
}

// Handler serves the metrics for scraping.
func (r *Reporter) Handler() http.Handler { return r.handler }

// Close reports the remaining values and stops reporting.
func (r *Reporter) Close() { _ = r.closer.Close() }

// Request records the answer to a caller's request.
func (r *Reporter) Request(p cassiatally.Policy, t cassiatally.Tenant, a cassiatally.Answer, took time.Duration) {
	rank := r.ranks[min(p.Rank, cassiatally.MaxRanks-1)]
	rank.Histogram("request_latency", r.latencyBuckets).RecordDuration(took)
	rank.Tagged(map[string]string{"outcome": a.Outcome.String(), "kind": a.Kind.String()}).Counter("requests").Inc(1)
	r.tenantScope(t).Histogram("tenant_latency", r.latencyBuckets).RecordDuration(took)
	if a.Outcome == cassiatally.OutcomeNotRun {
		r.countRefusal(min(p.Rank, cassiatally.MaxRanks-1), a.Kind)
	}
}

func (r *Reporter) countRefusal(rank cassiatally.Rank, kind cassiatally.ErrorKind) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusals[refusalKey{rank, kind}]++
}

// Refusals returns the counts of refused requests, ordered by rank and kind.
func (r *Reporter) Refusals() []Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Refusal, 0, len(r.refusals))
	for k, n := range r.refusals {
		out = append(out, Refusal{Rank: k.rank, Kind: k.kind, Count: n})
	}
	slices.SortFunc(out, func(a, b Refusal) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Kind, b.Kind))
	})
	return out
}

func (r *Reporter) tenantScope(t cassiatally.Tenant) tally.Scope {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.tenants[t]; ok {
		return s
	}
	name := string(t)
	if len(r.tenants) >= maxTenants {
		name = otherTenant
	}
	s := r.scope.Tagged(map[string]string{"tenant": name})
	if name != otherTenant {
		r.tenants[t] = s
	}
	return s
}

// QueueWait records the time that a started call spent in the queue of the backend
// server.
func (r *Reporter) QueueWait(rank cassiatally.Rank, waited time.Duration) {
	r.ranks[min(rank, cassiatally.MaxRanks-1)].Histogram("queue_wait", r.latencyBuckets).RecordDuration(waited)
}

// Count adds to a counter with tags.
func (r *Reporter) Count(name string, tags map[string]string, delta int64) {
	r.scope.Tagged(tags).Counter(name).Inc(delta)
}

// Gauge sets a gauge of the node.
func (r *Reporter) Gauge(name string, value float64) { r.scope.Gauge(name).Update(value) }

// RankGauge sets a gauge of one rank.
func (r *Reporter) RankGauge(name string, rank cassiatally.Rank, value float64) {
	r.ranks[min(rank, cassiatally.MaxRanks-1)].Gauge(name).Update(value)
}
