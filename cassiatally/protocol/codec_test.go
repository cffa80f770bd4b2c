package protocol_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/protocol"
)

func sampleMessages() []cassiatally.Message {
	ref := cassiatally.NodeRef{Node: "depot-1", Incarnation: 7}
	id := cassiatally.CallID{Origin: 7, Seq: 9}
	shard := cassiatally.ShardRef{DataCentre: "north", Shard: 3}
	load := cassiatally.EndpointLoad{Node: "depot-1", Limit: 12, InFlight: 3, Queued: 1, TypicalSelfTime: time.Millisecond, FailureRate: 0.25, Slowdown: 2.53, TypicalSlowdown: 1.07}
	levels := cassiatally.ServiceLoad{Service: "avail-svc", Weight: 15, Levels: []cassiatally.Level{1, 0.5}}
	notice := cassiatally.Notice{Instance: "i-1", StartedMs: 1700000000000, RateLimited: true, RateLimit: 30.1, Leaving: true}
	answer := cassiatally.Answer{
		ID: id, Request: 11, Outcome: cassiatally.OutcomeRan, Status: 200, ContentType: "text/plain",
		Body: []byte("ok"), Digest: cassiatally.DigestOf([]byte("ok")), RetryAfter: time.Second,
		OwnFailure: true, RetryGranted: true, RetriesSpent: 1, Notice: &notice, Fields: []cassiatally.Field{{Name: "A", Value: "b"}}, Endpoint: load, Loads: []cassiatally.ServiceLoad{levels},
	}
	member := cassiatally.Member{
		Ref: ref, DataCentre: "north", Address: "127.0.0.1:1", Heartbeat: 4, Revision: 2, Leaving: true, SheetVersion: 3,
		Endpoint: cassiatally.Endpoint{Service: "avail-svc", Slots: 15, Connections: 200, State: cassiatally.EndpointReady, Load: load, Levels: []cassiatally.Level{1}},
	}
	claim := cassiatally.Claim{Key: "north.3.1.00000000000000ff", Fingerprint: 5, State: cassiatally.ClaimRan, Answer: &answer}
	assignment := cassiatally.Assignment{Shard: shard, Epoch: 2, Holder: ref, Standby: ref, CompleteFrom: 1, Reappend: true}
	candidate := cassiatally.QuotaCandidate{Node: "depot-1", DataCentre: "north", Address: "127.0.0.1:1"}
	return []cassiatally.Message{
		cassiatally.Hello{From: ref, DataCentre: "north", Address: "127.0.0.1:1", Fleet: "barrier"},
		cassiatally.Ping{Seq: 1},
		cassiatally.Call{ID: id, Stage: cassiatally.StageClaim, Root: cassiatally.RootID{1}, Service: "avail-svc", Work: "check", Tenant: "t", Rank: 1, Order: 0.25, Idempotent: true, Key: claim.Key, Remaining: time.Second, Retries: 2, Depth: 3, Attempt: 1, Head: cassiatally.Head{Method: "GET", Target: "/a?b", Fields: []cassiatally.Field{{Name: "A", Value: "b"}}}, Caller: "depot-svc", Name: "n", Repeated: true, Send: cassiatally.SendGranted, Progress: 2, Keep: true, Notice: &notice, Body: []byte("x"), Digest: cassiatally.DigestOf([]byte("x"))},
		answer,
		cassiatally.Cancel{ID: id, QueuedOnly: true},
		cassiatally.Cancel{ID: id, QueuedOnly: true, Keep: true},
		cassiatally.RunQuery{ID: id, Target: 7, Request: 11},
		cassiatally.KeyQuery{ID: id, Key: claim.Key},
		cassiatally.Gossip{From: ref, Reply: true, Members: []cassiatally.Member{member}, SheetVersion: 3, Crashes: []cassiatally.CrashReport{{Fingerprint: 1, Reporter: ref, Crashes: 2, Completed: true}}, ShardEpochs: 4, CrashNumber: 5, CrashAck: 6},
		cassiatally.SheetPull{Have: 2},
		cassiatally.SheetRecord{Version: 3, BasedOn: 2, Publisher: "p", Reappend: true, Sheet: []byte("s"), Digest: cassiatally.DigestOf([]byte("s"))},
		cassiatally.ShardPull{Have: 3},
		cassiatally.ShardTable{Assignments: []cassiatally.Assignment{assignment}},
		cassiatally.ClaimUpdate{Shard: shard, Epoch: 2, From: ref, Seq: 1, Claim: claim},
		cassiatally.ClaimAck{Shard: shard, Epoch: 2, From: ref, Seq: 1, Sealed: true},
		cassiatally.ClaimCopy{Shard: shard, Epoch: 2, From: ref, Seq: 1, CompleteFrom: 1, Claims: []cassiatally.Claim{claim}, Last: true},
		cassiatally.RoutePull{Have: 4},
		cassiatally.RouteUpdate{Table: cassiatally.RouteTable{
			Version:  5,
			Routes:   []cassiatally.Route{{Name: "r", Host: "h", Prefix: "/a/", Services: []cassiatally.WeightedService{{Service: "s", Weight: 0.5}}, Idempotent: true, Timeout: time.Second, Target: time.Minute, Rank: 1, Attempts: 2, AllowAnonymous: true}},
			Tenants:  []cassiatally.TenantSpec{{Name: "t", Keys: []cassiatally.KeyDigest{cassiatally.KeyDigestOf("a"), cassiatally.KeyDigestOf("b")}, Ranked: true, Rank: 2, Rate: 0.5, Burst: 7}, {Name: "u"}},
			Services: []cassiatally.ServiceSpec{{Name: "s", HealthPath: "/health", Connections: 9}},
			Limits:   cassiatally.RequestLimits{HeaderBytes: 1, BodyBytes: 2, HeaderTimeout: 3, IdleTimeout: 4},
		}},
		cassiatally.QuotaRequest{Seq: 1, Tenant: "t", Want: 2},
		cassiatally.QuotaGrant{Seq: 1, Tenant: "t", Granted: 2, Next: time.Second, RetryAfter: time.Minute, Declined: true, Better: candidate, Fleet: 61},
		cassiatally.QuotaGrant{Seq: 1, Tenant: "t", Granted: 2},
		cassiatally.QuotaBeat{From: candidate, Eligible: true, Live: 19, Known: 20, Alive: []cassiatally.NodeID{"depot-2"}, Candidates: []cassiatally.QuotaCandidate{candidate}},
	}
}

// Guards against a field that Encode leaves out or Decode does not read back.
func TestMessagesRoundTrip(t *testing.T) {
	c, err := protocol.New()
	is.New(t).NoErr(err)
	for _, m := range sampleMessages() {
		t.Run(fmt.Sprintf("%T", m), func(t *testing.T) {
			is := is.New(t)
			frame, err := c.Encode(m)
			is.NoErr(err)
			got, err := c.Decode(frame)
			is.NoErr(err)
			is.True(reflect.DeepEqual(got, m))
		})
	}
}

// Guards against bytes for the slowdown in answers and gossip of endpoints that state
// none, and against more than a few where they do.
func TestUnknownSlowdownTakesNoBytes(t *testing.T) {
	is := is.New(t)
	c, err := protocol.New()
	is.NoErr(err)
	size := func(l cassiatally.EndpointLoad) int {
		frame, err := c.Encode(cassiatally.Answer{Endpoint: l})
		is.NoErr(err)
		return len(frame)
	}
	// The keys are those of an answer's load without a slowdown: node, limit and run time.
	without := cassiatally.EndpointLoad{Node: "n", Limit: 9, TypicalSelfTime: time.Millisecond}
	with := without
	with.Slowdown, with.TypicalSlowdown = 2.5, 1.25
	frame, err := c.Encode(cassiatally.Answer{Endpoint: without})
	is.NoErr(err)
	var fields []cbor.RawMessage
	is.NoErr(cbor.Unmarshal(frame, &fields))
	var answer map[int]cbor.RawMessage
	is.NoErr(cbor.Unmarshal(fields[2], &answer))
	var load map[int]any
	is.NoErr(cbor.Unmarshal(answer[11], &load))
	is.Equal(len(load), 3)
	is.True(size(with)-size(without) <= 6)
}

// Guards against a malformed frame that is decoded to a message, or refused with
// an error of another kind.
func TestMalformedFrames(t *testing.T) {
	encode := func(v any) []byte {
		b, err := cbor.Marshal(v)
		is.New(t).NoErr(err)
		return b
	}
	cases := []struct {
		name  string
		frame []byte
		kind  cassiatally.ErrorKind
	}{
		{"empty", nil, cassiatally.KindProtocol},
		{"not CBOR", []byte("GET / HTTP/1.1"), cassiatally.KindProtocol},
		{"truncated", encode([]any{1, 2, []any{}})[:2], cassiatally.KindProtocol},
		{"trailing bytes", append(encode([]any{1, 2, map[int]int{1: 1}}), 0), cassiatally.KindProtocol},
		{"other version", encode([]any{9, 2, map[int]int{1: 1}}), cassiatally.KindUnsupportedVersion},
		{"unknown type", encode([]any{1, 200, map[int]int{1: 1}}), cassiatally.KindProtocol},
		{"wrong field type", encode([]any{1, 2, map[int]string{1: "one"}}), cassiatally.KindProtocol},
		{"duplicate field", []byte{0x83, 1, 2, 0xa2, 1, 1, 1, 2}, cassiatally.KindProtocol},
		{"huge array length", []byte{0x83, 1, 13, 0xa1, 1, 0x9b, 0, 0, 0, 1, 0, 0, 0, 0}, cassiatally.KindProtocol},
		{"too large", make([]byte, protocol.MaxFrameBytes+1), cassiatally.KindTooLarge},
	}
	c, err := protocol.New()
	is.New(t).NoErr(err)
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			_, err := c.Decode(tc.frame)
			is.True(err != nil)
			is.Equal(cassiatally.KindOf(err), tc.kind)
		})
	}
}

// Guards against input that makes the decoder panic or return a message that it
// cannot encode again.
func FuzzDecode(f *testing.F) {
	c, err := protocol.New()
	if err != nil {
		f.Fatal(err)
	}
	for _, m := range sampleMessages() {
		frame, err := c.Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
	}
	f.Fuzz(func(t *testing.T, frame []byte) {
		m, err := c.Decode(frame)
		if err != nil {
			return
		}
		if _, err := c.Encode(m); err != nil {
			t.Fatalf("decoded %T cannot be encoded: %v", m, err)
		}
	})
}
