// Package sheetreader reads the stream sheet of the log service and determines for
// each record whether it was accepted.
//
// # Usage
//
//	r := sheetreader.New(log, codec)
//	err := r.ReadToEnd(ctx, func(e sheetreader.Entry) { print(e) })
//	current, ok := r.Folder.Current()
//
// A record that cannot be decoded is passed on as an entry that is not Valid. It
// counts as read and has no effect on the version in force.
package sheetreader

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/protocol"
	"github.com/cassiatally/cassiatally/cassiatally/sheetfolder"
)

// Stream is the stream of the log service that holds the sheets.
const Stream cassiatally.Stream = "sheet"

// Entry is one record of the stream, which the log drops after Expires.
type Entry struct {
	Offset  cassiatally.Offset
	Expires time.Duration
	// Valid is false when the record holds no sheet.
	Valid    bool
	Record   cassiatally.SheetRecord
	Accepted bool
}

// Reader reads the stream from its start. It is not safe for concurrent use.
type Reader struct {
	// Folder is the state after the records that were read so far.
	Folder sheetfolder.Folder

	log   cassiatally.Log
	codec *protocol.Codec
}

// New returns a reader at the start of the stream.
func New(l cassiatally.Log, c *protocol.Codec) *Reader { return &Reader{log: l, codec: c} }

// Read calls each for the next records and returns their number. It waits up to
// wait for the first record.
func (r *Reader) Read(ctx context.Context, wait time.Duration, each func(Entry)) (int, error) {
	b, err := r.log.Read(ctx, Stream, r.Folder.Next(), wait)
	if err != nil {
		return 0, errors.Wrap(err, "read the sheets in the log")
	}
	r.Folder.Start(b.Oldest)
	for _, record := range b.Records {
		each(r.fold(record))
	}
	return len(b.Records), nil
}

// ReadToEnd calls each for all remaining records that the log has now.
func (r *Reader) ReadToEnd(ctx context.Context, each func(Entry)) error {
	for {
		n, err := r.Read(ctx, 0, each)
		if err != nil || n == 0 {
			return err
		}
	}
}

func (r *Reader) fold(l cassiatally.LogRecord) Entry {
	e := Entry{Offset: l.Offset, Expires: l.Expires}
	m, err := r.codec.Decode(l.Data)
	if err == nil {
		e.Record, e.Valid = m.(cassiatally.SheetRecord)
	}
	if !e.Valid {
		r.Folder.Skip(l.Offset)
		return e
	}
	e.Accepted = r.Folder.Apply(l.Offset, e.Record)
	return e
}
