package protocol

import (
	"math"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

type wireField struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Value string
}

func toField(m cassiatally.Field) wireField { return wireField{Name: m.Name, Value: m.Value} }

func fromField(w wireField) cassiatally.Field { return cassiatally.Field{Name: w.Name, Value: w.Value} }

type wireNodeRef struct {
	_           struct{} `cbor:",toarray"`
	Node        cassiatally.NodeID
	Incarnation cassiatally.Incarnation
}

func toNodeRef(m cassiatally.NodeRef) wireNodeRef {
	return wireNodeRef{Node: m.Node, Incarnation: m.Incarnation}
}

func fromNodeRef(w wireNodeRef) cassiatally.NodeRef {
	return cassiatally.NodeRef{Node: w.Node, Incarnation: w.Incarnation}
}

type wireCallID struct {
	_      struct{} `cbor:",toarray"`
	Origin cassiatally.CallOrigin
	Seq    uint64
}

func toCallID(m cassiatally.CallID) wireCallID {
	return wireCallID{Origin: m.Origin, Seq: m.Seq}
}

func fromCallID(w wireCallID) cassiatally.CallID {
	return cassiatally.CallID{Origin: w.Origin, Seq: w.Seq}
}

type wireShardRef struct {
	_          struct{} `cbor:",toarray"`
	DataCentre cassiatally.DataCentre
	Shard      cassiatally.ShardID
}

func toShardRef(m cassiatally.ShardRef) wireShardRef {
	return wireShardRef{DataCentre: m.DataCentre, Shard: m.Shard}
}

func fromShardRef(w wireShardRef) cassiatally.ShardRef {
	return cassiatally.ShardRef{DataCentre: w.DataCentre, Shard: w.Shard}
}

type wireEndpointLoad struct {
	Node            cassiatally.NodeID      `cbor:"1,keyasint,omitempty"`
	Limit           cassiatally.Concurrency `cbor:"2,keyasint,omitempty"`
	InFlight        cassiatally.Concurrency `cbor:"3,keyasint,omitempty"`
	Queued          int                     `cbor:"4,keyasint,omitempty"`
	TypicalSelfTime time.Duration           `cbor:"5,keyasint,omitempty"`
	FailureRate     cassiatally.FailureRate `cbor:"6,keyasint,omitempty"`
	Slowdown        wirePercent             `cbor:"7,keyasint,omitempty"`
	TypicalSlowdown wirePercent             `cbor:"8,keyasint,omitempty"`
}

// wirePercent is a slowdown in percent. It takes 2 or 3 bytes, a float 9.
type wirePercent uint16

func toPercent(s cassiatally.Slowdown) wirePercent {
	return wirePercent(min(max(math.Round(100*float64(s)), 0), math.MaxUint16))
}

func fromPercent(p wirePercent) cassiatally.Slowdown { return cassiatally.Slowdown(p) / 100 }

func toEndpointLoad(m cassiatally.EndpointLoad) wireEndpointLoad {
	return wireEndpointLoad{
		Node: m.Node, Limit: m.Limit, InFlight: m.InFlight, Queued: m.Queued,
		TypicalSelfTime: m.TypicalSelfTime, FailureRate: m.FailureRate,
		Slowdown: toPercent(m.Slowdown), TypicalSlowdown: toPercent(m.TypicalSlowdown),
	}
}

func fromEndpointLoad(w wireEndpointLoad) cassiatally.EndpointLoad {
	return cassiatally.EndpointLoad{
		Node: w.Node, Limit: w.Limit, InFlight: w.InFlight, Queued: w.Queued,
		TypicalSelfTime: w.TypicalSelfTime, FailureRate: w.FailureRate,
		Slowdown: fromPercent(w.Slowdown), TypicalSlowdown: fromPercent(w.TypicalSlowdown),
	}
}

type wireServiceLoad struct {
	Service cassiatally.Service `cbor:"1,keyasint,omitempty"`
	Weight  float64             `cbor:"2,keyasint,omitempty"`
	Levels  []cassiatally.Level `cbor:"3,keyasint,omitempty"`
}

func toServiceLoad(m cassiatally.ServiceLoad) wireServiceLoad { return wireServiceLoad(m) }

func fromServiceLoad(w wireServiceLoad) cassiatally.ServiceLoad { return cassiatally.ServiceLoad(w) }

type wireHello struct {
	From       wireNodeRef            `cbor:"1,keyasint,omitempty"`
	DataCentre cassiatally.DataCentre `cbor:"2,keyasint,omitempty"`
	Address    cassiatally.Address    `cbor:"3,keyasint,omitempty"`
	Fleet      cassiatally.Fleet      `cbor:"4,keyasint,omitempty"`
}

func toHello(m cassiatally.Hello) wireHello {
	return wireHello{
		From:       toNodeRef(m.From),
		DataCentre: m.DataCentre,
		Address:    m.Address,
		Fleet:      m.Fleet,
	}
}

func fromHello(w wireHello) cassiatally.Hello {
	return cassiatally.Hello{
		From:       fromNodeRef(w.From),
		DataCentre: w.DataCentre,
		Address:    w.Address,
		Fleet:      w.Fleet,
	}
}

type wirePing struct {
	Seq uint64 `cbor:"1,keyasint,omitempty"`
}

func toPing(m cassiatally.Ping) wirePing { return wirePing(m) }

func fromPing(w wirePing) cassiatally.Ping { return cassiatally.Ping(w) }

type wireSheetPull struct {
	Have cassiatally.Version `cbor:"1,keyasint,omitempty"`
}

func toSheetPull(m cassiatally.SheetPull) wireSheetPull { return wireSheetPull(m) }

func fromSheetPull(w wireSheetPull) cassiatally.SheetPull { return cassiatally.SheetPull(w) }

type wireSheetRecord struct {
	Version   cassiatally.Version `cbor:"1,keyasint,omitempty"`
	BasedOn   cassiatally.Version `cbor:"2,keyasint,omitempty"`
	Publisher string              `cbor:"3,keyasint,omitempty"`
	Reappend  bool                `cbor:"4,keyasint,omitempty"`
	Sheet     []byte              `cbor:"5,keyasint,omitempty"`
	Digest    cassiatally.Digest  `cbor:"6,keyasint,omitempty"`
}

func toSheetRecord(m cassiatally.SheetRecord) wireSheetRecord { return wireSheetRecord(m) }

func fromSheetRecord(w wireSheetRecord) cassiatally.SheetRecord { return cassiatally.SheetRecord(w) }
