// Package exitreporter prints the error that ends a program and gives its exit
// code.
//
// # Usage
//
//	os.Exit(int(exitreporter.Reporter{Program: "cassiatally-node", Stderr: os.Stderr}.Report(err)))
package exitreporter

import (
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// Reporter prints errors under the name of a program.
type Reporter struct {
	Program string
	Stderr  io.Writer
}

// Report prints an error and returns the exit code of its kind. It prints nothing
// when err is nil.
func (r Reporter) Report(err error) cassiatally.ExitCode {
	if err == nil {
		return cassiatally.ExitSuccess
	}
	fmt.Fprintf(r.Stderr, "%s: %v\n", r.Program, err)
	var e *cassiatally.Error
	if errors.As(err, &e) {
		return e.Kind.Spec().Exit
	}
	return cassiatally.ExitFailure
}
