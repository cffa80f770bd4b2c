package runner_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// keptMiB is the bound of the answers that are kept, as tests without a setting have it.
const keptMiB = 32

func largeAnswer() cassiatally.RunResult {
	return cassiatally.RunResult{Kind: cassiatally.ResultAnswered, Status: 200, Body: make([]byte, 1<<20)}
}

func longCall(seq uint64, idempotent bool) cassiatally.Call {
	c := call(seq, "a")
	c.Remaining = 6 * time.Second
	c.Idempotent = idempotent
	return c
}

// Guards against answers of any size that are kept by their number only: with answers of
// 400 KiB a node exceeded its memory (review/3). Calls must be refused before they run
// instead.
func TestKeptAnswersAreBoundedInBytes(t *testing.T) {
	is := is.New(t)
	h := newHarness(2)
	var refused cassiatally.Answer
	seq := uint64(0)
	for refused.Kind == cassiatally.KindNone && seq < 4*keptMiB {
		seq++
		actions := h.HandleCall(start, entry, longCall(seq, false))
		if len(started(actions)) == 0 {
			refused = answers(actions)[0]
			break
		}
		h.Finished(start, longCall(seq, false).ID, largeAnswer())
	}
	is.Equal(refused.Outcome, cassiatally.OutcomeNotRun)
	is.Equal(refused.Kind, cassiatally.KindOverloaded)
	is.True(seq > keptMiB/2 && seq <= keptMiB+1)
	is.True(h.Counts().KeptAnswerBytes <= keptMiB<<20)
	is.Equal(len(queried(h, start, 1).Body), 1<<20)

	is.Equal(len(started(h.HandleCall(start, entry, longCall(seq+1, true)))), 1) // its answer is not kept
	h.Finished(start, longCall(seq+1, true).ID, largeAnswer())
	is.True(h.Counts().KeptAnswerBytes <= keptMiB<<20)
	h.Tick(start.Add(8 * time.Second))
	is.Equal(h.Counts().KeptAnswerBytes, int64(0))
}

// Guards against answers beyond the bound when the runs in flight answer with more than
// those before, and against an outcome that is dropped with its answer.
func TestAnswersBeyondTheBoundLoseTheirBodies(t *testing.T) {
	is := is.New(t)
	const calls = 3 * keptMiB
	h := newHarness(calls)
	for seq := range uint64(calls) {
		is.Equal(len(started(h.HandleCall(start, entry, longCall(seq, false)))), 1)
	}
	for seq := range uint64(calls) {
		sent := answers(h.Finished(start, longCall(seq, false).ID, largeAnswer()))
		is.Equal(len(sent[0].Body), 1<<20) // the first answer is sent whole
	}
	is.True(h.Counts().KeptAnswerBytes <= (keptMiB+1)<<20)
	last := queried(h, start, calls-1)
	is.Equal(last.Outcome, cassiatally.OutcomeRan)
	is.Equal(last.Kind, cassiatally.KindIncompleteAnswer)
	is.Equal(len(last.Body), 0)
}

// Guards against answers that wait for a slow link without a bound in bytes.
func TestCallsAreRefusedWhileAnswersWaitToBeWritten(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		is := is.New(t)
		h := newHarness(8)
		h.SetUnsentAnswerBytes(keptMiB<<20 - 1)
		is.Equal(len(started(h.HandleCall(start, entry, longCall(1, true)))), 1)
		h.SetUnsentAnswerBytes(keptMiB << 20)
		refused := answers(h.HandleCall(start, entry, longCall(2, idempotent)))[0]
		is.Equal(refused.Outcome, cassiatally.OutcomeNotRun)
		is.Equal(refused.Kind, cassiatally.KindOverloaded)
		h.SetUnsentAnswerBytes(0)
		is.Equal(len(started(h.HandleCall(start, entry, longCall(3, idempotent)))), 1)
	}
}
