package loadcommand

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally/answerscanner"
)

// Guards against an answer with a malformed field line that callers count as completed.
func TestMalformedAnswer(t *testing.T) {
	is := is.New(t)
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\n{}")
	}))
	defer node.Close()
	resp, err := newClient(1).Get(node.URL)
	if err == nil {
		_ = resp.Body.Close()
	}
	is.True(errors.Is(err, answerscanner.ErrMalformed))
}
