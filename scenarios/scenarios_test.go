package scenarios_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// binaries is where TestMain builds the programs.
var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "cassiatally-scenarios-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binaries = dir
	code := 1
	if err := build(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
	} else {
		code = m.Run()
	}
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

func build(dir string) error {
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
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Setenv("PATH", binaries+string(os.PathListSeparator)+env.Getenv("PATH"))
			env.Setenv("EXAMPLES", examples())
			f := newFleet(env)
			env.Values[fleetKey{}] = f
			env.Defer(f.killAll)
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"start":    cmdStart,
			"node":     cmdNode,
			"signal":   cmdSignal,
			"halt":     cmdHalt,
			"ended":    cmdEnded,
			"until":    cmdUntil,
			"send":     cmdSend,
			"status":   cmdStatus,
			"mint":     cmdMint,
			"sending":  cmdSending,
			"answered": cmdAnswered,
			"await":    cmdAwait,
			"shard":    cmdShard,
			"runs":     cmdRuns,
			"route":    cmdRoute,
			"counter":  cmdCounter,
			"growth":   cmdGrowth,
		},
	})
}

func examples() string {
	dir, err := filepath.Abs("../examples")
	if err != nil {
		panic(err)
	}
	return dir
}
