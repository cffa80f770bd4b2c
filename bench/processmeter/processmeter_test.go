package processmeter

import (
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/bench/launcher"
)

// TestParseProcessorTime guards against reading the wrong fields when the name of a
// command contains blanks or brackets.
func TestParseProcessorTime(t *testing.T) {
	const rest = " S 1 2 3 4 5 6 7 8 9 10 150 50 0 0 20 0"
	cases := map[string]struct {
		text    string
		want    time.Duration
		wantErr bool
	}{
		"plain name":              {"7 (node)" + rest, 2 * time.Second, false},
		"name with blank":         {"7 (a node)" + rest, 2 * time.Second, false},
		"name with brackets":      {"7 (a) 1 2 (b)" + rest, 2 * time.Second, false},
		"fields that are missing": {"7 (node) S 1 2", 0, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, err := parseProcessorTime(c.text)
			is.Equal(err != nil, c.wantErr)
			is.Equal(got, c.want)
		})
	}
}

// TestParseResident guards against taking a size in KiB for one in bytes.
func TestParseResident(t *testing.T) {
	is := is.New(t)
	got, err := parseResident("Name:\tnode\nVmRSS:\t    24 kB\nThreads:\t9\n")
	is.NoErr(err)
	is.Equal(got, Bytes(24<<10))
	_, err = parseResident("Name:\tnode\n")
	is.True(err != nil)
}

// TestCoresSince guards against a division by zero when no time has passed.
func TestCoresSince(t *testing.T) {
	is := is.New(t)
	start := Usage{At: time.Unix(100, 0), ProcessorTime: time.Second}
	later := Usage{At: time.Unix(110, 0), ProcessorTime: 1500 * time.Millisecond}
	is.Equal(later.CoresSince(start), 0.05)
	is.Equal(start.CoresSince(start), 0.0)
}

// TestReadOwnProcess guards against a format of /proc that the meter cannot parse.
func TestReadOwnProcess(t *testing.T) {
	is := is.New(t)
	u, err := Meter{}.Read(launcher.PID(os.Getpid()))
	is.NoErr(err)
	is.True(u.Resident > 0)
}
