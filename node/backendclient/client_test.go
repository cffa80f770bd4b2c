package backendclient_test

import (
	"bufio"
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

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/node/backendclient"
)

// startServer answers the first request of each connection with the given bytes and keeps
// the connection open until the client closes it.
func startServer(t *testing.T, answer string) cassiatally.BackendTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var running sync.WaitGroup
	done, stop := context.WithCancel(context.Background())
	t.Cleanup(func() {
		_ = l.Close()
		stop() // the client keeps its connections after valid answers
		running.Wait()
	})
	serve := func(conn net.Conn) {
		defer conn.Close()
		defer context.AfterFunc(done, func() { _ = conn.Close() })()
		_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
		r := bufio.NewReader(conn)
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = conn.Write([]byte(answer))
		_, _ = io.Copy(io.Discard, r)
	}
	running.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			running.Go(func() { serve(conn) })
		}
	})
	return cassiatally.BackendTarget{Address: cassiatally.Address(l.Addr().String())}
}

func do(t *testing.T, target cassiatally.BackendTarget) cassiatally.RunResult {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	res := (&backendclient.Client{}).Do(ctx, target, cassiatally.Call{Work: "check", Remaining: 20 * time.Second})
	is.New(t).NoErr(ctx.Err()) // before its deadline
	return res
}

// Guards against an answer with an invalid status that reaches the caller or is taken for a
// promise that the call was not run, and against a call that waits for what follows it.
func TestInvalidStatuses(t *testing.T) {
	for _, status := range []string{"000", "001", "020", "099", "20", "2", "1000", "0200", "+20", "+99", "-20", "-00", "2x0", "OK", "0x1", "600", "999", ""} {
		for _, rest := range []string{"\r\nno", "\r\nn"} { // whole, and without its end
			t.Run(fmt.Sprintf("%q, %d bytes", status, len(rest)), func(t *testing.T) {
				is := is.New(t)
				res := do(t, startServer(t, "HTTP/1.1 "+status+" Odd\r\nCassiatally-Outcome: not_run\r\nContent-Length: 2\r\n"+rest))
				is.Equal(res, cassiatally.RunResult{Kind: cassiatally.ResultBroken, Detail: res.Detail})
			})
		}
	}
}

// Guards against an answer with a malformed field line that is taken for an answer, with
// another body than the backend server's, or for a promise that the call was not run.
func TestMalformedFieldLines(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	for name, answer := range map[string]string{
		"blank in a name":               head + "X Odd: 1\r\nContent-Length: 2\r\n\r\nok",
		"blank after the length's name": head + "Connection: close\r\nContent-Length : 2\r\n\r\nok",
		"blank before a name":           head + "Content-Type: text/plain\r\n X-Odd: 1\r\nContent-Length: 2\r\n\r\nok",
		"line feed before a name":       head + "Content-Length: 0\r\n\nX-Odd: 1\r\n\r\n",
		"control byte in a name":        head + "X\x01Odd: 1\r\nContent-Length: 2\r\n\r\nok",
		"interim answer":                "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\n" + head + "Content-Length: 2\r\n\r\nok",
		"trailer":                       head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Odd: 1\r\n\r\n",
		"refusal":                       "HTTP/1.1 503 No\r\nCassiatally-Outcome: not_run\r\nX Odd: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			res := do(t, startServer(t, answer))
			is.Equal(res, cassiatally.RunResult{Kind: cassiatally.ResultBroken, Detail: res.Detail})
		})
	}
}

// Guards against interim answers without end that hold a call until its deadline.
func TestInterimAnswersWithoutEnd(t *testing.T) {
	for _, c := range []struct{ name, answer string }{
		{"processing", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1<<16)},
		{"early hints", strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", 1<<16)},
		{"switching protocols", "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(do(t, startServer(t, c.answer)).Kind, cassiatally.ResultBroken)
		})
	}
}

// Guards against valid statuses that are refused with the invalid ones.
func TestValidStatuses(t *testing.T) {
	for _, status := range []int{200, 204, 304, 404, 500, 599} {
		is := is.New(t)
		res := do(t, startServer(t, fmt.Sprintf("HTTP/1.1 %d Any\r\nContent-Length: 0\r\n\r\n", status)))
		is.Equal(res.Kind, cassiatally.ResultAnswered)
		is.Equal(res.Status, status)
	}
	is := is.New(t)
	res := do(t, startServer(t, "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	is.Equal(string(res.Body), "ok")
}
