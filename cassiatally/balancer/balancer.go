// Package balancer chooses the endpoint for a call.
//
// A Balancer draws two random candidates and takes the one with the lower
// predicted wait. Two random choices avoid the herd that a choice of the best of
// all would form on aged reports. Endpoints of the own data centre come first.
//
// # Usage
//
//	b := &balancer.Balancer{Rand: rng, DataCentre: "lower"}
//	b.Update(now, candidates)
//	if n, ok := b.Choose(now, "avail-svc", nil); ok {
//		b.Started(now, n)
//		// ... call the endpoint ...
//		b.Finished(now, n, result)
//	}
package balancer

import (
	"math"
	"slices"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	// defaultMargin is about the round trip to another data centre.
	defaultMargin         = 2 * time.Millisecond
	defaultRelativeMargin = 0.5
	// defaultConnectionShare leaves connections for the other nodes.
	defaultConnectionShare = 0.25
	defaultSlowStart       = 5 * time.Second
	defaultExclusion       = 5 * time.Second
	// unreachedPause is how long an endpoint that was not reached is chosen only
	// when there is no other one. Membership takes 3 s to 10 s to suspect it, and
	// with fewer than three endpoints a service excludes none.
	unreachedPause = time.Second
	// mostUnreached bounds the doubling of that time while the endpoint stays out of
	// reach, as one in a data centre that is cut off does.
	mostUnreached = 4 * time.Second
	// leastWeight is the weight of an endpoint at the start of its slow start.
	leastWeight = 0.1
	// reportHalfLife is the time after which half of what a report said about the
	// calls of other nodes still counts.
	reportHalfLife = 500 * time.Millisecond
	// fullPart is the part of its limit above which an endpoint may have no room for a
	// call by the time that it arrives. loadCost spreads calls among equal endpoints,
	// and is too low to send one to another data centre; fullCost does.
	fullPart = 0.8
	loadCost = 0.25
	fullCost = 5.0
	// unknownTypical and unknownLimit stand in for values not yet reported.
	unknownTypical time.Duration = 10 * time.Millisecond
	unknownLimit                 = 4
	// tookWeight is the weight of one call in the smoothed time and failure rate.
	tookWeight = 0.1
	// outlierCalls is the least number of calls before the failure rate counts.
	outlierCalls = 10
	// outlierRate is the least failure rate of an outlier, and outlierFactor how
	// far it must be above that of the other endpoints.
	outlierRate   = 0.3
	outlierFactor = 2.0
	// maxExclusions bounds the growth of the time of repeated exclusions.
	maxExclusions = 6
	// outlierFraction is the part of a service's endpoints that may be excluded.
	outlierFraction = 3
)

// Balancer chooses endpoints by two random choices on predicted wait.
type Balancer struct {
	// Rand draws the candidates. It must be set.
	Rand cassiatally.Rand
	// DataCentre is the data centre of this node.
	DataCentre cassiatally.DataCentre
	// Margin is the wait by which a far endpoint must be better; 0 means 2 ms.
	Margin time.Duration
	// RelativeMargin is added to Margin as a fraction of the far wait; 0 means 0.5.
	RelativeMargin float64
	// ConnectionShare is the share of an endpoint's connections up to which this
	// node prefers it; 0 means 0.25.
	ConnectionShare float64
	// SlowStart is the time in which a new incarnation reaches full weight; 0
	// means 5 s, and below 0 there is none. A fleet whose nodes start again beside
	// endpoints that go on running needs none.
	SlowStart time.Duration
	// Exclusion is the time of a first exclusion; 0 means 5 s.
	Exclusion time.Duration

	nodes     map[cassiatally.NodeID]*endpoint
	services  map[cassiatally.Service][]*endpoint
	near, far []*endpoint
}

type endpoint struct {
	candidate cassiatally.Candidate
	since     cassiatally.Instant
	reported  cassiatally.Instant
	// load is the newest report, gossiped the last one that came by Update.
	load, gossiped cassiatally.EndpointLoad
	inFlight       int
	// others is the calls that the report counted beyond those of this node.
	others     float64
	took       time.Duration
	failures   float64
	calls      int
	excluded   cassiatally.Instant
	exclusions int
	// unreached is until when the endpoint is taken as out of reach.
	unreached cassiatally.Instant
	// outFor is the time for which it was last taken so.
	outFor time.Duration
}

var _ cassiatally.Balancer = (*Balancer)(nil)

// Update replaces the candidates of all services. What is known about an
// endpoint is kept while its incarnation stays the same.
func (b *Balancer) Update(now cassiatally.Instant, candidates []cassiatally.Candidate) {
	old := b.nodes
	b.nodes = make(map[cassiatally.NodeID]*endpoint, len(candidates))
	b.services = make(map[cassiatally.Service][]*endpoint)
	for _, c := range candidates {
		e := b.renew(now, old[c.Ref.Node], c)
		b.nodes[c.Ref.Node] = e
		if c.Service != "" {
			b.services[c.Service] = append(b.services[c.Service], e)
		}
	}
	for n, e := range old {
		// Calls in flight still end, and the endpoint may be listed again before.
		if _, ok := b.nodes[n]; !ok && e.inFlight > 0 {
			e.candidate.State = cassiatally.EndpointNone
			b.nodes[n] = e
		}
	}
}

func (b *Balancer) renew(now cassiatally.Instant, e *endpoint, c cassiatally.Candidate) *endpoint {
	switch {
	case e == nil:
		e = &endpoint{since: now}
	case e.candidate.Ref.Incarnation != c.Ref.Incarnation || e.candidate.Service != c.Service:
		e = &endpoint{since: now, inFlight: e.inFlight}
	}
	e.candidate = c
	// Gossip repeats old reports; only a changed one is news.
	if c.Load != e.gossiped {
		e.gossiped = c.Load
		e.report(now, c.Load)
	}
	return e
}

func (e *endpoint) report(now cassiatally.Instant, l cassiatally.EndpointLoad) {
	e.load = l
	e.reported = now
	e.others = max(float64(int(l.InFlight)+l.Queued-e.inFlight), 0)
}

// Choose returns an endpoint of the service that is not in avoid.
func (b *Balancer) Choose(now cassiatally.Instant, s cassiatally.Service, avoid []cassiatally.NodeID) (cassiatally.NodeID, bool) {
	// A refusal when all are full would hit every rank alike; the queue of the
	// endpoint refuses the least urgent call instead.
	for _, w := range []width{widthFree, widthFull, widthAll} {
		b.collect(now, s, avoid, w)
		if len(b.near)+len(b.far) > 0 {
			break
		}
	}
	near, nearWait := b.betterOfTwo(now, b.near)
	far, farWait := b.betterOfTwo(now, b.far)
	switch {
	case near == nil && far == nil:
		return "", false
	case near == nil:
		return far.candidate.Ref.Node, true
	case far != nil && nearWait > b.threshold(farWait):
		return far.candidate.Ref.Node, true
	}
	return near.candidate.Ref.Node, true
}

// width tells which endpoints besides the free ones may be chosen.
type width int

const (
	widthFree width = iota
	// widthFull includes those that are full.
	widthFull
	// widthAll includes those that were not reached lately.
	widthAll
)

// collect lists the endpoints that may be chosen.
func (b *Balancer) collect(now cassiatally.Instant, s cassiatally.Service, avoid []cassiatally.NodeID, w width) {
	b.near, b.far = b.near[:0], b.far[:0]
	for _, e := range b.services[s] {
		if !eligible(now, e) || slices.Contains(avoid, e.candidate.Ref.Node) ||
			w < widthFull && b.full(e) || w < widthAll && now.Before(e.unreached) {
			continue
		}
		if e.candidate.DataCentre == b.DataCentre {
			b.near = append(b.near, e)
		} else {
			b.far = append(b.far, e)
		}
	}
}

// threshold returns the near wait above which a far endpoint is better.
func (b *Balancer) threshold(farWait float64) float64 {
	margin := b.Margin
	if margin <= 0 {
		margin = defaultMargin
	}
	return farWait*(1+positive(b.RelativeMargin, defaultRelativeMargin)) + float64(margin)
}

func eligible(now cassiatally.Instant, e *endpoint) bool {
	return e.candidate.State == cassiatally.EndpointReady && !now.Before(e.excluded)
}

// full reports whether this node has its share of the endpoint's connections
// worth of calls there. The node on the endpoint's host keeps to the connections
// themselves.
func (b *Balancer) full(e *endpoint) bool {
	if e.candidate.Connections <= 0 {
		return false
	}
	share := positive(b.ConnectionShare, defaultConnectionShare)
	return e.inFlight >= max(int(share*float64(e.candidate.Connections)), 1)
}

func (b *Balancer) betterOfTwo(now cassiatally.Instant, from []*endpoint) (*endpoint, float64) {
	switch len(from) {
	case 0:
		return nil, 0
	case 1:
		return from[0], b.wait(now, from[0])
	}
	i := b.Rand.IntN(len(from))
	j := b.Rand.IntN(len(from) - 1)
	if j >= i {
		j++
	}
	first, second := b.wait(now, from[i]), b.wait(now, from[j])
	if second < first {
		return from[j], second
	}
	return from[i], first
}

// wait returns the predicted time of a call in nanoseconds, divided by the weight of the
// endpoint.
func (b *Balancer) wait(now cassiatally.Instant, e *endpoint) float64 {
	age := now.Sub(e.reported)
	others := e.others * math.Exp2(-float64(age)/float64(reportHalfLife))
	typical := e.load.TypicalSelfTime
	if typical <= 0 {
		typical = e.took
	}
	if typical <= 0 {
		typical = b.leastTypical(e.candidate.Service)
	}
	limit := e.load.Limit
	if limit <= 0 {
		limit = unknownLimit
	}
	used := (float64(e.inFlight) + others + 1) / float64(limit)
	return float64(typical) * slowdown(used) / b.weight(now, e)
}

// leastTypical stands in for the run time of an endpoint that has run nothing: a
// short one, so that it gets work. It is no longer than that of any other endpoint,
// or an endpoint of a fast service would get none while the others have room.
func (b *Balancer) leastTypical(s cassiatally.Service) time.Duration {
	least := unknownTypical
	for _, e := range b.services[s] {
		if t := e.load.TypicalSelfTime; t > 0 {
			least = min(least, t)
		}
	}
	return least
}

// slowdown returns how much longer than alone a call takes at an endpoint of whose
// limit a part is used. Below fullPart calls start at once.
func slowdown(used float64) float64 {
	return 1 + loadCost*used + fullCost*max(used-fullPart, 0)
}

func (b *Balancer) weight(now cassiatally.Instant, e *endpoint) float64 {
	ramp := b.SlowStart
	switch {
	case ramp < 0:
		return 1
	case ramp == 0:
		ramp = defaultSlowStart
	}
	return min(max(float64(now.Sub(e.since))/float64(ramp), leastWeight), 1)
}

// Started records that a call was sent to the endpoint.
func (b *Balancer) Started(_ cassiatally.Instant, n cassiatally.NodeID) {
	if e := b.nodes[n]; e != nil {
		e.inFlight++
	}
}

// Finished records the end of that call.
func (b *Balancer) Finished(now cassiatally.Instant, n cassiatally.NodeID, r cassiatally.CallResult) {
	e := b.nodes[n]
	if e == nil {
		return
	}
	e.inFlight = max(e.inFlight-1, 0)
	if r.Load.Node != "" {
		e.report(now, r.Load)
	}
	e.calls++
	if r.Unreachable {
		e.leaveOut(now)
	} else {
		e.outFor = 0
	}
	failed := 0.0
	if r.Failed {
		failed = 1
	} else {
		e.observe(r.Took)
	}
	e.failures += tookWeight * (failed - e.failures)
	if r.Failed && b.outlier(now, e) {
		b.exclude(now, e)
	}
}

// leaveOut has the endpoint chosen only when there is no other one, for longer each
// time.
func (e *endpoint) leaveOut(now cassiatally.Instant) {
	e.outFor = min(max(2*e.outFor, unreachedPause), mostUnreached)
	e.unreached = now.Add(e.outFor)
}

// Silent records that nothing is heard of the node of the endpoint.
func (b *Balancer) Silent(now cassiatally.Instant, n cassiatally.NodeID) {
	if e := b.nodes[n]; e != nil && !now.Before(e.unreached) {
		e.leaveOut(now)
	}
}

// Heard records that the node of the endpoint is in reach.
func (b *Balancer) Responding(n cassiatally.NodeID) {
	if e := b.nodes[n]; e != nil {
		e.unreached, e.outFor = 0, 0
	}
}

func (e *endpoint) observe(took time.Duration) {
	if e.took == 0 {
		e.took = took
		return
	}
	e.took += time.Duration(tookWeight * float64(took-e.took))
}

// outlier reports whether the endpoint fails far more often than the others of
// its service, and whether another endpoint may still be excluded.
func (b *Balancer) outlier(now cassiatally.Instant, e *endpoint) bool {
	if e.calls < outlierCalls || e.failures < outlierRate || now.Before(e.excluded) {
		return false
	}
	all := b.services[e.candidate.Service]
	excluded, others, sum := 0, 0, 0.0
	for _, o := range all {
		if now.Before(o.excluded) {
			excluded++
			continue
		}
		if o != e {
			others++
			sum += o.failures
		}
	}
	if excluded+1 > len(all)/outlierFraction || others == 0 {
		return false
	}
	return e.failures > outlierFactor*sum/float64(others)
}

// exclude takes the endpoint out of the choice for a time that grows with each
// exclusion. Its failure rate starts anew when it is admitted again.
func (b *Balancer) exclude(now cassiatally.Instant, e *endpoint) {
	d := b.Exclusion
	if d <= 0 {
		d = defaultExclusion
	}
	e.exclusions = min(e.exclusions+1, maxExclusions)
	e.excluded = now.Add(d * time.Duration(e.exclusions))
	e.failures, e.calls = 0, 0
}

// Known reports whether any endpoint of the service is known, in any state.
func (b *Balancer) HasEndpoint(s cassiatally.Service) bool { return len(b.services[s]) > 0 }

func positive(v, otherwise float64) float64 {
	if v > 0 {
		return v
	}
	return otherwise
}
