package claimkeeper

import (
	"github.com/cassiatally/cassiatally/cassiatally"
)

// foreignTable is the shard table of another data centre, as one of its nodes sent
// it.
type foreignTable struct {
	receivedAt cassiatally.Instant
	holders    map[cassiatally.ShardRef]cassiatally.Assignment
}

// shardView has the assignments of this data centre, from the log, and those of other
// data centres, from their tables. It is immutable.
type shardView struct {
	ownDataCentre cassiatally.DataCentre
	ownView       cassiatally.ShardView
	foreignTables map[cassiatally.DataCentre]foreignTable
	table         []cassiatally.Assignment
}

// trackedView is a view that marks the table of another data centre as wanted whenever
// a lookup needs it, so that the duty requests it.
type trackedView struct {
	*shardView
	keeper *Keeper
}

func (v *shardView) tracked(k *Keeper) cassiatally.ShardView { return trackedView{v, k} }

// HolderOf returns the holder of a shard and its epoch, or false when there is none.
func (v trackedView) HolderOf(s cassiatally.ShardRef) (cassiatally.NodeRef, cassiatally.Epoch, bool) {
	if s.DataCentre == v.ownDataCentre {
		return v.ownView.HolderOf(s)
	}
	v.keeper.wantedTables.Store(s.DataCentre, struct{}{})
	as, ok := v.foreignTables[s.DataCentre].holders[s]
	return as.Holder, as.Epoch, ok
}

// pullForeignTable requests the shard table of another data centre from one of its
// members, unless the stored one is younger than foreignTableTTL.
func (k *Keeper) pullForeignTable(now cassiatally.Instant, dc cassiatally.DataCentre) {
	if t, ok := k.foreignTables[dc]; ok && now.Before(t.receivedAt.Add(foreignTableTTL)) {
		return
	}
	if k.members == nil || !now.Reached(k.pulledAt[dc].Add(minPullInterval)) {
		return
	}
	members := liveMembers(k.members, dc)
	if len(members) == 0 {
		return
	}
	k.pulledAt[dc] = now
	k.send(members[k.Rand.IntN(len(members))].Ref.Node, cassiatally.ShardPull{})
}

func (k *Keeper) mergeTable(now cassiatally.Instant, t cassiatally.ShardTable) {
	var ownAssignments []cassiatally.Assignment
	changed := false
	for _, as := range t.Assignments {
		if as.Shard.DataCentre == k.DataCentre {
			ownAssignments = append(ownAssignments, as)
			continue
		}
		changed = k.mergeForeign(now, as) || changed
	}
	if len(ownAssignments) > 0 && k.Assigner.Adopt(cassiatally.ShardTable{Assignments: ownAssignments, Next: t.Next}) {
		changed = true
		k.tableChanged(now)
	}
	if changed {
		k.publishView()
	}
}

func (k *Keeper) mergeForeign(now cassiatally.Instant, as cassiatally.Assignment) bool {
	old := k.foreignTables[as.Shard.DataCentre]
	next := foreignTable{receivedAt: now, holders: make(map[cassiatally.ShardRef]cassiatally.Assignment, len(old.holders)+1)}
	for s, stored := range old.holders {
		next.holders[s] = stored
	}
	stored, ok := next.holders[as.Shard]
	if !ok || as.Epoch > stored.Epoch {
		next.holders[as.Shard] = as
	}
	k.foreignTables[as.Shard.DataCentre] = next
	return true
}

// tableChanged passes changes of the table of this data centre to the claimer, to
// gossip, and to the holders and standbys of the changed shards.
func (k *Keeper) tableChanged(now cassiatally.Instant) {
	k.holdersChecked = false
	changed := k.Assigner.Changed()
	if len(changed) == 0 {
		return
	}
	for _, as := range changed {
		k.Logger.Debug("shard assigned", "shard", as.Shard, "epoch", as.Epoch, "holder", as.Holder, "standby", as.Standby, "complete_from", as.CompleteFrom)
	}
	k.carryOut(now, k.Claimer.AssignmentsChanged(now, changed))
	k.OnEpochs(k.Assigner.SumEpochs())
	k.sendToPairs(changed)
}

// sendToPairs sends changed assignments to their holders and standbys immediately.
// Gossip would take a second or more, during which the shard is unavailable.
func (k *Keeper) sendToPairs(changed []cassiatally.Assignment) {
	next := k.Assigner.CoveredTo()
	for _, as := range changed {
		for _, ref := range []cassiatally.NodeRef{as.Holder, as.Standby} {
			if !ref.IsZero() && ref != k.Self {
				k.send(ref.Node, cassiatally.ShardTable{Assignments: []cassiatally.Assignment{as}, Next: next})
			}
		}
	}
}

// pullOwnTable requests the table of this data centre from a member while this node
// needs one as the base for records of the log. A node that does not follow the log
// also requests it while a shard has no live holder.
func (k *Keeper) pullOwnTable(now cassiatally.Instant) {
	if k.members == nil || !now.Reached(k.pulledAt[k.DataCentre].Add(minPullInterval)) {
		return
	}
	if !k.Assigner.NeedsTable() && (k.followsLog || k.allHoldersLive()) {
		return
	}
	to, ok := k.tableSource()
	if !ok {
		return
	}
	k.pulledAt[k.DataCentre] = now
	k.send(to, cassiatally.ShardPull{Have: k.Assigner.SumEpochs()})
}

// tableSource returns another log reader of the data centre, or any other member when
// there is none.
func (k *Keeper) tableSource() (cassiatally.NodeID, bool) {
	for _, refs := range [][]cassiatally.NodeRef{k.members.LogReaders, k.members.Local} {
		var others []cassiatally.NodeRef
		for _, ref := range refs {
			if ref != k.Self {
				others = append(others, ref)
			}
		}
		if len(others) > 0 {
			return others[k.Rand.IntN(len(others))].Node, true
		}
	}
	return "", false
}

// allHoldersLive reports whether every shard of this data centre has a live holder. It
// reuses the result until the members or the table change.
func (k *Keeper) allHoldersLive() bool {
	if !k.holdersChecked {
		k.holdersLive, k.holdersChecked = k.checkHolders(), true
	}
	return k.holdersLive
}

func (k *Keeper) checkHolders() bool {
	live := make(map[cassiatally.NodeRef]struct{}, len(k.members.Local))
	for _, ref := range k.members.Local {
		live[ref] = struct{}{}
	}
	table := k.Assigner.Table().Assignments
	for _, as := range table {
		if _, ok := live[as.Holder]; !ok {
			return false
		}
	}
	return len(table) > 0
}

// publishView replaces the view that readers use. The maps in foreign tables are never
// changed after publication.
func (k *Keeper) publishView() {
	foreign := make(map[cassiatally.DataCentre]foreignTable, len(k.foreignTables))
	for dc, t := range k.foreignTables {
		foreign[dc] = t
	}
	k.view.Store(&shardView{ownDataCentre: k.DataCentre, ownView: k.Assigner.Snapshot(), foreignTables: foreign, table: k.Assigner.Table().Assignments})
}
