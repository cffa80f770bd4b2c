package command_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/sysclock"
	"github.com/cassiatally/cassiatally/operator/command"
	"github.com/cassiatally/cassiatally/operator/environment"
	"github.com/cassiatally/cassiatally/operator/nodeclient"
)

const (
	sheetHeader  = "service,kind,rank,share,target,idempotent\n"
	firstSheet   = sheetHeader + "a,look,1,0.1,1s,true\n"
	secondSheet  = sheetHeader + "a,look,1,0.2,1s,true\na,sign,0,,2s,false\n"
	invalidSheet = sheetHeader + "a,look,9,0.1,1s,true\na,sign,0,,2,false\n"

	validSettings = "node: {id: n1, data_centre: north}\nlisten: {callers: 127.0.0.1:7400, links: 127.0.0.1:7402}\n" +
		"log: {address: http://127.0.0.1:7500}\n"
	invalidSettings = "node:\n  id:  \"\"\n  data_centre: north\nlisten: {callers: 7400, links: 127.0.0.1:7402}\n"
)

// fakeLog is a log service that keeps one stream in memory.
type fakeLog struct {
	records [][]byte
	down    bool
}

func (f *fakeLog) Append(_ context.Context, _ cassiatally.Stream, data []byte) (cassiatally.Offset, error) {
	f.records = append(f.records, data)
	return cassiatally.Offset(len(f.records) - 1), nil
}

func (f *fakeLog) Read(_ context.Context, _ cassiatally.Stream, from cassiatally.Offset, _ time.Duration) (cassiatally.Batch, error) {
	if f.down {
		return cassiatally.Batch{}, cassiatally.NewError(cassiatally.KindLogUnavailable, "down")
	}
	b := cassiatally.Batch{Next: from}
	for ; int(b.Next) < len(f.records); b.Next++ {
		b.Records = append(b.Records, cassiatally.LogRecord{Offset: b.Next, Expires: time.Hour, Data: f.records[b.Next]})
	}
	return b, nil
}

// program runs command lines on files in a directory and on a fake log service.
type program struct {
	log      fakeLog
	terminal bool
	dir      string
	// timeout is the timeout of requests to the log that the last command set.
	timeout time.Duration
}

func newProgram(t *testing.T) *program {
	p := &program{dir: t.TempDir()}
	for name, text := range map[string]string{
		"first.csv": firstSheet, "second.csv": secondSheet, "broken.csv": invalidSheet, "node.yaml": validSettings, "broken.yaml": invalidSettings,
	} {
		is.New(t).NoErr(os.WriteFile(filepath.Join(p.dir, name), []byte(text), 0o600))
	}
	return p
}

// run executes a command line. Arguments that end in .csv or .yaml are files in p.dir.
func (p *program) run(line string) (code cassiatally.ExitCode, stdout, stderr string) {
	args := strings.Fields(line)
	for i, a := range args {
		if strings.HasSuffix(a, ".csv") || strings.HasSuffix(a, ".yaml") {
			args[i] = filepath.Join(p.dir, a)
		}
	}
	var out, errs bytes.Buffer
	env := environment.Environment{
		Stdout: &out, Stderr: &errs, Terminal: p.terminal, User: "planner",
		OpenLog: func(_ cassiatally.Address, timeout time.Duration) cassiatally.Log {
			p.timeout = timeout
			return &p.log
		},
		HTTP: nodeclient.NewHTTP(), Clock: sysclock.New(),
	}
	code = command.Execute(context.Background(), env, args)
	return code, out.String(), errs.String()
}

// Guards against commands that exit with another code than documented, print an
// error more than once, or end the process themselves.
func TestExitCodes(t *testing.T) {
	cases := []struct {
		name, line     string
		code           cassiatally.ExitCode
		stdout, stderr string
	}{
		{"no command", "", 2, "", "no command is given"},
		{"unknown command", "sheet burn", 2, "", `"sheet burn" is not a command`},
		{"overview", "--help", 0, "sheet publish", ""},
		{"overview of a group", "sheet --help", 0, "sheet publish", ""},
		{"help of a command", "sheet publish --help", 0, "Examples:", ""},
		{"short help flag", "sheet check -h", 0, "Examples:", ""},
		{"unknown flag", "sheet check first.csv --colour", 2, "", "colour"},
		{"unknown flag with a value", "version --colour red", 2, "", "colour"},
		{"missing value", "sheet publish first.csv --log", 2, "", "Expected a following arg for flag log"},
		{"malformed number", "sheet publish first.csv --based-on one", 2, "", "one"},
		{"malformed duration", "sheet history --log x --timeout 10", 2, "", "10"},
		{"missing argument", "sheet check", 2, "", "the argument FILE is missing"},
		{"additional argument", "sheet check first.csv second.csv", 2, "", "Unexpected argument"},
		{"argument after --", "sheet check first.csv -- more", 2, "", "unexpected arguments after --"},
		{"completion without a shell", "completion", 2, "", "the argument SHELL is missing"},
		{"completion for an unknown shell", "completion dos", 2, "", `"dos" is not a known shell`},
		{"completion has groups and flags", "completion bash", 0, "--based-on", ""},
		{"completion within a command", "sheet completion bash", 2, "", "is not a command"},
		{"completion as an argument", "sheet check completion", 1, "", "read the sheet"},
		{"status without a node", "status", 2, "", "add --node ADDRESS"},
		{"call without a node", "call a look", 2, "", "add --node ADDRESS"},
		{"call with two bodies", "call a look --node x --body b --file first.csv", 2, "", "keep one of them"},
		{"call with a malformed key", "call a look --node x --key k", 2, "", "cassiatally key mint"},
		{"call with a missing file", "call a look --node x --file none.csv", 1, "", "check the name of the file"},
		{"mint without a node", "key mint", 2, "", "add --node ADDRESS"},
		{"look-up without a node", "key show dc.0.1.0000000000000001", 2, "", "add --node ADDRESS"},
		{"look-up of a malformed key", "key show k --node x", 2, "", "copy the key as it was minted"},
		{"settings with problems", "settings check broken.yaml", 1, "broken.yaml:2:8: error: node.id", "has 3 problems"},
		{"settings with problems as JSON", "settings check broken.yaml --json", 1, `"column":8,"key":"node.id"`, "has 3 problems"},
		{"valid settings", "settings check node.yaml", 0, "node.yaml: valid", ""},
		{"settings with defaults", "settings show node.yaml", 0, "answer_ttl: 10m", ""},
		{"settings with defaults as JSON", "settings show node.yaml --json", 0, `"answer_ttl": "10m"`, ""},
		{"show of invalid settings", "settings show broken.yaml", 1, "", "run cassiatally settings check"},
		{"missing settings", "settings check none.yaml", 1, "", "check the name of the file"},
		{"version flag", "sheet check --version", 2, "", "version"},
		{"version", "version", 0, "protocol 1", ""},
		{"version as JSON", "version --json", 0, `"protocol":1`, ""},
		{"valid sheet", "sheet check first.csv", 0, "valid, 1 rows, 0 warnings", ""},
		{"invalid sheet", "sheet check broken.csv", 1, "broken.csv:3:11: error: target", "has 2 errors"},
		{"invalid sheet as JSON", "sheet check broken.csv --json", 1, `"valid":false`, "has 2 errors"},
		{"missing file", "sheet check none.csv", 1, "", "check the name of the file"},
		{"publish without log", "sheet publish first.csv --based-on 0", 2, "", "add --log ADDRESS"},
		{"publish without version", "sheet publish first.csv --log x", 2, "", "add --based-on N"},
		{"publish an invalid sheet", "sheet publish broken.csv --log x --based-on 0", 1, "", "nothing was published"},
		{"show without log", "sheet show", 2, "", "add --log ADDRESS"},
		{"show from an empty log", "sheet show --log x", 1, "", "no accepted sheet"},
		{"show with a malformed version", "sheet show one --log x", 2, "", "not a version"},
		{"diff of a version without log", "sheet diff 1 first.csv", 2, "", "add --log ADDRESS"},
		{"diff of files", "sheet diff first.csv second.csv", 0, "~ a/look at *, always: share 0.1 -> 0.2\n+ a/sign", ""},
		{"diff as JSON", "sheet diff first.csv first.csv --json", 0, "[]", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := newProgram(t)
			code, stdout, stderr := p.run(c.line)
			is.Equal(code, c.code)
			is.True(strings.Contains(stdout, c.stdout))
			is.True(strings.Contains(stderr, c.stderr))
			is.Equal(strings.Count(stderr, "\n"), min(1, len(c.stderr))) // one line, or none
			is.Equal(len(p.log.records), 0)
		})
	}
}

// Guards against a publish that lost a race but exits as if it was accepted, and
// against output that programs cannot parse.
func TestPublishShowAndHistory(t *testing.T) {
	is := is.New(t)
	p := newProgram(t)
	code, stdout, _ := p.run("sheet publish first.csv --log x --based-on 0")
	is.Equal(code, cassiatally.ExitSuccess)
	is.Equal(stdout, "version 1 accepted at offset 0\n")
	is.True(p.timeout <= 5*time.Second) // an append without an answer must leave time to read back
	code, stdout, stderr := p.run("sheet publish second.csv --log x --based-on 0 --publisher rival")
	is.Equal(code, cassiatally.ExitFailure)
	is.True(strings.Contains(stderr, "version_conflict: the sheet is based on version 0, but version 1 by planner is in force"))
	is.True(strings.HasPrefix(stdout, "~ a/look at *, always: share 0.1 -> 0.2\n+ a/sign"))
	code, stdout, _ = p.run("sheet publish second.csv --log x --based-on 0 --json")
	is.Equal(code, cassiatally.ExitFailure)
	is.True(strings.HasPrefix(stdout, `{"accepted":false,"version":1,`))
	code, stdout, _ = p.run("sheet publish second.csv --log=x --based-on=1 --publisher rival --json")
	is.Equal(code, cassiatally.ExitSuccess)
	is.True(strings.HasPrefix(stdout, `{"accepted":true,"version":2,`))

	_, stdout, _ = p.run("sheet history --log x")
	is.True(strings.HasPrefix(stdout, "0\t1\t0\taccepted\tplanner\t"))
	is.Equal(strings.Count(stdout, "\n"), 2)
	_, stdout, _ = p.run("sheet show 1 --log x")
	is.True(strings.HasSuffix(stdout, "a,look,*,,*,,,1,0.1,1s,true\n"))
	_, stdout, _ = p.run("sheet show --log x --json")
	is.True(strings.HasPrefix(stdout, `{"version":2,"based_on":1,"publisher":"rival",`))
	_, stdout, _ = p.run("sheet diff 1 2 --log x")
	is.True(strings.HasPrefix(stdout, "~ a/look"))
	p.terminal = true
	_, stdout, _ = p.run("sheet history --log x")
	is.True(strings.HasPrefix(stdout, "OFFSET  VERSION  BASED ON  STATE"))
	_, stdout, _ = p.run("sheet show --log x")
	is.True(strings.HasPrefix(stdout, "SERVICE  KIND"))

	p.log.down = true
	code, _, stderr = p.run("sheet publish first.csv --log x --based-on 2")
	is.Equal(code, cassiatally.ExitFailure)
	is.True(strings.Contains(stderr, "log_unavailable: nothing was published"))
}
