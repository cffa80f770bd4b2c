// Package tabler prints rows as a table on a terminal and as plain lines, whose
// fields are separated by tabs, when the output is piped.
//
// # Usage
//
//	t := tabler.Table{Header: []string{"version", "publisher"}}
//	t.Add("7", "planning")
//	err := t.Print(env.Stdout, env.Terminal)
package tabler

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

const columnGap = 2

// Table is a list of rows with a header, which is printed on a terminal only.
type Table struct {
	Header []string
	rows   [][]string
}

// Add appends a row. Tabs and line breaks within a field become blanks, so that
// a row is always one line.
func (t *Table) Add(fields ...string) {
	row := make([]string, 0, len(fields))
	for _, f := range fields {
		row = append(row, strings.Join(strings.Fields(f), " "))
	}
	t.rows = append(t.rows, row)
}

// Print writes the table.
func (t *Table) Print(w io.Writer, terminal bool) error {
	if !terminal {
		return printLines(w, t.rows)
	}
	tw := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	header := make([]string, 0, len(t.Header))
	for _, h := range t.Header {
		header = append(header, strings.ToUpper(h))
	}
	if err := printLines(tw, append([][]string{header}, t.rows...)); err != nil {
		return err
	}
	return tw.Flush()
}

func printLines(w io.Writer, rows [][]string) error {
	for _, r := range rows {
		if _, err := fmt.Fprintln(w, strings.Join(r, "\t")); err != nil {
			return err
		}
	}
	return nil
}
