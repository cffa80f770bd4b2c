package reporter_test

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/node/reporter"
)

// Guards against counting refusals under a wrong rank or kind, and against counting
// requests as refused that were run or whose outcome is unknown.
func TestRefusalsByRankAndKind(t *testing.T) {
	is := is.New(t)
	r, err := reporter.New("n1", "north")
	is.NoErr(err)
	defer r.Close()
	shed := cassiatally.Answer{Outcome: cassiatally.OutcomeNotRun, Kind: cassiatally.KindOverloaded}
	expired := cassiatally.Answer{Outcome: cassiatally.OutcomeNotRun, Kind: cassiatally.KindExpired}
	for _, a := range []cassiatally.Answer{
		expired, shed, shed,
		{Outcome: cassiatally.OutcomeRan},
		{Outcome: cassiatally.OutcomeUnknown, Kind: cassiatally.KindUnavailable},
	} {
		r.Request(cassiatally.Policy{Rank: 2}, "t", a, time.Millisecond)
	}
	r.Request(cassiatally.Policy{Rank: 1}, "t", shed, time.Millisecond)
	is.Equal(r.Refusals(), []reporter.Refusal{
		{Rank: 1, Kind: cassiatally.KindOverloaded, Count: 1},
		{Rank: 2, Kind: cassiatally.KindOverloaded, Count: 2},
		{Rank: 2, Kind: cassiatally.KindExpired, Count: 1},
	})
}

// Guards against callers that use ever new tenants and so fill the memory of a node with
// histograms.
func TestTenantsAreBounded(t *testing.T) {
	is := is.New(t)
	r, err := reporter.New("n1", "north")
	is.NoErr(err)
	const tenants = 200
	for i := range tenants {
		r.Request(cassiatally.Policy{}, cassiatally.Tenant(fmt.Sprintf("tenant-%d", i)), cassiatally.Answer{}, time.Millisecond)
	}
	r.Close() // reports the remaining values
	w := httptest.NewRecorder()
	r.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	is.Equal(strings.Count(w.Body.String(), "cassiatally_tenant_latency_count{"), 33) // 32 and the shared one
	is.True(strings.Contains(w.Body.String(), fmt.Sprintf(`tenant="other"} %d`, tenants-32)))
}
