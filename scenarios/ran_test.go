package scenarios_test

import (
	"encoding/json"
	"strconv"

	"github.com/rogpeppe/go-internal/testscript"
)

// cmdRan fails unless backend servers started the request with the id ID exactly
// COUNT times:
//
//	ran RECORDER-ADDRESS ID COUNT
func cmdRan(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 3 {
		ts.Fatalf("usage: ran RECORDER-ADDRESS ID COUNT")
	}
	body, err := fetch("http://" + args[0] + "/v1/runs")
	ts.Check(err)
	var records struct {
		Runs []struct {
			ID string `json:"id"`
		} `json:"runs"`
	}
	ts.Check(json.Unmarshal(body, &records))
	count := 0
	for _, r := range records.Runs {
		if r.ID == args[1] {
			count++
		}
	}
	ts.Logf("ran id=%s count=%d", args[1], count)
	if strconv.Itoa(count) != args[2] {
		ts.Fatalf("%s ran %d times, not %s", args[1], count, args[2])
	}
}
