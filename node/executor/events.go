package executor

import (
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/runner"
)

type event interface {
	apply(x *Executor, now cassiatally.Instant)
}

type (
	callEvent struct {
		from cassiatally.NodeID
		call cassiatally.Call
	}
	cancelEvent struct{ cancel cassiatally.Cancel }
	queryEvent  struct {
		from  cassiatally.NodeID
		query cassiatally.RunQuery
	}
	resultEvent struct {
		id   cassiatally.CallID
		name cassiatally.RequestName
		res  cassiatally.RunResult
		took time.Duration
	}
	announceEvent struct{ a cassiatally.Announcement }
	withdrawEvent struct{}
	leaveEvent    struct{}
	stopEvent     struct{}
	sharesEvent   struct {
		shares [cassiatally.MaxRanks]cassiatally.Share
	}
	mergeCrashReportsEvent struct{ reports []cassiatally.CrashReport }
	crashReportsEvent      struct {
		from   cassiatally.NodeID
		gossip cassiatally.Gossip
	}
	peersEvent struct {
		peers map[cassiatally.Service][]cassiatally.NodeID
	}
	childEvent struct {
		call  runner.ChildCall
		reply func(cassiatally.Answer)
	}
	abandonEvent     struct{ waiter cassiatally.CallID }
	childAnswerEvent struct {
		id     cassiatally.CallID
		answer cassiatally.Answer
	}
)

func (e callEvent) apply(x *Executor, now cassiatally.Instant) {
	if x.UnsentAnswerBytes != nil {
		x.Runner.SetUnsentAnswerBytes(x.UnsentAnswerBytes())
	}
	actions := x.Runner.HandleCall(now, e.from, e.call)
	x.reportNotice(now, string(e.from), e.call.Name)
	x.logRefusal(e, actions)
	x.carryOut(now, actions)
}

// logRefusal logs the calls that are refused when a call arrives: that call itself,
// or a queued one that is dropped in its favour.
func (x *Executor) logRefusal(e callEvent, actions []cassiatally.Action) {
	for _, action := range actions {
		s, ok := action.(cassiatally.Send)
		if !ok {
			continue
		}
		a, ok := s.Message.(cassiatally.Answer)
		if !ok || a.Kind == cassiatally.KindNone {
			continue
		}
		if a.ID != e.call.ID {
			x.Logger.Info("queued call refused for another", "call", a.ID, "kind", a.Kind, "for", e.call.Name)
			continue
		}
		x.Logger.Info("call refused", "request", e.call.Name, "call", a.ID, "from", e.from, "work", e.call.Work, "rank", e.call.Rank,
			"kind", a.Kind, "detail", a.Detail, "left", e.call.Remaining, "queued", a.Endpoint.Queued, "running", a.Endpoint.InFlight, "limit", a.Endpoint.Limit)
	}
}

func (e cancelEvent) apply(x *Executor, now cassiatally.Instant) {
	switch {
	case e.cancel.Keep:
		x.Runner.HandleKeep(e.cancel.ID)
	case e.cancel.QueuedOnly:
		x.carryOut(now, x.Runner.HandleRecall(now, e.cancel.ID))
	default:
		x.carryOut(now, x.Runner.HandleCancel(now, e.cancel.ID))
	}
}

func (e queryEvent) apply(x *Executor, now cassiatally.Instant) {
	x.carryOut(now, x.Runner.HandleRunQuery(now, e.from, e.query))
}

func (e resultEvent) apply(x *Executor, now cassiatally.Instant) {
	if cancel, ok := x.cancels[e.id]; ok {
		cancel()
		delete(x.cancels, e.id)
	}
	x.logResult(e)
	x.carryOut(now, x.Runner.Finished(now, e.id, e.res))
	x.reportNotice(now, "answer", e.name)
	if e.res.Kind == cassiatally.ResultBroken {
		x.reportEndpoint(now) // the lost endpoint and the crash reports go to all members immediately
	}
}

// logResult logs a run that did not succeed.
func (x *Executor) logResult(e resultEvent) {
	failed := e.res.Kind != cassiatally.ResultAnswered || e.res.Status >= firstServerError
	if !failed {
		return
	}
	x.Logger.Info("run failed", "request", e.name, "call", e.id, "result", e.res.Kind, "status", e.res.Status, "took", e.took, "detail", e.res.Detail)
}

func (e announceEvent) apply(x *Executor, now cassiatally.Instant) {
	x.target.Store(&cassiatally.BackendTarget{
		Address: e.a.Address, Instance: e.a.Instance, Connections: e.a.Endpoint.Connections,
	})
	x.addWorkers(int(e.a.Endpoint.Slots))
	x.Runner.SetInstance(now, e.a.Instance, e.a.StartedMs)
	if e.a.Occupancy > 0 {
		x.Logger.Info("backend server has requests of an earlier node", "instance", e.a.Instance, "requests", e.a.Occupancy)
		x.Runner.AdoptOccupancy(now, e.a.Occupancy, e.a.Endpoint.Slots)
	}
	x.carryOut(now, x.Runner.Announce(now, e.a.Endpoint, x.AnnounceTTL))
	x.reportEndpoint(now)
}

func (e withdrawEvent) apply(x *Executor, now cassiatally.Instant) {
	x.carryOut(now, x.Runner.Withdraw(now))
	x.reportEndpoint(now)
}

func (e leaveEvent) apply(x *Executor, now cassiatally.Instant) {
	x.carryOut(now, x.Runner.Leave(now))
	x.leaving.Store(true) // after carryOut, which updates the count that Drained reads
	x.reportEndpoint(now)
}

func (stopEvent) apply(x *Executor, now cassiatally.Instant) { x.carryOut(now, x.Runner.Stop(now)) }

func (e sharesEvent) apply(x *Executor, _ cassiatally.Instant) { x.Runner.SetShares(e.shares) }

func (e mergeCrashReportsEvent) apply(x *Executor, now cassiatally.Instant) {
	x.Quarantine.Merge(now, e.reports)
}

func (e crashReportsEvent) apply(x *Executor, now cassiatally.Instant) {
	if e.gossip.CrashAck != 0 {
		x.carryOut(now, x.Runner.HandleCrashAck(now, e.from, e.gossip.CrashAck))
		return
	}
	x.carryOut(now, x.Runner.HandleCrashReports(now, e.from, e.gossip))
}

func (e peersEvent) apply(x *Executor, now cassiatally.Instant) {
	x.carryOut(now, x.Runner.SetPeers(now, e.peers))
}

func (e childEvent) apply(x *Executor, now cassiatally.Instant) {
	x.replies[e.call.Waiter] = e.reply
	x.carryOut(now, x.Runner.BeginChild(now, e.call))
}

func (e abandonEvent) apply(x *Executor, now cassiatally.Instant) {
	delete(x.replies, e.waiter)
	x.carryOut(now, x.Runner.AbandonChild(now, e.waiter))
}

func (e childAnswerEvent) apply(x *Executor, now cassiatally.Instant) {
	x.carryOut(now, x.Runner.ChildAnswered(now, e.id, e.answer))
}
