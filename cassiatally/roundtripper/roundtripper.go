// Package roundtripper sends requests with net/http and checks the statuses and the field
// lines of their answers, of which net/http accepts invalid ones. A request whose answer has
// a malformed field line fails with answerscanner.ErrMalformed, or the read of the body does
// if the line is a trailer. One whose answer has an invalid status fails as well. The
// connection is closed.
//
// # Usage
//
//	client := &http.Client{Transport: &roundtripper.RoundTripper{Transport: &http.Transport{}}}
//	resp, err := client.Do(req)
package roundtripper

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/answerscanner"
)

var errInvalidStatus = errors.New("the answer has an invalid status")

// RoundTripper is an http.RoundTripper for HTTP/1.1 without TLS. Answers over TLS are not
// checked.
type RoundTripper struct {
	// Transport keeps the connections. It is set before the first request, has no other
	// user, and may have a DialContext.
	Transport *http.Transport

	setUp sync.Once
}

var _ http.RoundTripper = (*RoundTripper)(nil)

// RoundTrip implements http.RoundTripper.
func (t *RoundTripper) RoundTrip(r *http.Request) (*http.Response, error) {
	t.setUp.Do(t.wrapDial)
	var used *conn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			used = c
			c.expectsAnswer.Store(true)
		}
	}}
	resp, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	switch {
	case err != nil && used != nil && used.malformed.Load():
		// net/http may describe the error as that of an incomplete line.
		return nil, answerscanner.ErrMalformed
	case err != nil:
		return nil, err
	case !cassiatally.IsFinalStatus(resp.StatusCode) && resp.StatusCode != http.StatusSwitchingProtocols:
		_ = resp.Body.Close()
		return nil, errInvalidStatus
	}
	return resp, nil
}

// CloseIdleConnections closes the connections that no request uses.
func (t *RoundTripper) CloseIdleConnections() { t.Transport.CloseIdleConnections() }

// wrapDial has the bytes of all new connections checked.
func (t *RoundTripper) wrapDial() {
	dial := t.Transport.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.Transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: nc}, nil
	}
}

// conn is a connection whose answers are checked. The goroutine that reads it owns scanner.
type conn struct {
	net.Conn
	// expectsAnswer is set when a request is about to be sent: the next byte that arrives
	// is the first one of its answer.
	expectsAnswer atomic.Bool
	// malformed is set once scanner has found a malformed field line.
	malformed atomic.Bool
	scanner   answerscanner.Scanner
}

// Read receives bytes up to a malformed field line.
func (c *conn) Read(b []byte) (int, error) {
	if err := c.scanner.Err(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	if c.expectsAnswer.Swap(false) {
		c.scanner.Reset()
	}
	if valid, scanErr := c.scanner.Scan(b[:n]); scanErr != nil {
		c.malformed.Store(true)
		return valid, scanErr
	}
	return n, err
}
