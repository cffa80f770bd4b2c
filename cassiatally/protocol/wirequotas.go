package protocol

import (
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

type wireQuotaCandidate struct {
	_          struct{} `cbor:",toarray"`
	Node       cassiatally.NodeID
	DataCentre cassiatally.DataCentre
	Address    cassiatally.Address
}

func toQuotaCandidate(m cassiatally.QuotaCandidate) wireQuotaCandidate {
	return wireQuotaCandidate{Node: m.Node, DataCentre: m.DataCentre, Address: m.Address}
}

func fromQuotaCandidate(w wireQuotaCandidate) cassiatally.QuotaCandidate {
	return cassiatally.QuotaCandidate{Node: w.Node, DataCentre: w.DataCentre, Address: w.Address}
}

type wireQuotaRequest struct {
	Seq    uint64             `cbor:"1,keyasint,omitempty"`
	Tenant cassiatally.Tenant `cbor:"2,keyasint,omitempty"`
	Want   int                `cbor:"3,keyasint,omitempty"`
}

func toQuotaRequest(m cassiatally.QuotaRequest) wireQuotaRequest { return wireQuotaRequest(m) }

func fromQuotaRequest(w wireQuotaRequest) cassiatally.QuotaRequest {
	return cassiatally.QuotaRequest(w)
}

type wireQuotaGrant struct {
	Seq        uint64              `cbor:"1,keyasint,omitempty"`
	Tenant     cassiatally.Tenant  `cbor:"2,keyasint,omitempty"`
	Granted    int                 `cbor:"3,keyasint,omitempty"`
	Next       time.Duration       `cbor:"4,keyasint,omitempty"`
	RetryAfter time.Duration       `cbor:"5,keyasint,omitempty"`
	Declined   bool                `cbor:"6,keyasint,omitempty"`
	Better     *wireQuotaCandidate `cbor:"7,keyasint,omitempty"`
	Fleet      int                 `cbor:"8,keyasint,omitempty"`
}

func toQuotaGrant(m cassiatally.QuotaGrant) wireQuotaGrant {
	w := wireQuotaGrant{
		Seq: m.Seq, Tenant: m.Tenant, Granted: m.Granted, Next: m.Next, RetryAfter: m.RetryAfter,
		Declined: m.Declined, Fleet: m.Fleet,
	}
	if m.Better != (cassiatally.QuotaCandidate{}) {
		better := toQuotaCandidate(m.Better)
		w.Better = &better
	}
	return w
}

func fromQuotaGrant(w wireQuotaGrant) cassiatally.QuotaGrant {
	m := cassiatally.QuotaGrant{
		Seq: w.Seq, Tenant: w.Tenant, Granted: w.Granted, Next: w.Next, RetryAfter: w.RetryAfter,
		Declined: w.Declined, Fleet: w.Fleet,
	}
	if w.Better != nil {
		m.Better = fromQuotaCandidate(*w.Better)
	}
	return m
}

type wireQuotaBeat struct {
	From       wireQuotaCandidate   `cbor:"1,keyasint,omitempty"`
	Eligible   bool                 `cbor:"2,keyasint,omitempty"`
	Live       int                  `cbor:"3,keyasint,omitempty"`
	Known      int                  `cbor:"4,keyasint,omitempty"`
	Alive      []cassiatally.NodeID `cbor:"5,keyasint,omitempty"`
	Candidates []wireQuotaCandidate `cbor:"6,keyasint,omitempty"`
}

func toQuotaBeat(m cassiatally.QuotaBeat) wireQuotaBeat {
	return wireQuotaBeat{
		From: toQuotaCandidate(m.From), Eligible: m.Eligible, Live: m.Live, Known: m.Known,
		Alive: m.Alive, Candidates: convertAll(m.Candidates, toQuotaCandidate),
	}
}

func fromQuotaBeat(w wireQuotaBeat) cassiatally.QuotaBeat {
	return cassiatally.QuotaBeat{
		From: fromQuotaCandidate(w.From), Eligible: w.Eligible, Live: w.Live, Known: w.Known,
		Alive: w.Alive, Candidates: convertAll(w.Candidates, fromQuotaCandidate),
	}
}
