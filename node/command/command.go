// Package command runs the cassiatally-node program.
//
// # Usage
//
//	os.Exit(int(command.Main(os.Args, os.Stdin, os.Stdout, os.Stderr)))
package command

import (
	"fmt"
	"io"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// Main runs the program and returns its exit code.
func Main(args []string, _ io.Reader, _, stderr io.Writer) cassiatally.ExitCode {
	fmt.Fprintf(stderr, "%s: no commands yet\n", args[0])
	return cassiatally.ExitUsage
}
