package loadtracker

import (
	"math"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// geometricMean is a weighted geometric mean of levels. The zero value has no levels.
type geometricMean struct {
	sum, weight     float64
	lowest, highest float64
}

// add adds a level; one without weight changes nothing.
func (m *geometricMean) add(level, weight float64) {
	if weight <= 0 {
		return
	}
	if m.weight == 0 {
		m.lowest, m.highest = level, level
	}
	m.lowest, m.highest = min(m.lowest, level), max(m.highest, level)
	m.sum += math.Log(level) * weight
	m.weight += weight
}

// level returns the mean, and 1 when there are no levels. Rounding of the logarithm and
// the exponential differs between processors and can move the mean of equal levels below
// them, so the mean is kept within the levels that it is taken over.
func (m *geometricMean) level() cassiatally.Level {
	if m.weight <= 0 {
		return 1
	}
	mean := math.Exp(m.sum / m.weight)
	return cassiatally.Level(min(max(mean, m.lowest), m.highest, 1))
}
