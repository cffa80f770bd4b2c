// Package protocol encodes the messages between nodes. A frame is one binary
// WebSocket message that holds a CBOR array of version, message type and body.
// The package only encodes and decodes; docs/protocol.md lists the frames.
//
// # Usage
//
//	codec, err := protocol.New()
//	frame, err := codec.Encode(cassiatally.Ping{Seq: 7})
//	message, err := codec.Decode(frame)
//
// Decode returns an Error of KindProtocol for malformed frames, KindTooLarge for
// frames over MaxFrameBytes and KindUnsupportedVersion for other versions.
package protocol

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	// Version is the version of the protocol that Encode writes.
	Version = 1
	// MaxFrameBytes bounds a frame: a body and its envelope.
	MaxFrameBytes = cassiatally.MaxBodyBytes + 64<<10

	// arrayOfThree is the first byte of a CBOR array of three elements. The version
	// and the message type follow as one byte each, as CBOR encodes numbers below 24.
	arrayOfThree     = 0x83
	frameHeaderBytes = 3

	maxArrayElements = 1 << 14
	maxMapPairs      = 1 << 10
	maxNesting       = 8
)

// Codec encodes and decodes frames. It is safe for concurrent use.
type Codec struct {
	enc cbor.EncMode
	dec cbor.DecMode
}

// New returns a codec.
func New() (*Codec, error) {
	enc, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		return nil, cassiatally.NewError(cassiatally.KindInternal, "encoding options: %v", err)
	}
	dec, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		MaxNestedLevels:  maxNesting,
	}.DecMode()
	if err != nil {
		return nil, cassiatally.NewError(cassiatally.KindInternal, "decoding options: %v", err)
	}
	return &Codec{enc: enc, dec: dec}, nil
}

type frame struct {
	_       struct{} `cbor:",toarray"`
	Version uint8
	Type    messageType
	Body    cbor.RawMessage
}

// Encode returns the frame of a message.
func (c *Codec) Encode(m cassiatally.Message) ([]byte, error) {
	t, wire := toWire(m)
	if t == typeNone {
		return nil, cassiatally.NewError(cassiatally.KindInternal, "message %T has no frame type", m)
	}
	body, err := c.enc.Marshal(wire)
	if err != nil {
		return nil, cassiatally.NewError(cassiatally.KindInternal, "encode %T: %v", m, err)
	}
	// The frame is put together by hand: its first two elements are numbers of one
	// byte, and marshalling the array would copy and check the body once more.
	out := make([]byte, 0, frameHeaderBytes+len(body))
	out = append(out, arrayOfThree, Version, byte(t))
	out = append(out, body...)
	if len(out) > MaxFrameBytes {
		return nil, cassiatally.NewError(cassiatally.KindTooLarge, "frame of %d bytes exceeds %d", len(out), MaxFrameBytes)
	}
	return out, nil
}

// Decode returns the message in a frame.
func (c *Codec) Decode(data []byte) (cassiatally.Message, error) {
	if len(data) > MaxFrameBytes {
		return nil, cassiatally.NewError(cassiatally.KindTooLarge, "frame of %d bytes exceeds %d", len(data), MaxFrameBytes)
	}
	var f frame
	if err := c.dec.Unmarshal(data, &f); err != nil {
		return nil, cassiatally.NewError(cassiatally.KindProtocol, "malformed frame: %v", err)
	}
	if f.Version != Version {
		return nil, cassiatally.NewError(cassiatally.KindUnsupportedVersion, "frame has version %d, this node supports %d", f.Version, Version)
	}
	decode, ok := decoders[f.Type]
	if !ok {
		return nil, cassiatally.NewError(cassiatally.KindProtocol, "unknown frame type %d", f.Type)
	}
	m, err := decode(c.dec, f.Body)
	if err != nil {
		return nil, cassiatally.NewError(cassiatally.KindProtocol, "malformed body of frame type %d: %v", f.Type, err)
	}
	return m, nil
}
