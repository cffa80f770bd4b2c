// Package core defines the vocabulary of the stand-ins: the records that
// backend servers and callers keep, named types for their ids, the headers of
// the HTTP interfaces, and the interfaces of behaviour that varies.
// Implementations live in the packages beside it.
//
// # Usage
//
//	run := core.Run{Record: id, Service: "booking-svc", State: core.RunStarted}
//	if err := sink.Record(ctx, run); err != nil {
//		// the run must not start
//	}
package core
