// Package sheetbook looks up ranks, shares and idempotency in the sheet of a trial.
//
// # Usage
//
//	b, err := sheetbook.Open("examples/barrier/sheet.csv", "edinburgh", time.Now())
//	rank := b.Rank(class.Service, class.Kind)
package sheetbook

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/ranker"
	"github.com/cassiatally/cassiatally/cassiatally/sheetparser"
)

// sheetVersion is the version of the first sheet of a trial; the looked-up policies
// do not depend on it.
const sheetVersion = 1

// Book looks up a sheet for one data centre and time.
type Book struct {
	ranker     *ranker.Ranker
	dataCentre cassiatally.DataCentre
	at         time.Time
}

// Open reads and parses the sheet.
func Open(file string, dataCentre cassiatally.DataCentre, at time.Time) (*Book, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "reading the sheet")
	}
	var p sheetparser.Parser
	s, report := p.Parse(file, data)
	if err := report.Err(); err != nil {
		return nil, err
	}
	r, err := ranker.New(s, sheetVersion)
	return &Book{ranker: r, dataCentre: dataCentre, at: at}, err
}

// Rank returns the rank of a kind of work, or the least urgent rank when the sheet
// does not list it.
func (b *Book) Rank(s cassiatally.Service, k cassiatally.WorkKind) cassiatally.Rank {
	p, err := b.ranker.Lookup(s, k, b.dataCentre, b.at)
	if err != nil {
		return cassiatally.MaxRanks - 1
	}
	return p.Rank
}

// Idempotent reports whether a kind of work may be run more than once.
func (b *Book) Idempotent(s cassiatally.Service, k cassiatally.WorkKind) bool {
	p, err := b.ranker.Lookup(s, k, b.dataCentre, b.at)
	return err == nil && p.Idempotent
}

// Share returns the reserved share of a rank: the share of capacity that it keeps
// when more urgent work floods the service.
func (b *Book) Share(r cassiatally.Rank) cassiatally.Share { return b.ranker.Shares()[r] }
