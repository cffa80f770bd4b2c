package sheetparser

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/sheet"
)

// maxSpans bounds the number of gaps that one warning lists.
const maxSpans = 4

// referenceWeeks are a winter and a summer week. Rows of one kind may use several
// zones, and the difference between two zones can change with daylight-saving
// time, so their windows are compared in both weeks.
var referenceWeeks = []time.Time{
	time.Date(2026, time.January, 12, 0, 0, 0, 0, time.UTC),
	time.Date(2026, time.July, 13, 0, 0, 0, 0, time.UTC),
}

const (
	wordBits  = 64
	weekWords = (int(sheet.MinutesPerWeek) + wordBits - 1) / wordBits
)

// week is a set of minutes of a week that starts on Monday.
type week [weekWords]uint64

func (w *week) has(m sheet.Minute) bool { return w[m/wordBits]&(1<<(m%wordBits)) != 0 }

// add adds the minutes [from, to), wrapping at the end of the week. It returns the
// first of them that was in the set before, and whether there was one.
func (w *week) add(from, to sheet.Minute) (sheet.Minute, bool) {
	var first sheet.Minute
	overlap := false
	for m := from; m < to; m++ {
		at := (m + sheet.MinutesPerWeek) % sheet.MinutesPerWeek
		if w.has(at) && !overlap {
			first, overlap = at, true
		}
		w[at/wordBits] |= 1 << (at % wordBits)
	}
	return first, overlap
}

func (w *week) union(other *week) {
	for i := range w {
		w[i] |= other[i]
	}
}

// gaps returns a text with the spans of time that are not in the set. It is empty
// when the set covers the whole week.
func (w *week) gaps() string {
	var spans []string
	for m := sheet.Minute(0); m < sheet.MinutesPerWeek; m++ {
		if w.has(m) {
			continue
		}
		start := m
		for m < sheet.MinutesPerWeek && !w.has(m) {
			m++
		}
		spans = append(spans, weekTime(start)+" to "+weekTime(m))
	}
	if len(spans) > maxSpans {
		more := len(spans) - maxSpans
		spans = append(spans[:maxSpans], fmt.Sprintf("%d more", more))
	}
	return strings.Join(spans, ", ")
}

func weekTime(m sheet.Minute) string {
	day := sheet.Days(1 << ((int(m/sheet.MinutesPerDay) + 1) % 7))
	return day.String() + " " + (m % sheet.MinutesPerDay).String()
}

// checkCoverage warns of gaps and overlaps for each kind.
func (p *Parser) checkCoverage(rows []parsedRow) {
	var order []sheet.KindRef
	kinds := map[sheet.KindRef][]parsedRow{}
	for _, r := range rows {
		if _, seen := kinds[r.Kind]; !seen {
			order = append(order, r.Kind)
		}
		kinds[r.Kind] = append(kinds[r.Kind], r)
	}
	for _, k := range order {
		p.checkKindCoverage(kinds[k])
	}
}

func (p *Parser) checkKindCoverage(rows []parsedRow) {
	reported := map[string]bool{}
	for _, at := range referenceWeeks {
		c := coverage{parser: p, rows: rows, weekStart: at, reported: reported, covered: map[cassiatally.DataCentre]*week{}}
		c.checkOverlaps()
		c.checkGaps()
	}
}

// coverage records the minutes of a reference week that the rows of one kind
// cover, in the zone of the first row.
type coverage struct {
	parser      *Parser
	rows        []parsedRow
	weekStart   time.Time
	reported    map[string]bool
	dataCentres []cassiatally.DataCentre
	covered     map[cassiatally.DataCentre]*week
}

func (c *coverage) warn(r parsedRow, message, fix string) {
	key := fmt.Sprint(r.raw.at, message)
	if c.reported[key] {
		return
	}
	c.reported[key] = true
	c.parser.addWarning(r.raw.at, "", message, fix)
}

// checkOverlaps fills the set of each data centre and warns of rows whose window
// overlaps that of an earlier row of the data centre.
func (c *coverage) checkOverlaps() {
	for _, r := range c.rows {
		set, ok := c.covered[r.DataCentre]
		if !ok {
			set = &week{}
			c.covered[r.DataCentre] = set
			c.dataCentres = append(c.dataCentres, r.DataCentre)
		}
		if at, overlap := c.addRow(set, r); overlap {
			c.warn(r, fmt.Sprintf("%s at data centre %s has an earlier row that holds too, from %s %s on", r.Kind, r.DataCentre, weekTime(at), c.zoneName()),
				"the earlier row wins; change the windows so that one row holds at a time")
		}
	}
}

func (c *coverage) addRow(set *week, r parsedRow) (sheet.Minute, bool) {
	shift := c.zoneOffset(c.rows[0].Window.Zone) - c.zoneOffset(r.Window.Zone)
	var first sheet.Minute
	overlap := false
	for i := range 7 {
		if !r.Window.Days.Has(time.Weekday((i + 1) % 7)) {
			continue
		}
		start := sheet.Minute(i)*sheet.MinutesPerDay + shift
		to := r.Window.To
		if to <= r.Window.From {
			to += sheet.MinutesPerDay
		}
		at, found := set.add(start+r.Window.From, start+to)
		if found && !overlap {
			first, overlap = at, true
		}
	}
	return first, overlap
}

func (c *coverage) checkGaps() {
	anyCovered := c.covered[sheet.AnyDataCentre]
	if anyCovered == nil {
		anyCovered = &week{}
	}
	anyGaps := anyCovered.gaps()
	if anyGaps != "" {
		c.warnGap(sheet.AnyDataCentre, anyGaps)
	}
	for _, dc := range c.dataCentres {
		if dc == sheet.AnyDataCentre {
			continue
		}
		c.covered[dc].union(anyCovered)
		if gaps := c.covered[dc].gaps(); gaps != "" && gaps != anyGaps {
			c.warnGap(dc, gaps)
		}
	}
}

func (c *coverage) warnGap(dc cassiatally.DataCentre, spans string) {
	i := max(0, slices.IndexFunc(c.rows, func(r parsedRow) bool { return r.DataCentre == dc }))
	c.warn(c.rows[i], fmt.Sprintf("%s at data centre %s has no row from %s %s", c.rows[i].Kind, dc, spans, c.zoneName()),
		"add rows for these times; work without a row gets the least urgent rank and no share")
}

func (c *coverage) zoneName() string {
	if z := c.rows[0].Window.Zone; z != "" {
		return string(z)
	}
	return "UTC"
}

func (c *coverage) zoneOffset(z sheet.Zone) sheet.Minute {
	loc, err := c.parser.loadLocation(z)
	if err != nil {
		return 0
	}
	_, seconds := c.weekStart.In(loc).Zone()
	return sheet.Minute(seconds / 60)
}
