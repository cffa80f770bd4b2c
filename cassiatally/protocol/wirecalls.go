package protocol

import (
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

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
	Keep       bool                    `cbor:"26,keyasint,omitempty"`
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
		Keep:       m.Keep,
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
		Keep:       w.Keep,
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
	ID         wireCallID `cbor:"1,keyasint,omitempty"`
	QueuedOnly bool       `cbor:"2,keyasint,omitempty"`
	Keep       bool       `cbor:"3,keyasint,omitempty"`
}

func toCancel(m cassiatally.Cancel) wireCancel {
	return wireCancel{
		ID:         toCallID(m.ID),
		QueuedOnly: m.QueuedOnly,
		Keep:       m.Keep,
	}
}

func fromCancel(w wireCancel) cassiatally.Cancel {
	return cassiatally.Cancel{
		ID:         fromCallID(w.ID),
		QueuedOnly: w.QueuedOnly,
		Keep:       w.Keep,
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
