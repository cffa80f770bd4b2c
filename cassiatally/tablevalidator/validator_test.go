package tablevalidator_test

import (
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/tablevalidator"
)

func digests(keys ...string) (out []cassiatally.KeyDigest) {
	for _, k := range keys {
		out = append(out, cassiatally.KeyDigestOf(k))
	}
	return out
}

// Guards against a table that comes into force although its operator cannot have meant it,
// and against a valid one that is refused.
func TestTables(t *testing.T) {
	type (
		table   = cassiatally.RouteTable
		tenant  = cassiatally.TenantSpec
		weights = []cassiatally.WeightedService
	)
	tenants := func(specs ...tenant) func(*table) { return func(t *table) { t.Tenants = specs } }
	services := func(w weights) func(*table) { return func(t *table) { t.Routes[0].Services = w } }
	cases := []struct {
		name   string
		change func(*table)
		// refused is part of the reason; empty for a valid table.
		refused string
	}{
		{"no tenants", func(*table) {}, ""},
		{"no routes", func(t *table) { t.Routes = nil }, ""},
		{"tenants", tenants(tenant{Name: "a", Keys: digests("1", "2"), Rate: 3, Burst: 4}, tenant{Name: "b", Keys: digests("3")}, tenant{Name: "c"}), ""},
		{"a key twice at one tenant", tenants(tenant{Name: "a", Keys: digests("1", "1")}), ""},
		{"a key of two tenants", tenants(tenant{Name: "a", Keys: digests("1", "2")}, tenant{Name: "b", Keys: digests("3", "2")}), `tenants "a" and "b" share a key`},
		{"a name twice", tenants(tenant{Name: "a", Keys: digests("1")}, tenant{Name: "a", Keys: digests("2")}), `tenant "a" appears twice`},
		{"no name", tenants(tenant{Keys: digests("1")}), "no name"},
		{"negative rate", tenants(tenant{Name: "a", Rate: -0.1}), `quota of tenant "a" is negative`},
		{"negative burst", tenants(tenant{Name: "a", Rate: 1, Burst: -1}), `quota of tenant "a" is negative`},
		{"rate that is no number", tenants(tenant{Name: "a", Rate: cassiatally.Rate(math.NaN())}), "negative"},
		{"one weight of zero", services(weights{{Service: "s", Weight: 1}, {Service: "t", Weight: 0}}), ""},
		{"negative weight", services(weights{{Service: "s", Weight: 2}, {Service: "t", Weight: -1}}), `route "r" has a negative weight`},
		{"weight that is no number", services(weights{{Service: "s", Weight: math.NaN()}}), "negative weight"},
		{"weights of zero", services(weights{{Service: "s"}, {Service: "t"}}), `all weights of route "r" are zero`},
		{"no service", services(nil), "zero"},
		{"service that is not listed", services(weights{{Service: "s", Weight: 1}, {Service: "u", Weight: 1}}), `names service "u", which is not listed`},
		{"service that is not listed, without weight", services(weights{{Service: "s", Weight: 1}, {Service: "u"}}), "not listed"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table := cassiatally.RouteTable{
				Version:  1,
				Routes:   []cassiatally.Route{{Name: "r", Services: weights{{Service: "s", Weight: 1}}}},
				Services: []cassiatally.ServiceSpec{{Name: "s"}, {Name: "t"}},
			}
			c.change(&table)
			err := tablevalidator.Validator{}.Validate(table)
			is.Equal(err != nil, c.refused != "")
			if err != nil {
				is.True(strings.Contains(err.Error(), c.refused))
			}
		})
	}
}

// Guards against a tenant name that ends the header field in which endpoints get it: the
// rest of the name would be read as further fields or as a request.
func TestTenantNameWithControlCharacters(t *testing.T) {
	for _, name := range []cassiatally.Tenant{"a\r\nX: y", "a\nb", "a\x00", "a\x7f"} {
		err := tablevalidator.Validator{}.Validate(cassiatally.RouteTable{Tenants: []cassiatally.TenantSpec{{Name: name}}})
		if err == nil {
			t.Errorf("a tenant name %q is accepted", name)
		}
	}
	err := tablevalidator.Validator{}.Validate(cassiatally.RouteTable{Tenants: []cassiatally.TenantSpec{{Name: "Büro 7"}}})
	if err != nil {
		t.Error(err)
	}
}
