package claimer

import (
	"runtime"
	"testing"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// BenchmarkClaim measures the processor time of a claim at its holder, from the
// call to the recorded outcome, and the memory that a finished claim occupies.
// The stored answer is empty.
func BenchmarkClaim(b *testing.B) {
	c := newHolder()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	b.ReportAllocs()
	seq := uint64(1)
	claims := 0
	for i := range b.N {
		if claims == maxClaims/2 {
			b.StopTimer()
			c, claims, seq = newHolder(), 0, 1
			b.StartTimer()
		}
		claims++
		call := callOf(uint64(i), keyOf(1, uint64(i)), "body")
		c.HandleCall(0, "entry", call)
		seq++
		for _, a := range c.HandleClaimAck(0, standbyRef.Node, ackOf(1, standbyRef, seq)) {
			if s, ok := a.(cassiatally.Submit); ok {
				c.RunFinished(0, s.Request.ID, cassiatally.Answer{Outcome: cassiatally.OutcomeRan, Status: 200})
				seq++
				c.HandleClaimAck(0, standbyRef.Node, ackOf(1, standbyRef, seq))
			}
		}
	}
	b.StopTimer()
	runtime.GC()
	runtime.ReadMemStats(&after)
	if claims > 0 && after.HeapAlloc > before.HeapAlloc {
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(claims), "B/claim")
	}
	runtime.KeepAlive(c)
}
