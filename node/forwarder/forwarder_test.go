package forwarder_test

import (
	"bytes"
	"context"
	"encoding/base64"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/matcher"
	"github.com/cassiatally/cassiatally/cassiatally/runner"
	"github.com/cassiatally/cassiatally/cassiatally/sysclock"
	"github.com/cassiatally/cassiatally/node/forwarder"
)

const (
	key        = "key-of-acme"
	unknownKey = "key-of-nobody"
	liveParent = "parent"
)

// node records what the forwarder submits, and answers it at once.
type node struct {
	forwarder.Forwarder
	requests []cassiatally.Request
	children []runner.ChildCall
	observed []cassiatally.Tenant
	taken    []cassiatally.Tenant
	quota    cassiatally.QuotaDecision
	// quotaWait is how long Take waits.
	quotaWait time.Duration
	log       bytes.Buffer
}

func newNode(t *cassiatally.RouteTable) *node {
	n := &node{quota: cassiatally.QuotaDecision{Granted: true}}
	n.Forwarder = forwarder.Forwarder{
		Routes: func() (*matcher.Matcher, bool) {
			if t == nil {
				return nil, false
			}
			return matcher.New(*t), true
		},
		Requests: n, Runs: n, Observer: n, Quotas: n, Clock: sysclock.New(), Logger: log.New(&n.log),
		NextID:       func() cassiatally.CallID { return cassiatally.CallID{Origin: 1, Seq: 1} },
		LocalService: func() cassiatally.Service { return "depot" },
	}
	return n
}

func (n *node) Submit(r cassiatally.Request, reply func(cassiatally.Answer)) bool {
	n.requests = append(n.requests, r)
	reply(cassiatally.Answer{Outcome: cassiatally.OutcomeRan, Status: 200})
	return true
}

func (n *node) Withdraw(cassiatally.CallID) {}

func (n *node) BeginChild(c runner.ChildCall, reply func(cassiatally.Answer)) bool {
	if c.ParentName != liveParent {
		reply(cassiatally.Answer{Kind: cassiatally.KindUnknownParent})
		return true
	}
	n.children = append(n.children, c)
	reply(cassiatally.Answer{Outcome: cassiatally.OutcomeRan, Status: 200})
	return true
}

func (n *node) AbandonChild(cassiatally.CallID) {}

func (n *node) Request(_ cassiatally.Policy, t cassiatally.Tenant, _ cassiatally.Answer, _ time.Duration) {
	n.observed = append(n.observed, t)
}

func (n *node) Take(ctx context.Context, t *cassiatally.TenantSpec) cassiatally.QuotaDecision {
	n.taken = append(n.taken, t.Name)
	if n.quotaWait == 0 {
		return n.quota
	}
	select {
	case <-time.After(n.quotaWait):
		return n.quota
	case <-ctx.Done():
		return cassiatally.QuotaDecision{Kind: cassiatally.KindCancelled}
	}
}

// table has a route that needs a key, /a/, and one that does not, /open/.
func table(tenants ...cassiatally.TenantSpec) *cassiatally.RouteTable {
	services := []cassiatally.WeightedService{{Service: "depot", Weight: 1}}
	return &cassiatally.RouteTable{
		Version: 1, Tenants: tenants,
		Routes: []cassiatally.Route{
			{Name: "a", Host: "h", Prefix: "/a/", Services: services, Rank: 2, Attempts: 2},
			{Name: "open", Host: "h", Prefix: "/open/", Services: services, Rank: 2, Attempts: 2, AllowAnonymous: true},
		},
		Services: []cassiatally.ServiceSpec{{Name: "depot"}},
	}
}

func acme() cassiatally.TenantSpec {
	return cassiatally.TenantSpec{Name: "acme", Keys: []cassiatally.KeyDigest{cassiatally.KeyDigestOf(key)}, Ranked: true}
}

// inbound is a request with the fields of a client that sends a key and names itself as
// another tenant.
func inbound(path, key string, parent cassiatally.RequestName) cassiatally.Inbound {
	in := cassiatally.Inbound{
		Name: "r", Root: "r", Parent: parent, Host: "h", Remaining: time.Second,
		Head:     cassiatally.Head{Method: "GET", Target: path, Fields: []cassiatally.Field{{Name: "Accept", Value: "text/plain"}}},
		Identity: []cassiatally.Field{{Name: "Tenant", Value: "forged"}},
	}
	if key != "" {
		d := cassiatally.KeyDigestOf(key)
		in.Key = &d
		in.Identity = append(in.Identity, cassiatally.Field{Name: "Authorization", Value: "Token " + key})
	}
	return in
}

// Guards against requests that are served without a valid key, refused with a status that
// is wrong for them, or attributed to the tenant or the rank of others.
func TestAuthentication(t *testing.T) {
	cases := []struct {
		name   string
		table  *cassiatally.RouteTable
		in     cassiatally.Inbound
		kind   cassiatally.ErrorKind
		tenant cassiatally.Tenant
		rank   cassiatally.Rank
	}{
		{"no table", nil, inbound("/a/1", unknownKey, ""), cassiatally.KindNoBackend, "", 0},
		{"no tenants", table(), inbound("/a/1", unknownKey, ""), cassiatally.KindNone, "", 2},
		{"key", table(acme()), inbound("/a/1", key, ""), cassiatally.KindNone, "acme", 0},
		{"key of a tenant without a priority", table(cassiatally.TenantSpec{Name: "b", Keys: acme().Keys}), inbound("/a/1", key, ""), cassiatally.KindNone, "b", 2},
		{"key on an anonymous route", table(acme()), inbound("/open/1", key, ""), cassiatally.KindNone, "acme", 0},
		{"unknown key", table(acme()), inbound("/a/1", unknownKey, ""), cassiatally.KindUnauthenticated, "", 0},
		{"unknown key on an anonymous route", table(acme()), inbound("/open/1", unknownKey, ""), cassiatally.KindUnauthenticated, "", 0},
		{"unknown key and the id of an onward call", table(acme()), inbound("/a/1", unknownKey, liveParent), cassiatally.KindUnauthenticated, "", 0},
		{"no key", table(acme()), inbound("/a/1", "", ""), cassiatally.KindUnauthenticated, "", 0},
		{"no key on an anonymous route", table(acme()), inbound("/open/1", "", ""), cassiatally.KindNone, "", 2},
		{"no route", table(acme()), inbound("/b/1", unknownKey, ""), cassiatally.KindUnknownKind, "", 0},
		{"tenant without keys", table(cassiatally.TenantSpec{Name: "b"}), inbound("/a/1", "", ""), cassiatally.KindUnauthenticated, "", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			n := newNode(c.table)
			a := n.Forward(context.Background(), c.in)
			is.Equal(a.Kind, c.kind)
			if c.kind != cassiatally.KindNone {
				is.Equal(a.Outcome, cassiatally.OutcomeNotRun)
				is.Equal(len(n.requests)+len(n.children), 0)
				return
			}
			is.Equal(len(n.requests), 1)
			is.Equal(n.requests[0].Tenant, c.tenant)
			is.Equal(n.requests[0].Policy.Rank, c.rank)
			is.Equal(n.observed, []cassiatally.Tenant{c.tenant})
		})
	}
}

// Guards against a key, or a tenant that a client names, that reaches an endpoint, and
// against dropping these fields where no tenants are configured: there they belong to the
// application.
func TestIdentityFields(t *testing.T) {
	for name, tc := range map[string]struct {
		table *cassiatally.RouteTable
		kept  bool
	}{"no tenants": {table(), true}, "tenants": {table(acme()), false}} {
		for _, path := range []string{"/a/1", "/open/1"} {
			t.Run(name+path, func(t *testing.T) {
				is := is.New(t)
				n := newNode(tc.table)
				is.Equal(n.Forward(context.Background(), inbound(path, key, "")).Kind, cassiatally.KindNone)
				fields := fmt.Sprint(n.requests[0].Head.Fields)
				is.True(strings.Contains(fields, "Accept"))
				is.Equal(strings.Contains(fields, key), tc.kept)
				is.Equal(strings.Contains(fields, "forged"), tc.kept)
			})
		}
	}
}

// Guards against onward calls that are refused for the key that they do not have, that are
// served without the tenant of an unknown parent, or that are charged to a quota, and
// against a client that joins the run of another tenant by the form of its id.
func TestOnwardCalls(t *testing.T) {
	limited := acme()
	limited.Rate = 1
	cases := []struct {
		name      string
		table     *cassiatally.RouteTable
		in        cassiatally.Inbound
		kind      cassiatally.ErrorKind
		children  int
		submitted []cassiatally.Tenant
	}{
		{"of a run", table(limited), inbound("/a/1", "", liveParent), cassiatally.KindNone, 1, nil},
		{"of a run, on an anonymous route", table(limited), inbound("/open/1", "", liveParent), cassiatally.KindNone, 1, nil},
		{"of an unknown run", table(limited), inbound("/a/1", "", "gone"), cassiatally.KindUnavailable, 0, nil},
		{"of an unknown run, on an anonymous route", table(limited), inbound("/open/1", "", "gone"), cassiatally.KindUnavailable, 0, nil},
		{"of an unknown run without tenants", table(), inbound("/a/1", "", "gone"), cassiatally.KindNone, 0, []cassiatally.Tenant{""}},
		{"a client's id in this form", table(acme()), inbound("/a/1", key, liveParent), cassiatally.KindNone, 0, []cassiatally.Tenant{"acme"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			n := newNode(c.table)
			a := n.Forward(context.Background(), c.in)
			is.Equal(a.Kind, c.kind)
			is.Equal(a.Kind == cassiatally.KindNone, a.Outcome == cassiatally.OutcomeRan)
			is.Equal(len(n.children), c.children)
			var submitted []cassiatally.Tenant
			for _, r := range n.requests {
				submitted = append(submitted, r.Tenant)
			}
			is.Equal(submitted, c.submitted)
			is.Equal(len(n.taken), 0)
		})
	}
}

// Guards against a request over quota that runs, and against the cost of a quota for
// tenants without one.
func TestQuota(t *testing.T) {
	is := is.New(t)
	limited := acme()
	limited.Rate = 5
	n := newNode(table(limited))
	is.Equal(n.Forward(context.Background(), inbound("/a/1", key, "")).Kind, cassiatally.KindNone)
	n.quota = cassiatally.QuotaDecision{Kind: cassiatally.KindQuotaExceeded, RetryAfter: time.Second}
	a := n.Forward(context.Background(), inbound("/a/1", key, ""))
	is.Equal(a, cassiatally.Answer{Outcome: cassiatally.OutcomeNotRun, Kind: cassiatally.KindQuotaExceeded, Detail: a.Detail, RetryAfter: time.Second})
	is.Equal(n.taken, []cassiatally.Tenant{"acme", "acme"})
	is.Equal(len(n.requests), 1)

	unlimited := newNode(table(acme()))
	is.Equal(unlimited.Forward(context.Background(), inbound("/a/1", key, "")).Kind, cassiatally.KindNone)
	is.Equal(len(unlimited.taken), 0)
}

// Guards against keys and digests in the log, whatever way the request ends.
func TestNoKeyIsLogged(t *testing.T) {
	is := is.New(t)
	n := newNode(table(acme()))
	n.Forward(context.Background(), inbound("/a/1", key, ""))
	n.Forward(context.Background(), inbound("/a/1", unknownKey, ""))
	n.Forward(context.Background(), inbound("/b/1", key, ""))
	is.True(strings.Count(n.log.String(), "\n") >= 3)
	for _, k := range []string{key, unknownKey} {
		d := cassiatally.KeyDigestOf(k)
		for _, text := range []string{k, fmt.Sprintf("%x", d[:]), base64.StdEncoding.EncodeToString(d[:])} {
			is.True(!strings.Contains(n.log.String(), text))
		}
	}
}

// Guards against a request that waits for a token of its quota beyond its deadline.
func TestQuotaWaitEndsAtTheDeadline(t *testing.T) {
	is := is.New(t)
	limited := acme()
	limited.Rate = 5
	n := newNode(table(limited))
	n.quotaWait = 10 * time.Second
	in := inbound("/a/1", key, "")
	in.Remaining = 10 * time.Millisecond
	began := time.Now()
	a := n.Forward(context.Background(), in)
	is.True(time.Since(began) < n.quotaWait)
	is.Equal(a.Outcome, cassiatally.OutcomeNotRun)
	is.Equal(a.Kind, cassiatally.KindExpired)
	is.Equal(len(n.requests), 0)
}
