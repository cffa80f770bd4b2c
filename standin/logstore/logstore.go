// Package logstore keeps append-only streams in memory, as the platform's log
// service does: records are dropped after the retention time, offsets never
// restart, and the rate of appends is bounded. It takes the time as an
// argument and knows nothing of HTTP.
//
// # Usage
//
//	s := logstore.New(logstore.Limits{AppendsPerSecond: 300, Retention: 24 * time.Hour, MaxBytes: 1 << 28})
//	offset, err := s.Append(now, "sheet", data)
//	batch, changed := s.Read(now, "sheet", offset, 100)
//
// A Store is not safe for concurrent use; the duty that owns it serialises
// access.
package logstore

import (
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/cassiatally/cassiatally/cassiatally"
)

var (
	// ErrTooFast tells that appends come faster than the stated rate.
	ErrTooFast = errors.New("appends come faster than the log accepts")
	// ErrFull tells that the store holds as many bytes as it may.
	ErrFull = errors.New("the log is full")
)

// maxBatchBytes bounds the data of one answer to a read.
const maxBatchBytes = 8 << 20

// burstTime is the time whose appends may come at once.
const burstTime = 100 * time.Millisecond

// Limits bound a store.
type Limits struct {
	AppendsPerSecond float64
	Retention        time.Duration
	MaxBytes         int
}

// Store is a set of append-only streams.
type Store struct {
	limits  Limits
	streams map[cassiatally.Stream]*stream
	bytes   int
	rate    *rate.Limiter
}

type stream struct {
	first   cassiatally.Offset
	records []stored
	changed chan struct{}
}

type stored struct {
	at   cassiatally.Instant
	data []byte
}

// New returns an empty store.
func New(l Limits) *Store {
	burst := max(1, int(l.AppendsPerSecond*burstTime.Seconds()))
	return &Store{
		limits:  l,
		streams: make(map[cassiatally.Stream]*stream),
		rate:    rate.NewLimiter(rate.Limit(l.AppendsPerSecond), burst),
	}
}

// Append adds a record and returns its offset.
func (s *Store) Append(now cassiatally.Instant, name cassiatally.Stream, data []byte) (cassiatally.Offset, error) {
	s.expire(now)
	if !s.rate.AllowN(time.Unix(0, int64(now)), 1) {
		return 0, ErrTooFast
	}
	if s.bytes+len(data) > s.limits.MaxBytes {
		return 0, ErrFull
	}
	st := s.stream(name)
	offset := st.end()
	st.records = append(st.records, stored{at: now, data: data})
	s.bytes += len(data)
	st.wake()
	return offset, nil
}

// Read returns up to limit records from the offset on. When there is none, the
// channel is closed once there may be one.
func (s *Store) Read(now cassiatally.Instant, name cassiatally.Stream, from cassiatally.Offset, limit int) (cassiatally.Batch, <-chan struct{}) {
	s.expire(now)
	st := s.stream(name)
	at := min(max(from, st.first), st.end())
	batch := cassiatally.Batch{Oldest: st.first, Next: at}
	size := 0
	for at < st.end() && len(batch.Records) < limit && size < maxBatchBytes {
		r := st.records[at-st.first]
		expires := r.at.Add(s.limits.Retention).Sub(now)
		batch.Records = append(batch.Records, cassiatally.LogRecord{Offset: at, Expires: expires, Data: r.data})
		size += len(r.data)
		at++
	}
	batch.Next = at
	return batch, st.changed
}

// Wake ends all waits for new records.
func (s *Store) Wake() {
	for _, st := range s.streams {
		st.wake()
	}
}

func (s *Store) stream(name cassiatally.Stream) *stream {
	st := s.streams[name]
	if st == nil {
		st = &stream{changed: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

func (s *Store) expire(now cassiatally.Instant) {
	for _, st := range s.streams {
		for len(st.records) > 0 && now.Reached(st.records[0].at.Add(s.limits.Retention)) {
			s.bytes -= len(st.records[0].data)
			st.records[0] = stored{}
			st.records = st.records[1:]
			st.first++
		}
	}
}

func (st *stream) end() cassiatally.Offset { return st.first + cassiatally.Offset(len(st.records)) }

func (st *stream) wake() {
	close(st.changed)
	st.changed = make(chan struct{})
}
