// Command standins runs one case of the review: it starts the project's own programs as
// processes beside stand-ins for the platform, the endpoints and the clients, and checks
// one rule.
//
// # Usage
//
//	standins CASE RECORD
//
// It is run in the root of the repository and writes what was sent, answered and run to
// the file RECORD. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
// case could not run. With TROUBLE=0 in the environment the case has no disruption.
package main

import (
	"fmt"
	"os"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	// runLimit is the longest time that a case may take.
	runLimit = 110 * time.Second
)

// caseFunc runs a case and reports whether the rule was broken.
type caseFunc func(rec *record, trouble bool) (broken bool, err error)

var cases = map[string]caseFunc{
	"twice":       twice,
	"memory":      memory,
	"caller":      callerService,
	"queued":      queued,
	"slow-reader": slowReader,
}

func main() { os.Exit(execute(os.Args[1:])) }

func execute(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE RECORD")
		return exitNotRun
	}
	rec, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	time.AfterFunc(runLimit, func() {
		rec.add("result   not run: the case took too long")
		os.Exit(exitNotRun)
	})
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, disruption %v", args[0], trouble)
	broken, err := cases[args[0]](rec, trouble)
	switch {
	case err != nil:
		rec.add("result   not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case broken:
		rec.add("result   the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	default:
		rec.add("result   the rule held")
		fmt.Println("the rule held")
		return exitHeld
	}
}
