// Package childcaller sends the onward calls of a run to the node on the same
// host.
//
// # Usage
//
//	c := &childcaller.Caller{Node: "http://127.0.0.1:7001", Client: client}
//	answer, err := c.Call(ctx, childcaller.Call{Run: token, Number: 1, Service: "avail-svc", Kind: "check", ID: id})
package childcaller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/standin/core"
)

// Call is one onward call. Number counts the onward calls of the run from 1; a
// retry keeps the number.
type Call struct {
	Run     core.RunToken
	Number  int
	Service cassiatally.Service
	Kind    cassiatally.WorkKind
	Tenant  cassiatally.Tenant
	ID      core.RequestID
}

type callBody struct {
	ID core.RequestID `json:"id"`
}

// Caller sends onward calls.
type Caller struct {
	// Node is the base URL of the node's listener for backend servers.
	Node   string
	Client *http.Client
	// Retries is the maximum number of retries of a failed call.
	Retries int
}

// Call sends the call, retries it if it fails, and returns the body of the answer.
// The time until the deadline of ctx is sent as the timeout.
func (c *Caller) Call(ctx context.Context, call Call) (json.RawMessage, error) {
	var answer json.RawMessage
	var err error
	for range c.Retries + 1 {
		answer, err = c.send(ctx, call)
		if err == nil || ctx.Err() != nil {
			break
		}
	}
	return answer, err
}

func (c *Caller) send(ctx context.Context, call Call) (json.RawMessage, error) {
	req, err := c.request(ctx, call)
	if err != nil {
		return nil, err
	}
	resp, err := c.Client.Do(req)
	if err != nil {
		return nil, errors.Wrapf(err, "calling %s/%s", call.Service, call.Kind)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, cassiatally.MaxBodyBytes))
	if err != nil {
		return nil, errors.Wrapf(err, "reading the answer of %s/%s", call.Service, call.Kind)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("%s/%s answered %s", call.Service, call.Kind, resp.Status)
	}
	if !json.Valid(answer) {
		return nil, errors.Newf("the answer of %s/%s is not complete", call.Service, call.Kind)
	}
	return answer, nil
}

func (c *Caller) request(ctx context.Context, call Call) (*http.Request, error) {
	body, err := json.Marshal(callBody{ID: call.ID})
	if err != nil {
		return nil, errors.Wrap(err, "encoding the call")
	}
	url := c.Node + "/v1/call/" + string(call.Service) + "/" + string(call.Kind)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "building the call")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(core.HeaderRun, string(call.Run))
	req.Header.Set(core.HeaderCall, strconv.Itoa(call.Number))
	if call.Tenant != "" {
		req.Header.Set(core.HeaderTenant, string(call.Tenant))
	}
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set(core.HeaderTimeout, time.Until(deadline).String())
	}
	return req, nil
}
