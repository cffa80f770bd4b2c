// Package ranktable counts the results of a trial by phase and rank.
//
// # Usage
//
//	t := ranktable.New(book)
//	t.Add(reported)
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
	median = 0.5
	p99    = 0.99
)

// Row counts the requests of one rank in one phase.
type Row struct {
	Phase   string
	Rank    cassiatally.Rank
	Classes []string
	Offered int
	// Completed counts complete answers that arrived before the caller gave up.
	Completed int
	// Shed counts requests that were reported to the caller as not run.
	Shed    int
	Unknown int
	// Failed counts requests that were reported as run, without a complete answer.
	Failed int
	// RunTwice counts calls of work that is not idempotent that were run more than
	// once, onward calls included.
	RunTwice  int
	latencies []time.Duration
}

// Quantile returns a quantile of the latencies of completed requests.
func (r *Row) Quantile(q float64) time.Duration { return Quantile(r.latencies, q) }

// Table counts results by phase and rank.
type Table struct {
	book     *sheetbook.Book
	rows     map[rowKey]*Row
	order    []rowKey
	rowKeyOf map[core.RequestID]rowKey
}

type rowKey struct {
	phase string
	rank  cassiatally.Rank
}

// call identifies one call in the call tree of a request.
type call struct {
	id      core.RequestID
	service cassiatally.Service
	kind    cassiatally.WorkKind
}

// New returns an empty table for the ranks of a sheet.
func New(book *sheetbook.Book) *Table {
	return &Table{book: book, rows: make(map[rowKey]*Row), rowKeyOf: make(map[core.RequestID]rowKey)}
}

// Add counts the results that were reported to callers.
func (t *Table) Add(reported []core.ReportedResult) {
	for _, r := range reported {
		row := t.row(rowKey{r.Phase, t.book.Rank(r.Service, r.Kind)})
		t.rowKeyOf[r.ID] = rowKey{row.Phase, row.Rank}
		row.add(r)
	}
}

// AddRuns counts the calls that were run more than once although their work is not
// idempotent. It ignores runs of requests that Add has not counted.
func (t *Table) AddRuns(runs []core.Run) {
	seen := make(map[call]int)
	for _, r := range runs {
		key, counted := t.rowKeyOf[r.ID]
		if !counted || t.book.Idempotent(r.Service, r.Kind) {
			continue
		}
		c := call{r.ID, r.Service, r.Kind}
		seen[c]++
		if seen[c] == 2 {
			t.rows[key].RunTwice++
		}
	}
}

// Rows returns the rows in the order of phases, then ranks.
func (t *Table) Rows() []*Row {
	phases := make(map[string]int)
	for _, key := range t.order {
		if _, ok := phases[key.phase]; !ok {
			phases[key.phase] = len(phases)
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
			strconv.Itoa(r.Unknown), strconv.Itoa(r.Failed), strconv.Itoa(r.RunTwice),
			round(r.Quantile(median)), round(r.Quantile(p99)),
		)
	}
	return out.Print(w, true)
}

func (t *Table) row(key rowKey) *Row {
	r := t.rows[key]
	if r == nil {
		r = &Row{Phase: key.phase, Rank: key.rank}
		t.rows[key] = r
		t.order = append(t.order, key)
	}
	return r
}

func (r *Row) add(reported core.ReportedResult) {
	r.Offered++
	if !slices.Contains(r.Classes, reported.Class) {
		r.Classes = append(r.Classes, reported.Class)
		slices.Sort(r.Classes)
	}
	switch {
	case reported.Status == http.StatusOK && reported.Fault == core.FaultNone:
		r.Completed++
		r.latencies = append(r.latencies, time.Duration(reported.LatencyMS*float64(time.Millisecond)))
	case reported.Outcome == core.ReportedNotRun:
		r.Shed++
	case reported.Outcome == core.ReportedRan:
		r.Failed++
	default:
		r.Unknown++
	}
}

// Quantile returns the smallest value such that at least the fraction q of the
// values do not exceed it; 0 without values.
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
