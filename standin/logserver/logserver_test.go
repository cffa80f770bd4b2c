package logserver_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/standin/logserver"
	"github.com/cassiatally/cassiatally/standin/logstore"
	"github.com/cassiatally/cassiatally/standin/systemclock"
)

func serve(t *testing.T) string {
	t.Helper()
	store := logstore.New(logstore.Limits{AppendsPerSecond: 1000, Retention: time.Hour, MaxBytes: 1 << 20})
	s := logserver.New(store, systemclock.New())
	web := httptest.NewServer(s.Handler())
	t.Cleanup(func() {
		web.CloseClientConnections()
		web.Close()
		s.Close()
	})
	return web.URL
}

func send(t *testing.T, limit time.Duration, method, url, body string, v any) (int, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if v != nil {
		err = json.NewDecoder(resp.Body).Decode(v)
	}
	return resp.StatusCode, err
}

type batch struct {
	First, Next uint64
	Records     []struct {
		Offset uint64
		Data   []byte
	}
}

const records = "/v1/streams/sheet/records"

// Guards against a mode that loses the append instead of its answer, and against
// modes without effect.
func TestModes(t *testing.T) {
	cases := []struct {
		mode     logserver.Mode
		answered bool
		status   int
		written  int
	}{
		{logserver.ModeUp, true, http.StatusCreated, 1},
		{logserver.ModeDown, true, http.StatusServiceUnavailable, 0},
		{logserver.ModeSlow, true, http.StatusCreated, 1},
		{logserver.ModeLoseAnswers, false, 0, 1},
		{logserver.ModeHang, false, 0, 1},
	}
	for _, c := range cases {
		t.Run(string(c.mode), func(t *testing.T) {
			is := is.New(t)
			url := serve(t)
			const delay = 50 * time.Millisecond
			control := fmt.Sprintf(`{"mode":%q,"delay":%q}`, c.mode, delay)
			status, err := send(t, time.Minute, http.MethodPut, url+"/v1/control", control, nil)
			is.NoErr(err)
			is.Equal(status, http.StatusOK)
			limit := time.Minute
			if c.mode == logserver.ModeHang {
				limit = 300 * time.Millisecond // only this limit ends the request
			}
			begin := time.Now()
			status, err = send(t, limit, http.MethodPost, url+records, "record", nil)
			is.Equal(err == nil, c.answered)
			is.Equal(status, c.status)
			if c.mode == logserver.ModeSlow {
				is.True(time.Since(begin) >= delay)
			}
			_, err = send(t, time.Minute, http.MethodPut, url+"/v1/control", `{"mode":"up"}`, nil)
			is.NoErr(err)
			var b batch
			_, err = send(t, time.Minute, http.MethodGet, url+records+"?from=0", "", &b)
			is.NoErr(err)
			is.Equal(len(b.Records), c.written)
		})
	}
}

// Guards against a long poll that misses an append or returns without waiting.
func TestLongPoll(t *testing.T) {
	is := is.New(t)
	url := serve(t)
	got := make(chan batch, 1)
	go func() {
		var b batch
		// The limit is shorter than the wait, so the request only succeeds if the
		// append ends the wait.
		_, _ = send(t, 30*time.Second, http.MethodGet, url+records+"?from=0&wait=1m", "", &b)
		got <- b
	}()
	var status struct{ Counters struct{ Reads int } }
	for status.Counters.Reads == 0 {
		_, err := send(t, time.Minute, http.MethodGet, url+"/v1/control", "", &status)
		is.NoErr(err)
		time.Sleep(time.Millisecond)
	}
	_, err := send(t, time.Minute, http.MethodPost, url+records, "record", nil)
	is.NoErr(err)
	b := <-got
	is.Equal(len(b.Records), 1)
	is.Equal(string(b.Records[0].Data), "record")
	is.Equal(b.Next, uint64(1))
	_, err = send(t, time.Minute, http.MethodGet, url+records+"?from=1&wait=20ms", "", &b)
	is.NoErr(err)
	is.Equal(len(b.Records), 0) // the wait ends without a record
}
