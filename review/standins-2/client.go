package main

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// client stands in for the clients of one machine. It keeps its connections.
type client struct {
	machine *machine
	record  *recorder
	http    *http.Client
}

// request is one client attempt.
type request struct {
	id, host, path, method string
	deadline               time.Duration
	key                    string
	body                   []byte
	// note, if not empty, is the value of a header field of the client's own.
	note string
}

// answer is what the client got; status 0 is a connection that ended without an answer.
type answer struct {
	status    int
	signature string
	took      time.Duration
}

func newClient(m *machine) *client {
	dialer := &net.Dialer{Timeout: time.Second}
	return &client{machine: m, record: m.record, http: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 512, DisableCompression: true,
	}}}
}

// send sends an attempt and waits until its deadline for the answer.
func (c *client) send(r request) answer {
	ctx, cancel := context.WithTimeout(context.Background(), r.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+c.machine.outbound()+r.path, bytes.NewReader(r.body))
	if err != nil {
		return answer{}
	}
	req.Host = r.host
	req.Header.Set("Attempt-Id", r.id)
	req.Header.Set("Deadline-Remaining", strconv.FormatInt(r.deadline.Milliseconds(), 10))
	if r.key != "" {
		req.Header.Set("Authorization", "Token "+r.key)
	}
	if r.note != "" {
		req.Header.Set("X-Note", r.note)
	}
	began := time.Now()
	c.record.note("sent %s at %s", r.id, c.machine.name)
	a := c.exchange(req)
	a.took = time.Since(began)
	c.record.note("answer %s status %d after %d ms", r.id, a.status, a.took.Milliseconds())
	return a
}

func (c *client) exchange(req *http.Request) answer {
	resp, err := c.http.Do(req)
	if err != nil {
		return answer{}
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return answer{}
	}
	return answer{status: resp.StatusCode, signature: resp.Header.Get("Response-Signature")}
}
