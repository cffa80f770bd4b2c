package scenarios_test

import (
	"encoding/json"
	"fmt"
	"go/constant"
	"go/token"
	"go/types"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// measurementCommands returns the commands that read and check counts, sheet versions
// and answers, those that act in the background, and those that wait.
func measurementCommands() map[string]func(ts *testscript.TestScript, neg bool, args []string) {
	return map[string]func(ts *testscript.TestScript, neg bool, args []string){
		"runs":          cmdRuns,
		"settled":       cmdSettled,
		"table":         cmdTable,
		"field":         cmdField,
		"assert":        cmdAssert,
		"note":          cmdNote,
		"watchversions": cmdWatchVersions,
		"checkversions": cmdCheckVersions,
		"supervise":     cmdSupervise,
		"fetched":       cmdFetched,
		"repeat":        cmdRepeat,
		"leaving":       cmdLeaving,
		"newfleet":      cmdNewFleet,
		"publishers":    cmdPublishers,
		"inforce":       cmdInForce,
		"pause":         cmdPause,
	}
}

type recordedRun struct {
	Root    string `json:"root"`
	ID      string `json:"id"`
	Service string `json:"service"`
	Kind    string `json:"kind"`
	Backend string `json:"backend"`
	State   string `json:"state"`
}

// cmdRuns counts the runs of a service, or of all with *, in a recorder:
//
//	runs PREFIX RECORDER SERVICE [ID-PREFIX]
//
// It sets PREFIX_total, PREFIX_roots, PREFIX_max_per_root, PREFIX_max_per_id,
// PREFIX_finished, PREFIX_failed, PREFIX_aborted and PREFIX_started.
func cmdRuns(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 3 || len(args) > 4 {
		ts.Fatalf("usage: runs PREFIX RECORDER SERVICE [ID-PREFIX]")
	}
	runs := recordedRuns(ts, args[1])
	idPrefix := ""
	if len(args) == 4 {
		idPrefix = args[3]
	}
	counts := map[string]int{"total": 0, "finished": 0, "failed": 0, "aborted": 0, "started": 0}
	byRoot, byID := map[string]int{}, map[string]int{}
	for _, r := range runs {
		if args[2] != "*" && r.Service != args[2] || !strings.HasPrefix(r.ID, idPrefix) {
			continue
		}
		counts["total"]++
		counts[r.State]++
		byRoot[r.Root]++
		byID[r.ID]++
	}
	counts["roots"], counts["max_per_root"], counts["max_per_id"] = len(byRoot), maxCount(byRoot), maxCount(byID)
	for name, n := range counts {
		ts.Setenv(args[0]+"_"+name, strconv.Itoa(n))
	}
	ts.Logf("%s: %v", args[0], counts)
}

// recordedRuns returns the runs in a recorder.
func recordedRuns(ts *testscript.TestScript, recorder string) []recordedRun {
	body, err := fetch("http://" + recorder + "/v1/runs")
	ts.Check(err)
	var list struct {
		Runs []recordedRun `json:"runs"`
	}
	ts.Check(json.Unmarshal(body, &list))
	return list.Runs
}

// cmdSettled waits until the ends of all runs are recorded, since backend servers record
// them after they have answered: settled RECORDER.
func cmdSettled(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: settled RECORDER")
	}
	unfinished := func(r recordedRun) bool { return r.State == "started" }
	for deadline := time.Now().Add(conditionTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if !slices.ContainsFunc(recordedRuns(ts, args[0]), unfinished) {
			return
		}
	}
	ts.Fatalf("some runs have no recorded end after %v", conditionTimeout)
}

func maxCount(counts map[string]int) int {
	maximum := 0
	for _, n := range counts {
		maximum = max(maximum, n)
	}
	return maximum
}

// cmdTable reads a load table as JSON and sets PREFIX_PHASE_CLASS_FIELD for each
// of its numbers: table PREFIX FILE.
func cmdTable(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: table PREFIX FILE")
	}
	var table struct {
		Rows []map[string]any `json:"rows"`
	}
	ts.Check(json.Unmarshal([]byte(ts.ReadFile(args[1])), &table))
	for _, row := range table.Rows {
		ts.Logf("%s: %v", args[0], row)
		for field, value := range row {
			if n, ok := value.(float64); ok {
				name := fmt.Sprintf("%s_%v_%v_%s", args[0], row["phase"], row["class"], field)
				ts.Setenv(name, strconv.FormatFloat(n, 'f', -1, 64))
			}
		}
	}
}

// cmdField sets a variable to what the first group of a pattern matches in the body
// of a URL: field VARIABLE URL PATTERN.
func cmdField(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 3 {
		ts.Fatalf("usage: field VARIABLE URL PATTERN")
	}
	body, err := fetch(args[1])
	ts.Check(err)
	m := compilePattern(ts, args[2]).FindSubmatch(body)
	if len(m) < 2 {
		ts.Fatalf("%s does not match the answer of %s:\n%s", args[2], args[1], body)
	}
	ts.Setenv(args[0], string(m[1]))
}

// cmdAssert fails unless a constant Go expression is true: assert $a <= 2*$b.
func cmdAssert(ts *testscript.TestScript, neg bool, args []string) {
	text := strings.Join(args, " ")
	value, err := types.Eval(token.NewFileSet(), nil, token.NoPos, text)
	if err != nil {
		ts.Fatalf("assert %s: %v", text, err)
	}
	if value.Value == nil || value.Value.Kind() != constant.Bool {
		ts.Fatalf("assert %s: the expression is not boolean", text)
	}
	if constant.BoolVal(value.Value) == neg {
		ts.Fatalf("assert: %s does not hold", text)
	}
}

// cmdNote writes its arguments to the log of the test.
func cmdNote(ts *testscript.TestScript, _ bool, args []string) {
	ts.Logf("%s", strings.Join(args, " "))
}

// cmdPause waits for a time that is part of a scenario, such as the length of an
// outage: pause DURATION. To wait for a condition, use another command.
func cmdPause(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: pause DURATION")
	}
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}

// cmdFetched repeats a GET until the body matches: fetched URL PATTERN.
func cmdFetched(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: fetched URL PATTERN")
	}
	pattern := compilePattern(ts, args[1])
	var last []byte
	for deadline := time.Now().Add(conditionTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		body, err := fetch(args[0])
		if last = body; err == nil && pattern.Match(body) {
			return
		}
	}
	ts.Fatalf("%s was not met within %v; last answer:\n%s", args[1], conditionTimeout, last)
}

// cmdNewFleet lets the next node start without seeds, as the first one of a new
// fleet: newfleet.
func cmdNewFleet(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 0 {
		ts.Fatalf("usage: newfleet")
	}
	clear(fleetOf(ts).linkAddresses)
}
