package sheetparser

import (
	"bytes"
	"encoding/csv"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/cassiatally/cassiatally/cassiatally/sheet"
)

const (
	comma     = ','
	semicolon = ';'
)

func (p *Parser) readCSV(data []byte) []rawRow {
	p.separator = separatorOf(data)
	r := csv.NewReader(bytes.NewReader(data))
	r.Comma = p.separator
	r.FieldsPerRecord = -1
	header, ok := p.readHeader(r)
	if !ok {
		return nil
	}
	var rows []rawRow
	for {
		fields, err := r.Read()
		if errors.Is(err, io.EOF) {
			return rows
		}
		if err != nil {
			p.addCSVError(err)
			continue
		}
		if allEmpty(fields) {
			continue
		}
		if len(rows) >= sheet.MaxRows {
			p.addTooManyRows(fieldPosition(r, 0))
			return rows
		}
		rows = append(rows, p.readCSVRow(r, header, fields))
	}
}

// separatorOf counts separators outside quotes in the header line.
func separatorOf(data []byte) rune {
	commas, semicolons, quoted := 0, 0, false
	for _, b := range data {
		switch {
		case b == '"':
			quoted = !quoted
		case quoted:
		case b == comma:
			commas++
		case b == semicolon:
			semicolons++
		case b == '\n':
			return moreFrequent(commas, semicolons)
		}
	}
	return moreFrequent(commas, semicolons)
}

func moreFrequent(commas, semicolons int) rune {
	if semicolons > commas {
		return semicolon
	}
	return comma
}

func (p *Parser) readHeader(r *csv.Reader) ([]sheet.Column, bool) {
	names, err := r.Read()
	if errors.Is(err, io.EOF) {
		p.addError(Position{1, 1}, "", "the sheet is empty", "start with a header line of "+columnList())
		return nil, false
	}
	if err != nil {
		p.addCSVError(err)
		return nil, false
	}
	header := make([]sheet.Column, len(names))
	valid := true
	for i, name := range names {
		c, ok := p.findColumn(fieldPosition(r, i), strings.ToLower(strings.TrimSpace(name)))
		if ok && slices.Contains(header[:i], c) {
			p.addError(fieldPosition(r, i), c, "the column is named twice", "name each column once")
			ok = false
		}
		valid = valid && ok
		header[i] = c
	}
	return header, valid && p.requireColumns(header)
}

func (p *Parser) requireColumns(header []sheet.Column) bool {
	valid := true
	for _, c := range requiredColumns {
		if !slices.Contains(header, c) {
			p.addError(Position{1, 1}, c, "the column is missing", "add it to the header line")
			valid = false
		}
	}
	return valid
}

func (p *Parser) readCSVRow(r *csv.Reader, header []sheet.Column, fields []string) rawRow {
	row := rawRow{at: fieldPosition(r, 0), cells: make(map[sheet.Column]cell, len(header))}
	for i, text := range fields {
		if i < len(header) {
			row.cells[header[i]] = cell{strings.TrimSpace(text), fieldPosition(r, i)}
			continue
		}
		if strings.TrimSpace(text) != "" {
			p.addError(fieldPosition(r, i), "", fmt.Sprintf("the row has more fields than the header's %d", len(header)), "quote fields that contain the separator")
			break
		}
	}
	return row
}

func (p *Parser) addCSVError(err error) {
	at, message := Position{1, 1}, err.Error()
	var parse *csv.ParseError
	if errors.As(err, &parse) {
		at, message = Position{parse.Line, parse.Column}, parse.Err.Error()
	}
	p.addError(at, "", "malformed CSV: "+message, `enclose the field in double quotes and write a quote in it as ""`)
}

func (p *Parser) addTooManyRows(at Position) {
	p.addError(at, "", fmt.Sprintf("the sheet has more than %d rows", sheet.MaxRows), "remove rows from here on")
}

func fieldPosition(r *csv.Reader, field int) Position {
	line, column := r.FieldPos(field)
	return Position{line, column}
}

func allEmpty(fields []string) bool {
	for _, f := range fields {
		if strings.TrimSpace(f) != "" {
			return false
		}
	}
	return true
}
