package scenarios_test

import (
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// cmdLeaving waits until the status of a node reports that it is leaving, or the
// node no longer answers: leaving ADMIN-ADDRESS.
func cmdLeaving(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: leaving ADMIN-ADDRESS")
	}
	for deadline := time.Now().Add(conditionTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		body, err := fetch("http://" + args[0] + "/v1/status")
		if err != nil || strings.Contains(string(body), `"leaving":true,"control"`) {
			return
		}
	}
	ts.Fatalf("%s did not leave within %v", args[0], conditionTimeout)
}
