// Package scorecard prints the results of all modes beside the targets, as text
// and as CSV.
//
// # Usage
//
//	c := &scorecard.Card{Modes: modes}
//	c.Add(values)
//	err := c.Text(w)
package scorecard

import (
	"encoding/csv"
	"fmt"
	"io"
	"math"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/cassiatally/cassiatally/bench/measurer"
	"github.com/cassiatally/cassiatally/bench/observation"
	"github.com/cassiatally/cassiatally/operator/tabler"
)

const (
	notRun        = "not run"
	notApplicable = "-"
)

// Card is a table with one row for each measure and one column for each mode.
type Card struct {
	Modes []observation.ModeName

	values []measurer.Value
}

// Add adds results. When a measure has several for one mode, the last one counts.
func (c *Card) Add(values []measurer.Value) { c.values = append(c.values, values...) }

// Text writes a table. Each result is followed by "met" or "missed" when its
// measure has a target.
func (c *Card) Text(w io.Writer) error {
	t := tabler.Table{Header: append([]string{"measure", "target"}, c.modeNames()...)}
	for _, d := range measurer.Definitions() {
		row := []string{formatTitle(d), formatTarget(d)}
		for _, m := range c.Modes {
			row = append(row, c.cell(d, m))
		}
		t.Add(row...)
	}
	return t.Print(w, true)
}

// CSV writes one line for each measure and mode.
func (c *Card) CSV(w io.Writer) error {
	out := csv.NewWriter(w)
	rows := [][]string{{"measure", "title", "unit", "target", "mode", "result", "verdict"}}
	for _, d := range measurer.Definitions() {
		for _, m := range c.Modes {
			n := c.number(d.ID, m)
			rows = append(rows, []string{string(d.ID), d.Title, d.Unit, formatTarget(d), string(m), formatNumber(n), targetResult(d, n)})
		}
	}
	return errors.Wrap(out.WriteAll(rows), "writing the results")
}

func (c *Card) modeNames() []string {
	names := make([]string, 0, len(c.Modes))
	for _, m := range c.Modes {
		names = append(names, string(m))
	}
	return names
}

func (c *Card) cell(d measurer.Definition, m observation.ModeName) string {
	n := c.number(d.ID, m)
	if math.IsNaN(n) || d.Bound == measurer.NoTarget {
		return formatNumber(n)
	}
	return formatNumber(n) + " " + targetResult(d, n)
}

// number returns the last result of a measure, or NaN.
func (c *Card) number(id measurer.ID, m observation.ModeName) float64 {
	n := math.NaN()
	for _, v := range c.values {
		if v.Measure == id && v.Mode == m {
			n = v.Number
		}
	}
	return n
}

func formatTitle(d measurer.Definition) string {
	if d.Unit == "" {
		return d.Title
	}
	return fmt.Sprintf("%s [%s]", d.Title, d.Unit)
}

func formatTarget(d measurer.Definition) string {
	number := strconv.FormatFloat(d.Target, 'g', -1, 64)
	switch d.Bound {
	case measurer.AtLeast:
		return ">= " + number
	case measurer.AtMost:
		return "<= " + number
	}
	return notApplicable
}

func targetResult(d measurer.Definition, n float64) string {
	switch {
	case math.IsNaN(n):
		return notRun
	case d.Bound == measurer.NoTarget:
		return notApplicable
	case d.Met(n):
		return "met"
	}
	return "missed"
}

func formatNumber(n float64) string {
	if math.IsNaN(n) {
		return notRun
	}
	const digits = 4
	return strconv.FormatFloat(n, 'f', digits, 64)
}
