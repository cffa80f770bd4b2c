package supervisor

import (
	"context"
	"fmt"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/registrar"
	"github.com/cassiatally/cassiatally/node/adminserver"
)

// drainPoll is how often Drain looks whether the work in flight has ended.
const drainPoll = 20 * time.Millisecond

// Drain tells other nodes that this one leaves, refuses new work, and waits until
// the runs in flight have ended, callers have their answers and the shards are
// handed over, or until the context ends.
func (s *Supervisor) Drain(ctx context.Context) {
	s.leaving.Store(true)
	s.members.Leave()
	s.executor.Leave()
	s.claims.Drain()
	look := time.NewTicker(drainPoll)
	defer look.Stop()
	for {
		if s.drained() {
			return
		}
		select {
		case <-look.C:
		case <-ctx.Done():
			s.Logger.Warn("drain not finished", "runs_in_flight", s.executor.Running(), "callers_waiting", s.callers.InFlight(), "shards_handed_over", s.claims.Drained())
			return
		}
	}
}

func (s *Supervisor) drained() bool {
	return s.executor.Running() == 0 && s.callers.InFlight() == 0 && s.claims.Drained()
}

// Status returns what operators see.
func (s *Supervisor) Status() adminserver.Status {
	v := s.members.View()
	counts := s.dispatcher.Counts()
	traffic := s.links.Bytes()
	return adminserver.Status{
		Node:        string(s.self.Node),
		Incarnation: fmt.Sprintf("%x", uint64(s.self.Incarnation)),
		DataCentre:  string(s.Settings.Node.DataCentre),
		Leaving:     s.leaving.Load(),
		Control:     string(s.Settings.Control),
		Sheet:       s.sheetStatus(),
		Members:     memberStatus(v),
		Services:    serviceStatus(v),
		Local:       s.localStatus(v),
		Shards:      shardStatus(s.claims.Table()),
		Requests: adminserver.RequestStatus{
			InFlight:       s.callers.InFlight(),
			RefusedAtEntry: counts.RefusedAtEntry,
			Retries:        counts.Retries,
			RetriesDenied:  counts.RetriesDenied,
			Redirects:      counts.Redirects,
			LateAnswers:    counts.LateAnswers,
			Incomplete:     counts.Incomplete,
			Queries:        counts.Queries,
		},
		Traffic: adminserver.TrafficStatus{
			Links:           s.links.Links(),
			RequestSent:     traffic.RequestSent,
			RequestReceived: traffic.RequestReceived,
			ControlSent:     traffic.ControlSent,
			ControlReceived: traffic.ControlReceived,
		},
	}
}

func (s *Supervisor) sheetStatus() adminserver.SheetStatus {
	age, follows := s.sheets.LogContact()
	out := adminserver.SheetStatus{Version: uint64(s.sheets.Version()), FollowsLog: follows, LogContactSeconds: -1}
	if age >= 0 {
		out.LogContactSeconds = age.Seconds()
	}
	return out
}

func memberStatus(v *registrar.View) []adminserver.MemberStatus {
	suspects := make(map[cassiatally.NodeRef]bool, len(v.Suspects))
	for _, ref := range v.Suspects {
		suspects[ref] = true
	}
	out := make([]adminserver.MemberStatus, 0, len(v.Members))
	for i := range v.Members {
		m := &v.Members[i]
		out = append(out, adminserver.MemberStatus{
			Node:       string(m.Ref.Node),
			DataCentre: string(m.DataCentre),
			Address:    string(m.Address),
			Service:    string(m.Endpoint.Service),
			State:      m.Endpoint.State.String(),
			Sheet:      uint64(m.Sheet),
			Suspect:    suspects[m.Ref],
			Leaving:    m.Leaving,
		})
	}
	return out
}

func serviceStatus(v *registrar.View) []adminserver.ServiceStatus {
	out := make([]adminserver.ServiceStatus, 0, len(v.Summaries))
	for _, s := range v.Summaries {
		out = append(out, adminserver.ServiceStatus{
			Service:    string(s.Service),
			DataCentre: string(s.DataCentre),
			Endpoints:  s.Endpoints,
			Capacity:   int(s.Capacity),
			Level:      float64(s.Level),
		})
	}
	return out
}

func shardStatus(table []cassiatally.Assignment) []adminserver.ShardStatus {
	out := make([]adminserver.ShardStatus, 0, len(table))
	for _, as := range table {
		out = append(out, adminserver.ShardStatus{
			Shard:        int(as.Shard.Shard),
			Epoch:        uint64(as.Epoch),
			Holder:       string(as.Holder.Node),
			Standby:      string(as.Standby.Node),
			CompleteFrom: uint64(as.CompleteFrom),
		})
	}
	return out
}

func (s *Supervisor) localStatus(v *registrar.View) adminserver.LocalStatus {
	for i := range v.Members {
		if v.Members[i].Ref != s.self {
			continue
		}
		e := v.Members[i].Endpoint
		levels := make([]float64, 0, len(e.Levels))
		for _, l := range e.Levels {
			levels = append(levels, float64(l))
		}
		return adminserver.LocalStatus{
			Service:  string(e.Service),
			State:    e.State.String(),
			Limit:    int(e.Load.Limit),
			InFlight: int(e.Load.InFlight),
			Queued:   e.Load.Queued,
			Levels:   levels,
		}
	}
	return adminserver.LocalStatus{State: cassiatally.EndpointNone.String()}
}
