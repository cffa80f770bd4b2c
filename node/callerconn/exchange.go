package callerconn

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	// heldAnswerBytes is the size from which answers are charged to the account. A
	// shorter one is usually taken by the kernel at once.
	heldAnswerBytes = 4 << 10
	// writeBytes is what is written of an answer at a time.
	writeBytes = 64 << 10
	// headBufferBytes is the usual size of the head of an answer.
	headBufferBytes = 1 << 10
)

// exchange is a request and its answer.
type exchange struct {
	request Request
	// held and answerHeld are charged to the account.
	held, answerHeld cassiatally.ByteCount
	// checked is set when repeatable is known.
	checked, repeatable bool
	// closes is set when the connection ends after the answer.
	closes bool
	done   bool
	answer Response
}

// start queues a request and has it answered. It returns false when no request may be
// read after it.
func (c *conn) start(ex *exchange) bool {
	closes := ex.request.Close
	ex.closes = closes
	if !c.enqueue(ex) {
		c.server.release(c, ex.held, false)
		return false
	}
	c.handlers.Add(1)
	go c.serve(ex)
	return !closes
}

// enqueue adds a request to the queue. It returns false when an answer before it closes
// the connection.
func (c *conn) enqueue(ex *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	queued := !c.last
	if queued {
		c.queue = append(c.queue, ex)
		c.last = ex.closes
	}
	c.updateBusy()
	return queued
}

// refuse answers a request that was not read as a whole, and closes the connection.
func (c *conn) refuse(ex *exchange, status int) {
	ex.closes = true
	if !c.enqueue(ex) {
		c.server.release(c, ex.held, false)
		return
	}
	c.deliver(ex, Response{Status: status})
}

// serve runs a request and delivers its answer. A panic ends the connection.
func (c *conn) serve(ex *exchange) {
	defer c.handlers.Done()
	answer, ok := c.call(ex)
	if !ok {
		c.abort()
		return
	}
	c.deliver(ex, answer)
}

// call returns the answer of Serve, and false if Serve panicked.
func (c *conn) call(ex *exchange) (answer Response, ok bool) {
	defer c.server.Recoverer.Recover()
	return c.server.Serve(c.ctx, ex.request), true
}

// deliver writes an answer once all before it are written, and those behind it that are
// ready.
func (c *conn) deliver(ex *exchange, answer Response) {
	if n := len(answer.Body); n > heldAnswerBytes {
		ex.answerHeld = cassiatally.ByteCount(n)
		c.server.holdAnswer(c, ex.answerHeld)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	ex.answer, ex.done = answer, true
	if c.writing {
		return
	}
	c.writing = true
	for len(c.queue) > 0 && c.queue[0].done {
		c.writeFirst()
	}
	c.writing = false
}

// writeFirst writes the answer to the first request of the queue. The caller holds mu.
func (c *conn) writeFirst() {
	ex := c.queue[0]
	if len(c.queue) == 1 && (c.last || c.server.leaving.Load()) {
		ex.closes, c.last = true, true
	}
	c.mu.Unlock()
	err := c.write(ex)
	if ex.answerHeld > 0 {
		c.server.release(c, ex.answerHeld, true)
	}
	c.server.release(c, ex.held, false)
	if err != nil {
		c.abort()
	}
	c.mu.Lock()
	c.queue[0] = nil
	if c.queue = c.queue[1:]; len(c.queue) == 0 {
		c.queue = nil
	}
	if c.server.draining.Load() {
		c.endIfIdle()
	}
	switch {
	case c.watching, (c.last || c.ending) && len(c.queue) == 0:
		_ = c.nc.SetReadDeadline(longAgo)
	case c.waiting && len(c.queue) == 0:
		_ = c.nc.SetReadDeadline(time.Now().Add(c.server.IdleTimeout))
	}
	c.updateBusy()
}

var headBuffers = sync.Pool{New: func() any {
	b := make([]byte, 0, headBufferBytes)
	return &b
}}

// write sends an answer. Short ones are sent in one system call.
func (c *conn) write(ex *exchange) error {
	buffer := headBuffers.Get().(*[]byte)
	b := appendHead((*buffer)[:0], ex)
	body := ex.answer.Body
	if !hasBody(ex) {
		body = nil
	}
	if len(b)+len(body) <= cap(b) {
		b, body = append(b, body...), nil
	}
	var err error
	if ex.answerHeld > 0 {
		err = c.writeParts(b, body)
	} else {
		err = c.writeShort(ex, b, body)
	}
	if cap(b) <= readBufferBytes {
		*buffer = b
		headBuffers.Put(buffer)
	}
	return err
}

// writeShort writes an answer that is charged only if the kernel does not take it at once.
// Its connection may then be closed for others.
func (c *conn) writeShort(ex *exchange, head, body []byte) error {
	n, err := c.writeNow(head, body)
	if err != nil || n == len(head)+len(body) {
		return err
	}
	ex.answerHeld = cassiatally.ByteCount(len(head) + len(body) - n)
	c.server.holdAnswer(c, ex.answerHeld)
	sent := min(n, len(head))
	return c.writeParts(head[sent:], body[n-sent:])
}

// writeNow writes what the kernel takes without waiting, which may be nothing.
func (c *conn) writeNow(parts ...[]byte) (n int, err error) {
	failed := c.raw.Write(func(fd uintptr) bool {
		n, err = unix.Writev(int(fd), parts)
		return true
	})
	switch {
	case failed != nil:
		return 0, failed
	case err == unix.EAGAIN, err == unix.EINTR:
		return 0, nil
	}
	return max(n, 0), err
}

// writeParts writes an answer in parts and records the progress of the client after each.
func (c *conn) writeParts(head, body []byte) error {
	first := body[:min(len(body), writeBytes)]
	parts := net.Buffers{head, first}
	if _, err := parts.WriteTo(c.nc); err != nil {
		return err
	}
	for body = body[len(first):]; len(body) > 0; {
		n, err := c.nc.Write(body[:min(len(body), writeBytes)])
		if err != nil {
			return err
		}
		c.server.progress(c, n)
		body = body[n:]
	}
	return nil
}

// hasBody reports whether the answer to a request may have a body.
func hasBody(ex *exchange) bool {
	r, status := ex.request.Request, ex.answer.Status
	return status != http.StatusNoContent && status != http.StatusNotModified && (r == nil || r.Method != http.MethodHead)
}

// framingFields are set by this package.
var framingFields = map[string]bool{"Content-Length": true, "Transfer-Encoding": true, "Connection": true, "Date": true}

// appendHead appends the head of an answer.
func appendHead(b []byte, ex *exchange) []byte {
	r := ex.request.Request
	http10 := r != nil && !r.ProtoAtLeast(1, 1)
	if http10 {
		b = append(b, "HTTP/1.0 "...)
	} else {
		b = append(b, "HTTP/1.1 "...)
	}
	b = strconv.AppendInt(b, int64(ex.answer.Status), 10)
	b = append(b, ' ')
	if text := http.StatusText(ex.answer.Status); text != "" {
		b = append(b, text...)
	} else {
		b = append(b, "status code "...)
		b = strconv.AppendInt(b, int64(ex.answer.Status), 10)
	}
	b = append(b, "\r\n"...)
	for _, f := range ex.answer.Fields {
		if !framingFields[f.Name] {
			b = appendField(b, f.Name, f.Value)
		}
	}
	b = append(b, "Date: "...)
	b = time.Now().UTC().AppendFormat(b, http.TimeFormat)
	if hasBody(ex) {
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(ex.answer.Body)), 10)
	}
	switch {
	case ex.closes:
		b = append(b, "\r\nConnection: close"...)
	case http10:
		b = append(b, "\r\nConnection: keep-alive"...)
	}
	return append(b, "\r\n\r\n"...)
}

// appendField appends a header field. Line breaks in its value would end it.
func appendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	if strings.ContainsAny(value, "\r\n") {
		value = strings.NewReplacer("\r", " ", "\n", " ").Replace(value)
	}
	b = append(b, value...)
	return append(b, "\r\n"...)
}
