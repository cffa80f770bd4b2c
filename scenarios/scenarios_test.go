package scenarios_test

import (
	"cmp"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// binaries is the directory into which TestMain builds the programs.
var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "cassiatally-scenarios-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binaries = dir
	code := 1
	if err := buildPrograms(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
	} else {
		code = m.Run()
	}
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

func buildPrograms(dir string) error {
	programs := map[string]string{"cassiatally-node": "node", "cassiatally": "operator", "cassiatally-standin": "standin"}
	for program, module := range programs {
		args := []string{"build", "-o", filepath.Join(dir, program)}
		if os.Getenv(switchVariable) != "" {
			args = append(args, "-tags", "faultinjection")
		}
		out, err := exec.Command("go", append(args, "../"+module)...).CombinedOutput()
		if err != nil {
			return fmt.Errorf("build %s: %w\n%s", program, err, out)
		}
	}
	return nil
}

// TestScenarios runs the scripts in testdata. Each script states in its first
// lines which failure it guards against.
func TestScenarios(t *testing.T) {
	cmds := map[string]func(ts *testscript.TestScript, neg bool, args []string){
		"start":  cmdStart,
		"node":   cmdNode,
		"signal": cmdSignal,
		"halt":   cmdHalt,
		"ended":  cmdEnded,
		"until":  cmdUntil,
		"send":   cmdSend,
		"status": cmdStatus,
		"mint":   cmdMint,

		"sending":   cmdSending,
		"answered":  cmdAnswered,
		"await":     cmdAwait,
		"shard":     cmdShard,
		"ran":       cmdRan,
		"route":     cmdRoute,
		"counter":   cmdCounter,
		"maxgrowth": cmdMaxGrowth,
	}
	maps.Copy(cmds, measurementCommands())
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Setenv("PATH", binaries+string(os.PathListSeparator)+env.Getenv("PATH"))
			env.Setenv("EXAMPLES", examplesDir())
			setMechanisms(env)
			f := newFleet(env)
			env.Values[fleetKey{}] = f
			env.Defer(f.killAll)
			return nil
		},
		Cmds: cmds,
	})
}

// setMechanisms sets the variables CONTROL, PER_ROOT and DRAIN, with which scripts
// configure their nodes. SCENARIO_CONTROL=off, SCENARIO_PER_ROOT=16 and
// SCENARIO_DRAIN=1ms switch the mechanisms off, to prove that a scenario fails
// without them.
func setMechanisms(env *testscript.Env) {
	env.Setenv("CONTROL", cmp.Or(os.Getenv("SCENARIO_CONTROL"), "adaptive"))
	env.Setenv("PER_ROOT", cmp.Or(os.Getenv("SCENARIO_PER_ROOT"), "2"))
	env.Setenv("DRAIN", cmp.Or(os.Getenv("SCENARIO_DRAIN"), "30s"))
}

func examplesDir() string {
	dir, err := filepath.Abs("../examples")
	if err != nil {
		panic(err)
	}
	return dir
}
