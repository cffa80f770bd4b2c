// Command cassiatally-bench drives a fleet of real processes on loopback and
// measures it. README.md describes its commands.
package main

import (
	"os"

	"github.com/cassiatally/cassiatally/bench/command"
)

func main() {
	os.Exit(int(command.Main(os.Args, os.Stdin, os.Stdout, os.Stderr)))
}
