// Package sheet holds the data of a sheet: rows that state rank, share, target
// and idempotence for a kind of work at a data centre and a time of the week.
// It only holds data: sheetparser reads sheets and ranker looks policies up in them.
//
// # Usage
//
//	s := sheet.Sheet{Rows: rows}
//	text := s.CSV()
//
// CSV is the canonical form. The log stores sheets in this form, so that a sheet
// has the same digest whether it was written as CSV or as YAML.
package sheet

import (
	"bytes"
	"encoding/csv"
	"strconv"
	"time"

	"github.com/cassiatally/cassiatally/cassiatally"
)

const (
	// AnyDataCentre matches every data centre that has no row of its own for the
	// kind of work at the time.
	AnyDataCentre cassiatally.DataCentre = "*"
	// MaxBytes bounds the text of a sheet, in bytes. A record in the log may have
	// 1 MiB, and its envelope needs room.
	MaxBytes = 1<<20 - 4<<10
	// MaxRows bounds the rows of a sheet.
	MaxRows = 10_000
)

// Column names a column of a sheet.
type Column string

// The columns of a sheet.
const (
	ColumnService    Column = "service"
	ColumnKind       Column = "kind"
	ColumnDataCentre Column = "data_centre"
	ColumnZone       Column = "zone"
	ColumnDays       Column = "days"
	ColumnFrom       Column = "from"
	ColumnTo         Column = "to"
	ColumnRank       Column = "rank"
	ColumnShare      Column = "share"
	ColumnTarget     Column = "target"
	ColumnIdempotent Column = "idempotent"
)

// Columns returns all columns in the order of the canonical form.
func Columns() []Column {
	return []Column{
		ColumnService, ColumnKind, ColumnDataCentre, ColumnZone, ColumnDays, ColumnFrom,
		ColumnTo, ColumnRank, ColumnShare, ColumnTarget, ColumnIdempotent,
	}
}

// KindRef names a kind of work of a service.
type KindRef struct {
	Service cassiatally.Service
	Work    cassiatally.WorkKind
}

// String returns the reference in the form service/kind.
func (r KindRef) String() string { return string(r.Service) + "/" + string(r.Work) }

// Row is one row of a sheet. Rows are comparable with ==.
type Row struct {
	Kind       KindRef
	DataCentre cassiatally.DataCentre
	Window     Window
	Rank       cassiatally.Rank
	Share      cassiatally.Share
	Target     time.Duration
	Idempotent bool
}

// Field returns the text of a column of the row.
func (r Row) Field(c Column) string {
	switch c {
	case ColumnService:
		return string(r.Kind.Service)
	case ColumnKind:
		return string(r.Kind.Work)
	case ColumnDataCentre:
		return string(r.DataCentre)
	case ColumnRank:
		return strconv.Itoa(int(r.Rank))
	case ColumnShare:
		return strconv.FormatFloat(float64(r.Share), 'f', -1, 64)
	case ColumnTarget:
		return r.Target.String()
	case ColumnIdempotent:
		return strconv.FormatBool(r.Idempotent)
	default:
		return r.Window.field(c)
	}
}

// Fields returns the text of all columns in the order of Columns.
func (r Row) Fields() []string {
	columns := Columns()
	fields := make([]string, len(columns))
	for i, c := range columns {
		fields[i] = r.Field(c)
	}
	return fields
}

// Sheet is a list of rows. Where the windows of two rows for the same kind and
// data centre overlap, the earlier row applies.
type Sheet struct{ Rows []Row }

// CSV returns the canonical text of the sheet.
func (s Sheet) CSV() []byte {
	var b bytes.Buffer
	w := csv.NewWriter(&b)
	header := make([]string, 0, len(Columns()))
	for _, c := range Columns() {
		header = append(header, string(c))
	}
	// A bytes.Buffer never returns an error.
	_ = w.Write(header)
	for _, r := range s.Rows {
		_ = w.Write(r.Fields())
	}
	w.Flush()
	return b.Bytes()
}
