package balancer_test

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// Guards against other decisions than before slowdowns were stated, for deployments whose
// endpoints state none. The digests are of the decisions of commit 09cbaad on the same
// random numbers, with failures, lost nodes, full endpoints and three data centres.
func TestDecisionsWithoutSlowdowns(t *testing.T) {
	const calls, step = 20000, time.Millisecond
	for seed, want := range []uint64{0x68fe7aaea3362944, 0xc54bf4543b9c9117, 0xea44d36e859254cd} {
		is := is.New(t)
		rng := rand.New(rand.NewPCG(uint64(seed), 7))
		all := candidates(4, 4)
		for i := range all {
			all[i].Connections = cassiatally.Concurrency(40 + rng.IntN(40))
		}
		b := newBalancer(uint64(seed), all)
		digest := fnv.New64a()
		type ending struct {
			node   cassiatally.NodeID
			result cassiatally.CallResult
		}
		ends := make(map[int][]ending)
		for i := range calls {
			now := afterSlowStart.Add(time.Duration(i) * step)
			for _, e := range ends[i] {
				b.Finished(now, e.node, e.result)
			}
			if i%500 == 0 {
				for k := range all {
					all[k].Load.InFlight, all[k].Load.Queued = cassiatally.Concurrency(rng.IntN(12)), rng.IntN(5)
					all[k].Load.TypicalSelfTime = time.Duration(5+rng.IntN(20)) * time.Millisecond
					all[k].Load.FailureRate = cassiatally.FailureRate(rng.IntN(4)) / 16
				}
				b.Update(now, all)
			}
			if i%1700 == 0 {
				b.MarkSilent(now, all[rng.IntN(len(all))].Ref.Node)
			}
			id, _ := b.Choose(now, service, nil)
			b.Started(now, id)
			_, _ = fmt.Fprint(digest, id)
			took := 1 + rng.IntN(60)
			r := cassiatally.CallResult{Took: time.Duration(took) * step, Failed: rng.IntN(20) == 0, Unreachable: rng.IntN(400) == 0}
			if rng.IntN(2) == 0 {
				r.Load = cassiatally.EndpointLoad{Node: id, Limit: 10, InFlight: cassiatally.Concurrency(rng.IntN(11)), Queued: rng.IntN(3), TypicalSelfTime: time.Duration(5+rng.IntN(20)) * time.Millisecond}
			}
			ends[i+took] = append(ends[i+took], ending{id, r})
		}
		is.Equal(digest.Sum64(), want)
	}
}
