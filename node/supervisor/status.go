package supervisor

import (
	"fmt"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/registrar"
	"github.com/cassiatally/cassiatally/cassiatally/runner"
	"github.com/cassiatally/cassiatally/node/adminserver"
	"github.com/cassiatally/cassiatally/node/reporter"
)

// Status returns the state of the node for operators and metrics.
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
			InFlight:          s.callers.InFlight(),
			Refused:           refusedStatus(s.metrics.Refusals()),
			RefusedAtEntry:    counts.RefusedAtEntry,
			Retries:           counts.Retries,
			RetriesDenied:     counts.RetriesDenied,
			Redirects:         counts.Redirects,
			LateAnswers:       counts.LateAnswers,
			IncompleteAnswers: counts.IncompleteAnswers,
			ForeignAnswers:    counts.ForeignAnswers,
			OutcomeQueries:    counts.OutcomeQueries,
		},
		RefusedByDuty: map[string]uint64{
			"dispatcher":   s.dispatcher.Refused(),
			"executor":     s.executor.Refused(),
			"claimkeeper":  s.claims.Refused(),
			"sheetkeeper":  s.sheets.Refused(),
			"memberkeeper": s.members.Refused(),
		},
		Traffic: adminserver.TrafficStatus{
			Links:                s.links.Links(),
			RequestSentBytes:     traffic.RequestSent,
			RequestReceivedBytes: traffic.RequestReceived,
			ControlSentBytes:     traffic.ControlSent,
			ControlReceivedBytes: traffic.ControlReceived,
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
			Slots:      int(m.Endpoint.Slots),
			Limit:      int(m.Endpoint.Load.Limit),
			InFlight:   int(m.Endpoint.Load.InFlight),
			Queued:     m.Endpoint.Load.Queued,
			Sheet:      uint64(m.SheetVersion),
			Suspect:    suspects[m.Ref],
			Leaving:    m.Leaving,
		})
	}
	return out
}

func serviceStatus(v *registrar.View) []adminserver.ServiceStatus {
	levels := levelsOf(v)
	out := make([]adminserver.ServiceStatus, 0, len(v.Summaries))
	for _, s := range v.Summaries {
		out = append(out, adminserver.ServiceStatus{
			Service:    string(s.Service),
			DataCentre: string(s.DataCentre),
			Endpoints:  s.Endpoints,
			Capacity:   int(s.Capacity),
			Level:      float64(s.Level),
			Levels:     levels[serviceKey{s.Service, s.DataCentre}].mean(),
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
	counts := s.executor.Counts()
	out := adminserver.LocalStatus{
		State:       cassiatally.EndpointNone.String(),
		Sheds:       shedStatus(counts.Sheds),
		Queue:       queueStatus(counts.QueueWait),
		LateResults: counts.LateResults,
		Crashes:     counts.Crashes,
	}
	out.SuspectRequests, out.QuarantinedRequests = s.executor.Suspects()
	for i := range v.Members {
		if v.Members[i].Ref != s.self {
			continue
		}
		e := v.Members[i].Endpoint
		for _, l := range e.Levels {
			out.Levels = append(out.Levels, float64(l))
		}
		out.Service = string(e.Service)
		out.State = e.State.String()
		out.Slots = int(e.Slots)
		out.Limit = int(e.Load.Limit)
		out.InFlight = int(e.Load.InFlight)
		out.Queued = e.Load.Queued
		out.TypicalSeconds = e.Load.TypicalSelfTime.Seconds()
	}
	return out
}

func shedStatus(sheds []runner.Shed) []adminserver.ShedStatus {
	out := make([]adminserver.ShedStatus, 0, len(sheds))
	for _, s := range sheds {
		out = append(out, adminserver.ShedStatus{Rank: int(s.Rank), Kind: s.Kind.String(), Count: s.Count})
	}
	return out
}

func refusedStatus(refusals []reporter.Refusal) []adminserver.ShedStatus {
	out := make([]adminserver.ShedStatus, 0, len(refusals))
	for _, r := range refusals {
		out = append(out, adminserver.ShedStatus{Rank: int(r.Rank), Kind: r.Kind.String(), Count: r.Count})
	}
	return out
}

func queueStatus(waited [cassiatally.MaxRanks]runner.QueueWait) []adminserver.QueueStatus {
	out := []adminserver.QueueStatus{}
	for r, w := range waited {
		if w.Started > 0 {
			out = append(out, adminserver.QueueStatus{Rank: r, Started: w.Started, WaitSeconds: w.Total.Seconds()})
		}
	}
	return out
}

type serviceKey struct {
	service    cassiatally.Service
	dataCentre cassiatally.DataCentre
}

// levelSum sums admission levels by rank, weighted by the limits of the endpoints.
type levelSum struct {
	weight float64
	levels []float64
}

func levelsOf(v *registrar.View) map[serviceKey]levelSum {
	centres := make(map[cassiatally.NodeID]cassiatally.DataCentre, len(v.Members))
	for i := range v.Members {
		centres[v.Members[i].Ref.Node] = v.Members[i].DataCentre
	}
	sums := map[serviceKey]levelSum{}
	for _, l := range v.Loads {
		key := serviceKey{l.Load.Service, centres[l.Node]}
		sums[key] = sums[key].add(l.Load)
	}
	return sums
}

func (s levelSum) add(l cassiatally.ServiceLoad) levelSum {
	if s.levels == nil {
		s.levels = make([]float64, len(l.Levels))
	}
	s.weight += l.Weight
	for r := range min(len(s.levels), len(l.Levels)) {
		s.levels[r] += l.Weight * float64(l.Levels[r])
	}
	return s
}

func (s levelSum) mean() []float64 {
	if s.weight <= 0 {
		return []float64{}
	}
	out := make([]float64, len(s.levels))
	for r := range s.levels {
		out[r] = s.levels[r] / s.weight
	}
	return out
}
