package processmeter

import (
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/bench/launcher"
)

// TestParseStat guards against fields that shift when the name of a command
// holds blanks or brackets.
func TestParseStat(t *testing.T) {
	const rest = " S 1 2 3 4 5 6 7 8 9 10 150 50 0 0 20 0"
	cases := map[string]struct {
		text   string
		want   time.Duration
		failed bool
	}{
		"plain name":              {"7 (node)" + rest, 2 * time.Second, false},
		"name with blank":         {"7 (a node)" + rest, 2 * time.Second, false},
		"name with brackets":      {"7 (a) 1 2 (b)" + rest, 2 * time.Second, false},
		"fields that are missing": {"7 (node) S 1 2", 0, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, err := parseStat(c.text)
			is.Equal(err != nil, c.failed)
			is.Equal(got, c.want)
		})
	}
}

// TestParseStatus guards against a size in KiB that is taken for bytes.
func TestParseStatus(t *testing.T) {
	is := is.New(t)
	got, err := parseStatus("Name:\tnode\nVmRSS:\t    24 kB\nThreads:\t9\n")
	is.NoErr(err)
	is.Equal(got, Bytes(24<<10))
	_, err = parseStatus("Name:\tnode\n")
	is.True(err != nil)
}

// TestShare guards against a division by no time.
func TestShare(t *testing.T) {
	is := is.New(t)
	start := Usage{At: time.Unix(100, 0), ProcessorTime: time.Second}
	later := Usage{At: time.Unix(110, 0), ProcessorTime: 1500 * time.Millisecond}
	is.Equal(later.CoresSince(start), 0.05)
	is.Equal(start.CoresSince(start), 0.0)
}

// TestReadOwnProcess guards against a form of /proc that the meter cannot read.
func TestReadOwnProcess(t *testing.T) {
	is := is.New(t)
	u, err := Meter{}.Read(launcher.PID(os.Getpid()))
	is.NoErr(err)
	is.True(u.Resident > 0)
}
