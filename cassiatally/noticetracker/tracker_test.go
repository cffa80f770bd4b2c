package noticetracker_test

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/noticetracker"
)

func limited(rate cassiatally.Rate) cassiatally.Notice {
	return cassiatally.Notice{RateLimited: true, RateLimit: rate}
}

// Guards against a rate limit or a departure that a later answer, a late answer of an
// earlier start, or an unreadable header takes back or brings into force.
func TestObserve(t *testing.T) {
	const first, second = 5, 7 // times of the starts
	type answer struct {
		startedMs int64
		notice    cassiatally.Notice
	}
	cases := []struct {
		name     string
		answers  []answer
		inPlace  int64
		limited  bool
		limit    cassiatally.Rate
		leaving  bool
		invalid  string
		isChange bool
	}{
		{"limit", []answer{{first, limited(30)}}, first, true, 30, false, "", true},
		{"same limit again", []answer{{first, limited(30)}, {first, limited(30)}}, first, true, 30, false, "", false},
		{"other limit", []answer{{first, limited(30)}, {first, limited(12.5)}}, first, true, 12.5, false, "", true},
		{"limit of zero", []answer{{first, limited(0)}}, first, true, 0, false, "", true},
		{"end of the limit", []answer{{first, limited(30)}, {first, cassiatally.Notice{}}}, first, false, 0, false, "", true},
		{"unreadable limit", []answer{{first, limited(30)}, {first, cassiatally.Notice{InvalidRateLimit: "fast"}}}, first, true, 30, false, "fast", true},
		{"readable limit again", []answer{{first, cassiatally.Notice{InvalidRateLimit: "fast"}}, {first, limited(30)}}, first, true, 30, false, "", true},
		{"leaving", []answer{{first, cassiatally.Notice{Leaving: true}}}, first, false, 0, true, "", true},
		{"answer without the departure", []answer{{first, cassiatally.Notice{Leaving: true}}, {first, cassiatally.Notice{}}}, first, false, 0, true, "", false},
		{"answer of the previous start", []answer{{first, limited(30)}}, second, false, 0, false, "", false},
		{"departure of the previous start", []answer{{first, cassiatally.Notice{Leaving: true}}}, second, false, 0, false, "", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			tr := &noticetracker.Tracker{}
			changed := false
			for _, a := range c.answers {
				tr.SetInstance("i-1", a.startedMs)
				of := tr.Start()
				tr.SetInstance("i-1", c.inPlace)
				changed = tr.Observe(of, a.notice)
			}
			got := tr.Notice()
			is.Equal(got.RateLimited, c.limited)
			is.Equal(got.RateLimit, c.limit)
			is.Equal(got.Leaving, c.leaving)
			is.Equal(got.InvalidRateLimit, c.invalid)
			is.Equal(changed, c.isChange)
		})
	}
}

// Guards against a notice that is lost because a report has no start time, or that is
// kept for another instance.
func TestSetInstance(t *testing.T) {
	is := is.New(t)
	tr := &noticetracker.Tracker{}
	tr.SetInstance("i-1", 0)
	tr.Observe(tr.Start(), limited(30))
	tr.SetInstance("i-1", 5)
	is.True(tr.Notice().RateLimited)
	tr.SetInstance("i-1", 0)
	is.True(tr.Notice().RateLimited)
	tr.SetInstance("i-1", 6)
	is.True(!tr.Notice().RateLimited)
	tr.Observe(tr.Start(), limited(30))
	tr.SetInstance("i-2", 6)
	is.Equal(tr.Notice(), cassiatally.Notice{Instance: "i-2", StartedMs: 6})
}

// Guards against a restarted node that does not use what the others have learnt, and
// against a hint that overrides the backend server or is of another start of it.
func TestHint(t *testing.T) {
	hint := func(id cassiatally.InstanceID, startedMs int64, rate cassiatally.Rate) cassiatally.Notice {
		return cassiatally.Notice{Instance: id, StartedMs: startedMs, RateLimited: true, RateLimit: rate}
	}
	cases := []struct {
		name  string
		setUp func(tr *noticetracker.Tracker)
		want  bool
	}{
		{"of the start in place", func(tr *noticetracker.Tracker) { tr.SetInstance("i-1", 5) }, true},
		{"time of the start unknown", func(tr *noticetracker.Tracker) { tr.SetInstance("i-1", 0) }, true},
		{"of an earlier start", func(tr *noticetracker.Tracker) { tr.SetInstance("i-1", 6) }, false},
		{"of an earlier start, known later", func(tr *noticetracker.Tracker) {
			tr.SetInstance("i-1", 0)
			tr.Hint(hint("i-1", 5, 9))
			tr.SetInstance("i-1", 6)
		}, false},
		{"of another instance", func(tr *noticetracker.Tracker) { tr.SetInstance("i-2", 5) }, false},
		{"after an answer", func(tr *noticetracker.Tracker) {
			tr.SetInstance("i-1", 5)
			tr.Observe(tr.Start(), cassiatally.Notice{})
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			tr := &noticetracker.Tracker{}
			c.setUp(tr)
			is.Equal(tr.Hint(hint("i-1", 5, 9)), c.want)
			is.Equal(tr.Notice().RateLimited, c.want)
		})
	}
	is := is.New(t)
	tr := &noticetracker.Tracker{}
	tr.SetInstance("i-1", 5)
	for _, rate := range []float64{-1, math.NaN(), math.Inf(1)} {
		is.True(!tr.Hint(hint("i-1", 5, cassiatally.Rate(rate))))
	}
}
