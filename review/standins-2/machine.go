package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// deployFile and the files that it names are read as the platform does.
	deployFile   = "deploy/system.toml"
	settingsFile = "deploy/sidecar.yaml"

	memoryMB    = 284
	descriptors = 4100
	heartbeatMs = 1500
	graceS      = 6

	readinessInterval = time.Second
	readinessTimeout  = 900 * time.Millisecond
)

// ports are the same on all machines.
type ports struct{ outbound, ready, control, links, metrics, application int }

// machine is a host with one process of the system and one endpoint.
type machine struct {
	name, zone, service string
	// ip is an address of its own within the loopback range.
	ip    string
	ports ports
	// advertised is the address that other machines connect to.
	advertised string
	storeAt    string
	dir        string
	restarted  bool
	record     *recorder

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	ends    int
	isReady atomic.Bool
	stop    chan struct{}
}

var nextHost atomic.Uint32

// newMachine reserves an address for a machine.
func newMachine(name, zone, service string, p ports) *machine {
	n := nextHost.Add(1)
	return &machine{
		name: name, zone: zone, service: service, ports: p, stop: make(chan struct{}),
		ip: fmt.Sprintf("127.%d.%d.1", 64+os.Getpid()%128, n),
	}
}

// freePorts returns ports that are free at the first addresses of the case.
func freePorts() (ports, error) {
	var found [6]int
	for i := range found {
		l, err := net.Listen("tcp", "0.0.0.0:0")
		if err != nil {
			return ports{}, err
		}
		defer l.Close()
		found[i] = l.Addr().(*net.TCPAddr).Port
	}
	return ports{found[0], found[1], found[2], found[3], found[4], found[5]}, nil
}

func (m *machine) at(port int) string { return net.JoinHostPort(m.ip, strconv.Itoa(port)) }

func (m *machine) application() string { return m.at(m.ports.application) }
func (m *machine) outbound() string    { return m.at(m.ports.outbound) }
func (m *machine) control() string     { return m.at(m.ports.control) }

// writeSettings fills in the template of the repository.
func (m *machine) writeSettings() (string, error) {
	template, err := os.ReadFile(settingsFile)
	if err != nil {
		return "", err
	}
	values := map[string]any{
		"node": m.name, "zone": m.zone, "firstStart": !m.restarted, "service": m.service,
		"ipAddress": m.ip, "internalPortRange.0": m.ports.links,
		"listenAddresses.outbound": m.outbound(), "listenAddresses.ready": m.at(m.ports.ready), "listenAddresses.control": m.control(),
		"application": m.application(), "heartbeatIntervalMs": heartbeatMs, "platform.address": m.storeAt,
		"seeds": []string{}, "bounds.gracePeriodS": graceS, "bounds.retryBudgetRatio": 0.2, "bounds.budgetWindowS": 10,
	}
	text := string(template)
	for name, value := range values {
		encoded, err := json.Marshal(value)
		if err != nil {
			return "", err
		}
		text = strings.ReplaceAll(text, "{{"+name+"|json}}", string(encoded))
		text = strings.ReplaceAll(text, "{{"+name+"}}", fmt.Sprint(value))
	}
	text = strings.ReplaceAll(text, ":9464", ":"+strconv.Itoa(m.ports.metrics))
	if strings.Contains(text, "{{") {
		return "", fmt.Errorf("%s has a placeholder that is not filled in:\n%s", settingsFile, text)
	}
	if m.advertised != "" {
		text += fmt.Sprintf("advertise: {links: %q}\n", m.advertised)
	}
	file := filepath.Join(m.dir, m.name+".yaml")
	return file, os.WriteFile(file, []byte(text), 0o600)
}

// command returns the command of the role in the deploy file.
func command() ([]string, error) {
	text, err := os.ReadFile(deployFile)
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			words, err := strconv.Unquote(value)
			return strings.Fields(words), err
		}
	}
	return nil, fmt.Errorf("%s has no command", deployFile)
}

// startProcess starts the process of the machine.
func (m *machine) startProcess() error {
	words, err := command()
	if err != nil {
		return err
	}
	settings, err := m.writeSettings()
	if err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(m.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + m.dir, "CASSIATALLY_CONFIG=" + settings,
		fmt.Sprintf("CASSIATALLY_MEMORY_MB=%d", memoryMB), fmt.Sprintf("CASSIATALLY_DESCRIPTORS=%d", descriptors),
	}
	cmd.Stdout, cmd.Stderr = output, output
	// The process ends with this one, also when this one is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	m.mu.Lock()
	m.cmd, m.exited, m.restarted = cmd, exited, true
	m.mu.Unlock()
	m.record.note("process %s started", m.name)
	return nil
}

// process returns the process and the channel that is closed at its end.
func (m *machine) process() (*os.Process, chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return nil, nil
	}
	return m.cmd.Process, m.exited
}

// signal sends a signal to the process.
func (m *machine) signal(s syscall.Signal) {
	if p, _ := m.process(); p != nil {
		m.record.note("process %s gets %s", m.name, s)
		_ = p.Signal(s)
	}
}

// kill ends the process and waits for it.
func (m *machine) kill() {
	p, exited := m.process()
	if p == nil {
		return
	}
	_ = p.Kill()
	<-exited
	m.record.note("process %s ended", m.name)
}

// watchReadiness asks the process each second whether clients may use it. Two misses in a
// row take the machine out until the next success.
func (m *machine) watchReadiness() {
	client := &http.Client{Timeout: readinessTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := 0
	for {
		resp, err := client.Get("http://" + m.at(m.ports.ready) + "/readiness")
		if err == nil {
			_ = resp.Body.Close()
		}
		if err == nil && resp.StatusCode == http.StatusOK {
			misses = 0
			m.isReady.Store(true)
		} else if misses++; misses >= 2 {
			m.isReady.Store(false)
		}
		select {
		case <-m.stop:
			return
		case <-time.After(readinessInterval):
		}
	}
}

// anonymousMB returns the anonymous memory of the process in MiB.
func (m *machine) anonymousMB() (float64, bool) {
	p, _ := m.process()
	if p == nil {
		return 0, false
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Pid))
	if err != nil {
		return 0, false
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kib, err := strconv.ParseFloat(strings.Fields(value)[0], 64)
			return kib / 1024, err == nil
		}
	}
	return 0, false
}
