// Command cassiatally-node runs on the host of a backend server and controls its load;
// see README.md.
package main

import (
	"os"

	"github.com/cassiatally/cassiatally/node/command"
)

func main() {
	os.Exit(int(command.Main(os.Args, os.Stdin, os.Stdout, os.Stderr)))
}
