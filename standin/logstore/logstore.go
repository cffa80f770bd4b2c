// Package logstore stores append-only streams in memory with the limits of the
// platform's log service: records expire after the retention time, offsets are
// never reused, and the rate of appends is limited. It takes the time as an
// argument and does not depend on HTTP.
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
	// ErrTooFast is returned when appends exceed the rate limit.
	ErrTooFast = errors.New("appends come faster than the log accepts")
	// ErrFull is returned when a record would exceed the byte limit.
	ErrFull = errors.New("the log is full")
)

// maxBatchBytes bounds the data of one batch. The record that exceeds it is still
// part of the batch.
const maxBatchBytes = 8 << 20

// burstTime sets the burst of the rate limit: the appends that the rate allows in
// this time may arrive at once.
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
	oldest  cassiatally.Offset
	records []storedRecord
	changed chan struct{}
}

type storedRecord struct {
	appendedAt cassiatally.Instant
	data       []byte
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
	st.records = append(st.records, storedRecord{appendedAt: now, data: data})
	s.bytes += len(data)
	st.wakeReaders()
	return offset, nil
}

// Read returns up to limit records, starting at the offset. The channel is closed
// at the next append to the stream or by WakeReaders.
func (s *Store) Read(now cassiatally.Instant, name cassiatally.Stream, from cassiatally.Offset, limit int) (cassiatally.Batch, <-chan struct{}) {
	s.expire(now)
	st := s.stream(name)
	at := min(max(from, st.oldest), st.end())
	batch := cassiatally.Batch{Oldest: st.oldest, Next: at}
	size := 0
	for at < st.end() && len(batch.Records) < limit && size < maxBatchBytes {
		r := st.records[at-st.oldest]
		expires := r.appendedAt.Add(s.limits.Retention).Sub(now)
		batch.Records = append(batch.Records, cassiatally.LogRecord{Offset: at, Expires: expires, Data: r.data})
		size += len(r.data)
		at++
	}
	batch.Next = at
	return batch, st.changed
}

// WakeReaders closes the channels of all streams, so that waiting readers read
// again.
func (s *Store) WakeReaders() {
	for _, st := range s.streams {
		st.wakeReaders()
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
		for len(st.records) > 0 && now.Reached(st.records[0].appendedAt.Add(s.limits.Retention)) {
			s.bytes -= len(st.records[0].data)
			st.records[0] = storedRecord{}
			st.records = st.records[1:]
			st.oldest++
		}
	}
}

func (st *stream) end() cassiatally.Offset { return st.oldest + cassiatally.Offset(len(st.records)) }

func (st *stream) wakeReaders() {
	close(st.changed)
	st.changed = make(chan struct{})
}
