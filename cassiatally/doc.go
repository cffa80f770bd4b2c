// Package cassiatally defines the types shared by every part of the overload
// control layer: named types for ids and units, the closed list of error kinds,
// the messages that nodes exchange, and the interfaces of all behaviour that
// varies. Implementations are in the packages below it.
//
// # Usage
//
// Decision packages take an Instant, a source of randomness and messages, and
// return actions for their owner to carry out:
//
//	actions := r.Submit(now, request)
//	for _, a := range actions {
//		switch a := a.(type) {
//		case cassiatally.Send:
//			transport.Send(a.To, a.Message)
//		case cassiatally.Deliver:
//			waiting.Deliver(a.Call, a.Answer)
//		}
//	}
//
// The types hold no locks. A value belongs to one duty at a time and is handed to
// the next duty through a ring.
package cassiatally
