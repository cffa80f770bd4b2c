package executor

import (
	"context"

	"github.com/cassiatally/cassiatally/cassiatally"
)

type job struct {
	ctx  context.Context
	call cassiatally.Call
}

// addWorkers starts workers until there is one for each announced slot, or MaxWorkers.
func (x *Executor) addWorkers(slots int) {
	for x.workerCount < min(slots, MaxWorkers) {
		x.workerCount++
		x.workers.Go(x.runWorker)
	}
}

func (x *Executor) startRun(now cassiatally.Instant, c cassiatally.Call) {
	ctx, cancel := context.WithTimeout(x.ctx, c.Remaining+x.AnswerGrace)
	x.cancels[c.ID] = cancel
	if x.jobs.Offer(job{ctx: ctx, call: c}, 0) {
		return
	}
	cancel()
	delete(x.cancels, c.ID)
	x.carryOut(now, x.Runner.Finished(now, c.ID, cassiatally.RunResult{Kind: cassiatally.ResultRefused, Detail: "no worker is free"}))
}

func (x *Executor) runWorker() {
	for {
		j, ok := x.jobs.Pop(x.ctx)
		if !ok {
			return
		}
		began := x.Clock.Now()
		res := x.runAtBackend(j)
		x.inbox.Push(x.ctx, resultEvent{id: j.call.ID, name: j.call.Name, res: res, took: x.Clock.Now().Sub(began)})
	}
}

// runAtBackend sends a call to the backend server. After a panic the call may have been
// sent, so that its outcome is unknown.
func (x *Executor) runAtBackend(j job) (res cassiatally.RunResult) {
	res = cassiatally.RunResult{Kind: cassiatally.ResultLost, Detail: "the answer could not be processed"}
	defer x.duty.Recoverer.Recover()
	return x.Backend.Do(j.ctx, *x.target.Load(), j.call)
}
