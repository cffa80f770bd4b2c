package admitter

import "time"

// probeShare is the fraction of the slots' time that the probes of one rank may take.
const probeShare = 0.01

// probes lets a few calls of a rank start although the estimated run time is longer
// than the time until their deadline. Otherwise the estimate would never fall for a
// rank whose calls are all dropped and whose runs have become shorter, while runs of
// other ranks take as long as before.
type probes struct {
	// creditSeconds is the time that a probe may take.
	creditSeconds float64
	// dropped is set when a call of the rank was dropped in the window.
	dropped bool
	// started is set from the first probe until a run of the rank ends.
	started bool
}

// tryStart reports whether a call with that much time remaining starts as a probe, and
// spends the credit if so.
func (p *probes) tryStart(remaining time.Duration) bool {
	p.dropped = true
	if remaining <= 0 || p.creditSeconds < remaining.Seconds() {
		return false
	}
	p.creditSeconds, p.started = 0, true
	return true
}

// closeWindow ends a window. slotSeconds is the number of slots times the length of
// the window. Credit grows only while calls are dropped, so that the first probe
// starts some windows after the first drop.
func (p *probes) closeWindow(slotSeconds float64) {
	if p.dropped {
		p.creditSeconds += probeShare * slotSeconds
	}
	p.dropped = false
}
