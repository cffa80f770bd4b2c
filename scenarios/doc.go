// Package scenarios holds the scripted scenarios, which run real processes on
// loopback behind the fault proxy.
//
// # Usage
//
//	go test ./scenarios/...
package scenarios
