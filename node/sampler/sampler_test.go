package sampler_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/node/adminserver"
	"github.com/cassiatally/cassiatally/node/sampler"
)

// fakeClock advances by a minute at each reading, so that a sample is always due.
type fakeClock struct {
	mu  sync.Mutex
	now cassiatally.Instant
}

func (c *fakeClock) Now() cassiatally.Instant {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(time.Minute)
	return c.now
}

func (c *fakeClock) Wall() time.Time { return time.Time{} }

// fakeMetrics records the values of gauges and the sums of counters.
type fakeMetrics struct{ values map[string]float64 }

func (f *fakeMetrics) Gauge(name string, v float64) { f.values[name] = v }

func (f *fakeMetrics) RankGauge(name string, r cassiatally.Rank, v float64) {
	f.values[fmt.Sprint(name, "/", r)] = v
}

func (f *fakeMetrics) Count(name string, tags map[string]string, delta int64) {
	f.values[name+tags["rank"]+tags["kind"]+tags["duty"]] += float64(delta)
}

// Guards against counters that add the whole total again with each sample, and against
// metrics that differ from the status.
func TestSampleAdvancesCountersToTotals(t *testing.T) {
	is := is.New(t)
	metrics := &fakeMetrics{values: map[string]float64{}}
	samples := 0
	third := make(chan struct{})
	s := &sampler.Sampler{
		Clock:   &fakeClock{},
		Metrics: metrics,
		Status: func() adminserver.Status {
			n := uint64(min(samples, 2))
			return adminserver.Status{
				Node:    "n1",
				Members: []adminserver.MemberStatus{{Node: "n1"}, {Node: "n2", Suspect: true}},
				Sheet:   adminserver.SheetStatus{Version: 7, FollowsLog: true, LogContactSeconds: 3},
				Local: adminserver.LocalStatus{
					State: "ready", Limit: 4, Levels: []float64{1, 0.5},
					Sheds: []adminserver.ShedStatus{{Rank: 1, Kind: "overloaded", Count: 10 * (n + 1)}},
				},
				Shards:        []adminserver.ShardStatus{{Holder: "n1", Standby: "n2"}, {Holder: "n1"}, {Holder: "n2", Standby: "n1"}},
				Requests:      adminserver.RequestStatus{Retries: 5},
				RefusedByDuty: map[string]uint64{"executor": 6},
			}
		},
		AfterSample: func() {
			samples++
			if samples == 3 {
				close(third)
			}
		},
	}
	s.Run()
	<-third
	s.Close()
	want := map[string]float64{
		"members": 2, "suspects": 1, "sheet_version": 7, "follows_log": 1, "log_contact_seconds": 3,
		"backend_ready": 1, "limit": 4, "level/0": 1, "level/1": 0.5,
		"sheds1overloaded": 30, "retries": 5, "inbox_refusedexecutor": 6,
		"shards_held": 2, "shards_standby": 1, "shards_without_standby": 1,
	}
	for name, v := range want {
		if metrics.values[name] != v {
			t.Errorf("%s is %v, want %v", name, metrics.values[name], v)
		}
	}
	is.True(samples >= 3)
}
