package sheetparser

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/sheet"
)

// maxTarget bounds a target time. No caller waits longer than that for an answer.
const maxTarget = time.Hour

var (
	requiredColumns = []sheet.Column{
		sheet.ColumnService, sheet.ColumnKind, sheet.ColumnRank, sheet.ColumnTarget, sheet.ColumnIdempotent,
	}
	// namePattern allows only names that can be a path segment of a URL.
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
)

func (p *Parser) convertRows(raw []rawRow) []parsedRow {
	rows := make([]parsedRow, 0, len(raw))
	for _, r := range raw {
		if r.invalid {
			continue
		}
		errorsBefore := len(p.report.Errors) + p.report.More
		row := p.convertRow(r)
		if len(p.report.Errors)+p.report.More == errorsBefore {
			rows = append(rows, parsedRow{Row: row, raw: r})
		}
	}
	if len(raw) == 0 && len(p.report.Errors) == 0 {
		p.addError(Position{1, 1}, "", "the sheet has no rows", "add a row for each kind of work")
	}
	return rows
}

func (p *Parser) convertRow(r rawRow) sheet.Row {
	return sheet.Row{
		Kind: sheet.KindRef{
			Service: cassiatally.Service(p.parseName(r, sheet.ColumnService)),
			Work:    cassiatally.WorkKind(p.parseName(r, sheet.ColumnKind)),
		},
		DataCentre: p.parseDataCentre(r),
		Window:     p.parseWindow(r),
		Rank:       p.parseRank(r),
		Share:      p.parseShare(r),
		Target:     p.parseTarget(r),
		Idempotent: p.parseIdempotent(r),
	}
}

// position returns the position of the field in the column, or that of the row
// when the row has no such field.
func (r rawRow) position(c sheet.Column) Position {
	if found, ok := r.cells[c]; ok {
		return found.at
	}
	return r.at
}

func (r rawRow) text(c sheet.Column) string { return r.cells[c].text }

func (p *Parser) addInvalidValue(r rawRow, c sheet.Column, fix string) {
	message := fmt.Sprintf("%q is not valid", r.text(c))
	if r.text(c) == "" {
		message = "the value is missing"
	}
	p.addError(r.position(c), c, message, fix)
}

func (p *Parser) parseName(r rawRow, c sheet.Column) string {
	text := r.text(c)
	if !namePattern.MatchString(text) {
		p.addInvalidValue(r, c, "write a name of at most 64 letters, digits, dots, dashes and underscores, such as booking-svc")
	}
	return text
}

func (p *Parser) parseDataCentre(r rawRow) cassiatally.DataCentre {
	text := r.text(sheet.ColumnDataCentre)
	if text == "" || text == string(sheet.AnyDataCentre) {
		return sheet.AnyDataCentre
	}
	return cassiatally.DataCentre(p.parseName(r, sheet.ColumnDataCentre))
}

func (p *Parser) parseWindow(r rawRow) sheet.Window {
	w := sheet.Window{Zone: p.parseZone(r), To: sheet.MinutesPerDay}
	days, err := sheet.ParseDays(r.text(sheet.ColumnDays))
	if err != nil {
		p.addInvalidValue(r, sheet.ColumnDays, "write days such as mon-fri, sat sun or *")
	}
	w.Days = days
	from, to := r.text(sheet.ColumnFrom), r.text(sheet.ColumnTo)
	if from == "" && to == "" {
		return w
	}
	var okFrom, okTo bool
	w.From, okFrom = p.parseMinute(r, sheet.ColumnFrom)
	w.To, okTo = p.parseMinute(r, sheet.ColumnTo)
	if w.From == sheet.MinutesPerDay {
		p.addInvalidValue(r, sheet.ColumnFrom, "write 00:00 for the start of a day; 24:00 is allowed as the end only")
	}
	if okFrom && okTo && w.From == w.To {
		p.addError(r.position(sheet.ColumnTo), sheet.ColumnTo, "the window ends when it starts", "leave from and to empty for the whole day")
	}
	return w
}

func (p *Parser) parseZone(r rawRow) sheet.Zone {
	z := sheet.Zone(r.text(sheet.ColumnZone))
	if _, err := p.loadLocation(z); err != nil {
		p.addInvalidValue(r, sheet.ColumnZone, "write an IANA zone such as Europe/London, or leave it empty for UTC")
	}
	return z
}

func (p *Parser) loadLocation(z sheet.Zone) (*time.Location, error) {
	if loc, ok := p.zones[z]; ok {
		return loc, nil
	}
	loc, err := z.Location()
	if err == nil {
		p.zones[z] = loc
	}
	return loc, err
}

func (p *Parser) parseMinute(r rawRow, c sheet.Column) (sheet.Minute, bool) {
	m, err := sheet.ParseMinute(r.text(c))
	if err != nil {
		p.addInvalidValue(r, c, "write a time of day such as 06:00, or leave both from and to empty")
	}
	return m, err == nil
}

func (p *Parser) parseRank(r rawRow) cassiatally.Rank {
	n, err := strconv.ParseUint(r.text(sheet.ColumnRank), 10, 8)
	if err != nil || n >= cassiatally.MaxRanks {
		p.addInvalidValue(r, sheet.ColumnRank, fmt.Sprintf("write a whole number from 0, the most urgent, to %d", cassiatally.MaxRanks-1))
	}
	return cassiatally.Rank(n)
}

func (p *Parser) parseShare(r rawRow) cassiatally.Share {
	text := r.text(sheet.ColumnShare)
	if text == "" {
		return 0
	}
	if p.separator == semicolon {
		// Spreadsheets that separate fields with semicolons write a decimal comma.
		text = strings.Replace(text, ",", ".", 1)
	}
	f, err := strconv.ParseFloat(text, 64)
	if err != nil || !(f >= 0 && f <= 1) {
		p.addInvalidValue(r, sheet.ColumnShare, "write a fraction from 0 to 1, such as 0.1")
		return 0
	}
	return cassiatally.Share(f)
}

func (p *Parser) parseTarget(r rawRow) time.Duration {
	d, err := time.ParseDuration(r.text(sheet.ColumnTarget))
	if err != nil || d <= 0 || d > maxTarget {
		p.addInvalidValue(r, sheet.ColumnTarget, "write a duration with its unit, such as 800ms or 2s, of at most 1h")
	}
	return d
}

func (p *Parser) parseIdempotent(r rawRow) bool {
	switch strings.ToLower(r.text(sheet.ColumnIdempotent)) {
	case "true":
		return true
	case "false":
		return false
	default:
		p.addInvalidValue(r, sheet.ColumnIdempotent, "write true or false")
		return false
	}
}
