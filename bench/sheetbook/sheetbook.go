// Package sheetbook tells what the sheet of a trial states about classes of
// requests and kinds of work.
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

// version is that of the first sheet of a trial; the policies do not depend on
// it.
const version = 1

// Book looks up a sheet at one place and time.
type Book struct {
	ranker *ranker.Ranker
	place  cassiatally.DataCentre
	at     time.Time
}

// Open reads the sheet.
func Open(file string, place cassiatally.DataCentre, at time.Time) (*Book, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "reading the sheet")
	}
	var p sheetparser.Parser
	s, report := p.Parse(file, data)
	if err := report.Err(); err != nil {
		return nil, err
	}
	r, err := ranker.New(s, version)
	return &Book{ranker: r, place: place, at: at}, err
}

// Rank returns the rank of a kind of work, or the last rank when the sheet does
// not name it.
func (b *Book) Rank(s cassiatally.Service, k cassiatally.WorkKind) cassiatally.Rank {
	p, err := b.ranker.Lookup(s, k, b.place, b.at)
	if err != nil {
		return cassiatally.MaxRanks - 1
	}
	return p.Rank
}

// Idempotent reports whether a kind of work may be run again.
func (b *Book) Idempotent(s cassiatally.Service, k cassiatally.WorkKind) bool {
	p, err := b.ranker.Lookup(s, k, b.place, b.at)
	return err == nil && p.Idempotent
}

// Share returns the share that a rank keeps in a flood.
func (b *Book) Share(r cassiatally.Rank) cassiatally.Share { return b.ranker.Shares()[r] }
