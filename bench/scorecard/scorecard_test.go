package scorecard

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/bench/measurer"
	"github.com/cassiatally/cassiatally/bench/observation"
)

// TestTargetResults guards against printing a measure that was not run as met, and
// against results in the column of another mode.
func TestTargetResults(t *testing.T) {
	c := &Card{Modes: []observation.ModeName{"off", "adaptive"}}
	c.Add([]measurer.Value{
		{Measure: measurer.Goodput3, Mode: "adaptive", Number: 0.97},
		{Measure: measurer.Goodput3, Mode: "off", Number: 0.5},
		{Measure: measurer.BackSurge, Mode: "adaptive", Number: 1},
	})
	var text, csv bytes.Buffer
	if err := c.Text(&text); err != nil {
		t.Fatal(err)
	}
	if err := c.CSV(&csv); err != nil {
		t.Fatal(err)
	}
	cases := map[string]struct{ in, want string }{
		"met in its own column":           {csv.String(), "goodput_3,\"goodput at 3 times capacity, over capacity\",,>= 0.95,adaptive,0.9700,met"},
		"missed in the other":             {csv.String(), "goodput_3,\"goodput at 3 times capacity, over capacity\",,>= 0.95,off,0.5000,missed"},
		"not run, neither met nor missed": {csv.String(), "back_surge,time back at 95% after a surge,s,<= 2,off,not run,not run"},
		"text has number and result":      {text.String(), "0.9700 met"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(c.in, c.want))
		})
	}
}
