package sheet

import (
	"fmt"
	"strconv"
	"strings"
	"time"
	_ "time/tzdata" // hosts may have no zone files

	"github.com/cockroachdb/errors"
)

// Zone is the IANA name of a time zone. The empty zone is UTC.
type Zone string

// Location returns the rules of the zone. The host's local zone is refused,
// because a sheet must have the same meaning on every host.
func (z Zone) Location() (*time.Location, error) {
	if z == "Local" {
		return nil, errors.New("the host's local zone differs between hosts")
	}
	loc, err := time.LoadLocation(string(z))
	if err != nil {
		return nil, errors.Wrapf(err, "zone %q", string(z))
	}
	return loc, nil
}

// Days is a set of days of the week; bit 0 is Sunday as in time.Weekday.
type Days uint8

const (
	// EveryDay is the set of all days.
	EveryDay Days = 1<<daysPerWeek - 1

	daysPerWeek = 7
)

var dayNames = [daysPerWeek]string{"sun", "mon", "tue", "wed", "thu", "fri", "sat"}

// Has reports whether the day is in the set.
func (d Days) Has(day time.Weekday) bool { return d&(1<<day) != 0 }

// String returns the names of the days from Monday on, or * for every day.
func (d Days) String() string {
	if d == EveryDay {
		return "*"
	}
	var names []string
	for i := range daysPerWeek {
		day := time.Weekday((i + 1) % daysPerWeek)
		if d.Has(day) {
			names = append(names, dayNames[day])
		}
	}
	return strings.Join(names, " ")
}

// ParseDays reads days and ranges of days such as "mon-fri" or "sat sun". The
// empty text and * are every day.
func ParseDays(s string) (Days, error) {
	if s == "" || s == "*" {
		return EveryDay, nil
	}
	var d Days
	for _, part := range strings.Fields(strings.ToLower(s)) {
		first, last, isRange := strings.Cut(part, "-")
		if !isRange {
			last = first
		}
		from, okFrom := parseDay(first)
		to, okTo := parseDay(last)
		if !okFrom || !okTo {
			return 0, errors.Newf("%q is not a day or a range of days", part)
		}
		for day := from; ; day = (day + 1) % daysPerWeek {
			d |= 1 << day
			if day == to {
				break
			}
		}
	}
	if d == 0 {
		return 0, errors.New("no day is named")
	}
	return d, nil
}

func parseDay(name string) (time.Weekday, bool) {
	for i, n := range dayNames {
		if n == name {
			return time.Weekday(i), true
		}
	}
	return 0, false
}

// Minute is a time of day in minutes from midnight, or a time of the week in
// minutes from midnight before Monday.
type Minute int

const (
	// MinutesPerDay is also the end of a window that ends at midnight.
	MinutesPerDay Minute = 24 * minutesPerHour
	// MinutesPerWeek is the length of a week.
	MinutesPerWeek = daysPerWeek * MinutesPerDay

	minutesPerHour = 60
)

// String returns a time of day in the form HH:MM.
func (m Minute) String() string {
	return fmt.Sprintf("%02d:%02d", int(m)/minutesPerHour, int(m)%minutesPerHour)
}

// ParseMinute reads a time of day in the form HH:MM, from 00:00 to 24:00.
func ParseMinute(s string) (Minute, error) {
	h, m, ok := strings.Cut(s, ":")
	hours, errHours := strconv.ParseUint(h, 10, 8)
	minutes, errMinutes := strconv.ParseUint(m, 10, 8)
	total := Minute(hours)*minutesPerHour + Minute(minutes)
	if !ok || errHours != nil || errMinutes != nil || len(m) != 2 || minutes >= minutesPerHour || total > MinutesPerDay {
		return 0, errors.Newf("%q is not a time of day", s)
	}
	return total, nil
}

// Window is a set of times of the week by the wall clock of a zone. A window
// whose end is not after its start crosses midnight and belongs to the day on
// which it starts.
//
// Wall-clock times follow the zone over a change of daylight-saving time: times
// that the change skips do not occur, and times that it repeats count twice.
type Window struct {
	Zone Zone
	Days Days
	From Minute
	To   Minute
}

// AllDay reports whether the window covers its days from midnight to midnight.
func (w Window) AllDay() bool { return w.From == 0 && w.To == MinutesPerDay }

// Contains reports whether a local time in the zone of the window is inside it.
func (w Window) Contains(local time.Time) bool {
	m := Minute(local.Hour()*minutesPerHour + local.Minute())
	day := local.Weekday()
	if w.From < w.To {
		return w.Days.Has(day) && w.From <= m && m < w.To
	}
	if m >= w.From {
		return w.Days.Has(day)
	}
	previous := (day + daysPerWeek - 1) % daysPerWeek
	return m < w.To && w.Days.Has(previous)
}

func (w Window) field(c Column) string {
	switch {
	case c == ColumnZone:
		return string(w.Zone)
	case c == ColumnDays:
		return w.Days.String()
	case w.AllDay():
		return ""
	case c == ColumnFrom:
		return w.From.String()
	default:
		return w.To.String()
	}
}
