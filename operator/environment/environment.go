// Package environment holds what a command uses from outside the program: streams,
// a clock, the user's name, the log service and an HTTP client. Tests replace them.
//
// # Usage
//
//	env := environment.Environment{Stdout: os.Stdout, OpenLog: open}
//	log := env.OpenLog("127.0.0.1:7400", time.Second)
package environment

import (
	"io"
	"net/http"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// Environment is passed to the constructor of each command.
type Environment struct {
	// Stdin is nil when nothing is piped in.
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	// Terminal is set when Stdout is a terminal.
	Terminal bool
	// User is the name of the user who runs the command; empty when unknown.
	User string
	// OpenLog returns a client of the log service at the address.
	OpenLog func(a cassiatally.Address, timeout time.Duration) cassiatally.Log
	// HTTP sends requests to nodes. It has no timeout; the commands set deadlines.
	HTTP  *http.Client
	Clock cassiatally.Clock
}
