package quotaowner_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/quotaowner"
)

const start = cassiatally.Instant(time.Hour)

func candidate(n cassiatally.NodeID, dc cassiatally.DataCentre) cassiatally.QuotaCandidate {
	return cassiatally.QuotaCandidate{Node: n, DataCentre: dc, Address: "127.0.0.1:1"}
}

// world drives one owner, for which the test plays the other candidates.
type world struct {
	now   cassiatally.Instant
	owner *quotaowner.Owner
	// beating has the candidates that send a beat every 500 ms.
	beating map[cassiatally.NodeID]*cassiatally.QuotaBeat
}

// newWorld returns an owner "a" in a data centre of 3, beside the candidates "b" and "c"
// and a data centre "south" of 3 with the candidate "s".
func newWorld(spec cassiatally.TenantSpec) *world {
	w := &world{now: start, owner: quotaowner.New(candidate("a", "north")), beating: map[cassiatally.NodeID]*cassiatally.QuotaBeat{}}
	w.setMembers(3, 3)
	w.owner.SetTenants(w.now, []cassiatally.TenantSpec{spec})
	for _, c := range []cassiatally.QuotaCandidate{candidate("b", "north"), candidate("c", "north"), candidate("s", "south")} {
		w.beating[c.Node] = &cassiatally.QuotaBeat{From: c, Live: 3, Known: 3, Alive: []cassiatally.NodeID{"a"}}
	}
	return w
}

func (w *world) setMembers(live, known int) {
	w.owner.SetMembers(w.now, quotaowner.Members{
		Local:    []cassiatally.QuotaCandidate{candidate("a", "north"), candidate("b", "north"), candidate("c", "north")},
		Gateways: []cassiatally.QuotaCandidate{candidate("s", "south")},
		Live:     live, Known: known,
	})
}

// pass lets time pass.
func (w *world) pass(d time.Duration) {
	for end := w.now.Add(d); w.now < end; w.now = w.now.Add(100 * time.Millisecond) {
		w.owner.Tick(w.now)
		if w.now.Sub(start)%quotaowner.BeatInterval != 0 {
			continue
		}
		for _, b := range w.beating {
			w.owner.HandleBeat(w.now, *b)
		}
	}
	w.owner.Tick(w.now)
}

func (w *world) ask(want int) cassiatally.QuotaGrant {
	return w.owner.HandleRequest(w.now, cassiatally.QuotaRequest{Seq: 1, Tenant: "t", Want: want})
}

// peerOf returns a candidate before or after "a" in the order of the tenant.
func peerOf(t *testing.T, w *world, before bool) cassiatally.NodeID {
	t.Helper()
	for id := range w.beating {
		if (quotaowner.Score("t", id) < quotaowner.Score("t", "a")) == before {
			return id
		}
	}
	t.Fatal("no such candidate in the order of the tenant")
	return ""
}

var plain = cassiatally.TenantSpec{Name: "t", Rate: 10, Burst: 10}

// Guards against two owners of a tenant: a candidate that sees a better one names it.
func TestBetterCandidateIsNamed(t *testing.T) {
	is := is.New(t)
	w := newWorld(plain)
	w.pass(5 * time.Second)
	is.True(!w.ask(1).Declined)
	better := peerOf(t, w, true)
	w.beating[better].Eligible = true
	w.pass(time.Second)
	g := w.ask(1)
	is.True(g.Declined)
	is.Equal(g.Better.Node, better)
}

// Guards against a grant beside a predecessor that was cut off and does not know it yet,
// and against a needless wait after one that has stepped down.
func TestTakeover(t *testing.T) {
	is := is.New(t)
	w := newWorld(plain)
	better := peerOf(t, w, true)
	w.beating[better].Eligible = true
	w.pass(5 * time.Second)
	silent := w.beating[better]
	delete(w.beating, better)
	last := w.now
	for w.now.Sub(last) < 2300*time.Millisecond {
		w.pass(100 * time.Millisecond)
		is.True(w.ask(1).Declined)
	}
	w.pass(time.Second)
	is.True(!w.ask(1).Declined)

	w.beating[better] = silent
	w.pass(time.Second)
	is.True(w.ask(1).Declined)
	silent.Eligible = false
	w.pass(600 * time.Millisecond)
	is.True(!w.ask(1).Declined)
}

// Guards against a new owner that grants while the present one has not received its beats, and
// against one that starts with a full bucket.
func TestNewOwnerWaitsUntilItIsHeard(t *testing.T) {
	is := is.New(t)
	w := newWorld(plain)
	worse := peerOf(t, w, false)
	w.beating[worse].Eligible, w.beating[worse].Alive = true, nil
	w.pass(1600 * time.Millisecond)
	is.True(w.owner.Eligible())
	is.True(w.ask(1).Declined)
	w.beating[worse].Alive = []cassiatally.NodeID{"a"}
	w.pass(600 * time.Millisecond)
	g := w.ask(100)
	is.True(!g.Declined)
	is.True(g.Granted < 10)
}

// Guards against a share that stays high when a data centre is cut off, or rises before
// the owner on the other side has stopped.
func TestFraction(t *testing.T) {
	is := is.New(t)
	w := newWorld(plain)
	w.pass(5 * time.Second)
	is.Equal(w.owner.Fraction(w.now), 1.0)
	south := w.beating["s"]
	delete(w.beating, "s")
	w.pass(1600 * time.Millisecond)
	is.Equal(w.owner.Fraction(w.now), 0.5)
	w.beating["s"] = south
	w.pass(2500 * time.Millisecond)
	is.Equal(w.owner.Fraction(w.now), 0.5)
	w.pass(1500 * time.Millisecond)
	is.Equal(w.owner.Fraction(w.now), 1.0)
}

// Guards against grants of a host that is cut off from its data centre, which gossip
// notices after seconds only.
func TestIsolation(t *testing.T) {
	cases := []struct {
		name   string
		silent []cassiatally.NodeID
		live   int
		want   bool
	}{
		{"all live", nil, 3, false},
		{"one of three candidates lost", []cassiatally.NodeID{"b"}, 3, false},
		{"other data centre lost", []cassiatally.NodeID{"s"}, 3, false},
		{"alone", []cassiatally.NodeID{"b", "c", "s"}, 3, true},
		{"cut off with a candidate of the same data centre", []cassiatally.NodeID{"b", "s"}, 3, true},
		{"cut off with a candidate of another data centre", []cassiatally.NodeID{"b", "c"}, 3, true},
		{"few members live", nil, 1, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(plain)
			w.pass(5 * time.Second)
			for _, id := range tc.silent {
				delete(w.beating, id)
			}
			w.setMembers(tc.live, 3)
			w.pass(1600 * time.Millisecond)
			is.Equal(w.owner.Isolated(), tc.want)
			is.Equal(w.ask(1).Declined, tc.want)
		})
	}
}

// Guards against an owner that goes on with its bucket after it was isolated: another one
// has granted meanwhile. A request for another tenant notices the isolation, before the
// next tick.
func TestOwnerThatWasIsolatedStartsAgain(t *testing.T) {
	is := is.New(t)
	w := newWorld(cassiatally.TenantSpec{Name: "t", Rate: 100, Burst: 1000})
	w.owner.SetTenants(w.now, []cassiatally.TenantSpec{{Name: "t", Rate: 100, Burst: 1000}, {Name: "u", Rate: 1}})
	w.pass(10 * time.Second)
	w.setMembers(1, 3)
	is.True(w.owner.HandleRequest(w.now, cassiatally.QuotaRequest{Tenant: "u", Want: 1}).Declined)
	w.pass(time.Second)
	w.setMembers(3, 3)
	w.pass(1600 * time.Millisecond)
	g := w.ask(1000)
	is.True(!g.Declined)
	is.True(g.Granted < 50)
}

// Guards against a lower quota that leaves what had accumulated under the higher one.
func TestLowerQuotaAppliesAtOnce(t *testing.T) {
	is := is.New(t)
	w := newWorld(cassiatally.TenantSpec{Name: "t", Rate: 100, Burst: 1000})
	w.pass(10 * time.Second)
	w.owner.SetTenants(w.now, []cassiatally.TenantSpec{{Name: "t", Rate: 1, Burst: 0}})
	g := w.ask(1000)
	is.True(g.Granted <= 12)
	is.True(g.Next > 0)
	is.True(g.RetryAfter >= 100*time.Millisecond)
}

// Guards against a process that was paused and grants by what it knew before.
func TestPausedOwnerStartsAgain(t *testing.T) {
	is := is.New(t)
	w := newWorld(plain)
	w.pass(5 * time.Second)
	is.True(!w.ask(1).Declined)
	w.now = w.now.Add(4 * time.Second)
	is.True(w.ask(1).Declined)
	for _, b := range w.beating { // what had been received meanwhile
		w.owner.HandleBeat(w.now, *b)
	}
	w.owner.Tick(w.now)
	is.True(!w.owner.Eligible())
	is.True(w.ask(1).Declined)
}

// Guards against beats while no tenant has a limit.
func TestNoBeatsWithoutLimits(t *testing.T) {
	is := is.New(t)
	w := newWorld(cassiatally.TenantSpec{Name: "t"})
	_, to := w.owner.Tick(w.now)
	is.Equal(len(to), 0)
	_, reply := w.owner.HandleBeat(w.now, *w.beating["b"])
	is.True(!reply)
}

// Guards against a quota that is so high that its tokens exceed an int: the conversion is
// then negative on x86-64, and every request is refused.
func TestQuotaBeyondInt(t *testing.T) {
	is := is.New(t)
	w := newWorld(cassiatally.TenantSpec{Name: "t", Rate: 1e20, Burst: 1e20})
	w.pass(10 * time.Second)
	is.Equal(w.ask(5).Granted, 5)
	is.Equal(w.ask(5).Granted, 5)
}

// Guards against two owners of a tenant when only the link between them is cut: others reach
// both, and neither is isolated.
func TestOneCutLinkMakesNoSecondOwner(t *testing.T) {
	is := is.New(t)
	ids := []cassiatally.NodeID{"a", "b", "c", "d"}
	dataCentreOf := func(id cassiatally.NodeID) cassiatally.DataCentre {
		if id == "d" {
			return "south"
		}
		return "north"
	}
	now := start
	owners := map[cassiatally.NodeID]*quotaowner.Owner{}
	for _, id := range ids {
		o := quotaowner.New(candidate(id, dataCentreOf(id)))
		m := quotaowner.Members{Live: 3, Known: 3}
		for _, other := range ids {
			if c := candidate(other, dataCentreOf(other)); c.DataCentre == dataCentreOf(id) {
				m.Local = append(m.Local, c)
			} else {
				m.Gateways = append(m.Gateways, c)
			}
		}
		if id == "d" {
			m.Live, m.Known = 1, 1
		}
		o.SetMembers(now, m)
		o.SetTenants(now, []cassiatally.TenantSpec{plain})
		owners[id] = o
	}
	// first and second are the first candidates in the order of the tenant.
	var ordered []cassiatally.QuotaCandidate
	for _, id := range ids {
		ordered = append(ordered, candidate(id, dataCentreOf(id)))
	}
	ordered = quotaowner.Order("t", ordered)
	first, second := ordered[0].Node, ordered[1].Node
	cut := false
	deliver := func(b cassiatally.QuotaBeat, to cassiatally.NodeID) (cassiatally.QuotaBeat, bool) {
		if from := b.From.Node; cut && (from == first && to == second || from == second && to == first) {
			return cassiatally.QuotaBeat{}, false
		}
		return owners[to].HandleBeat(now, b)
	}
	granting := func() (names []cassiatally.NodeID) {
		for _, id := range ids {
			if !owners[id].HandleRequest(now, cassiatally.QuotaRequest{Tenant: "t", Want: 1}).Declined {
				names = append(names, id)
			}
		}
		return names
	}
	pass := func(d time.Duration) {
		for end := now.Add(d); now < end; now = now.Add(100 * time.Millisecond) {
			for _, id := range ids {
				beat, to := owners[id].Tick(now)
				for _, c := range to {
					if reply, ok := deliver(beat, c.Node); ok {
						deliver(reply, id)
					}
				}
			}
		}
		for _, id := range ids {
			owners[id].Tick(now)
		}
	}
	pass(8 * time.Second)
	is.Equal(granting(), []cassiatally.NodeID{first})
	cut = true
	for range 10 {
		pass(time.Second)
		is.Equal(granting(), []cassiatally.NodeID{first})
	}
	cut = false
	pass(5 * time.Second)
	is.Equal(granting(), []cassiatally.NodeID{first})
}

// Guards against a grant as soon as the last one that reaches a better candidate has lost
// it: that candidate may not have noticed yet.
func TestTakeoverWaitsAfterTheLastReport(t *testing.T) {
	is := is.New(t)
	w := newWorld(plain)
	better, worse := peerOf(t, w, true), peerOf(t, w, false)
	w.beating[better].Eligible = true
	w.pass(5 * time.Second)
	delete(w.beating, better)
	w.beating[worse].Alive = []cassiatally.NodeID{"a", better}
	for range 5 {
		w.pass(time.Second)
		g := w.ask(1)
		is.True(g.Declined)
		is.Equal(g.Better.Node, better)
	}
	w.beating[worse].Alive = []cassiatally.NodeID{"a"}
	w.pass(900 * time.Millisecond)
	is.True(w.ask(1).Declined)
	w.pass(2 * time.Second)
	is.True(!w.ask(1).Declined)
}
