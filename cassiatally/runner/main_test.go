package runner_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the number of checks of the fleet model, so that every
// run of the tests checks the same plans. The course of a plan may still differ
// between runs, since the runner iterates over maps. RUNNER_SEED and RUNNER_CHECKS
// override both for trials.
func TestMain(m *testing.M) {
	flag.Parse()
	set := func(name, variable, value string) {
		if v := os.Getenv(variable); v != "" {
			value = v
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	set("rapid.seed", "RUNNER_SEED", "1")
	set("rapid.checks", "RUNNER_CHECKS", "100")
	set("rapid.nofailfile", "RUNNER_NOFAILFILE", "true")
	m.Run()
}
