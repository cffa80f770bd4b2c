package windowbudgeter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/windowbudgeter"
)

const (
	ratio = 0.16
	// allowed is the ratio of retries to requests in a window over the whole fleet, and
	// slack the retries in addition.
	allowed = 0.2
	slack   = 48.0
	window  = 10 * time.Second
)

var pair = cassiatally.ServicePair{To: "avail-svc"}

type arrival struct {
	at    cassiatally.Instant
	retry bool
}

// Guards against a fleet whose nodes together retry more than the allowed fraction of
// requests in some window, for instance after an idle time, during a partition or in a
// burst.
func TestFleetKeepsTheBoundInEveryWindow(t *testing.T) {
	is := is.New(t)
	const nodes = 16
	fleet := make([]windowbudgeter.Budgeter, nodes)
	var arrivals []arrival
	for ms := range 40_000 {
		now := cassiatally.Instant(time.Hour + time.Duration(ms)*time.Millisecond)
		b := &fleet[ms%nodes]
		b.Ratio, b.Slack = ratio, 1
		busy := ms < 8000 || ms > 20_000 // idle for 12 s in between
		if busy {
			b.Requested(now, pair, false)
			arrivals = append(arrivals, arrival{now, false})
		}
		// Everything fails, so that each node retries as often as it may.
		for b.TakeLostRetry(now, pair) {
			arrivals = append(arrivals, arrival{now, true})
		}
	}
	retries := 0
	first, requests, before := 0, 0, 0
	for i, a := range arrivals {
		if a.retry {
			retries++
		} else {
			requests++
		}
		for ; arrivals[first].at < a.at.Add(-window); first++ {
			if arrivals[first].retry {
				retries--
			} else {
				requests--
				before++
			}
		}
		is.True(float64(retries) <= allowed*float64(max(requests, before))+slack)
		_ = i
	}
	is.True(len(arrivals) > 0)
}

// Guards against requests of repeated runs further up the call chain that don't count
// as retries: they would exceed the bound together with the retries of the node itself.
func TestRepeatedRequestsCountAsRetries(t *testing.T) {
	is := is.New(t)
	b := &windowbudgeter.Budgeter{Ratio: ratio}
	now := cassiatally.Instant(time.Hour)
	for range 100 {
		b.Requested(now, pair, false)
	}
	for range 16 {
		b.Requested(now, pair, true)
	}
	is.True(!b.TakeRetry(now, pair, 0, 1))
	is.True(!b.TakeLostRetry(now, pair))
}

// Guards against retries into a service that is short of capacity.
func TestServiceShortOfCapacityGetsNoRetries(t *testing.T) {
	is := is.New(t)
	b := &windowbudgeter.Budgeter{Ratio: ratio, Slack: 1}
	now := cassiatally.Instant(time.Hour)
	is.True(!b.TakeRetry(now, pair, 0, 0.5))
	is.True(b.TakeLostRetry(now, pair)) // its endpoint was lost
	is.True(!b.TakeLostRetry(now, pair))
	is.True(b.TakeLostRetry(now.Add(window), pair))
}

// Guards against calls of long chains that use up all retries, so that the most urgent
// requests fail, for which one retry is enough.
func TestMostUrgentRankHasRetriesLeft(t *testing.T) {
	is := is.New(t)
	b := &windowbudgeter.Budgeter{Ratio: ratio}
	now := cassiatally.Instant(time.Hour)
	for range 100 {
		b.Requested(now, pair, false)
	}
	others, urgent := 0, 0
	for b.TakeRetry(now, pair, 1, 1) {
		others++
	}
	for b.TakeRetry(now, pair, 0, 1) {
		urgent++
	}
	is.Equal(others, 8)
	is.Equal(urgent, 8)
}
