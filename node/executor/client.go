package executor

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/faultswitch"
	"github.com/cassiatally/cassiatally/cassiatally/headers"
	"github.com/cassiatally/cassiatally/cassiatally/runner"
)

const (
	backendDialTimeout = time.Second
	idleConnTimeout    = 30 * time.Second
	defaultConnections = 256
)

// client calls one backend server over HTTP.
type client struct {
	address     cassiatally.Address
	connections cassiatally.Concurrency
	http        *http.Client
}

func newClient(address cassiatally.Address, connections cassiatally.Concurrency) *client {
	limit := int(connections)
	if limit <= 0 {
		limit = defaultConnections
	}
	dialer := &net.Dialer{Timeout: backendDialTimeout}
	return &client{
		address:     address,
		connections: connections,
		http: &http.Client{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxConnsPerHost:     limit,
			MaxIdleConnsPerHost: limit,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,
		}},
	}
}

// do runs a call at the backend server.
func (c *client) do(ctx context.Context, call cassiatally.Call) runner.Result {
	// A POST is not sent again by the transport when a kept connection turns out to
	// be closed, unless the request can be replayed; GetBody stays nil for that.
	body := io.NopCloser(bytes.NewReader(call.Body))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(c.address)+"/"+string(call.Work), body)
	if err != nil {
		return runner.Result{Kind: runner.ResultUnreached, Detail: err.Error()}
	}
	req.ContentLength = int64(len(call.Body))
	setHeaders(req.Header, call)
	resp, err := c.http.Do(req)
	if err != nil {
		return failure(ctx, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, cassiatally.MaxBody+1))
	if err != nil && !faultswitch.Off(faultswitch.AnswerLength) {
		return failure(ctx, err)
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

func resultOf(resp *http.Response, data []byte) runner.Result {
	if len(data) > cassiatally.MaxBody {
		return runner.Result{Kind: runner.ResultAnswered, Status: http.StatusBadGateway, Detail: "the answer is larger than 1 MiB"}
	}
	if resp.Header.Get(headers.Outcome) == cassiatally.OutcomeNotRun.String() {
		return runner.Result{Kind: runner.ResultRefused, Status: resp.StatusCode}
	}
	return runner.Result{
		Kind:        runner.ResultAnswered,
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
		Body:        data,
	}
}

func failure(ctx context.Context, err error) runner.Result {
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial" && ctx.Err() == nil:
		return runner.Result{Kind: runner.ResultUnreached, Detail: err.Error()}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return runner.Result{Kind: runner.ResultTimedOut, Detail: err.Error()}
	case ctx.Err() != nil:
		return runner.Result{Kind: runner.ResultAborted, Detail: err.Error()}
	default:
		return runner.Result{Kind: runner.ResultBroken, Detail: err.Error()}
	}
}
