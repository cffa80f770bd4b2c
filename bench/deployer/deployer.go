// Package deployer starts a deployment as real processes on loopback: the log
// stand-in, a recorder if wanted, a fault proxy that delays the links between
// nodes, and a node and a backend server for each endpoint.
//
// # Usage
//
//	d := &deployer.Deployer{Deployment: dep, Launcher: l, Bin: "bin", Control: "adaptive", Folder: dir}
//	fleet, err := d.Deploy(ctx)
//	err = fleet.WaitMembers(ctx)
package deployer

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"github.com/cassiatally/cassiatally/bench/deployment"
	"github.com/cassiatally/cassiatally/bench/launcher"
	"github.com/cassiatally/cassiatally/bench/portreserver"
	"github.com/cassiatally/cassiatally/bench/statusreader"
	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	standinProgram = "cassiatally-standin"
	nodeProgram    = "cassiatally-node"
	// backendQueue bounds the requests that wait within a backend server. It is
	// large, so that a long queue builds up there when nodes do not limit load.
	backendQueue = 1000
	// controlTimeout bounds one control request to a process of the trial.
	controlTimeout = 5 * time.Second
)

// ControlMode is a value of the setting control of the nodes.
type ControlMode string

// The control modes.
const (
	ControlOff      ControlMode = "off"
	ControlFixed    ControlMode = "fixed"
	ControlAdaptive ControlMode = "adaptive"
)

// Deployer starts deployments.
type Deployer struct {
	Deployment deployment.Deployment
	Launcher   *launcher.Launcher
	// Bin is the folder of the programs, NodeBin that of the node program; when it is
	// empty, the node program is taken from Bin.
	Bin     string
	NodeBin string
	Control ControlMode
	// Folder is where the settings files of the nodes are written.
	Folder string
	// WithRecorder adds a recorder that stores all runs.
	WithRecorder bool
	Seed         uint64
}

// nodeSettings is the settings file of a node.
type nodeSettings struct {
	Node      nodeSection       `yaml:"node"`
	Listen    listenSection     `yaml:"listen"`
	Advertise *advertiseSection `yaml:"advertise,omitempty"`
	Seeds     []string          `yaml:"seeds,omitempty"`
	Log       logSection        `yaml:"log"`
	Control   string            `yaml:"control"`
	LogLevel  string            `yaml:"log_level"`
}

type nodeSection struct {
	ID         string `yaml:"id"`
	DataCentre string `yaml:"data_centre"`
}

type listenSection struct {
	Callers string `yaml:"callers"`
	Backend string `yaml:"backend"`
	Links   string `yaml:"links"`
	Admin   string `yaml:"admin"`
}

type advertiseSection struct {
	Links string `yaml:"links"`
}

type logSection struct {
	Address string `yaml:"address"`
	Timeout string `yaml:"timeout"`
}

// Deploy starts all processes.
func (d *Deployer) Deploy(ctx context.Context) (*Fleet, error) {
	client := &http.Client{Timeout: controlTimeout}
	f := &Fleet{Deployment: d.Deployment, Status: &statusreader.Reader{Client: client}, Client: client}
	for _, step := range []func(context.Context, *Fleet) error{d.startLogAndRecorder, d.prepareLinks, d.startNodes, d.startBackends} {
		if err := step(ctx, f); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (d *Deployer) launchStandin(ctx context.Context, name string, args ...string) (*launcher.Process, error) {
	return d.Launcher.Launch(ctx, launcher.Program{Name: name, Path: filepath.Join(d.Bin, standinProgram), Args: args})
}

func (d *Deployer) startLogAndRecorder(ctx context.Context, f *Fleet) error {
	p, err := d.launchStandin(ctx, "log", "log")
	if err != nil {
		return err
	}
	f.LogAddress = cassiatally.Address(p.Listening["address"])
	if !d.WithRecorder {
		return nil
	}
	if p, err = d.launchStandin(ctx, "recorder", "recorder"); err != nil {
		return err
	}
	f.RecorderURL = "http://" + p.Listening["address"]
	return nil
}

// prepareLinks creates the endpoints with their link addresses, and puts a fault
// proxy in front of each link address when links are delayed.
func (d *Deployer) prepareLinks(ctx context.Context, f *Fleet) error {
	// Consecutive endpoints are in different data centres, so that a caller that
	// sends a request again, to the next node, does not stay in a lost data centre.
	for _, s := range d.Deployment.Services {
		for _, dc := range d.Deployment.DataCentres {
			id := cassiatally.NodeID(fmt.Sprintf("%s-%s", s.Name, dc))
			f.Endpoints = append(f.Endpoints, &Endpoint{ID: id, DataCentre: dc, Service: s})
		}
	}
	links, err := portreserver.Reserver{}.Reserve(ctx, len(f.Endpoints))
	if err != nil {
		return err
	}
	args := []string{"faults"}
	for i, e := range f.Endpoints {
		e.listenAddress, e.advertisedAddress = links[i], links[i]
		args = append(args, "--route", fmt.Sprintf("%s=127.0.0.1:0,%s", e.ID, e.listenAddress))
	}
	if d.Deployment.LinkLatency == 0 {
		return nil
	}
	p, err := d.launchStandin(ctx, "faults", args...)
	if err != nil {
		return err
	}
	for _, e := range f.Endpoints {
		e.advertisedAddress = cassiatally.Address(p.Routes[string(e.ID)])
		url := fmt.Sprintf("http://%s/v1/routes/%s", p.Listening["address"], e.ID)
		if err := f.putJSON(ctx, url, fmt.Sprintf(`{"delay": %q}`, d.Deployment.LinkLatency)); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployer) startNodes(ctx context.Context, f *Fleet) error {
	for _, e := range f.Endpoints {
		file, err := d.writeSettings(f, e)
		if err != nil {
			return err
		}
		p, err := d.Launcher.Launch(ctx, launcher.Program{
			Name: "node-" + string(e.ID), Path: filepath.Join(d.nodeBin(), nodeProgram), Args: []string{"--settings", file},
		})
		if err != nil {
			return err
		}
		e.Node = p
		e.CallerURL = "http://" + p.Listening["callers"]
		e.AdminAddress = cassiatally.Address(p.Listening["admin"])
	}
	return nil
}

func (d *Deployer) nodeBin() string {
	if d.NodeBin != "" {
		return d.NodeBin
	}
	return d.Bin
}

func (d *Deployer) writeSettings(f *Fleet, e *Endpoint) (string, error) {
	settings := nodeSettings{
		Node:      nodeSection{ID: string(e.ID), DataCentre: string(e.DataCentre)},
		Listen:    listenSection{Callers: "127.0.0.1:0", Backend: "127.0.0.1:0", Links: string(e.listenAddress), Admin: "127.0.0.1:0"},
		Advertise: &advertiseSection{Links: string(e.advertisedAddress)},
		Seeds:     f.seedsFor(e),
		Log:       logSection{Address: "http://" + string(f.LogAddress), Timeout: controlTimeout.String()},
		Control:   string(d.Control),
		LogLevel:  "warn",
	}
	data, err := yaml.Marshal(settings)
	if err != nil {
		return "", errors.Wrap(err, "encoding the settings of a node")
	}
	file := filepath.Join(d.Folder, string(e.ID)+".yaml")
	return file, errors.Wrap(os.WriteFile(file, data, 0o600), "writing the settings of a node")
}

func (d *Deployer) startBackends(ctx context.Context, f *Fleet) error {
	for i, e := range f.Endpoints {
		s := e.Service
		args := []string{
			"backend", "--service", string(s.Name), "--node", "http://" + e.Node.Listening["backend"],
			"--slots", strconv.Itoa(int(s.Slots)), "--connections", strconv.Itoa(int(s.Connections)),
			"--queue", strconv.Itoa(backendQueue), "--service-time", s.ServiceTime.String(),
			"--seed", strconv.FormatUint(d.Seed+uint64(i), 10),
		}
		if f.RecorderURL != "" {
			args = append(args, "--recorder", f.RecorderURL)
		}
		for _, w := range s.Work {
			args = append(args, "--work", w)
		}
		p, err := d.launchStandin(ctx, "backend-"+string(e.ID), args...)
		if err != nil {
			return err
		}
		e.Backend = p
	}
	return nil
}

func (f *Fleet) putJSON(ctx context.Context, url, body string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewBufferString(body))
	if err != nil {
		return errors.Wrap(err, "building a control request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := f.Client.Do(req)
	if err != nil {
		return errors.Wrap(err, "sending a control request")
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return errors.Newf("%s answered %s", url, resp.Status)
	}
	return nil
}
