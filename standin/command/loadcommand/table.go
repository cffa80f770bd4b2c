package loadcommand

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassiatally/cassiatally/standin/loadplan"
	"github.com/cassiatally/cassiatally/standin/loadtally"
)

type tableBody struct {
	Rows []rowBody `json:"rows"`
}

type rowBody struct {
	Phase    loadplan.PhaseName `json:"phase"`
	Class    loadplan.ClassName `json:"class"`
	Offered  int                `json:"offered"`
	Unsent   int                `json:"unsent"`
	InTime   int                `json:"in_time"`
	Late     int                `json:"late"`
	Shed     int                `json:"shed"`
	Failed   int                `json:"failed"`
	Unknown  int                `json:"unknown"`
	Faults   int                `json:"faults"`
	Attempts int                `json:"attempts"`
	P50MS    float64            `json:"p50_ms"`
	P99MS    float64            `json:"p99_ms"`
}

func printRows(w io.Writer, rows []loadtally.Row, asJSON bool) error {
	body := tableBody{Rows: make([]rowBody, 0, len(rows))}
	for _, r := range rows {
		body.Rows = append(body.Rows, rowBody{
			Phase: r.Phase, Class: r.Class, Offered: r.Offered, Unsent: r.Unsent, InTime: r.InTime, Late: r.Late,
			Shed: r.Shed, Failed: r.Failed, Unknown: r.Unknown, Faults: r.Faults, Attempts: r.Attempts,
			P50MS: millis(r.P50), P99MS: millis(r.P99),
		})
	}
	if asJSON {
		return errors.Wrap(json.NewEncoder(w).Encode(body), "printing the table")
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "phase\tclass\toffered\tunsent\tin_time\tlate\tshed\tfailed\tunknown\tfaults\tattempts\tp50_ms\tp99_ms\t")
	for _, r := range body.Rows {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t\n", r.Phase, r.Class, r.Offered, r.Unsent,
			r.InTime, r.Late, r.Shed, r.Failed, r.Unknown, r.Faults, r.Attempts, r.P50MS, r.P99MS)
	}
	return errors.Wrap(t.Flush(), "printing the table")
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
