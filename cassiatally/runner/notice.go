package runner

import "github.com/cassiatally/cassiatally/cassiatally"

// SetInstance records which start of the backend server the next announcement is of.
func (r *Runner) SetInstance(now cassiatally.Instant, id cassiatally.InstanceID, startedMs int64) {
	before := r.notices.Start()
	r.notices.SetInstance(id, startedMs)
	if r.notices.Start() != before {
		r.slowdowns, r.detached = slowdowns{}, detached{}
	}
	r.applyNotice(now)
}

// Notice returns what the backend server last stated about itself.
func (r *Runner) Notice() cassiatally.Notice { return r.notices.Notice() }

// observeNotice records what the answer to a run states about the backend server.
func (r *Runner) observeNotice(now cassiatally.Instant, rec *record, n *cassiatally.Notice) {
	if n == nil {
		return
	}
	if rec.serverStart == r.notices.Start() && r.slowdowns.state(now, *n) {
		r.observeOccupancy(rec, *n)
	}
	if r.notices.Observe(rec.serverStart, *n) {
		r.applyNotice(now)
	}
}

// adoptNotice records what the sender of a call has learnt from earlier answers. It
// returns the refusals of the queued calls if the backend server is leaving.
func (r *Runner) adoptNotice(now cassiatally.Instant, n *cassiatally.Notice) []cassiatally.Action {
	if n == nil || !r.notices.Hint(*n) {
		return nil
	}
	r.applyNotice(now)
	if r.endpoint.State != cassiatally.EndpointReady {
		return r.refuseQueued(now, nil)
	}
	return nil
}

// applyNotice puts the notice in force into effect. An endpoint that leaves is announced
// as draining from now on, whatever its reports say.
func (r *Runner) applyNotice(now cassiatally.Instant) {
	r.endpoint.State = r.stateBy(r.endpoint.State)
	if n := r.notices.Notice(); n.RateLimited {
		r.rates.SetRate(now, n.RateLimit)
	} else {
		r.rates.Lift()
	}
	r.admitter.LimitRate(r.rates.Rate())
}

// stateBy returns the state of the endpoint, given the one in its report.
func (r *Runner) stateBy(reported cassiatally.EndpointState) cassiatally.EndpointState {
	if reported == cassiatally.EndpointReady && r.notices.Notice().Leaving {
		return cassiatally.EndpointDraining
	}
	return reported
}

// stated returns the notice for other nodes, and nil when the backend server states
// nothing.
func (r *Runner) stated() *cassiatally.Notice {
	n := r.notices.Notice()
	if !n.RateLimited && !n.Leaving {
		return nil
	}
	return &n
}

// concurrency returns the number of runs that may be in flight: the limit, and with a
// rate limit no more than keep that rate in use, by Little's law.
func (r *Runner) concurrency() cassiatally.Concurrency {
	limit, typical := r.limiter.Limit(), r.limiter.TypicalSelfTime()
	rate := r.rates.Rate()
	if rate == 0 || typical <= 0 {
		return limit
	}
	return min(limit, max(cassiatally.Concurrency(float64(rate)*typical.Seconds()+0.5), 1))
}
