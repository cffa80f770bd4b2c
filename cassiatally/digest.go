package cassiatally

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
)

// Digest is the SHA-256 digest of a body.
type Digest [sha256.Size]byte

// DigestOf returns the digest of body.
func DigestOf(body []byte) Digest { return sha256.Sum256(body) }

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// KeyDigest is the SHA-256 digest of a tenant's key. Keys themselves exist only where
// they are decoded.
type KeyDigest [sha256.Size]byte

// KeyDigestOf returns the digest of a key.
func KeyDigestOf(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// String hides the digest, so that it does not appear in logs.
func (KeyDigest) String() string { return "hidden" }

// Format hides the digest from all verbs, since %x and %d do not use String.
func (d KeyDigest) Format(s fmt.State, _ rune) { _, _ = io.WriteString(s, d.String()) }
