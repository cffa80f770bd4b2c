package sheetkeeper

import (
	"context"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/follower"
)

// read starts one read of the log. The follower asks for the next one when it
// has handled the batch.
func (k *Keeper) read(a cassiatally.ReadLog) {
	k.helpers.Go(func() {
		batch, err := k.Log.Read(k.ctx, a.Stream, a.From, longPoll)
		if err != nil {
			k.pause(readRetry)
		}
		k.inbox.Push(k.ctx, batchEvent{batch: batch, err: err})
	})
}

func (k *Keeper) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-k.ctx.Done():
	}
}

// serveAppends is the duty that appends the sheet in force again before the log
// drops it. A failed append is asked for again by the follower.
func (k *Keeper) serveAppends() {
	for {
		record, ok := k.appends.Pop(k.ctx)
		if !ok {
			return
		}
		if err := k.append(record); err != nil {
			k.Logger.Warn("sheet not appended again", "version", record.Version, "error", err)
		}
	}
}

func (k *Keeper) append(record cassiatally.SheetRecord) error {
	data, err := k.Codec.Encode(record)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(k.ctx, appendTimeout)
	defer cancel()
	_, err = k.Log.Append(ctx, follower.Stream, data)
	return err
}
