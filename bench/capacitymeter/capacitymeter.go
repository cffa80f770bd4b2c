// Package capacitymeter measures what nodes at rest cost in fleets of several
// sizes, from which docs/CAPACITY.md takes its slopes.
//
// # Usage
//
//	m := &capacitymeter.Meter{Launcher: l, Bin: "bin", Folder: dir, Length: 10 * time.Second}
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
	// services is the number of services that the endpoints are spread over.
	services = 8
	// joinLimit bounds the time until all nodes know each other.
	joinLimit     = 3 * time.Minute
	pollPause     = 200 * time.Millisecond
	announceEvery = time.Second
	requestLimit  = 5 * time.Second
)

// Row is what a node costs in a fleet of a size: means over all nodes, and the
// most of any node.
type Row struct {
	Nodes                  int
	Cores                  float64
	MaxResident            processmeter.Bytes
	SentBytesPerSecond     float64
	ReceivedBytesPerSecond float64
	MaxSentBytesPerSecond  float64
	// Appends counts the records appended to the log since the fleet started.
	Appends int
	// Joined is the time until each node knew all others.
	JoinTime time.Duration
}

// Meter starts fleets of nodes, each with an announced endpoint, and reads them
// at rest.
type Meter struct {
	Launcher *launcher.Launcher
	Bin      string
	Folder   string
	Length   time.Duration
	// DataCentres is the number of data centres that a fleet is spread over.
	DataCentres int

	client http.Client
}

type node struct {
	process *launcher.Process
	admin   cassiatally.Address
	backend string
}

type reading struct {
	usage          processmeter.Usage
	sent, received uint64
}

// Measure starts a fleet, reads it, and ends its nodes.
func (m *Meter) Measure(ctx context.Context, size int) (Row, error) {
	m.client.Timeout = requestLimit
	log, err := m.launch(ctx, fmt.Sprintf("log-%d", size), "cassiatally-standin", "log")
	if err != nil {
		return Row{}, err
	}
	defer log.Kill()
	began := time.Now()
	nodes, err := m.start(ctx, size, log.Listening["address"])
	defer func() {
		for _, n := range nodes {
			n.process.Kill()
		}
	}()
	if err != nil {
		return Row{}, err
	}
	stop := m.announce(ctx, nodes)
	defer stop()
	if err := m.waitJoined(ctx, nodes); err != nil {
		return Row{}, err
	}
	row := Row{Nodes: size, JoinTime: time.Since(began)}
	m.wait(ctx, m.Length)
	if err := m.read(ctx, nodes, &row); err != nil {
		return Row{}, err
	}
	row.Appends, err = m.appends(ctx, log.Listening["address"])
	return row, err
}

func (m *Meter) launch(ctx context.Context, name, program string, args ...string) (*launcher.Process, error) {
	return m.Launcher.Launch(ctx, launcher.Program{Name: name, Path: filepath.Join(m.Bin, program), Args: args})
}

func (m *Meter) start(ctx context.Context, size int, log string) ([]node, error) {
	var nodes []node
	seed := ""
	for i := range size {
		name := fmt.Sprintf("n%d-%d", size, i)
		file := filepath.Join(m.Folder, name+".yaml")
		if err := os.WriteFile(file, []byte(settings(name, m.dataCentre(i), log, seed)), 0o600); err != nil {
			return nodes, errors.Wrap(err, "writing the settings of a node")
		}
		p, err := m.launch(ctx, name, "cassiatally-node", "--settings", file)
		if err != nil {
			return nodes, err
		}
		nodes = append(nodes, node{process: p, admin: cassiatally.Address(p.Listening["admin"]), backend: p.Listening["backend"]})
		if seed == "" {
			seed = p.Listening["links"]
		}
	}
	return nodes, nil
}

func (m *Meter) dataCentre(i int) string { return fmt.Sprintf("dc-%d", i%m.DataCentres) }

func settings(name, dataCentre, log, seed string) string {
	const any = `"127.0.0.1:0"`
	text := fmt.Sprintf("node: {id: %s, data_centre: %s}\nlisten: {callers: %s, backend: %s, links: %s, admin: %s}\nlog: {address: %q}\nlog_level: warn\n",
		name, dataCentre, any, any, any, any, "http://"+log)
	if seed != "" {
		text += fmt.Sprintf("seeds: [%q]\n", seed)
	}
	return text
}

// announce repeats the announcements of all backend servers, which do not exist:
// no request is sent.
func (m *Meter) announce(ctx context.Context, nodes []node) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(announceEvery)
		defer ticker.Stop()
		for ctx.Err() == nil {
			for i, n := range nodes {
				m.announceOne(ctx, i, n)
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

func (m *Meter) announceOne(ctx context.Context, i int, n node) {
	body := fmt.Sprintf(`{"service":"service-%d","address":"127.0.0.1:9","slots":100,"connections":700,"state":"ready"}`, i%services)
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+n.backend+"/v1/announce", bytes.NewBufferString(body))
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
	for deadline := time.Now().Add(joinLimit); time.Now().Before(deadline); m.wait(ctx, pollPause) {
		joined := 0
		for _, n := range nodes {
			if s, err := reader.Read(ctx, n.admin); err == nil && knowsAll(s, sizes) {
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
	return errors.Newf("the %d nodes did not know each other within %v", len(nodes), joinLimit)
}

// knowsAll reports whether a node knows all members of its own data centre and
// some of each other one.
func knowsAll(s statusreader.Status, sizes map[string]int) bool {
	known := make(map[string]int, len(sizes))
	for i := range s.Members {
		known[s.Members[i].DataCentre]++
	}
	return known[s.DataCentre] == sizes[s.DataCentre] && len(known) == len(sizes)
}

func (m *Meter) wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (m *Meter) read(ctx context.Context, nodes []node, row *Row) error {
	before, err := m.readAll(ctx, nodes)
	if err != nil {
		return err
	}
	m.wait(ctx, m.Length)
	after, err := m.readAll(ctx, nodes)
	if err != nil {
		return err
	}
	count := float64(len(nodes))
	for i := range nodes {
		seconds := after[i].usage.At.Sub(before[i].usage.At).Seconds()
		sent := float64(after[i].sent-before[i].sent) / seconds
		row.Cores += after[i].usage.CoresSince(before[i].usage) / count
		row.MaxResident = max(row.MaxResident, after[i].usage.Resident)
		row.SentBytesPerSecond += sent / count
		row.ReceivedBytesPerSecond += float64(after[i].received-before[i].received) / seconds / count
		row.MaxSentBytesPerSecond = max(row.MaxSentBytesPerSecond, sent)
	}
	return nil
}

func (m *Meter) readAll(ctx context.Context, nodes []node) ([]reading, error) {
	reader := &statusreader.Reader{Client: &m.client}
	out := make([]reading, len(nodes))
	for i, n := range nodes {
		s, err := reader.Read(ctx, n.admin)
		if err != nil {
			return nil, err
		}
		usage, err := processmeter.Meter{}.Read(n.process.PID())
		if err != nil {
			return nil, err
		}
		out[i] = reading{usage: usage, sent: s.Traffic.ControlSent, received: s.Traffic.ControlReceived}
	}
	return out, nil
}

func (m *Meter) appends(ctx context.Context, log string) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+log+"/v1/control", nil)
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
