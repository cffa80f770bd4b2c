// Package core defines the types that the stand-ins share: the records of runs
// and of results reported to callers, named types for their ids, the headers of
// the HTTP interfaces, and the interfaces of behaviour that varies.
// The packages beside it implement these interfaces.
//
// # Usage
//
//	run := core.Run{Record: id, Service: "booking-svc", State: core.RunStarted}
//	if err := sink.Record(ctx, run); err != nil {
//		// do not start the run
//	}
package core
