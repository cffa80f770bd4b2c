// Package loadtally counts the results of a load by phase and class.
//
// # Usage
//
//	t := loadtally.New()
//	t.CountOffered("base", "confirm")
//	t.AddResult(result)
//	for _, row := range t.Rows() {
//		fmt.Println(row.Phase, row.Class, row.InTime)
//	}
//
// A Tally is not safe for concurrent use; the duty that owns it serialises
// access.
package loadtally

import (
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cassiatally/cassiatally/standin/core"
	"github.com/cassiatally/cassiatally/standin/loadplan"
)

const (
	minLatencyMicros = 1
	maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)
	// significantDigits is the precision: 3 digits keep a histogram below 200 KB.
	significantDigits = 3
	microsPerMilli    = 1000.0
)

// Row holds the counts and latencies of one class in one phase.
type Row struct {
	Phase loadplan.PhaseName
	Class loadplan.ClassName
	// Offered counts the requests that became due.
	Offered int
	// Unsent counts requests that were dropped since no worker was free in time.
	Unsent int
	// InTime counts answers without a fault within the target, Late those after it.
	InTime int
	Late   int
	// Shed counts requests that were reported as not run, Failed those reported as
	// run without a successful answer, Unknown those with an unknown outcome.
	Shed    int
	Failed  int
	Unknown int
	// Faults counts answers that were foreign, incomplete or corrupted.
	Faults   int
	Attempts int
	// P50 and P99 are latencies of successful answers without a fault.
	P50 time.Duration
	P99 time.Duration
}

// Tally counts the results of a load.
type Tally struct {
	cells map[cellKey]*cell
	order []cellKey
}

type cellKey struct {
	phase loadplan.PhaseName
	class loadplan.ClassName
}

type cell struct {
	row       Row
	latencies *hdrhistogram.Histogram
}

// New returns an empty tally.
func New() *Tally { return &Tally{cells: make(map[cellKey]*cell)} }

// CountOffered counts a request that became due.
func (t *Tally) CountOffered(p loadplan.PhaseName, c loadplan.ClassName) { t.cell(p, c).row.Offered++ }

// CountUnsent counts a request that was dropped since no worker was free in time.
func (t *Tally) CountUnsent(p loadplan.PhaseName, c loadplan.ClassName) { t.cell(p, c).row.Unsent++ }

// AddResult counts a result.
func (t *Tally) AddResult(r core.ReportedResult) {
	c := t.cell(loadplan.PhaseName(r.Phase), loadplan.ClassName(r.Class))
	c.row.Attempts += r.Attempts
	correct := r.Status == http.StatusOK && r.Fault == core.FaultNone
	switch {
	case r.Fault != core.FaultNone:
		c.row.Faults++
	case r.InTime:
		c.row.InTime++
	case correct:
		c.row.Late++
	case r.Outcome == core.ReportedNotRun:
		c.row.Shed++
	case r.Outcome == core.ReportedRan:
		c.row.Failed++
	default:
		c.row.Unknown++
	}
	if correct {
		micros := int64(r.LatencyMS * microsPerMilli)
		// The range of the histogram covers every latency that a plan can produce.
		_ = c.latencies.RecordValue(min(max(micros, minLatencyMicros), maxLatencyMicros))
	}
}

// Rows returns the results in the order in which each phase and class was first
// counted.
func (t *Tally) Rows() []Row {
	rows := make([]Row, 0, len(t.order))
	for _, key := range t.order {
		c := t.cells[key]
		row := c.row
		row.P50 = time.Duration(c.latencies.ValueAtQuantile(50)) * time.Microsecond
		row.P99 = time.Duration(c.latencies.ValueAtQuantile(99)) * time.Microsecond
		rows = append(rows, row)
	}
	return rows
}

// Progress returns the number of requests that were offered and that have ended.
func (t *Tally) Progress() (offered, ended int) {
	for _, c := range t.cells {
		r := c.row
		offered += r.Offered
		ended += r.Unsent + r.InTime + r.Late + r.Shed + r.Failed + r.Unknown + r.Faults
	}
	return offered, ended
}

func (t *Tally) cell(p loadplan.PhaseName, class loadplan.ClassName) *cell {
	key := cellKey{p, class}
	c := t.cells[key]
	if c == nil {
		c = &cell{
			row:       Row{Phase: p, Class: class},
			latencies: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits),
		}
		t.cells[key] = c
		t.order = append(t.order, key)
	}
	return c
}
