// Package tablevalidator checks route tables before they come into force. A table is
// refused as a whole: a part of it could serve requests with rights, limits or weights
// that its operator did not intend.
//
// # Usage
//
//	if err := (tablevalidator.Validator{}).Validate(table); err != nil { ... }
//
// Errors name tenants, routes and services, and no keys.
package tablevalidator

import (
	"strings"
	"unicode"

	"github.com/cockroachdb/errors"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// Validator checks route tables. The zero value is ready for use.
type Validator struct{}

// Validate returns why a table must not come into force, or nil.
func (Validator) Validate(t cassiatally.RouteTable) error {
	if err := validateTenants(t.Tenants); err != nil {
		return err
	}
	listed := make(map[cassiatally.Service]bool, len(t.Services))
	for _, s := range t.Services {
		listed[s.Name] = true
	}
	for _, r := range t.Routes {
		if err := validateRoute(r, listed); err != nil {
			return err
		}
	}
	return nil
}

func validateTenants(tenants []cassiatally.TenantSpec) error {
	names := make(map[cassiatally.Tenant]bool, len(tenants))
	owners := make(map[cassiatally.KeyDigest]cassiatally.Tenant)
	for _, t := range tenants {
		switch {
		case t.Name == "":
			return errors.New("a tenant has no name")
		case strings.ContainsFunc(string(t.Name), unicode.IsControl):
			// Endpoints get the name in a header field.
			return errors.Newf("the name of tenant %q has control characters", t.Name)
		case names[t.Name]:
			return errors.Newf("tenant %q appears twice", t.Name)
		case !notNegative(float64(t.Rate)), !notNegative(t.Burst):
			return errors.Newf("the quota of tenant %q is negative", t.Name)
		}
		names[t.Name] = true
		for _, k := range t.Keys {
			if owner, ok := owners[k]; ok && owner != t.Name {
				return errors.Newf("tenants %q and %q share a key", owner, t.Name)
			}
			owners[k] = t.Name
		}
	}
	return nil
}

func validateRoute(r cassiatally.Route, listed map[cassiatally.Service]bool) error {
	var sum float64
	for _, s := range r.Services {
		switch {
		case !notNegative(s.Weight):
			return errors.Newf("route %q has a negative weight", r.Name)
		case !listed[s.Service]:
			return errors.Newf("route %q names service %q, which is not listed", r.Name, s.Service)
		}
		sum += s.Weight
	}
	if sum == 0 {
		return errors.Newf("all weights of route %q are zero", r.Name)
	}
	return nil
}

// notNegative is false for NaN too.
func notNegative(x float64) bool { return x >= 0 }
