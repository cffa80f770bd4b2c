// Package reporter sends the ends of runs to a recorder, so that a run does not
// hold its slot for that time. Starts are sent directly, since a run must not
// start before its record is kept.
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
	// sendTimeout bounds one record, so that Close ends while a recorder is away.
	sendTimeout = 2 * time.Second
)

// Reporter is the duty that sends the ends of runs. Senders wait while its ring
// is full.
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

// Push hands a record over.
func (r *Reporter) Push(ctx context.Context, v core.Run) bool { return r.inbox.Push(ctx, v) }

// Close sends the records that were handed over and ends the duty.
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
