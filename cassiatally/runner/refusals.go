package runner

import "github.com/cassiatally/cassiatally/cassiatally"

func (r *Runner) refuseDropped(actions []cassiatally.Action, dropped []cassiatally.Dropped) []cassiatally.Action {
	for _, d := range dropped {
		rec, ok := r.records[d.ID]
		if !ok || rec.phase != phaseQueued {
			continue
		}
		r.removeRecord(rec)
		r.countShed(rec.call.Rank, d.Kind)
		actions = r.refuse(actions, rec.from, rec.call, d.Kind, "refused before the backend server")
	}
	return actions
}

func (r *Runner) refuse(actions []cassiatally.Action, to cassiatally.NodeID, c cassiatally.Call, kind cassiatally.ErrorKind, detail string) []cassiatally.Action {
	a := notRun(c.ID, kind, detail)
	a.Request = c.Tag()
	a.Endpoint = r.load()
	a.Loads = r.ownLoads()
	a.Notice = r.stated()
	return append(actions, cassiatally.Send{To: to, Message: a})
}

func (r *Runner) refuseQueued(now cassiatally.Instant, actions []cassiatally.Action) []cassiatally.Action {
	for id, rec := range r.records {
		if rec.phase != phaseQueued {
			continue
		}
		r.admitter.Remove(id)
		r.countShed(rec.call.Rank, cassiatally.KindDraining)
		actions = r.finishCall(actions, now, rec, notRun(id, cassiatally.KindDraining, "the backend server takes no new work"))
	}
	return actions
}

func (r *Runner) ownLoads() []cassiatally.ServiceLoad {
	if r.endpoint.Service == "" {
		return nil
	}
	return []cassiatally.ServiceLoad{{
		Service: r.endpoint.Service,
		Weight:  float64(r.concurrency()),
		Levels:  trimFullLevels(r.admitter.Levels()),
	}}
}

// trimFullLevels omits the trailing levels of 1, which are the most common, to keep
// answers short. Omitted ranks have level 1.
func trimFullLevels(levels []cassiatally.Level) []cassiatally.Level {
	for len(levels) > 0 && levels[len(levels)-1] >= 1 {
		levels = levels[:len(levels)-1]
	}
	return levels
}

// finishCall answers a call and keeps the answer if the sender may query it.
func (r *Runner) finishCall(actions []cassiatally.Action, now cassiatally.Instant, rec *record, a cassiatally.Answer) []cassiatally.Action {
	r.setAnswer(now, rec, a)
	r.remember(rec)
	return append(actions, cassiatally.Send{To: rec.from, Message: rec.answer})
}

// setAnswer marks the call as finished and sets its answer.
func (r *Runner) setAnswer(now cassiatally.Instant, rec *record, a cassiatally.Answer) {
	a.ID = rec.call.ID
	a.Request = rec.call.Tag()
	a.Endpoint = r.load()
	a.Loads = mergeLoads(r.ownLoads(), rec.children.loads)
	a.Notice = r.stated()
	a.RetriesSpent = rec.children.retriesSpent
	rec.phase = phaseFinished
	if rec.cutOff {
		r.recordCutOff(now, rec)
	}
	if r.runsByName[rec.call.Name] == rec.call.ID {
		delete(r.runsByName, rec.call.Name)
	}
	rec.answer = a
	rec.call.Body = nil
	rec.children.calls, rec.children.attempts = nil, nil
}

func notRun(id cassiatally.CallID, kind cassiatally.ErrorKind, detail string) cassiatally.Answer {
	return cassiatally.Answer{ID: id, Outcome: cassiatally.OutcomeNotRun, Kind: kind, Detail: detail}
}
