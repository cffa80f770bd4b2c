package limiter_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const window = 100 * time.Millisecond

// server simulates a backend server that runs at most realSlots requests concurrently
// and queues the others internally, which shows only in their self time.
type server struct {
	limiter   cassiatally.Limiter
	slots     cassiatally.Concurrency
	realSlots int
	// service returns the time a request takes without queueing.
	service func(rng *rand.Rand, at cassiatally.Instant) time.Duration
	// demand returns the number of calls that callers keep in flight if the limit
	// allows it; nil means unlimited.
	demand func(at cassiatally.Instant) int
	// failing returns the fraction of requests that fail at an instant.
	failing func(at cassiatally.Instant) float64
	timeout time.Duration
	// since is the virtual time at which run begins.
	since time.Duration

	rng      *rand.Rand
	running  jobHeap
	backlog  []job
	inFlight int
	// history has one entry per 100 ms.
	history []reading
}

type reading struct {
	completed, failed int
	limit             cassiatally.Concurrency
	// self is the mean time of the requests that ended in the window.
	self time.Duration
}

type job struct {
	arrived, end cassiatally.Instant
	inFlight     cassiatally.Concurrency
}

type jobHeap []job

func (e jobHeap) Len() int           { return len(e) }
func (e jobHeap) Less(i, j int) bool { return e[i].end < e[j].end }
func (e jobHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *jobHeap) Push(x any)        { *e = append(*e, x.(job)) }
func (e *jobHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (s *server) run(seed uint64, d time.Duration) {
	s.rng = rand.New(rand.NewPCG(seed, seed))
	var r reading
	var sum time.Duration
	edge := cassiatally.Instant(s.since + window)
	for now := cassiatally.Instant(s.since); now.Before(cassiatally.Instant(d)); {
		s.fill(now)
		next := edge
		if len(s.running) > 0 && s.running[0].end < edge {
			next = s.running[0].end
		}
		now = next
		if now == edge {
			r.limit = s.limiter.Limit()
			if n := r.completed + r.failed; n > 0 {
				r.self = sum / time.Duration(n)
			}
			s.history = append(s.history, r)
			// Backend servers repeat their announcements.
			s.limiter.Resize(now, s.slots)
			r, sum = reading{}, 0
			edge = edge.Add(window)
			continue
		}
		j := heap.Pop(&s.running).(job)
		self := now.Sub(j.arrived)
		failed := s.failing != nil && s.rng.Float64() < s.failing(now)
		failed = failed || (s.timeout > 0 && self > s.timeout)
		if failed {
			r.failed++
		} else {
			r.completed++
		}
		sum += self
		s.inFlight--
		s.limiter.Observe(now, cassiatally.RunSample{SelfTime: self, InFlight: j.inFlight, Failed: failed})
		if len(s.backlog) > 0 {
			s.begin(now, s.backlog[0])
			s.backlog = s.backlog[1:]
		}
	}
}

func (s *server) fill(now cassiatally.Instant) {
	limit := int(s.limiter.Limit())
	if s.demand != nil {
		limit = min(limit, s.demand(now))
	}
	for s.inFlight < min(limit, 5000) {
		s.inFlight++
		j := job{arrived: now, inFlight: cassiatally.Concurrency(s.inFlight)}
		if len(s.running) < s.realSlots {
			s.begin(now, j)
		} else {
			s.backlog = append(s.backlog, j)
		}
	}
}

func (s *server) begin(now cassiatally.Instant, j job) {
	j.end = now.Add(s.service(s.rng, now))
	heap.Push(&s.running, j)
}

// between returns the completed requests and the limits from one time to another.
func (s *server) between(from, to time.Duration) (completed int, limits []cassiatally.Concurrency) {
	for _, r := range s.history[from/window : to/window] {
		completed += r.completed
		limits = append(limits, r.limit)
	}
	return completed, limits
}
