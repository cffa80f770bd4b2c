// Package nodeclient is an HTTP client for nodes, for the requests of callers and
// of operators. docs/http.md describes the requests and answers.
//
// # Usage
//
//	c := nodeclient.Client{HTTP: nodeclient.NewHTTP()}
//	status, raw, err := c.Status(ctx, "127.0.0.1:7403")
//	key, err := c.Mint(ctx, "127.0.0.1:7400")
//	answer, err := c.Call(ctx, "127.0.0.1:7400", nodeclient.Request{Service: "avail-svc", Work: "check"})
//	answer, err = c.Lookup(ctx, "127.0.0.1:7400", key)
//
// An error of Call or Lookup means that no complete answer arrived; errors that the
// node reports are in the Answer. Status and Mint return them as errors.
package nodeclient

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/headers"
	"github.com/cassiatally/cassiatally/cassiatally/roundtripper"
)

// maxStatusBytes bounds the status of a node. A status with 300 members has about
// 70 KiB.
const maxStatusBytes = 16 << 20

// Client sends requests to nodes.
type Client struct {
	HTTP *http.Client
}

// NewHTTP returns a client that sends each request once. On a reused connection,
// net/http itself would repeat a request with an Idempotency-Key under the same
// attempt number, which callers must not do.
func NewHTTP() *http.Client {
	return &http.Client{
		Transport:     &roundtripper.RoundTripper{Transport: &http.Transport{DisableKeepAlives: true}},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Request is a caller's request.
type Request struct {
	Service cassiatally.Service
	Work    cassiatally.WorkKind
	Tenant  cassiatally.Tenant
	Timeout time.Duration
	Key     cassiatally.Key
	// Attempt counts the sends of the key from 1; with 0 its header is left out.
	Attempt int
	Body    []byte
}

// Answer is the answer of a node to a request.
type Answer struct {
	Outcome cassiatally.Outcome
	Status  int
	// Kind is empty when the answer is that of the backend server.
	Kind        string
	Detail      string
	Request     string
	RetryAfter  time.Duration
	ContentType string
	Body        []byte
}

type problem struct {
	Kind   string `json:"kind"`
	Detail string `json:"detail"`
}

type keyBody struct {
	Key cassiatally.Key `json:"key"`
}

// Status returns the status of the node at its address for operators, decoded and
// as the node sent it.
func (c Client) Status(ctx context.Context, admin cassiatally.Address) (Status, json.RawMessage, error) {
	resp, err := c.send(ctx, http.MethodGet, admin, "/v1/status", nil, nil)
	if err != nil {
		return Status{}, nil, errors.Wrap(err, "check that this is listen.admin of a running node")
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxStatusBytes))
	if err != nil {
		return Status{}, nil, errors.Wrapf(err, "read the status of %s", admin)
	}
	var s Status
	if resp.StatusCode != http.StatusOK || json.Unmarshal(raw, &s) != nil {
		return Status{}, nil, cassiatally.NewError(cassiatally.KindProtocol, "%s sent no status (HTTP %d); name listen.admin of the node", admin, resp.StatusCode)
	}
	return s, json.RawMessage(bytes.TrimSpace(raw)), nil
}

// Mint returns a new idempotency key.
func (c Client) Mint(ctx context.Context, callers cassiatally.Address) (cassiatally.Key, error) {
	resp, err := c.send(ctx, http.MethodPost, callers, "/v1/keys", nil, nil)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, cassiatally.MaxBodyBytes))
	if err != nil {
		return "", errors.Wrapf(err, "read the key from %s", callers)
	}
	if resp.StatusCode != http.StatusCreated {
		var p problem
		_ = json.Unmarshal(raw, &p)
		return "", errors.Newf("%s minted no key (HTTP %d): %s: %s", callers, resp.StatusCode, p.Kind, p.Detail)
	}
	var k keyBody
	if json.Unmarshal(raw, &k) != nil {
		return "", cassiatally.NewError(cassiatally.KindProtocol, "%s sent no key; name listen.callers of the node", callers)
	}
	if _, err := cassiatally.ParseKey(k.Key); err != nil {
		return "", errors.Wrapf(err, "the key from %s", callers)
	}
	return k.Key, nil
}

// Call sends a request.
func (c Client) Call(ctx context.Context, callers cassiatally.Address, r Request) (Answer, error) {
	h := http.Header{}
	h.Set(headers.Timeout, r.Timeout.String())
	if r.Tenant != "" {
		h.Set(headers.Tenant, string(r.Tenant))
	}
	if r.Key != "" {
		h.Set(headers.Key, string(r.Key))
	}
	if r.Attempt > 0 {
		h.Set(headers.Attempt, strconv.Itoa(r.Attempt))
	}
	path := "/v1/call/" + url.PathEscape(string(r.Service)) + "/" + url.PathEscape(string(r.Work))
	resp, err := c.send(ctx, http.MethodPost, callers, path, h, r.Body)
	if err != nil {
		return Answer{}, err
	}
	return readAnswer(resp)
}

// Lookup returns the outcome of the request with a key, as the node answers it.
func (c Client) Lookup(ctx context.Context, callers cassiatally.Address, k cassiatally.Key) (Answer, error) {
	resp, err := c.send(ctx, http.MethodGet, callers, "/v1/keys/"+url.PathEscape(string(k)), nil, nil)
	if err != nil {
		return Answer{}, err
	}
	return readAnswer(resp)
}

func (c Client) send(ctx context.Context, method string, to cassiatally.Address, path string, h http.Header, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+string(to)+path, bytes.NewReader(body))
	if err != nil {
		return nil, cassiatally.NewError(cassiatally.KindUsage, "%s is not an address; write it as 10.1.2.3:7400", to)
	}
	for name, values := range h {
		req.Header[name] = values
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return nil, cassiatally.NewError(cassiatally.KindUnreachable, "%v", err)
	}
	return resp, nil
}

// readAnswer returns the answer in a response, or an Error of KindIncompleteAnswer
// when the body is cut off or does not match its digest.
func readAnswer(resp *http.Response) (Answer, error) {
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, cassiatally.MaxBodyBytes+1))
	if err != nil {
		return Answer{}, cassiatally.NewError(cassiatally.KindIncompleteAnswer, "the answer was cut off after %d bytes: %v", len(body), err)
	}
	if got, want := digestHeader(body), resp.Header.Get(headers.Digest); got != want {
		return Answer{}, cassiatally.NewError(cassiatally.KindIncompleteAnswer, "the answer has the digest %s, its header says %q", got, want)
	}
	a := Answer{
		Outcome:     parseOutcome(resp.Header.Get(headers.Outcome)),
		Status:      resp.StatusCode,
		Request:     resp.Header.Get(headers.Request),
		ContentType: resp.Header.Get("Content-Type"),
		Body:        body,
	}
	if s, err := strconv.Atoi(resp.Header.Get(headers.RetryAfter)); err == nil && s > 0 {
		a.RetryAfter = time.Duration(s) * time.Second
	}
	if a.ContentType == "application/problem+json" {
		var p problem
		_ = json.Unmarshal(body, &p)
		a.Kind, a.Detail = p.Kind, p.Detail
	}
	return a, nil
}

func parseOutcome(text string) cassiatally.Outcome {
	for _, o := range []cassiatally.Outcome{cassiatally.OutcomeRan, cassiatally.OutcomeNotRun} {
		if o.String() == text {
			return o
		}
	}
	return cassiatally.OutcomeUnknown
}

func digestHeader(body []byte) string {
	d := cassiatally.DigestOf(body)
	return "sha-256=:" + base64.StdEncoding.EncodeToString(d[:]) + ":"
}
