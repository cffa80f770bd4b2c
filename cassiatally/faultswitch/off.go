//go:build !faultinjection

package faultswitch

// Off reports whether a mechanism is switched off.
func Off(Mechanism) bool { return false }
