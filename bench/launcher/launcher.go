// Package launcher starts the programs of a trial as child processes and ends
// all of them.
//
// One duty starts all processes. It is locked to its thread, and the kernel kills
// each child when that thread ends (Pdeathsig), so no process outlives the program,
// even when the program is killed.
//
// # Usage
//
//	l := &launcher.Launcher{Logs: dir, Environment: []string{"GOMAXPROCS=2"}}
//	l.Run()
//	defer l.Close()
//	p, err := l.Launch(ctx, launcher.Program{Name: "log", Path: "bin/cassiatally-standin", Args: []string{"log"}})
//	address := p.Listening["address"]
package launcher

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassiatally/cassiatally/cassiatally/ring"
)

const (
	inboxCapacity = 64
	// startTimeout bounds the time until a process listens. It is long, since the
	// machine is shared.
	startTimeout = 30 * time.Second
	// stopTimeout bounds the time from SIGTERM to SIGKILL. When all nodes of a fleet
	// stop, they cannot hand over their shards and would wait for their whole drain
	// timeout.
	stopTimeout = time.Second
)

// Program is a program to start.
type Program struct {
	// Name names the process and its log file.
	Name string
	Path string
	Args []string
}

// Launcher starts processes and ends all of them on Close.
type Launcher struct {
	// Logs is the folder for the output of the processes.
	Logs string
	// Environment holds KEY=VALUE entries added to the environment of each process.
	Environment []string

	inbox *ring.Ring[startRequest]
	wg    sync.WaitGroup
	// processes is owned by the duty until it has ended.
	processes []*Process
}

// startRequest asks the duty to start a process.
type startRequest struct {
	process *Process
	reply   chan error
}

// Run starts the duty.
func (l *Launcher) Run() {
	l.inbox = ring.New[startRequest](inboxCapacity, ring.Wait)
	l.wg.Go(l.run)
}

// Close ends all processes, with SIGTERM and then SIGKILL, and waits for their end.
func (l *Launcher) Close() {
	l.inbox.Close()
	l.wg.Wait()
}

func (l *Launcher) run() {
	// The thread is not unlocked, so it ends with this goroutine.
	runtime.LockOSThread()
	for {
		r, ok := l.inbox.Pop(context.Background())
		if !ok {
			l.stopAll()
			return
		}
		err := r.process.start()
		if err == nil {
			l.processes = append(l.processes, r.process)
		}
		r.reply <- err
	}
}

func (l *Launcher) stopAll() {
	for _, p := range l.processes {
		p.Signal(syscall.SIGTERM)
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for _, p := range l.processes {
		p.waitExit(ctx)
	}
	for _, p := range l.processes {
		p.Kill()
	}
}

// Launch starts a process and waits until it prints the addresses it listens on.
func (l *Launcher) Launch(ctx context.Context, program Program) (*Process, error) {
	p, err := l.newProcess(ctx, program)
	if err != nil {
		return nil, err
	}
	r := startRequest{process: p, reply: make(chan error, 1)}
	if !l.inbox.Push(ctx, r) {
		return nil, errors.New("the launcher is closed")
	}
	if err := <-r.reply; err != nil {
		return nil, errors.Wrapf(err, "starting %s", program.Name)
	}
	return p, p.waitListening(ctx)
}

func (l *Launcher) newProcess(ctx context.Context, program Program) (*Process, error) {
	logFile, err := os.OpenFile(filepath.Join(l.Logs, program.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "opening the log of a process")
	}
	// The process outlives the context of the call that starts it.
	cmd := exec.CommandContext(context.WithoutCancel(ctx), program.Path, program.Args...)
	cmd.Env = append(os.Environ(), l.Environment...)
	cmd.Stderr = logFile
	// A process group of its own keeps the child from receiving an interrupt of the
	// terminal, so that Close ends the children in order.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	return &Process{
		Name: program.Name, cmd: cmd, logFile: logFile,
		listeningLine: make(chan string, 1), exited: make(chan struct{}),
	}, nil
}

// SmallHostEnvironment returns environment entries that limit each Go process to two
// processors, as on a small host. This also keeps the schedulers of 35 Go programs
// from taking 10 threads each on the shared machine.
func SmallHostEnvironment() []string { return []string{"GOMAXPROCS=2"} }
