package callerconn_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/recoverer"
	"github.com/cassiatally/cassiatally/cassiatally/sysclock"
	"github.com/cassiatally/cassiatally/node/callerconn"
)

const (
	kib = 1 << 10
	mib = 1 << 20
	get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
)

func ok(context.Context, callerconn.Request) callerconn.Response {
	return callerconn.Response{Status: http.StatusOK}
}

// run starts a server on a free port.
func run(t *testing.T, s *callerconn.Server) *callerconn.Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.Listen = cassiatally.Address(l.Addr().String())
	_ = l.Close()
	s.Clock = sysclock.New()
	if s.HeaderTimeout == 0 {
		s.HeaderTimeout = time.Minute
	}
	if s.IdleTimeout == 0 {
		s.IdleTimeout = time.Minute
	}
	if err := s.Run(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		s.Close()
		goleak.VerifyNone(t, goleak.IgnoreTopFunction("testing.(*T).Run"))
	})
	return s
}

func dial(t *testing.T, s *callerconn.Server, request string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", string(s.Listen))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
	_, _ = io.WriteString(conn, request) // the server may close the connection
	return conn
}

func status(t *testing.T, conn io.Reader) int {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func eventually(t *testing.T, what string, is func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not in time: %s", what)
		}
	}
}

// Guards against stalled senders of bodies that use up the memory of other clients, and
// against bytes that stay in the account after their connections.
func TestStalledSendersAreClosed(t *testing.T) {
	is := is.New(t)
	s := run(t, &callerconn.Server{Serve: ok, Capacity: 2 * mib})
	head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", 512*kib)
	var stalled []net.Conn
	for range 20 {
		stalled = append(stalled, dial(t, s, head+strings.Repeat("b", 512*kib-1)))
	}
	last := dial(t, s, head+strings.Repeat("b", 512*kib))
	is.Equal(status(t, last), 200)
	eventually(t, "the account is within its capacity", func() bool { return s.Held() <= 2*mib })
	eventually(t, "most stalled connections are closed", func() bool { return s.Conns() < 10 })
	for _, c := range append(stalled, last) {
		_ = c.Close()
	}
	eventually(t, "nothing is held any more", func() bool { return s.Held() == 0 && s.Conns() == 0 })
}

// Guards against answers that are held without bound for clients that do not read them.
func TestSlowReadersAreClosed(t *testing.T) {
	is := is.New(t)
	const readers = 20
	body := bytes.Repeat([]byte("b"), 8*mib) // more than the kernel takes
	var served sync.WaitGroup
	served.Add(readers)
	s := run(t, &callerconn.Server{Capacity: 40 * mib, Serve: func(context.Context, callerconn.Request) callerconn.Response {
		served.Done()
		return callerconn.Response{Status: http.StatusOK, Body: body}
	}})
	for range readers {
		dial(t, s, get)
	}
	served.Wait()
	served.Add(1) // for the one below
	eventually(t, "most slow readers are closed", func() bool { return s.Held() <= 40*mib && s.Conns() < 10 })
	conn := dial(t, s, get)
	is.Equal(status(t, conn), 200) // one that reads is served
}

// Guards against a request that is closed or answered wrongly because requests that run
// hold all memory.
func TestRunningRequestsAreNotClosed(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	var running sync.WaitGroup
	running.Add(2)
	s := run(t, &callerconn.Server{Capacity: mib, Serve: func(_ context.Context, r callerconn.Request) callerconn.Response {
		if len(r.Content) > 0 {
			running.Done()
			<-release
		}
		return callerconn.Response{Status: http.StatusOK}
	}})
	const size = 500 * kib
	request := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size) + strings.Repeat("b", size)
	first, second := dial(t, s, request), dial(t, s, request)
	running.Wait()
	is.Equal(status(t, dial(t, s, request)), 503)
	close(release)
	is.Equal(status(t, first), 200)
	is.Equal(status(t, second), 200)
}

// Guards against idle connections that keep others out, or are closed without need.
func TestIdleConnections(t *testing.T) {
	is := is.New(t)
	s := run(t, &callerconn.Server{Serve: ok, MaxConns: 3})
	var conns []net.Conn
	for range 4 {
		c := dial(t, s, get)
		is.Equal(status(t, c), 200)
		eventually(t, "the connection is idle", func() bool { return s.Held() == 0 })
		conns = append(conns, c)
	}
	is.Equal(s.Conns(), 3)
	_, err := conns[0].Read(make([]byte, 1))
	is.True(err != nil) // the one that was idle for the longest time
	_, err = io.WriteString(conns[1], get)
	is.NoErr(err)
	is.Equal(status(t, conns[1]), 200)
}

// Guards against clients that keep a connection by sending nothing, a part of a head, or a
// part of a body.
func TestTimeouts(t *testing.T) {
	for _, sent := range []string{"", get, "GET / HTTP/1.1\r\nHo", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nb"} {
		t.Run(sent, func(t *testing.T) {
			s := run(t, &callerconn.Server{Serve: ok, HeaderTimeout: 50 * time.Millisecond, IdleTimeout: 100 * time.Millisecond})
			conn := dial(t, s, sent)
			_, err := io.Copy(io.Discard, conn)
			is.New(t).NoErr(err) // the end of the connection
		})
	}
}

// Guards against an idle time that ends a connection whose request runs.
func TestRunsOutlastTheIdleTime(t *testing.T) {
	s := run(t, &callerconn.Server{IdleTimeout: 20 * time.Millisecond, Serve: func(ctx context.Context, _ callerconn.Request) callerconn.Response {
		select {
		case <-time.After(200 * time.Millisecond):
			return callerconn.Response{Status: http.StatusOK}
		case <-ctx.Done():
			return callerconn.Response{Status: http.StatusBadGateway}
		}
	}})
	is.New(t).Equal(status(t, dial(t, s, get)), 200)
}

type lines struct {
	cassiatally.Logger
	errors chan any
}

func (l *lines) Error(event any, _ ...any) { l.errors <- event }

// Guards against a panic that ends the process or leaves its client without an end.
func TestPanicEndsOneConnection(t *testing.T) {
	is := is.New(t)
	logger := &lines{errors: make(chan any, 1)}
	s := run(t, &callerconn.Server{Recoverer: &recoverer.Recoverer{Logger: logger, Duty: "callers"}, Serve: func(_ context.Context, r callerconn.Request) callerconn.Response {
		if r.URL.Path == "/panic" {
			panic("odd request")
		}
		return callerconn.Response{Status: http.StatusOK}
	}})
	_, err := io.Copy(io.Discard, dial(t, s, strings.Replace(get, "/ ", "/panic ", 1)))
	is.NoErr(err)
	<-logger.errors
	is.Equal(status(t, dial(t, s, get)), 200)
}

// Guards against an answer that ends its head early or states another length.
func TestAnswerHead(t *testing.T) {
	is := is.New(t)
	s := run(t, &callerconn.Server{Serve: func(context.Context, callerconn.Request) callerconn.Response {
		return callerconn.Response{Status: 299, Body: []byte("abc"), Fields: []cassiatally.Field{
			{Name: "A", Value: "b\r\n\r\nc"}, {Name: "Content-Length", Value: "9"}, {Name: "Connection", Value: "close"},
		}}
	}})
	resp, err := http.ReadResponse(bufio.NewReader(dial(t, s, get)), nil)
	is.NoErr(err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(resp.StatusCode, 299)
	is.Equal(string(body), "abc")
	is.Equal(resp.Header.Get("A"), "b    c")
	is.True(!resp.Close)
}

// Guards against a length that is stated for an answer without a body: 0 for an answer to
// HEAD is wrong, and a 204 must not state any.
func TestNoLengthWithoutBody(t *testing.T) {
	s := run(t, &callerconn.Server{Serve: func(_ context.Context, r callerconn.Request) callerconn.Response {
		if r.Method == http.MethodHead {
			return callerconn.Response{Status: http.StatusOK}
		}
		return callerconn.Response{Status: http.StatusNoContent, Body: []byte("b")}
	}})
	for _, request := range []string{"HEAD / HTTP/1.1\r\nHost: h\r\n\r\n", get} {
		conn := dial(t, s, request+request)
		r := bufio.NewReader(conn)
		for range 2 { // the second one shows that the first had no body
			method, _, _ := strings.Cut(request, " ")
			resp, err := http.ReadResponse(r, &http.Request{Method: method})
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			if v := resp.Header["Content-Length"]; v != nil {
				t.Error(method, v)
			}
		}
	}
}
