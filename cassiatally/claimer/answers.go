package claimer

import (
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	// answerLife is how long a finished key is answered with its stored answer.
	answerLife = 10 * time.Minute
	// maxAnswerBody bounds the body of a stored answer, in bytes.
	maxAnswerBody = 64 << 10
	// maxAnswerBytes bounds all stored answers of the node.
	maxAnswerBytes = 16 << 20
	// answerOverhead is charged for a stored answer in addition to its body.
	answerOverhead = 512
)

type storedAnswer struct {
	claim *claim
	size  int
	until cassiatally.Instant
}

// answerStore bounds the answers that the claims of a node hold.
type answerStore struct {
	oldest []storedAnswer
	bytes  int
}

// put stores the answer with the claim if it is small enough.
func (st *answerStore) put(now cassiatally.Instant, cl *claim, a cassiatally.Answer) {
	if len(a.Body) > maxAnswerBody {
		return
	}
	a.ID = cassiatally.CallID{}
	a.Request = 0
	a.Endpoint = cassiatally.EndpointLoad{}
	a.Loads = nil
	cl.answer = &a
	size := answerOverhead + len(a.Detail) + len(a.Body)
	st.oldest = append(st.oldest, storedAnswer{cl, size, now.Add(answerLife)})
	st.bytes += size
	for st.bytes > maxAnswerBytes {
		st.dropOldest()
	}
}

// expire drops the answers whose time is over.
func (st *answerStore) expire(now cassiatally.Instant) {
	for len(st.oldest) > 0 && now.Reached(st.oldest[0].until) {
		st.dropOldest()
	}
}

func (st *answerStore) dropOldest() {
	st.oldest[0].claim.answer = nil
	st.bytes -= st.oldest[0].size
	st.oldest[0] = storedAnswer{}
	st.oldest = st.oldest[1:]
}
