package roundtripper_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally/answerscanner"
	"github.com/cassiatally/cassiatally/cassiatally/roundtripper"
)

const (
	sound   = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
)

// server answers the requests of all its connections in turn with the given answers.
type server struct {
	net.Listener
	conns, requests atomic.Int32
	running         sync.WaitGroup
}

func start(t *testing.T, answers ...string) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{Listener: l}
	s.running.Go(func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			s.running.Go(func() { s.serve(nc, answers) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		s.running.Wait()
	})
	return s
}

func (s *server) serve(nc net.Conn, answers []string) {
	defer nc.Close()
	r := bufio.NewReader(nc)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		n := int(s.requests.Add(1)) - 1
		_, _ = io.WriteString(nc, answers[min(n, len(answers)-1)])
	}
}

// send sends a request and returns the body of its answer.
func send(t *testing.T, c *http.Client, s *server, method, body string) (string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+s.Addr().String()+"/a", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := c.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

func newClient(t *testing.T) *http.Client {
	c := &http.Client{Transport: &roundtripper.RoundTripper{Transport: &http.Transport{}}}
	t.Cleanup(c.CloseIdleConnections)
	return c
}

// Guards against a malformed answer that passes, on a new connection and on a kept one, and
// against a request that net/http sends once more after it.
func TestMalformedAnswers(t *testing.T) {
	for name, answer := range map[string]string{
		"blank in a name":               "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\nok",
		"blank after the length's name": "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok",
		"blank before a name":           "HTTP/1.1 200 OK\r\nA: b\r\n Content-Length: 2\r\n\r\nok",
		"line feed before a name":       "HTTP/1.1 200 OK\r\nA: b\r\n\nContent-Length: 2\r\n\r\nok",
		"interim answer":                "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\n" + sound,
		"after an interim answer":       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\nok",
		"trailer":                       chunked + "X Odd: 1\r\n\r\n",
		"switch of protocols":           "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection : upgrade\r\n\r\n",
	} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			for _, before := range []string{"", sound, chunked + "\r\n"} {
				t.Run(strings.Join([]string{name, method, before}, ", "), func(t *testing.T) {
					is := is.New(t)
					answers := []string{answer, sound}
					if before != "" {
						answers = []string{before, answer, sound}
					}
					s, c := start(t, answers...), newClient(t)
					if before != "" {
						body, err := send(t, c, s, method, "hello")
						is.NoErr(err)
						is.Equal(body, "ok")
					}
					_, err := send(t, c, s, method, "hello")
					is.True(err != nil)
					is.True(errors.Is(err, answerscanner.ErrMalformed) || name == "trailer")
					body, err := send(t, c, s, method, "hello")
					is.NoErr(err)
					is.Equal(body, "ok")
					is.Equal(int(s.requests.Load()), len(answers))
					is.Equal(int(s.conns.Load()), 2)
				})
			}
		}
	}
}

// Guards against an answer with an invalid status that passes, and against a request that
// waits for its body.
func TestInvalidStatuses(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			s, c := start(t, sound, "HTTP/1.1 "+status+" Odd\r\nContent-Length: 2\r\n\r\n", sound), newClient(t)
			_, err := send(t, c, s, http.MethodGet, "")
			is.NoErr(err)
			_, err = send(t, c, s, http.MethodGet, "")
			is.True(err != nil)
			body, err := send(t, c, s, http.MethodGet, "")
			is.NoErr(err)
			is.Equal(body, "ok")
			is.Equal(int(s.requests.Load()), 3)
		})
	}
}

// Guards against sound answers that are refused, and against a connection that is not kept
// after them.
func TestSoundAnswers(t *testing.T) {
	is := is.New(t)
	noBody := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	s, c := start(t, sound, chunked+"A: b\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"+sound, noBody, sound), newClient(t)
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodGet, http.MethodHead, http.MethodGet} {
		body, err := send(t, c, s, method, "")
		is.NoErr(err)
		is.True(body == "ok" || method == http.MethodHead)
	}
	is.Equal(int(s.conns.Load()), 1)
}
