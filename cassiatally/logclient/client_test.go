package logclient_test

import (
	"bytes"
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/logclient"
)

// fakeLog serves the interface of the log service for one stream in memory.
type fakeLog struct{ records [][]byte }

func (f *fakeLog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/streams/sheet/records" {
		http.NotFound(w, r)
		return
	}
	if r.Method == http.MethodPost {
		data, _ := io.ReadAll(r.Body)
		f.records = append(f.records, data)
		w.WriteHeader(http.StatusCreated)
		fmt.Fprintf(w, `{"offset": %d}`, len(f.records)-1)
		return
	}
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	count, _ := strconv.Atoi(r.URL.Query().Get("max"))
	var parts []string
	next := from
	for ; next < len(f.records) && len(parts) < count; next++ {
		parts = append(parts, fmt.Sprintf(`{"offset": %d, "expires": "1h0m0s", "data": %s}`, next, strconv.Quote(base64.StdEncoding.EncodeToString(f.records[next]))))
	}
	fmt.Fprintf(w, `{"first": 0, "next": %d, "records": [%s]}`, next, strings.Join(parts, ","))
}

func start(t *testing.T, h http.Handler) *logclient.Client {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	c := &logclient.Client{Address: cassiatally.Address(server.Listener.Addr().String()), Timeout: 5 * time.Second}
	t.Cleanup(c.Close)
	return c
}

// Guards against records that are lost, reordered or damaged in transfer, also
// when they exceed the bound of one response.
func TestAppendAndRead(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := start(t, &fakeLog{})
	const count = 5
	for i := range count {
		offset, err := c.Append(ctx, "sheet", bytes.Repeat([]byte{byte(i)}, logclient.MaxRecordBytes))
		is.NoErr(err)
		is.Equal(offset, cassiatally.Offset(i))
	}
	var next cassiatally.Offset
	for next < count {
		b, err := c.Read(ctx, "sheet", next, 0)
		is.NoErr(err)
		is.True(len(b.Records) > 0)
		for _, r := range b.Records {
			is.Equal(r.Offset, next)
			is.Equal(r.Expires, time.Hour)
			is.Equal(r.Data, bytes.Repeat([]byte{byte(next)}, logclient.MaxRecordBytes))
			next++
		}
		is.Equal(b.Next, next)
	}
	_, err := c.Append(ctx, "sheet", make([]byte, logclient.MaxRecordBytes+1))
	is.Equal(cassiatally.KindOf(err), cassiatally.KindTooLarge)
}

// Guards against responses that violate the interface and are read as records,
// against failures that are reported with a wrong kind, and against a retried
// append.
func TestErrors(t *testing.T) {
	cases := []struct {
		name   string
		status int
		body   string
		kind   cassiatally.ErrorKind
	}{
		{"service down", 503, "down", cassiatally.KindLogUnavailable},
		{"too many appends", 429, "", cassiatally.KindLogUnavailable},
		{"record refused", 413, "", cassiatally.KindTooLarge},
		{"bad request", 400, "", cassiatally.KindBadRequest},
		{"redirect", 307, "", cassiatally.KindLogUnavailable},
		{"no JSON", 200, "<html>", cassiatally.KindLogUnavailable},
		{"offset out of order", 200, `{"offset": 1, "first": 0, "next": 2, "records": [{"offset": 9, "expires": "1h", "data": ""}]}`, cassiatally.KindLogUnavailable},
		{"malformed duration", 200, `{"first": 0, "next": 2, "records": [{"offset": 0, "expires": "soon", "data": ""}]}`, cassiatally.KindLogUnavailable},
		{"response beyond the bound", 200, strings.Repeat(" ", 8<<20), cassiatally.KindLogUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			requests := 0
			client := start(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				requests++
				w.Header().Set("Location", "/elsewhere")
				w.WriteHeader(c.status)
				_, _ = io.WriteString(w, c.body)
			}))
			_, err := client.Read(context.Background(), "sheet", 0, 0)
			is.Equal(cassiatally.KindOf(err), c.kind)
			requests = 0
			_, err = client.Append(context.Background(), "sheet", nil)
			is.True(err != nil || strings.Contains(c.body, `"offset": 1,`))
			is.Equal(requests, 1) // an append is never retried
		})
	}
}

// Guards against a client that waits forever for a silent log service.
func TestSilentService(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	c := start(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer close(release)
	c.Timeout = 20 * time.Millisecond
	_, err := c.Append(context.Background(), "sheet", []byte("x"))
	is.Equal(cassiatally.KindOf(err), cassiatally.KindLogUnavailable)
}

// Guards against an answer with a malformed field line that is taken for the service's, with
// the end of the connection as the end of its body.
func TestMalformedFieldLines(t *testing.T) {
	for name, head := range map[string]string{
		"blank in a name":               "X Odd: 1\r\nContent-Length: 13\r\n\r\n",
		"blank after the length's name": "Content-Length : 13\r\n\r\n",
		"blank before a name":           "A: b\r\n Content-Length: 13\r\n\r\n",
		"line feed before a name":       "A: b\r\n\n",
		"control byte in a name":        "X\x01Odd: 1\r\nContent-Length: 13\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			requests := 0
			c := start(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				requests++
				conn, _, err := http.NewResponseController(w).Hijack()
				is.NoErr(err)
				defer conn.Close()
				_, _ = io.WriteString(conn, "HTTP/1.1 201 Created\r\n"+head+`{"offset": 7}`)
			}))
			_, err := c.Append(context.Background(), "sheet", []byte("x"))
			is.Equal(cassiatally.KindOf(err), cassiatally.KindLogUnavailable)
			is.Equal(requests, 1)
		})
	}
}
