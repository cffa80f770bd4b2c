package protocol

import (
	"github.com/cassiatally/cassiatally/cassiatally"
)

type wireEndpoint struct {
	Service     cassiatally.Service       `cbor:"1,keyasint,omitempty"`
	Slots       cassiatally.Concurrency   `cbor:"2,keyasint,omitempty"`
	Connections cassiatally.Concurrency   `cbor:"3,keyasint,omitempty"`
	State       cassiatally.EndpointState `cbor:"4,keyasint,omitempty"`
	Load        wireEndpointLoad          `cbor:"5,keyasint,omitempty"`
	Levels      []cassiatally.Level       `cbor:"6,keyasint,omitempty"`
}

func toEndpoint(m cassiatally.Endpoint) wireEndpoint {
	return wireEndpoint{
		Service:     m.Service,
		Slots:       m.Slots,
		Connections: m.Connections,
		State:       m.State,
		Load:        toEndpointLoad(m.Load),
		Levels:      m.Levels,
	}
}

func fromEndpoint(w wireEndpoint) cassiatally.Endpoint {
	return cassiatally.Endpoint{
		Service:     w.Service,
		Slots:       w.Slots,
		Connections: w.Connections,
		State:       w.State,
		Load:        fromEndpointLoad(w.Load),
		Levels:      w.Levels,
	}
}

type wireMember struct {
	Ref          wireNodeRef            `cbor:"1,keyasint,omitempty"`
	DataCentre   cassiatally.DataCentre `cbor:"2,keyasint,omitempty"`
	Address      cassiatally.Address    `cbor:"3,keyasint,omitempty"`
	Heartbeat    uint64                 `cbor:"4,keyasint,omitempty"`
	Revision     uint64                 `cbor:"5,keyasint,omitempty"`
	Leaving      bool                   `cbor:"6,keyasint,omitempty"`
	SheetVersion cassiatally.Version    `cbor:"7,keyasint,omitempty"`
	Endpoint     wireEndpoint           `cbor:"8,keyasint,omitempty"`
}

func toMember(m cassiatally.Member) wireMember {
	return wireMember{
		Ref:          toNodeRef(m.Ref),
		DataCentre:   m.DataCentre,
		Address:      m.Address,
		Heartbeat:    m.Heartbeat,
		Revision:     m.Revision,
		Leaving:      m.Leaving,
		SheetVersion: m.SheetVersion,
		Endpoint:     toEndpoint(m.Endpoint),
	}
}

func fromMember(w wireMember) cassiatally.Member {
	return cassiatally.Member{
		Ref:          fromNodeRef(w.Ref),
		DataCentre:   w.DataCentre,
		Address:      w.Address,
		Heartbeat:    w.Heartbeat,
		Revision:     w.Revision,
		Leaving:      w.Leaving,
		SheetVersion: w.SheetVersion,
		Endpoint:     fromEndpoint(w.Endpoint),
	}
}

type wireCrashReport struct {
	Fingerprint cassiatally.Fingerprint `cbor:"1,keyasint,omitempty"`
	Reporter    wireNodeRef             `cbor:"2,keyasint,omitempty"`
	Crashes     uint16                  `cbor:"3,keyasint,omitempty"`
	Completed   bool                    `cbor:"4,keyasint,omitempty"`
	Clears      uint16                  `cbor:"5,keyasint,omitempty"`
}

func toCrashReport(m cassiatally.CrashReport) wireCrashReport {
	return wireCrashReport{
		Fingerprint: m.Fingerprint,
		Reporter:    toNodeRef(m.Reporter),
		Crashes:     m.Crashes,
		Completed:   m.Completed,
		Clears:      m.Clears,
	}
}

func fromCrashReport(w wireCrashReport) cassiatally.CrashReport {
	return cassiatally.CrashReport{
		Fingerprint: w.Fingerprint,
		Reporter:    fromNodeRef(w.Reporter),
		Crashes:     w.Crashes,
		Completed:   w.Completed,
		Clears:      w.Clears,
	}
}

type wireGossip struct {
	From         wireNodeRef         `cbor:"1,keyasint,omitempty"`
	Reply        bool                `cbor:"2,keyasint,omitempty"`
	Members      []wireMember        `cbor:"3,keyasint,omitempty"`
	SheetVersion cassiatally.Version `cbor:"4,keyasint,omitempty"`
	Crashes      []wireCrashReport   `cbor:"5,keyasint,omitempty"`
	ShardEpochs  cassiatally.Epoch   `cbor:"6,keyasint,omitempty"`
	CrashNumber  uint64              `cbor:"7,keyasint,omitempty"`
	CrashAck     uint64              `cbor:"8,keyasint,omitempty"`
}

func toGossip(m cassiatally.Gossip) wireGossip {
	return wireGossip{
		From:         toNodeRef(m.From),
		Reply:        m.Reply,
		Members:      convertAll(m.Members, toMember),
		SheetVersion: m.SheetVersion,
		Crashes:      convertAll(m.Crashes, toCrashReport),
		ShardEpochs:  m.ShardEpochs,
		CrashNumber:  uint64(m.CrashNumber),
		CrashAck:     uint64(m.CrashAck),
	}
}

func fromGossip(w wireGossip) cassiatally.Gossip {
	return cassiatally.Gossip{
		From:         fromNodeRef(w.From),
		Reply:        w.Reply,
		Members:      convertAll(w.Members, fromMember),
		SheetVersion: w.SheetVersion,
		Crashes:      convertAll(w.Crashes, fromCrashReport),
		ShardEpochs:  w.ShardEpochs,
		CrashNumber:  cassiatally.CrashNumber(w.CrashNumber),
		CrashAck:     cassiatally.CrashNumber(w.CrashAck),
	}
}
