package ranker_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/ranker"
	"github.com/cassiatally/cassiatally/cassiatally/sheetparser"
)

const sheetText = `service,kind,data_centre,zone,days,from,to,rank,share,target,idempotent
a,check,*,Europe/London,sat sun,06:00,12:00,0,,800ms,true
a,check,*,Europe/London,*,,,1,0.2,1s,true
a,check,dc2,Europe/London,fri,22:00,02:00,2,0.1,2s,true
a,report,dc1,Asia/Manila,mon-fri,09:00,17:00,3,0.05,3s,false
b,early,*,Europe/London,sun,01:30,02:30,0,,1s,true
b,early,*,,*,,,1,0.2,1s,true
`

func newRanker(t testing.TB) *ranker.Ranker {
	is := is.New(t)
	var p sheetparser.Parser
	s, report := p.Parse("sheet.csv", []byte(sheetText))
	is.NoErr(report.Err())
	r, err := ranker.New(s, 7)
	is.NoErr(err)
	return r
}

// Guards against a wrong rank at the edges of windows, after midnight, at changes of
// daylight-saving time and where rows for one data centre and for all apply.
func TestLookup(t *testing.T) {
	r := newRanker(t)
	cases := []struct {
		name    string
		service cassiatally.Service
		work    cassiatally.WorkKind
		dc      cassiatally.DataCentre
		at      string
		rank    cassiatally.Rank
		share   cassiatally.Share
	}{
		{"before an event morning in winter", "a", "check", "dc1", "2026-01-10T05:59:59Z", 1, 0.2},
		{"event morning in winter", "a", "check", "dc1", "2026-01-10T06:00:00Z", 0, 0},
		{"event morning in summer starts an hour earlier in UTC", "a", "check", "dc1", "2026-07-11T05:00:00Z", 0, 0},
		{"event morning in summer ends an hour earlier in UTC", "a", "check", "dc1", "2026-07-11T11:00:00Z", 1, 0.2},
		{"specific data centre takes precedence", "a", "check", "dc2", "2026-01-09T23:00:00Z", 2, 0.1},
		{"specific data centre after midnight", "a", "check", "dc2", "2026-01-10T01:59:00Z", 2, 0.1},
		{"specific data centre at the end", "a", "check", "dc2", "2026-01-10T02:00:00Z", 1, 0.2},
		{"other zone within hours", "a", "report", "dc1", "2026-01-09T01:00:00Z", 3, 0.05},
		{"no row for the time", "a", "report", "dc1", "2026-01-09T09:00:00Z", 3, 0},
		{"no row for the data centre", "a", "report", "dc2", "2026-01-09T01:00:00Z", 3, 0},
		{"skipped hour, before", "b", "early", "dc1", "2026-03-29T00:59:59Z", 1, 0.2},
		{"skipped hour, the rest of the window", "b", "early", "dc1", "2026-03-29T01:00:00Z", 0, 0},
		{"skipped hour, after", "b", "early", "dc1", "2026-03-29T01:30:00Z", 1, 0.2},
		{"repeated hour, first time", "b", "early", "dc1", "2026-10-25T00:45:00Z", 0, 0},
		{"repeated hour, back before the window", "b", "early", "dc1", "2026-10-25T01:15:00Z", 1, 0.2},
		{"repeated hour, second time", "b", "early", "dc1", "2026-10-25T01:45:00Z", 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			at, err := time.Parse(time.RFC3339, c.at)
			is.NoErr(err)
			p, err := r.Lookup(c.service, c.work, c.dc, at)
			is.NoErr(err)
			is.Equal(p.Rank, c.rank)
			is.Equal(p.Share, c.share)
			is.Equal(p.Version, cassiatally.Version(7))
			is.Equal(p.Idempotent, c.work != "report")
		})
	}
}

// Guards against unknown work that gets a policy, and against the wrong one of the two
// kinds of error.
func TestUnknownWork(t *testing.T) {
	is := is.New(t)
	r := newRanker(t)
	_, err := r.Lookup("c", "check", "dc1", time.Time{})
	is.Equal(cassiatally.KindOf(err), cassiatally.KindUnknownService)
	_, err = r.Lookup("a", "early", "dc1", time.Time{})
	is.Equal(cassiatally.KindOf(err), cassiatally.KindUnknownKind)
}

// Guards against shares that are summed over the rows of a rank.
func TestShares(t *testing.T) {
	is.New(t).Equal(newRanker(t).Shares(), [cassiatally.MaxRanks]cassiatally.Share{0, 0.2, 0.1, 0.05})
}

func BenchmarkLookup(b *testing.B) {
	r := newRanker(b)
	at := time.Date(2026, time.July, 11, 13, 0, 0, 0, time.UTC)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			_, _ = r.Lookup("a", "check", "dc1", at)
		}
	})
}
