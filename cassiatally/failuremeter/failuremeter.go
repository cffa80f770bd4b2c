// Package failuremeter measures which fraction of the recent runs at a backend server
// failed. The node beside it sees all its runs, while another node sees a few of them:
// the more nodes a fleet has, the longer each would need to notice a faulty endpoint.
//
// # Usage
//
//	var m failuremeter.Meter
//	m.Record(now, failed) // at the end of each run
//	load.FailureRate = m.Rate(now)
//
// A Meter is not safe for concurrent use.
package failuremeter

import (
	"math"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	// halfLife is the time after which a run counts half. An endpoint that other nodes
	// avoid has few runs, so that its rate falls and they try it again.
	halfLife = time.Second
	// priorRuns is the number of successful runs that are assumed in addition, so that a
	// single failure is no evidence.
	priorRuns = 3
	// step is the resolution of the rate. Small changes would be sent to all nodes.
	step = 1.0 / 32
)

// Meter measures the failure rate of one backend server. Its zero value is ready.
type Meter struct {
	at             cassiatally.Instant
	runs, failures float64
}

// Record records the end of a run.
func (m *Meter) Record(now cassiatally.Instant, failed bool) {
	m.decay(now)
	m.runs++
	if failed {
		m.failures++
	}
}

// Rate returns the fraction of recent runs that failed.
func (m *Meter) Rate(now cassiatally.Instant) cassiatally.FailureRate {
	m.decay(now)
	rate := m.failures / (m.runs + priorRuns)
	return cassiatally.FailureRate(math.Round(rate/step) * step)
}

func (m *Meter) decay(now cassiatally.Instant) {
	passed := now.Sub(m.at)
	if passed <= 0 {
		return
	}
	factor := math.Exp2(-float64(passed) / float64(halfLife))
	m.runs *= factor
	m.failures *= factor
	m.at = now
}
