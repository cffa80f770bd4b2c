package publisher_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/protocol"
	"github.com/cassiatally/cassiatally/cassiatally/publisher"
	"github.com/cassiatally/cassiatally/cassiatally/sheet"
)

// fakeLog keeps the stream in memory. Each fault applies to one append.
type fakeLog struct {
	first   cassiatally.Offset
	records [][]byte
	faults  []fault
	appends int
	// readErrors is the number of reads that fail after the first append.
	readErrors int
	readDown   bool
}

type fault struct {
	// before is a record of another publisher that is appended first.
	before []byte
	// dropped keeps the record out of the log; lost loses the response.
	dropped, lost bool
}

var errDown = cassiatally.NewError(cassiatally.KindLogUnavailable, "down")

func (f *fakeLog) Append(_ context.Context, _ cassiatally.Stream, data []byte) (cassiatally.Offset, error) {
	var now fault
	if f.appends < len(f.faults) {
		now = f.faults[f.appends]
	}
	f.appends++
	if now.before != nil {
		f.records = append(f.records, now.before)
	}
	if !now.dropped {
		f.records = append(f.records, data)
	}
	if now.lost {
		return 0, errDown
	}
	return f.first + cassiatally.Offset(len(f.records)-1), nil
}

func (f *fakeLog) Read(_ context.Context, _ cassiatally.Stream, from cassiatally.Offset, _ time.Duration) (cassiatally.Batch, error) {
	if f.readDown {
		return cassiatally.Batch{}, errDown
	}
	if f.appends > 0 && f.readErrors > 0 {
		f.readErrors--
		return cassiatally.Batch{}, errDown
	}
	b := cassiatally.Batch{Oldest: f.first, Next: max(from, f.first)}
	// A batch has at most two records, so that a reader needs several reads.
	for len(b.Records) < 2 && int(b.Next-f.first) < len(f.records) {
		b.Records = append(b.Records, cassiatally.LogRecord{Offset: b.Next, Data: f.records[b.Next-f.first]})
		b.Next++
	}
	return b, nil
}

func sheetOf(service cassiatally.Service) sheet.Sheet {
	return sheet.Sheet{Rows: []sheet.Row{{Kind: sheet.KindRef{Service: service, Work: "k"}, DataCentre: "*", Target: time.Second}}}
}

func frame(t *testing.T, v cassiatally.Version, name string, s sheet.Sheet, reappend bool) []byte {
	codec, err := protocol.New()
	is.New(t).NoErr(err)
	data, err := codec.Encode(cassiatally.SheetRecord{
		Version: v, BasedOn: v - 1, Publisher: name, Sheet: s.CSV(), Digest: cassiatally.DigestOf(s.CSV()), Reappend: reappend,
	})
	is.New(t).NoErr(err)
	return data
}

// Guards against a publication that is reported as accepted when another won, as
// a conflict when it was accepted, or as either without a read when the response
// to the append was lost.
func TestPublish(t *testing.T) {
	own := sheetOf("own")
	rival := frame(t, 2, "rival", sheetOf("rival"), false)
	base := frame(t, 1, "base", sheetOf("base"), false)
	mine := frame(t, 2, "me", own, false)
	cases := []struct {
		name    string
		log     fakeLog
		kind    cassiatally.ErrorKind
		outcome cassiatally.Outcome
		winner  string
		offset  cassiatally.Offset
		appends int
	}{
		{"accepted", fakeLog{records: [][]byte{base}}, cassiatally.KindNone, 0, "", 1, 1},
		{"accepted after other records", fakeLog{records: [][]byte{base, []byte("junk"), base, frame(t, 1, "base", sheetOf("base"), true)}}, cassiatally.KindNone, 0, "", 4, 1},
		{"accepted after a re-append in a truncated log", fakeLog{first: 70, records: [][]byte{base, frame(t, 1, "base", sheetOf("base"), true)}}, cassiatally.KindNone, 0, "", 72, 1},
		{"based on an older version", fakeLog{records: [][]byte{base, rival}}, cassiatally.KindVersionConflict, cassiatally.OutcomeNotRun, "rival", 0, 0},
		{"based on a future version", fakeLog{}, cassiatally.KindVersionConflict, cassiatally.OutcomeNotRun, "", 0, 0},
		{"race lost", fakeLog{records: [][]byte{base}, faults: []fault{{before: rival}}}, cassiatally.KindVersionConflict, cassiatally.OutcomeNotRun, "rival", 0, 1},
		{"race lost and response lost", fakeLog{records: [][]byte{base}, faults: []fault{{before: rival, lost: true}}}, cassiatally.KindVersionConflict, cassiatally.OutcomeNotRun, "rival", 0, 1},
		{"response lost after the write", fakeLog{records: [][]byte{base}, faults: []fault{{lost: true}}}, cassiatally.KindNone, 0, "", 1, 1},
		{"response lost and reads fail for a while", fakeLog{records: [][]byte{base}, faults: []fault{{lost: true}}, readErrors: 2}, cassiatally.KindNone, 0, "", 1, 1},
		{"request lost", fakeLog{records: [][]byte{base}, faults: []fault{{lost: true, dropped: true}}}, cassiatally.KindNone, 0, "", 1, 2},
		{"reads fail after the append", fakeLog{records: [][]byte{base}, readErrors: 2}, cassiatally.KindNone, 0, "", 1, 1},
		{"accepted in an earlier run", fakeLog{records: [][]byte{base, mine}}, cassiatally.KindNone, 0, "", 1, 0},
		{"no base in the log", fakeLog{first: 70, records: [][]byte{base}}, cassiatally.KindVersionConflict, cassiatally.OutcomeNotRun, "", 0, 0},
		{"log down from the start", fakeLog{readDown: true}, cassiatally.KindLogUnavailable, cassiatally.OutcomeNotRun, "", 0, 0},
		{"log down after the append", fakeLog{records: [][]byte{base}, faults: []fault{{lost: true}}, readErrors: 1 << 30}, cassiatally.KindLogUnavailable, cassiatally.OutcomeUnknown, "", 0, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			timeout := time.Minute
			if c.kind == cassiatally.KindLogUnavailable {
				timeout = 50 * time.Millisecond
			}
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			codec, err := protocol.New()
			is.NoErr(err)
			p := publisher.Publisher{Log: &c.log, Codec: codec, Name: "me"}
			result, err := p.Publish(ctx, 1, own)
			is.Equal(cassiatally.KindOf(err), c.kind)
			is.Equal(result.Offset, c.offset)
			is.Equal(c.log.appends, c.appends)
			var e *cassiatally.Error
			if errors.As(err, &e) {
				is.Equal(e.Outcome, c.outcome)
			}
			var conflict *publisher.Conflict
			is.Equal(errors.As(err, &conflict), c.kind == cassiatally.KindVersionConflict)
			if conflict != nil {
				is.Equal(conflict.Winner.Publisher, c.winner)
			}
		})
	}
}

// Guards against records without a publisher name: equal sheets of two publishers
// could not be distinguished.
func TestNameIsRequired(t *testing.T) {
	is := is.New(t)
	codec, err := protocol.New()
	is.NoErr(err)
	p := publisher.Publisher{Log: &fakeLog{}, Codec: codec}
	_, err = p.Publish(context.Background(), 0, sheetOf("a"))
	is.Equal(cassiatally.KindOf(err), cassiatally.KindUsage)
}
