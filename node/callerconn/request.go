package callerconn

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	// maxHeadBytes bounds the request line and the header fields, and maxHeadLines their
	// number. Configurations allow heads of 16 KiB, which have at most 5,461 lines.
	maxHeadBytes = 68 << 10
	maxHeadLines = 5500
	// mediumHeadBytes is the buffer of heads that exceed the usual buffer. It holds the
	// heads that configurations allow.
	mediumHeadBytes = 20 << 10
	// maxEmptyBytes bounds the empty lines before a request. Some clients send one after a
	// body.
	maxEmptyBytes = 4
	// requestBytes is charged for each request: its buffer, and its head once parsed.
	requestBytes cassiatally.ByteCount = 8 << 10
	// usualHeadLines is the number of fields that requestBytes covers. Each further one is
	// charged with fieldBytes, and the bytes of a longer head twice: as text and as values.
	usualHeadLines                       = 32
	fieldBytes     cassiatally.ByteCount = 160
)

// The reasons for which a request is refused.
var (
	errDropped = errors.New("the request is not answered")
	errNoRoom  = errors.New("no memory for the request")
	errTooLong = errors.New("the body is longer than allowed")
	errBody    = errors.New("the body cannot be read")
)

// head is a complete head in the buffer.
type head struct{ bytes, lines int }

// readRequest reads a request whose first byte is there, and has it answered. It returns
// false when no other request may be read after it.
func (c *conn) readRequest() bool {
	c.empty = 0
	if !c.server.begin(c, requestBytes) {
		c.refuse(&exchange{}, http.StatusServiceUnavailable)
		return false
	}
	ex := &exchange{held: requestBytes}
	status, err := c.receive(ex)
	c.body = false
	c.server.end(c)
	switch {
	case err != nil:
		c.drop(ex)
		if !errors.Is(err, errDropped) {
			c.readFailed(err)
		}
		return false
	case status != 0:
		c.refuse(ex, status)
		return false
	}
	return c.start(ex)
}

// drop forgets a request that was not read as a whole or must not be run.
func (c *conn) drop(ex *exchange) {
	c.server.release(c, ex.held, false)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	c.updateBusy()
}

// receive reads a request. It returns the status with which the request is refused, or 0.
func (c *conn) receive(ex *exchange) (status int, err error) {
	h, status, err := c.readHead()
	if err != nil || status != 0 {
		return status, err
	}
	if extra := headCost(h); extra > 0 {
		if !c.server.hold(c, extra) {
			return http.StatusServiceUnavailable, nil
		}
		ex.held += extra
	}
	before := c.reader.Buffered()
	req, err := http.ReadRequest(c.reader.Reader)
	if err != nil || before-c.reader.Buffered() != h.bytes {
		return parseStatus(err), nil
	}
	ex.request.Request = req
	if status := checkRequest(req); status != 0 {
		return status, nil
	}
	if !c.repeatableNow(ex, req) && !c.awaitEmpty() {
		return 0, errDropped
	}
	return c.receiveBody(ex, req)
}

// repeatableNow reports whether no request is being answered or the new one may run
// beside them.
func (c *conn) repeatableNow(ex *exchange, req *http.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == 0 {
		return true
	}
	ex.checked, ex.repeatable = true, c.repeatable(req)
	return ex.repeatable
}

// headCost is what a head is charged beyond requestBytes.
func headCost(h head) cassiatally.ByteCount {
	if h.lines <= usualHeadLines && h.bytes <= readBufferBytes {
		return 0
	}
	return 2*cassiatally.ByteCount(h.bytes) + fieldBytes*cassiatally.ByteCount(h.lines)
}

// readHead receives bytes until the buffer has a complete head. Nothing is parsed before.
func (c *conn) readHead() (h head, status int, err error) {
	deadline := false
	lineStart := 0
	for {
		received, _ := c.reader.Peek(c.reader.Buffered())
		for {
			end := bytes.IndexByte(received[lineStart:], '\n')
			if end < 0 {
				break
			}
			line := received[lineStart : lineStart+end]
			lineStart += end + 1
			if len(line) == 0 || len(line) == 1 && line[0] == '\r' {
				h.bytes = lineStart
				return h, 0, nil
			}
			if h.lines++; h.lines > maxHeadLines {
				return h, http.StatusRequestHeaderFieldsTooLarge, nil
			}
		}
		if !deadline {
			deadline = true
			c.setReadDeadline(c.server.HeaderTimeout)
		}
		if len(received) == c.reader.Size() {
			if status := c.growReader(); status != 0 {
				return h, status, nil
			}
		}
		if _, err := c.reader.Peek(len(received) + 1); err != nil {
			return h, 0, err
		}
	}
}

// skipEmptyLines discards empty lines that precede a request, as far as they are allowed.
// What is beyond that is an empty head, which is refused.
func (c *conn) skipEmptyLines() {
	received, _ := c.reader.Peek(min(c.reader.Buffered(), maxEmptyBytes-c.empty))
	n := 0
	for n < len(received) && (received[n] == '\r' || received[n] == '\n') {
		n++
	}
	_, _ = c.reader.Discard(n)
	c.empty += n
}

// growReader makes room for a longer head.
func (c *conn) growReader() (status int) {
	size := mediumHeadBytes
	switch c.reader.Size() {
	case mediumHeadBytes:
		size = maxHeadBytes
	case maxHeadBytes:
		return http.StatusRequestHeaderFieldsTooLarge
	}
	extra := cassiatally.ByteCount(size) - readBufferBytes - c.grown
	if !c.server.hold(c, extra) {
		return http.StatusServiceUnavailable
	}
	c.grown += extra
	c.reader = c.reader.grow(size)
	return 0
}

// parseStatus is the status with which a head that cannot be parsed is refused.
func parseStatus(err error) int {
	// net/http does not export the type of this error.
	if err != nil && strings.HasPrefix(err.Error(), "unsupported transfer encoding") {
		return http.StatusNotImplemented
	}
	return http.StatusBadRequest
}

// checkRequest makes the checks that net/http leaves to its server. It returns the status
// with which the request is refused, or 0.
func checkRequest(r *http.Request) int {
	if r.ProtoMajor != 1 {
		return http.StatusHTTPVersionNotSupported
	}
	if r.Host == "" && r.ProtoAtLeast(1, 1) && r.Method != http.MethodConnect || !httpguts.ValidHostHeader(r.Host) {
		return http.StatusBadRequest
	}
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return http.StatusBadRequest
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return http.StatusBadRequest
			}
		}
	}
	if expect := r.Header["Expect"]; len(expect) > 0 && !expectsContinue(r) {
		return http.StatusExpectationFailed
	}
	return 0
}

func expectsContinue(r *http.Request) bool {
	return httpguts.HeaderValuesContainsToken(r.Header["Expect"], "100-continue")
}

// receiveBody reads the body of a request.
func (c *conn) receiveBody(ex *exchange, r *http.Request) (status int, err error) {
	if r.ContentLength == 0 {
		return 0, nil
	}
	if r.ContentLength > cassiatally.MaxBodyBytes {
		// The configuration may allow this size, so the request may be valid. It has not
		// run.
		return http.StatusServiceUnavailable, nil
	}
	if expectsContinue(r) && r.ProtoAtLeast(1, 1) {
		if _, err := io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return 0, err
		}
	}
	c.body = true
	_ = c.nc.SetReadDeadline(time.Time{})
	ex.request.Content, err = c.readBody(ex, r)
	switch {
	case errors.Is(err, errTooLong), errors.Is(err, errNoRoom):
		return http.StatusServiceUnavailable, nil
	case errors.Is(err, errBody):
		return http.StatusBadRequest, nil
	}
	return 0, err
}

// readBody reads a body whose length is known, or not (-1).
func (c *conn) readBody(ex *exchange, r *http.Request) (body []byte, err error) {
	defer func() {
		if err != nil {
			returnBodyBuffer(body)
			body = nil
		}
	}()
	limit := cassiatally.MaxBodyBytes + 1
	if r.ContentLength > 0 {
		limit = int(r.ContentLength)
	}
	for {
		if len(body) == limit {
			if r.ContentLength > 0 {
				return body, nil
			}
			return body, errTooLong
		}
		if len(body) == cap(body) {
			if body, err = c.growBody(ex, body, limit); err != nil {
				return body, err
			}
		}
		n, err := r.Body.Read(body[len(body):min(cap(body), limit)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF) && len(body) > cassiatally.MaxBodyBytes:
			return body, errTooLong
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return body, errors.Mark(err, errBody)
		}
	}
}

// growBody moves a body to the next larger buffer, which has the size of the body if no
// other one has to follow.
func (c *conn) growBody(ex *exchange, body []byte, limit int) ([]byte, error) {
	size := nextBodySize(cap(body))
	exact := size > limit && limit != cassiatally.MaxBodyBytes
	if size > limit {
		size = limit
	}
	extra := cassiatally.ByteCount(size - cap(body))
	if !c.server.hold(c, extra) {
		return body, errNoRoom
	}
	ex.held += extra
	var larger []byte
	if exact {
		larger = make([]byte, 0, size)
	} else {
		larger = takeBodyBuffer(size)
	}
	larger = append(larger, body...)
	returnBodyBuffer(body)
	return larger, nil
}
