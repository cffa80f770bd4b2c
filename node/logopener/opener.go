// Package logopener opens the logger of a node, which writes one line of key=value pairs
// for each event.
//
// # Usage
//
//	logger := logopener.Opener{Node: id, Level: log.InfoLevel}.Open(os.Stdout)
package logopener

import (
	"io"

	"github.com/charmbracelet/log"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Opener has the settings of a node's logger: the node that each line names, and the
// lowest level that is written.
type Opener struct {
	Node  cassiatally.NodeID
	Level log.Level
}

// Open returns a logger that writes to w.
func (o Opener) Open(w io.Writer) *log.Logger {
	return log.NewWithOptions(w, log.Options{
		ReportTimestamp: true,
		TimeFormat:      timeFormat,
		Formatter:       log.LogfmtFormatter,
		Level:           o.Level,
	}).With("node", o.Node)
}
