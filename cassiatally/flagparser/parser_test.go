package flagparser_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/flagparser"
)

// TestParse guards against flaggy exiting the process or printing by itself, and
// against usage errors that are not reported.
func TestParse(t *testing.T) {
	cases := map[string]struct {
		args   []string
		help   bool
		failed string
	}{
		"all given":           {[]string{"a.csv", "--count", "3"}, false, ""},
		"help":                {[]string{"--help"}, true, ""},
		"missing argument":    {nil, false, "the argument FILE is missing"},
		"unknown flag":        {[]string{"a.csv", "--colour", "red"}, false, "colour"},
		"value of other type": {[]string{"a.csv", "--count", "three"}, false, "three"},
		"rest after dashes":   {[]string{"a.csv", "--", "b"}, false, "unexpected arguments"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var file string
			var count int
			p := flagparser.New("program command")
			p.Positional(&file, "FILE", "the file", true)
			p.Flags.Int(&count, "", "count", "a number")
			help, err := p.Parse(c.args)
			is.Equal(help, c.help)
			if c.failed == "" {
				is.NoErr(err)
				return
			}
			is.Equal(cassiatally.KindOf(err), cassiatally.KindUsage)
			is.True(strings.Contains(err.Error(), c.failed))
			is.True(strings.Contains(err.Error(), "see program command --help"))
		})
	}
}
