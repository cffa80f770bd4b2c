package claimkeeper

import (
	"github.com/cassiatally/cassiatally/cassiatally"
)

// stream returns the log stream of the data centre's shards.
func (k *Keeper) stream() cassiatally.Stream {
	return cassiatally.Stream("shards." + string(k.DataCentre))
}

// followLog starts a read of the log unless one is in progress. Only the log readers
// of the data centre follow the log. The other nodes request tables from peers; gossip
// shows them when theirs is stale.
func (k *Keeper) followLog() {
	if k.readInProgress || (!k.followsLog && !k.catchUp) {
		return
	}
	k.readInProgress = true
	k.catchUp = false
	from := k.Assigner.Next()
	k.helpers.Go(func() {
		batch, err := k.Log.Read(k.ctx, k.stream(), from)
		k.inbox.Push(k.ctx, batchEvent{batch: batch, err: err})
	})
}

func (e batchEvent) apply(k *Keeper, now cassiatally.Instant) {
	k.readInProgress = false
	if e.err != nil {
		k.Logger.Debug("shard assignments not read", "error", e.err)
		return
	}
	k.Assigner.StartAt(e.batch.Oldest)
	for _, r := range e.batch.Records {
		k.foldRecord(now, r)
	}
	k.Assigner.EndAt(e.batch.Next, len(e.batch.Records) == 0)
	k.tableChanged(now)
	k.publishView()
	k.followLog()
}

// foldRecord applies the assignments of a log record to the shard table.
func (k *Keeper) foldRecord(now cassiatally.Instant, r cassiatally.LogRecord) {
	m, err := k.Codec.Decode(r.Data)
	if err != nil {
		k.Logger.Warn("log record skipped", "stream", k.stream(), "offset", r.Offset, "error", err)
		return
	}
	t, ok := m.(cassiatally.ShardTable)
	if !ok {
		k.Logger.Warn("log record skipped", "stream", k.stream(), "offset", r.Offset, "error", "not an assignment")
		return
	}
	for _, as := range t.Assignments {
		k.Assigner.Fold(now, r.Offset, r.Expires, as)
	}
}

// serveAppends is the duty that writes assignments to the log.
func (k *Keeper) serveAppends() {
	for {
		as, ok := k.appends.Pop(k.ctx)
		if !ok {
			return
		}
		k.inbox.Push(k.ctx, appendEvent{assignment: as, err: k.appendAssignment(as)})
	}
}

func (k *Keeper) appendAssignment(as cassiatally.Assignment) error {
	return k.Log.Append(k.ctx, k.stream(), cassiatally.ShardTable{Assignments: []cassiatally.Assignment{as}})
}

func (e appendEvent) apply(k *Keeper, now cassiatally.Instant) {
	if e.err != nil {
		k.Logger.Warn("shard assignment not appended", "shard", e.assignment.Shard, "epoch", e.assignment.Epoch, "error", e.err)
		k.carryOut(now, k.Claimer.AppendFailed(now, e.assignment))
		return
	}
	k.carryOut(now, k.Claimer.AppendDone(now, e.assignment))
	// Another node may have appended a record for the same epoch earlier. The record is
	// in force only when it is read from the log as the winning one.
	k.catchUp = true
	k.followLog()
}
