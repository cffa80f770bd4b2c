// Package recoverer keeps a panic in the handling of one message from ending the
// process: the message is dropped, and a log line names the duty and the stack.
//
// # Usage
//
//	r := &recoverer.Recoverer{Logger: logger, Duty: "executor"}
//	func handle(m message) {
//		defer r.Recover()
//		...
//	}
package recoverer

import (
	"runtime/debug"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// Recoverer recovers from panics in one duty. Its fields are set before its first use.
// With a nil Recoverer, panics end the process.
type Recoverer struct {
	Logger cassiatally.Logger
	// Duty names the duty in log lines.
	Duty string
}

// Recover ends a panic of the calling function and logs it. It has to be deferred
// directly.
func (r *Recoverer) Recover() {
	if r == nil {
		return
	}
	if v := recover(); v != nil {
		r.Logger.Error("recovered from a panic", "duty", r.Duty, "panic", v, "stack", string(debug.Stack()))
	}
}
