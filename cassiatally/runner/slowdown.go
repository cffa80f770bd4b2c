package runner

import (
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	// slowdownTTL is how long a slowdown is reported after the answer that stated it. A
	// machine shares its processor with work that comes and goes within a second.
	slowdownTTL = time.Second
	// typicalSlowdownWeight is the weight of one run in the typical slowdown. It is that
	// of a run in the typical self time of the limiter, so that both follow the same runs.
	typicalSlowdownWeight = 0.1
)

// slowdowns keeps the slowdown of the machine as the backend server states it.
type slowdowns struct {
	current  cassiatally.Slowdown
	statedAt cassiatally.Instant
	// typical is the slowdown at which the typical self time was measured.
	typical cassiatally.Slowdown
	// none is set when the newest answer stated no slowdown.
	none bool
}

// state records the slowdown of an answer, and 0 for an answer without one.
func (s *slowdowns) state(now cassiatally.Instant, stated cassiatally.Slowdown) {
	s.current, s.statedAt, s.none = stated, now, stated == 0
}

// measure records that the run of the newest answer was observed by the limiter.
func (s *slowdowns) measure() {
	switch {
	case s.current == 0:
	case s.typical == 0:
		s.typical = s.current
	default:
		s.typical += typicalSlowdownWeight * (s.current - s.typical)
	}
}

func (s *slowdowns) expire(now cassiatally.Instant) {
	if now.Sub(s.statedAt) >= slowdownTTL {
		s.current = 0
	}
}

// addTo adds the slowdown to a load that is reported. Loads of backend servers that
// state none stay as they are.
func (s *slowdowns) addTo(l *cassiatally.EndpointLoad) {
	if s.current > 0 {
		l.Slowdown, l.TypicalSlowdown = s.current, s.typical
	}
}
