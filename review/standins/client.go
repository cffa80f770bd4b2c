package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// request is one attempt of a client.
type request struct {
	Method, Host, Target, ID string
	Body                     string
	Remaining                time.Duration
}

// answer is what the client has received. Status is 0 when no head arrived, and err is
// set when the answer is not complete.
type answer struct {
	status    int
	signature string
	body      int
	// sent is set when the whole request was written to an open connection.
	sent bool
	err  error
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("status %d, %d bytes of the body, then %v", a.status, a.body, a.err)
	}
	return fmt.Sprintf("status %d, signature %q, %d bytes", a.status, a.signature, a.body)
}

// answerSlack is how long after its deadline a client still waits.
const answerSlack = 500 * time.Millisecond

func (q request) encode() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Remaining: %d\r\n", q.Method, q.Target, q.Host, q.ID, q.Remaining.Milliseconds())
	if q.Method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %s\r\n", strconv.Itoa(len(q.Body)))
	}
	b.WriteString("\r\n" + q.Body)
	return b.String()
}

// client is a connection of a client to the node on its machine.
type client struct {
	conn net.Conn
	r    *bufio.Reader
	// bytesPerSecond bounds how fast the client reads; 0 means no bound.
	bytesPerSecond int
}

// smallSegment is the size of the TCP segments to a slow client.
const smallSegment = 536

// dial opens a connection. A slow client has a small receive buffer and small segments:
// with those of the loopback interface the kernel would buffer whole answers.
func dial(address string, bytesPerSecond int) (*client, error) {
	d := net.Dialer{Timeout: time.Second}
	if bytesPerSecond > 0 {
		d.Control = func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
				if failed == nil {
					failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, smallSegment)
				}
			})
			if err != nil {
				return err
			}
			return failed
		}
	}
	conn, err := d.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, bytesPerSecond: bytesPerSecond}
	c.r = bufio.NewReaderSize(c, 4<<10)
	return c, nil
}

// Read receives at the rate of the client.
func (c *client) Read(b []byte) (int, error) {
	n, err := c.conn.Read(b)
	if c.bytesPerSecond > 0 && n > 0 {
		time.Sleep(time.Duration(n) * time.Second / time.Duration(c.bytesPerSecond))
	}
	return n, err
}

func (c *client) close() { _ = c.conn.Close() }

// do sends a request and reads the answer.
func (c *client) do(q request) answer {
	_ = c.conn.SetDeadline(time.Now().Add(q.Remaining + answerSlack))
	if _, err := io.WriteString(c.conn, q.encode()); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(c.r, &http.Request{Method: q.Method})
	if err != nil {
		return answer{sent: true, err: err}
	}
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	return answer{
		status: resp.StatusCode, signature: resp.Header.Get("Response-Signature"), body: int(n), sent: true, err: err,
	}
}

// send opens a connection, sends a request and reads the answer.
func send(address string, q request) answer {
	c, err := dial(address, 0)
	if err != nil {
		return answer{err: err}
	}
	defer c.close()
	return c.do(q)
}
