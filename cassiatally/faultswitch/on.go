//go:build faultinjection

package faultswitch

import (
	"os"
	"slices"
	"strings"
)

// switchedOff is read once; a mechanism stays off for the life of the process.
var switchedOff = strings.Split(os.Getenv("CASSIATALLY_SWITCH_OFF"), ",")

// Off reports whether a mechanism is switched off.
func Off(m Mechanism) bool { return slices.Contains(switchedOff, string(m)) }
