// Package capacitymeter measures the resource usage of nodes at rest in fleets of
// several sizes. docs/CAPACITY.md takes its slopes from the results.
//
// # Usage
//
//	m := &capacitymeter.Meter{Launcher: l, Bin: "bin", Folder: dir, Length: 10 * time.Second, DataCentres: 1}
//	row, err := m.Measure(ctx, 32)
package capacitymeter

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassiatally/cassiatally/bench/launcher"
	"github.com/cassiatally/cassiatally/bench/processmeter"
	"github.com/cassiatally/cassiatally/bench/statusreader"
	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	// serviceCount is the number of services that the endpoints are spread over.
	serviceCount = 8
	// joinTimeout bounds the time until all nodes have discovered each other.
	joinTimeout      = 3 * time.Minute
	pollInterval     = 200 * time.Millisecond
	announceInterval = time.Second
	requestTimeout   = 5 * time.Second
)

// Row is the resource usage per node in a fleet of one size. Cores,
// SentBytesPerSecond and ReceivedBytesPerSecond are means over all nodes;
// MaxResident and MaxSentBytesPerSecond are the highest of any node. Sent and
// received bytes are those of control traffic.
type Row struct {
	Nodes                  int
	Cores                  float64
	MaxResident            processmeter.Bytes
	SentBytesPerSecond     float64
	ReceivedBytesPerSecond float64
	MaxSentBytesPerSecond  float64
	// Appends counts the records appended to the log since the fleet started.
	Appends int
	// JoinTime is the time until all nodes had discovered each other.
	JoinTime time.Duration
}

// Meter starts fleets of nodes, each with an announced endpoint, and reads them
// at rest.
type Meter struct {
	Launcher *launcher.Launcher
	Bin      string
	// Folder is where the settings files of the nodes are written.
	Folder string
	// Length is the time that the fleet rests before it is measured, and the time
	// over which it is measured.
	Length time.Duration
	// DataCentres is the number of data centres that a fleet is spread over, at least
	// 1.
	DataCentres int

	client http.Client
}

type node struct {
	process        *launcher.Process
	adminAddress   cassiatally.Address
	backendAddress string
}

type nodeReading struct {
	usage                    processmeter.Usage
	sentBytes, receivedBytes uint64
}

// Measure starts a fleet of the size, reads it, and kills its processes.
func (m *Meter) Measure(ctx context.Context, size int) (Row, error) {
	m.client.Timeout = requestTimeout
	logStandin, err := m.launch(ctx, fmt.Sprintf("log-%d", size), "cassiatally-standin", "log")
	if err != nil {
		return Row{}, err
	}
	defer logStandin.Kill()
	started := time.Now()
	nodes, err := m.startNodes(ctx, size, logStandin.Listening["address"])
	defer func() {
		for _, n := range nodes {
			n.process.Kill()
		}
	}()
	if err != nil {
		return Row{}, err
	}
	stop := m.startAnnouncing(ctx, nodes)
	defer stop()
	if err := m.waitJoined(ctx, nodes); err != nil {
		return Row{}, err
	}
	row := Row{Nodes: size, JoinTime: time.Since(started)}
	m.sleep(ctx, m.Length)
	if err := m.readUsage(ctx, nodes, &row); err != nil {
		return Row{}, err
	}
	row.Appends, err = m.readAppends(ctx, logStandin.Listening["address"])
	return row, err
}

func (m *Meter) launch(ctx context.Context, name, program string, args ...string) (*launcher.Process, error) {
	return m.Launcher.Launch(ctx, launcher.Program{Name: name, Path: filepath.Join(m.Bin, program), Args: args})
}

func (m *Meter) startNodes(ctx context.Context, size int, logAddress string) ([]node, error) {
	var nodes []node
	seed := ""
	for i := range size {
		name := fmt.Sprintf("n%d-%d", size, i)
		file := filepath.Join(m.Folder, name+".yaml")
		if err := os.WriteFile(file, []byte(nodeSettings(name, m.dataCentre(i), logAddress, seed)), 0o600); err != nil {
			return nodes, errors.Wrap(err, "writing the settings of a node")
		}
		p, err := m.launch(ctx, name, "cassiatally-node", "--settings", file)
		if err != nil {
			return nodes, err
		}
		nodes = append(nodes, node{process: p, adminAddress: cassiatally.Address(p.Listening["admin"]), backendAddress: p.Listening["backend"]})
		if seed == "" {
			seed = p.Listening["links"]
		}
	}
	return nodes, nil
}

func (m *Meter) dataCentre(i int) string { return fmt.Sprintf("dc-%d", i%m.DataCentres) }

func nodeSettings(name, dataCentre, logAddress, seed string) string {
	const anyPort = `"127.0.0.1:0"`
	text := fmt.Sprintf("node: {id: %s, data_centre: %s}\nlisten: {callers: %s, backend: %s, links: %s, admin: %s}\nlog: {address: %q}\nlog_level: warn\n",
		name, dataCentre, anyPort, anyPort, anyPort, anyPort, "http://"+logAddress)
	if seed != "" {
		text += fmt.Sprintf("seeds: [%q]\n", seed)
	}
	return text
}

// startAnnouncing announces a backend server to each node every announceInterval
// until stop is called. The backend servers need not exist, since no requests are
// sent.
func (m *Meter) startAnnouncing(ctx context.Context, nodes []node) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(announceInterval)
		defer ticker.Stop()
		for ctx.Err() == nil {
			for i, n := range nodes {
				m.announceBackend(ctx, i, n)
			}
			select {
			case <-ticker.C:
			case <-ctx.Done():
			}
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

func (m *Meter) announceBackend(ctx context.Context, i int, n node) {
	body := fmt.Sprintf(`{"service":"service-%d","address":"127.0.0.1:9","slots":100,"connections":700,"state":"ready"}`, i%serviceCount)
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+n.backendAddress+"/v1/announce", bytes.NewBufferString(body))
	if err != nil {
		return
	}
	if resp, err := m.client.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}

func (m *Meter) waitJoined(ctx context.Context, nodes []node) error {
	reader := &statusreader.Reader{Client: &m.client}
	sizes := make(map[string]int, m.DataCentres)
	for i := range nodes {
		sizes[m.dataCentre(i)]++
	}
	for deadline := time.Now().Add(joinTimeout); time.Now().Before(deadline); m.sleep(ctx, pollInterval) {
		joined := 0
		for _, n := range nodes {
			if s, err := reader.Read(ctx, n.adminAddress); err == nil && listsMembers(s, sizes) {
				joined++
			}
		}
		if joined == len(nodes) {
			return nil
		}
		if err := ctx.Err(); err != nil {
			return err
		}
	}
	return errors.Newf("the %d nodes did not discover each other within %v", len(nodes), joinTimeout)
}

// listsMembers reports whether the status of a node lists all members of its own
// data centre and at least one of each other data centre. The sizes are the numbers
// of members by data centre.
func listsMembers(s statusreader.Status, sizes map[string]int) bool {
	listed := make(map[string]int, len(sizes))
	for i := range s.Members {
		listed[s.Members[i].DataCentre]++
	}
	return listed[s.DataCentre] == sizes[s.DataCentre] && len(listed) == len(sizes)
}

func (m *Meter) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (m *Meter) readUsage(ctx context.Context, nodes []node, row *Row) error {
	before, err := m.readNodes(ctx, nodes)
	if err != nil {
		return err
	}
	m.sleep(ctx, m.Length)
	after, err := m.readNodes(ctx, nodes)
	if err != nil {
		return err
	}
	count := float64(len(nodes))
	for i := range nodes {
		seconds := after[i].usage.At.Sub(before[i].usage.At).Seconds()
		sent := float64(after[i].sentBytes-before[i].sentBytes) / seconds
		row.Cores += after[i].usage.CoresSince(before[i].usage) / count
		row.MaxResident = max(row.MaxResident, after[i].usage.Resident)
		row.SentBytesPerSecond += sent / count
		row.ReceivedBytesPerSecond += float64(after[i].receivedBytes-before[i].receivedBytes) / seconds / count
		row.MaxSentBytesPerSecond = max(row.MaxSentBytesPerSecond, sent)
	}
	return nil
}

func (m *Meter) readNodes(ctx context.Context, nodes []node) ([]nodeReading, error) {
	reader := &statusreader.Reader{Client: &m.client}
	readings := make([]nodeReading, len(nodes))
	for i, n := range nodes {
		s, err := reader.Read(ctx, n.adminAddress)
		if err != nil {
			return nil, err
		}
		usage, err := processmeter.Meter{}.Read(n.process.PID())
		if err != nil {
			return nil, err
		}
		readings[i] = nodeReading{usage: usage, sentBytes: s.Traffic.ControlSent, receivedBytes: s.Traffic.ControlReceived}
	}
	return readings, nil
}

func (m *Meter) readAppends(ctx context.Context, logAddress string) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+logAddress+"/v1/control", nil)
	if err != nil {
		return 0, errors.Wrap(err, "building a request")
	}
	resp, err := m.client.Do(req)
	if err != nil {
		return 0, errors.Wrap(err, "reading the counters of the log")
	}
	defer resp.Body.Close()
	var body struct {
		Counters struct {
			Appends int `json:"appends"`
		} `json:"counters"`
	}
	err = json.NewDecoder(resp.Body).Decode(&body)
	return body.Counters.Appends, errors.Wrap(err, "reading the counters of the log")
}
