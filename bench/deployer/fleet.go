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
	// readyTimeout bounds the time until a started fleet is ready. It is long, since
	// the machine is shared.
	readyTimeout = 60 * time.Second
	pollInterval = 20 * time.Millisecond
)

// Endpoint is a backend server with its node.
type Endpoint struct {
	ID         cassiatally.NodeID
	DataCentre cassiatally.DataCentre
	Service    deployment.Service
	Node       *launcher.Process
	Backend    *launcher.Process
	// CallerURL is the URL for callers, AdminAddress the address for operators.
	CallerURL    string
	AdminAddress cassiatally.Address

	// listenAddress is the address on which the node accepts links,
	// advertisedAddress the one that other nodes connect to.
	listenAddress     cassiatally.Address
	advertisedAddress cassiatally.Address
}

// Alive reports whether the node process of the endpoint runs.
func (e *Endpoint) Alive() bool {
	select {
	case <-e.Node.Exited():
		return false
	default:
		return true
	}
}

// Kill ends the node and the backend server with SIGKILL.
func (e *Endpoint) Kill() {
	e.Node.Kill()
	e.Backend.Kill()
}

// Fleet is a running deployment.
type Fleet struct {
	Deployment deployment.Deployment
	LogAddress cassiatally.Address
	// RecorderURL is empty when there is no recorder.
	RecorderURL string
	Endpoints   []*Endpoint
	Status      *statusreader.Reader
	Client      *http.Client
}

// seedsFor returns the link addresses of the first node of each data centre, but
// for e itself.
func (f *Fleet) seedsFor(e *Endpoint) []string {
	var seeds []string
	seen := make(map[cassiatally.DataCentre]bool)
	for _, other := range f.Endpoints {
		if !seen[other.DataCentre] && other != e {
			seeds = append(seeds, string(other.advertisedAddress))
		}
		seen[other.DataCentre] = true
	}
	return seeds
}

// CallerURLs returns the URLs for callers of all nodes.
func (f *Fleet) CallerURLs() []string {
	urls := make([]string, 0, len(f.Endpoints))
	for _, e := range f.Endpoints {
		urls = append(urls, e.CallerURL)
	}
	return urls
}

// EndpointsOf returns the endpoints of a service.
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
	return f.putJSON(ctx, url, fmt.Sprintf(`{"service_time": %q}`, d))
}

// WaitMembers waits until the status of each node counts all endpoints.
func (f *Fleet) WaitMembers(ctx context.Context) error {
	return f.waitAll(ctx, "list all endpoints", func(ctx context.Context, e *Endpoint) bool {
		s, err := f.Status.Read(ctx, e.AdminAddress)
		return err == nil && s.EndpointCount() == len(f.Endpoints)
	})
}

// WaitSheet waits until the version of the sheet, or a later one, is in force on
// each node.
func (f *Fleet) WaitSheet(ctx context.Context, v cassiatally.Version) error {
	return f.waitAll(ctx, "have the sheet in force", func(ctx context.Context, e *Endpoint) bool {
		s, err := f.Status.Read(ctx, e.AdminAddress)
		return err == nil && s.Sheet.Version >= v
	})
}

// WaitKeys waits until each node has minted an idempotency key.
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

// waitAll waits until the condition has been true once for each endpoint. The
// description of the condition completes the error "waiting for NODE to ...".
func (f *Fleet) waitAll(ctx context.Context, description string, condition func(context.Context, *Endpoint) bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for _, e := range f.Endpoints {
		for !condition(ctx, e) {
			select {
			case <-ctx.Done():
				return errors.Wrapf(ctx.Err(), "waiting for %s to %s", e.ID, description)
			case <-ticker.C:
			}
		}
	}
	return nil
}
