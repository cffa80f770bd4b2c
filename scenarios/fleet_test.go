package scenarios_test

import (
	"bufio"
	"cmp"
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	// startTimeout and conditionTimeout are long, so that a scenario does not fail
	// because the machine is busy.
	startTimeout     = 30 * time.Second
	conditionTimeout = 60 * time.Second
	pollInterval     = 50 * time.Millisecond
)

type fleetKey struct{}

// fleet holds the processes of one script.
type fleet struct {
	env         *testscript.Env
	processes   map[string]*process
	versions    *versionWatch
	supervisors map[string]*supervisor
	// linkAddresses has the address for links of each node that was started, by name.
	linkAddresses map[string]string
	// pending has a channel for the answer to each request that was sent in the
	// background, by the name of the request.
	pending   map[string]chan response
	repeaters map[string]*repeater
}

type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

func newFleet(env *testscript.Env) *fleet {
	return &fleet{
		env: env, processes: make(map[string]*process),
		versions: newVersionWatch(), supervisors: make(map[string]*supervisor),
		linkAddresses: make(map[string]string), pending: make(map[string]chan response),
		repeaters: make(map[string]*repeater),
	}
}

func fleetOf(ts *testscript.TestScript) *fleet { return ts.Value(fleetKey{}).(*fleet) }

func (f *fleet) killAll() {
	f.versions.close()
	for _, s := range f.supervisors {
		s.close()
	}
	for _, p := range f.processes {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
}

// cmdStart starts a program and waits until it prints its listening line, which is
// "listening key=value...":
//
//	start NAME PROGRAM ARGS...
//
// Each key=value of the line becomes the variable NAME_key. The output goes to
// NAME.log. Stand-ins listen on the IP number of the script.
func cmdStart(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: start NAME PROGRAM ARGS...")
	}
	fleetOf(ts).start(ts, args[0], args[1], withListen(ts, args[1], args[2:]))
}

func (f *fleet) start(ts *testscript.TestScript, name, program string, args []string) map[string]string {
	if old, ok := f.processes[name]; ok {
		select {
		case <-old.exited:
		default:
			ts.Fatalf("%s is running", name)
		}
	}
	logFile, err := os.OpenFile(ts.MkAbs(name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	ts.Check(err)
	cmd := exec.Command(filepath.Join(binaries, program), args...)
	cmd.Dir = ts.MkAbs(".")
	cmd.Stderr = logFile
	stdout, err := cmd.StdoutPipe()
	ts.Check(err)
	ts.Check(cmd.Start())
	p := &process{cmd: cmd, exited: make(chan struct{})}
	f.processes[name] = p
	line := make(chan string, 1)
	go copyOutput(p, stdout, logFile, line)
	select {
	case l := <-line:
		return setVariables(ts, name, l)
	case <-p.exited:
		// A program may end right after it printed its line.
		select {
		case l := <-line:
			return setVariables(ts, name, l)
		default:
		}
		output, _ := os.ReadFile(logFile.Name())
		ts.Fatalf("%s ended before it listened:\n%s", name, output)
	case <-time.After(startTimeout):
		ts.Fatalf("%s did not listen within %v; see %s.log", name, startTimeout, name)
	}
	return nil
}

// copyOutput copies the output of a process to its log, passes the listening line
// on, and waits for the process to end.
func copyOutput(p *process, stdout io.Reader, logFile *os.File, line chan<- string) {
	var once sync.Once
	lines := bufio.NewScanner(stdout)
	for lines.Scan() {
		fmt.Fprintln(logFile, lines.Text())
		if strings.HasPrefix(lines.Text(), "listening ") {
			once.Do(func() { line <- lines.Text() })
		}
	}
	_ = p.cmd.Wait()
	_ = logFile.Close()
	close(p.exited)
}

func setVariables(ts *testscript.TestScript, name, line string) map[string]string {
	values := make(map[string]string)
	for _, field := range strings.Fields(line)[1:] {
		key, value, ok := strings.Cut(field, "=")
		if ok {
			values[key] = value
			ts.Setenv(name+"_"+key, value)
		}
	}
	return values
}

// cmdNode starts a node with settings for tests:
//
//	node NAME DATA_CENTRE [YAML-LINE...]
//
// Further lines are added to the settings. The fleet is that of the script, or the one that
// the variable FLEET names. The variable LOG has the address of the log service. The nodes
// that were started before are the seeds. The variable NAME_listen fixes the address for
// links, and NAME_advertise the one that the node announces to others. If the variable
// FAULTS has the address of a fault proxy, links to the node go through the proxy's route
// NAME, which forwards frames if the variable FRAMES is set, and TCP otherwise.
func cmdNode(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: node NAME DATA_CENTRE [YAML-LINE...]")
	}
	f := fleetOf(ts)
	name := args[0]
	faults := ts.Getenv("FAULTS")
	if faults != "" && ts.Getenv(name+"_advertise") == "" {
		ts.Setenv(name+"_advertise", addRoute(ts, faults, name))
	}
	var b strings.Builder
	fmt.Fprintf(&b, "node: {id: %s, data_centre: %s, fleet: %s}\n", name, args[1], cmp.Or(ts.Getenv("FLEET"), scriptFleet(ts)))
	listen := listenAddress(ts)
	links := listen
	if fixed := ts.Getenv(name + "_listen"); fixed != "" {
		links = fixed
	}
	fmt.Fprintf(&b, "listen: {callers: %q, backend: %q, links: %q, admin: %q}\n", listen, listen, links, listen)
	if addr := ts.Getenv(name + "_advertise"); addr != "" {
		fmt.Fprintf(&b, "advertise: {links: %q}\n", addr)
	}
	fmt.Fprintf(&b, "log: {address: %q, timeout: 5s}\n", "http://"+ts.Getenv("LOG"))
	if seeds := f.seedsOf(name); len(seeds) > 0 {
		fmt.Fprintf(&b, "seeds: [%s]\n", strings.Join(seeds, ", "))
	}
	for _, line := range args[2:] {
		fmt.Fprintln(&b, line)
	}
	file := ts.MkAbs(name + ".yaml")
	ts.Check(os.WriteFile(file, []byte(b.String()), 0o600))
	addresses := f.start(ts, name, "cassiatally-node", []string{"--settings", file})
	if faults != "" {
		changeRoute(ts, faults, name, addresses["links"])
	}
	f.linkAddresses[name] = addresses["links"]
	if addr := ts.Getenv(name + "_advertise"); addr != "" {
		f.linkAddresses[name] = addr
	}
}

// scriptNumber returns a number that no other script has, also in another run of the tests.
func scriptNumber(ts *testscript.TestScript) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(ts.MkAbs(".")))
	return h.Sum64()
}

func scriptFleet(ts *testscript.TestScript) string {
	return fmt.Sprintf("script-%x", scriptNumber(ts))
}

// listenAddress returns an address on which programs of the script listen, whose port the
// kernel chooses. The IP number is that of the script: the port of a program that has ended
// would otherwise soon be that of a program of another script, and be used for the ended one.
func listenAddress(ts *testscript.TestScript) string {
	n := scriptNumber(ts)
	return fmt.Sprintf("127.%d.%d.%d:0", 1+n%254, n>>8%254, 1+n>>16%254)
}

// withListen adds the address to listen on to the arguments of a stand-in that listens.
func withListen(ts *testscript.TestScript, program string, args []string) []string {
	if program != "cassiatally-standin" {
		return args
	}
	return append(slices.Clone(args), "--listen", listenAddress(ts))
}

// seedsOf returns the quoted addresses of the other nodes in a fixed order.
func (f *fleet) seedsOf(name string) []string {
	var seeds []string
	for _, other := range slices.Sorted(maps.Keys(f.linkAddresses)) {
		if other != name {
			seeds = append(seeds, strconv.Quote(f.linkAddresses[other]))
		}
	}
	return seeds
}

var signals = map[string]syscall.Signal{
	"KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM,
}

// cmdSignal sends a signal to a process: signal NAME KILL|STOP|CONT|TERM.
func cmdSignal(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: signal NAME KILL|STOP|CONT|TERM")
	}
	p := fleetOf(ts).startedProcess(ts, args[0])
	ts.Check(p.cmd.Process.Signal(signals[args[1]]))
	switch args[1] {
	case "KILL":
		<-p.exited
	case "STOP":
		waitStopped(ts, p)
	}
}

// waitStopped waits until all threads of a process have stopped. The signal goes to one
// thread, and on a busy machine the others run on until that one is scheduled: the holder
// of a key that a script took for paused still recorded a claim.
func waitStopped(ts *testscript.TestScript, p *process) {
	for deadline := time.Now().Add(conditionTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		stats, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
		ts.Check(err)
		stopped := 0
		for _, file := range stats {
			data, _ := os.ReadFile(file)
			if strings.Contains(string(data), ") T ") {
				stopped++
			}
		}
		if stopped > 0 && stopped == len(stats) {
			return
		}
	}
	ts.Fatalf("the process did not stop within %v", conditionTimeout)
}

func (f *fleet) startedProcess(ts *testscript.TestScript, name string) *process {
	p, ok := f.processes[name]
	if !ok {
		ts.Fatalf("%s was not started", name)
	}
	return p
}

// cmdHalt sends SIGTERM to processes, one after the other, and waits for the end of
// each: halt NAME...
func cmdHalt(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) == 0 {
		ts.Fatalf("usage: halt NAME...")
	}
	for _, name := range args {
		p := fleetOf(ts).startedProcess(ts, name)
		_ = p.cmd.Process.Signal(syscall.SIGTERM)
		waitExit(ts, name, p)
	}
}

// cmdEnded waits until a process has ended: ended NAME.
func cmdEnded(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: ended NAME")
	}
	waitExit(ts, args[0], fleetOf(ts).startedProcess(ts, args[0]))
}

func waitExit(ts *testscript.TestScript, name string, p *process) {
	select {
	case <-p.exited:
	case <-time.After(conditionTimeout):
		ts.Fatalf("%s did not end within %v", name, conditionTimeout)
	}
}

// cmdUntil repeats a command until its standard output matches:
//
//	[!] until PATTERN PROGRAM ARGS...
//
// With ! it waits until the pattern no longer matches.
func cmdUntil(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: [!] until PATTERN PROGRAM ARGS...")
	}
	pattern := compilePattern(ts, args[0])
	var last []byte
	for deadline := time.Now().Add(conditionTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		cmd := exec.Command(programPath(args[1]), args[2:]...)
		cmd.Dir = ts.MkAbs(".")
		out, err := cmd.Output()
		last = out
		if err == nil && pattern.Match(out) != neg {
			return
		}
	}
	ts.Fatalf("until %s was not met within %v; last output:\n%s", strings.Join(args, " "), conditionTimeout, last)
}

// cmdStatus waits until the status of a node matches:
//
//	[!] status ADMIN-ADDRESS PATTERN
func cmdStatus(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: [!] status ADMIN-ADDRESS PATTERN")
	}
	pattern := compilePattern(ts, args[1])
	last := ""
	for deadline := time.Now().Add(conditionTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		body, err := fetch("http://" + args[0] + "/v1/status")
		last = string(body)
		if err == nil && pattern.Match(body) != neg {
			return
		}
	}
	ts.Fatalf("status %s was not met within %v; last status:\n%s", args[1], conditionTimeout, last)
}

// cmdMint mints a key and puts it into a variable: mint VARIABLE CALLERS-ADDRESS.
// It repeats the request while the shards have no holder yet.
func cmdMint(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: mint VARIABLE CALLERS-ADDRESS")
	}
	pattern := compilePattern(ts, `"key":"([^"]+)"`)
	last := ""
	for deadline := time.Now().Add(conditionTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		resp, err := http.Post("http://"+args[1]+"/v1/keys", "", nil)
		if err != nil {
			continue
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		last = string(body)
		if m := pattern.FindSubmatch(body); err == nil && m != nil {
			ts.Setenv(args[0], string(m[1]))
			return
		}
	}
	ts.Fatalf("no key was minted within %v; last answer:\n%s", conditionTimeout, last)
}

func fetch(url string) ([]byte, error) {
	client := http.Client{Timeout: startTimeout}
	resp, err := client.Get(url)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	return io.ReadAll(resp.Body)
}

func programPath(program string) string {
	built := filepath.Join(binaries, program)
	if _, err := os.Stat(built); err == nil {
		return built
	}
	return program
}
