package protocol

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// messageType is the number of a kind of message on the wire. A number never
// changes its meaning.
type messageType uint8

const (
	typeNone messageType = iota
	typeHello
	typePing
	_ // 3 was an answer to typePing and stays unused
	typeCall
	typeAnswer
	typeCancel
	typeRunQuery
	typeKeyQuery
	typeGossip
	typeSheetPull
	typeSheetRecord
	typeShardPull
	typeShardTable
	typeClaimUpdate
	typeClaimAck
	typeClaimCopy
	typeRoutePull
	typeRouteUpdate
	typeQuotaRequest
	typeQuotaGrant
	typeQuotaBeat
)

func toWire(m cassiatally.Message) (messageType, any) {
	switch m := m.(type) {
	case cassiatally.Hello:
		return typeHello, toHello(m)
	case cassiatally.Ping:
		return typePing, toPing(m)
	case cassiatally.Call:
		return typeCall, toCall(m)
	case cassiatally.Answer:
		return typeAnswer, toAnswer(m)
	case cassiatally.Cancel:
		return typeCancel, toCancel(m)
	case cassiatally.RunQuery:
		return typeRunQuery, toRunQuery(m)
	case cassiatally.KeyQuery:
		return typeKeyQuery, toKeyQuery(m)
	case cassiatally.Gossip:
		return typeGossip, toGossip(m)
	case cassiatally.SheetPull:
		return typeSheetPull, toSheetPull(m)
	case cassiatally.SheetRecord:
		return typeSheetRecord, toSheetRecord(m)
	case cassiatally.ShardPull:
		return typeShardPull, toShardPull(m)
	case cassiatally.ShardTable:
		return typeShardTable, toShardTable(m)
	case cassiatally.ClaimUpdate:
		return typeClaimUpdate, toClaimUpdate(m)
	case cassiatally.ClaimAck:
		return typeClaimAck, toClaimAck(m)
	case cassiatally.ClaimCopy:
		return typeClaimCopy, toClaimCopy(m)
	case cassiatally.RoutePull:
		return typeRoutePull, toRoutePull(m)
	case cassiatally.RouteUpdate:
		return typeRouteUpdate, toRouteUpdate(m)
	default:
		return toWireQuota(m)
	}
}

// toWireQuota is toWire for the messages of quotas.
func toWireQuota(m cassiatally.Message) (messageType, any) {
	switch m := m.(type) {
	case cassiatally.QuotaRequest:
		return typeQuotaRequest, toQuotaRequest(m)
	case cassiatally.QuotaGrant:
		return typeQuotaGrant, toQuotaGrant(m)
	case cassiatally.QuotaBeat:
		return typeQuotaBeat, toQuotaBeat(m)
	default:
		return typeNone, nil
	}
}

type decoder func(cbor.DecMode, []byte) (cassiatally.Message, error)

var decoders = map[messageType]decoder{
	typeHello:        decodeWith(fromHello),
	typePing:         decodeWith(fromPing),
	typeCall:         decodeWith(fromCall),
	typeAnswer:       decodeWith(fromAnswer),
	typeCancel:       decodeWith(fromCancel),
	typeRunQuery:     decodeWith(fromRunQuery),
	typeKeyQuery:     decodeWith(fromKeyQuery),
	typeGossip:       decodeWith(fromGossip),
	typeSheetPull:    decodeWith(fromSheetPull),
	typeSheetRecord:  decodeWith(fromSheetRecord),
	typeShardPull:    decodeWith(fromShardPull),
	typeShardTable:   decodeWith(fromShardTable),
	typeClaimUpdate:  decodeWith(fromClaimUpdate),
	typeClaimAck:     decodeWith(fromClaimAck),
	typeClaimCopy:    decodeWith(fromClaimCopy),
	typeRoutePull:    decodeWith(fromRoutePull),
	typeRouteUpdate:  decodeWith(fromRouteUpdate),
	typeQuotaRequest: decodeWith(fromQuotaRequest),
	typeQuotaGrant:   decodeWith(fromQuotaGrant),
	typeQuotaBeat:    decodeWith(fromQuotaBeat),
}

func decodeWith[W any, M cassiatally.Message](from func(W) M) decoder {
	return func(dec cbor.DecMode, data []byte) (cassiatally.Message, error) {
		var w W
		if err := dec.Unmarshal(data, &w); err != nil {
			return nil, err
		}
		return from(w), nil
	}
}

func convertAll[A, B any](in []A, convert func(A) B) []B {
	if in == nil {
		return nil
	}
	out := make([]B, len(in))
	for i, v := range in {
		out[i] = convert(v)
	}
	return out
}

func convertPointer[A, B any](in *A, convert func(A) B) *B {
	if in == nil {
		return nil
	}
	out := convert(*in)
	return &out
}
