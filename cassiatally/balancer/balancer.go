// Package balancer chooses the endpoint for a call.
//
// A Balancer draws two random candidates and takes the one with the lower predicted
// wait. With load reports of some age, choosing the best of all candidates would send
// all calls to the same endpoint for a time; two random choices avoid that. Endpoints
// in the data centre of this node are preferred.
//
// For an endpoint that states the slowdown of its machine, the predicted wait is the
// completion time at the present slowdown, and the margin to another data centre is the
// latency to it. Other endpoints are chosen as if there were no slowdowns.
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
	// After a call that did not reach an endpoint, the endpoint is chosen only when
	// there is no other one, at first for minUnreachedBackoff. Membership takes 3 s to
	// 10 s to suspect its node, and with fewer than three endpoints a service excludes
	// none.
	minUnreachedBackoff = time.Second
	// maxUnreachedBackoff bounds the doubling of the backoff while the endpoint stays
	// unreachable, as in a data centre that is cut off.
	maxUnreachedBackoff = 4 * time.Second
	// minWeight is the weight of an endpoint at the beginning of its slow start.
	minWeight = 0.1
	// reportHalfLife is the time after which the calls of other nodes in a report
	// count half.
	reportHalfLife = 500 * time.Millisecond
	// fullFraction is the fraction of its limit above which an endpoint may have no room
	// for a call by the time that the call arrives. loadCost spreads calls among equal
	// endpoints, and is too low to send a call to another data centre; fullCost is high
	// enough for that.
	fullFraction = 0.8
	loadCost     = 0.25
	fullCost     = 5.0
	// unknownTypical and unknownLimit stand in for values not yet reported.
	unknownTypical time.Duration = 10 * time.Millisecond
	unknownLimit                 = 4
	// callWeight is the weight of one call in the smoothed duration and failure rate.
	callWeight = 0.1
	// unsoundRate is the failure rate, as its node reports it, from which on an endpoint
	// is chosen only if a sound one would take longer even so. failureCost is the
	// predicted wait of a call that fails, in run times: the call is sent once more or is
	// lost.
	unsoundRate = 0.1
	failureCost = 10.0
	// minOutlierCalls is the number of calls from which on the failure rate counts.
	minOutlierCalls = 10
	// minOutlierRate is the lowest failure rate of an outlier, and outlierFactor the
	// lowest ratio to the mean rate of the other endpoints.
	minOutlierRate = 0.3
	outlierFactor  = 2.0
	// maxExclusions bounds the factor by which repeated exclusions last longer.
	maxExclusions = 6
	// maxExcludedDivisor divides the number of a service's endpoints to give the number
	// that may be excluded.
	maxExcludedDivisor = 3
)

// Balancer chooses endpoints by two random choices on predicted wait.
type Balancer struct {
	// Rand draws the candidates. It must be set.
	Rand cassiatally.Rand
	// DataCentre is the data centre of this node.
	DataCentre cassiatally.DataCentre
	// Margin is the lowest difference of predicted waits at which an endpoint of another
	// data centre is chosen; 0 means 2 ms.
	Margin time.Duration
	// RelativeMargin is added to Margin as a fraction of the far wait; 0 means 0.5.
	RelativeMargin float64
	// ConnectionShare is the fraction of an endpoint's connections that this node uses
	// while another endpoint has room; 0 means 0.25.
	ConnectionShare float64
	// SlowStart is the time in which a new incarnation reaches full weight; 0 means 5 s,
	// and a negative value means no slow start. A fleet needs none if its nodes restart
	// while the endpoints on their hosts keep running.
	SlowStart time.Duration
	// Exclusion is the duration of a first exclusion; 0 means 5 s.
	Exclusion time.Duration

	latencies latencies
	nodes     map[cassiatally.NodeID]*endpoint
	services  map[cassiatally.Service][]*endpoint
	near, far []*endpoint
}

type endpoint struct {
	candidate  cassiatally.Candidate
	firstSeen  cassiatally.Instant
	reportedAt cassiatally.Instant
	// load is the newest report, and gossiped the last one received by Update.
	load, gossiped cassiatally.EndpointLoad
	// inFlight counts the calls that this node has sent.
	inFlight int
	// othersInFlight is the calls in the report beyond those of this node.
	othersInFlight float64
	meanDuration   time.Duration
	failureRate    float64
	calls          int
	excludedUntil  cassiatally.Instant
	exclusions     int
	// unreachedUntil is until when the endpoint is chosen only if there is no other.
	unreachedUntil cassiatally.Instant
	// unreachedBackoff is the length of the last backoff; 0 after a call that reached
	// the endpoint.
	unreachedBackoff time.Duration
}

var _ cassiatally.Balancer = (*Balancer)(nil)

// Update replaces the candidates of all services. The state of an endpoint is kept
// while its incarnation and service stay the same.
func (b *Balancer) Update(now cassiatally.Instant, candidates []cassiatally.Candidate) {
	old := b.nodes
	b.nodes = make(map[cassiatally.NodeID]*endpoint, len(candidates))
	b.services = make(map[cassiatally.Service][]*endpoint)
	for _, c := range candidates {
		e := b.updateEndpoint(now, old[c.Ref.Node], c)
		b.nodes[c.Ref.Node] = e
		if c.Service != "" {
			b.services[c.Service] = append(b.services[c.Service], e)
		}
	}
	for n, e := range old {
		// Calls in flight have yet to end, and the endpoint may be listed again first.
		if _, ok := b.nodes[n]; !ok && e.inFlight > 0 {
			e.candidate.State = cassiatally.EndpointNone
			b.nodes[n] = e
		}
	}
}

func (b *Balancer) updateEndpoint(now cassiatally.Instant, e *endpoint, c cassiatally.Candidate) *endpoint {
	switch {
	case e == nil:
		e = &endpoint{firstSeen: now}
	case e.candidate.Ref.Incarnation != c.Ref.Incarnation || e.candidate.Service != c.Service:
		e = &endpoint{firstSeen: now, inFlight: e.inFlight}
	}
	e.candidate = c
	// Gossip repeats old reports; only a changed one counts as received now.
	if c.Load != e.gossiped {
		e.gossiped = c.Load
		e.applyReport(now, c.Load)
	}
	return e
}

func (e *endpoint) applyReport(now cassiatally.Instant, l cassiatally.EndpointLoad) {
	e.load = l
	e.reportedAt = now
	e.othersInFlight = max(float64(int(l.InFlight)+l.Queued-e.inFlight), 0)
}

// Choose returns an endpoint of the service that is not in avoid.
func (b *Balancer) Choose(now cassiatally.Instant, s cassiatally.Service, avoid []cassiatally.NodeID) (cassiatally.NodeID, bool) {
	// When all are full, the call is sent anyway: a refusal here would affect every
	// rank alike, while the queue of the endpoint refuses the least urgent call.
	for _, f := range []filter{freeOnly, allowFull, allowUnreached} {
		b.collectEligible(now, s, avoid, f)
		if len(b.near)+len(b.far) > 0 {
			break
		}
	}
	chosen, wait := b.nearOrFar(now)
	if chosen == nil {
		return "", false
	}
	if unsound(chosen) {
		b.near, b.far = slices.DeleteFunc(b.near, unsound), slices.DeleteFunc(b.far, unsound)
		if sound, soundWait := b.nearOrFar(now); sound != nil && soundWait < wait {
			chosen = sound
		}
	}
	return chosen.candidate.Ref.Node, true
}

// nearOrFar returns one of the eligible endpoints and its predicted wait, or nil when
// there is none.
func (b *Balancer) nearOrFar(now cassiatally.Instant) (*endpoint, float64) {
	near, nearWait := b.betterOfTwo(now, b.near)
	far, farWait := b.betterOfTwo(now, b.far)
	if near == nil || far != nil && nearWait > b.farThreshold(far, farWait) {
		return far, farWait
	}
	return near, nearWait
}

// unsound reports whether many of the runs at the endpoint fail.
func unsound(e *endpoint) bool { return e.load.FailureRate >= unsoundRate }

// filter selects which endpoints may be chosen.
type filter int

const (
	freeOnly filter = iota
	// allowFull includes those that are full.
	allowFull
	// allowUnreached also includes those that were not reached recently.
	allowUnreached
)

// collectEligible lists the endpoints that may be chosen, in near and far.
func (b *Balancer) collectEligible(now cassiatally.Instant, s cassiatally.Service, avoid []cassiatally.NodeID, f filter) {
	b.near, b.far = b.near[:0], b.far[:0]
	for _, e := range b.services[s] {
		if !eligible(now, e) || slices.Contains(avoid, e.candidate.Ref.Node) ||
			f < allowFull && b.full(e) || f < allowUnreached && now.Before(e.unreachedUntil) {
			continue
		}
		if e.candidate.DataCentre == b.DataCentre {
			b.near = append(b.near, e)
		} else {
			b.far = append(b.far, e)
		}
	}
}

// farThreshold returns the near wait above which a far endpoint is chosen.
func (b *Balancer) farThreshold(far *endpoint, farWait float64) float64 {
	margin := b.Margin
	if margin <= 0 {
		margin = defaultMargin
	}
	if far.load.Slowdown > 0 {
		margin = max(margin, b.latencies.extra(b.DataCentre, far.candidate.DataCentre))
	}
	return farWait*(1+positiveOr(b.RelativeMargin, defaultRelativeMargin)) + float64(margin)
}

func eligible(now cassiatally.Instant, e *endpoint) bool {
	return e.candidate.State == cassiatally.EndpointReady && !now.Before(e.excludedUntil)
}

// full reports whether this node has as many calls in flight at the endpoint as its
// share of the endpoint's connections. The node on the endpoint's host enforces the
// total number of connections.
func (b *Balancer) full(e *endpoint) bool {
	if e.candidate.Connections <= 0 {
		return false
	}
	share := positiveOr(b.ConnectionShare, defaultConnectionShare)
	return e.inFlight >= max(int(share*float64(e.candidate.Connections)), 1)
}

func (b *Balancer) betterOfTwo(now cassiatally.Instant, from []*endpoint) (*endpoint, float64) {
	switch len(from) {
	case 0:
		return nil, 0
	case 1:
		return from[0], b.predictedWait(now, from[0])
	}
	i := b.Rand.IntN(len(from))
	j := b.Rand.IntN(len(from) - 1)
	if j >= i {
		j++
	}
	first, second := b.predictedWait(now, from[i]), b.predictedWait(now, from[j])
	if second < first {
		return from[j], second
	}
	return from[i], first
}

// predictedWait returns the predicted duration of a call in nanoseconds, divided by the
// weight of the endpoint.
func (b *Balancer) predictedWait(now cassiatally.Instant, e *endpoint) float64 {
	age := now.Sub(e.reportedAt)
	others := e.othersInFlight * math.Exp2(-float64(age)/float64(e.loadHalfLife()))
	typical := e.load.TypicalSelfTime
	if typical <= 0 {
		typical = e.meanDuration
	}
	if typical <= 0 {
		typical = b.minTypical(e.candidate.Service)
	}
	limit := e.load.Limit
	if limit <= 0 {
		limit = unknownLimit
	}
	used := (float64(e.inFlight) + others + 1) / float64(limit)
	return e.runTime(age, typical) * (slowdown(used) + failureCost*float64(e.load.FailureRate)) / b.weight(now, e)
}

// minTypical stands in for the run time of an endpoint without completed runs. It is
// short, so that the endpoint gets calls, and no longer than that of any other
// endpoint: otherwise a new endpoint of a fast service would get no calls while the
// others have room.
func (b *Balancer) minTypical(s cassiatally.Service) time.Duration {
	shortest := unknownTypical
	for _, e := range b.services[s] {
		if t := e.load.TypicalSelfTime; t > 0 {
			shortest = min(shortest, t)
		}
	}
	return shortest
}

// slowdown returns the factor by which a call takes longer at an endpoint with the
// given fraction of its limit in use. Below fullFraction calls start immediately.
func slowdown(used float64) float64 {
	return 1 + loadCost*used + fullCost*max(used-fullFraction, 0)
}

func (b *Balancer) weight(now cassiatally.Instant, e *endpoint) float64 {
	ramp := b.SlowStart
	switch {
	case ramp < 0:
		return 1
	case ramp == 0:
		ramp = defaultSlowStart
	}
	return min(max(float64(now.Sub(e.firstSeen))/float64(ramp), minWeight), 1)
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
		e.applyReport(now, r.Load)
	}
	if r.Load.Slowdown > 0 && !r.Failed {
		b.latencies.observe(now, e.candidate.DataCentre, r.Took)
	}
	e.calls++
	if r.Unreachable {
		e.startBackoff(now)
	} else {
		e.unreachedBackoff = 0
	}
	failed := 0.0
	if r.Failed {
		failed = 1
	} else {
		e.observeDuration(r.Took)
	}
	e.failureRate += callWeight * (failed - e.failureRate)
	if r.Failed && b.isOutlier(now, e) {
		b.exclude(now, e)
	}
}

// startBackoff has the endpoint chosen only when there is no other one, for a time
// that doubles with each call.
func (e *endpoint) startBackoff(now cassiatally.Instant) {
	e.unreachedBackoff = min(max(2*e.unreachedBackoff, minUnreachedBackoff), maxUnreachedBackoff)
	e.unreachedUntil = now.Add(e.unreachedBackoff)
}

// MarkSilent records that the node of the endpoint has sent nothing for some time.
func (b *Balancer) MarkSilent(now cassiatally.Instant, n cassiatally.NodeID) {
	if e := b.nodes[n]; e != nil && !now.Before(e.unreachedUntil) {
		e.startBackoff(now)
	}
}

// MarkResponding records that the node of the endpoint is reachable again.
func (b *Balancer) MarkResponding(n cassiatally.NodeID) {
	if e := b.nodes[n]; e != nil {
		e.unreachedUntil, e.unreachedBackoff = 0, 0
	}
}

func (e *endpoint) observeDuration(took time.Duration) {
	if e.meanDuration == 0 {
		e.meanDuration = took
		return
	}
	e.meanDuration += time.Duration(callWeight * float64(took-e.meanDuration))
}

// isOutlier reports whether the endpoint fails far more often than the others of
// its service, and whether another endpoint may still be excluded.
func (b *Balancer) isOutlier(now cassiatally.Instant, e *endpoint) bool {
	if e.calls < minOutlierCalls || e.failureRate < minOutlierRate || now.Before(e.excludedUntil) {
		return false
	}
	all := b.services[e.candidate.Service]
	excluded, others, sum := 0, 0, 0.0
	for _, o := range all {
		if now.Before(o.excludedUntil) {
			excluded++
			continue
		}
		if o != e {
			others++
			sum += o.failureRate
		}
	}
	if excluded+1 > len(all)/maxExcludedDivisor || others == 0 {
		return false
	}
	return e.failureRate > outlierFactor*sum/float64(others)
}

// exclude makes the endpoint ineligible for a time that grows with each exclusion, and
// resets its failure rate.
func (b *Balancer) exclude(now cassiatally.Instant, e *endpoint) {
	d := b.Exclusion
	if d <= 0 {
		d = defaultExclusion
	}
	e.exclusions = min(e.exclusions+1, maxExclusions)
	e.excludedUntil = now.Add(d * time.Duration(e.exclusions))
	e.failureRate, e.calls = 0, 0
}

// HasEndpoint reports whether any endpoint of the service is listed, in any state.
func (b *Balancer) HasEndpoint(s cassiatally.Service) bool { return len(b.services[s]) > 0 }

// FailureRate returns the mean reported failure rate of the ready endpoints of the
// service.
func (b *Balancer) FailureRate(s cassiatally.Service) cassiatally.FailureRate {
	var sum cassiatally.FailureRate
	n := 0
	for _, e := range b.services[s] {
		if e.candidate.State == cassiatally.EndpointReady {
			sum += e.load.FailureRate
			n++
		}
	}
	return sum / cassiatally.FailureRate(max(n, 1))
}

func positiveOr(v, fallback float64) float64 {
	if v > 0 {
		return v
	}
	return fallback
}
