package logstore_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/standin/logstore"
)

func at(d time.Duration) cassiatally.Instant { return cassiatally.Instant(d) }

func newStore(perSecond float64) *logstore.Store {
	return logstore.New(logstore.Limits{AppendsPerSecond: perSecond, Retention: time.Minute, MaxBytes: 100})
}

// Guards against records that are returned after the retention time, and against
// offsets that are reused once all records have expired.
func TestRetentionKeepsOffsets(t *testing.T) {
	is := is.New(t)
	s := newStore(1000)
	for i := range 3 {
		offset, err := s.Append(at(time.Duration(i)*time.Second), "sheet", []byte("r"))
		is.NoErr(err)
		is.Equal(offset, cassiatally.Offset(i))
	}
	batch, _ := s.Read(at(61*time.Second), "sheet", 0, 10)
	is.Equal(batch.Oldest, cassiatally.Offset(2)) // the records of seconds 0 and 1 have expired
	is.Equal(len(batch.Records), 1)
	is.Equal(batch.Records[0].Offset, cassiatally.Offset(2))
	is.Equal(batch.Records[0].Expires, time.Second)
	offset, err := s.Append(at(time.Hour), "sheet", []byte("r"))
	is.NoErr(err)
	is.Equal(offset, cassiatally.Offset(3))
}

// Guards against reads that miss records or return records outside the requested
// range.
func TestReadRange(t *testing.T) {
	cases := []struct {
		name  string
		from  cassiatally.Offset
		limit int
		next  cassiatally.Offset
		count int
	}{
		{"all", 0, 10, 3, 3},
		{"from the middle", 1, 10, 3, 2},
		{"at most the limit", 0, 2, 2, 2},
		{"at the end", 3, 10, 3, 0},
		{"beyond the end", 9, 10, 3, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newStore(1000)
			for range 3 {
				_, err := s.Append(at(0), "sheet", []byte("r"))
				is.NoErr(err)
			}
			batch, _ := s.Read(at(0), "sheet", c.from, c.limit)
			is.Equal(batch.Next, c.next)
			is.Equal(len(batch.Records), c.count)
		})
	}
}

// Guards against a store that accepts more than the platform's log service does.
func TestLimits(t *testing.T) {
	is := is.New(t)
	s := newStore(10)
	_, err := s.Append(at(0), "a", []byte("r"))
	is.NoErr(err)
	_, err = s.Append(at(0), "b", []byte("r"))
	is.Equal(err, logstore.ErrTooFast) // all streams share one rate limit
	_, err = s.Append(at(time.Second), "b", make([]byte, 100))
	is.Equal(err, logstore.ErrFull)
	_, err = s.Append(at(2*time.Minute), "b", make([]byte, 100))
	is.NoErr(err) // expired records free their bytes
}
