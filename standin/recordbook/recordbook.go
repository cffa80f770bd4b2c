// Package recordbook stores the runs of backend servers and the results reported
// to callers in memory, and counts the runs of each call of a call tree.
//
// # Usage
//
//	b := recordbook.New(recordbook.DefaultCapacity)
//	err := b.AddRun(run)
//	summary := b.Summarise(2)
//
// A Book is not safe for concurrent use; the duty that owns it serialises
// access.
package recordbook

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/standin/core"
)

// DefaultCapacity bounds the number of runs and, separately, of reported results.
// A million records take about 500 MB.
const DefaultCapacity = 1 << 20

// ErrFull is returned when the book is at capacity. A record is never dropped
// silently, since the reconciler would report the missing record as a violation.
var ErrFull = errors.New("the recorder holds as many records as it may")

// Book holds the records of one trial.
type Book struct {
	capacity      int
	runs          []core.Run
	indexByRecord map[core.RecordID]int
	results       []core.ReportedResult
}

// Group counts the runs of one call of a call tree.
type Group struct {
	Root    core.Root
	Service cassiatally.Service
	Kind    cassiatally.WorkKind
	Runs    int
}

// Summary counts runs and reported results. Doubles is the number of calls with
// more than one run.
type Summary struct {
	Runs            int
	ReportedResults int
	States          map[core.RunState]int
	Doubles         int
	Groups          []Group
}

// New returns an empty book.
func New(capacity int) *Book {
	return &Book{capacity: capacity, indexByRecord: make(map[core.RecordID]int)}
}

// AddRun adds a run, or updates it if its record exists. A late start does not
// replace a recorded end.
func (b *Book) AddRun(r core.Run) error {
	at, exists := b.indexByRecord[r.Record]
	if exists {
		if r.State != core.RunStarted {
			b.runs[at] = r
		}
		return nil
	}
	if len(b.runs) >= b.capacity {
		return ErrFull
	}
	b.indexByRecord[r.Record] = len(b.runs)
	b.runs = append(b.runs, r)
	return nil
}

// AddResults adds results reported to callers: all of them, or none when
// they exceed the capacity.
func (b *Book) AddResults(results []core.ReportedResult) error {
	if len(b.results)+len(results) > b.capacity {
		return ErrFull
	}
	b.results = append(b.results, results...)
	return nil
}

// Runs returns a copy of the runs.
func (b *Book) Runs() []core.Run { return append([]core.Run{}, b.runs...) }

// Results returns a copy of the results reported to callers.
func (b *Book) Results() []core.ReportedResult { return append([]core.ReportedResult{}, b.results...) }

// Summarise counts the records and lists the calls with at least minRuns runs.
func (b *Book) Summarise(minRuns int) Summary {
	s := Summary{Runs: len(b.runs), ReportedResults: len(b.results), States: make(map[core.RunState]int)}
	counts := make(map[Group]int)
	for _, r := range b.runs {
		s.States[r.State]++
		counts[Group{Root: r.Root, Service: r.Service, Kind: r.Kind}]++
	}
	for g, n := range counts {
		if n > 1 {
			s.Doubles++
		}
		if n >= minRuns {
			g.Runs = n
			s.Groups = append(s.Groups, g)
		}
	}
	slices.SortFunc(s.Groups, func(x, y Group) int {
		return cmp.Or(cmp.Compare(x.Root, y.Root), cmp.Compare(x.Service, y.Service), cmp.Compare(x.Kind, y.Kind))
	})
	return s
}
