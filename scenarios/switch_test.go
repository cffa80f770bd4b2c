package scenarios_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// switchVariable is the environment variable that lists the mechanisms to switch off
// in a run of the scenarios.
const switchVariable = "CASSIATALLY_SWITCH_OFF"

// Guards against a normal build in which a mechanism can be switched off.
func TestNormalBuildHasNoSwitches(t *testing.T) {
	if os.Getenv(switchVariable) != "" {
		// The programs are built with the tag faultinjection, to prove that a scenario
		// fails without a mechanism, so there is no normal build to check. CI never sets
		// the variable.
		t.Skip("the programs are built with the switches")
	}
	for _, program := range []string{"cassiatally-node", "cassiatally", "cassiatally-standin"} {
		is := is.New(t)
		data, err := os.ReadFile(filepath.Join(binaries, program))
		is.NoErr(err)
		is.True(!bytes.Contains(data, []byte(switchVariable)))
	}
}
