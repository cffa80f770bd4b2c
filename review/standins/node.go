package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

const (
	programPath  = "target/cassiatally-sidecar"
	templatePath = "deploy/sidecar.yaml"
	gracePeriod  = 6 * time.Second
)

// node is a process of the project's program with its settings.
type node struct {
	Name, Zone, Service string
	IP                  string
	Store               string
	// Advertise is the address of a proxy on the links to the node; empty for none.
	Advertise  string
	FirstStart bool
	Dir        string

	cmd    *exec.Cmd
	exited chan struct{}
}

func (n *node) inbound() string     { return n.IP + ":8300" }
func (n *node) application() string { return n.IP + ":8301" }
func (n *node) ready() string       { return n.IP + ":8302" }
func (n *node) outbound() string    { return n.IP + ":8304" }
func (n *node) control() string     { return n.IP + ":8306" }
func (n *node) links() string       { return n.IP + ":7620" }

// settings returns the fields that the platform passes to the template.
func (n *node) settings() map[string]any {
	return map[string]any{
		"node": n.Name, "zone": n.Zone, "firstStart": n.FirstStart, "ipAddress": n.IP,
		"listenAddresses": map[string]any{
			"inbound": n.inbound(), "outbound": n.outbound(), "ready": n.ready(), "control": n.control(),
		},
		"internalPortRange": []any{7620, 7635},
		"application":       n.application(), "service": n.Service,
		"heartbeatIntervalMs": heartbeatInterval.Milliseconds(),
		"platform":            map[string]any{"address": n.Store},
		"seeds":               []any{},
		"bounds": map[string]any{
			"gracePeriodS": gracePeriod.Seconds(), "retryBudgetRatio": 0.2, "budgetWindowS": 10,
		},
	}
}

var placeholder = regexp.MustCompile(`\{\{([A-Za-z0-9_.]+)(\|json)?\}\}`)

// fillIn returns the template with its placeholders filled in.
func fillIn(template string, fields map[string]any) (string, error) {
	var failed error
	text := placeholder.ReplaceAllStringFunc(template, func(p string) string {
		m := placeholder.FindStringSubmatch(p)
		v, err := lookUp(fields, m[1])
		if err != nil {
			failed = err
			return ""
		}
		if m[2] == "" {
			return fmt.Sprint(v)
		}
		data, err := json.Marshal(v)
		if err != nil {
			failed = err
		}
		return string(data)
	})
	return text, failed
}

func lookUp(fields map[string]any, path string) (any, error) {
	var v any = fields
	for part := range strings.SplitSeq(path, ".") {
		switch t := v.(type) {
		case map[string]any:
			v = t[part]
		case []any:
			v = t[int(part[0]-'0')]
		}
	}
	if v == nil {
		return nil, fmt.Errorf("the template names %s, which has no value", path)
	}
	return v, nil
}

// start writes the settings and starts the process.
func (n *node) start() error {
	template, err := os.ReadFile(templatePath)
	if err != nil {
		return err
	}
	text, err := fillIn(string(template), n.settings())
	if err != nil {
		return err
	}
	if n.Advertise != "" {
		text += fmt.Sprintf("advertise:\n  links: %q\n", n.Advertise)
	}
	file := filepath.Join(n.Dir, n.Name+".yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.Dir, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	n.cmd = exec.Command(programPath)
	n.cmd.Env = append(os.Environ(), "CASSIATALLY_CONFIG="+file)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	// The process ends with this one, whatever ends it.
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	exited, cmd := make(chan struct{}), n.cmd
	n.exited = exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

func (n *node) signal(s syscall.Signal) { _ = n.cmd.Process.Signal(s) }

func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	<-n.exited
}

// isReady asks the node for its readiness as the platform does.
func (n *node) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + n.ready() + "/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

var errNoFreeNetwork = errors.New("no loopback network with free ports")

// freeNetwork returns the first three numbers of a loopback network in which the ports
// of the machines are free.
func freeNetwork(machines int) (string, error) {
	for i := range 100 {
		prefix := fmt.Sprintf("127.%d.%d", 100+(os.Getpid()+i)%100, 1+(os.Getpid()/100+i)%200)
		if portsAreFree(prefix, machines) {
			return prefix, nil
		}
	}
	return "", errNoFreeNetwork
}

func portsAreFree(prefix string, machines int) bool {
	for m := range machines {
		for _, port := range []int{7620, 7720, 8300, 8301, 8302, 8304, 8306, 8309, 9464} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", prefix, m+1, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}
