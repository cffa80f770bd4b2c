package protocol

import (
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
}

func toEndpointLoad(m cassiatally.EndpointLoad) wireEndpointLoad { return wireEndpointLoad(m) }

func fromEndpointLoad(w wireEndpointLoad) cassiatally.EndpointLoad {
	return cassiatally.EndpointLoad(w)
}

type wireNotice struct {
	Instance    cassiatally.InstanceID `cbor:"1,keyasint,omitempty"`
	StartedMs   int64                  `cbor:"2,keyasint,omitempty"`
	RateLimited bool                   `cbor:"3,keyasint,omitempty"`
	RateLimit   cassiatally.Rate       `cbor:"4,keyasint,omitempty"`
	Leaving     bool                   `cbor:"5,keyasint,omitempty"`
}

// toNotice leaves out InvalidRateLimit, which has been logged where it was read.
func toNotice(m cassiatally.Notice) wireNotice {
	return wireNotice{
		Instance:    m.Instance,
		StartedMs:   m.StartedMs,
		RateLimited: m.RateLimited,
		RateLimit:   m.RateLimit,
		Leaving:     m.Leaving,
	}
}

func fromNotice(w wireNotice) cassiatally.Notice {
	return cassiatally.Notice{
		Instance:    w.Instance,
		StartedMs:   w.StartedMs,
		RateLimited: w.RateLimited,
		RateLimit:   w.RateLimit,
		Leaving:     w.Leaving,
	}
}

type wireServiceLoad struct {
	Service cassiatally.Service `cbor:"1,keyasint,omitempty"`
	Weight  float64             `cbor:"2,keyasint,omitempty"`
	Levels  []cassiatally.Level `cbor:"3,keyasint,omitempty"`
}

func toServiceLoad(m cassiatally.ServiceLoad) wireServiceLoad { return wireServiceLoad(m) }

func fromServiceLoad(w wireServiceLoad) cassiatally.ServiceLoad { return cassiatally.ServiceLoad(w) }

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

type wireHello struct {
	From       wireNodeRef            `cbor:"1,keyasint,omitempty"`
	DataCentre cassiatally.DataCentre `cbor:"2,keyasint,omitempty"`
	Address    cassiatally.Address    `cbor:"3,keyasint,omitempty"`
}

func toHello(m cassiatally.Hello) wireHello {
	return wireHello{
		From:       toNodeRef(m.From),
		DataCentre: m.DataCentre,
		Address:    m.Address,
	}
}

func fromHello(w wireHello) cassiatally.Hello {
	return cassiatally.Hello{
		From:       fromNodeRef(w.From),
		DataCentre: w.DataCentre,
		Address:    w.Address,
	}
}

type wirePing struct {
	Seq uint64 `cbor:"1,keyasint,omitempty"`
}

func toPing(m cassiatally.Ping) wirePing { return wirePing(m) }

func fromPing(w wirePing) cassiatally.Ping { return cassiatally.Ping(w) }

type wireCall struct {
	ID         wireCallID              `cbor:"1,keyasint,omitempty"`
	Stage      cassiatally.Stage       `cbor:"2,keyasint,omitempty"`
	Root       cassiatally.RootID      `cbor:"3,keyasint,omitempty"`
	Service    cassiatally.Service     `cbor:"4,keyasint,omitempty"`
	Work       cassiatally.WorkKind    `cbor:"5,keyasint,omitempty"`
	Tenant     cassiatally.Tenant      `cbor:"6,keyasint,omitempty"`
	Rank       cassiatally.Rank        `cbor:"7,keyasint,omitempty"`
	Order      cassiatally.Order       `cbor:"8,keyasint,omitempty"`
	Idempotent bool                    `cbor:"9,keyasint,omitempty"`
	Key        cassiatally.Key         `cbor:"10,keyasint,omitempty"`
	Remaining  time.Duration           `cbor:"11,keyasint,omitempty"`
	Retries    cassiatally.RetryCount  `cbor:"12,keyasint,omitempty"`
	Depth      cassiatally.Depth       `cbor:"13,keyasint,omitempty"`
	Attempt    uint16                  `cbor:"14,keyasint,omitempty"`
	Body       []byte                  `cbor:"15,keyasint,omitempty"`
	Digest     cassiatally.Digest      `cbor:"16,keyasint,omitempty"`
	Method     string                  `cbor:"17,keyasint,omitempty"`
	Target     string                  `cbor:"18,keyasint,omitempty"`
	Fields     []wireField             `cbor:"19,keyasint,omitempty"`
	Caller     cassiatally.Service     `cbor:"20,keyasint,omitempty"`
	Name       cassiatally.RequestName `cbor:"21,keyasint,omitempty"`
	Repeated   bool                    `cbor:"22,keyasint,omitempty"`
	Send       cassiatally.SendKind    `cbor:"23,keyasint,omitempty"`
	Progress   uint8                   `cbor:"24,keyasint,omitempty"`
	Notice     *wireNotice             `cbor:"25,keyasint,omitempty"`
}

func toCall(m cassiatally.Call) wireCall {
	return wireCall{
		ID:         toCallID(m.ID),
		Stage:      m.Stage,
		Root:       m.Root,
		Service:    m.Service,
		Work:       m.Work,
		Tenant:     m.Tenant,
		Rank:       m.Rank,
		Order:      m.Order,
		Idempotent: m.Idempotent,
		Key:        m.Key,
		Remaining:  m.Remaining,
		Retries:    m.Retries,
		Depth:      m.Depth,
		Attempt:    m.Attempt,
		Body:       m.Body,
		Digest:     m.Digest,
		Method:     m.Head.Method,
		Target:     m.Head.Target,
		Fields:     convertAll(m.Head.Fields, toField),
		Caller:     m.Caller,
		Name:       m.Name,
		Repeated:   m.Repeated,
		Send:       m.Send,
		Progress:   m.Progress,
		Notice:     convertPointer(m.Notice, toNotice),
	}
}

func fromCall(w wireCall) cassiatally.Call {
	return cassiatally.Call{
		ID:         fromCallID(w.ID),
		Stage:      w.Stage,
		Root:       w.Root,
		Service:    w.Service,
		Work:       w.Work,
		Tenant:     w.Tenant,
		Rank:       w.Rank,
		Order:      w.Order,
		Idempotent: w.Idempotent,
		Key:        w.Key,
		Remaining:  w.Remaining,
		Retries:    w.Retries,
		Depth:      w.Depth,
		Attempt:    w.Attempt,
		Head:       cassiatally.Head{Method: w.Method, Target: w.Target, Fields: convertAll(w.Fields, fromField)},
		Caller:     w.Caller,
		Name:       w.Name,
		Repeated:   w.Repeated,
		Send:       w.Send,
		Progress:   w.Progress,
		Notice:     convertPointer(w.Notice, fromNotice),
		Body:       w.Body,
		Digest:     w.Digest,
	}
}

type wireAnswer struct {
	ID           wireCallID             `cbor:"1,keyasint,omitempty"`
	Outcome      cassiatally.Outcome    `cbor:"2,keyasint,omitempty"`
	Kind         cassiatally.ErrorKind  `cbor:"3,keyasint,omitempty"`
	Detail       string                 `cbor:"4,keyasint,omitempty"`
	Status       int                    `cbor:"5,keyasint,omitempty"`
	ContentType  string                 `cbor:"6,keyasint,omitempty"`
	Body         []byte                 `cbor:"7,keyasint,omitempty"`
	Digest       cassiatally.Digest     `cbor:"8,keyasint,omitempty"`
	RetryAfter   time.Duration          `cbor:"9,keyasint,omitempty"`
	RetriesSpent cassiatally.RetryCount `cbor:"10,keyasint,omitempty"`
	Endpoint     wireEndpointLoad       `cbor:"11,keyasint,omitempty"`
	Loads        []wireServiceLoad      `cbor:"12,keyasint,omitempty"`
	Request      cassiatally.RequestTag `cbor:"13,keyasint,omitempty"`
	Fields       []wireField            `cbor:"14,keyasint,omitempty"`
	OwnFailure   bool                   `cbor:"15,keyasint,omitempty"`
	RetryGranted bool                   `cbor:"16,keyasint,omitempty"`
	Notice       *wireNotice            `cbor:"17,keyasint,omitempty"`
}

func toAnswer(m cassiatally.Answer) wireAnswer {
	return wireAnswer{
		ID:           toCallID(m.ID),
		Outcome:      m.Outcome,
		Kind:         m.Kind,
		Detail:       m.Detail,
		Status:       m.Status,
		ContentType:  m.ContentType,
		Body:         m.Body,
		Digest:       m.Digest,
		RetryAfter:   m.RetryAfter,
		RetriesSpent: m.RetriesSpent,
		Endpoint:     toEndpointLoad(m.Endpoint),
		Loads:        convertAll(m.Loads, toServiceLoad),
		Request:      m.Request,
		Fields:       convertAll(m.Fields, toField),
		OwnFailure:   m.OwnFailure,
		RetryGranted: m.RetryGranted,
		Notice:       convertPointer(m.Notice, toNotice),
	}
}

func fromAnswer(w wireAnswer) cassiatally.Answer {
	return cassiatally.Answer{
		ID:           fromCallID(w.ID),
		Outcome:      w.Outcome,
		Kind:         w.Kind,
		Detail:       w.Detail,
		Status:       w.Status,
		ContentType:  w.ContentType,
		Body:         w.Body,
		Digest:       w.Digest,
		RetryAfter:   w.RetryAfter,
		RetriesSpent: w.RetriesSpent,
		Endpoint:     fromEndpointLoad(w.Endpoint),
		Loads:        convertAll(w.Loads, fromServiceLoad),
		Request:      w.Request,
		Fields:       convertAll(w.Fields, fromField),
		OwnFailure:   w.OwnFailure,
		RetryGranted: w.RetryGranted,
		Notice:       convertPointer(w.Notice, fromNotice),
	}
}

type wireCancel struct {
	ID wireCallID `cbor:"1,keyasint,omitempty"`
}

func toCancel(m cassiatally.Cancel) wireCancel {
	return wireCancel{
		ID: toCallID(m.ID),
	}
}

func fromCancel(w wireCancel) cassiatally.Cancel {
	return cassiatally.Cancel{
		ID: fromCallID(w.ID),
	}
}

type wireRunQuery struct {
	ID      wireCallID              `cbor:"1,keyasint,omitempty"`
	Target  cassiatally.Incarnation `cbor:"2,keyasint,omitempty"`
	Request cassiatally.RequestTag  `cbor:"3,keyasint,omitempty"`
}

func toRunQuery(m cassiatally.RunQuery) wireRunQuery {
	return wireRunQuery{ID: toCallID(m.ID), Target: m.Target, Request: m.Request}
}

func fromRunQuery(w wireRunQuery) cassiatally.RunQuery {
	return cassiatally.RunQuery{ID: fromCallID(w.ID), Target: w.Target, Request: w.Request}
}

type wireKeyQuery struct {
	ID  wireCallID      `cbor:"1,keyasint,omitempty"`
	Key cassiatally.Key `cbor:"2,keyasint,omitempty"`
}

func toKeyQuery(m cassiatally.KeyQuery) wireKeyQuery {
	return wireKeyQuery{
		ID:  toCallID(m.ID),
		Key: m.Key,
	}
}

func fromKeyQuery(w wireKeyQuery) cassiatally.KeyQuery {
	return cassiatally.KeyQuery{
		ID:  fromCallID(w.ID),
		Key: w.Key,
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
