package runner

import (
	"cmp"
	"slices"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// Shed counts the calls of one rank that were refused for one reason.
type Shed struct {
	Kind  cassiatally.ErrorKind
	Rank  cassiatally.Rank
	Count uint64
}

// QueueWait adds up the time that the started calls of one rank spent in the queue.
type QueueWait struct {
	Started uint64
	Total   time.Duration
}

// Counts holds the totals that are exported as metrics and on the status page.
type Counts struct {
	// Sheds is ordered by rank and kind.
	Sheds     []Shed
	QueueWait [cassiatally.MaxRanks]QueueWait
	// LateResults counts the results for runs that had already been answered.
	LateResults uint64
	// KeptAnswerBytes is the size of the answers that are kept for senders which may ask for
	// them, and UnsentAnswerBytes that of those which wait to be written.
	KeptAnswerBytes, UnsentAnswerBytes int64
	// Crashes counts the crashes of the backend server that broke off runs.
	Crashes uint64
}

// MachineLoad is the state of a backend server that shares its machine. It is zero while
// the backend server states no slowdown.
type MachineLoad struct {
	Slowdown cassiatally.Slowdown
	// Detached counts the slots of requests that may still run although no call waits for
	// them.
	Detached int
}

// MachineLoad returns the state as of the last call of a method that has a time.
func (r *Runner) MachineLoad() MachineLoad {
	return MachineLoad{Slowdown: r.slowdowns.current, Detached: len(r.detached.runs)}
}

type shedKey struct {
	rank cassiatally.Rank
	kind cassiatally.ErrorKind
}

// Counts returns a copy of the totals so far.
func (r *Runner) Counts() Counts {
	c := Counts{QueueWait: r.queueWait, LateResults: r.lateResults, Crashes: uint64(r.crashes), KeptAnswerBytes: r.Outcomes.Bytes(), UnsentAnswerBytes: r.unsentAnswerBytes}
	for k, n := range r.sheds {
		c.Sheds = append(c.Sheds, Shed{Kind: k.kind, Rank: k.rank, Count: n})
	}
	slices.SortFunc(c.Sheds, func(a, b Shed) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Kind, b.Kind))
	})
	return c
}

func (r *Runner) countShed(rank cassiatally.Rank, kind cassiatally.ErrorKind) {
	r.sheds[shedKey{min(rank, cassiatally.MaxRanks-1), kind}]++
}

func (r *Runner) countQueueWait(now cassiatally.Instant, rec *record) {
	w := &r.queueWait[min(rec.call.Rank, cassiatally.MaxRanks-1)]
	w.Started++
	w.Total += now.Sub(rec.queued)
}
