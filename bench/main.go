// Command cassiatally-bench is described in README.md.
package main

import (
	"os"

	"github.com/cassiatally/cassiatally/bench/command"
)

func main() {
	os.Exit(int(command.Main(os.Args, os.Stdin, os.Stdout, os.Stderr)))
}
