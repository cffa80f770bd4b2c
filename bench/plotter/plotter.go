// Package plotter draws goodput over time for all modes of a scenario.
//
// # Usage
//
//	err := plotter.Plotter{}.Draw("out/barrier-surge.svg", observations)
package plotter

import (
	"time"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/cassiatally/cassiatally/bench/observation"
)

const (
	// window is the time over which each point of a line is averaged.
	window = 500 * time.Millisecond
	width  = 8 * vg.Inch
	height = 4 * vg.Inch
)

// Plotter draws observations.
type Plotter struct{}

// Draw writes one plot with a line for each observation, in the format that the
// extension of the file name stands for. All observations must be of one scenario.
func (Plotter) Draw(file string, observations []observation.Observation) error {
	p := plot.New()
	p.Title.Text = "Scenario " + string(observations[0].Scenario.Name)
	p.X.Label.Text = "time [s]"
	p.Y.Label.Text = "whole answers in time, over capacity"
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for i, o := range observations {
		line, err := plotter.NewLine(goodputPoints(o))
		if err != nil {
			return errors.Wrap(err, "drawing a line")
		}
		line.Color = plotutil.Color(i) //nolint:misspell // names of the library
		line.Dashes = plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(string(o.Mode), line)
	}
	return errors.Wrap(p.Save(width, height, file), "writing a plot")
}

// goodputPoints returns the goodput of each window.
func goodputPoints(o observation.Observation) plotter.XYs {
	var length time.Duration
	for _, p := range o.Scenario.Phases {
		length += p.Duration
	}
	counts := make([]int, length/window)
	for _, r := range o.Requests {
		i := int(r.At.Sub(o.Start) / window)
		if r.InTime && i >= 0 && i < len(counts) {
			counts[i]++
		}
	}
	xys := make(plotter.XYs, len(counts))
	for i, n := range counts {
		xys[i].X = (time.Duration(i) * window).Seconds()
		xys[i].Y = float64(n) / window.Seconds() / float64(o.Scenario.Capacity)
	}
	return xys
}
