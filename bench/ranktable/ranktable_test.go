package ranktable

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/bench/sheetbook"
	"github.com/cassiatally/cassiatally/standin/core"
)

const testSheet = `service,kind,data_centre,zone,days,from,to,rank,share,target,idempotent
booking-svc,confirm,*,Europe/London,*,,,0,0,2s,false
depot-svc,reserve,*,Europe/London,*,,,0,0,1s,false
avail-svc,check,*,Europe/London,*,,,1,0.2,800ms,true
`

func openBook(t *testing.T) *sheetbook.Book {
	t.Helper()
	file := filepath.Join(t.TempDir(), "sheet.csv")
	if err := os.WriteFile(file, []byte(testSheet), 0o600); err != nil {
		t.Fatal(err)
	}
	b, err := sheetbook.Open(file, "edinburgh", time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func confirm(id core.RequestID, outcome string, status int) core.ReportedResult {
	return core.ReportedResult{ID: id, Class: "confirm", Phase: "base", Service: "booking-svc", Kind: "confirm", Outcome: outcome, Status: status}
}

// TestRowsCountEachRequestOnce guards against counting a request as completed
// although its answer was wrong, or in two columns.
func TestRowsCountEachRequestOnce(t *testing.T) {
	foreign := confirm("f", core.ReportedRan, 200)
	foreign.Fault = core.FaultForeign
	cases := map[string]struct {
		reported core.ReportedResult
		want     Row
	}{
		"a complete answer is completed":         {confirm("a", core.ReportedRan, 200), Row{Completed: 1}},
		"a refusal is shed":                      {confirm("b", core.ReportedNotRun, 503), Row{Shed: 1}},
		"an unknown outcome is unknown":          {confirm("c", core.ReportedUnknown, 502), Row{Unknown: 1}},
		"a failure of the run is failed":         {confirm("d", core.ReportedRan, 502), Row{Failed: 1}},
		"an answer to another request is failed": {foreign, Row{Failed: 1}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := New(openBook(t))
			table.Add([]core.ReportedResult{c.reported})
			rows := table.Rows()
			is.Equal(len(rows), 1)
			got := rows[0]
			is.Equal(got.Offered, 1)
			is.Equal([]int{got.Completed, got.Shed, got.Unknown, got.Failed}, []int{c.want.Completed, c.want.Shed, c.want.Unknown, c.want.Failed})
		})
	}
}

// TestRunTwiceCountsOnwardCalls guards against a table that misses an onward call
// run twice, because the caller sent the request only once.
func TestRunTwiceCountsOnwardCalls(t *testing.T) {
	reserve := core.Run{ID: "a", Service: "depot-svc", Kind: "reserve"}
	check := core.Run{ID: "a", Service: "avail-svc", Kind: "check"}
	cases := map[string]struct {
		runs []core.Run
		want int
	}{
		"one run": {[]core.Run{reserve}, 0},
		"two runs of work that is not idempotent": {[]core.Run{reserve, reserve}, 1},
		"three runs count as one call":            {[]core.Run{reserve, reserve, reserve}, 1},
		"two runs of idempotent work":             {[]core.Run{check, check}, 0},
		"runs of another trial":                   {[]core.Run{{ID: "z", Service: "depot-svc", Kind: "reserve"}, {ID: "z", Service: "depot-svc", Kind: "reserve"}}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := New(openBook(t))
			table.Add([]core.ReportedResult{confirm("a", core.ReportedRan, 200)})
			table.AddRuns(c.runs)
			is.Equal(table.Rows()[0].RunTwice, c.want)
		})
	}
}

// TestQuantile guards against quantiles that are off by one entry or fail for few
// values.
func TestQuantile(t *testing.T) {
	values := []time.Duration{4, 1, 3, 2}
	cases := map[string]struct {
		values []time.Duration
		q      float64
		want   time.Duration
	}{
		"no values":              {nil, 0.5, 0},
		"one value":              {values[:1], 0.99, 4},
		"median of four":         {values, 0.5, 2},
		"highest of four at 99%": {values, 0.99, 4},
		"lowest":                 {values, 0, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(Quantile(c.values, c.q), c.want)
		})
	}
}
