// Package ranktable counts the results of a trial by rank.
//
// # Usage
//
//	t := ranktable.New(book)
//	t.Add(told)
//	t.AddRuns(runs)
//	err := t.Print(w)
package ranktable

import (
	"fmt"
	"io"
	"maps"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cassiatally/cassiatally/bench/sheetbook"
	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/operator/tabler"
	"github.com/cassiatally/cassiatally/standin/core"
)

const (
	median     = 0.5
	percentile = 0.99
)

// Row is the results of one rank in one phase.
type Row struct {
	Phase   string
	Rank    cassiatally.Rank
	Classes []string
	Offered int
	// Completed counts whole answers that arrived before the caller gave up.
	Completed int
	// Shed counts requests told not to have been run.
	Shed    int
	Unknown int
	// Failed counts requests told to have been run without a whole answer.
	Failed int
	// Twice counts calls of work that is not idempotent with several runs,
	// onward calls included.
	Twice     int
	latencies []time.Duration
}

// Quantile returns a quantile of the latencies of completed requests.
func (r *Row) Quantile(q float64) time.Duration { return Quantile(r.latencies, q) }

// Table counts results.
type Table struct {
	book  *sheetbook.Book
	rows  map[rowName]*Row
	order []rowName
	names map[core.RequestID]rowName
}

type rowName struct {
	phase string
	rank  cassiatally.Rank
}

// call is one call of a request's call tree.
type call struct {
	id      core.RequestID
	service cassiatally.Service
	kind    cassiatally.WorkKind
}

// New returns an empty table for the ranks of a sheet.
func New(book *sheetbook.Book) *Table {
	return &Table{book: book, rows: make(map[rowName]*Row), names: make(map[core.RequestID]rowName)}
}

// Add counts what callers were told.
func (t *Table) Add(told []core.ReportedResult) {
	for _, one := range told {
		row := t.row(rowName{one.Phase, t.book.Rank(one.Service, one.Kind)})
		t.names[one.ID] = rowName{row.Phase, row.Rank}
		row.add(one)
	}
}

// AddRuns counts the calls of the requests added before that were run twice
// although their work is not idempotent.
func (t *Table) AddRuns(runs []core.Run) {
	seen := make(map[call]int)
	for _, r := range runs {
		name, known := t.names[r.ID]
		if !known || t.book.Idempotent(r.Service, r.Kind) {
			continue
		}
		c := call{r.ID, r.Service, r.Kind}
		seen[c]++
		if seen[c] == 2 {
			t.rows[name].Twice++
		}
	}
}

// Rows returns the rows in the order of phases, then ranks.
func (t *Table) Rows() []*Row {
	phases := make(map[string]int)
	for _, n := range t.order {
		if _, ok := phases[n.phase]; !ok {
			phases[n.phase] = len(phases)
		}
	}
	rows := slices.Collect(maps.Values(t.rows))
	slices.SortFunc(rows, func(x, y *Row) int {
		if d := phases[x.Phase] - phases[y.Phase]; d != 0 {
			return d
		}
		return int(x.Rank) - int(y.Rank)
	})
	return rows
}

// Print writes the table.
func (t *Table) Print(w io.Writer) error {
	out := tabler.Table{Header: []string{
		"phase", "rank", "classes", "offered", "completed", "shed", "unknown", "failed", "run twice", "p50", "p99",
	}}
	for _, r := range t.Rows() {
		out.Add(
			r.Phase, strconv.Itoa(int(r.Rank)), strings.Join(r.Classes, ","), strconv.Itoa(r.Offered),
			fmt.Sprintf("%d (%.1f%%)", r.Completed, percent(r.Completed, r.Offered)), strconv.Itoa(r.Shed),
			strconv.Itoa(r.Unknown), strconv.Itoa(r.Failed), strconv.Itoa(r.Twice),
			round(r.Quantile(median)), round(r.Quantile(percentile)),
		)
	}
	return out.Print(w, true)
}

func (t *Table) row(n rowName) *Row {
	r := t.rows[n]
	if r == nil {
		r = &Row{Phase: n.phase, Rank: n.rank}
		t.rows[n] = r
		t.order = append(t.order, n)
	}
	return r
}

func (r *Row) add(one core.ReportedResult) {
	r.Offered++
	if !slices.Contains(r.Classes, one.Class) {
		r.Classes = append(r.Classes, one.Class)
		slices.Sort(r.Classes)
	}
	switch {
	case one.Status == http.StatusOK && one.Fault == core.FaultNone:
		r.Completed++
		r.latencies = append(r.latencies, time.Duration(one.LatencyMS*float64(time.Millisecond)))
	case one.Outcome == core.ReportedNotRun:
		r.Shed++
	case one.Outcome == core.ReportedRan:
		r.Failed++
	default:
		r.Unknown++
	}
}

// Quantile returns the smallest value that at least the part q of the values
// does not exceed; 0 without values.
func Quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	at := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[min(max(at, 0), len(sorted)-1)]
}

func percent(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole) * 100
}

func round(d time.Duration) string { return d.Round(time.Millisecond).String() }
