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

// Client sends runs and reported results to a recorder and reads them back.
type Client struct {
	// URL is the base URL of the recorder, without a trailing slash.
	URL  string
	HTTP *http.Client
}

// Record stores the state of a run at the recorder.
func (c *Client) Record(ctx context.Context, r core.Run) error {
	return c.post(ctx, runsPath, r)
}

// RecordResults stores results reported to callers at the recorder.
func (c *Client) RecordResults(ctx context.Context, results []core.ReportedResult) error {
	return c.post(ctx, resultsPath, resultsBody{Results: results})
}

// Runs returns all runs that the recorder holds.
func (c *Client) Runs(ctx context.Context) ([]core.Run, error) {
	var body runsBody
	err := c.get(ctx, runsPath, &body)
	return body.Runs, err
}

// ReportedResults returns all reported results that the recorder holds.
func (c *Client) ReportedResults(ctx context.Context) ([]core.ReportedResult, error) {
	var body resultsBody
	err := c.get(ctx, resultsPath, &body)
	return body.Results, err
}

func (c *Client) get(ctx context.Context, path string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.URL+path, http.NoBody)
	if err != nil {
		return errors.Wrap(err, "building a request to the recorder")
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return errors.Wrap(err, "reading from the recorder")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("the recorder answered %s", resp.Status)
	}
	return errors.Wrap(json.NewDecoder(resp.Body).Decode(v), "decoding the answer of the recorder")
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
