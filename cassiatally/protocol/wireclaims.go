package protocol

import (
	"github.com/cassiatally/cassiatally/cassiatally"
)

type wireAssignment struct {
	Shard        wireShardRef       `cbor:"1,keyasint,omitempty"`
	Epoch        cassiatally.Epoch  `cbor:"2,keyasint,omitempty"`
	Holder       wireNodeRef        `cbor:"3,keyasint,omitempty"`
	Standby      wireNodeRef        `cbor:"4,keyasint,omitempty"`
	CompleteFrom cassiatally.Epoch  `cbor:"5,keyasint,omitempty"`
	Reappend     bool               `cbor:"6,keyasint,omitempty"`
	ReadTo       cassiatally.Offset `cbor:"7,keyasint,omitempty"`
}

func toAssignment(m cassiatally.Assignment) wireAssignment {
	return wireAssignment{
		Shard:        toShardRef(m.Shard),
		Epoch:        m.Epoch,
		Holder:       toNodeRef(m.Holder),
		Standby:      toNodeRef(m.Standby),
		CompleteFrom: m.CompleteFrom,
		Reappend:     m.Reappend,
		ReadTo:       m.ReadTo,
	}
}

func fromAssignment(w wireAssignment) cassiatally.Assignment {
	return cassiatally.Assignment{
		Shard:        fromShardRef(w.Shard),
		Epoch:        w.Epoch,
		Holder:       fromNodeRef(w.Holder),
		Standby:      fromNodeRef(w.Standby),
		CompleteFrom: w.CompleteFrom,
		Reappend:     w.Reappend,
		ReadTo:       w.ReadTo,
	}
}

type wireClaim struct {
	Key         cassiatally.Key         `cbor:"1,keyasint,omitempty"`
	Fingerprint cassiatally.Fingerprint `cbor:"2,keyasint,omitempty"`
	State       cassiatally.ClaimState  `cbor:"3,keyasint,omitempty"`
	Answer      *wireAnswer             `cbor:"4,keyasint,omitempty"`
}

func toClaim(m cassiatally.Claim) wireClaim {
	return wireClaim{
		Key:         m.Key,
		Fingerprint: m.Fingerprint,
		State:       m.State,
		Answer:      convertPointer(m.Answer, toAnswer),
	}
}

func fromClaim(w wireClaim) cassiatally.Claim {
	return cassiatally.Claim{
		Key:         w.Key,
		Fingerprint: w.Fingerprint,
		State:       w.State,
		Answer:      convertPointer(w.Answer, fromAnswer),
	}
}

type wireShardPull struct {
	Have cassiatally.Epoch `cbor:"1,keyasint,omitempty"`
}

func toShardPull(m cassiatally.ShardPull) wireShardPull { return wireShardPull(m) }

func fromShardPull(w wireShardPull) cassiatally.ShardPull { return cassiatally.ShardPull(w) }

type wireShardTable struct {
	Assignments []wireAssignment   `cbor:"1,keyasint,omitempty"`
	Next        cassiatally.Offset `cbor:"2,keyasint,omitempty"`
}

func toShardTable(m cassiatally.ShardTable) wireShardTable {
	return wireShardTable{
		Assignments: convertAll(m.Assignments, toAssignment),
		Next:        m.Next,
	}
}

func fromShardTable(w wireShardTable) cassiatally.ShardTable {
	return cassiatally.ShardTable{
		Assignments: convertAll(w.Assignments, fromAssignment),
		Next:        w.Next,
	}
}

type wireClaimUpdate struct {
	Shard wireShardRef      `cbor:"1,keyasint,omitempty"`
	Epoch cassiatally.Epoch `cbor:"2,keyasint,omitempty"`
	From  wireNodeRef       `cbor:"3,keyasint,omitempty"`
	Seq   uint64            `cbor:"4,keyasint,omitempty"`
	Claim wireClaim         `cbor:"5,keyasint,omitempty"`
}

func toClaimUpdate(m cassiatally.ClaimUpdate) wireClaimUpdate {
	return wireClaimUpdate{
		Shard: toShardRef(m.Shard),
		Epoch: m.Epoch,
		From:  toNodeRef(m.From),
		Seq:   m.Seq,
		Claim: toClaim(m.Claim),
	}
}

func fromClaimUpdate(w wireClaimUpdate) cassiatally.ClaimUpdate {
	return cassiatally.ClaimUpdate{
		Shard: fromShardRef(w.Shard),
		Epoch: w.Epoch,
		From:  fromNodeRef(w.From),
		Seq:   w.Seq,
		Claim: fromClaim(w.Claim),
	}
}

type wireClaimAck struct {
	Shard  wireShardRef      `cbor:"1,keyasint,omitempty"`
	Epoch  cassiatally.Epoch `cbor:"2,keyasint,omitempty"`
	From   wireNodeRef       `cbor:"3,keyasint,omitempty"`
	Seq    uint64            `cbor:"4,keyasint,omitempty"`
	Sealed bool              `cbor:"5,keyasint,omitempty"`
}

func toClaimAck(m cassiatally.ClaimAck) wireClaimAck {
	return wireClaimAck{
		Shard:  toShardRef(m.Shard),
		Epoch:  m.Epoch,
		From:   toNodeRef(m.From),
		Seq:    m.Seq,
		Sealed: m.Sealed,
	}
}

func fromClaimAck(w wireClaimAck) cassiatally.ClaimAck {
	return cassiatally.ClaimAck{
		Shard:  fromShardRef(w.Shard),
		Epoch:  w.Epoch,
		From:   fromNodeRef(w.From),
		Seq:    w.Seq,
		Sealed: w.Sealed,
	}
}

type wireClaimCopy struct {
	Shard        wireShardRef      `cbor:"1,keyasint,omitempty"`
	Epoch        cassiatally.Epoch `cbor:"2,keyasint,omitempty"`
	From         wireNodeRef       `cbor:"3,keyasint,omitempty"`
	Seq          uint64            `cbor:"4,keyasint,omitempty"`
	CompleteFrom cassiatally.Epoch `cbor:"5,keyasint,omitempty"`
	Claims       []wireClaim       `cbor:"6,keyasint,omitempty"`
	Last         bool              `cbor:"7,keyasint,omitempty"`
}

func toClaimCopy(m cassiatally.ClaimCopy) wireClaimCopy {
	return wireClaimCopy{
		Shard:        toShardRef(m.Shard),
		Epoch:        m.Epoch,
		From:         toNodeRef(m.From),
		Seq:          m.Seq,
		CompleteFrom: m.CompleteFrom,
		Claims:       convertAll(m.Claims, toClaim),
		Last:         m.Last,
	}
}

func fromClaimCopy(w wireClaimCopy) cassiatally.ClaimCopy {
	return cassiatally.ClaimCopy{
		Shard:        fromShardRef(w.Shard),
		Epoch:        w.Epoch,
		From:         fromNodeRef(w.From),
		Seq:          w.Seq,
		CompleteFrom: w.CompleteFrom,
		Claims:       convertAll(w.Claims, fromClaim),
		Last:         w.Last,
	}
}
