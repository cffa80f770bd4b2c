package sheetkeeper

import (
	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/follower"
)

// readLog starts one read of the log. The follower requests the next one when it has
// handled the batch.
func (k *Keeper) readLog(a cassiatally.ReadLog) {
	k.helpers.Go(func() {
		batch, err := k.Log.Read(k.ctx, a.Stream, a.From)
		k.inbox.Push(k.ctx, batchEvent{batch: batch, err: err})
	})
}

// serveAppends is the duty that appends the sheet in force again before the log drops
// it. The follower requests a failed append again.
func (k *Keeper) serveAppends() {
	for {
		record, ok := k.appends.Pop(k.ctx)
		if !ok {
			return
		}
		if err := k.Log.Append(k.ctx, follower.Stream, record); err != nil {
			k.Logger.Warn("sheet not appended again", "version", record.Version, "error", err)
		}
	}
}
