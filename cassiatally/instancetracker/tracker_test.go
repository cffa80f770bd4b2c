package instancetracker_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/instancetracker"
)

func report(id cassiatally.InstanceID, started int64, seq uint64, s cassiatally.EndpointState) cassiatally.InstanceReport {
	return cassiatally.InstanceReport{Instance: id, StartedMs: started, Sequence: seq, Service: "depot-svc", Address: "10.0.0.1:80", State: s}
}

const (
	ready    = cassiatally.EndpointReady
	draining = cassiatally.EndpointDraining
)

// Guards against a backend server that is used after it left or was replaced,
// because a late report is accepted as a new one.
func TestLateReports(t *testing.T) {
	cases := []struct {
		name     string
		reports  []cassiatally.InstanceReport
		want     cassiatally.InstanceID
		state    cassiatally.EndpointState
		accepted bool
	}{
		{"newer report", []cassiatally.InstanceReport{report("a", 5, 1, ready), report("a", 5, 2, draining)}, "a", draining, true},
		{"late report", []cassiatally.InstanceReport{report("a", 5, 3, draining), report("a", 5, 2, ready)}, "a", draining, false},
		{"late report of draining", []cassiatally.InstanceReport{report("a", 5, 9, ready), report("a", 5, 2, draining)}, "a", draining, true},
		{"drained instance reports ready", []cassiatally.InstanceReport{report("a", 5, 3, draining), report("a", 5, 4, ready)}, "a", draining, true},
		{"new instance", []cassiatally.InstanceReport{report("a", 5, 9, ready), report("b", 6, 1, ready)}, "b", ready, true},
		{"late report of the previous instance", []cassiatally.InstanceReport{report("a", 5, 1, ready), report("b", 6, 1, ready), report("a", 5, 2, ready)}, "b", ready, false},
		{"late report of an instance that was never current", []cassiatally.InstanceReport{report("b", 6, 1, ready), report("a", 5, 2, ready)}, "b", ready, false},
		{"same id starts again", []cassiatally.InstanceReport{report("a", 5, 9, draining), report("a", 7, 1, ready)}, "a", ready, true},
		{"late report of the previous start", []cassiatally.InstanceReport{report("a", 7, 1, ready), report("a", 5, 9, draining)}, "a", ready, false},
		{"first detected by a health check only", []cassiatally.InstanceReport{report("a", 0, 0, ready), report("a", 5, 4, ready)}, "a", ready, true},
		{"without service", []cassiatally.InstanceReport{report("a", 5, 1, ready), {Instance: "b", StartedMs: 9, Sequence: 1, Address: "x", State: ready}}, "a", ready, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			tr := &instancetracker.Tracker{}
			accepted := false
			for _, r := range c.reports {
				accepted = tr.Observe(0, r)
			}
			is.Equal(accepted, c.accepted)
			got, ok := tr.Current()
			is.True(ok)
			is.Equal(got.Instance, c.want)
			is.Equal(got.State, c.state)
		})
	}
}

// Guards against accepting late reports of an instance that has announced that it
// leaves.
func TestLateReportsAfterLeaveAreIgnored(t *testing.T) {
	is := is.New(t)
	tr := &instancetracker.Tracker{}
	is.True(tr.Observe(0, report("a", 5, 1, ready)))
	is.True(tr.RecordLeave(0, "a"))
	_, ok := tr.Current()
	is.True(!ok)
	is.True(!tr.Observe(0, report("a", 5, 2, ready)))
	is.True(tr.Observe(0, report("b", 6, 1, ready)))
	is.True(!tr.Observe(0, report("a", 5, 3, ready)))

	restarted := &instancetracker.Tracker{}
	is.True(!restarted.RecordLeave(0, "a")) // it was current at an earlier start of the node
	is.True(!restarted.Observe(0, report("a", 5, 3, ready)))
	const later = cassiatally.Instant(time.Minute)
	is.True(restarted.Observe(later, report("a", 9, 1, ready))) // it started again
}

// Guards against a report of another writer that lacks the time of the start and puts an
// instance in the place of the one that runs: the reports of that one would then count
// as late for ever.
func TestReportWithoutAStartReplacesNoInstance(t *testing.T) {
	is := is.New(t)
	tr := &instancetracker.Tracker{}
	is.True(tr.Observe(0, report("a", 5, 1, ready)))
	is.True(!tr.Observe(0, report("b", 0, 1, ready)))
	is.True(tr.Observe(0, report("a", 5, 2, ready)))
	got, ok := tr.Current()
	is.True(ok)
	is.Equal(got.Instance, cassiatally.InstanceID("a"))
	tr.RecordLeave(0, "a")
	is.True(tr.Observe(0, report("b", 0, 1, ready))) // nothing is in place
}
