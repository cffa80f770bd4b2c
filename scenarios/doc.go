// Package scenarios has the scripted end-to-end tests. They run the real programs
// as processes on loopback, with the fault proxy between them.
//
// # Usage
//
//	go test ./scenarios/...
package scenarios
