package cassiatally

import "time"

// Instant is a reading of a monotonic clock whose origin differs between processes.
// Instants of different processes cannot be compared.
type Instant time.Duration

// Add returns the instant d later.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// Sub returns the time from u to t.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t - u) }

// Before reports whether t is earlier than u.
func (t Instant) Before(u Instant) bool { return t < u }

// Reached reports whether t is u or later.
func (t Instant) Reached(u Instant) bool { return t >= u }

type (
	// Rank orders kinds of work by urgency. Rank 0 is the most urgent.
	Rank uint8
	// Order is a fixed value in [0, 1) of a root request. When capacity is short, the
	// requests of a rank with the lowest values are served.
	Order float64
	// Level is the fraction of order values in [0, 1] that a service can serve.
	Level float64
	// Share is a fraction of capacity in [0, 1].
	Share float64
	// FailureRate is the fraction of runs in [0, 1] that failed.
	FailureRate float64
	// Rate counts requests per second.
	Rate float64
	// Concurrency counts requests that run at the same time.
	Concurrency int
	// Bytes is an amount of memory.
	Bytes int64
	// RetryCount counts retries.
	RetryCount uint8
	// Depth counts the calls between a root request and a call in its chain.
	Depth uint8
)

const (
	// MaxRanks bounds the ranks of a sheet.
	MaxRanks = 8
	// MaxDepth bounds a call chain. A system of the target size has chains of 17.
	MaxDepth Depth = 32
	// MaxBodyBytes bounds the body of a request or an answer.
	MaxBodyBytes = 1 << 20
)
