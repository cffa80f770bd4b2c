// Command cassiatally is the command-line tool of operators; README.md describes it.
package main

import (
	"os"

	"github.com/cassiatally/cassiatally/operator/command"
)

func main() {
	os.Exit(int(command.Main(os.Args, os.Stdin, os.Stdout, os.Stderr)))
}
