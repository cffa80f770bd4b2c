// Command cassiatally-standin runs the stand-ins for the systems around
// cassiatally. It is described in README.md.
package main

import (
	"os"

	"github.com/cassiatally/cassiatally/standin/command"
)

func main() {
	os.Exit(int(command.Main(os.Args, os.Stdin, os.Stdout, os.Stderr, os.Exit)))
}
