package scenarios_test

import (
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// restartPause keeps a program that ends at once from being started in a tight
// loop.
const restartPause = 200 * time.Millisecond

// keeper starts a program again each time that it ends.
type keeper struct {
	stop chan struct{}
	done chan struct{}

	mu    sync.Mutex
	ended int
}

// cmdKeep runs a program and starts it again each time that it ends:
//
//	keep NAME PROGRAM ARGS...
//	keep NAME
//
// The second form sets NAME_ended to the number of ends so far.
func cmdKeep(ts *testscript.TestScript, neg bool, args []string) {
	f := fleetOf(ts)
	switch {
	case neg || len(args) == 0:
		ts.Fatalf("usage: keep NAME [PROGRAM ARGS...]")
	case len(args) == 1:
		k := f.keepers[args[0]]
		k.mu.Lock()
		defer k.mu.Unlock()
		ts.Setenv(args[0]+"_ended", strconv.Itoa(k.ended))
	default:
		k := &keeper{stop: make(chan struct{}), done: make(chan struct{})}
		f.keepers[args[0]] = k
		go k.run(filepath.Join(binaries, args[1]), args[2:])
	}
}

func (k *keeper) run(program string, args []string) {
	defer close(k.done)
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
		case <-k.stop:
			_ = cmd.Process.Kill()
			<-exited
			return
		case <-exited:
		}
		k.mu.Lock()
		k.ended++
		k.mu.Unlock()
		select {
		case <-k.stop:
			return
		case <-time.After(restartPause):
		}
	}
}

func (k *keeper) close() {
	close(k.stop)
	<-k.done
}
