// Package backendclient calls the backend server of the node's host over HTTP, as
// docs/http.md describes it.
//
// # Usage
//
//	c := &backendclient.Client{}
//	res := c.Do(ctx, target, call)
package backendclient

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/faultswitch"
	"github.com/cassiatally/cassiatally/cassiatally/headers"
	"github.com/cassiatally/cassiatally/cassiatally/roundtripper"
)

const (
	backendDialTimeout = time.Second
	idleConnTimeout    = 30 * time.Second
	defaultConnections = 256
	maxHeadBytes       = 64 << 10
)

// Client calls backend servers. The zero value is ready for use.
type Client struct {
	mu     sync.Mutex
	target cassiatally.BackendTarget
	http   *http.Client
}

var _ cassiatally.BackendClient = (*Client)(nil)

// clientFor returns the HTTP client for a target. It is reused, with its open
// connections, until the target changes.
func (c *Client) clientFor(t cassiatally.BackendTarget) *http.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.http == nil || c.target != t {
		c.target, c.http = t, newHTTPClient(t)
	}
	return c.http
}

func newHTTPClient(t cassiatally.BackendTarget) *http.Client {
	limit := int(t.Connections)
	if limit <= 0 {
		limit = defaultConnections
	}
	dialer := &net.Dialer{Timeout: backendDialTimeout}
	return &http.Client{Transport: &roundtripper.RoundTripper{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     limit,
		MaxIdleConnsPerHost: limit,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
		// A faulty backend server may send header fields without end.
		MaxResponseHeaderBytes: maxHeadBytes,
	}}}
}

// Do runs a call at the backend server.
func (c *Client) Do(ctx context.Context, t cassiatally.BackendTarget, call cassiatally.Call) cassiatally.RunResult {
	// The transport must not resend a POST when a reused connection turns out to be
	// closed. It does so only for a body that it can replay; the NopCloser keeps GetBody
	// nil.
	body := io.NopCloser(bytes.NewReader(call.Body))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(t.Address)+"/"+string(call.Work), body)
	if err != nil {
		return cassiatally.RunResult{Kind: cassiatally.ResultUnreached, Detail: err.Error()}
	}
	req.ContentLength = int64(len(call.Body))
	setHeaders(req.Header, call)
	resp, err := c.clientFor(t).Do(req)
	if err != nil {
		return failedResult(ctx, err)
	}
	defer resp.Body.Close()
	if !cassiatally.IsFinalStatus(resp.StatusCode) {
		return cassiatally.RunResult{Kind: cassiatally.ResultBroken, Detail: "the backend server sent an invalid status"}
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, cassiatally.MaxBodyBytes+1))
	if err != nil && !faultswitch.Off(faultswitch.AnswerLength) {
		return failedResult(ctx, err)
	}
	return resultOf(resp, data)
}

func setHeaders(h http.Header, call cassiatally.Call) {
	h.Set(headers.Run, call.ID.String())
	h.Set(headers.Root, call.Root.String())
	h.Set(headers.Timeout, call.Remaining.String())
	h.Set(headers.Kind, string(call.Work))
	h.Set(headers.Tenant, string(call.Tenant))
	h.Set(headers.Rank, strconv.Itoa(int(call.Rank)))
	h.Set("Content-Type", "application/octet-stream")
	if call.Key != "" {
		h.Set(headers.Key, string(call.Key))
	}
}

func resultOf(resp *http.Response, data []byte) cassiatally.RunResult {
	if len(data) > cassiatally.MaxBodyBytes {
		return cassiatally.RunResult{Kind: cassiatally.ResultAnswered, Status: http.StatusBadGateway, Detail: "the answer is larger than 1 MiB"}
	}
	if resp.Header.Get(headers.Outcome) == cassiatally.OutcomeNotRun.String() {
		return cassiatally.RunResult{Kind: cassiatally.ResultRefused, Status: resp.StatusCode}
	}
	return cassiatally.RunResult{
		Kind:        cassiatally.ResultAnswered,
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
		Body:        data,
	}
}

func failedResult(ctx context.Context, err error) cassiatally.RunResult {
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial" && ctx.Err() == nil:
		return cassiatally.RunResult{Kind: cassiatally.ResultUnreached, Detail: err.Error()}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return cassiatally.RunResult{Kind: cassiatally.ResultTimedOut, Detail: err.Error()}
	case ctx.Err() != nil:
		return cassiatally.RunResult{Kind: cassiatally.ResultAborted, Detail: err.Error()}
	default:
		return cassiatally.RunResult{Kind: cassiatally.ResultBroken, Detail: err.Error()}
	}
}
