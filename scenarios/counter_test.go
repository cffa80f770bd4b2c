package scenarios_test

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// cmdCounter sets a variable to the sum of a counter over the status of nodes:
//
//	counter VARIABLE SECTION.NAME ADMIN-ADDRESS...
func cmdCounter(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 3 {
		ts.Fatalf("usage: counter VARIABLE SECTION.NAME ADMIN-ADDRESS...")
	}
	n := sumCounter(ts, args[1], args[2:])
	ts.Logf("%s=%d", args[1], n)
	ts.Setenv(args[0], strconv.FormatUint(n, 10))
}

// cmdMaxGrowth fails when a counter has grown by more than a limit since a counter
// command set the variable:
//
//	maxgrowth VARIABLE LIMIT SECTION.NAME ADMIN-ADDRESS...
func cmdMaxGrowth(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 4 {
		ts.Fatalf("usage: maxgrowth VARIABLE LIMIT SECTION.NAME ADMIN-ADDRESS...")
	}
	before, err := strconv.ParseUint(ts.Getenv(args[0]), 10, 64)
	ts.Check(err)
	limit, err := strconv.ParseUint(args[1], 10, 64)
	ts.Check(err)
	after := sumCounter(ts, args[2], args[3:])
	ts.Logf("%s before=%d after=%d limit=%d", args[2], before, after, limit)
	if after > before+limit {
		ts.Fatalf("%s grew from %d to %d, by more than %d", args[2], before, after, limit)
	}
}

func sumCounter(ts *testscript.TestScript, name string, admins []string) uint64 {
	section, field, _ := strings.Cut(name, ".")
	sum := uint64(0)
	for _, admin := range admins {
		body, err := fetch("http://" + admin + "/v1/status")
		ts.Check(err)
		var status map[string]json.RawMessage
		ts.Check(json.Unmarshal(body, &status))
		var counters map[string]json.RawMessage
		ts.Check(json.Unmarshal(status[section], &counters))
		n, err := strconv.ParseUint(string(counters[field]), 10, 64)
		ts.Check(err)
		sum += n
	}
	return sum
}
