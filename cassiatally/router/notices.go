package router

import "github.com/cassiatally/cassiatally/cassiatally"

// maxNotices bounds the nodes whose notices are kept, those of the largest fleet.
const maxNotices = 4096

// recordNotice records what the backend server beside a node states about itself. The
// next call to the node carries it, so that a node that was restarted meanwhile keeps to
// a limit that this one has passed on to callers.
func (r *Router) recordNotice(from cassiatally.NodeID, a cassiatally.Answer) {
	switch _, known := r.notices[from]; {
	case a.Notice == nil && fromBackendServer(a):
		delete(r.notices, from)
	case a.Notice == nil:
		// The node may have been restarted and not know of any notice.
	case known || len(r.notices) < maxNotices:
		r.notices[from] = a.Notice
	}
}

// fromBackendServer reports whether an answer of the backend server itself led to the
// answer.
func fromBackendServer(a cassiatally.Answer) bool {
	return a.Outcome == cassiatally.OutcomeRan || a.Kind == cassiatally.KindBackendRefused
}
