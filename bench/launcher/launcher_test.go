package launcher

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// ignoresSIGTERM is a script that listens and ignores SIGTERM, like a node whose
// drain cannot finish.
const ignoresSIGTERM = `trap "" TERM; echo "route name=a listen=127.0.0.1:1 target=127.0.0.1:2"; echo "listening address=127.0.0.1:3"; while :; do sleep 0.1; done`

func launch(t *testing.T, l *Launcher, name, script string) (*Process, error) {
	t.Helper()
	return l.Launch(t.Context(), Program{Name: name, Path: "/bin/sh", Args: []string{"-c", script}})
}

func running(p *Process) bool { return syscall.Kill(int(p.PID()), 0) == nil }

// TestCloseEndsAllProcesses guards against processes that outlive a trial, and
// against Close waiting for the whole drain timeout of each process after the
// first.
func TestCloseEndsAllProcesses(t *testing.T) {
	is := is.New(t)
	l := &Launcher{Logs: t.TempDir()}
	l.Run()
	first, err := launch(t, l, "first", ignoresSIGTERM)
	is.NoErr(err)
	second, err := launch(t, l, "second", ignoresSIGTERM)
	is.NoErr(err)
	is.Equal(first.Listening["address"], "127.0.0.1:3")
	is.Equal(first.Routes["a"], "127.0.0.1:1")
	is.True(running(first) && running(second))
	l.Close()
	is.True(!running(first) && !running(second))
}

// TestLaunchReportsEarlyExit guards against a trial that waits for a process that
// has ended, and against errors that do not name the log file.
func TestLaunchReportsEarlyExit(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	l := &Launcher{Logs: folder}
	l.Run()
	defer l.Close()
	_, err := launch(t, l, "early", "echo no settings >&2; exit 2")
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "early.log"))
	is.True(strings.Contains(err.Error(), "no settings"))
	logged, err := os.ReadFile(filepath.Join(folder, "early.log"))
	is.NoErr(err)
	is.Equal(string(logged), "no settings\n")
}

// TestCancelledLaunchEndsProcess guards against a process left behind when a signal
// to the program cancels its launch.
func TestCancelledLaunchEndsProcess(t *testing.T) {
	is := is.New(t)
	l := &Launcher{Logs: t.TempDir()}
	l.Run()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	p, err := l.Launch(ctx, Program{Name: "silent", Path: "/bin/sh", Args: []string{"-c", "exec sleep 60"}})
	is.True(err != nil)
	l.Close()
	is.True(!running(p))
}
