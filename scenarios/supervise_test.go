package scenarios_test

import (
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// restartDelay prevents a tight loop when a program ends as soon as it starts.
const restartDelay = 200 * time.Millisecond

// supervisor restarts a program each time that it ends.
type supervisor struct {
	stop chan struct{}
	done chan struct{}

	mu sync.Mutex
	// ended counts how often the program has ended.
	ended int
}

// cmdSupervise runs a program and restarts it each time that it ends:
//
//	supervise NAME PROGRAM ARGS...
//	supervise NAME
//
// The second form sets NAME_ended to how often the program has ended so far.
func cmdSupervise(ts *testscript.TestScript, neg bool, args []string) {
	f := fleetOf(ts)
	switch {
	case neg || len(args) == 0:
		ts.Fatalf("usage: supervise NAME [PROGRAM ARGS...]")
	case len(args) == 1:
		s := f.supervisors[args[0]]
		s.mu.Lock()
		defer s.mu.Unlock()
		ts.Setenv(args[0]+"_ended", strconv.Itoa(s.ended))
	default:
		s := &supervisor{stop: make(chan struct{}), done: make(chan struct{})}
		f.supervisors[args[0]] = s
		go s.run(filepath.Join(binaries, args[1]), withListen(ts, args[1], args[2:]))
	}
}

func (s *supervisor) run(program string, args []string) {
	defer close(s.done)
	for {
		cmd := exec.Command(program, args...)
		if err := cmd.Start(); err != nil {
			return
		}
		exited := make(chan struct{})
		go func() {
			_ = cmd.Wait()
			close(exited)
		}()
		select {
		case <-s.stop:
			_ = cmd.Process.Kill()
			<-exited
			return
		case <-exited:
		}
		s.mu.Lock()
		s.ended++
		s.mu.Unlock()
		select {
		case <-s.stop:
			return
		case <-time.After(restartDelay):
		}
	}
}

func (s *supervisor) close() {
	close(s.stop)
	<-s.done
}
