package admitter

import "time"

// probeShare is the part of the slots' time that calls of one rank may take whose
// deadline seems out of reach.
const probeShare = 0.01

// probes lets a call start now and then although its deadline seems out of reach.
// Otherwise a rank whose calls are all dropped, while runs of other ranks take as
// long as before, would never learn that its own runs have become shorter.
type probes struct {
	// credit is the time that a probe may take, in seconds.
	credit float64
	// dropped is set when a call of the rank was dropped in the window.
	dropped bool
	// taken is set from the first probe until a run of the rank ends.
	taken bool
}

// take reports whether a call with that much time left starts as a probe.
func (p *probes) take(left time.Duration) bool {
	p.dropped = true
	if left <= 0 || p.credit < left.Seconds() {
		return false
	}
	p.credit, p.taken = 0, true
	return true
}

// close ends a window in which the slots had that much time, in seconds. Credit
// grows only while calls are dropped, so that no probe starts before the estimate
// has had time to prove wrong.
func (p *probes) close(slots float64) {
	if p.dropped {
		p.credit += probeShare * slots
	}
	p.dropped = false
}
