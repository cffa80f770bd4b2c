package cassiatally

import (
	"crypto/sha256"
	"encoding/hex"
)

// Digest is the SHA-256 digest of a body.
type Digest [sha256.Size]byte

// DigestOf returns the digest of body.
func DigestOf(body []byte) Digest { return sha256.Sum256(body) }

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }
