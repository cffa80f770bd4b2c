package nodeclient_test

import (
	"encoding/base64"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/operator/nodeclient"
)

// startNode answers each request with the given bytes and closes its connection.
func startNode(t *testing.T, answer string) cassiatally.Address {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, answer)
	}))
	t.Cleanup(s.Close)
	return cassiatally.Address(strings.TrimPrefix(s.URL, "http://"))
}

// answerOf returns an answer that ran, with some field lines and the digest of its body.
func answerOf(status, fields, body string) string {
	d := cassiatally.DigestOf([]byte(body))
	return fmt.Sprintf("HTTP/1.1 %s OK\r\nCassiatally-Outcome: ran\r\nContent-Digest: sha-256=:%s:\r\n%s\r\n%s",
		status, base64.StdEncoding.EncodeToString(d[:]), fields, body)
}

// Guards against an answer with a malformed field line that is printed as the node's.
func TestMalformedFieldLines(t *testing.T) {
	for name, fields := range map[string]string{
		"blank in a name":               "X Odd: 1\r\n",
		"blank after the length's name": "Content-Length : 2\r\n",
		"blank before a name":           "A: b\r\n X-Odd: 1\r\n",
		"control byte in a name":        "X\x01Odd: 1\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := nodeclient.Client{HTTP: nodeclient.NewHTTP()}
			node := startNode(t, answerOf("200", fields, "ok"))
			answer, err := c.Call(t.Context(), node, nodeclient.Request{Service: "s", Work: "w", Timeout: time.Second})
			is.True(err != nil)
			is.Equal(answer, nodeclient.Answer{})
		})
	}
}

// Guards against an answer with an invalid status that is printed as the node's.
func TestInvalidStatuses(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			c := nodeclient.Client{HTTP: nodeclient.NewHTTP()}
			node := startNode(t, answerOf(status, "A: b\r\n", "ok"))
			answer, err := c.Call(t.Context(), node, nodeclient.Request{Service: "s", Work: "w", Timeout: time.Second})
			is.True(err != nil)
			is.Equal(answer, nodeclient.Answer{})
		})
	}
}

// Guards against sound answers that are refused.
func TestSoundAnswer(t *testing.T) {
	is := is.New(t)
	c := nodeclient.Client{HTTP: nodeclient.NewHTTP()}
	node := startNode(t, answerOf("200", "A: b\r\n", "ok"))
	answer, err := c.Call(t.Context(), node, nodeclient.Request{Service: "s", Work: "w", Timeout: time.Second})
	is.NoErr(err)
	is.Equal(answer, nodeclient.Answer{Outcome: cassiatally.OutcomeRan, Status: 200, Body: []byte("ok")})
}
