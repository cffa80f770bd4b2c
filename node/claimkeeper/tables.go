package claimkeeper

import (
	"github.com/cassiatally/cassiatally/cassiatally"
)

// foreignTable is the shard table of another data centre, as one of its nodes
// told it.
type foreignTable struct {
	at      cassiatally.Instant
	holders map[cassiatally.ShardRef]cassiatally.Assignment
}

// shardView answers for the own data centre from the folded log and for others
// from their tables. It is immutable.
type shardView struct {
	home    cassiatally.DataCentre
	own     cassiatally.ShardView
	foreign map[cassiatally.DataCentre]foreignTable
	table   []cassiatally.Assignment
}

// notingView asks for the table of a data centre when it is used.
type notingView struct {
	*shardView
	keeper *Keeper
}

func (v *shardView) noting(k *Keeper) cassiatally.ShardView { return notingView{v, k} }

// HolderOf returns which node holds a shard.
func (v notingView) HolderOf(s cassiatally.ShardRef) (cassiatally.NodeRef, cassiatally.Epoch, bool) {
	if s.DataCentre == v.home {
		return v.own.HolderOf(s)
	}
	v.keeper.wanted.Store(s.DataCentre, struct{}{})
	as, ok := v.foreign[s.DataCentre].holders[s]
	return as.Holder, as.Epoch, ok
}

// pullForeign asks a member of another data centre for its shard table, unless
// the one at hand is fresh.
func (k *Keeper) pullForeign(now cassiatally.Instant, dc cassiatally.DataCentre) {
	if t, ok := k.foreign[dc]; ok && now.Before(t.at.Add(foreignFresh)) {
		return
	}
	if k.members == nil || !now.Reached(k.pulledAt[dc].Add(pullPause)) {
		return
	}
	members := liveMembers(k.members, dc)
	if len(members) == 0 {
		return
	}
	k.pulledAt[dc] = now
	k.send(members[k.Rand.IntN(len(members))].Ref.Node, cassiatally.ShardPull{})
}

func (k *Keeper) takeTable(now cassiatally.Instant, t cassiatally.ShardTable) {
	var own []cassiatally.Assignment
	changed := false
	for _, as := range t.Assignments {
		if as.Shard.DataCentre == k.DataCentre {
			own = append(own, as)
			continue
		}
		changed = k.adoptForeign(now, as) || changed
	}
	if len(own) > 0 && k.Assigner.Adopt(cassiatally.ShardTable{Assignments: own, Next: t.Next}) {
		changed = true
		k.tableChanged(now)
	}
	if changed {
		k.publish()
	}
}

func (k *Keeper) adoptForeign(now cassiatally.Instant, as cassiatally.Assignment) bool {
	old := k.foreign[as.Shard.DataCentre]
	next := foreignTable{at: now, holders: make(map[cassiatally.ShardRef]cassiatally.Assignment, len(old.holders)+1)}
	for s, known := range old.holders {
		next.holders[s] = known
	}
	known, ok := next.holders[as.Shard]
	if !ok || as.Epoch > known.Epoch {
		next.holders[as.Shard] = as
	}
	k.foreign[as.Shard.DataCentre] = next
	return true
}

// tableChanged passes changes of the own table on to the claimer and to gossip.
func (k *Keeper) tableChanged(now cassiatally.Instant) {
	k.judged = false
	changed := k.Assigner.Changed()
	if len(changed) == 0 {
		return
	}
	for _, as := range changed {
		k.Logger.Debug("shard assigned", "shard", as.Shard, "epoch", as.Epoch, "holder", as.Holder, "standby", as.Standby, "complete_from", as.CompleteFrom)
	}
	k.carryOut(now, k.Claimer.AssignmentsChanged(now, changed))
	k.OnEpochs(k.Assigner.SumEpochs())
	k.tellPairs(changed)
}

// tellPairs passes changed assignments to their holders and standbys at once.
// Gossip would take a second or more, in which the shard answers nobody.
func (k *Keeper) tellPairs(changed []cassiatally.Assignment) {
	next := k.Assigner.CoveredTo()
	for _, as := range changed {
		for _, ref := range []cassiatally.NodeRef{as.Holder, as.Standby} {
			if !ref.IsZero() && ref != k.Self {
				k.send(ref.Node, cassiatally.ShardTable{Assignments: []cassiatally.Assignment{as}, Next: next})
			}
		}
	}
}

// pullOwn asks a member for the table of this data centre while this node has
// none to judge the log by, or while a shard has no holder that is live.
func (k *Keeper) pullOwn(now cassiatally.Instant) {
	if k.members == nil || !now.Reached(k.pulledAt[k.DataCentre].Add(pullPause)) {
		return
	}
	if !k.Assigner.NeedsTable() && (k.follows || k.allHoldersLive()) {
		return
	}
	to, ok := k.tableSource()
	if !ok {
		return
	}
	k.pulledAt[k.DataCentre] = now
	k.send(to, cassiatally.ShardPull{Have: k.Assigner.SumEpochs()})
}

// tableSource returns a log reader of the data centre, or any other member when
// this node is the only reader.
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

func (k *Keeper) allHoldersLive() bool {
	if !k.judged {
		k.holdersLive, k.judged = k.judgeHolders(), true
	}
	return k.holdersLive
}

func (k *Keeper) judgeHolders() bool {
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

// publish replaces the view that readers use. The maps of foreign tables are
// never changed after they were published.
func (k *Keeper) publish() {
	foreign := make(map[cassiatally.DataCentre]foreignTable, len(k.foreign))
	for dc, t := range k.foreign {
		foreign[dc] = t
	}
	k.view.Store(&shardView{home: k.DataCentre, own: k.Assigner.Snapshot(), foreign: foreign, table: k.Assigner.Table().Assignments})
}
