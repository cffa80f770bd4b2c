// Package matcher finds the route of a request: among the routes of its host, the
// one with the longest prefix of its path.
//
// # Usage
//
//	m := matcher.New(table)
//	if route, ok := m.Match("hulo84.example", "/stock/17"); ok { ... }
//
// A Matcher is immutable and safe for concurrent use.
package matcher

import (
	"cmp"
	"net"
	"slices"
	"strings"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// Matcher finds routes in one version of the route table.
type Matcher struct {
	table cassiatally.RouteTable
	// hosts maps each host to its routes, with the longest prefix first.
	hosts map[string][]*cassiatally.Route
	// tenants maps the digest of each key to its tenant.
	tenants map[cassiatally.KeyDigest]*cassiatally.TenantSpec
}

// New returns a matcher for a table, which must not be changed afterwards.
func New(t cassiatally.RouteTable) *Matcher {
	m := &Matcher{table: t, hosts: make(map[string][]*cassiatally.Route), tenants: make(map[cassiatally.KeyDigest]*cassiatally.TenantSpec)}
	for i := range m.table.Tenants {
		for _, k := range m.table.Tenants[i].Keys {
			m.tenants[k] = &m.table.Tenants[i]
		}
	}
	for i := range m.table.Routes {
		r := &m.table.Routes[i]
		host := strings.ToLower(r.Host)
		m.hosts[host] = append(m.hosts[host], r)
	}
	for _, routes := range m.hosts {
		slices.SortStableFunc(routes, func(a, b *cassiatally.Route) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
	return m
}

// Table returns the table that the matcher was made for.
func (m *Matcher) Table() *cassiatally.RouteTable { return &m.table }

// HasTenants reports whether requests are authenticated.
func (m *Matcher) HasTenants() bool { return len(m.table.Tenants) > 0 }

// Tenant returns the tenant of a key.
func (m *Matcher) Tenant(key cassiatally.KeyDigest) (*cassiatally.TenantSpec, bool) {
	t, ok := m.tenants[key]
	return t, ok
}

// Match returns the route of a request. The host may include a port.
func (m *Matcher) Match(host, path string) (*cassiatally.Route, bool) {
	for _, r := range m.hosts[normaliseHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// normaliseHost returns a host name in lower case without its port.
func normaliseHost(host string) string {
	if strings.Contains(host, ":") {
		if h, _, err := net.SplitHostPort(host); err == nil {
			host = h
		}
	}
	return strings.ToLower(host)
}
