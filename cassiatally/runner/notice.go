package runner

import "github.com/cassiatally/cassiatally/cassiatally"

// Begin records which start of the backend server the next announcement is of.
func (r *Runner) Begin(id cassiatally.InstanceID, startedMs int64) { r.notices.Begin(id, startedMs) }

// Notice returns what the backend server last stated about itself.
func (r *Runner) Notice() cassiatally.Notice { return r.notices.Notice() }

// observeNotice records what the answer to a run states about the backend server.
func (r *Runner) observeNotice(rec *record, n *cassiatally.Notice) {
	if n != nil {
		r.notices.Observe(rec.serverStart, *n)
	}
}
