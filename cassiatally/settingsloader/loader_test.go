package settingsloader_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/settingsloader"
)

const minimalSettings = `node: {id: n1, data_centre: east}
listen: {callers: "127.0.0.1:1", links: "127.0.0.1:2"}
log: {address: "http://127.0.0.1:3"}
`

// Guards against example files that the loader no longer accepts.
func TestExamplesLoad(t *testing.T) {
	for _, name := range []string{"barrier", "intake"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			data, err := os.ReadFile("../../examples/" + name + "/node.yaml")
			is.NoErr(err)
			s, err := settingsloader.Loader{File: name}.Load(data)
			is.NoErr(err)
			is.True(len(s.Seeds) > 0)
		})
	}
}

// Guards against defaults that are missing or differ from the documented values,
// and against a description that Load reads back to other settings.
func TestDefaultsAndDescription(t *testing.T) {
	is := is.New(t)
	s, err := settingsloader.Loader{}.Load([]byte(minimalSettings))
	is.NoErr(err)
	is.Equal(s.Advertise.Links, cassiatally.Address("127.0.0.1:2"))
	is.Equal(s.Gossip.RemoveAfter, 10*time.Second)
	is.Equal(s.Keys.StoredAnswers, settingsloader.ByteSize(16<<20))
	again, err := settingsloader.Loader{}.Load([]byte(s.Describe()))
	is.NoErr(err)
	is.Equal(again, s)
	is.True(strings.Contains(s.Describe(), "dead_after: 1.5s\n"))
	is.True(!strings.Contains(s.Describe(), "fleet:"))
}

// Guards against the name of a fleet that is not read, or is missing in a description.
func TestFleet(t *testing.T) {
	is := is.New(t)
	s, err := settingsloader.Loader{}.Load([]byte(strings.Replace(minimalSettings, "east}", "east, fleet: barrier}", 1)))
	is.NoErr(err)
	is.Equal(s.Node.Fleet, cassiatally.Fleet("barrier"))
	is.True(strings.Contains(s.Describe(), "fleet: \"barrier\"\n"))
}

// Guards against errors that are accepted, reported at a wrong position, or
// reported without a fix.
func TestProblems(t *testing.T) {
	cases := []struct {
		name, add    string
		line, column int
		key, message string
	}{
		{"unknown section", "listn: {}", 4, 1, "listn", "unknown"},
		{"unknown key in a section", "gossip:\n  intervall: 1s", 5, 3, "gossip.intervall", "unknown"},
		{"host name", "seeds:\n  - 10.0.0.1:5\n  - localhost:5", 6, 5, "seeds", "host name"},
		{"duration without unit", "drain: {timeout: 5}", 4, 18, "drain.timeout", "not a duration"},
		{"size without unit", "requests: {max_body: 64}", 4, 22, "requests.max_body", "not a size"},
		{"body above the protocol's bound", "requests: {max_body: 2MiB}", 4, 22, "requests.max_body", "out of range"},
		{"not a number", "retries: {ratio: .nan}", 4, 18, "retries.ratio", "not a number"},
		{"negative count", "retries: {per_root: -1}", 4, 21, "retries.per_root", "out of range"},
		{"unknown mode", "control: on", 4, 10, "control", "not a choice"},
		{"key twice", "log_level: info\nlog_level: warn", 5, 1, "log_level", "already on line 4"},
		{"section is no mapping", "keys: 16", 4, 7, "keys", "not a list of keys"},
		{"value is a list", "log_level: [info]", 4, 12, "log_level", "not a plain value"},
		{"removed before suspected", "gossip: {remove_after: 2s}", 4, 10, "gossip.remove_after", "is 2s and"},
		{"broken YAML", "keys: {", 4, 7, "file", "flow"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, problems := settingsloader.Check([]byte(minimalSettings + c.add + "\n"))
			is.Equal(len(problems), 1)
			p := problems[0]
			is.Equal([]int{p.Line, p.Column}, []int{c.line, c.column})
			is.Equal(p.Key, c.key)
			is.True(strings.Contains(p.Message, c.message)) // says what is wrong
			is.True(p.Fix != "")
		})
	}
}

// Guards against a report that stops at the first problem.
func TestAllProblemsInOneReport(t *testing.T) {
	is := is.New(t)
	_, err := settingsloader.Loader{File: "n.yaml"}.Load([]byte("node: {id: a b, fleet: c d}\nlisten: {links: 0.0.0.0}\nlog_level: loud\n"))
	is.Equal(cassiatally.KindOf(err), cassiatally.KindInvalidSettings)
	for _, part := range []string{
		"n.yaml:1:1: node.data_centre", "n.yaml:1:12: node.id", "n.yaml:1:24: node.fleet", "n.yaml:2:1: listen.callers",
		"n.yaml:2:17: listen.links", "n.yaml:1:1: log.address", "n.yaml:3:12: log_level",
	} {
		is.True(strings.Contains(err.Error(), part)) // each problem is in the report
	}
}

// Guards against an advertised link address to which other nodes cannot connect.
func TestUnspecifiedLinkAddress(t *testing.T) {
	is := is.New(t)
	text := strings.Replace(minimalSettings, "127.0.0.1:2", "0.0.0.0:2", 1)
	_, problems := settingsloader.Check([]byte(text))
	is.Equal(len(problems), 1)
	is.Equal(problems[0].Key, "listen.links")
	_, problems = settingsloader.Check([]byte(text + "advertise: {links: '10.0.0.9:2'}\n"))
	is.Equal(len(problems), 0)
	_, problems = settingsloader.Check([]byte(strings.Replace(minimalSettings, "127.0.0.1:2", "0.0.0.0:0", 1)))
	is.Equal(len(problems), 1)
}

// Guards against panics on malformed files, problems without a position, and
// accepted settings whose description does not load back to the same settings.
func FuzzLoad(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		s, problems := settingsloader.Check(data)
		for _, p := range problems {
			if p.Line < 1 || p.Column < 1 || p.Message == "" || p.Fix == "" {
				t.Fatalf("incomplete problem %+v", p)
			}
		}
		if len(problems) > 0 {
			return
		}
		again, err := settingsloader.Loader{}.Load([]byte(s.Describe()))
		if err != nil || again.Describe() != s.Describe() {
			t.Fatalf("description does not read back: %v\n%s", err, s.Describe())
		}
	})
}
