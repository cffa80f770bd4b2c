package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/balancer"
	"github.com/cassiatally/cassiatally/cassiatally/failuremeter"
)

// faultyReplay is a load on a large fleet in which most endpoints of a service lose part
// of their answers, while each node sends too few calls to notice that by itself.
type faultyReplay struct {
	zones, nodes, endpoints, faulty int
	lostFraction                    float64
	callsPerSecond                  int
	length, gossipDelay             time.Duration
	// shared is set if nodes report the failure rates of their endpoints.
	shared bool
}

// faultyEndpoint is an endpoint of the replay with the meter of its node.
type faultyEndpoint struct {
	candidate cassiatally.Candidate
	faulty    bool
	meter     failuremeter.Meter
	calls     int
}

// run returns the fraction of calls that were lost after the first gossip, and the
// largest number of calls at one endpoint.
func (f faultyReplay) run(seed uint64) (lost float64, most int) {
	rng := rand.New(rand.NewPCG(seed, seed))
	endpoints := f.newEndpoints()
	var fleet []*balancer.Balancer
	for i := range f.nodes {
		dc := cassiatally.DataCentre(fmt.Sprint(i % f.zones))
		fleet = append(fleet, &balancer.Balancer{Rand: rng, DataCentre: dc, RelativeMargin: 1.5, SlowStart: -1})
	}
	interval := time.Second / time.Duration(f.callsPerSecond)
	total, failed := 0, 0
	for at := time.Duration(0); at < f.length; at += interval {
		now := cassiatally.Instant(time.Hour + at)
		if at%f.gossipDelay < interval {
			f.gossip(now, fleet, endpoints)
		}
		b := fleet[rng.IntN(len(fleet))]
		id, _ := b.Choose(now, service, nil)
		e := endpoints[id]
		isLost := e.faulty && rng.Float64() < f.lostFraction
		e.meter.Record(now, isLost)
		e.calls++
		b.Started(now, id)
		b.Finished(now, id, cassiatally.CallResult{Took: 10 * time.Millisecond, Failed: isLost, Load: f.loadOf(now, e)})
		if at < f.gossipDelay {
			continue
		}
		total++
		if isLost {
			failed++
		}
	}
	for _, e := range endpoints {
		most = max(most, e.calls)
	}
	return float64(failed) / float64(total), most
}

func (f faultyReplay) newEndpoints() map[cassiatally.NodeID]*faultyEndpoint {
	endpoints := make(map[cassiatally.NodeID]*faultyEndpoint)
	for i := range f.endpoints {
		c := candidate(i, cassiatally.DataCentre(fmt.Sprint(i%f.zones)))
		// Endpoints of the zones 0 to faulty/zones are faulty in all zones alike.
		endpoints[c.Ref.Node] = &faultyEndpoint{candidate: c, faulty: i/f.zones < f.faulty/f.zones}
	}
	return endpoints
}

func (f faultyReplay) loadOf(now cassiatally.Instant, e *faultyEndpoint) cassiatally.EndpointLoad {
	load := e.candidate.Load
	if f.shared {
		load.FailureRate = e.meter.Rate(now)
	}
	return load
}

func (f faultyReplay) gossip(now cassiatally.Instant, fleet []*balancer.Balancer, endpoints map[cassiatally.NodeID]*faultyEndpoint) {
	var all []cassiatally.Candidate
	for i := range f.endpoints {
		e := endpoints[candidate(i, "").Ref.Node]
		c := e.candidate
		c.Load = f.loadOf(now, e)
		all = append(all, c)
	}
	for _, b := range fleet {
		b.Update(now, all)
	}
}

// Guards against calls that go on being lost at faulty endpoints of a large fleet because
// each node has to notice the fault by its own few calls. Replays a service of 30
// endpoints in 6 data centres, 18 of which lose 40% of their answers, under calls of 95
// nodes. Random placement loses 24%.
func TestFaultyEndpointsOfALargeFleet(t *testing.T) {
	f := faultyReplay{
		zones: 6, nodes: 95, endpoints: 30, faulty: 18, lostFraction: 0.4,
		callsPerSecond: 420, length: 5 * time.Second, gossipDelay: time.Second,
	}
	random := f.lostFraction * float64(f.faulty) / float64(f.endpoints)
	for seed := range uint64(5) {
		is := is.New(t)
		f.shared = false
		alone, _ := f.run(seed)
		f.shared = true
		lost, most := f.run(seed)
		t.Logf("seed %d: lost %.3f, without reported failure rates %.3f, most calls at one endpoint %d", seed, lost, alone, most)
		is.True(lost < random/2)
		is.True(lost < alone)
	}
}

// Guards against calls that avoid all endpoints but one: the sound ones take what the
// faulty ones do not, until they are full.
func TestSoundEndpointsAreNotOverrun(t *testing.T) {
	is := is.New(t)
	all := candidates(0, 4)
	for i := range 3 {
		all[i].Load.FailureRate = 0.4
	}
	b := newBalancer(1, all)
	for range 40 {
		n, _ := b.Choose(afterSlowStart, service, nil)
		b.Started(afterSlowStart, n)
	}
	sound := 0
	for range 100 {
		if n, _ := b.Choose(afterSlowStart, service, nil); n == all[3].Ref.Node {
			sound++
		}
	}
	is.True(sound < 100)
}
