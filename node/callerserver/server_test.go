package callerserver_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/headers"
	"github.com/cassiatally/cassiatally/node/callerserver"
	"github.com/cassiatally/cassiatally/node/requestreader"
)

type noSheet struct{}

func (noSheet) policies() (cassiatally.Policies, bool) { return nil, false }

// Guards against a node without a sheet, such as one that has just started, that answers
// not_run to a request re-sent with its key although the earlier one may have run.
func TestRefusalOfResentKey(t *testing.T) {
	s := &callerserver.Server{
		Listen: "127.0.0.1:0", Policies: noSheet{}.policies, MaxInFlight: 10,
		Reader: requestreader.Reader{MaxBodyBytes: 1 << 10, DefaultTimeout: time.Second, MaxTimeout: time.Second},
		Clock:  fixedClock{},
	}
	if err := s.Run(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	cases := []struct{ name, key, attempt, want string }{
		{"no key", "", "", "not_run"},
		{"first attempt", "north.0.1.38519750480300e0", "1", "not_run"},
		{"second attempt", "north.0.1.38519750480300e0", "2", "unknown"},
		{"attempt of unknown number", "north.0.1.38519750480300e0", "", "unknown"},
		{"malformed key", "no-key", "2", "not_run"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			req, err := http.NewRequest(http.MethodPost, "http://"+string(s.Addr())+"/v1/call/depot-svc/reserve", strings.NewReader("{}"))
			is.NoErr(err)
			if c.key != "" {
				req.Header.Set(headers.Key, c.key)
			}
			if c.attempt != "" {
				req.Header.Set(headers.Attempt, c.attempt)
			}
			resp, err := http.DefaultClient.Do(req)
			is.NoErr(err)
			is.NoErr(resp.Body.Close())
			is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
			is.Equal(resp.Header.Get(headers.Outcome), c.want)
		})
	}
}

type fixedClock struct{}

func (fixedClock) Now() cassiatally.Instant { return 0 }
func (fixedClock) Wall() time.Time          { return time.Time{} }
