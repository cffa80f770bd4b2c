// Package sheetsource reads a sheet from a file or, by its version, from the log.
//
// # Usage
//
//	s := sheetsource.Source{Log: log}
//	loaded, err := s.Load(ctx, "sheet.csv")
//	loaded, err = s.Load(ctx, "7")
package sheetsource

import (
	"context"
	"io"
	"os"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/protocol"
	"github.com/cassiatally/cassiatally/cassiatally/sheet"
	"github.com/cassiatally/cassiatally/cassiatally/sheetparser"
	"github.com/cassiatally/cassiatally/cassiatally/sheetreader"
)

// CanonicalFile is the file name under which problems of a sheet from the log are
// reported.
const CanonicalFile = "sheet.csv"

// Source reads sheets. Log is nil when no log service was named.
type Source struct{ Log cassiatally.Log }

// Load returns the sheet of a file, or that of a version if the name is a number.
func (s Source) Load(ctx context.Context, name string) (sheet.Sheet, error) {
	v, err := strconv.ParseUint(name, 10, 64)
	if err != nil {
		loaded, report, err := s.ReadFile(name)
		if err != nil {
			return sheet.Sheet{}, err
		}
		return loaded, SummaryError(name, report)
	}
	record, err := s.ReadVersion(ctx, cassiatally.Version(v))
	if err != nil {
		return sheet.Sheet{}, err
	}
	return Decode(record)
}

// ReadFile reads and parses a file. Problems of the sheet are in the report.
func (s Source) ReadFile(name string) (sheet.Sheet, sheetparser.Report, error) {
	f, err := os.Open(name)
	if err != nil {
		return sheet.Sheet{}, sheetparser.Report{}, errors.Wrap(err, "read the sheet; check the name of the file")
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, sheet.MaxBytes+1))
	if err != nil {
		return sheet.Sheet{}, sheetparser.Report{}, errors.Wrap(err, "read the sheet")
	}
	var p sheetparser.Parser
	loaded, report := p.Parse(name, data)
	return loaded, report, nil
}

// SummaryError returns an Error of KindInvalidSheet in one line, or nil for a
// report without errors.
func SummaryError(name string, r sheetparser.Report) error {
	if len(r.Errors) == 0 {
		return nil
	}
	return cassiatally.NewError(cassiatally.KindInvalidSheet, "%s has %d errors, the first at %s; run cassiatally sheet check %s to see all",
		name, len(r.Errors)+r.More, r.Errors[0], name)
}

// ReadVersion returns the accepted record of a version. Version 0 stands for the
// version in force.
func (s Source) ReadVersion(ctx context.Context, v cassiatally.Version) (cassiatally.SheetRecord, error) {
	var found cassiatally.SheetRecord
	current, err := s.EachRecord(ctx, func(e sheetreader.Entry) {
		if e.Accepted && e.Record.Version == v {
			found = e.Record
		}
	})
	if err != nil {
		return cassiatally.SheetRecord{}, err
	}
	if v == 0 {
		found = current
	}
	if found.Version == 0 {
		return cassiatally.SheetRecord{}, errors.New(
			"the log has no accepted sheet of that version; run cassiatally sheet history to see the versions")
	}
	return found, nil
}

// EachRecord calls each for all records of the log and returns the record in force.
// Its version is 0 when there is none, or when the records that are left in the log
// do not determine it.
func (s Source) EachRecord(ctx context.Context, each func(sheetreader.Entry)) (cassiatally.SheetRecord, error) {
	if s.Log == nil {
		return cassiatally.SheetRecord{}, cassiatally.NewError(cassiatally.KindUsage, "a version needs the log service; add --log ADDRESS")
	}
	codec, err := protocol.New()
	if err != nil {
		return cassiatally.SheetRecord{}, err
	}
	r := sheetreader.New(s.Log, codec)
	if err := r.ReadToEnd(ctx, each); err != nil {
		return cassiatally.SheetRecord{}, errors.Wrap(err, "try again when the log service answers")
	}
	current, _ := r.Folder.Current()
	if !r.Folder.HasBase() {
		return cassiatally.SheetRecord{}, nil
	}
	return current, nil
}

// Decode parses the sheet of a record.
func Decode(r cassiatally.SheetRecord) (sheet.Sheet, error) {
	var p sheetparser.Parser
	s, report := p.Parse(CanonicalFile, r.Sheet)
	return s, errors.Wrapf(SummaryError(CanonicalFile, report), "version %d in the log", r.Version)
}
