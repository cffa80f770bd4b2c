// Package sampler provides the duty that exports the status of a node as metrics once a
// second.
//
// # Usage
//
//	s := &sampler.Sampler{Clock: clock, Status: node.Status, Metrics: metrics, AfterSample: logs.Flush}
//	s.Run()
//	defer s.Close()
package sampler

import (
	"fmt"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/looper"
	"github.com/cassiatally/cassiatally/cassiatally/ring"
	"github.com/cassiatally/cassiatally/node/adminserver"
)

const sampleInterval = time.Second

// Sampler is the duty. Its fields are set before Run.
type Sampler struct {
	Clock   cassiatally.Clock
	Status  func() adminserver.Status
	Metrics cassiatally.Metrics
	// AfterSample is called after each sample; it must not block.
	AfterSample func()

	duty looper.Looper[struct{}]
	// totals has the last total of each counter, by name and tags.
	totals map[string]uint64
}

// Run starts the duty.
func (s *Sampler) Run() {
	s.totals = make(map[string]uint64)
	s.duty = looper.Looper[struct{}]{
		Clock:    s.Clock,
		Inbox:    ring.New[struct{}](1, ring.RefuseNewest),
		Handle:   func(cassiatally.Instant, struct{}) {},
		Tick:     s.tick,
		Interval: sampleInterval,
	}
	s.duty.Run()
}

// Close stops the duty and waits for it.
func (s *Sampler) Close() { s.duty.Close() }

func (s *Sampler) tick(cassiatally.Instant) {
	st := s.Status()
	s.sampleFleet(&st)
	s.sampleLocal(&st.Local)
	s.sampleShards(&st)
	s.sampleRequests(&st.Requests)
	s.sampleTraffic(&st.Traffic)
	for duty, n := range st.RefusedByDuty {
		s.advanceCounter("inbox_refused", n, map[string]string{"duty": duty})
	}
	s.AfterSample()
}

func (s *Sampler) sampleFleet(st *adminserver.Status) {
	suspects := 0
	for i := range st.Members {
		if st.Members[i].Suspect {
			suspects++
		}
	}
	s.Metrics.Gauge("members", float64(len(st.Members)))
	s.Metrics.Gauge("suspects", float64(suspects))
	s.Metrics.Gauge("sheet_version", float64(st.Sheet.Version))
	s.Metrics.Gauge("follows_log", boolGauge(st.Sheet.FollowsLog))
	s.Metrics.Gauge("log_contact_seconds", st.Sheet.LogContactSeconds)
	s.Metrics.Gauge("leaving", boolGauge(st.Leaving))
}

func (s *Sampler) sampleLocal(l *adminserver.LocalStatus) {
	s.Metrics.Gauge("backend_ready", boolGauge(l.State == cassiatally.EndpointReady.String()))
	s.Metrics.Gauge("slots", float64(l.Slots))
	s.Metrics.Gauge("limit", float64(l.Limit))
	s.Metrics.Gauge("runs_in_flight", float64(l.InFlight))
	s.Metrics.Gauge("queued", float64(l.Queued))
	s.Metrics.Gauge("typical_seconds", l.TypicalSeconds)
	s.Metrics.Gauge("suspect_requests", float64(l.SuspectRequests))
	s.Metrics.Gauge("quarantined_requests", float64(l.QuarantinedRequests))
	for r, level := range l.Levels {
		s.Metrics.RankGauge("level", cassiatally.Rank(r), level)
	}
	for _, v := range l.Sheds {
		s.advanceCounter("sheds", v.Count, map[string]string{"rank": fmt.Sprint(v.Rank), "kind": v.Kind})
	}
	s.advanceCounter("late_results", l.LateResults, nil)
	s.advanceCounter("backend_crashes", l.Crashes, nil)
}

func (s *Sampler) sampleShards(st *adminserver.Status) {
	held, standby, withoutStandby := 0, 0, 0
	for _, v := range st.Shards {
		switch {
		case v.Holder == st.Node && v.Standby == "":
			held++
			withoutStandby++
		case v.Holder == st.Node:
			held++
		case v.Standby == st.Node:
			standby++
		}
	}
	s.Metrics.Gauge("shards_held", float64(held))
	s.Metrics.Gauge("shards_standby", float64(standby))
	s.Metrics.Gauge("shards_without_standby", float64(withoutStandby))
}

func (s *Sampler) sampleRequests(r *adminserver.RequestStatus) {
	s.Metrics.Gauge("callers_waiting", float64(r.InFlight))
	s.advanceCounter("refused_at_entry", r.RefusedAtEntry, nil)
	s.advanceCounter("retries", r.Retries, nil)
	s.advanceCounter("retries_denied", r.RetriesDenied, nil)
	s.advanceCounter("redirects", r.Redirects, nil)
	s.advanceCounter("late_answers", r.LateAnswers, nil)
	s.advanceCounter("incomplete_answers", r.IncompleteAnswers, nil)
	s.advanceCounter("foreign_answers", r.ForeignAnswers, nil)
	s.advanceCounter("outcome_queries", r.OutcomeQueries, nil)
}

func (s *Sampler) sampleTraffic(t *adminserver.TrafficStatus) {
	s.Metrics.Gauge("links", float64(t.Links))
	s.advanceCounter("request_sent_bytes", t.RequestSentBytes, nil)
	s.advanceCounter("request_received_bytes", t.RequestReceivedBytes, nil)
	s.advanceCounter("control_sent_bytes", t.ControlSentBytes, nil)
	s.advanceCounter("control_received_bytes", t.ControlReceivedBytes, nil)
}

// advanceCounter advances a counter to a total, which never decreases.
func (s *Sampler) advanceCounter(name string, value uint64, tags map[string]string) {
	key := fmt.Sprint(name, tags)
	s.Metrics.Count(name, tags, int64(value-s.totals[key]))
	s.totals[key] = value
}

func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
