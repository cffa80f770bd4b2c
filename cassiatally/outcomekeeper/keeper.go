// Package outcomekeeper keeps the outcomes of finished calls for senders that have lost
// the link on which the answer was sent, and states for which other calls the lack of an
// outcome is evidence.
//
// An outcome is kept until its deadline and is never dropped earlier: while there is no
// room, calls whose outcome would have to be kept must be refused before they run. When
// the calls in flight by then answer with more than is left, the last ones are kept
// without their bodies. Of the outcomes that were dropped the keeper retains the highest
// sequence number of each origin. An origin numbers its calls in ascending order, so a call
// with a higher number has no outcome here only if it has not run.
//
// # Usage
//
//	k := &outcomekeeper.Keeper{MaxOutcomes: 16384}
//	if !k.HasRoom(reserved) { refuse(call) }
//	k.Keep(answer, expires)
//	if answer, ok := k.Find(id); ok { send(answer) }
//	if k.MayHaveForgotten(id) { say(unknown) }
//	k.Expire(now)
//
// A Keeper is not safe for concurrent use.
package outcomekeeper

import (
	"container/heap"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	defaultMaxOutcomes = 16384
	defaultMaxBytes    = 32 << 20
	// outcomeBytes is the size of an outcome without its variable parts, with its places in
	// the map and the heap.
	outcomeBytes = 1024
	// fieldBytes is the size of the headers of a field or a load, and more than a level.
	fieldBytes = 48
	// meanWeight is the weight of a new answer in the mean size.
	meanWeight = 1.0 / 16
	// maxOrigins bounds the origins whose highest dropped number is retained. An origin
	// is one start of one node.
	maxOrigins = 4096
)

// Keeper holds the outcomes. Its fields are set before its first use.
type Keeper struct {
	// MaxOutcomes bounds the number of outcomes; 0 means 16,384, which is 16 s of 1,000
	// calls a second.
	MaxOutcomes int
	// MaxBytes bounds the bytes of the outcomes; 0 means 32 MiB. They may exceed it by 1 KiB
	// for each call that was in flight when it was reached.
	MaxBytes int64

	bytes int64
	// full is set from when an outcome lost its body until one expires.
	full bool
	// meanBytes is the smoothed size of the outcomes as they came.
	meanBytes float64
	answers   map[cassiatally.CallID]cassiatally.Answer
	expiry    expiryHeap
	// forgotten has the highest dropped sequence number of each origin.
	forgotten map[cassiatally.CallOrigin]uint64
	// originsDropped is set once entries of forgotten were dropped, so that an origin
	// without an entry proves nothing any more.
	originsDropped bool
}

// HasRoom reports whether the outcome of one more call can be kept, beside those of
// reserved calls that have not ended.
func (k *Keeper) HasRoom(reserved int) bool {
	limit := k.MaxOutcomes
	if limit == 0 {
		limit = defaultMaxOutcomes
	}
	mean := int64(max(k.meanBytes, outcomeBytes))
	return !k.full && len(k.answers)+reserved < limit && k.bytes+int64(reserved+1)*mean <= k.ByteLimit()
}

// ByteLimit returns the bound of the bytes of the outcomes.
func (k *Keeper) ByteLimit() int64 {
	if k.MaxBytes == 0 {
		return defaultMaxBytes
	}
	return k.MaxBytes
}

// Bytes returns the size of the stored outcomes.
func (k *Keeper) Bytes() int64 { return k.bytes }

// Keep stores the answer to a call until it expires.
func (k *Keeper) Keep(a cassiatally.Answer, expires cassiatally.Instant) {
	if k.answers == nil {
		k.answers = make(map[cassiatally.CallID]cassiatally.Answer)
	}
	if _, exists := k.answers[a.ID]; exists {
		return
	}
	size := sizeOf(a)
	if k.meanBytes == 0 {
		k.meanBytes = float64(size)
	}
	k.meanBytes += meanWeight * (float64(size) - k.meanBytes)
	if k.bytes+size > k.ByteLimit() {
		k.full = true
		a = withoutBody(a)
		size = sizeOf(a)
	}
	k.bytes += size
	k.answers[a.ID] = a
	heap.Push(&k.expiry, entry{expires: expires, id: a.ID})
}

// Find returns the stored answer to a call.
func (k *Keeper) Find(id cassiatally.CallID) (cassiatally.Answer, bool) {
	a, ok := k.answers[id]
	return a, ok
}

// Len returns the number of stored outcomes.
func (k *Keeper) Len() int { return len(k.answers) }

// Expire drops the outcomes that have expired.
func (k *Keeper) Expire(now cassiatally.Instant) {
	for len(k.expiry) > 0 && now.Reached(k.expiry[0].expires) {
		e := heap.Pop(&k.expiry).(entry)
		k.full = false
		k.bytes -= sizeOf(k.answers[e.id])
		delete(k.answers, e.id)
		k.recordForgotten(e.id)
	}
}

// MayHaveForgotten reports whether a call may have had an outcome that was dropped.
func (k *Keeper) MayHaveForgotten(id cassiatally.CallID) bool {
	highest, ok := k.forgotten[id.Origin]
	return (ok && id.Seq <= highest) || (!ok && k.originsDropped)
}

func (k *Keeper) recordForgotten(id cassiatally.CallID) {
	if k.forgotten == nil {
		k.forgotten = make(map[cassiatally.CallOrigin]uint64)
	}
	if _, ok := k.forgotten[id.Origin]; !ok && len(k.forgotten) >= maxOrigins {
		clear(k.forgotten)
		k.originsDropped = true
	}
	k.forgotten[id.Origin] = max(k.forgotten[id.Origin], id.Seq)
}

// withoutBody returns an answer that states the outcome of a, and that its body was dropped.
func withoutBody(a cassiatally.Answer) cassiatally.Answer {
	kind := a.Kind
	if a.Outcome == cassiatally.OutcomeRan {
		kind = cassiatally.KindIncompleteAnswer
	}
	return cassiatally.Answer{
		ID: a.ID, Request: a.Request, Outcome: a.Outcome, Kind: kind, Detail: "the node has no room for the answer",
		RetriesSpent: a.RetriesSpent, Endpoint: a.Endpoint,
	}
}

func sizeOf(a cassiatally.Answer) int64 {
	n := outcomeBytes + len(a.Body) + len(a.Detail) + len(a.ContentType)
	for _, f := range a.Fields {
		n += len(f.Name) + len(f.Value)
	}
	for _, l := range a.Loads {
		n += len(l.Service) + fieldBytes*(len(l.Levels)+1)
	}
	return int64(n + fieldBytes*len(a.Fields))
}

type entry struct {
	expires cassiatally.Instant
	id      cassiatally.CallID
}

type expiryHeap []entry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires < h[j].expires }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *expiryHeap) Push(x any)        { *h = append(*h, x.(entry)) }
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
