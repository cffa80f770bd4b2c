package cassiatally

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net/netip"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

type (
	// NodeID names a node; it is unique among live nodes and survives restarts.
	NodeID string
	// Incarnation identifies one run of a node. Each restart has a new, greater one.
	Incarnation uint64
	// Fleet names the nodes that belong together. The empty name stands for any fleet.
	Fleet string
	// DataCentre names a data centre.
	DataCentre string
	// Service names a service of the call graph.
	Service string
	// WorkKind names a kind of work that a service offers.
	WorkKind string
	// Tenant names the organisation on whose behalf a caller sends a request.
	Tenant string
	// Address is a host and port, the host given as an IP number.
	Address string
	// ShardID numbers a shard of idempotency keys within its data centre.
	ShardID uint16
	// Epoch numbers the assignments of a shard. It only grows.
	Epoch uint64
	// Version numbers the accepted sheets. It only grows.
	Version uint64
	// Offset is the position of a record in a stream of the log service.
	Offset uint64
	// StoreEra numbers the times that the store was restored from an earlier copy of itself.
	// Offsets of one era mean nothing in another.
	StoreEra uint64
	// Stream names a stream of the log service.
	Stream string
	// Key is an idempotency key as callers send it.
	Key string
	// RequestName is a caller's own id of a request.
	RequestName string
	// Fingerprint is a hash of service, kind of work and body, equal for equal requests.
	Fingerprint uint64
	// RequestTag is a hash of the call id and the content of a request. An answer
	// repeats it, so that the receiver can check which request the answer is for.
	RequestTag uint64
)

// Valid reports whether the address is an IP number with a port that can be connected to.
func (a Address) Valid() bool {
	parsed, err := netip.ParseAddrPort(string(a))
	return err == nil && parsed.Port() != 0
}

// Accepts reports whether nodes of the two fleets may share a link.
func (f Fleet) Accepts(other Fleet) bool { return f == "" || other == "" || f == other }

// NodeRef names one incarnation of a node.
type NodeRef struct {
	Node        NodeID
	Incarnation Incarnation
}

// IsZero reports whether the reference names no node.
func (r NodeRef) IsZero() bool { return r == NodeRef{} }

// String returns the reference in the form node/incarnation.
func (r NodeRef) String() string {
	return fmt.Sprintf("%s/%x", r.Node, uint64(r.Incarnation))
}

// CrashNumber numbers the crashes of one incarnation of a node, from 1.
type CrashNumber uint64

// ConnID identifies a connection of a client within one process.
type ConnID uint64

// CallOrigin identifies the incarnation of a node that assigned the id of a call.
type CallOrigin uint64

// CallOriginOf returns the origin of a node. The hash includes the node's name as
// well as its incarnation, since nodes that start in the same microsecond have equal
// incarnations.
func CallOriginOf(r NodeRef) CallOrigin {
	h := xxhash.New()
	_, _ = h.WriteString(string(r.Node) + "\x00")
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(r.Incarnation)))
	return CallOrigin(h.Sum64())
}

// CallID identifies a call from one node to another. It is unique across nodes and
// incarnations, so a late answer to an earlier incarnation matches nothing.
type CallID struct {
	Origin CallOrigin
	Seq    uint64
}

// String returns the id in the form origin-sequence, both in hexadecimal.
func (id CallID) String() string {
	return fmt.Sprintf("%x-%x", uint64(id.Origin), id.Seq)
}

// ParseCallID parses the form that CallID.String returns.
func ParseCallID(s string) (CallID, error) {
	origin, seq, ok := strings.Cut(s, "-")
	o, errOrigin := strconv.ParseUint(origin, 16, 64)
	n, errSeq := strconv.ParseUint(seq, 16, 64)
	if !ok || errOrigin != nil || errSeq != nil {
		return CallID{}, errors.Newf("call id %q is not of the form origin-sequence in hexadecimal", s)
	}
	return CallID{Origin: CallOrigin(o), Seq: n}, nil
}

// RootID identifies a caller's request across its whole call chain.
type RootID [16]byte

// String returns the id in hexadecimal.
func (id RootID) String() string { return hex.EncodeToString(id[:]) }

// Order returns the stable order value of a root request. Equal roots have
// equal values at every service, so that all of them shed the same call trees.
func (id RootID) Order() Order {
	const mantissaBits = 53
	return Order(float64(xxhash.Sum64(id[:])>>(64-mantissaBits)) / (1 << mantissaBits))
}

// RootOfKey returns the root id of a request with an idempotency key. A re-send
// of the key keeps its order value and its retry budget.
func RootOfKey(k Key) RootID {
	const seed = "cassiatally-root"
	var id RootID
	high, low := xxhash.Sum64String(string(k)), xxhash.Sum64String(seed+string(k))
	for i := range 8 {
		id[i] = byte(high >> (8 * i))
		id[8+i] = byte(low >> (8 * i))
	}
	return id
}

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(s Service, k WorkKind, body []byte) Fingerprint {
	h := xxhash.New()
	_, _ = h.WriteString(string(s) + "\x00" + string(k) + "\x00")
	_, _ = h.Write(body)
	return Fingerprint(h.Sum64())
}

// tagOf returns the tag of a request with this id and these parts of its content.
func tagOf(id CallID, parts ...[]byte) RequestTag {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], uint64(id.Origin))
	binary.BigEndian.PutUint64(b[8:], id.Seq)
	h := xxhash.New()
	_, _ = h.Write(b[:])
	for _, p := range parts {
		_, _ = h.Write(p)
	}
	// Zero stands for no tag.
	return RequestTag(max(h.Sum64(), 1))
}

// ShardRef names a shard of idempotency keys.
type ShardRef struct {
	DataCentre DataCentre
	Shard      ShardID
}

// String returns the reference in the form data centre/shard.
func (r ShardRef) String() string { return fmt.Sprintf("%s/%d", r.DataCentre, r.Shard) }

// KeyParts are the fields of a minted idempotency key.
type KeyParts struct {
	Shard  ShardRef
	Epoch  Epoch
	Random uint64
}

// Key returns the key in the form data centre.shard.epoch.random.
func (p KeyParts) Key() Key {
	return Key(fmt.Sprintf("%s.%d.%d.%016x", p.Shard.DataCentre, p.Shard.Shard, p.Epoch, p.Random))
}

// ParseKey parses a minted key. Only the exact form that KeyParts.Key returns is
// accepted, so that two spellings of one key cannot be claimed separately.
func ParseKey(k Key) (KeyParts, error) {
	fields := strings.Split(string(k), ".")
	malformed := errors.Newf("key %q is not of the form data-centre.shard.epoch.random", k)
	if len(fields) != 4 || fields[0] == "" {
		return KeyParts{}, malformed
	}
	shard, errShard := strconv.ParseUint(fields[1], 10, 16)
	epoch, errEpoch := strconv.ParseUint(fields[2], 10, 64)
	random, errRandom := strconv.ParseUint(fields[3], 16, 64)
	if errShard != nil || errEpoch != nil || errRandom != nil {
		return KeyParts{}, malformed
	}
	p := KeyParts{
		Shard:  ShardRef{DataCentre: DataCentre(fields[0]), Shard: ShardID(shard)},
		Epoch:  Epoch(epoch),
		Random: random,
	}
	if p.Key() != k {
		return KeyParts{}, malformed
	}
	return p, nil
}
