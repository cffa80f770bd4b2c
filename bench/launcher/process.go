package launcher

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// PID is the id of a process.
type PID int

// Process is one started process.
type Process struct {
	Name string
	// Listening has the key=value fields of the line that the process prints once it
	// listens, such as address.
	Listening map[string]string
	// Routes has the listening address of each route that a fault proxy printed, by
	// name.
	Routes map[string]string

	cmd           *exec.Cmd
	logFile       *os.File
	listeningLine chan string
	exited        chan struct{}
}

// PID returns the id of the process.
func (p *Process) PID() PID { return PID(p.cmd.Process.Pid) }

// Exited returns a channel that is closed when the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Signal sends a signal to the process unless it has ended.
func (p *Process) Signal(s syscall.Signal) {
	select {
	case <-p.exited:
	default:
		// The process may have ended in the meantime; then the error does not matter.
		_ = p.cmd.Process.Signal(s)
	}
}

// Kill ends the process with SIGKILL and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

func (p *Process) start() error {
	stdout, err := p.cmd.StdoutPipe()
	if err != nil {
		return errors.CombineErrors(err, p.logFile.Close())
	}
	if err := p.cmd.Start(); err != nil {
		return errors.CombineErrors(err, p.logFile.Close())
	}
	p.Routes = make(map[string]string)
	go p.watch(stdout)
	return nil
}

// watch is the duty that copies the output to the log file, passes on the listening
// line, and waits for the end of the process.
func (p *Process) watch(stdout io.Reader) {
	defer close(p.exited)
	defer p.logFile.Close()
	listening := false
	lines := bufio.NewScanner(stdout)
	for lines.Scan() {
		fmt.Fprintln(p.logFile, lines.Text())
		if listening {
			continue
		}
		if values, ok := parseLine(lines.Text(), "route "); ok {
			p.Routes[values["name"]] = values["listen"]
		}
		if _, ok := parseLine(lines.Text(), "listening "); ok {
			listening = true
			p.listeningLine <- lines.Text()
		}
	}
	// The exit status is ignored, since most processes end by a signal.
	_ = p.cmd.Wait()
}

func (p *Process) waitListening(ctx context.Context) error {
	timer := time.NewTimer(startTimeout)
	defer timer.Stop()
	select {
	case line := <-p.listeningLine:
		p.Listening, _ = parseLine(line, "listening ")
		return nil
	case <-p.exited:
		return errors.Newf("%s exited before it listened; the last line of %s: %s", p.Name, p.logFile.Name(), p.lastLine())
	case <-timer.C:
		return errors.Newf("%s did not listen within %v; see %s", p.Name, startTimeout, p.logFile.Name())
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "waiting for %s", p.Name)
	}
}

// lastLine returns the last line of the log file, which usually has the reason for
// an early exit.
func (p *Process) lastLine() string {
	data, err := os.ReadFile(p.logFile.Name())
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	return lines[len(lines)-1]
}

func (p *Process) waitExit(ctx context.Context) {
	select {
	case <-p.exited:
	case <-ctx.Done():
	}
}

// parseLine parses the key=value fields of a line that begins with the prefix.
func parseLine(line, prefix string) (map[string]string, bool) {
	rest, ok := strings.CutPrefix(line, prefix)
	if !ok {
		return nil, false
	}
	values := make(map[string]string)
	for field := range strings.FieldsSeq(rest) {
		key, value, _ := strings.Cut(field, "=")
		values[key] = value
	}
	return values, true
}
