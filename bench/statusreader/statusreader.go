// Package statusreader reads the status that a node serves to operators.
//
// # Usage
//
//	r := &statusreader.Reader{Client: client}
//	status, err := r.Read(ctx, "127.0.0.1:7403")
package statusreader

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// Status has the fields of the status that trials use.
type Status struct {
	Sheet struct {
		Version cassiatally.Version `json:"version"`
	} `json:"sheet"`
	DataCentre string          `json:"data_centre"`
	Services   []ServiceStatus `json:"services"`
	Members    []struct {
		Node       string `json:"node"`
		DataCentre string `json:"data_centre"`
	} `json:"members"`
	Local struct {
		Limit    int       `json:"limit"`
		InFlight int       `json:"in_flight"`
		Queued   int       `json:"queued"`
		Levels   []float64 `json:"levels"`
	} `json:"local"`
	Traffic struct {
		ControlSent     uint64 `json:"control_sent_bytes"`
		ControlReceived uint64 `json:"control_received_bytes"`
	} `json:"traffic"`
}

// ServiceStatus counts the endpoints of a service in one data centre.
type ServiceStatus struct {
	Endpoints int `json:"endpoints"`
}

// EndpointCount returns the number of endpoints that the node lists.
func (s Status) EndpointCount() int {
	sum := 0
	for _, service := range s.Services {
		sum += service.Endpoints
	}
	return sum
}

// Reader reads the status of nodes.
type Reader struct {
	Client *http.Client
}

// Read returns the status of the node that serves operators at the address.
func (r *Reader) Read(ctx context.Context, admin cassiatally.Address) (Status, error) {
	var s Status
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(admin)+"/v1/status", http.NoBody)
	if err != nil {
		return s, errors.Wrap(err, "building a request for the status")
	}
	resp, err := r.Client.Do(req)
	if err != nil {
		return s, errors.Wrap(err, "reading the status")
	}
	defer resp.Body.Close()
	return s, errors.Wrap(json.NewDecoder(resp.Body).Decode(&s), "decoding the status")
}
