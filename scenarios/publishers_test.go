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

// publication is one `cassiatally sheet publish`.
type publication struct {
	file           string
	stdout, stderr bytes.Buffer
	err            error
}

// cmdPublishers publishes sheets at the same time on the same base:
//
//	publishers LOG BASED-ON FILE...
//
// It sets published_won and published_lost to the numbers of those that were
// accepted and of those that were told of a conflict, and published_winner to
// the file of the last accepted one.
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

// cmdLosers checks that nodes know the kind of work of the winning sheet and of
// no other; the sheet X.csv has the kind only_X: losers WINNER CALLERS-ADDRESS...
func cmdLosers(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: losers WINNER CALLERS-ADDRESS...")
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
