package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/standin/answerchecker"
	"github.com/cassiatally/cassiatally/standin/core"
	"github.com/cassiatally/cassiatally/standin/loadplan"
)

type requestBody struct {
	ID   core.RequestID `json:"id"`
	Text string         `json:"text,omitempty"`
	Pad  string         `json:"pad,omitempty"`
}

type keyBody struct {
	Key cassiatally.Key `json:"key"`
}

type outcomeBody struct {
	Outcome string `json:"outcome"`
}

type problemBody struct {
	Type string `json:"type"`
	Kind string `json:"kind"`
}

// send sends one copy of a request.
func (c *Caller) send(ctx context.Context, node string, j Job, key cassiatally.Key, attempt int) copyResult {
	limit := j.Class.Timeout
	if j.Class.Resend.Policy == loadplan.ResendNone {
		limit += answerGrace
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	sleep(ctx, c.Latency)
	req, err := c.request(ctx, node, j, key, attempt)
	if err != nil {
		return copyResult{outcome: core.ReportedNotRun, errorKind: errorUnreachable}
	}
	resp, err := c.Client.Do(req)
	if err != nil {
		return resultWithoutAnswer(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, cassiatally.MaxBodyBytes+1))
	sleep(ctx, c.Latency)
	if ctx.Err() != nil {
		return copyResult{outcome: core.ReportedUnknown, errorKind: errorTimeout}
	}
	return resultOfAnswer(j, resp, body, err)
}

func (c *Caller) request(ctx context.Context, node string, j Job, key cassiatally.Key, attempt int) (*http.Request, error) {
	body, err := encodeBody(j)
	if err != nil {
		return nil, err
	}
	target := node + "/v1/call/" + url.PathEscape(string(j.Class.Service))
	if c.Direct {
		target = node
	}
	target += "/" + url.PathEscape(string(j.Class.Kind))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "building the request")
	}
	// net/http treats a request with an Idempotency-Key header as idempotent and
	// would resend it after a lost connection. Without GetBody it cannot.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(core.HeaderTenant, string(j.Tenant))
	req.Header.Set(core.HeaderTimeout, max(time.Millisecond, j.Class.Timeout-2*c.Latency).String())
	if key != "" {
		req.Header.Set(core.HeaderKey, string(key))
		req.Header.Set(core.HeaderAttempt, strconv.Itoa(attempt))
	}
	return req, nil
}

func encodeBody(j Job) ([]byte, error) {
	fields := requestBody{ID: j.ID, Text: j.Class.Text}
	body, err := json.Marshal(fields)
	if err != nil {
		return nil, errors.Wrap(err, "encoding the request")
	}
	const padField = `,"pad":""`
	missing := j.Class.BodySize - len(body) - len(padField)
	if missing <= 0 {
		return body, nil
	}
	fields.Pad = strings.Repeat("x", missing)
	body, err = json.Marshal(fields)
	return body, errors.Wrap(err, "encoding the request")
}

// resultWithoutAnswer returns the result of a copy that got no answer. Only a failed
// dial proves that the request was not sent.
func resultWithoutAnswer(err error) copyResult {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return copyResult{outcome: core.ReportedNotRun, errorKind: errorUnreachable}
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return copyResult{outcome: core.ReportedUnknown, errorKind: errorTimeout}
	}
	return copyResult{outcome: core.ReportedUnknown, errorKind: errorConnection}
}

func resultOfAnswer(j Job, resp *http.Response, body []byte, errBody error) copyResult {
	r := copyResult{
		outcome:  resp.Header.Get(core.HeaderOutcome),
		status:   resp.StatusCode,
		root:     core.Root(resp.Header.Get(core.HeaderRequest)),
		answered: true,
	}
	if r.outcome == "" {
		r.outcome = core.ReportedUnknown
		if r.status == http.StatusOK {
			r.outcome = core.ReportedRan
		}
	}
	switch {
	case errBody != nil:
		r.fault = core.FaultIncomplete
	case r.status == http.StatusOK:
		check := answerchecker.Checker{ID: j.ID, Service: j.Class.Service, Kind: j.Class.Kind, MinSizeBytes: j.Class.AnswerSize}
		r.fault = check.Check(resp.Header.Get(core.HeaderContentDigest), body)
	default:
		r.errorKind = problemKind(body)
	}
	return r
}

func problemKind(body []byte) string {
	var p problemBody
	if json.Unmarshal(body, &p) != nil {
		return ""
	}
	if p.Kind != "" {
		return p.Kind
	}
	return p.Type[strings.LastIndexAny(p.Type, "/:#")+1:]
}

// mintKey requests a new key from a node.
func (c *Caller) mintKey(ctx context.Context, node string, j Job) (cassiatally.Key, error) {
	ctx, cancel := context.WithTimeout(ctx, j.Class.Timeout)
	defer cancel()
	sleep(ctx, c.Latency)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, node+"/v1/keys", http.NoBody)
	if err != nil {
		return "", errors.Wrap(err, "building the request for a key")
	}
	req.Header.Set(core.HeaderTenant, string(j.Tenant))
	resp, err := c.Client.Do(req)
	if err != nil {
		return "", errors.Wrap(err, "asking for a key")
	}
	defer resp.Body.Close()
	var body keyBody
	err = json.NewDecoder(resp.Body).Decode(&body)
	sleep(ctx, c.Latency)
	if err != nil || body.Key == "" {
		return "", errors.Newf("the node answered %s without a key", resp.Status)
	}
	return body.Key, nil
}

// lookUpOutcome queries the nodes for the outcome of a key until one reports ran or
// not run, or the queries of the class are used up.
func (c *Caller) lookUpOutcome(ctx context.Context, j Job, key cassiatally.Key) string {
	outcome := ""
	for n := range j.Class.Lookups {
		sleep(ctx, lookupPause)
		found, err := c.lookUpOutcomeAt(ctx, c.Nodes[(j.FirstNode+n)%len(c.Nodes)], key)
		if err == nil && found != "" {
			outcome = found
		}
		if outcome == core.ReportedRan || outcome == core.ReportedNotRun {
			break
		}
	}
	return outcome
}

func (c *Caller) lookUpOutcomeAt(ctx context.Context, node string, key cassiatally.Key) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, node+"/v1/keys/"+url.PathEscape(string(key)), http.NoBody)
	if err != nil {
		return "", errors.Wrap(err, "building the query for a key")
	}
	resp, err := c.Client.Do(req)
	if err != nil {
		return "", errors.Wrap(err, "looking a key up")
	}
	defer resp.Body.Close()
	if v := resp.Header.Get(core.HeaderOutcome); v != "" {
		return v, nil
	}
	var body outcomeBody
	err = json.NewDecoder(resp.Body).Decode(&body)
	return body.Outcome, errors.Wrap(err, "decoding the outcome of a key")
}
