package scenarios_test

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// versionWatch polls the version of the sheet in force on nodes.
type versionWatch struct {
	stop chan struct{}
	done sync.WaitGroup

	mu sync.Mutex
	// versions has the versions of each node in the order seen, by its admin address.
	versions map[string][]uint64
	// reversals has the admin address of a node for each time that its version went
	// back.
	reversals []string
	polls     int
}

// cmdWatchVersions polls the sheet version of nodes in the background and records
// each change. More nodes can be added later: watchversions ADMIN-ADDRESS...
func cmdWatchVersions(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) == 0 {
		ts.Fatalf("usage: watchversions ADMIN-ADDRESS...")
	}
	w := fleetOf(ts).versions
	for _, address := range args {
		w.done.Go(func() { w.poll(address) })
	}
}

func newVersionWatch() *versionWatch {
	return &versionWatch{stop: make(chan struct{}), versions: make(map[string][]uint64)}
}

func (w *versionWatch) poll(address string) {
	for {
		if version, ok := sheetVersion(address); ok {
			w.record(address, version)
		}
		select {
		case <-w.stop:
			return
		case <-time.After(pollInterval):
		}
	}
}

func sheetVersion(address string) (uint64, bool) {
	body, err := fetch("http://" + address + "/v1/status")
	if err != nil {
		return 0, false
	}
	var status struct {
		Sheet struct {
			Version uint64 `json:"version"`
		} `json:"sheet"`
	}
	return status.Sheet.Version, json.Unmarshal(body, &status) == nil
}

func (w *versionWatch) record(address string, version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.polls++
	list := w.versions[address]
	if len(list) > 0 && list[len(list)-1] == version {
		return
	}
	if len(list) > 0 && version < list[len(list)-1] {
		w.reversals = append(w.reversals, address)
	}
	w.versions[address] = append(list, version)
}

func (w *versionWatch) close() {
	select {
	case <-w.stop:
	default:
		close(w.stop)
	}
	w.done.Wait()
}

// cmdCheckVersions ends the polling and fails when the version of a node went back:
// checkversions.
func cmdCheckVersions(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 0 {
		ts.Fatalf("usage: checkversions")
	}
	w := fleetOf(ts).versions
	w.close()
	ts.Logf("versions in the order seen, %d polls: %v", w.polls, w.versions)
	if len(w.reversals) > 0 {
		ts.Fatalf("the version went back on %v", w.reversals)
	}
}
