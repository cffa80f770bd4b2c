package recorder

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/cassiatally/cassiatally/standin/core"
)

// Client sends records to a recorder and reads them back.
type Client struct {
	// URL is the address of the recorder.
	URL  string
	HTTP *http.Client
}

// Record keeps the state of an execution at the recorder.
func (c *Client) Record(ctx context.Context, r core.Run) error {
	return c.post(ctx, "/v1/runs", r)
}

func (c *Client) post(ctx context.Context, path string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encoding a record")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.URL+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "building a request to the recorder")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return errors.Wrap(err, "sending a record")
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode >= http.StatusMultipleChoices {
		return errors.Newf("the recorder answered %s", resp.Status)
	}
	return nil
}
