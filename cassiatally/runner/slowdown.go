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
	// ever is set once a slowdown was stated, and none when the newest load had none.
	ever, none bool
}

// state records the slowdown of an answer, which is 0 for a load without one. It returns
// false for an answer that says nothing: one without any load, as endpoints in trouble send,
// when earlier ones stated a slowdown.
func (s *slowdowns) state(now cassiatally.Instant, n cassiatally.Notice) bool {
	if n.Slowdown == 0 && !n.OccupancyKnown && s.ever {
		return false
	}
	s.current, s.statedAt, s.none = n.Slowdown, now, n.Slowdown == 0
	s.ever = s.ever || n.Slowdown > 0
	return true
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
