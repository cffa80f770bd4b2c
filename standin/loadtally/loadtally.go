// Package loadtally counts the results of a load by phase and class.
//
// # Usage
//
//	t := loadtally.New()
//	t.Offer("base", "confirm")
//	t.Add(told)
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
	lowestLatency  = 1
	highestLatency = int64(10 * time.Minute / time.Microsecond)
	// significantDigits keep a histogram below 200 KB.
	significantDigits = 3
	microsInMilli     = 1000.0
)

// Row is the results of one class in one phase.
type Row struct {
	Phase loadplan.PhaseName
	Class loadplan.ClassName
	// Offered counts the requests that were due.
	Offered int
	// Unsent counts requests that the load itself could not send in time.
	Unsent int
	// InTime counts whole own answers within the target, Late those after it.
	InTime int
	Late   int
	// Shed counts requests told not to have been run.
	Shed    int
	Failed  int
	Unknown int
	// Faults counts answers that were foreign, incomplete or corrupted.
	Faults   int
	Attempts int
	// P50 and P99 are the latencies of whole own answers.
	P50 time.Duration
	P99 time.Duration
}

// Tally is the results of a load.
type Tally struct {
	cells map[cellName]*cell
	order []cellName
}

type cellName struct {
	phase loadplan.PhaseName
	class loadplan.ClassName
}

type cell struct {
	row       Row
	latencies *hdrhistogram.Histogram
}

// New returns an empty tally.
func New() *Tally { return &Tally{cells: make(map[cellName]*cell)} }

// Offer counts a request that is due.
func (t *Tally) Offer(p loadplan.PhaseName, c loadplan.ClassName) { t.cell(p, c).row.Offered++ }

// Drop counts a request that the load could not send in time.
func (t *Tally) Drop(p loadplan.PhaseName, c loadplan.ClassName) { t.cell(p, c).row.Unsent++ }

// Add counts a result.
func (t *Tally) Add(told core.Told) {
	c := t.cell(loadplan.PhaseName(told.Phase), loadplan.ClassName(told.Class))
	c.row.Attempts += told.Attempts
	whole := told.Status == http.StatusOK && told.Fault == core.FaultNone
	switch {
	case told.Fault != core.FaultNone:
		c.row.Faults++
	case told.InTime:
		c.row.InTime++
	case whole:
		c.row.Late++
	case told.Outcome == core.ToldNotRun:
		c.row.Shed++
	case told.Outcome == core.ToldRan:
		c.row.Failed++
	default:
		c.row.Unknown++
	}
	if whole {
		micros := int64(told.LatencyMS * microsInMilli)
		// The range holds every latency that the timeouts of a plan allow.
		_ = c.latencies.RecordValue(min(max(micros, lowestLatency), highestLatency))
	}
}

// Rows returns the results in the order in which phases and classes began.
func (t *Tally) Rows() []Row {
	rows := make([]Row, 0, len(t.order))
	for _, name := range t.order {
		c := t.cells[name]
		row := c.row
		row.P50 = time.Duration(c.latencies.ValueAtQuantile(50)) * time.Microsecond
		row.P99 = time.Duration(c.latencies.ValueAtQuantile(99)) * time.Microsecond
		rows = append(rows, row)
	}
	return rows
}

// Done returns how many requests were offered and how many have ended.
func (t *Tally) Done() (offered, ended int) {
	for _, c := range t.cells {
		r := c.row
		offered += r.Offered
		ended += r.Unsent + r.InTime + r.Late + r.Shed + r.Failed + r.Unknown + r.Faults
	}
	return offered, ended
}

func (t *Tally) cell(p loadplan.PhaseName, class loadplan.ClassName) *cell {
	name := cellName{p, class}
	c := t.cells[name]
	if c == nil {
		c = &cell{
			row:       Row{Phase: p, Class: class},
			latencies: hdrhistogram.New(lowestLatency, highestLatency, significantDigits),
		}
		t.cells[name] = c
		t.order = append(t.order, name)
	}
	return c
}
