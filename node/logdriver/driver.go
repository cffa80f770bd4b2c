// Package logdriver reads and appends to the log for the duties of a node, with common
// timeouts and retry intervals.
//
// # Usage
//
//	d := &logdriver.Driver{Log: log, Codec: codec}
//	batch, err := d.Read(ctx, stream, from)
//	err = d.Append(ctx, stream, record)
package logdriver

import (
	"context"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/protocol"
)

const (
	longPoll = 2 * time.Second
	// readRetryInterval is the time to the next read of the log after a failed one.
	readRetryInterval = 500 * time.Millisecond
	appendTimeout     = 3 * time.Second
)

// Driver reads and appends to the log.
type Driver struct {
	Log   cassiatally.Log
	Codec *protocol.Codec
}

// Read waits for records from an offset on, up to longPoll. It returns an error only
// after readRetryInterval, so that the caller may retry immediately.
func (d *Driver) Read(ctx context.Context, s cassiatally.Stream, from cassiatally.Offset) (cassiatally.Batch, error) {
	batch, err := d.Log.Read(ctx, s, from, longPoll)
	if err != nil {
		sleep(ctx, readRetryInterval)
	}
	return batch, err
}

// Append encodes a message and appends it to a stream.
func (d *Driver) Append(ctx context.Context, s cassiatally.Stream, m cassiatally.Message) error {
	data, err := d.Codec.Encode(m)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err = d.Log.Append(ctx, s, data)
	return err
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
