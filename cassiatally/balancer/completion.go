package balancer

import (
	"math"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	// slowdownHalfLife is the age at which a stated slowdown has moved half the way to the
	// typical one. Slowdowns last for about half a second, and answers of an endpoint
	// arrive at a node every few hundred milliseconds.
	slowdownHalfLife = time.Second
	// statedLoadHalfLife replaces reportHalfLife where the endpoint states a slowdown.
	// Nodes that forget the calls of the others sooner choose the endpoint that looks
	// fastest together: in the replay of the pattern, 0.5 s had three tenths more calls
	// wait for a slot at six tenths of the capacity.
	statedLoadHalfLife = 4 * time.Second
	// latencyWindow is the time for which the shortest call to a data centre counts.
	latencyWindow = 30 * time.Second
	// maxExtraLatency bounds the latency to another data centre, since the shortest of a
	// few calls may have been a long run.
	maxExtraLatency = 10 * time.Millisecond
)

// loadHalfLife returns the age at which the calls of other nodes in a report count half.
func (e *endpoint) loadHalfLife() time.Duration {
	if e.load.Slowdown > 0 {
		return statedLoadHalfLife
	}
	return reportHalfLife
}

// runTime returns the expected run time in nanoseconds: the typical one, at the present
// slowdown instead of that at which it was measured.
func (e *endpoint) runTime(age, typical time.Duration) float64 {
	stated := float64(e.load.Slowdown)
	if stated == 0 {
		return float64(typical)
	}
	measured := float64(e.load.TypicalSlowdown)
	if measured == 0 {
		measured = 1
	}
	present := measured + (stated-measured)*math.Exp2(-float64(age)/float64(slowdownHalfLife))
	return float64(typical) * present / measured
}

// latencies has the shortest recent call to each data centre.
type latencies struct {
	shortest map[cassiatally.DataCentre]*shortest
}

// shortest is the shortest call in the present window and in the one before.
type shortest struct {
	began           cassiatally.Instant
	present, before time.Duration
}

func (l *latencies) observe(now cassiatally.Instant, d cassiatally.DataCentre, took time.Duration) {
	s := l.shortest[d]
	switch {
	case s == nil:
		if l.shortest == nil {
			l.shortest = make(map[cassiatally.DataCentre]*shortest)
		}
		l.shortest[d] = &shortest{began: now, present: took, before: took}
	case now.Sub(s.began) >= latencyWindow:
		*s = shortest{began: now, present: took, before: s.present}
	default:
		s.present = min(s.present, took)
	}
}

// extra returns by how much the shortest calls to a far data centre take longer than those
// to the near one; 0 while either is unknown.
func (l *latencies) extra(near, far cassiatally.DataCentre) time.Duration {
	n, f := l.shortest[near], l.shortest[far]
	if n == nil || f == nil {
		return 0
	}
	return min(max(min(f.present, f.before)-min(n.present, n.before), 0), maxExtraLatency)
}
