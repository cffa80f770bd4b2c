package deployer

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassiatally/cassiatally/bench/deployment"
	"github.com/cassiatally/cassiatally/bench/launcher"
	"github.com/cassiatally/cassiatally/bench/statusreader"
	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	// readyLimit bounds the time until a started fleet is ready; it is generous,
	// since the machine is shared.
	readyLimit = 60 * time.Second
	pollPause  = 20 * time.Millisecond
)

// Endpoint is a backend server with its node.
type Endpoint struct {
	ID         cassiatally.NodeID
	DataCentre cassiatally.DataCentre
	Service    deployment.Service
	Node       *launcher.Process
	Backend    *launcher.Process
	// Callers is the URL for callers, Admin the address for operators.
	CallerURL    string
	AdminAddress cassiatally.Address

	// listen is the address of the node for links, advertise the one that others
	// use.
	listen    cassiatally.Address
	advertise cassiatally.Address
}

// Alive reports whether the node of the endpoint runs.
func (e *Endpoint) Alive() bool {
	select {
	case <-e.Node.Exited():
		return false
	default:
		return true
	}
}

// Kill ends node and backend server at once.
func (e *Endpoint) Kill() {
	e.Node.Kill()
	e.Backend.Kill()
}

// Fleet is a deployment that runs.
type Fleet struct {
	Deployment deployment.Deployment
	LogAddress cassiatally.Address
	// Recorder is the URL of the recorder; empty for none.
	RecorderURL string
	Endpoints   []*Endpoint
	Status      *statusreader.Reader
	Client      *http.Client
}

// seeds returns the links of the first node of each data centre but e itself.
func (f *Fleet) seeds(e *Endpoint) []string {
	var seeds []string
	seen := make(map[cassiatally.DataCentre]bool)
	for _, other := range f.Endpoints {
		if !seen[other.DataCentre] && other != e {
			seeds = append(seeds, string(other.advertise))
		}
		seen[other.DataCentre] = true
	}
	return seeds
}

// Callers returns the URLs of all nodes for callers.
func (f *Fleet) CallerURLs() []string {
	urls := make([]string, 0, len(f.Endpoints))
	for _, e := range f.Endpoints {
		urls = append(urls, e.CallerURL)
	}
	return urls
}

// Of returns the endpoints of a service.
func (f *Fleet) EndpointsOf(s cassiatally.Service) []*Endpoint {
	var found []*Endpoint
	for _, e := range f.Endpoints {
		if e.Service.Name == s {
			found = append(found, e)
		}
	}
	return found
}

// SetServiceTime changes the service time of a backend server.
func (f *Fleet) SetServiceTime(ctx context.Context, e *Endpoint, d time.Duration) error {
	url := "http://" + e.Backend.Listening["address"] + "/control"
	return f.put(ctx, url, fmt.Sprintf(`{"service_time": %q}`, d))
}

// WaitMembers waits until each node knows all endpoints.
func (f *Fleet) WaitMembers(ctx context.Context) error {
	return f.waitAll(ctx, "know all endpoints", func(ctx context.Context, e *Endpoint) bool {
		s, err := f.Status.Read(ctx, e.AdminAddress)
		return err == nil && s.EndpointCount() == len(f.Endpoints)
	})
}

// WaitSheet waits until a version of the sheet is in force on each node.
func (f *Fleet) WaitSheet(ctx context.Context, v cassiatally.Version) error {
	return f.waitAll(ctx, "have the sheet in force", func(ctx context.Context, e *Endpoint) bool {
		s, err := f.Status.Read(ctx, e.AdminAddress)
		return err == nil && s.Sheet.Version >= v
	})
}

// WaitKeys waits until each node mints keys.
func (f *Fleet) WaitKeys(ctx context.Context) error {
	return f.waitAll(ctx, "mint keys", func(ctx context.Context, e *Endpoint) bool {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.CallerURL+"/v1/keys", http.NoBody)
		if err != nil {
			return false
		}
		resp, err := f.Client.Do(req)
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusCreated
	})
}

// waitAll waits until the condition has been true once for each endpoint.
func (f *Fleet) waitAll(ctx context.Context, what string, isTrue func(context.Context, *Endpoint) bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	ticker := time.NewTicker(pollPause)
	defer ticker.Stop()
	for _, e := range f.Endpoints {
		for !isTrue(ctx, e) {
			select {
			case <-ctx.Done():
				return errors.Wrapf(ctx.Err(), "waiting for %s to %s", e.ID, what)
			case <-ticker.C:
			}
		}
	}
	return nil
}
