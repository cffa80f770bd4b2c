package scenarios_test

import (
	"bytes"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// publication is one run of `cassiatally sheet publish`.
type publication struct {
	file           string
	stdout, stderr bytes.Buffer
	err            error
}

// cmdPublishers publishes sheets concurrently, based on the same version:
//
//	publishers LOG BASED-ON FILE...
//
// It sets published_won to the number of accepted sheets, published_lost to the
// number of those refused with a version conflict, and published_winner to the file
// of the last accepted one.
func cmdPublishers(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 3 {
		ts.Fatalf("usage: publishers LOG BASED-ON FILE...")
	}
	done := make(chan *publication)
	for _, file := range args[2:] {
		p := &publication{file: file}
		cmd := exec.Command(filepath.Join(binaries, "cassiatally"), "sheet", "publish", file,
			"--log", args[0], "--based-on", args[1], "--publisher", "planner-"+strings.TrimSuffix(file, ".csv"))
		cmd.Dir, cmd.Stdout, cmd.Stderr = ts.MkAbs("."), &p.stdout, &p.stderr
		go func() {
			p.err = cmd.Run()
			done <- p
		}()
	}
	won, lost := 0, 0
	for range args[2:] {
		p := <-done
		ts.Logf("%s: %v: %s%s", p.file, p.err, p.stdout.String(), p.stderr.String())
		switch {
		case p.err == nil:
			won++
			ts.Setenv("published_winner", p.file)
		case strings.Contains(p.stderr.String(), "version_conflict"):
			lost++
		}
	}
	ts.Setenv("published_won", strconv.Itoa(won))
	ts.Setenv("published_lost", strconv.Itoa(lost))
}

// cmdInForce checks that nodes accept the kind of work of the winning sheet and of
// no other; the sheet X.csv has the kind only_X: inforce WINNER CALLERS-ADDRESS...
func cmdInForce(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: inforce WINNER CALLERS-ADDRESS...")
	}
	for _, address := range args[1:] {
		for _, file := range []string{"a.csv", "b.csv", "c.csv", "d.csv"} {
			kind := "only_" + strings.TrimSuffix(file, ".csv")
			resp, err := http.Post("http://"+address+"/v1/call/avail-svc/"+kind, "", nil)
			ts.Check(err)
			body, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			ts.Check(err)
			unknown := bytes.Contains(body, []byte("unknown_kind")) && resp.Header.Get("Cassiatally-Outcome") == "not_run"
			if unknown != (file != args[0]) {
				ts.Fatalf("%s won, but %s is answered by %s with %s", args[0], kind, address, body)
			}
		}
	}
}
