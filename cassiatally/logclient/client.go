// Package logclient is the client of the platform's log service over HTTP.
// docs/design.md, section 7, states the interface.
//
// # Usage
//
//	c := &logclient.Client{Address: "127.0.0.1:7400", Timeout: 2 * time.Second}
//	defer c.Close()
//	offset, err := c.Append(ctx, "sheet", record)
//	batch, err := c.Read(ctx, "sheet", 0, 0)
//
// The client never retries an append, because an append whose response was lost
// may have taken effect. Errors are of KindLogUnavailable when the service is
// unreachable or its response violates the interface, KindTooLarge for records
// that the service does not accept, and KindBadRequest for requests that it
// refuses.
package logclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/roundtripper"
)

const (
	// DefaultTimeout bounds a request when Client.Timeout is not set. The wait of a
	// long poll is added to it.
	DefaultTimeout = 5 * time.Second
	// MaxRecordBytes bounds a record.
	MaxRecordBytes = 1 << 20

	// maxRecords is the number of records that a read requests.
	maxRecords = 100
	// minRecords is the minimum that a read requests, when single records fill a
	// response.
	minRecords = 1
	// maxResponseBytes bounds a response: four records of MaxRecordBytes in base64.
	maxResponseBytes = 6 << 20
	// maxHeadBytes bounds the head of a response, which may come without end.
	maxHeadBytes = 64 << 10
	// maxExcerpt bounds what an error quotes from a response, in bytes.
	maxExcerpt = 256
)

// Client sends requests to the log service. Its fields must be set before use; it
// is then safe for concurrent use.
type Client struct {
	// Address is the host and port of the log service.
	Address cassiatally.Address
	// Timeout bounds a request, without the wait of a long poll. The default is
	// DefaultTimeout.
	Timeout time.Duration

	once   sync.Once
	client *http.Client
}

var _ cassiatally.Log = (*Client)(nil)

type appendResponse struct {
	Offset *cassiatally.Offset `json:"offset"`
}

type readBatch struct {
	First   cassiatally.Offset `json:"first"`
	Next    cassiatally.Offset `json:"next"`
	Records []batchRecord      `json:"records"`
}

type batchRecord struct {
	Offset  cassiatally.Offset `json:"offset"`
	Expires string             `json:"expires"`
	Data    []byte             `json:"data"`
}

// Append writes a record and returns its offset. After an error the record may or
// may not have been written.
func (c *Client) Append(ctx context.Context, s cassiatally.Stream, data []byte) (cassiatally.Offset, error) {
	if len(data) > MaxRecordBytes {
		return 0, cassiatally.NewError(cassiatally.KindTooLarge, "the record has %d bytes; the log takes at most %d", len(data), MaxRecordBytes)
	}
	body, err := c.do(ctx, http.MethodPost, c.recordsURL(s, nil), data, c.timeout())
	if err != nil {
		return 0, errors.Wrapf(err, "append to stream %s", s)
	}
	var a appendResponse
	if err := json.Unmarshal(body, &a); err != nil || a.Offset == nil {
		return 0, unavailable("the answer to an append to stream %s has no offset", s)
	}
	return *a.Offset, nil
}

// Read returns records from the offset on and waits up to wait for the first one.
// When the response is too large, it requests fewer records.
func (c *Client) Read(ctx context.Context, s cassiatally.Stream, from cassiatally.Offset, wait time.Duration) (cassiatally.Batch, error) {
	count := maxRecords
	for {
		query := url.Values{
			"from": {strconv.FormatUint(uint64(from), 10)},
			"wait": {wait.String()},
			"max":  {strconv.Itoa(count)},
		}
		body, err := c.do(ctx, http.MethodGet, c.recordsURL(s, query), nil, c.timeout()+wait)
		if errors.Is(err, errResponseTooLarge) && count > minRecords {
			count = max(minRecords, count/10)
			continue
		}
		if err != nil {
			return cassiatally.Batch{}, errors.Wrapf(err, "read stream %s", s)
		}
		return decodeBatch(body, from)
	}
}

func decodeBatch(body []byte, from cassiatally.Offset) (cassiatally.Batch, error) {
	var wire readBatch
	if err := json.Unmarshal(body, &wire); err != nil {
		return cassiatally.Batch{}, unavailable("the answer to a read is malformed: %v", err)
	}
	b := cassiatally.Batch{Oldest: wire.First, Next: wire.Next}
	expected := max(from, wire.First)
	for _, r := range wire.Records {
		expires, err := time.ParseDuration(r.Expires)
		if err != nil {
			return cassiatally.Batch{}, unavailable("the answer to a read has the malformed duration %q", r.Expires)
		}
		if r.Offset < expected || r.Offset >= wire.Next {
			return cassiatally.Batch{}, unavailable("the answer to a read from %d has offset %d out of order", from, r.Offset)
		}
		expected = r.Offset + 1
		b.Records = append(b.Records, cassiatally.LogRecord{Offset: r.Offset, Expires: expires, Data: r.Data})
	}
	return b, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.httpClient().CloseIdleConnections() }

func (c *Client) recordsURL(s cassiatally.Stream, query url.Values) string {
	u := url.URL{
		Scheme:   "http",
		Host:     string(c.Address),
		Path:     fmt.Sprintf("/v1/streams/%s/records", s),
		RawQuery: query.Encode(),
	}
	return u.String()
}

func (c *Client) httpClient() *http.Client {
	c.once.Do(func() {
		c.client = &http.Client{
			// No proxy: addresses are IP addresses of the platform. The transport retries
			// a POST by itself only when nothing of it was written.
			Transport: &roundtripper.RoundTripper{Transport: &http.Transport{MaxResponseHeaderBytes: maxHeadBytes}},
			// A redirected append would be sent twice.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}
	})
	return c.client
}

func (c *Client) timeout() time.Duration {
	if c.Timeout > 0 {
		return c.Timeout
	}
	return DefaultTimeout
}

func (c *Client) do(ctx context.Context, method, target string, data []byte, timeout time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(data))
	if err != nil {
		return nil, cassiatally.NewError(cassiatally.KindBadRequest, "the address %q of the log service is not valid: %v", c.Address, err)
	}
	if method == http.MethodPost {
		req.Header.Set("Content-Type", "application/octet-stream")
	}
	resp, err := c.httpClient().Do(req)
	if err != nil {
		return nil, unavailable("%v; check that the log service runs at %s", err, c.Address)
	}
	defer resp.Body.Close()
	return readResponse(resp)
}

var errResponseTooLarge = errors.New("the answer is too large")

func readResponse(resp *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return nil, unavailable("the response ended early: %v", err)
	}
	if len(body) > maxResponseBytes {
		return nil, errors.Mark(unavailable("the answer exceeds %d bytes", maxResponseBytes), errResponseTooLarge)
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusCreated:
		return body, nil
	case http.StatusRequestEntityTooLarge:
		return nil, cassiatally.NewError(cassiatally.KindTooLarge, "the log service refused the record as too large")
	case http.StatusTooManyRequests:
		return nil, unavailable("appends come too fast; try again after %s s", retryAfter(resp))
	}
	if resp.StatusCode >= http.StatusBadRequest && resp.StatusCode < http.StatusInternalServerError {
		return nil, cassiatally.NewError(cassiatally.KindBadRequest, "the log service answered %s: %s", resp.Status, excerpt(body))
	}
	return nil, unavailable("the log service answered %s: %s", resp.Status, excerpt(body))
}

func retryAfter(resp *http.Response) string {
	if s := resp.Header.Get("Retry-After"); s != "" {
		return s
	}
	return "1"
}

func excerpt(body []byte) string { return strconv.Quote(string(body[:min(len(body), maxExcerpt)])) }

func unavailable(format string, args ...any) *cassiatally.Error {
	return cassiatally.NewError(cassiatally.KindLogUnavailable, format, args...)
}
