// Package sheetparser reads a sheet from CSV, as spreadsheets write it, or from
// YAML. It reports every problem with file, line, column, what is wrong and how to
// correct it. A sheet with errors is not used; one with warnings is.
//
// # Usage
//
//	var p sheetparser.Parser
//	s, report := p.Parse("sheet.csv", data)
//	if err := report.Err(); err != nil {
//		return err
//	}
//
// A CSV sheet starts with a header line. The separator, comma or semicolon, is
// taken from the header. A YAML sheet has the key rows with a list of rows. Both
// use the columns of package sheet. The columns data_centre, zone, days, from,
// to and share may be left out; their defaults are *, UTC, every day, always and 0.
//
// The share belongs to the rank: all rows of one rank state the same share, and
// the shares of all ranks but the most urgent add up to at most 1.
package sheetparser

import (
	"bytes"
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally/sheet"
)

// Parser reads sheets. The zero value is ready to use. A Parser is not safe for
// concurrent use.
type Parser struct {
	file      string
	report    Report
	zones     map[sheet.Zone]*time.Location
	separator rune
}

// cell is the text of a field and its position in the file.
type cell struct {
	text string
	at   Position
}

// rawRow is the unparsed text of a row. Columns that are absent have no cell.
type rawRow struct {
	at    Position
	cells map[sheet.Column]cell
	// invalid is set when an error was reported for the row as a whole.
	invalid bool
}

// parsedRow is a row of the sheet and the text from which it was parsed.
type parsedRow struct {
	sheet.Row
	raw rawRow
}

// Parse reads a sheet. The extension of the file name selects the format: .yaml
// and .yml are YAML, all others CSV. The sheet is empty when the report has errors.
func (p *Parser) Parse(file string, data []byte) (sheet.Sheet, Report) {
	*p = Parser{file: file, zones: map[sheet.Zone]*time.Location{}}
	if len(data) > sheet.MaxBytes {
		p.addError(Position{1, 1}, "", fmt.Sprintf("the file has %d bytes", len(data)), fmt.Sprintf("at most %d bytes are allowed", sheet.MaxBytes))
		return sheet.Sheet{}, p.report
	}
	data = bytes.TrimPrefix(data, []byte("\ufeff"))
	rows := p.convertRows(p.readRows(file, data))
	p.checkRows(rows)
	return p.buildSheet(rows), p.report
}

func (p *Parser) readRows(file string, data []byte) []rawRow {
	switch strings.ToLower(filepath.Ext(file)) {
	case ".yaml", ".yml":
		return p.readYAML(data)
	default:
		return p.readCSV(data)
	}
}

// buildSheet returns the sheet. Its canonical form can exceed sheet.MaxBytes even
// when the text that was read does not.
func (p *Parser) buildSheet(rows []parsedRow) sheet.Sheet {
	if len(p.report.Errors) > 0 {
		return sheet.Sheet{}
	}
	s := sheet.Sheet{Rows: make([]sheet.Row, 0, len(rows))}
	for _, r := range rows {
		s.Rows = append(s.Rows, r.Row)
	}
	if n := len(s.CSV()); n > sheet.MaxBytes {
		p.addError(Position{1, 1}, "", fmt.Sprintf("the sheet has %d bytes in its canonical form", n), fmt.Sprintf("at most %d bytes are allowed", sheet.MaxBytes))
		return sheet.Sheet{}
	}
	return s
}

func (p *Parser) addError(at Position, c sheet.Column, message, fix string) {
	p.report.add(Problem{File: p.file, Position: at, Severity: SeverityError, Field: c, Message: message, Fix: fix})
}

func (p *Parser) addWarning(at Position, c sheet.Column, message, fix string) {
	p.report.add(Problem{File: p.file, Position: at, Severity: SeverityWarning, Field: c, Message: message, Fix: fix})
}

// findColumn returns the column of a name and reports an error when there is none.
func (p *Parser) findColumn(at Position, name string) (sheet.Column, bool) {
	for _, c := range sheet.Columns() {
		if string(c) == name {
			return c, true
		}
	}
	p.addError(at, "", fmt.Sprintf("unknown column %q", name), "use "+columnList())
	return "", false
}

func columnList() string {
	names := make([]string, 0, len(sheet.Columns()))
	for _, c := range sheet.Columns() {
		names = append(names, string(c))
	}
	return strings.Join(names, ", ")
}
