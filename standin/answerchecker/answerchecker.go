// Package answerchecker verifies that an answer is complete, unaltered and the
// answer to the caller's own request.
//
// # Usage
//
//	c := answerchecker.Checker{ID: id, Service: "avail-svc", Kind: "check"}
//	fault := c.Check(resp.Header.Get(core.HeaderContentDigest), body)
package answerchecker

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/standin/core"
)

// Checker verifies the answer to one request.
type Checker struct {
	ID      core.RequestID
	Service cassiatally.Service
	Kind    cassiatally.WorkKind
	// MinSizeBytes is the minimum size of a complete answer.
	MinSizeBytes int
}

type answerBody struct {
	Service  cassiatally.Service  `json:"service"`
	Kind     cassiatally.WorkKind `json:"kind"`
	ID       core.RequestID       `json:"id"`
	Children []answerBody         `json:"children"`
}

// Check returns the fault of the answer. An answer without a digest counts as
// incomplete, since its caller cannot verify that it is complete.
func (c Checker) Check(digest string, body []byte) core.Fault {
	if len(body) < c.MinSizeBytes || digest == "" {
		return core.FaultIncomplete
	}
	if digest != Digest(body) {
		return core.FaultCorrupted
	}
	var answer answerBody
	if json.Unmarshal(body, &answer) != nil {
		return core.FaultIncomplete
	}
	if answer.Service != c.Service || answer.Kind != c.Kind || !answer.belongsTo(c.ID) {
		return core.FaultForeign
	}
	return core.FaultNone
}

// belongsTo reports whether the answer and all answers nested in it carry the id.
func (a answerBody) belongsTo(id core.RequestID) bool {
	if a.ID != id {
		return false
	}
	for _, child := range a.Children {
		if !child.belongsTo(id) {
			return false
		}
	}
	return true
}

// Digest returns the value of the header Content-Digest for the body (RFC 9530).
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	var b strings.Builder
	b.WriteString("sha-256=:")
	b.WriteString(base64.StdEncoding.EncodeToString(sum[:]))
	b.WriteString(":")
	return b.String()
}
