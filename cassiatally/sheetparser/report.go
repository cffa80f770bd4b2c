package sheetparser

import (
	"fmt"
	"strings"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/sheet"
)

// maxProblems bounds the problems of one severity in a report.
const maxProblems = 200

// Severity says whether a problem prevents a sheet from being published.
type Severity string

// The severities.
const (
	SeverityError   Severity = "error"
	SeverityWarning Severity = "warning"
)

// Position is a position in a file. Line and column count from 1, the column in
// bytes.
type Position struct {
	Line   int `json:"line"`
	Column int `json:"column"`
}

// Problem is one error or warning about a sheet.
type Problem struct {
	File string `json:"file"`
	Position
	Severity Severity     `json:"severity"`
	Field    sheet.Column `json:"field,omitempty"`
	// Message says what is wrong, and Fix how to correct it.
	Message string `json:"wrong"`
	Fix     string `json:"right"`
}

// String returns the problem in one line.
func (p Problem) String() string {
	field := ""
	if p.Field != "" {
		field = string(p.Field) + ": "
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s%s; %s", p.File, p.Line, p.Column, p.Severity, field, p.Message, p.Fix)
}

// Report has the problems of a sheet, errors in the order in which they were
// found, with a bound on the number of each severity.
type Report struct {
	Errors   []Problem `json:"errors"`
	Warnings []Problem `json:"warnings"`
	// More counts the problems that are left out because of the bound.
	More int `json:"more"`
}

// Problems returns errors and then warnings.
func (r Report) Problems() []Problem {
	return append(append([]Problem{}, r.Errors...), r.Warnings...)
}

// Err returns an Error of KindInvalidSheet that lists all errors, or nil.
func (r Report) Err() error {
	if len(r.Errors) == 0 {
		return nil
	}
	lines := make([]string, 0, len(r.Errors))
	for _, p := range r.Errors {
		lines = append(lines, p.String())
	}
	return cassiatally.NewError(cassiatally.KindInvalidSheet, "%s", strings.Join(lines, "\n"))
}

func (r *Report) add(p Problem) {
	list := &r.Errors
	if p.Severity == SeverityWarning {
		list = &r.Warnings
	}
	if len(*list) >= maxProblems {
		r.More++
		return
	}
	*list = append(*list, p)
}
