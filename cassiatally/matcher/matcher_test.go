package matcher_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/matcher"
)

// Guards against a request that matches a route of another host, or one with a
// shorter prefix than another matching route.
func TestMatch(t *testing.T) {
	m := matcher.New(cassiatally.RouteTable{Routes: []cassiatally.Route{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "B.example", Prefix: "/x/"},
	}})
	cases := []struct {
		name, host, path string
		want             cassiatally.WorkKind
	}{
		{"longest prefix", "a.example", "/x/y/1", "long"},
		{"shorter prefix", "a.example", "/x/z", "short"},
		{"prefix without its final slash", "a.example", "/x", "all"},
		{"host with a port", "a.example:80", "/x/1", "short"},
		{"case of the host", "b.EXAMPLE", "/x/1", "other"},
		{"no prefix", "b.example", "/y/", ""},
		{"unknown host", "c.example", "/x/", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r, ok := m.Match(c.host, c.path)
			is.Equal(ok, c.want != "")
			if ok {
				is.Equal(r.Name, c.want)
			}
		})
	}
}
