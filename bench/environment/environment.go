// Package environment holds the output streams of a command and its logger.
//
// # Usage
//
//	env := environment.Environment{Stdout: os.Stdout, Stderr: os.Stderr}
//	env.Logger().Info("phase", "name", "base")
package environment

import (
	"io"

	"github.com/charmbracelet/log"
)

// Environment is passed to the constructor of each command.
type Environment struct {
	Stdout io.Writer
	Stderr io.Writer
}

// Logger returns a logger for progress, with one event per line.
func (e Environment) Logger() *log.Logger {
	return log.NewWithOptions(e.Stderr, log.Options{Formatter: log.LogfmtFormatter, ReportTimestamp: true, TimeFormat: "15:04:05"})
}
