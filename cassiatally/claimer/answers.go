package claimer

import (
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	// answerTTL is how long the answer of a finished key stays stored.
	answerTTL = 10 * time.Minute
	// maxAnswerBodyBytes bounds the body of a stored answer.
	maxAnswerBodyBytes = 64 << 10
	// maxAnswerBytes bounds all stored answers of the node together.
	maxAnswerBytes = 16 << 20
	// answerOverheadBytes is counted for a stored answer in addition to its texts.
	answerOverheadBytes = 512
)

type storedAnswer struct {
	claim *claim
	size  int
	until cassiatally.Instant
}

// answerStore evicts the answers that the claims of a node hold, by age and by
// their total size. Its entries are ordered from the oldest to the newest.
type answerStore struct {
	entries []storedAnswer
	bytes   int
}

// put stores the answer with the claim, unless its body is too large.
func (st *answerStore) put(now cassiatally.Instant, cl *claim, a cassiatally.Answer) {
	if len(a.Body) > maxAnswerBodyBytes {
		return
	}
	a.ID = cassiatally.CallID{}
	a.Request = 0
	a.Endpoint = cassiatally.EndpointLoad{}
	a.Loads = nil
	cl.answer = &a
	size := answerOverheadBytes + len(a.Detail) + len(a.Body)
	st.entries = append(st.entries, storedAnswer{cl, size, now.Add(answerTTL)})
	st.bytes += size
	for st.bytes > maxAnswerBytes {
		st.dropOldest()
	}
}

// expire drops the answers that reached answerTTL.
func (st *answerStore) expire(now cassiatally.Instant) {
	for len(st.entries) > 0 && now.Reached(st.entries[0].until) {
		st.dropOldest()
	}
}

func (st *answerStore) dropOldest() {
	st.entries[0].claim.answer = nil
	st.bytes -= st.entries[0].size
	st.entries[0] = storedAnswer{}
	st.entries = st.entries[1:]
}
