// Package sheetdiffer compares two sheets row by row.
//
// # Usage
//
//	var d sheetdiffer.Differ
//	changes := d.Diff(before, after)
//	text := d.Text(changes)
//
// Rows are matched by kind of work, data centre and time window. A row whose
// window changed is reported as a removed row and an added row. The order of rows
// is not compared; it matters only where windows overlap, and the parser warns of
// that.
package sheetdiffer

import (
	"fmt"
	"strings"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/sheet"
)

// Operation is the way in which a row changed.
type Operation string

// The operations.
const (
	Added   Operation = "added"
	Removed Operation = "removed"
	Changed Operation = "changed"
)

// FieldChange is the change of one column of a row.
type FieldChange struct {
	Column sheet.Column `json:"column"`
	Before string       `json:"before"`
	After  string       `json:"after"`
}

// Change is the change of one row. Row is the row after the change, or the
// removed row.
type Change struct {
	Operation Operation
	Row       sheet.Row
	Fields    []FieldChange
}

// Differ compares sheets. It has no state.
type Differ struct{}

// rowKey identifies a row in both sheets. The occurrence, from 1, distinguishes
// rows of a sheet with the same kind, data centre and window.
type rowKey struct {
	kind       sheet.KindRef
	dataCentre cassiatally.DataCentre
	window     sheet.Window
	occurrence int
}

// Diff returns the changes from before to after: added and changed rows in the
// order of after, then removed rows in the order of before.
func (Differ) Diff(before, after sheet.Sheet) []Change {
	unmatched := map[rowKey]sheet.Row{}
	beforeKeys, afterKeys := keysOf(before), keysOf(after)
	for i, k := range beforeKeys {
		unmatched[k] = before.Rows[i]
	}
	var changes []Change
	for i, k := range afterKeys {
		row := after.Rows[i]
		previous, ok := unmatched[k]
		delete(unmatched, k)
		if !ok {
			changes = append(changes, Change{Operation: Added, Row: row})
		} else if fields := fieldChanges(previous, row); len(fields) > 0 {
			changes = append(changes, Change{Operation: Changed, Row: row, Fields: fields})
		}
	}
	for _, k := range beforeKeys {
		if row, removed := unmatched[k]; removed {
			changes = append(changes, Change{Operation: Removed, Row: row})
		}
	}
	return changes
}

func keysOf(s sheet.Sheet) []rowKey {
	counts := map[rowKey]int{}
	keys := make([]rowKey, 0, len(s.Rows))
	for _, r := range s.Rows {
		k := rowKey{kind: r.Kind, dataCentre: r.DataCentre, window: r.Window}
		counts[k]++
		k.occurrence = counts[k]
		keys = append(keys, k)
	}
	return keys
}

func fieldChanges(before, after sheet.Row) []FieldChange {
	var changes []FieldChange
	for _, c := range sheet.Columns() {
		if b, a := before.Field(c), after.Field(c); b != a {
			changes = append(changes, FieldChange{Column: c, Before: b, After: a})
		}
	}
	return changes
}

// Text returns one line for each change.
func (Differ) Text(changes []Change) string {
	var b strings.Builder
	for _, c := range changes {
		b.WriteString(c.String())
		b.WriteByte('\n')
	}
	return b.String()
}

// String returns the change in one line, led by +, - or ~.
func (c Change) String() string {
	switch c.Operation {
	case Added:
		return "+ " + formatKey(c.Row) + ": " + formatValues(c.Row)
	case Removed:
		return "- " + formatKey(c.Row) + ": " + formatValues(c.Row)
	default:
		parts := make([]string, 0, len(c.Fields))
		for _, f := range c.Fields {
			parts = append(parts, fmt.Sprintf("%s %s -> %s", f.Column, f.Before, f.After))
		}
		return "~ " + formatKey(c.Row) + ": " + strings.Join(parts, ", ")
	}
}

func formatKey(r sheet.Row) string {
	window := "always"
	if !r.Window.AllDay() || r.Window.Days != sheet.EveryDay {
		window = r.Window.Days.String()
		if !r.Window.AllDay() {
			window += fmt.Sprintf(" %s-%s", r.Window.From, r.Window.To)
		}
	}
	if r.Window.Zone != "" {
		window += " " + string(r.Window.Zone)
	}
	return fmt.Sprintf("%s at %s, %s", r.Kind, r.DataCentre, window)
}

func formatValues(r sheet.Row) string {
	columns := []sheet.Column{sheet.ColumnRank, sheet.ColumnShare, sheet.ColumnTarget, sheet.ColumnIdempotent}
	parts := make([]string, 0, len(columns))
	for _, c := range columns {
		parts = append(parts, string(c)+" "+r.Field(c))
	}
	return strings.Join(parts, ", ")
}

// ChangeRow is a change as it is encoded in JSON.
type ChangeRow struct {
	Operation Operation               `json:"operation"`
	Row       map[sheet.Column]string `json:"row"`
	Fields    []FieldChange           `json:"fields,omitempty"`
}

// ChangeRows converts the changes for JSON. The result is never nil, so that it is
// encoded as an empty array when there are no changes.
func ChangeRows(changes []Change) []ChangeRow {
	rows := make([]ChangeRow, 0, len(changes))
	for _, c := range changes {
		row := ChangeRow{Operation: c.Operation, Row: map[sheet.Column]string{}, Fields: c.Fields}
		for _, column := range sheet.Columns() {
			row.Row[column] = c.Row.Field(column)
		}
		rows = append(rows, row)
	}
	return rows
}
