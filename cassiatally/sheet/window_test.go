package sheet_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiatally/cassiatally/cassiatally/sheet"
)

// Guards against days that are parsed wrongly, which moves a window to another day.
func TestParseDays(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"empty is every day", "", "*"},
		{"star is every day", "*", "*"},
		{"range", "mon-fri", "mon tue wed thu fri"},
		{"range over the end of the week", "sat-mon", "mon sat sun"},
		{"list in any case", "Sun SAT", "sat sun"},
		{"unknown day", "mon-fry", "error"},
		{"open range", "mon-", "error"},
		{"blank", "  ", "error"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := "error"
			if d, err := sheet.ParseDays(c.text); err == nil {
				got = d.String()
			}
			is.New(t).Equal(got, c.want)
		})
	}
}

// Guards against windows that end a day early or late when they cross midnight.
func TestWindowContains(t *testing.T) {
	is := is.New(t)
	days, err := sheet.ParseDays("fri")
	is.NoErr(err)
	night := sheet.Window{Days: days, From: 22 * 60, To: 6 * 60}
	cases := []struct {
		name string
		time string
		want bool
	}{
		{"before it starts", "2026-03-06T21:59:00Z", false},
		{"at its start", "2026-03-06T22:00:00Z", true},
		{"after midnight of its day", "2026-03-07T05:59:00Z", true},
		{"at its end", "2026-03-07T06:00:00Z", false},
		{"after midnight before its day", "2026-03-06T03:00:00Z", false},
		{"in the next evening", "2026-03-07T22:00:00Z", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			at, err := time.Parse(time.RFC3339, c.time)
			is.NoErr(err)
			is.Equal(night.Contains(at), c.want)
		})
	}
}

// Guards against a sheet whose windows depend on the zone of the host that reads it.
func TestHostZoneIsRefused(t *testing.T) {
	_, err := sheet.Zone("Local").Location()
	is.New(t).True(err != nil)
}
