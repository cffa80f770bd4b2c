package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2

	// runLimit bounds a case.
	runLimit = 118 * time.Second
)

// cases maps the name of a case to what plays it. trouble is false when the disruption is
// left out. A case returns errBroken if its rule was broken.
var cases = map[string]func(r *recorder, trouble bool) error{
	"memory": playMemory,
	"quota":  playQuota,
	"drain":  playDrain,
	"odd":    playOdd,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE DIR")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, dir string) int {
	r, err := newRecorder(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	time.AfterFunc(runLimit, func() {
		fmt.Fprintln(os.Stderr, "the case did not end in time")
		os.Exit(exitNotRun) // the processes end with this one
	})
	err = cases[name](r, os.Getenv("TROUBLE") != "0")
	switch {
	case errors.Is(err, errBroken):
		r.say("the rule was broken")
		return exitBroken
	case err != nil:
		r.say("the case could not run: %v", err)
		return exitNotRun
	default:
		r.say("the rule held")
		return exitHeld
	}
}
