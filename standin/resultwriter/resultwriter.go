// Package resultwriter sends the results of a load in batches to sinks, such as a
// file and a recorder.
//
// # Usage
//
//	w := &resultwriter.Writer{Sinks: []core.ResultSink{client}}
//	w.Start(ctx)
//	w.Push(ctx, result)
//	err := w.Close()
package resultwriter

import (
	"context"
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassiatally/cassiatally/cassiatally/ring"
	"github.com/cassiatally/cassiatally/standin/core"
)

const (
	inboxCapacity = 8192
	// maxBatchResults keeps a batch well below the body limit of 1 MiB.
	maxBatchResults = 500
	// sendTimeout bounds one attempt to send a batch, maxAttempts their number.
	sendTimeout = 5 * time.Second
	maxAttempts = 3
	retryPause  = 200 * time.Millisecond
)

// Writer is the duty that sends results to its sinks. Push blocks while its ring is
// full.
type Writer struct {
	Sinks []core.ResultSink

	inbox *ring.Ring[core.ReportedResult]
	wg    sync.WaitGroup
	err   error
}

// Start starts the duty, which runs until Close even when ctx ends.
func (w *Writer) Start(ctx context.Context) {
	w.inbox = ring.New[core.ReportedResult](inboxCapacity, ring.Wait)
	w.wg.Go(func() { w.run(context.WithoutCancel(ctx)) })
}

// Push queues a result. It returns false when ctx ends first or the writer is
// closed.
func (w *Writer) Push(ctx context.Context, r core.ReportedResult) bool { return w.inbox.Push(ctx, r) }

// Close sends the queued results, ends the duty and returns the first error of a
// sink.
func (w *Writer) Close() error {
	w.inbox.Close()
	w.wg.Wait()
	return w.err
}

func (w *Writer) run(ctx context.Context) {
	for {
		first, ok := w.inbox.Pop(ctx)
		if !ok {
			return
		}
		batch := w.inbox.TakeAll([]core.ReportedResult{first})
		for len(batch) > 0 {
			n := min(len(batch), maxBatchResults)
			w.sendToSinks(ctx, batch[:n])
			batch = batch[n:]
		}
	}
}

func (w *Writer) sendToSinks(ctx context.Context, batch []core.ReportedResult) {
	for _, s := range w.Sinks {
		if err := sendWithRetries(ctx, s, batch); err != nil && w.err == nil {
			w.err = err
		}
	}
}

func sendWithRetries(ctx context.Context, s core.ResultSink, batch []core.ReportedResult) error {
	var err error
	for range maxAttempts {
		attempt, cancel := context.WithTimeout(ctx, sendTimeout)
		err = s.RecordResults(attempt, batch)
		cancel()
		if err == nil {
			return nil
		}
		timer := time.NewTimer(retryPause)
		<-timer.C
	}
	return errors.Wrap(err, "sending results")
}

// JSONLines is a sink that writes one line of JSON per result.
type JSONLines struct{ W io.Writer }

// RecordResults writes the results.
func (l JSONLines) RecordResults(_ context.Context, results []core.ReportedResult) error {
	encoder := json.NewEncoder(l.W)
	for _, r := range results {
		if err := encoder.Encode(r); err != nil {
			return errors.Wrap(err, "writing a result")
		}
	}
	return nil
}
