// Package launcher starts the programs of a trial as child processes and ends
// all of them.
//
// One duty starts all processes. It is locked to its thread, and the kernel ends
// each child when that thread ends, so no process outlives the program, even
// when it is killed.
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
	// startLimit bounds the time until a process listens; it is generous, since
	// the machine is shared.
	startLimit = 30 * time.Second
	// stopLimit bounds the time until a process ends by itself after SIGTERM. The
	// nodes of a fleet that ends as a whole cannot hand over their shards and
	// would wait for their whole drain timeout.
	stopLimit = time.Second
)

// Program is a program to start.
type Program struct {
	// Name names the process and its log file.
	Name string
	Path string
	Args []string
}

// Launcher starts processes and ends them.
type Launcher struct {
	// Logs is the folder for the output of the processes.
	Logs string
	// Environment is added to the environment of each process.
	Environment []string

	inbox *ring.Ring[order]
	wg    sync.WaitGroup
	// started is owned by the duty until it has ended.
	started []*Process
}

// order asks the duty to start a process.
type order struct {
	process *Process
	reply   chan error
}

// Run starts the duty.
func (l *Launcher) Run() {
	l.inbox = ring.New[order](inboxCapacity, ring.Wait)
	l.wg.Go(l.run)
}

// Close ends all processes and waits for their end.
func (l *Launcher) Close() {
	l.inbox.Close()
	l.wg.Wait()
}

func (l *Launcher) run() {
	// The thread is not unlocked, so it ends with this goroutine.
	runtime.LockOSThread()
	for {
		o, ok := l.inbox.Pop(context.Background())
		if !ok {
			l.stopAll()
			return
		}
		err := o.process.start()
		if err == nil {
			l.started = append(l.started, o.process)
		}
		o.reply <- err
	}
}

func (l *Launcher) stopAll() {
	for _, p := range l.started {
		p.Signal(syscall.SIGTERM)
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopLimit)
	defer cancel()
	for _, p := range l.started {
		p.waitExit(ctx)
	}
	for _, p := range l.started {
		p.Kill()
	}
}

// Launch starts a process and waits for its listening line.
func (l *Launcher) Launch(ctx context.Context, program Program) (*Process, error) {
	p, err := l.prepare(ctx, program)
	if err != nil {
		return nil, err
	}
	o := order{process: p, reply: make(chan error, 1)}
	if !l.inbox.Push(ctx, o) {
		return nil, errors.New("the launcher is closed")
	}
	if err := <-o.reply; err != nil {
		return nil, errors.Wrapf(err, "starting %s", program.Name)
	}
	return p, p.waitListening(ctx)
}

func (l *Launcher) prepare(ctx context.Context, program Program) (*Process, error) {
	logFile, err := os.OpenFile(filepath.Join(l.Logs, program.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "opening the log of a process")
	}
	// The process has to outlive the context of the call that starts it.
	cmd := exec.CommandContext(context.WithoutCancel(ctx), program.Path, program.Args...)
	cmd.Env = append(os.Environ(), l.Environment...)
	cmd.Stderr = logFile
	// An own process group keeps an interrupt at the terminal from the children,
	// so that they are ended in order.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	return &Process{
		Name: program.Name, cmd: cmd, logFile: logFile,
		line: make(chan string, 1), exited: make(chan struct{}),
	}, nil
}

// SmallHost returns the environment of processes on small hosts: two processors
// each. It also keeps 35 Go programs from taking 10 threads each for their
// scheduling on the shared machine.
func SmallHostEnvironment() []string { return []string{"GOMAXPROCS=2"} }
