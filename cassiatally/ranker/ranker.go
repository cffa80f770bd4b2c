// Package ranker looks up the policy of a request in a sheet: rank, share,
// target time and idempotence by service, kind of work, data centre and time.
//
// # Usage
//
//	r, err := ranker.New(s, version)
//	policy, err := r.Lookup("booking-svc", "confirm", "dc1", clock.Wall())
//
// A row for the data centre takes precedence over a row for all, and then the earlier
// row of the sheet. A kind that has rows, but none for the data centre and time, gets
// the least urgent rank of the sheet with share 0 and the target of the kind's first
// row: it is served with spare capacity only and shed first. A Ranker is immutable, so
// any number of goroutines may use it.
package ranker

import (
	"slices"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/sheet"
)

// Ranker looks up policies in one version of a sheet.
type Ranker struct {
	version     cassiatally.Version
	services    map[cassiatally.Service]struct{}
	kinds       map[sheet.KindRef]*rules
	shares      [cassiatally.MaxRanks]cassiatally.Share
	leastUrgent cassiatally.Rank
}

var _ cassiatally.Policies = (*Ranker)(nil)

// rules has the rows of one kind in order of precedence, and the policy where none
// applies.
type rules struct {
	rows     []rule
	fallback cassiatally.Policy
}

type rule struct {
	dataCentre cassiatally.DataCentre
	window     sheet.Window
	location   *time.Location
	policy     cassiatally.Policy
}

// New returns a ranker for a sheet that the parser accepted.
func New(s sheet.Sheet, v cassiatally.Version) (*Ranker, error) {
	r := &Ranker{
		version:  v,
		services: map[cassiatally.Service]struct{}{},
		kinds:    map[sheet.KindRef]*rules{},
	}
	locations := map[sheet.Zone]*time.Location{}
	for _, row := range s.Rows {
		if err := r.addRow(row, locations); err != nil {
			return nil, err
		}
	}
	for _, k := range r.kinds {
		k.fallback.Rank = r.leastUrgent
		slices.SortStableFunc(k.rows, compareSpecificity)
	}
	return r, nil
}

func (r *Ranker) addRow(row sheet.Row, locations map[sheet.Zone]*time.Location) error {
	if row.Rank >= cassiatally.MaxRanks {
		return cassiatally.NewError(cassiatally.KindInvalidSheet, "rank %d of %s is not below %d", row.Rank, row.Kind, cassiatally.MaxRanks)
	}
	loc, err := loadLocation(row.Window.Zone, locations)
	if err != nil {
		return cassiatally.NewError(cassiatally.KindInvalidSheet, "%s: %v", row.Kind, err)
	}
	policy := cassiatally.Policy{
		Rank:       row.Rank,
		Share:      row.Share,
		Target:     row.Target,
		Idempotent: row.Idempotent,
		Version:    r.version,
	}
	k := r.kinds[row.Kind]
	if k == nil {
		k = &rules{fallback: policy}
		k.fallback.Share = 0
		r.kinds[row.Kind] = k
	}
	k.rows = append(k.rows, rule{row.DataCentre, row.Window, loc, policy})
	r.services[row.Kind.Service] = struct{}{}
	r.shares[row.Rank] = row.Share
	r.leastUrgent = max(r.leastUrgent, row.Rank)
	return nil
}

func loadLocation(z sheet.Zone, locations map[sheet.Zone]*time.Location) (*time.Location, error) {
	if loc, ok := locations[z]; ok {
		return loc, nil
	}
	loc, err := z.Location()
	if err != nil {
		return nil, err
	}
	locations[z] = loc
	return loc, nil
}

func compareSpecificity(a, b rule) int {
	anyA, anyB := a.dataCentre == sheet.AnyDataCentre, b.dataCentre == sheet.AnyDataCentre
	switch {
	case anyA == anyB:
		return 0
	case anyB:
		return -1
	default:
		return 1
	}
}

// Lookup returns the policy of a kind of work at a data centre and time. It
// returns an Error of KindUnknownService or KindUnknownKind for work that the
// sheet does not name.
func (r *Ranker) Lookup(s cassiatally.Service, w cassiatally.WorkKind, dc cassiatally.DataCentre, at time.Time) (cassiatally.Policy, error) {
	k, ok := r.kinds[sheet.KindRef{Service: s, Work: w}]
	if !ok {
		return cassiatally.Policy{}, r.unknownWork(s, w)
	}
	for i := range k.rows {
		row := &k.rows[i]
		if row.dataCentre != dc && row.dataCentre != sheet.AnyDataCentre {
			continue
		}
		if row.window.Contains(at.In(row.location)) {
			return row.policy, nil
		}
	}
	return k.fallback, nil
}

func (r *Ranker) unknownWork(s cassiatally.Service, w cassiatally.WorkKind) error {
	if _, ok := r.services[s]; !ok {
		return cassiatally.NewError(cassiatally.KindUnknownService, "version %d of the sheet has no service %q; check the name", r.version, s)
	}
	return cassiatally.NewError(cassiatally.KindUnknownKind, "version %d of the sheet has no kind %q of service %q; check the name", r.version, w, s)
}

// Shares returns the reserved share of each rank: the part of the capacity that it
// keeps under overload by other ranks. A rank that the sheet does not use has share 0.
func (r *Ranker) Shares() [cassiatally.MaxRanks]cassiatally.Share { return r.shares }

// Version returns the version of the sheet.
func (r *Ranker) Version() cassiatally.Version { return r.version }
