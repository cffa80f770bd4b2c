package scenarios_test

import (
	"regexp"

	"github.com/rogpeppe/go-internal/testscript"
)

func compilePattern(ts *testscript.TestScript, pattern string) *regexp.Regexp {
	re, err := regexp.Compile("(?m)" + pattern)
	ts.Check(err)
	return re
}
