package admitter_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/admitter"
)

// shortage offers a backend server twice the work that it can do, in the proportions
// of the barrier deployment's bottleneck service, and returns the fraction of each rank
// that is served. Entry nodes refuse calls by the levels that it publishes.
func shortage(a *admitter.Admitter) (served [3]float64) {
	const (
		serverSlots = 17
		run         = 22 * time.Millisecond
		demand      = 2.0
		seconds     = 20
	)
	mix := [3]float64{0.05, 0.57, 0.38}
	rng := rand.New(rand.NewPCG(1, 2))
	var offered, done [3]int
	type running struct {
		rank cassiatally.Rank
		ends cassiatally.Instant
	}
	ranks := make(map[cassiatally.CallID]cassiatally.Rank)
	var busy []running
	var seq uint64
	now := cassiatally.Instant(time.Hour)
	for ms := range seconds * 1000 {
		now = now.Add(time.Millisecond)
		remaining := busy[:0]
		for _, b := range busy {
			if now.Before(b.ends) {
				remaining = append(remaining, b)
				continue
			}
			a.Done(now, cassiatally.RunClass{Rank: b.rank}, run)
			done[b.rank]++
		}
		busy = remaining
		for r, part := range mix {
			rate := demand * part * serverSlots / run.Seconds() / 1000
			for rate > 0 && rng.Float64() < rate {
				rate--
				offered[r]++
				order := rng.Float64()
				if levels := a.Levels(); order > float64(levels[r]) {
					continue
				}
				seq++
				id := cassiatally.CallID{Seq: seq}
				ranks[id] = cassiatally.Rank(r)
				a.Offer(now, cassiatally.Entry{ID: id, Rank: cassiatally.Rank(r), Order: cassiatally.Order(order), Deadline: now.Add(500 * time.Millisecond)})
			}
		}
		start, _ := a.Next(now, serverSlots-len(busy))
		for _, id := range start {
			busy = append(busy, running{ranks[id], now.Add(run)})
		}
		if ms%100 == 0 {
			a.Tick(now, serverSlots)
		}
	}
	for r := range served {
		served[r] = float64(done[r]) / float64(offered[r])
	}
	return served
}

// Guards against less urgent work that gets nothing for as long as a shortage lasts,
// and against urgent work that is refused to serve less urgent work.
func TestLessUrgentWorkKeepsItsProportion(t *testing.T) {
	is := is.New(t)
	served := shortage(&admitter.Admitter{Proportion: 0.85})
	t.Log("served", served)
	is.True(served[0] >= 0.97)
	is.True(served[2] >= 0.7*served[1])
	is.True(served[2] <= served[1])
	is.True(0.05*served[0]+0.57*served[1]+0.38*served[2] >= 0.45) // of the 0.5 that fit

	strict := shortage(&admitter.Admitter{})
	t.Log("by strict precedence", strict)
	is.True(strict[2] < 0.3*strict[1]) // so that the test can fail
}
