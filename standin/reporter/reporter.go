// Package reporter sends the ends of runs to a recorder asynchronously, so that a
// run does not occupy its slot while its end is being sent. The backend
// server sends starts synchronously, since a run must not start before its record
// is stored.
//
// # Usage
//
//	r := &reporter.Reporter{Sink: client, Logger: logger}
//	r.Start()
//	r.Push(ctx, run)
//	r.Close()
package reporter

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cassiatally/cassiatally/cassiatally/ring"
	"github.com/cassiatally/cassiatally/standin/core"
)

const (
	inboxCapacity = 4096
	// sendTimeout bounds the sending of one record, so that Close returns even while
	// the recorder is unreachable.
	sendTimeout = 2 * time.Second
)

// Reporter is the duty that sends the ends of runs. Push blocks while its ring is
// full.
type Reporter struct {
	Sink   core.RunSink
	Logger *log.Logger

	inbox *ring.Ring[core.Run]
	wg    sync.WaitGroup
}

// Start starts the duty.
func (r *Reporter) Start() {
	r.inbox = ring.New[core.Run](inboxCapacity, ring.Wait)
	r.wg.Go(r.run)
}

// Push queues a record for sending. It returns false when ctx ends first or the
// reporter is closed.
func (r *Reporter) Push(ctx context.Context, v core.Run) bool { return r.inbox.Push(ctx, v) }

// Close sends the queued records and ends the duty.
func (r *Reporter) Close() {
	r.inbox.Close()
	r.wg.Wait()
}

func (r *Reporter) run() {
	for {
		v, ok := r.inbox.Pop(context.Background())
		if !ok {
			return
		}
		r.send(v)
	}
}

func (r *Reporter) send(v core.Run) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	if err := r.Sink.Record(ctx, v); err != nil {
		r.Logger.Warn("end of a run not recorded", "record", v.Record, "err", err)
	}
}
